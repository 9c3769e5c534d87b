/** Which targets leave, as far as it was acknowledged to them: a stop of all processes must not bring them back. */
import { clone } from '@bufbuild/protobuf';
import {
  TargetPhase,
  TargetRecordSchema,
  type TargetRecord,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { isLater } from './TargetOrder.js';

/** Departures that are kept; of more, the oldest are dropped. */
const MAX_DEPARTURES = 2_048;

/** The part of the replicated state that holds the last record of each target that leaves. */
export class Departures {
  private readonly _records = new Map<string, TargetRecord>();

  constructor(private readonly _maxRecords = MAX_DEPARTURES) {}

  /** Adds the record of a target that leaves, unless a later one is there. */
  public add(record: TargetRecord): void {
    if (this.isCovered(record)) {
      return;
    }
    this._records.delete(record.id);
    this._records.set(record.id, record);
    for (const id of this._records.keys()) {
      if (this._records.size <= this._maxRecords) {
        break;
      }
      this._records.delete(id);
    }
  }

  /** True if an announcement says nothing that is not known here already. */
  public isCovered(record: TargetRecord): boolean {
    const departure = this._records.get(record.id);
    return departure !== undefined && !isLater(record, departure);
  }

  /** Returns the record itself, or that of the departure if the record is older, as it may be after a restart. */
  public resolve(record: TargetRecord): TargetRecord {
    const departure = this._records.get(record.id);
    return departure === undefined || isLater(record, departure)
      ? record
      : clone(TargetRecordSchema, departure);
  }

  /** All records, oldest first. */
  public list(): readonly TargetRecord[] {
    return [...this._records.values()];
  }

  public restore(records: readonly TargetRecord[]): void {
    this._records.clear();
    for (const record of records) {
      this._records.set(record.id, record);
    }
  }
}

/** Commits the departures of targets that announce themselves to this process, each once. */
export class DepartureRecorder {
  /** Departures that are committed, by the id of their target. */
  private readonly _committed = new Map<string, TargetRecord>();

  constructor(
    private readonly _commit: (record: TargetRecord, signal: AbortSignal) => Promise<boolean>,
  ) {}

  /**
   * Resolves with true once the departure is committed. A target that leaves says so with each announcement, which
   * needs no commit of its own.
   */
  public async record(record: TargetRecord, signal: AbortSignal): Promise<boolean> {
    const committed = this._committed.get(record.id);
    if (committed?.born === record.born && committed.phase === record.phase) {
      return true;
    }
    const isCommitted = await this._commit(record, signal);
    if (isCommitted) {
      this._committed.set(record.id, record);
    }
    return isCommitted;
  }

  /** Has the next departure of a target committed, as it is ready again. */
  public forget(id: string): void {
    this._committed.delete(id);
  }
}

/** True if a target asks to get no new requests. */
export function isLeaving({ phase }: TargetRecord): boolean {
  return phase !== TargetPhase.READY;
}
