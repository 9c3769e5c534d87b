/** Settings of one process and the failures of reading files that people write. */
import type { IFailure } from '../common/Result.js';
import type {
  ControlSettings,
  EntrySettings,
  Settings,
  SidecarSettings,
  TargetSettings,
} from '../gen/settings.js';

/** One fault of a file. */
export interface IProblem {
  readonly file: string;
  /** JSON pointer of the faulty value; empty for the whole file. */
  readonly pointer: string;
  /** Counted from 1, where known. */
  readonly line?: number | undefined;
  readonly column?: number | undefined;
  readonly message: string;
  /** What to do about it. */
  readonly remedy: string;
}

export type SettingsFailureKind =
  'unreadable' | 'not_json' | 'invalid' | 'inconsistent' | 'bad_secret';

/** Why settings were not loaded. The message lists all problems, one a line. */
export type SettingsFailure = IFailure<SettingsFailureKind> & {
  readonly problems: readonly IProblem[];
};

export type IEntryRole = Readonly<Required<EntrySettings>>;

/** Settings of the control role; `dataFolder` is absolute. */
export type IControlRole = Readonly<Required<ControlSettings>>;

export type ITargetRole = Readonly<
  Omit<TargetSettings, 'healthPath' | 'model'> & {
    healthPath: string;
    /** Always present for an engine, never for a plain service. */
    model: string | undefined;
  }
>;

export interface ISidecarRole extends Omit<SidecarSettings, 'target'> {
  readonly target: ITargetRole;
}

/** Checked settings with defaults applied and absolute paths. */
export interface ILoadedSettings extends Readonly<
  Omit<Settings, 'feed' | 'entry' | 'control' | 'sidecar'>
> {
  /** Absolute path of the settings file. */
  readonly file: string;
  readonly clusterSecret: string;
  readonly logLevel: NonNullable<Settings['logLevel']>;
  /** Processes to copy the configuration from, without this one. Empty only with the control role. */
  readonly feed: readonly string[];
  readonly entry: IEntryRole | undefined;
  readonly control: IControlRole | undefined;
  readonly sidecar: ISidecarRole | undefined;
}

/** One line for a problem: file, line, column, pointer, fault and remedy. */
export function formatProblem(problem: IProblem): string {
  const line = problem.line === undefined ? '' : `:${problem.line}`;
  const column = problem.column === undefined ? '' : `:${problem.column}`;
  const pointer = problem.pointer === '' ? '' : ` ${problem.pointer}`;
  return `${problem.file}${line}${column}${pointer}: ${problem.message}. ${problem.remedy}`;
}
