/** Counters and latency quantiles in the Prometheus text format. */
import { build, type Histogram } from 'hdr-histogram-js';

/** Longest latency that is told apart: ten minutes. */
const HIGHEST_MS = 600_000;

/** Two digits keep each histogram at a few kilobytes. */
const SIGNIFICANT_DIGITS = 2;

const QUANTILES = [50, 90, 95, 99] as const;

/**
 * Metrics of one process.
 *
 * @example
 * metrics.increment('requests_total', { result: 'ok' });
 * metrics.observe('ttft_ms', 12);
 */
export class Metrics {
  private readonly _counters = new Map<string, number>();
  private readonly _histograms = new Map<string, Histogram>();
  private readonly _gauges = new Map<string, () => number>();

  public increment(name: string, labels: Readonly<Record<string, string>> = {}, by = 1): void {
    const id = `${name}${formatLabels(labels)}`;
    this._counters.set(id, (this._counters.get(id) ?? 0) + by);
  }

  /** Records a duration in milliseconds. */
  public observe(name: string, ms: number): void {
    let histogram = this._histograms.get(name);
    if (histogram === undefined) {
      histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: HIGHEST_MS,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      });
      this._histograms.set(name, histogram);
    }
    histogram.recordValue(Math.min(HIGHEST_MS, Math.max(0, Math.round(ms))));
  }

  /** Registers a value that is read when the metrics are. */
  public addGauge(name: string, read: () => number): void {
    this._gauges.set(name, read);
  }

  /** Prometheus text. */
  public render(): string {
    const lines: string[] = [];
    for (const [id, value] of this._counters) {
      lines.push(`redwingwharf_${id} ${value}`);
    }
    for (const [name, read] of this._gauges) {
      lines.push(`redwingwharf_${name} ${read()}`);
    }
    for (const [name, histogram] of this._histograms) {
      for (const quantile of QUANTILES) {
        const value = histogram.getValueAtPercentile(quantile);
        lines.push(`redwingwharf_${name}{quantile="${quantile / 100}"} ${value}`);
      }
      lines.push(`redwingwharf_${name}_count ${histogram.totalCount}`);
    }
    return `${lines.join('\n')}\n`;
  }
}

function formatLabels(labels: Readonly<Record<string, string>>): string {
  const pairs = Object.entries(labels).map(([name, value]) => `${name}="${value}"`);
  return pairs.length === 0 ? '' : `{${pairs.join(',')}}`;
}
