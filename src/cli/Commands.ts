/** The command line: parses arguments and runs one command. */
import sade from 'sade';
import { COMMANDS, VERSION_OPTION } from './CommandSpecs.js';
import { createInput, type RawOptions } from './Input.js';
import { EXIT_CODE, type ICommandContext, type ICommandInput, type ICommandSpec } from './Types.js';

const PROGRAM = 'redwingwharf';

interface IParsedLine {
  readonly spec: ICommandSpec;
  readonly input: ICommandInput;
}

/** Thrown in place of the exit that the argument parser asks for. */
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

/** The parser takes --version for itself, so `publish` receives it under another name. */
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
 * Parses with the library. It ends the process with code 1 on wrong usage, where the documented code is 2,
 * so its exit is turned into an exception for this synchronous call.
 */
function parseLine(program: sade.Sade, argv: readonly string[]): sade.LazyOutput | undefined {
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

/** The parser reads `--json=x` as a flag and an argument x; no flag has a value. */
function findFlagWithValue(argv: readonly string[]): string | undefined {
  const prefixes = listOptionNames(true).map((name) => `--${name}=`);
  return argv.find((argument) => prefixes.some((prefix) => argument.startsWith(prefix)));
}

/** Positionals that the usage allows; `undefined` stands for "any number". */
function countPositionals(spec: ICommandSpec): number | undefined {
  const words = spec.usage.split(' ');
  return spec.usage.includes('[...')
    ? undefined
    : words.filter((word) => /^[<[]/.test(word)).length;
}

function explainUsage(spec: ICommandSpec, message: string): string {
  const words = spec.usage.split(' ').filter((word) => /^[a-z]/.test(word));
  return `${message}. Run "${PROGRAM} ${words.join(' ')} --help".`;
}

function createParsedLine(
  line: sade.LazyOutput,
  context: ICommandContext,
): IParsedLine | undefined {
  const spec = COMMANDS.find((command) => isSameCommand(command, line.name));
  // Positionals come first; the last element holds the options and further positionals.
  const args: readonly unknown[] = line.args;
  const raw = (args.at(-1) ?? {}) as RawOptions & { readonly _: readonly string[] };
  const named = args.slice(0, -1).filter((value) => typeof value === 'string');
  const positionals = [...named, ...raw._.map(String)];
  if (spec === undefined) {
    context.output.warn(`Unknown command: ${line.name}. Run "${PROGRAM} --help".`);
    return undefined;
  }
  const limit = countPositionals(spec);
  if (limit !== undefined && positionals.length > limit) {
    const extra = positionals.slice(limit).join(' ');
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
 * Runs the command that the arguments name and returns the exit code.
 *
 * @example
 * process.exitCode = await runCommand(process.argv.slice(2), '0.1.0', context);
 */
export async function runCommand(
  argv: readonly string[],
  version: string,
  context: ICommandContext,
): Promise<number> {
  const flag = findFlagWithValue(argv);
  if (flag !== undefined) {
    context.output.warn(`${flag}: the option takes no value. Run "${PROGRAM} --help".`);
    return EXIT_CODE.usage;
  }
  const program = createProgram(version);
  let line: sade.LazyOutput | undefined;
  try {
    line = parseLine(program, convertVersionOption(argv));
  } catch (error) {
    // The parser looks words up on plain objects and fails on names such as "constructor".
    if (!(error instanceof ParserExit)) {
      context.output.warn(`The arguments cannot be parsed. Run "${PROGRAM} --help".`);
    }
    return EXIT_CODE.usage;
  }
  if (line === undefined) {
    return EXIT_CODE.ok;
  }
  const parsed = createParsedLine(line, context);
  if (parsed === undefined) {
    return EXIT_CODE.usage;
  }
  const handler = await parsed.spec.loadHandler();
  return handler(parsed.input, context);
}
