/** Seeded random numbers and samples of distributions. */
import type { IRandom } from '../../src/policy/Types.js';

/** Creates a Mulberry32 generator. Different labels give independent streams for the same seed. */
export function createRandom(seed: number, label: string): IRandom {
  let state = seed >>> 0;
  for (const char of label) {
    state = Math.imul(state ^ char.charCodeAt(0), 0x9e3779b1) >>> 0;
  }
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** Draws an exponentially distributed value with the given mean. */
export function sampleExponential(random: IRandom, mean: number): number {
  return -Math.log(1 - random()) * mean;
}

/** Draws an integer between both bounds, inclusive. */
export function sampleInteger(random: IRandom, low: number, high: number): number {
  return low + Math.floor(random() * (high - low + 1));
}

/** Draws an index with a probability proportional to its weight. */
export function sampleWeightedIndex(random: IRandom, weights: readonly number[]): number {
  let remaining = random() * weights.reduce((sum, weight) => sum + weight, 0);
  for (const [index, weight] of weights.entries()) {
    remaining -= weight;
    if (remaining < 0) {
      return index;
    }
  }
  return weights.length - 1;
}
