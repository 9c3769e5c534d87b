/** Accepts operators' changes by compare-and-set on the version, and recognises resends. */
import { isMechanismDisabled } from '../common/TestSwitches.js';
import { create, toBinary } from '@bufbuild/protobuf';
import { digestSha256, hasSameBytes } from '../common/Hashes.js';
import {
  ChangeRecordSchema,
  ChangeResultSchema,
  ChangeSchema,
  type Change,
  type ChangeRecord,
  type ChangeResult,
} from '../gen/redwingwharf/v1/state_pb.js';

/** Accepted changes that are retained to answer resends and to name the change that took a version. */
export const RETAINED_CHANGES = 10_000;

/** Digest of what a change does: version, operator and items, without the operation id. */
export function digestChange(change: Change): Uint8Array {
  return digestSha256(toBinary(ChangeSchema, { ...change, operationId: '' }));
}

/** Holds the current version and the records of the last accepted changes. */
export class Changes {
  private _version = 0n;
  private _byVersion = new Map<bigint, ChangeRecord>();
  private _byOperationId = new Map<string, ChangeRecord>();

  public get version(): number {
    return Number(this._version);
  }

  /**
   * Accepts a change if and only if its version is the next one. A resend (same operation id and digest)
   * gets the recorded result; everything else gets a conflict.
   */
  public accept(change: Change, index: number): ChangeResult {
    const digest = digestChange(change);
    const recorded = this._byOperationId.get(change.operationId);
    if (recorded !== undefined) {
      return hasSameBytes(recorded.digest, digest)
        ? this._buildAccepted(recorded, true)
        : this._buildConflict(recorded, digest);
    }
    TEST_ONLY: if (isMechanismDisabled('version-check'))
      change = { ...change, version: this._version + 1n };
    if (change.version !== this._version + 1n) {
      return this._buildConflict(this._byVersion.get(change.version), digest);
    }
    const record = create(ChangeRecordSchema, {
      operationId: change.operationId,
      version: change.version,
      operator: change.operator,
      digest,
      revision: BigInt(index),
    });
    this._append(record);
    return this._buildAccepted(record, false);
  }

  /** Returns the records in the order of their versions. */
  public snapshot(): ChangeRecord[] {
    return [...this._byVersion.values()];
  }

  public restore(version: bigint, records: readonly ChangeRecord[]): void {
    this._byVersion = new Map();
    this._byOperationId = new Map();
    for (const record of records) {
      this._append(record);
    }
    this._version = version;
  }

  private _append(record: ChangeRecord): void {
    this._version = record.version;
    this._byVersion.set(record.version, record);
    // Without an operation id, a resend can't be distinguished from another operator's change.
    if (record.operationId !== '') {
      this._byOperationId.set(record.operationId, record);
    }
    const evicted = this._byVersion.get(record.version - BigInt(RETAINED_CHANGES));
    if (evicted !== undefined) {
      this._byVersion.delete(evicted.version);
      this._byOperationId.delete(evicted.operationId);
    }
  }

  private _buildAccepted(record: ChangeRecord, replayed: boolean): ChangeResult {
    const { version, revision } = record;
    return create(ChangeResultSchema, {
      outcome: { case: 'accepted', value: { version, revision, replayed } },
    });
  }

  private _buildConflict(takenBy: ChangeRecord | undefined, yourDigest: Uint8Array): ChangeResult {
    const conflicting = takenBy === undefined ? {} : { takenBy };
    return create(ChangeResultSchema, {
      outcome: {
        case: 'conflict',
        value: { currentVersion: this._version, yourDigest, ...conflicting },
      },
    });
  }
}
