/** Command `explain`: shows the decision records of one request. */
import { deriveTimeoutSignal } from '../../common/Tasks.js';
import { RosterService } from '../../gen/redwingwharf/v1/control_pb.js';
import { describeReadError, getTimeoutMs, useClients } from '../ControlAccess.js';
import { printResult, reportFailure } from '../Report.js';
import { EXIT_CODE, type ICommandContext, type ICommandInput } from '../Types.js';

interface IEntryRecords {
  readonly entry: string;
  readonly records: readonly string[];
}

function parseRecord(record: string): unknown {
  try {
    return JSON.parse(record) as unknown;
  } catch {
    return record;
  }
}

/** Reads the records of all given entries, because a request may have been resent to another entry. */
export async function explainRequest(
  input: ICommandInput,
  context: ICommandContext,
): Promise<number> {
  const requestId = input.positionals[0] ?? '';
  return useClients(input, context, async (clients) => {
    const signal = deriveTimeoutSignal(context.signal, getTimeoutMs(input));
    let unansweredCount = 0;
    const fetchOne = async (entry: string): Promise<IEntryRecords> => {
      try {
        const client = clients.get(RosterService, entry);
        const { records } = await client.explain({ requestId }, { signal });
        return { entry, records };
      } catch (error) {
        unansweredCount += 1;
        context.output.warn(describeReadError(entry, error).message);
        return { entry, records: [] };
      }
    };
    const entryRecords = await Promise.all(input.getList('entries').map(fetchOne));
    const records = entryRecords.flatMap(({ entry, records: texts }) =>
      texts.map((text) => ({ entry, text })),
    );
    if (records.length === 0) {
      const message = `No entry that answered has a record of request ${requestId}. Entries keep records for a short time; search their logs.`;
      reportFailure(input, context, { kind: 'no_record', message });
      return unansweredCount > 0 ? EXIT_CODE.unknown : EXIT_CODE.refused;
    }
    const data = records.map(({ entry, text }) => ({ entry, record: parseRecord(text) }));
    printResult(
      input,
      context,
      { requestId, records: data },
      records.map(({ entry, text }) => `${entry} ${text}`),
    );
    return EXIT_CODE.ok;
  });
}
