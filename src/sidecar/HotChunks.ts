/** Chunks of one weights version that the engine uses often, derived from its cache events. */
import type { ICacheEvent } from './CacheIndex.js';

/** Engines evict idle chunks within seconds, so a chunk that stays cached this long is in use. */
const HOT_AGE_MS = 8_000;

/** A chunk that was stored this often is requested repeatedly. */
const HOT_STORE_COUNT = 2;

/** Limit of the counted chunks, whether cached or evicted; this many take about 1 MB. */
const MAX_CHUNKS = 10_000;

interface IChunkUse {
  storeCount: number;
  /** Time at which the engine last stored the chunk; undefined when the chunk is not cached. */
  cachedSince: number | undefined;
}

/**
 * Counts how often each chunk was stored and since when it is cached. The counts survive a restart of
 * the engine (`markAllEvicted`) and are removed when its weights change (`clear`).
 */
export class HotChunks {
  private readonly _uses = new Map<string, IChunkUse>();

  public apply(events: readonly ICacheEvent[], now: number): void {
    for (const event of events) {
      this._applyEvent(event, now);
    }
  }

  /** Marks all chunks as not cached, for an engine that restarted with an empty cache. */
  public markAllEvicted(): void {
    for (const use of this._uses.values()) {
      use.cachedSince = undefined;
    }
  }

  /** Removes all chunks, for an engine that has other weights. */
  public clear(): void {
    this._uses.clear();
  }

  public isCached(hash: string): boolean {
    return this._uses.get(hash)?.cachedSince !== undefined;
  }

  /**
   * Returns the hot chunks, those stored most often first. Each use of a chunk also uses the chunks before
   * it in its chain, so the beginning of a chain never comes after its end.
   */
  public list(limit: number, now: number): string[] {
    return [...this._uses]
      .filter(([, use]) => isHot(use, now))
      .sort(([, left], [, right]) => right.storeCount - left.storeCount)
      .slice(0, limit)
      .map(([hash]) => hash);
  }

  private _applyEvent(event: ICacheEvent, now: number): void {
    const use = this._uses.get(event.hash);
    if (event.type === 'removed') {
      if (use !== undefined) {
        use.cachedSince = undefined;
      }
      return;
    }
    if (use !== undefined) {
      use.storeCount += 1;
      use.cachedSince = now;
      return;
    }
    this._uses.set(event.hash, { storeCount: 1, cachedSince: now });
    const [oldest] = this._uses.keys();
    if (this._uses.size > MAX_CHUNKS && oldest !== undefined) {
      this._uses.delete(oldest);
    }
  }
}

function isHot(use: IChunkUse, now: number): boolean {
  return (
    use.storeCount >= HOT_STORE_COUNT ||
    (use.cachedSince !== undefined && now - use.cachedSince >= HOT_AGE_MS)
  );
}
