/** JSON-line logs. No caller's key, prompt text or generated token may reach a log line. */
import { Logger } from 'tslog';

/** Levels of the settings file, in tslog's numbering. */
const LEVELS = { debug: 2, info: 3, warn: 4, error: 5 } as const;

export type LogLevel = keyof typeof LEVELS;

/** Fields of a log line besides time, level and message. */
export type ILogFields = Readonly<Record<string, unknown>>;

/** Narrow logging service that modules take by constructor. */
export interface ILog {
  debug(message: string, fields?: ILogFields): void;
  info(message: string, fields?: ILogFields): void;
  warn(message: string, fields?: ILogFields): void;
  error(message: string, fields?: ILogFields): void;
}

interface ITslogLine {
  readonly 0?: unknown;
  readonly 1?: unknown;
  readonly _meta: { readonly date: Date; readonly logLevelName: string };
}

function formatLine(instance: string, line: ITslogLine): string {
  const fields = typeof line[1] === 'object' && line[1] !== null ? line[1] : {};
  return JSON.stringify({
    time: line._meta.date.toISOString(),
    level: line._meta.logLevelName.toLowerCase(),
    instance,
    message: line[0],
    ...fields,
  });
}

/** Describes an error for a log line without its stack. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

/**
 * Creates the process's log.
 *
 * @example
 * const log = createLog('entry-1', 'info', (line) => process.stdout.write(line + '\n'));
 * log.info('listening', { address: '127.0.0.1:8080' });
 */
export function createLog(instance: string, level: LogLevel, write: (line: string) => void): ILog {
  const logger = new Logger<Record<string, unknown>>({
    type: 'json',
    minLevel: LEVELS[level],
    // Finding the position takes a stack trace for each line.
    hideLogPositionForProduction: true,
    overwrite: {
      transportJSON: (line) => {
        write(formatLine(instance, line as ITslogLine));
      },
    },
  });
  return {
    debug: (message, fields) => void logger.debug(message, fields),
    info: (message, fields) => void logger.info(message, fields),
    warn: (message, fields) => void logger.warn(message, fields),
    error: (message, fields) => void logger.error(message, fields),
  };
}

/** A log that drops everything, for tests. */
export const SILENT_LOG: ILog = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
