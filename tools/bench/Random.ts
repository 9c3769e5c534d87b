/** Seeded random numbers. */
import type { IRandom } from '../../src/policy/Types.js';

/** Mulberry32 generator; distinct streams come from distinct labels. */
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

/** Exponentially distributed time with the given mean. */
export function sampleExponential(random: IRandom, mean: number): number {
  return -Math.log(1 - random()) * mean;
}

/** Whole number between both bounds, inclusive. */
export function sampleInteger(random: IRandom, low: number, high: number): number {
  return low + Math.floor(random() * (high - low + 1));
}

/** Index drawn with the given weights. */
export function sampleIndex(random: IRandom, weights: readonly number[]): number {
  let left = random() * weights.reduce((sum, weight) => sum + weight, 0);
  for (const [index, weight] of weights.entries()) {
    left -= weight;
    if (left < 0) {
      return index;
    }
  }
  return weights.length - 1;
}
