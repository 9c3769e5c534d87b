/** Measures time and memory of a step, and fits a line to measurements at several sizes. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** One quantity, measured at several sizes. */
export interface ISlope {
  readonly name: string;
  readonly unit: string;
  /** What the size counts, such as targets. */
  readonly per: string;
  readonly points: readonly ISlopePoint[];
}

/** Measured value at one size. */
export interface ISlopePoint {
  readonly size: number;
  readonly value: number;
}

const BYTES_PER_KILOBYTE = 1_024;
const US_PER_MS = 1_000;

/** Repetitions of a timed step. The median is used, because other processes share the machine. */
const TIME_REPETITIONS = 5;

const MEMORY_REPETITIONS = 3;

setFlagsFromString('--expose_gc');
const collectGarbage = runInNewContext('gc') as () => void;

/**
 * Returns the median time in microseconds for one of the `unitsPerStep` units of work of `step`.
 */
export function measureUs(unitsPerStep: number, step: () => void): number {
  const times = Array.from({ length: TIME_REPETITIONS }, () => {
    const startedAt = performance.now();
    step();
    return ((performance.now() - startedAt) * US_PER_MS) / unitsPerStep;
  });
  return computeUpperMedian(times);
}

/**
 * Returns the median memory, heap and buffers, that the result of `create` retains, in kilobytes.
 * The first sample is dropped, because it also contains compiled code and garbage of earlier
 * measurements.
 */
export function measureKilobytes(create: () => unknown): number {
  const samples = Array.from({ length: MEMORY_REPETITIONS + 1 }, () =>
    measureRetainedKilobytes(create),
  );
  return computeUpperMedian(samples.slice(1));
}

function measureRetainedKilobytes(create: () => unknown): number {
  collectGarbage();
  collectGarbage();
  const before = sumMemory();
  const retained = create();
  collectGarbage();
  collectGarbage();
  const after = sumMemory();
  // This use also keeps the result reachable during the collection above.
  return retained === undefined ? 0 : (after - before) / BYTES_PER_KILOBYTE;
}

/** Returns the median; for an even number of values, the upper one of the middle two. */
export function computeUpperMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** Returns the slope of the least-squares line: the value that one more unit of size adds. */
export function computeSlope(points: readonly ISlopePoint[]): number {
  const sizeMean = computeMean(points.map(({ size }) => size));
  const valueMean = computeMean(points.map(({ value }) => value));
  let covariance = 0;
  let variance = 0;
  for (const { size, value } of points) {
    covariance += (size - sizeMean) * (value - valueMean);
    variance += (size - sizeMean) ** 2;
  }
  return variance === 0 ? 0 : covariance / variance;
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function sumMemory(): number {
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}
