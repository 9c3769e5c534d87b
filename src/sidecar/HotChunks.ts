/** Which chunks of one weights version the engine uses often, told by its cache events. */
import type { ICacheEvent } from './CacheIndex.js';

/** Engines evict idle chunks within seconds; a chunk that stays longer than this is in use. */
const HOT_AGE_MS = 8_000;

/** A chunk that was computed this often is wanted again and again. */
const HOT_STORES = 2;

/** Chunks remembered after their eviction; about 1 MB. */
const MAX_CHUNKS = 10_000;

interface IChunkUse {
  stores: number;
  /** Time since which the engine holds the chunk; undefined when it does not. */
  heldSince: number | undefined;
}

/**
 * Counts how often chunks were stored and how long they stay. It remembers them when the engine
 * restarts, and forgets them when its weights change.
 */
export class HotChunks {
  private readonly _uses = new Map<string, IChunkUse>();

  public apply(events: readonly ICacheEvent[], now: number): void {
    for (const event of events) {
      this._applyEvent(event, now);
    }
  }

  /** Marks all chunks as not held, for an engine that returned empty. */
  public release(): void {
    for (const use of this._uses.values()) {
      use.heldSince = undefined;
    }
  }

  /** Forgets all chunks, for other weights. */
  public clear(): void {
    this._uses.clear();
  }

  public isHeld(hash: string): boolean {
    return this._uses.get(hash)?.heldSince !== undefined;
  }

  /**
   * Hot chunks, those stored most often first. A chunk is used whenever one after it in a chain is, so
   * the beginning of a chain is never behind its end.
   */
  public list(limit: number, now: number): string[] {
    return [...this._uses]
      .filter(([, use]) => isHot(use, now))
      .sort(([, left], [, right]) => right.stores - left.stores)
      .slice(0, limit)
      .map(([hash]) => hash);
  }

  private _applyEvent(event: ICacheEvent, now: number): void {
    const use = this._uses.get(event.hash);
    if (event.type === 'removed') {
      if (use !== undefined) {
        use.heldSince = undefined;
      }
      return;
    }
    if (use !== undefined) {
      use.stores += 1;
      use.heldSince = now;
      return;
    }
    this._uses.set(event.hash, { stores: 1, heldSince: now });
    const [oldest] = this._uses.keys();
    if (this._uses.size > MAX_CHUNKS && oldest !== undefined) {
      this._uses.delete(oldest);
    }
  }
}

function isHot(use: IChunkUse, now: number): boolean {
  return (
    use.stores >= HOT_STORES || (use.heldSince !== undefined && now - use.heldSince >= HOT_AGE_MS)
  );
}
