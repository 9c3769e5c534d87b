/** Logs each decision about a request and keeps the latest ones in memory for `explain`. */
import type { ILog } from '../common/Log.js';

/** Number of requests whose decisions are kept in memory; they take about 2 MB. */
const MAX_KEPT_REQUESTS = 2_000;

/** Kind of a decision; the value of the field `decision` in the log line. */
export type DecisionKind = 'refused' | 'routed' | 'retried' | 'resumed' | 'claimed' | 'finished';

interface IRecord {
  readonly time: number;
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Writes one log line for each decision and keeps those of the latest requests. Fields never hold keys,
 * prompts or generated text.
 */
export class DecisionLog {
  private readonly _records = new Map<string, IRecord[]>();

  constructor(private readonly _log: ILog) {}

  public record(
    requestId: string,
    decision: DecisionKind,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    const logFields = { requestId, decision, ...fields };
    this._log.info('decision', logFields);
    // Few requests are explained, so the JSON text is only made on demand.
    const newRecord = { time: Date.now(), fields: logFields };
    const records = this._records.get(requestId);
    if (records !== undefined) {
      records.push(newRecord);
      return;
    }
    this._records.set(requestId, [newRecord]);
    if (this._records.size > MAX_KEPT_REQUESTS) {
      this._dropOldest();
    }
  }

  /** Decisions about a request as JSON lines; empty if they are no longer kept. */
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
