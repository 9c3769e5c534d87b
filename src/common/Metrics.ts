/** Counters and latency quantiles in the Prometheus text format. */
import { build, type Histogram } from 'hdr-histogram-js';

/** Ten minutes; longer latencies are recorded as this value. */
const MAX_LATENCY_MS = 600_000;

/** Two significant digits keep each histogram at a few kilobytes. */
const SIGNIFICANT_DIGITS = 2;

const QUANTILES = [50, 90, 95, 99] as const;

const METRIC_PREFIX = 'redwingwharf_';

/** Longer label values are truncated. */
const MAX_LABEL_LENGTH = 100;

/** Help texts by metric name. A metric without one shows its name as its help text. */
const HELP: Readonly<Record<string, string>> = {
  cached_prompt_tokens_total: 'Prompt tokens that engines took from their caches.',
  dispatches_in_progress: 'Dispatches of this entry that have not ended.',
  dispatches_total: 'Dispatches sent to sidecars.',
  feed_revision: 'Revision of the copy of the configuration.',
  gateway_accept_backlog_ms: 'Time for which new connections may wait until they are accepted.',
  gateway_admissions_total: 'Requests for engines, by service, priority and outcome.',
  gateway_cuts_total: 'Responses ended after their client had received a part, by reason.',
  gateway_first_byte_ms: 'Time from the arrival of a request to the first byte of its answer.',
  gateway_hedges_total: 'Requests also sent to a second target as the first was slow, by result.',
  gateway_ignored_load_figures: 'Figures of targets for how long work takes that were implausible.',
  gateway_model_ratio_percent: 'Time to the first byte in percent of the expected one.',
  gateway_queue_ms: 'Wait of requests in the entry for capacity, by service and priority.',
  gateway_refusals_total: "Requests refused in the router's own name, by reason and status.",
  gateway_repeats_total: 'Requests sent to a further target.',
  grant_exchanges_total: 'Exchanges of grants with the control leader.',
  open_requests: 'Requests in progress at this entry.',
  queue_ms: 'Wait for a place at the targets in milliseconds.',
  queued_requests: 'Requests that wait for a place at the targets.',
  refusals_total: 'Requests refused, by error code.',
  request_ms: 'Time of a whole request in milliseconds.',
  requests_total: 'Requests that reached a target, by result.',
  retries_total: 'Dispatches repeated on another target.',
  rollout_answers_total: 'Responses during a rollout by service, version and kind.',
  rollout_share: 'Share of the requests that goes to the version that is rolled out.',
  rollout_state: 'State of the last rollout: 1 runs, 2 completed, 3 rolled back.',
  streams_ended_early_total: 'Streams that ended with an error event.',
  ttft_ms: 'Time to the first token in milliseconds.',
};

/** Labels of one series. */
export type ILabels = Readonly<Record<string, string>>;

interface IHistogramSeries {
  readonly labels: ILabels;
  readonly histogram: Histogram;
  sum: number;
}

/**
 * Counters, gauges and latency summaries of one process, rendered for Prometheus.
 *
 * @example
 * metrics.increment('requests_total', { result: 'ok' });
 * metrics.observe('ttft_ms', 12, { service: 'lace' });
 */
export class Metrics {
  /** Series by metric name, then by formatted labels. */
  private readonly _counters = new Map<string, Map<string, number>>();
  private readonly _histograms = new Map<string, Map<string, IHistogramSeries>>();
  private readonly _gauges = new Map<string, () => number>();
  /** Values of gauges with labels, by metric name, then by formatted labels. */
  private readonly _values = new Map<string, Map<string, number>>();

  public increment(name: string, labels: ILabels = {}, amount = 1): void {
    const series = ensureMap(this._counters, name);
    const id = formatLabels(labels);
    series.set(id, (series.get(id) ?? 0) + amount);
  }

  /** Records a duration in milliseconds. */
  public observe(name: string, ms: number, labels: ILabels = {}): void {
    const allSeries = ensureMap(this._histograms, name);
    const id = formatLabels(labels);
    let series = allSeries.get(id);
    if (series === undefined) {
      series = { labels, histogram: createHistogram(), sum: 0 };
      allSeries.set(id, series);
    }
    const value = Math.min(MAX_LATENCY_MS, Math.max(0, Math.round(ms)));
    series.histogram.recordValue(value);
    series.sum += value;
  }

  /** Registers a gauge whose value is read each time the metrics are rendered. */
  public addGauge(name: string, read: () => number): void {
    this._gauges.set(name, read);
  }

  /** Sets one series of a gauge with labels. */
  public setGauge(name: string, labels: ILabels, value: number): void {
    ensureMap(this._values, name).set(formatLabels(labels), value);
  }

  /** Renders all metrics in the Prometheus text format. */
  public render(): string {
    const lines: string[] = [];
    for (const [name, series] of this._counters) {
      lines.push(...formatHeader(name, 'counter'));
      for (const [labels, value] of series) {
        lines.push(`${METRIC_PREFIX}${name}${labels} ${value}`);
      }
    }
    for (const [name, read] of this._gauges) {
      lines.push(...formatHeader(name, 'gauge'), `${METRIC_PREFIX}${name} ${read()}`);
    }
    for (const [name, series] of this._values) {
      lines.push(...formatHeader(name, 'gauge'));
      for (const [labels, value] of series) {
        lines.push(`${METRIC_PREFIX}${name}${labels} ${value}`);
      }
    }
    for (const [name, series] of this._histograms) {
      lines.push(...formatHeader(name, 'summary'));
      lines.push(...[...series.values()].flatMap((item) => formatSummary(name, item)));
    }
    return `${lines.join('\n')}\n`;
  }
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

function ensureMap<T>(maps: Map<string, Map<string, T>>, name: string): Map<string, T> {
  const existing = maps.get(name);
  if (existing !== undefined) {
    return existing;
  }
  const map = new Map<string, T>();
  maps.set(name, map);
  return map;
}

function formatHeader(name: string, type: 'counter' | 'gauge' | 'summary'): string[] {
  return [
    `# HELP ${METRIC_PREFIX}${name} ${HELP[name] ?? name}`,
    `# TYPE ${METRIC_PREFIX}${name} ${type}`,
  ];
}

function formatSummary(name: string, { labels, histogram, sum }: IHistogramSeries): string[] {
  const quantiles = QUANTILES.map((percent) => {
    const value = histogram.getValueAtPercentile(percent);
    return `${METRIC_PREFIX}${name}${formatLabels({ ...labels, quantile: `${percent / 100}` })} ${value}`;
  });
  const suffix = formatLabels(labels);
  return [
    ...quantiles,
    `${METRIC_PREFIX}${name}_sum${suffix} ${sum}`,
    `${METRIC_PREFIX}${name}_count${suffix} ${histogram.totalCount}`,
  ];
}

function formatLabels(labels: ILabels): string {
  const pairs = Object.entries(labels).map(([name, value]) => `${name}="${encodeLabel(value)}"`);
  return pairs.length === 0 ? '' : `{${pairs.join(',')}}`;
}

function encodeLabel(value: string): string {
  return value
    .slice(0, MAX_LABEL_LENGTH)
    .replaceAll('\\', '\\\\')
    .replaceAll('"', '\\"')
    .replaceAll('\n', '\\n');
}
