/** Replicated records of the probes of quarantined prompt parts, so that a new leader does not repeat them. */
import { create } from '@bufbuild/protobuf';
import { ProbeRecordSchema, type ProbeRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import { formatParts } from './CrashEvidence.js';

/** Records that are kept; beyond that the oldest one is dropped. Each stands for at least two crashes of targets. */
const MAX_RECORDS = 1_024;

/**
 * Number of probes by parts. A record is dropped once a response with the parts has settled.
 *
 * @example
 * records.add({ parts: [7], count: 1 });
 * const count = records.getCount([7]); // 1
 */
export class ProbeRecords {
  /** By parts, oldest first. */
  private readonly _records = new Map<string, Pick<ProbeRecord, 'parts' | 'count'>>();

  public add({ parts, count }: Pick<ProbeRecord, 'parts' | 'count'>): void {
    const key = formatParts(parts);
    this._records.delete(key);
    if (count === 0) {
      return;
    }
    this._records.set(key, { parts, count });
    const [oldest] = this._records.keys();
    if (oldest !== undefined && this._records.size > MAX_RECORDS) {
      this._records.delete(oldest);
    }
  }

  /**
   * Probes of requests with any of the parts: which parts are listed together changes with each crash, and a part that
   * crashes targets must not be probed again under each list.
   */
  public getCount(parts: readonly number[]): number {
    const counts = parts.map((part) => this.listWith(part).map(({ count }) => count));
    return Math.max(0, ...counts.flat());
  }

  /** Records that contain a part, oldest first. */
  public listWith(part: number): readonly Pick<ProbeRecord, 'parts' | 'count'>[] {
    return [...this._records.values()].filter(({ parts }) => parts.includes(part));
  }

  /** Oldest first. */
  public list(): readonly ProbeRecord[] {
    return [...this._records.values()].map(({ parts, count }) =>
      create(ProbeRecordSchema, { parts: [...parts], count }),
    );
  }

  public restore(records: readonly ProbeRecord[]): void {
    this._records.clear();
    for (const record of records) {
      this.add(record);
    }
  }
}
