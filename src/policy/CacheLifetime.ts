/** Estimates how long each target keeps an unused chunk in its cache. */

/** Assumed until the first answer of a target. */
const INITIAL_LIFETIME_MS = 15_000;

const MIN_LIFETIME_MS = 500;
const MAX_LIFETIME_MS = 60_000;

/** Fraction by which one observation moves the estimate towards the observed age. */
const SMOOTHING_FACTOR = 0.2;

/**
 * Estimates the cache lifetime of each target. Engines evict the least recently used chunk, so a chunk is
 * cached if and only if it was used within a time that depends on the load and the memory of the engine.
 * An answer shows for the age of each chunk whether it was below or above this time.
 */
export class CacheLifetime {
  private readonly _lifetimes = new Map<string, number>();

  /** Time in milliseconds after which an unused chunk of the target counts as evicted. */
  public get(targetId: string): number {
    return this._lifetimes.get(targetId) ?? INITIAL_LIFETIME_MS;
  }

  /**
   * Corrects the estimate if a chunk older than it was cached or a younger one was evicted.
   *
   * @param ages age of the evidence of each chunk at the dispatch, in milliseconds
   * @param cachedChunks number of leading chunks that the target had cached
   */
  public observe(targetId: string, ages: readonly number[], cachedChunks: number): void {
    const oldestHit = Math.max(0, ...ages.slice(0, cachedChunks));
    const firstMiss = ages[cachedChunks];
    let lifetime = this.get(targetId);
    if (oldestHit > lifetime) {
      lifetime += SMOOTHING_FACTOR * (oldestHit - lifetime);
    }
    if (firstMiss !== undefined && firstMiss < lifetime) {
      lifetime -= SMOOTHING_FACTOR * (lifetime - firstMiss);
    }
    this._lifetimes.set(targetId, Math.min(MAX_LIFETIME_MS, Math.max(MIN_LIFETIME_MS, lifetime)));
  }

  public drop(targetId: string): void {
    this._lifetimes.delete(targetId);
  }
}
