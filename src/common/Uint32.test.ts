/** Guards against a number that makes a message impossible to encode. */
import { describe, expect, it } from 'vitest';
import { clampToUint32 } from './Uint32.js';

describe('clampToUint32', () => {
  it.each([
    [7, 7],
    [6.5, 7],
    [-3, 0],
    [-0.2, 0],
    [2 ** 32 - 1, 2 ** 32 - 1],
    [2 ** 32, 2 ** 32 - 1],
    [1e300, 2 ** 32 - 1],
    [Number.POSITIVE_INFINITY, 2 ** 32 - 1],
    [Number.NEGATIVE_INFINITY, 0],
    [Number.NaN, 0],
  ])('maps %d to %d', (value, expected) => {
    expect(clampToUint32(value) + 0).toBe(expected);
  });
});
