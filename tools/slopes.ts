/**
 * Measures how processor time, memory and message sizes grow with the number of targets, client
 * accounts and other records. docs/CAPACITY.md is derived from the result.
 */
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { measureDecisionTimes } from './bench/DecisionTimes.js';
import { measureFeed } from './slopes/FeedSlopes.js';
import { computeSlope, type ISlope } from './slopes/Measure.js';
import { measureRoster } from './slopes/RosterSlopes.js';
import { measureRpc, SERVE_ARGUMENT, serveCalls } from './slopes/RpcSlopes.js';
import { measureState } from './slopes/StateSlopes.js';

/** Rounds to fewer digits the larger the value is. */
function formatNumber(value: number): string {
  const digits = Math.abs(value) >= 100 ? 0 : Math.abs(value) >= 1 ? 1 : 4;
  return String(Number(value.toFixed(digits)));
}

function printSlope(slope: ISlope): void {
  const points = slope.points.map(({ size, value }) => `${size}: ${formatNumber(value)}`);
  const growth =
    slope.points.length > 1
      ? `; ${formatNumber(computeSlope(slope.points))} ${slope.unit} per ${slope.per}`
      : ` per ${slope.per}`;
  process.stdout.write(`${slope.name} [${slope.unit}]: ${points.join(', ')}${growth}\n`);
}

/** Converts the decision times of the bench into slopes. */
function measureDecisions(): ISlope[] {
  const times = measureDecisionTimes();
  const collect = (pick: (time: (typeof times)[number]) => number): ISlope['points'] =>
    times.map((time) => ({ size: time.targets, value: pick(time) }));
  return [
    { name: 'decision p50', unit: 'us', per: 'target', points: collect(({ p50Us }) => p50Us) },
    { name: 'decision p99', unit: 'us', per: 'target', points: collect(({ p99Us }) => p99Us) },
  ];
}

async function main(): Promise<void> {
  const [mode, address] = process.argv.slice(2);
  if (mode === SERVE_ARGUMENT && address !== undefined) {
    await serveCalls(address);
    return;
  }
  const program = process.argv[1] ?? '';
  const slopes = [
    ...(await measureRpc(program, join(tmpdir(), `slopes-${process.pid}.log`))),
    ...measureFeed(),
    ...measureRoster(),
    ...measureState(),
    ...measureDecisions(),
  ];
  slopes.forEach(printSlope);
  const summary = slopes.map(({ name, unit, per, points }) => ({
    name,
    unit,
    per,
    points,
    slope: points.length > 1 ? computeSlope(points) : points[0]?.value,
  }));
  process.stdout.write(`${JSON.stringify({ slopes: summary })}\n`);
}

void main();
