/** Medians, spreads and tables of the figures. */
import type { IRunFigures } from './Measures.js';

/** Median of the values; the mean of the middle two when their number is even. */
export function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = sorted.length >> 1;
  const upper = sorted[middle] ?? 0;
  return sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? 0) + upper) / 2;
}

/** Takes the median of each figure over the runs. */
export function summariseRuns(runs: readonly IRunFigures[]): IRunFigures {
  const first = runs[0];
  if (first === undefined) {
    throw new Error('there are no runs to summarise; use --seeds 1 or more');
  }
  const keys = Object.keys(first) as (keyof IRunFigures)[];
  const medians = keys.map((key) => [key, computeMedian(runs.map((run) => run[key]))]);
  return Object.fromEntries(medians) as IRunFigures;
}

function formatFigure(value: number): number {
  return Number(value.toPrecision(6));
}

/** Medians of the policy and of the oracle as one JSON object. */
export function formatResult(
  context: Readonly<Record<string, unknown>>,
  policy: IRunFigures,
  oracle: IRunFigures,
): string {
  const figures: Record<string, unknown> = { ...context };
  for (const [key, value] of Object.entries(policy) as [string, number][]) {
    figures[key] = formatFigure(value);
  }
  figures.oracleHitRate = formatFigure(oracle.prefixHitRate);
  figures.oracleWastedRecomputeTokens = formatFigure(oracle.wastedRecomputeTokens);
  figures.oracleTtftP50Ms = formatFigure(oracle.ttftP50Ms);
  figures.oracleTtftP99Ms = formatFigure(oracle.ttftP99Ms);
  figures.oracleUtilisation = formatFigure(oracle.utilisation);
  return JSON.stringify(figures);
}

interface IColumn {
  readonly title: string;
  readonly key: keyof IRunFigures;
  readonly format: (value: number) => string;
}

const percent = (value: number): string => `${(value * 100).toFixed(1)}%`;
const thousands = (value: number): string => `${Math.round(value / 1_000)}k`;
const whole = (value: number): string => value.toFixed(0);

const COLUMNS: readonly IColumn[] = [
  { title: 'hit rate', key: 'prefixHitRate', format: percent },
  { title: 'wasted tokens', key: 'wastedRecomputeTokens', format: thousands },
  { title: 'ttft p50 ms', key: 'ttftP50Ms', format: whole },
  { title: 'ttft p99 ms', key: 'ttftP99Ms', format: whole },
  { title: 'worst account', key: 'worstAccountShare', format: (value) => value.toFixed(3) },
  { title: 'wrongful', key: 'wrongfulRefusals', format: whole },
  { title: 'over-admitted', key: 'overAdmittedTokens', format: whole },
  { title: 'utilisation', key: 'utilisation', format: percent },
  { title: 'decision p99 us', key: 'decisionP99Us', format: whole },
];

function formatCell(column: IColumn, runs: readonly IRunFigures[]): string {
  const values = runs.map((run) => run[column.key]);
  const spread = `${column.format(Math.min(...values))}..${column.format(Math.max(...values))}`;
  return `${column.format(computeMedian(values))} (${spread})`;
}

/** Table in Markdown: median and, in brackets, the smallest and largest value over the seeds. */
export function formatTable(rows: ReadonlyMap<string, readonly IRunFigures[]>): string {
  const lines = [
    `| policy | ${COLUMNS.map((column) => column.title).join(' | ')} |`,
    `|---|${COLUMNS.map(() => '---|').join('')}`,
  ];
  for (const [policy, runs] of rows) {
    lines.push(`| ${policy} | ${COLUMNS.map((column) => formatCell(column, runs)).join(' | ')} |`);
  }
  return lines.join('\n');
}

/** One target of the policy with its figure. */
export interface ITargetCheck {
  readonly name: string;
  readonly value: number;
  readonly limit: number;
  readonly isMet: boolean;
}

function checkAtLeast(name: string, value: number, limit: number): ITargetCheck {
  return { name, value, limit, isMet: value >= limit };
}

function checkAtMost(name: string, value: number, limit: number): ITargetCheck {
  return { name, value, limit, isMet: value <= limit };
}

/** Compares the medians of `default` with its targets. */
export function checkTargets(
  rows: ReadonlyMap<string, readonly IRunFigures[]>,
  hasFaults: boolean,
): ITargetCheck[] {
  const get = (name: string): IRunFigures => summariseRuns(rows.get(name) ?? []);
  const own = get('default');
  const oracle = get('oracle');
  const baselines = ['round-robin', 'least-load', 'prefix-hash'].map((name) => get(name).ttftP99Ms);
  const wasted = own.wastedRecomputeTokens;
  const checks = [
    checkAtLeast('hit rate / oracle', own.prefixHitRate / oracle.prefixHitRate, 0.95),
    checkAtMost('wasted / oracle', wasted / oracle.wastedRecomputeTokens, 1.15),
    checkAtMost('wasted / least-load', wasted / get('least-load').wastedRecomputeTokens, 0.5),
    checkAtMost('ttft p99 / oracle', own.ttftP99Ms / oracle.ttftP99Ms, 1.25),
    checkAtMost('ttft p99 / best baseline', own.ttftP99Ms / Math.min(...baselines), 1),
    checkAtLeast('worst account share', own.worstAccountShare, 0.95),
    checkAtMost('over-admitted tokens', own.overAdmittedTokens, 0),
    checkAtMost('decision p99 us', own.decisionP99Us, 200),
  ];
  return hasFaults
    ? checks
    : [...checks, checkAtMost('wrongful refusals', own.wrongfulRefusals, 0)];
}

export function formatChecks(checks: readonly ITargetCheck[]): string {
  return checks
    .map(({ name, value, limit, isMet }) => {
      const result = isMet ? 'met' : 'MISSED';
      return `${result.padEnd(6)} ${name}: ${value.toFixed(3)} (limit ${limit})`;
    })
    .join('\n');
}
