/** Types of the loaded settings of one process, and of the problems in files that people write. */
import type { IFailure } from '../common/Result.js';
import type {
  ControlSettings,
  EntrySettings,
  Settings,
  SidecarSettings,
  TargetSettings,
} from '../gen/settings.js';

/** One problem in a file. */
export interface IProblem {
  readonly file: string;
  /** JSON pointer of the faulty value; empty for the whole file. */
  readonly pointer: string;
  /** Line and column are counted from 1; undefined if unknown. */
  readonly line?: number | undefined;
  readonly column?: number | undefined;
  readonly message: string;
  /** How to correct the problem, as a sentence. */
  readonly remedy: string;
}

export type SettingsFailureKind =
  'unreadable' | 'not_json' | 'invalid' | 'inconsistent' | 'bad_secret';

/** Why the settings were not loaded. The message lists all problems, one per line. */
export type SettingsFailure = IFailure<SettingsFailureKind> & {
  readonly problems: readonly IProblem[];
};

export type IEntryRoleSettings = Readonly<Required<EntrySettings>>;

/** Settings of the control role; `dataFolder` is absolute. */
export type IControlRoleSettings = Readonly<Required<ControlSettings>>;

export type ITargetSettings = Readonly<
  Omit<TargetSettings, 'healthPath' | 'model'> & {
    healthPath: string;
    /** Always present for an engine, never for a plain service. */
    model: string | undefined;
  }
>;

export interface ISidecarRoleSettings extends Omit<SidecarSettings, 'target'> {
  readonly target: ITargetSettings;
}

/** Checked settings with defaults applied and absolute paths. */
export interface ILoadedSettings extends Readonly<
  Omit<Settings, 'feed' | 'entry' | 'control' | 'sidecar'>
> {
  /** Absolute path of the settings file. */
  readonly file: string;
  readonly clusterSecret: string;
  readonly logLevel: NonNullable<Settings['logLevel']>;
  /** Other processes to copy the configuration from, by address. Empty only with the control role. */
  readonly feed: readonly string[];
  readonly entry: IEntryRoleSettings | undefined;
  readonly control: IControlRoleSettings | undefined;
  readonly sidecar: ISidecarRoleSettings | undefined;
}

/** Formats a problem in one line: file, line, column, pointer, message and remedy. */
export function formatProblem(problem: IProblem): string {
  const line = problem.line === undefined ? '' : `:${problem.line}`;
  const column = problem.column === undefined ? '' : `:${problem.column}`;
  const pointer = problem.pointer === '' ? '' : ` ${problem.pointer}`;
  return `${problem.file}${line}${column}${pointer}: ${problem.message}. ${problem.remedy}`;
}
