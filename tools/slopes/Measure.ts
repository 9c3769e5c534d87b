/** Shared parts of the slope measurements. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** One measured quantity at several sizes. */
export interface ISlope {
  readonly name: string;
  readonly unit: string;
  /** What the size counts. */
  readonly per: string;
  readonly points: readonly IPoint[];
}

export interface IPoint {
  readonly size: number;
  readonly value: number;
}

const BYTES_PER_KILOBYTE = 1_024;
const US_PER_MS = 1_000;

/** Repetitions of a timed step; the median is taken because the machine is shared. */
const REPETITIONS = 5;

const MEMORY_REPETITIONS = 3;

setFlagsFromString('--expose_gc');
const collect = runInNewContext('gc') as () => void;

/** Median time of one step in microseconds; `step` does `count` units of work. */
export function measureUs(count: number, step: () => void): number {
  const times = Array.from({ length: REPETITIONS }, () => {
    const startedAt = performance.now();
    step();
    return ((performance.now() - startedAt) * US_PER_MS) / count;
  });
  return computeMedian(times);
}

/**
 * Live heap and buffers that `create` adds, in kilobytes. The first result is dropped, because it also
 * counts compiled code and what earlier measurements leave to collect.
 */
export function measureKilobytes(create: () => unknown): number {
  const samples = Array.from({ length: MEMORY_REPETITIONS + 1 }, () => measureOnce(create));
  return computeMedian(samples.slice(1));
}

function measureOnce(create: () => unknown): number {
  collect();
  collect();
  const before = sumMemory();
  const kept = create();
  collect();
  collect();
  const after = sumMemory();
  return kept === undefined ? 0 : (after - before) / BYTES_PER_KILOBYTE;
}

export function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** Cost of one more unit of size, by least squares over the points. */
export function computeSlope(points: readonly IPoint[]): number {
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
