/** Loads and validates the settings file of one process. */
import { dirname, resolve } from 'node:path';
import { describeError } from '../common/Log.js';
import { Err, Ok, type Result } from '../common/Result.js';
import { SETTINGS_SCHEMA, type Settings } from '../gen/settings.js';
import { checkConsistency } from './CrossChecks.js';
import { addPosition, readJsonFile } from './JsonFile.js';
import { readSecretFile } from './SecretFile.js';
import {
  formatProblem,
  type IControlRoleSettings,
  type IEntryRoleSettings,
  type ILoadedSettings,
  type IProblem,
  type ISidecarRoleSettings,
  type SettingsFailure,
  type SettingsFailureKind,
} from './Types.js';

function createFailure(kind: SettingsFailureKind, problems: readonly IProblem[]): SettingsFailure {
  return { kind, message: problems.map(formatProblem).join('\n'), problems };
}

function convertControl(settings: Settings, folder: string): IControlRoleSettings | undefined {
  const { control } = settings;
  if (control === undefined) {
    return undefined;
  }
  const dataFolder = resolve(folder, control.dataFolder);
  return { ...control, dataFolder, peers: control.peers ?? [] };
}

function convertSidecar(settings: Settings): ISidecarRoleSettings | undefined {
  const { sidecar } = settings;
  if (sidecar === undefined) {
    return undefined;
  }
  const { target } = sidecar;
  return {
    ...sidecar,
    target: { ...target, model: target.model } as ISidecarRoleSettings['target'],
  };
}

/**
 * Converts validated settings, to which the schema's defaults are already applied, to the form that the roles
 * use. Relative paths are resolved from the folder of the settings file. Without "feed" the process copies the
 * configuration from the control members of its entry role, or from the peers of its control role.
 */
function convertSettings(file: string, settings: Settings, secret: string): ILoadedSettings {
  const folder = dirname(file);
  const feed = settings.feed ?? settings.entry?.control ?? settings.control?.peers ?? [];
  return {
    ...settings,
    file,
    clusterSecret: secret,
    clusterSecretFile: resolve(folder, settings.clusterSecretFile),
    logLevel: settings.logLevel ?? 'info',
    feed: feed.filter((address) => address !== settings.internal),
    entry: settings.entry as IEntryRoleSettings | undefined,
    control: convertControl(settings, folder),
    sidecar: convertSidecar(settings),
  };
}

async function loadAndCheckSettings(
  file: string,
): Promise<Result<ILoadedSettings, SettingsFailure>> {
  const read = await readJsonFile<Settings>(file, SETTINGS_SCHEMA);
  if (read.err) {
    return Err(createFailure(read.val.kind, read.val.problems));
  }
  const { text, value } = read.val;
  const consistencyProblems = checkConsistency(value);
  if (consistencyProblems.length > 0) {
    const problems = consistencyProblems.map((problem) => addPosition(file, text, problem));
    return Err(createFailure('inconsistent', problems));
  }
  const secretFile = resolve(dirname(file), value.clusterSecretFile);
  const secret = await readSecretFile(secretFile);
  if (secret.err) {
    return Err(createFailure('bad_secret', [secret.val]));
  }
  return Ok(convertSettings(file, value, secret.val));
}

/**
 * Loads a settings file: validates it against the schema, applies defaults, checks its consistency, resolves
 * paths and reads the cluster secret. Returns complete settings or a failure that lists the problems with
 * their remedies; never throws.
 *
 * @example
 * const loaded = await loadSettings('/etc/redwingwharf/entry.json');
 * if (loaded.err) {
 *   console.error(loaded.val.message);
 * }
 */
export async function loadSettings(
  path: string,
): Promise<Result<ILoadedSettings, SettingsFailure>> {
  const file = resolve(path);
  try {
    return await loadAndCheckSettings(file);
  } catch (error) {
    const message = `the file cannot be checked (${describeError(error)})`;
    const remedy = 'Compare it with the examples in docs/OPERATIONS.md.';
    return Err(createFailure('invalid', [{ file, pointer: '', message, remedy }]));
  }
}
