/** Acceptance of operators' changes: compare-and-set by version, with recognition of resends. */
import { isBroken } from '../common/TestSwitches.js';
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

/** Accepted changes kept to answer resends and to name the holder of a version. */
export const CHANGES_KEPT = 10_000;

/** Digest of what a change does: version, operator and items, without the operation id. */
export function digestChange(change: Change): Uint8Array {
  return digestSha256(toBinary(ChangeSchema, { ...change, operationId: '' }));
}

/** The current version and the last accepted changes. */
export class Changes {
  private _version = 0n;
  private _byVersion = new Map<bigint, ChangeRecord>();
  private _byOperation = new Map<string, ChangeRecord>();

  public get version(): number {
    return Number(this._version);
  }

  /**
   * Decides on a change. It is accepted if and only if its version follows the current one. A resend
   * (same operation id and digest) gets the recorded result.
   */
  public accept(change: Change, index: number): ChangeResult {
    const digest = digestChange(change);
    const known = this._byOperation.get(change.operationId);
    if (known !== undefined) {
      return hasSameBytes(known.digest, digest)
        ? this._buildAccepted(known, true)
        : this._buildConflict(known, digest);
    }
    TEST_ONLY: if (isBroken('version-check')) change = { ...change, version: this._version + 1n };
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

  /** The records in the order of their versions. */
  public snapshot(): ChangeRecord[] {
    return [...this._byVersion.values()];
  }

  public restore(version: bigint, records: readonly ChangeRecord[]): void {
    this._byVersion = new Map();
    this._byOperation = new Map();
    for (const record of records) {
      this._append(record);
    }
    this._version = version;
  }

  private _append(record: ChangeRecord): void {
    this._version = record.version;
    this._byVersion.set(record.version, record);
    // Without an id a resend can't be told from another operator's change.
    if (record.operationId !== '') {
      this._byOperation.set(record.operationId, record);
    }
    const old = this._byVersion.get(record.version - BigInt(CHANGES_KEPT));
    if (old !== undefined) {
      this._byVersion.delete(old.version);
      this._byOperation.delete(old.operationId);
    }
  }

  private _buildAccepted(record: ChangeRecord, replayed: boolean): ChangeResult {
    const { version, revision } = record;
    return create(ChangeResultSchema, {
      outcome: { case: 'accepted', value: { version, revision, replayed } },
    });
  }

  private _buildConflict(takenBy: ChangeRecord | undefined, yourDigest: Uint8Array): ChangeResult {
    const holder = takenBy === undefined ? {} : { takenBy };
    return create(ChangeResultSchema, {
      outcome: {
        case: 'conflict',
        value: { currentVersion: this._version, yourDigest, ...holder },
      },
    });
  }
}
