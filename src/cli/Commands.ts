/** Entry point of the command line: parses the arguments and runs the command that they name. */
import sade from 'sade';
import { COMMANDS, VERSION_OPTION } from './CommandSpecs.js';
import { createInput, type RawOptions } from './Input.js';
import { EXIT_CODE, type ICommandContext, type ICommandInput, type ICommandSpec } from './Types.js';

const PROGRAM = 'redwingwharf';

interface IParsedCommand {
  readonly spec: ICommandSpec;
  readonly input: ICommandInput;
}

/** Thrown instead of exiting the process when the argument parser calls `process.exit`. */
class ParserExit extends Error {}

function isSameCommand(spec: ICommandSpec, name: string): boolean {
  return spec.usage === name || spec.usage.startsWith(`${name} `);
}

function createProgram(version: string): sade.Sade {
  const program = sade(PROGRAM).version(version);
  for (const spec of COMMANDS) {
    program.command(spec.usage, spec.summary);
    for (const option of spec.options) {
      const suffix = option.isRequired === true ? ' (required)' : '';
      program.option(`--${option.name}`, option.summary + suffix);
    }
    for (const example of spec.examples) {
      program.example(example);
    }
    program.action(() => undefined);
  }
  return program;
}

/**
 * Renames the `--version` option of `publish` to `--set-version`, because the parser would print the program's
 * version for it.
 */
function convertVersionOption(argv: readonly string[]): string[] {
  if (argv[0] !== 'publish') {
    return [...argv];
  }
  return argv.map((argument) =>
    argument === '--version' || argument.startsWith('--version=')
      ? argument.replace('--version', `--${VERSION_OPTION}`)
      : argument,
  );
}

function listOptionNames(isFlag: boolean): string[] {
  const names = COMMANDS.flatMap((spec) =>
    spec.options
      .filter((option) => (option.kind === 'flag') === isFlag)
      .map((option) => option.name),
  );
  return [...new Set(names)];
}

/**
 * Parses the arguments with the parser library; undefined after it printed the help or the version. The
 * library exits with code 1 on wrong usage, but the documented code is 2. `process.exit` is therefore replaced
 * by a function that throws `ParserExit` for the duration of this synchronous call.
 */
function parseArguments(program: sade.Sade, argv: readonly string[]): sade.LazyOutput | undefined {
  const exit = process.exit.bind(process);
  process.exit = () => {
    throw new ParserExit();
  };
  try {
    return program.parse(['node', PROGRAM, ...argv], {
      lazy: true,
      unknown: (flag) => `Unknown option: ${flag}`,
      string: listOptionNames(false),
      boolean: listOptionNames(true),
    });
  } finally {
    process.exit = exit;
  }
}

/** Finds a flag that was given a value. The parser reads `--json=x` as the flag and a positional argument x. */
function findFlagWithValue(argv: readonly string[]): string | undefined {
  const prefixes = listOptionNames(true).map((name) => `--${name}=`);
  return argv.find((argument) => prefixes.some((prefix) => argument.startsWith(prefix)));
}

/** Largest number of positional arguments that the usage allows; undefined if it is unlimited. */
function getMaxPositionals(spec: ICommandSpec): number | undefined {
  const words = spec.usage.split(' ');
  return spec.usage.includes('[...')
    ? undefined
    : words.filter((word) => /^[<[]/.test(word)).length;
}

function explainUsage(spec: ICommandSpec, message: string): string {
  const words = spec.usage.split(' ').filter((word) => /^[a-z]/.test(word));
  return `${message}. Run "${PROGRAM} ${words.join(' ')} --help".`;
}

function createParsedCommand(
  parserOutput: sade.LazyOutput,
  context: ICommandContext,
): IParsedCommand | undefined {
  const spec = COMMANDS.find((command) => isSameCommand(command, parserOutput.name));
  // The last element of `args` holds the options and, in `_`, the positionals beyond those of the usage.
  const args: readonly unknown[] = parserOutput.args;
  const raw = (args.at(-1) ?? {}) as RawOptions & { readonly _: readonly string[] };
  const usagePositionals = args.slice(0, -1).filter((value) => typeof value === 'string');
  const positionals = [...usagePositionals, ...raw._.map(String)];
  if (spec === undefined) {
    context.output.warn(`Unknown command: ${parserOutput.name}. Run "${PROGRAM} --help".`);
    return undefined;
  }
  const maxPositionals = getMaxPositionals(spec);
  if (maxPositionals !== undefined && positionals.length > maxPositionals) {
    const extra = positionals.slice(maxPositionals).join(' ');
    context.output.warn(explainUsage(spec, `Unexpected argument: ${extra}`));
    return undefined;
  }
  const input = createInput(spec.options, positionals, raw);
  if (input.err) {
    context.output.warn(explainUsage(spec, input.val));
    return undefined;
  }
  return { spec, input: input.val };
}

/**
 * Runs the command that the arguments name and returns its exit code, see `EXIT_CODE`.
 *
 * @example
 * process.exitCode = await runCommand(process.argv.slice(2), '0.1.0', context);
 */
export async function runCommand(
  argv: readonly string[],
  version: string,
  context: ICommandContext,
): Promise<number> {
  const flagWithValue = findFlagWithValue(argv);
  if (flagWithValue !== undefined) {
    context.output.warn(`${flagWithValue}: the option takes no value. Run "${PROGRAM} --help".`);
    return EXIT_CODE.usage;
  }
  const program = createProgram(version);
  let parserOutput: sade.LazyOutput | undefined;
  try {
    parserOutput = parseArguments(program, convertVersionOption(argv));
  } catch (error) {
    // The parser looks up arguments in plain objects, so inherited names such as "constructor" make it throw.
    if (!(error instanceof ParserExit)) {
      context.output.warn(`The arguments cannot be parsed. Run "${PROGRAM} --help".`);
    }
    return EXIT_CODE.usage;
  }
  if (parserOutput === undefined) {
    return EXIT_CODE.ok;
  }
  const parsed = createParsedCommand(parserOutput, context);
  if (parsed === undefined) {
    return EXIT_CODE.usage;
  }
  const handler = await parsed.spec.loadHandler();
  return handler(parsed.input, context);
}
