/** Store of configuration items. The revision of an item is the log index of its last change. */
import { create } from '@bufbuild/protobuf';
import { hasSameBytes } from '../common/Hashes.js';
import { ItemSchema, type Item, type ItemChange } from '../gen/redwingwharf/v1/state_pb.js';

/**
 * Tombstones that are retained; a reader that needs a dropped one gets a full copy. The limit is a
 * number of tombstones, not an age in log entries, because each grant exchange adds a log entry too.
 */
export const MAX_TOMBSTONES = 10_000;

/** Items that bring a reader at an older revision up to date. */
export interface IChangedItems {
  /** True when `items` replaces all items of the reader. */
  readonly full: boolean;
  /** In the order of their last change; deltas include tombstones, a full copy does not. */
  readonly items: Item[];
}

/** Holds items and tombstones in the order of their last change, and lists deltas for readers. */
export class Items {
  private _items = new Map<string, Item>();
  /** Deleted items by key, the oldest deletion first. */
  private _tombstones = new Map<string, Item>();
  private _compactedRevision = 0;
  private _changedRevision = 0;

  /** Revision of the last dropped tombstone; readers behind it need a full copy. */
  public get compactedRevision(): number {
    return this._compactedRevision;
  }

  /** Revision of the last change to an item or tombstone. */
  public get changedRevision(): number {
    return this._changedRevision;
  }

  /** Returns the item, or undefined when it does not exist or was deleted. */
  public get(key: string): Item | undefined {
    const item = this._items.get(key);
    return item === undefined || item.deleted ? undefined : item;
  }

  /** Lists the items whose key begins with the prefix, without tombstones. */
  public list(prefix: string): Item[] {
    return [...this._items.values()].filter((item) => !item.deleted && item.key.startsWith(prefix));
  }

  /**
   * Applies the item changes of one command at a log index and returns the items that changed. An empty
   * value deletes the item; deleting an item that does not exist has no effect. An item that is set to
   * its current value keeps its revision, so that publishing it again does not outdate any dispatch.
   */
  public applyChanges(changes: readonly ItemChange[], index: number): Item[] {
    const changed = new Map<string, Item>();
    for (const change of changes) {
      const item = this._applyChange(change, index);
      if (item !== undefined) {
        changed.set(item.key, item);
      }
    }
    return [...changed.values()];
  }

  /** Drops the oldest tombstones beyond the limit. */
  public compact(maxTombstones = MAX_TOMBSTONES): void {
    for (const tombstone of this._tombstones.values()) {
      if (this._tombstones.size <= maxTombstones) {
        return;
      }
      this._tombstones.delete(tombstone.key);
      this._items.delete(tombstone.key);
      this._compactedRevision = Number(tombstone.revision);
    }
  }

  /**
   * Lists the changes after a revision, or a full copy for revision 0 and for readers that need a dropped
   * tombstone.
   *
   * @example
   * const { full, items } = state.listChangedSince(haveRevision);
   */
  public listChangedSince(revision: number): IChangedItems {
    if (revision <= 0 || revision < this._compactedRevision) {
      return { full: true, items: this.list('') };
    }
    if (revision >= this._changedRevision) {
      return { full: false, items: [] };
    }
    const since = BigInt(revision);
    return {
      full: false,
      items: [...this._items.values()].filter((item) => item.revision > since),
    };
  }

  /** All items and tombstones in the order of their last change. */
  public snapshot(): Item[] {
    return [...this._items.values()];
  }

  public restore(items: readonly Item[], compactedRevision: number): void {
    this._items = new Map(items.map((item) => [item.key, item]));
    const tombstones = items.filter((item) => item.deleted);
    this._tombstones = new Map(tombstones.map((item) => [item.key, item]));
    this._compactedRevision = compactedRevision;
    this._changedRevision = Number(items.at(-1)?.revision ?? 0);
  }

  private _applyChange(change: ItemChange, index: number): Item | undefined {
    const deleted = change.delete || change.value.length === 0;
    const existing = this.get(change.key);
    const isSame = existing !== undefined && !deleted && hasSameBytes(existing.value, change.value);
    if (isSame || (deleted && existing === undefined)) {
      return undefined;
    }
    const item = create(ItemSchema, {
      key: change.key,
      revision: BigInt(index),
      value: deleted ? new Uint8Array() : change.value,
      deleted,
    });
    this._items.delete(change.key);
    this._tombstones.delete(change.key);
    this._items.set(change.key, item);
    this._changedRevision = index;
    if (deleted) {
      this._tombstones.set(change.key, item);
    }
    return item;
  }
}
