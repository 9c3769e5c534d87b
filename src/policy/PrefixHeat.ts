/** Counts how many recent requests begin with each prefix. */
import type { ChainHash } from './Types.js';

/** Half-life of a request in the counts; hot prefixes change within tens of seconds. */
const HALF_LIFE_MS = 10_000;

/** Number of prefixes with a counter; beyond it the least recently used ones are dropped. */
const MAX_COUNTED_PREFIXES = 20_000;

interface ICounter {
  value: number;
  updatedAt: number;
}

function computeDecayed(counter: ICounter, now: number): number {
  return counter.value * 2 ** (-(now - counter.updatedAt) / HALF_LIFE_MS);
}

/** Request counts by prefix, with exponential decay. */
export class PrefixHeat {
  private readonly _counters = new Map<ChainHash, ICounter>();
  private readonly _total: ICounter = { value: 0, updatedAt: 0 };

  /** Counts a request for each of its prefixes. */
  public record(chain: readonly ChainHash[], now: number): void {
    this._total.value = computeDecayed(this._total, now) + 1;
    this._total.updatedAt = now;
    for (const hash of chain) {
      const counter = this._counters.get(hash);
      const value = counter === undefined ? 1 : computeDecayed(counter, now) + 1;
      // Reinserted at the end, so that the first key is the least recently used one.
      this._counters.delete(hash);
      this._counters.set(hash, { value, updatedAt: now });
    }
    for (const hash of this._counters.keys()) {
      if (this._counters.size <= MAX_COUNTED_PREFIXES) {
        break;
      }
      this._counters.delete(hash);
    }
  }

  /** Decayed number of requests that began with the prefix. */
  public count(hash: ChainHash, now: number): number {
    const counter = this._counters.get(hash);
    return counter === undefined ? 0 : computeDecayed(counter, now);
  }

  /** Decayed number of all requests. */
  public countAll(now: number): number {
    return computeDecayed(this._total, now);
  }
}
