/** Guards against knowledge that counts as recent though the machine stood still since. */
import { describe, expect, it } from 'vitest';
import { SuspensionDetector } from './Suspension.js';

/** Reads the clocks at each step: milliseconds on the monotonic clock and on the time of day since the step before. */
function readResumedAt(steps: readonly (readonly [number, number])[]): number[] {
  let now = 0;
  let timeOfDay = 1e12;
  const detector = new SuspensionDetector(() => timeOfDay);
  return steps.map(([monotonicMs, dayMs]) => {
    now += monotonicMs;
    timeOfDay += dayMs;
    return detector.getResumedAt(now);
  });
}

describe('SuspensionDetector', () => {
  it('notices when the time of day goes on and the monotonic clock does not', () => {
    const steps = [
      [10, 10],
      [10, 10],
      [10, 3_010],
      [10, 10],
    ] as const;
    expect(readResumedAt(steps)).toEqual([-Infinity, -Infinity, 30, 30]);
  });

  it('takes no slow drift of the time of day for a suspension', () => {
    const steps = Array.from({ length: 200 }, () => [1_000, 1_001] as const);
    expect(readResumedAt(steps).at(-1)).toBe(-Infinity);
  });

  it('notices a suspension after the time of day was set back', () => {
    const steps = [
      [10, 10],
      [10, -5_000],
      [10, 510],
    ] as const;
    expect(readResumedAt(steps)).toEqual([-Infinity, -Infinity, 30]);
  });
});
