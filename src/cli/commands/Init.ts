/** `init`: makes the disk of a control member the first one of a new cluster. */
import { loadSettings } from '../../settings/SettingsLoader.js';
import { printResult, reportFailure } from '../Report.js';
import { EXIT_CODE, type ICommandContext, type ICommandInput } from '../Types.js';

/** Initialises the data folder that the settings name. */
export async function initialiseFolder(
  input: ICommandInput,
  context: ICommandContext,
): Promise<number> {
  const loaded = await loadSettings(input.getText('settings') ?? '');
  if (loaded.err) {
    reportFailure(input, context, loaded.val, { problems: loaded.val.problems });
    return EXIT_CODE.refused;
  }
  const done = await context.initialiser.init(loaded.val);
  if (done.err) {
    reportFailure(input, context, done.val);
    return EXIT_CODE.refused;
  }
  const clusterId = done.val;
  const dataFolder = loaded.val.control?.dataFolder ?? '';
  printResult(input, context, { dataFolder, clusterId }, [
    `${dataFolder} is the first member of cluster ${clusterId}`,
  ]);
  return EXIT_CODE.ok;
}
