/** A copy of the configuration items that never goes back to an older revision. */
import { create } from '@bufbuild/protobuf';
import { Emitter } from '../common/Lifecycle.js';
import { hasSameBytes } from '../common/Hashes.js';
import { isBroken } from '../common/TestSwitches.js';
import {
  SyncResponseSchema,
  type SyncRequest,
  type SyncResponse,
} from '../gen/redwingwharf/v1/control_pb.js';
import type { Item } from '../gen/redwingwharf/v1/state_pb.js';
import type { IFeed, IFeedSource } from './Types.js';

/** Deleted items kept so that followers of this copy learn of the deletion. */
const MAX_TOMBSTONES = 10_000;

/** What became of a sync response. */
export type ApplyOutcome = 'applied' | 'behind' | 'other_cluster';

/**
 * Holds the items of the last applied response and serves them on.
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
  /** Revision of the last changed item. The revision of the copy also grows without a change. */
  private _changedRevision = 0;
  private _version = 0;
  private _confirmedAt: number | undefined;
  private _clusterId: Uint8Array = new Uint8Array();
  private _leaderAddress = '';
  /** Deltas can be served to readers at or above this revision. */
  private _deltasSince = 0;

  public readonly onChange = this._changeEmitter.onFire;

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

  public getConfirmedAt(): number | undefined {
    return this._confirmedAt;
  }

  public getItem(key: string): Item | undefined {
    return this._items.get(key);
  }

  public listItems(prefix: string): Item[] {
    return [...this._items.values()].filter((item) => item.key.startsWith(prefix));
  }

  /**
   * Applies a response to a request that this process sent at `requestSentAt`. A response with a
   * lower revision is ignored, so that a late or lagging server cannot bring older items back.
   */
  public applyResponse(response: SyncResponse, requestSentAt: number): ApplyOutcome {
    if (this._clusterId.length > 0 && !hasSameBytes(this._clusterId, response.clusterId)) {
      // A server that has not synced yet knows no cluster.
      return response.clusterId.length === 0 ? 'behind' : 'other_cluster';
    }
    const revision = Number(response.revision);
    TEST_ONLY: if (isBroken('feed-revert')) this._revision = Math.min(this._revision, revision);
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
    const isFull = haveRevision < this._deltasSince || haveRevision === 0;
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
    if (this._confirmedAt !== undefined) {
      response.ageMs = Math.max(0, Math.ceil(arrivedAt - this._confirmedAt));
    }
    return response;
  }

  /** Most polls find nothing new and must not cost more with more items. */
  private _listChangedSince(revision: number): Item[] {
    if (revision >= this._changedRevision) {
      return [];
    }
    return [...this._items.values(), ...this._tombstones.values()].filter(
      (item) => Number(item.revision) > revision,
    );
  }

  private _mergeItems(items: readonly Item[]): Item[] {
    const changed = items.filter((item) => this._isNewer(item));
    for (const item of changed) {
      this._changedRevision = Math.max(this._changedRevision, Number(item.revision));
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
    const present = new Set(response.items.map((item) => item.key));
    const removed = [...this._items.values()]
      .filter((item) => !present.has(item.key))
      .map((item) => ({ ...item, value: new Uint8Array(), deleted: true }));
    for (const item of removed) {
      this._items.delete(item.key);
    }
    // The revisions of the removals are not known, so readers behind this point need a full copy.
    this._tombstones.clear();
    this._deltasSince = Number(response.revision);
    this._changedRevision = this._deltasSince;
    return [...removed, ...this._mergeItems(response.items)];
  }

  private _isNewer(item: Item): boolean {
    const known = this._items.get(item.key) ?? this._tombstones.get(item.key);
    return known === undefined || item.revision > known.revision;
  }

  private _addTombstone(item: Item): void {
    this._tombstones.set(item.key, item);
    if (this._tombstones.size <= MAX_TOMBSTONES) {
      return;
    }
    const [oldest] = this._tombstones.values();
    if (oldest !== undefined) {
      this._tombstones.delete(oldest.key);
      this._deltasSince = Math.max(this._deltasSince, Number(oldest.revision));
    }
  }
}

/** Items whose keys begin with one of the prefixes; all items for no prefix. */
export function filterItems(items: readonly Item[], prefixes: readonly string[]): Item[] {
  return prefixes.length === 0
    ? [...items]
    : items.filter((item) => prefixes.some((prefix) => item.key.startsWith(prefix)));
}
