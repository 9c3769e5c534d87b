/** One log line for each decision, and the latest of them in memory for `explain`. */
import type { ILog } from '../common/Log.js';

/** Requests whose decisions are kept; about 2 MB. */
const MAX_REQUESTS = 2_000;

/** What kind of decision a record describes. */
export type DecisionKind = 'refused' | 'routed' | 'retried' | 'resumed' | 'claimed' | 'finished';

interface IRecord {
  readonly time: number;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Records decisions. Fields never hold keys, prompts or generated text. */
export class DecisionLog {
  private readonly _records = new Map<string, IRecord[]>();

  constructor(private readonly _log: ILog) {}

  public record(
    requestId: string,
    decision: DecisionKind,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    const record = { requestId, decision, ...fields };
    this._log.info('decision', record);
    // Few requests are explained, so the text is made when it is asked for.
    const entry = { time: Date.now(), fields: record };
    const records = this._records.get(requestId);
    if (records !== undefined) {
      records.push(entry);
      return;
    }
    this._records.set(requestId, [entry]);
    if (this._records.size > MAX_REQUESTS) {
      this._dropOldest();
    }
  }

  /** Records of a request as JSON lines. */
  public explain(requestId: string): string[] {
    const records = this._records.get(requestId) ?? [];
    return records.map(({ time, fields }) =>
      JSON.stringify({ time: new Date(time).toISOString(), ...fields }),
    );
  }

  private _dropOldest(): void {
    const [oldest] = this._records.keys();
    if (oldest !== undefined) {
      this._records.delete(oldest);
    }
  }
}
