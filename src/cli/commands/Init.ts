/** Command `init`: initialises the data directory of the first control member of a new cluster. */
import { loadSettings } from '../../settings/SettingsLoader.js';
import { printResult, reportFailure } from '../Report.js';
import { EXIT_CODE, type ICommandContext, type ICommandInput } from '../Types.js';

/** Initialises the data directory that `dataFolder` names in the settings. */
export async function initialiseDataDirectory(
  input: ICommandInput,
  context: ICommandContext,
): Promise<number> {
  const loaded = await loadSettings(input.getText('settings') ?? '');
  if (loaded.err) {
    reportFailure(input, context, loaded.val, { problems: loaded.val.problems });
    return EXIT_CODE.refused;
  }
  const result = await context.initialiser.init(loaded.val);
  if (result.err) {
    reportFailure(input, context, result.val);
    return EXIT_CODE.refused;
  }
  const clusterId = result.val;
  const dataFolder = loaded.val.control?.dataFolder ?? '';
  printResult(input, context, { dataFolder, clusterId }, [
    `${dataFolder} is the first member of cluster ${clusterId}`,
  ]);
  return EXIT_CODE.ok;
}
