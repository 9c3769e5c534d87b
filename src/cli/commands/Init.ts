/** `init`: makes a data folder the first control member of a new cluster. */
import { resolve } from 'node:path';
import { printResult, reportFailure } from '../Report.js';
import { EXIT_CODE, type ICommandContext, type ICommandInput } from '../Types.js';

/** Initialises the folder of --data. */
export async function initialiseFolder(
  input: ICommandInput,
  context: ICommandContext,
): Promise<number> {
  const dataFolder = resolve(input.getText('data') ?? '');
  const done = await context.initialiser.init(dataFolder);
  if (done.err) {
    reportFailure(input, context, done.val);
    return EXIT_CODE.refused;
  }
  const clusterId = done.val;
  printResult(input, context, { dataFolder, clusterId }, [
    `${dataFolder} is the first member of cluster ${clusterId}`,
  ]);
  return EXIT_CODE.ok;
}
