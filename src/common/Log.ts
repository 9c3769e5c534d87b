/** Logs as JSON lines. Callers' keys, prompt texts and generated tokens must not be logged. */
import { Logger } from 'tslog';

/** Levels of the settings file and their numbers in tslog. */
const LEVELS = { debug: 2, info: 3, warn: 4, error: 5 } as const;

export type LogLevel = keyof typeof LEVELS;

/** Fields of a log line besides time, level and message. */
export type ILogFields = Readonly<Record<string, unknown>>;

/** Log that modules receive through their constructor. */
export interface ILog {
  debug(message: string, fields?: ILogFields): void;
  info(message: string, fields?: ILogFields): void;
  warn(message: string, fields?: ILogFields): void;
  error(message: string, fields?: ILogFields): void;
}

/** Object that tslog passes to `transportJSON`: the message, the fields, and the level from `addMeta`. */
interface ITslogLine {
  readonly message: unknown;
  readonly fields: unknown;
  readonly level: string;
}

function formatLine(instance: string, line: ITslogLine): string {
  const { message, fields, level } = line;
  return JSON.stringify({
    time: new Date().toISOString(),
    level,
    instance,
    message,
    ...(typeof fields === 'object' ? fields : undefined),
  });
}

/** Returns the message of an error, without its stack, for a log line. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

/**
 * Creates the log of the process. `write` gets each line without a line break.
 *
 * @example
 * const log = createLog('entry-1', 'info', (line) => process.stdout.write(line + '\n'));
 * log.info('listening', { address: '127.0.0.1:8080' });
 */
export function createLog(instance: string, level: LogLevel, write: (line: string) => void): ILog {
  const logger = new Logger<Record<string, unknown>>({
    type: 'json',
    minLevel: LEVELS[level],
    // The position in the code would cost a stack trace for each line.
    hideLogPositionForProduction: true,
    // Masking would copy every field of a line; callers of the log pass no secrets.
    maskValuesOfKeys: [],
    // The default implementations would copy the fields and describe the runtime for each line.
    overwrite: {
      toLogObj: ([message, fields]) => ({ message, fields }),
      addMeta: (line, _levelId, levelName) =>
        Object.assign(line, { level: levelName.toLowerCase() }) as never,
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

/** A log that discards everything, for tests. */
export const SILENT_LOG: ILog = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
