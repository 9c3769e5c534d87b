/** A copy of the configuration items whose revision never decreases. */
import { create } from '@bufbuild/protobuf';
import { MonotonicClock, type IClock } from '../common/Clock.js';
import { Emitter } from '../common/Lifecycle.js';
import { hasSameBytes } from '../common/Hashes.js';
import { NO_SUSPENSIONS, type ISuspensions } from '../common/Suspension.js';
import { isMechanismDisabled } from '../common/TestSwitches.js';
import {
  SyncResponseSchema,
  type SyncRequest,
  type SyncResponse,
} from '../gen/redwingwharf/v1/control_pb.js';
import type { Item } from '../gen/redwingwharf/v1/state_pb.js';
import type { IFeed, IFeedSource } from './Types.js';

/** Tombstones of deleted items are kept so that followers of this copy learn of the deletions. */
const MAX_TOMBSTONES = 10_000;

/** Result of a sync response: applied, of an older revision, or of another deployment. */
export type ApplyOutcome = 'applied' | 'behind' | 'other_cluster';

/**
 * Holds the items of the applied sync responses and serves them to other processes.
 *
 * @example
 * const copy = new FeedCopy();
 * copy.applyResponse(response, requestSentAt);
 * copy.getItem('service/order-desk');
 */
export class FeedCopy implements IFeed, IFeedSource {
  private readonly _items = new Map<string, Item>();
  private readonly _tombstones = new Map<string, Item>();
  private readonly _changeEmitter = new Emitter<readonly Item[]>();
  private _revision = 0;
  /** Revision of the last item change. `_revision` also grows without item changes. */
  private _lastChangeRevision = 0;
  private _version = 0;
  private _confirmedAt: number | undefined;
  private _clusterId: Uint8Array = new Uint8Array();
  private _leaderAddress = '';
  /** Readers at or above this revision can get a delta; those below it need a full copy. */
  private _minDeltaRevision = 0;

  public readonly onChange = this._changeEmitter.onFire;

  constructor(
    private readonly _clock: IClock = new MonotonicClock(),
    private readonly _suspensions: ISuspensions = NO_SUSPENSIONS,
  ) {}

  public get revision(): number {
    return this._revision;
  }

  public get version(): number {
    return this._version;
  }

  public get clusterId(): Uint8Array {
    return this._clusterId;
  }

  /** Internal address of the control leader as of the last response; empty when unknown. */
  public get leaderAddress(): string {
    return this._leaderAddress;
  }

  /** Undefined also while the copy was last confirmed before a suspension of this machine: its age is not known. */
  public getConfirmedAt(): number | undefined {
    const resumedAt = this._suspensions.getResumedAt(this._clock.now());
    return this._confirmedAt !== undefined && this._confirmedAt >= resumedAt
      ? this._confirmedAt
      : undefined;
  }

  public getItem(key: string): Item | undefined {
    return this._items.get(key);
  }

  public listItems(prefix: string): Item[] {
    return [...this._items.values()].filter((item) => item.key.startsWith(prefix));
  }

  /**
   * Applies a response to a request that this process sent at `requestSentAt`. A response with a
   * lower revision is ignored, so that a late or lagging server cannot restore older items.
   */
  public applyResponse(response: SyncResponse, requestSentAt: number): ApplyOutcome {
    if (this._clusterId.length > 0 && !hasSameBytes(this._clusterId, response.clusterId)) {
      // A server that has not synced yet does not know its cluster id.
      return response.clusterId.length === 0 ? 'behind' : 'other_cluster';
    }
    const revision = Number(response.revision);
    TEST_ONLY: if (isMechanismDisabled('feed-revert'))
      this._revision = Math.min(this._revision, revision);
    if (revision < this._revision) {
      return 'behind';
    }
    this._clusterId = response.clusterId;
    this._leaderAddress = response.leaderAddress;
    const changed = response.full ? this._replaceItems(response) : this._mergeItems(response.items);
    this._revision = revision;
    this._version = Number(response.version);
    if (response.ageMs !== undefined) {
      const confirmedAt = requestSentAt - response.ageMs;
      this._confirmedAt = Math.max(this._confirmedAt ?? -Infinity, confirmedAt);
    }
    if (changed.length > 0) {
      this._changeEmitter.fire(changed);
    }
    return 'applied';
  }

  public sync(request: SyncRequest, arrivedAt: number): SyncResponse {
    const haveRevision = Number(request.haveRevision);
    const isFull = haveRevision < this._minDeltaRevision || haveRevision === 0;
    const changed = isFull ? [...this._items.values()] : this._listChangedSince(haveRevision);
    const items = filterItems(changed, request.prefixes);
    const response = create(SyncResponseSchema, {
      clusterId: this._clusterId,
      revision: BigInt(this._revision),
      version: BigInt(this._version),
      items,
      full: isFull,
      leaderAddress: this._leaderAddress,
    });
    const confirmedAt = this.getConfirmedAt();
    if (confirmedAt !== undefined) {
      response.ageMs = Math.max(0, Math.ceil(arrivedAt - confirmedAt));
    }
    return response;
  }

  /** Items and tombstones changed after a revision. Most polls find none, so these don't scan the items. */
  private _listChangedSince(revision: number): Item[] {
    if (revision >= this._lastChangeRevision) {
      return [];
    }
    return [...this._items.values(), ...this._tombstones.values()].filter(
      (item) => Number(item.revision) > revision,
    );
  }

  private _mergeItems(items: readonly Item[]): Item[] {
    const changed = items.filter((item) => this._isNewer(item));
    for (const item of changed) {
      this._lastChangeRevision = Math.max(this._lastChangeRevision, Number(item.revision));
      if (item.deleted) {
        this._items.delete(item.key);
        this._addTombstone(item);
      } else {
        this._items.set(item.key, item);
        this._tombstones.delete(item.key);
      }
    }
    return changed;
  }

  private _replaceItems(response: SyncResponse): Item[] {
    const presentKeys = new Set(response.items.map((item) => item.key));
    const removed = [...this._items.values()]
      .filter((item) => !presentKeys.has(item.key))
      .map((item) => ({ ...item, value: new Uint8Array(), deleted: true }));
    for (const item of removed) {
      this._items.delete(item.key);
    }
    // The revisions of the removals are not known, so readers below this revision need a full copy.
    this._tombstones.clear();
    this._minDeltaRevision = Number(response.revision);
    this._lastChangeRevision = this._minDeltaRevision;
    return [...removed, ...this._mergeItems(response.items)];
  }

  private _isNewer(item: Item): boolean {
    const existing = this._items.get(item.key) ?? this._tombstones.get(item.key);
    return existing === undefined || item.revision > existing.revision;
  }

  private _addTombstone(item: Item): void {
    this._tombstones.set(item.key, item);
    if (this._tombstones.size <= MAX_TOMBSTONES) {
      return;
    }
    const [oldest] = this._tombstones.values();
    if (oldest !== undefined) {
      this._tombstones.delete(oldest.key);
      this._minDeltaRevision = Math.max(this._minDeltaRevision, Number(oldest.revision));
    }
  }
}

/** Items whose keys begin with one of the prefixes; all items if there are no prefixes. */
export function filterItems(items: readonly Item[], prefixes: readonly string[]): Item[] {
  return prefixes.length === 0
    ? [...items]
    : items.filter((item) => prefixes.some((prefix) => item.key.startsWith(prefix)));
}
