/** Announcements of targets that a process has yet to pass on to the hub. */
import { clampToUint32 } from '../common/Uint32.js';
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import { isLater } from './TargetOrder.js';

interface IPendingAnnouncement {
  readonly record: TargetRecord;
  /** Monotonic time in milliseconds at which the target sent it to this process; undefined if it is repeated. */
  readonly arrivedAt: number | undefined;
}

/** Holds the last announcement of each target until a hub has answered an exchange that contained it. */
export class PendingAnnouncements {
  private readonly _pending = new Map<string, IPendingAnnouncement>();

  /** Queues an announcement that a target sent to this process; ignored if a later one of the target is queued. */
  public add(record: TargetRecord, now: number): void {
    const pending = this._pending.get(record.id)?.record;
    if (pending !== undefined && isLater(pending, record)) {
      return;
    }
    this._pending.set(record.id, { record, arrivedAt: now });
  }

  /** Queues known records for a hub that may lack them. */
  public repeat(records: readonly TargetRecord[]): void {
    for (const record of records) {
      if (!this._pending.has(record.id)) {
        this._pending.set(record.id, { record, arrivedAt: undefined });
      }
    }
  }

  /** Copies of the queued announcements with their ages. */
  public list(now: number): readonly TargetRecord[] {
    return [...this._pending.values()].map(({ record, arrivedAt }) => ({
      ...record,
      ageMs: clampToUint32(now - (arrivedAt ?? now)),
    }));
  }

  /** Drops what a hub has received; an announcement that was queued later stays. */
  public removeReported(reported: readonly TargetRecord[]): void {
    for (const record of reported) {
      const pending = this._pending.get(record.id)?.record;
      if (pending !== undefined && !isLater(pending, record)) {
        this._pending.delete(record.id);
      }
    }
  }
}
