/** Summarises the figures of several runs as tables, JSON and checks. */
import type { IRunFigures } from './Measures.js';

/** Returns the median; for an even number of values, the mean of the middle two. */
export function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = sorted.length >> 1;
  const upper = sorted[middle] ?? 0;
  return sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? 0) + upper) / 2;
}

/** Returns the median of each figure over the runs. */
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

/** Formats the medians of the policy and selected medians of the oracle as one JSON object. */
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

const formatPercent = (value: number): string => `${(value * 100).toFixed(1)}%`;
const formatThousands = (value: number): string => `${Math.round(value / 1_000)}k`;
const formatInteger = (value: number): string => value.toFixed(0);

const COLUMNS: readonly IColumn[] = [
  { title: 'hit rate', key: 'prefixHitRate', format: formatPercent },
  { title: 'wasted tokens', key: 'wastedRecomputeTokens', format: formatThousands },
  { title: 'ttft p50 ms', key: 'ttftP50Ms', format: formatInteger },
  { title: 'ttft p99 ms', key: 'ttftP99Ms', format: formatInteger },
  { title: 'worst account', key: 'worstAccountShare', format: (value) => value.toFixed(3) },
  { title: 'wrongful', key: 'wrongfulRefusals', format: formatInteger },
  { title: 'over-admitted', key: 'overAdmittedTokens', format: formatInteger },
  { title: 'utilisation', key: 'utilisation', format: formatPercent },
  { title: 'decision p99 us', key: 'decisionP99Us', format: formatInteger },
];

function formatCell(column: IColumn, runs: readonly IRunFigures[]): string {
  const values = runs.map((run) => run[column.key]);
  const spread = `${column.format(Math.min(...values))}..${column.format(Math.max(...values))}`;
  return `${column.format(computeMedian(values))} (${spread})`;
}

/**
 * Formats a Markdown table: the median and, in brackets, the smallest and largest value over the
 * seeds.
 */
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

/** One objective of the default policy with its measured value. */
export interface IObjectiveCheck {
  readonly name: string;
  readonly value: number;
  readonly limit: number;
  readonly isMet: boolean;
}

function checkAtLeast(name: string, value: number, limit: number): IObjectiveCheck {
  return { name, value, limit, isMet: value >= limit };
}

function checkAtMost(name: string, value: number, limit: number): IObjectiveCheck {
  return { name, value, limit, isMet: value <= limit };
}

/** Compares the medians of the default policy with its objectives. */
export function checkObjectives(
  rows: ReadonlyMap<string, readonly IRunFigures[]>,
  hasFaults: boolean,
): IObjectiveCheck[] {
  const getMedians = (name: string): IRunFigures => summariseRuns(rows.get(name) ?? []);
  const policyMedians = getMedians('default');
  const oracleMedians = getMedians('oracle');
  const baselineTtftP99s = ['round-robin', 'least-load', 'prefix-hash'].map(
    (name) => getMedians(name).ttftP99Ms,
  );
  const wastedTokens = policyMedians.wastedRecomputeTokens;
  const checks = [
    checkAtLeast(
      'hit rate / oracle',
      policyMedians.prefixHitRate / oracleMedians.prefixHitRate,
      0.95,
    ),
    checkAtMost('wasted / oracle', wastedTokens / oracleMedians.wastedRecomputeTokens, 1.15),
    checkAtMost(
      'wasted / least-load',
      wastedTokens / getMedians('least-load').wastedRecomputeTokens,
      0.5,
    ),
    checkAtMost('ttft p99 / oracle', policyMedians.ttftP99Ms / oracleMedians.ttftP99Ms, 1.25),
    checkAtMost(
      'ttft p99 / best baseline',
      policyMedians.ttftP99Ms / Math.min(...baselineTtftP99s),
      1,
    ),
    checkAtLeast('worst account share', policyMedians.worstAccountShare, 0.95),
    checkAtMost('over-admitted tokens', policyMedians.overAdmittedTokens, 0),
    checkAtMost('decision p99 us', policyMedians.decisionP99Us, 200),
  ];
  return hasFaults
    ? checks
    : [...checks, checkAtMost('wrongful refusals', policyMedians.wrongfulRefusals, 0)];
}

export function formatObjectiveChecks(checks: readonly IObjectiveCheck[]): string {
  return checks
    .map(({ name, value, limit, isMet }) => {
      const result = isMet ? 'met' : 'MISSED';
      return `${result.padEnd(6)} ${name}: ${value.toFixed(3)} (limit ${limit})`;
    })
    .join('\n');
}
