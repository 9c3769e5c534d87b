/** Versioned configuration items. The revision of an item is the log index of its last change. */
import { create } from '@bufbuild/protobuf';
import { ItemSchema, type Item, type ItemChange } from '../gen/redwingwharf/v1/state_pb.js';

/** A reader further behind than this gets a full copy, so older tombstones are not needed. */
export const TOMBSTONE_REVISIONS = 10_000;

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
  private _tombstones: Item[] = [];
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
   * deletes; deleting an item that does not exist changes nothing.
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

  /** Drops the tombstones that are `TOMBSTONE_REVISIONS` older than the log index. */
  public compact(index: number): void {
    const limit = BigInt(index - TOMBSTONE_REVISIONS);
    let oldest = this._tombstones[0];
    while (oldest !== undefined && oldest.revision <= limit) {
      this._tombstones.shift();
      // The key may have been set again since.
      if (this._items.get(oldest.key) === oldest) {
        this._items.delete(oldest.key);
        this._compactedRevision = Number(oldest.revision);
      }
      oldest = this._tombstones[0];
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
    this._tombstones = items.filter((item) => item.deleted);
    this._compactedRevision = compactedRevision;
    this._changedRevision = Number(items.at(-1)?.revision ?? 0);
  }

  private _applyChange(change: ItemChange, index: number): Item | undefined {
    const deleted = change.delete || change.value.length === 0;
    if (deleted && this.get(change.key) === undefined) {
      return undefined;
    }
    const item = create(ItemSchema, {
      key: change.key,
      revision: BigInt(index),
      value: deleted ? new Uint8Array() : change.value,
      deleted,
    });
    this._items.delete(change.key);
    this._items.set(change.key, item);
    this._changedRevision = index;
    if (deleted) {
      this._tombstones.push(item);
    }
    return item;
  }
}
