/** Command `run`: runs the roles of a settings file. */
import { loadSettings } from '../../settings/SettingsLoader.js';
import { reportFailure } from '../Report.js';
import { EXIT_CODE, type ICommandContext, type ICommandInput } from '../Types.js';

/** Loads and validates the whole settings file, then runs its roles until the process is stopped. */
export async function runRoles(input: ICommandInput, context: ICommandContext): Promise<number> {
  const loaded = await loadSettings(input.getText('settings') ?? '');
  if (loaded.err) {
    reportFailure(input, context, loaded.val, { problems: loaded.val.problems });
    return EXIT_CODE.refused;
  }
  return context.runner.run(loaded.val, context.signal);
}
