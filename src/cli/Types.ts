/** Interfaces between the commands and what they are given. */
import type { IFailure, Result } from '../common/Result.js';
import type { ILoadedSettings } from '../settings/Types.js';

/** Exit codes of the program; documented in docs/OPERATIONS.md. */
export const EXIT_CODE = {
  ok: 0,
  /** A check failed or the request was refused. */
  refused: 1,
  /** Wrong command, argument or option. */
  usage: 2,
  /** Another change holds the version. */
  conflict: 3,
  /** Control was not reachable, or the outcome is not known. */
  unknown: 4,
} as const;

export type ExitCode = (typeof EXIT_CODE)[keyof typeof EXIT_CODE];

/** Where commands write: results to `print`, everything else to `warn`. */
export interface IOutput {
  print(line: string): void;
  warn(line: string): void;
}

/** Runs the roles of a process until the signal is aborted; returns the exit code. */
export interface IRunner {
  run(settings: ILoadedSettings, signal: AbortSignal): Promise<number>;
}

/** Why a data folder was not initialised. */
export type InitFailure = IFailure<'not_empty' | 'unwritable' | 'no_control_role'>;

/** Makes the disk of a control member the first one of a new cluster; returns the cluster id. */
export interface IInitialiser {
  init(settings: ILoadedSettings): Promise<Result<string, InitFailure>>;
}

/** What commands are given besides their arguments. */
export interface ICommandContext {
  readonly output: IOutput;
  readonly signal: AbortSignal;
  readonly runner: IRunner;
  readonly initialiser: IInitialiser;
}

/** Form of an option's value. */
export type OptionKind = 'text' | 'addresses' | 'names' | 'count' | 'number' | 'flag';

export interface IOptionSpec {
  readonly name: string;
  readonly kind: OptionKind;
  readonly summary: string;
  readonly isRequired?: boolean;
}

/** Arguments of a command, checked against its options. */
export interface ICommandInput {
  readonly positionals: readonly string[];
  getText(name: string): string | undefined;
  /** Comma-separated values; empty when absent. */
  getList(name: string): readonly string[];
  getNumber(name: string): number | undefined;
  hasFlag(name: string): boolean;
}

export type CommandHandler = (input: ICommandInput, context: ICommandContext) => Promise<number>;

/** One command. Its module is loaded only when it runs. */
export interface ICommandSpec {
  /** Words of the command, then `<argument>` or `[argument]` for each positional; `[...arguments]` takes any number. */
  readonly usage: string;
  readonly summary: string;
  readonly options: readonly IOptionSpec[];
  readonly examples: readonly string[];
  loadHandler(): Promise<CommandHandler>;
}
