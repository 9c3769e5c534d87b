/** One log line for each decision, and the latest of them in memory for `explain`. */
import type { ILog } from '../common/Log.js';

/** Requests whose decisions are kept; about 2 MB. */
const MAX_REQUESTS = 2_000;

/** What kind of decision a record describes. */
export type DecisionKind = 'refused' | 'routed' | 'retried' | 'resumed' | 'claimed' | 'finished';

/** Records decisions. Fields never hold keys, prompts or generated text. */
export class DecisionLog {
  private readonly _records = new Map<string, string[]>();

  constructor(private readonly _log: ILog) {}

  public record(
    requestId: string,
    decision: DecisionKind,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    const record = { requestId, decision, ...fields };
    this._log.info('decision', record);
    const records = this._records.get(requestId) ?? [];
    records.push(JSON.stringify({ time: new Date().toISOString(), ...record }));
    this._records.set(requestId, records);
    const [oldest] = this._records.keys();
    if (this._records.size > MAX_REQUESTS && oldest !== undefined) {
      this._records.delete(oldest);
    }
  }

  /** Records of a request as JSON lines. */
  public explain(requestId: string): string[] {
    return [...(this._records.get(requestId) ?? [])];
  }
}
