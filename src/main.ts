/** Program entry: connects the command line to the process. */
import { runCommand } from './cli/Commands.js';
import {
  EXIT_CODE,
  type IInitialiser,
  type InitFailure,
  type IOutput,
  type IRunner,
} from './cli/Types.js';
import { Err } from './common/Result.js';

/** Set by tools/build.mjs. */
declare const __VERSION__: string;

const NOT_AVAILABLE: InitFailure = {
  kind: 'not_available',
  message: 'This command is not available in this build. Use a build that contains the roles.',
};

const output: IOutput = {
  print: (line) => process.stdout.write(`${line}\n`),
  warn: (line) => process.stderr.write(`${line}\n`),
};

/** Stands in until the roles are connected. */
const runner: IRunner = {
  run: () => {
    output.warn(NOT_AVAILABLE.message);
    return Promise.resolve(EXIT_CODE.refused);
  },
};

/** Stands in until the storage is connected. */
const initialiser: IInitialiser = { init: () => Promise.resolve(Err(NOT_AVAILABLE)) };

function createStopSignal(): AbortSignal {
  const controller = new AbortController();
  const stop = (): void => {
    controller.abort();
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  return controller.signal;
}

async function main(): Promise<void> {
  const context = { output, signal: createStopSignal(), runner, initialiser };
  process.exitCode = await runCommand(process.argv.slice(2), __VERSION__, context);
}

void main();
