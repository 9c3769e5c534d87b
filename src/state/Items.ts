/** Versioned configuration items. The revision of an item is the log index of its last change. */
import { create } from '@bufbuild/protobuf';
import { hasSameBytes } from '../common/Hashes.js';
import { ItemSchema, type Item, type ItemChange } from '../gen/redwingwharf/v1/state_pb.js';

/**
 * Tombstones kept; a reader that misses a dropped one gets a full copy. They are counted and not aged
 * by the log index, because the index also grows with every exchange of grants.
 */
export const MAX_TOMBSTONES = 10_000;

/** What a reader at an older revision needs. */
export interface IItemsSince {
  /** True when `items` replaces everything that the reader holds. */
  readonly full: boolean;
  /** In the order of their last change; deltas include tombstones, a full copy does not. */
  readonly items: Item[];
}

/** Items and tombstones in the order of their last change. */
export class Items {
  private _items = new Map<string, Item>();
  /** Deleted items by key, the oldest deletion first. */
  private _tombstones = new Map<string, Item>();
  private _compactedRevision = 0;
  private _changedRevision = 0;

  /** Readers behind this revision miss a dropped tombstone and need a full copy. */
  public get compactedRevision(): number {
    return this._compactedRevision;
  }

  /** Revision of the last change to any item that is still known. */
  public get changedRevision(): number {
    return this._changedRevision;
  }

  /** The item, or undefined when it does not exist or was deleted. */
  public get(key: string): Item | undefined {
    const item = this._items.get(key);
    return item === undefined || item.deleted ? undefined : item;
  }

  /** Items whose key begins with the prefix, without tombstones. */
  public list(prefix: string): Item[] {
    return [...this._items.values()].filter((item) => !item.deleted && item.key.startsWith(prefix));
  }

  /**
   * Applies one change at a log index and returns the items that differ afterwards. An empty value
   * deletes; deleting an item that does not exist changes nothing. An item that is set to the value it
   * has keeps its revision, so that publishing it again makes no dispatch out of date.
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
   * Changes after a revision.
   *
   * @example
   * const { full, items } = state.listChangedSince(haveRevision);
   */
  public listChangedSince(revision: number): IItemsSince {
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
    const known = this.get(change.key);
    const isSame = known !== undefined && !deleted && hasSameBytes(known.value, change.value);
    if (isSame || (deleted && known === undefined)) {
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
