/** Learns how long each target keeps a chunk that is not used. */

/** Assumed until answers tell more. */
const INITIAL_LIFETIME_MS = 15_000;

const MIN_LIFETIME_MS = 500;
const MAX_LIFETIME_MS = 60_000;

/** Share of the distance covered by one observation. */
const GAIN = 0.2;

/**
 * Engines evict the least recently used chunk, so that a chunk is present if and only if it was
 * used within a time that depends on the load and the memory of the engine. Answers show on which
 * side of this time an age was.
 */
export class CacheLifetime {
  private readonly _lifetimes = new Map<string, number>();

  /** Milliseconds after which an unused chunk of this target counts as evicted. */
  public get(targetId: string): number {
    return this._lifetimes.get(targetId) ?? INITIAL_LIFETIME_MS;
  }

  /**
   * Compares the ages of the evidence at the dispatch with the chunks that were cached.
   *
   * @param ages age of the evidence of each chunk in milliseconds
   */
  public observe(targetId: string, ages: readonly number[], cachedChunks: number): void {
    const oldestHit = Math.max(0, ...ages.slice(0, cachedChunks));
    const firstMiss = ages[cachedChunks];
    let lifetime = this.get(targetId);
    if (oldestHit > lifetime) {
      lifetime += GAIN * (oldestHit - lifetime);
    }
    if (firstMiss !== undefined && firstMiss < lifetime) {
      lifetime -= GAIN * (lifetime - firstMiss);
    }
    this._lifetimes.set(targetId, Math.min(MAX_LIFETIME_MS, Math.max(MIN_LIFETIME_MS, lifetime)));
  }

  public drop(targetId: string): void {
    this._lifetimes.delete(targetId);
  }
}
