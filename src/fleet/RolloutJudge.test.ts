/** Guards against good versions that are rolled back by chance, and bad ones that are noticed late. */
import { describe, expect, it } from 'vitest';
import { RolloutJudge } from './RolloutJudge.js';

function createRandom(seed: number): () => number {
  // The generator of Park and Miller.
  let state = seed * 7_919 + 1;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

interface ITrial {
  readonly seed: number;
  readonly oldFailures: number;
  readonly newFailures: number;
  readonly slowness: number;
  /** Responses of the new version at most. */
  readonly limit: number;
}

/** Returns the number of responses of the new version until it is found to be bad; undefined if it is not. */
function countUntilBad({
  seed,
  oldFailures,
  newFailures,
  slowness,
  limit,
}: ITrial): number | undefined {
  const random = createRandom(seed);
  const judge = new RolloutJudge();
  const addAnswer = (isNew: boolean): void => {
    const isBad = random() < (isNew ? newFailures : oldFailures);
    // About the spread of response times of targets with speeds of 0.55 to 1.3.
    const log = (random() + random() + random() - 1.5) * 0.9 + (isNew ? Math.log(slowness) : 0);
    const times = isBad ? 0 : 1;
    judge.add({
      route: 'assist',
      isNew,
      good: times,
      bad: 1 - times,
      times,
      logSum: times * log,
      logSquareSum: times * log * log,
    });
  };
  for (let i = 0; i < 40; i += 1) {
    addAnswer(false);
  }
  for (let count = 1; count <= limit; count += 1) {
    // Old versions get most requests at first, and none in the end.
    for (let i = 0; i < (count < 50 ? 10 : 1); i += 1) {
      addAnswer(false);
    }
    addAnswer(true);
    if (judge.getVerdict().kind === 'bad') {
      return count;
    }
  }
  return undefined;
}

function runTrials(count: number, trial: Omit<ITrial, 'seed'>): (number | undefined)[] {
  return Array.from({ length: count }, (_, i) => countUntilBad({ ...trial, seed: i + 1 }));
}

function computeMedian(counts: readonly (number | undefined)[]): number {
  const sorted = counts.map((item) => item ?? Infinity).sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? Infinity;
}

describe('a good version', () => {
  it.each([0, 0.02, 0.14])('that fails like the old one (%s) is not rolled back', (failures) => {
    const trial = { oldFailures: failures, newFailures: failures, slowness: 1, limit: 1_500 };
    const found = runTrials(1_000, trial).filter((count) => count !== undefined);
    expect(found.length).toBeLessThanOrEqual(3);
  });

  it('on slow machines is not rolled back', () => {
    const trial = { oldFailures: 0, newFailures: 0, slowness: 1.4, limit: 1_500 };
    const found = runTrials(300, trial).filter((count) => count !== undefined);
    expect(found.length).toBeLessThanOrEqual(1);
  });
});

describe('a bad version', () => {
  it('that fails more often by 20 percentage points is found after about 25 responses', () => {
    const trial = { oldFailures: 0, newFailures: 0.2, slowness: 1, limit: 400 };
    expect(computeMedian(runTrials(200, trial))).toBeLessThanOrEqual(25);
  });

  it('is found on a route that fails anyway', () => {
    const trial = { oldFailures: 0.14, newFailures: 0.34, slowness: 1, limit: 400 };
    expect(computeMedian(runTrials(200, trial))).toBeLessThanOrEqual(75);
  });

  it('that is slower by a factor of three is found after about 15 responses', () => {
    const trial = { oldFailures: 0, newFailures: 0, slowness: 3, limit: 400 };
    expect(computeMedian(runTrials(200, trial))).toBeLessThanOrEqual(15);
  });
});
