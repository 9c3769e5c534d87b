/**
 * Fits response times to additive terms. The terms are scaled by first guesses, so that each coefficient is 1 where the
 * guess is right. The sums are additive: those of several processes can be added up.
 */

/** Number of coefficients: constant, computed prompt, running requests, queued prompts. */
export const TERM_COUNT = 4;

/**
 * Bounds of the coefficients, so that no run of odd samples makes a term vanish or dominate. The delay by a running request
 * may be much lower than its first guess: some engines add 0.04 ms to each of a few steps, where 1.5 ms are assumed.
 */
const MIN_COEFFICIENTS = [0.25, 0.25, 0.03, 0.25] as const;
const MAX_COEFFICIENT = 4;

/**
 * Weight of each first guess in the fit, in samples. The constant and the delay by running requests are small parts of
 * most times, so that their samples tell little of them.
 */
const GUESS_WEIGHTS = [1, 4, 4, 4] as const;

/**
 * Weight with which queued prompts are taken to be computed as fast as the own one. The queue is known late, which
 * alone would make its coefficient too small and all entries choose the same target.
 */
const EQUAL_SPEED_WEIGHT = 30;

/** Sweeps of the solver; the error falls by a constant factor in each. */
const SWEEPS = 100;

const PROMPT_TERM = 1;
const QUEUE_TERM = 3;

/** Weighted sums of the normal equations. */
export interface ITimeSums {
  samples: number;
  /** Upper triangle of the matrix by rows. */
  readonly products: number[];
  readonly moments: number[];
}

export type Coefficients = readonly number[];

/** Coefficients of the first guess. */
export const FIRST_GUESS: Coefficients = [1, 1, 1, 1];

const PRODUCT_COUNT = (TERM_COUNT * (TERM_COUNT + 1)) / 2;

export function createSums(): ITimeSums {
  return {
    samples: 0,
    products: new Array<number>(PRODUCT_COUNT).fill(0),
    moments: new Array<number>(TERM_COUNT).fill(0),
  };
}

/**
 * Adds one response. Terms and result are relative to the expected time, so that short and long requests count alike.
 *
 * @param terms scaled terms, divided by the expected time
 * @param ratio measured time divided by the expected time
 */
export function addSample(sums: ITimeSums, terms: readonly number[], ratio: number): void {
  let index = 0;
  terms.forEach((left, row) => {
    for (const right of terms.slice(row)) {
      sums.products[index] = (sums.products[index] ?? 0) + left * right;
      index += 1;
    }
    sums.moments[row] = (sums.moments[row] ?? 0) + left * ratio;
  });
  sums.samples += 1;
}

/** Adds other sums; missing numbers count as 0, and numbers that are not finite are left out. */
export function addSums(sums: ITimeSums, other: Readonly<ITimeSums>): void {
  const numbers = [other.samples, ...other.products, ...other.moments];
  if (!numbers.every(Number.isFinite) || other.samples < 0) {
    return;
  }
  sums.samples += other.samples;
  sums.products.forEach((value, i) => (sums.products[i] = value + (other.products[i] ?? 0)));
  sums.moments.forEach((value, i) => (sums.moments[i] = value + (other.moments[i] ?? 0)));
}

/** Multiplies all sums by a factor, which makes them forget. */
export function scaleSums(sums: ITimeSums, factor: number): void {
  sums.samples *= factor;
  sums.products.forEach((value, i) => (sums.products[i] = value * factor));
  sums.moments.forEach((value, i) => (sums.moments[i] = value * factor));
}

/**
 * Returns the coefficients within their bounds that fit the sums best, regularised towards `guess`.
 *
 * @example
 * const coefficients = computeCoefficients(sums, FIRST_GUESS);
 */
export function computeCoefficients(sums: Readonly<ITimeSums>, guess: Coefficients): Coefficients {
  const { matrix, right } = buildEquations(sums, guess);
  const fitted = [...guess];
  for (let sweep = 0; sweep < SWEEPS; sweep += 1) {
    // One coefficient at a time within its bounds, which converges as the matrix is positive definite.
    matrix.forEach((row, i) => {
      const others = row.reduce(
        (sum, value, j) => sum + (j === i ? 0 : value * (fitted[j] ?? 0)),
        0,
      );
      const best = ((right[i] ?? 0) - others) / (row[i] ?? 1);
      fitted[i] = Math.min(MAX_COEFFICIENT, Math.max(MIN_COEFFICIENTS[i] ?? 0, best));
    });
  }
  return fitted;
}

function buildEquations(
  { products, moments }: Readonly<ITimeSums>,
  guess: Coefficients,
): { matrix: number[][]; right: number[] } {
  const matrix = guess.map(() => new Array<number>(TERM_COUNT).fill(0));
  let index = 0;
  for (let i = 0; i < TERM_COUNT; i += 1) {
    for (let j = i; j < TERM_COUNT; j += 1) {
      const value = products[index] ?? 0;
      addTo(matrix, i, j, value);
      if (i !== j) {
        addTo(matrix, j, i, value);
      }
      index += 1;
    }
  }
  const right = guess.map((value, i) => (moments[i] ?? 0) + (GUESS_WEIGHTS[i] ?? 1) * value);
  GUESS_WEIGHTS.forEach((weight, i) => {
    addTo(matrix, i, i, weight);
  });
  addTo(matrix, PROMPT_TERM, PROMPT_TERM, EQUAL_SPEED_WEIGHT);
  addTo(matrix, QUEUE_TERM, QUEUE_TERM, EQUAL_SPEED_WEIGHT);
  addTo(matrix, PROMPT_TERM, QUEUE_TERM, -EQUAL_SPEED_WEIGHT);
  addTo(matrix, QUEUE_TERM, PROMPT_TERM, -EQUAL_SPEED_WEIGHT);
  return { matrix, right };
}

function addTo(matrix: readonly number[][], i: number, j: number, value: number): void {
  const row = matrix[i];
  if (row !== undefined) {
    row[j] = (row[j] ?? 0) + value;
  }
}
