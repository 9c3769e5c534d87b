/** Entry point of the program: passes the arguments to the command line and sets the exit code. */
import { runCommand } from './cli/Commands.js';
import { type IDataDirectoryInitialiser, type IOutput, type IRoleRunner } from './cli/Types.js';

/** Version from package.json; tools/build.mjs replaces the name by its value. */
declare const __VERSION__: string;

const output: IOutput = {
  print: (line) => process.stdout.write(`${line}\n`),
  warn: (line) => process.stderr.write(`${line}\n`),
};

/** Loads the roles only for the command that runs a process, so that other commands start fast. */
const runner: IRoleRunner = {
  run: async (settings, signal) => {
    const { runProcess } = await import('./run/Process.js');
    return runProcess(settings, signal);
  },
};

/** Loads the control role only for the command that initialises its data directory. */
const initialiser: IDataDirectoryInitialiser = {
  init: async (settings) => {
    const { initialiseControlMember } = await import('./run/ControlRole.js');
    return initialiseControlMember(settings);
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
