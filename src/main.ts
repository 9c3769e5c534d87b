/** Program entry: connects the command line to the process. */
import { runCommand } from './cli/Commands.js';
import { type IInitialiser, type IOutput, type IRunner } from './cli/Types.js';

/** Set by tools/build.mjs. */
declare const __VERSION__: string;

const output: IOutput = {
  print: (line) => process.stdout.write(`${line}\n`),
  warn: (line) => process.stderr.write(`${line}\n`),
};

/** The roles are loaded only when a process runs, so that other commands start fast. */
const runner: IRunner = {
  run: async (settings, signal) => {
    const { runProcess } = await import('./run/Process.js');
    return runProcess(settings, signal);
  },
};

/** Loaded only for this command. */
const initialiser: IInitialiser = {
  init: async (settings) => {
    const { initialiseControl } = await import('./run/ControlRole.js');
    return initialiseControl(settings);
  },
};

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
