/** Types shared by the commands: exit codes, options, arguments and the context that a command runs in. */
import type { IFailure, Result } from '../common/Result.js';
import type { ILoadedSettings } from '../settings/Types.js';

/** Exit codes of the program; documented in docs/OPERATIONS.md. */
export const EXIT_CODE = {
  ok: 0,
  /** A check failed or the request was refused. */
  refused: 1,
  /** Wrong command, argument or option. */
  usage: 2,
  /** Another change was accepted at the version, or the version is not the next one. */
  conflict: 3,
  /** A process was not reachable, no control member is leader, or the outcome is unknown. */
  unknown: 4,
} as const;

export type ExitCode = (typeof EXIT_CODE)[keyof typeof EXIT_CODE];

/** Output of a command. Results go to `print`, everything else to `warn`. */
export interface IOutput {
  print(line: string): void;
  warn(line: string): void;
}

/** Runs the roles of a process until the signal is aborted; returns the exit code. */
export interface IRoleRunner {
  run(settings: ILoadedSettings, signal: AbortSignal): Promise<number>;
}

/** Why a data directory was not initialised. */
export type InitFailure = IFailure<'not_empty' | 'unwritable' | 'no_control_role'>;

/** Initialises the data directory of the first control member of a new cluster; returns the cluster id. */
export interface IDataDirectoryInitialiser {
  init(settings: ILoadedSettings): Promise<Result<string, InitFailure>>;
}

/** Output, abort signal and role functions that a command is run with. */
export interface ICommandContext {
  readonly output: IOutput;
  readonly signal: AbortSignal;
  readonly runner: IRoleRunner;
  readonly initialiser: IDataDirectoryInitialiser;
}

/**
 * Kind of an option's value: `addresses` and `names` are comma-separated lists, `count` is a whole number that
 * is not negative, and a `flag` has no value.
 */
export type OptionKind = 'text' | 'addresses' | 'names' | 'count' | 'number' | 'flag';

export interface IOptionSpec {
  readonly name: string;
  readonly kind: OptionKind;
  readonly summary: string;
  readonly isRequired?: boolean;
}

/** Arguments of a command, validated against its options. */
export interface ICommandInput {
  readonly positionals: readonly string[];
  getText(name: string): string | undefined;
  /** Values of a comma-separated option; empty if it was not given. */
  getList(name: string): readonly string[];
  getNumber(name: string): number | undefined;
  hasFlag(name: string): boolean;
}

export type CommandHandler = (input: ICommandInput, context: ICommandContext) => Promise<number>;

/** Specification of one command. The module of its handler is loaded only when the command runs. */
export interface ICommandSpec {
  /**
   * Words of the command, then `<argument>` for each required and `[argument]` for each optional positional
   * argument; `[...arguments]` accepts any number.
   */
  readonly usage: string;
  readonly summary: string;
  readonly options: readonly IOptionSpec[];
  readonly examples: readonly string[];
  loadHandler(): Promise<CommandHandler>;
}
