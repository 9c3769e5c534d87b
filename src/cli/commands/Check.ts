/** Command `check`: validates the operator files without any connection. */
import { encodeHex } from '../../common/Hashes.js';
import { loadOperatorFiles } from '../OperatorFiles.js';
import { printResult, reportFailure } from '../Report.js';
import { EXIT_CODE, type ICommandContext, type ICommandInput } from '../Types.js';

/** Checks all files together and prints the digest of their content. */
export async function checkFiles(input: ICommandInput, context: ICommandContext): Promise<number> {
  const loaded = await loadOperatorFiles(input.positionals);
  if (loaded.err) {
    reportFailure(input, context, loaded.val, { problems: loaded.val.problems });
    return EXIT_CODE.refused;
  }
  const { files, items } = loaded.val;
  const digest = encodeHex(loaded.val.digest);
  const keys = items.map((item) => item.key);
  printResult(input, context, { files, items: keys, digest }, [
    `${files.length} files, ${keys.length} items, digest ${digest}`,
  ]);
  return EXIT_CODE.ok;
}
