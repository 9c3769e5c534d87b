import { describe, expect, it } from 'vitest';
import { Metrics } from './Metrics.js';

const SAMPLE = /^[a-z_]+(\{([a-z]+="(\\[\\"n]|[^\\"\n])*",?)+\})? -?\d+(\.\d+)?$/;

describe('Metrics', () => {
  it('renders valid Prometheus text whatever characters the label values contain', () => {
    const metrics = new Metrics();
    metrics.increment('refusals_total', { code: 'a"b\\c\nd' });
    metrics.increment('refusals_total', { code: 'x'.repeat(1_000) });
    metrics.addGauge('open_requests', () => 3);
    metrics.observe('ttft_ms', 12, { service: 'lace' });
    metrics.observe('ttft_ms', 40, { service: 'assessor' });
    const lines = metrics.render().trimEnd().split('\n');
    const samples = lines.filter((line) => !line.startsWith('#'));
    expect(samples.filter((line) => !SAMPLE.test(line))).toEqual([]);
    expect(samples).toContain('redwingwharf_refusals_total{code="a\\"b\\\\c\\nd"} 1');
    expect(samples).toContain('redwingwharf_ttft_ms{service="lace",quantile="0.5"} 12');
    expect(samples).toContain('redwingwharf_ttft_ms_sum{service="assessor"} 40');
    expect(Math.max(...samples.map((line) => line.length))).toBeLessThan(200);
  });

  it('renders HELP and TYPE once for each metric, and its samples together', () => {
    const metrics = new Metrics();
    metrics.increment('requests_total', { service: 'a' });
    metrics.increment('retries_total');
    metrics.increment('requests_total', { service: 'b' });
    metrics.observe('request_ms', 1);
    const names = ['requests_total', 'retries_total', 'request_ms'];
    const types = metrics.render().match(/^# TYPE redwingwharf_(\w+)/gm);
    const helps = metrics.render().match(/^# HELP redwingwharf_(\w+) \S/gm);
    expect(types).toEqual(names.map((name) => `# TYPE redwingwharf_${name}`));
    expect(helps).toHaveLength(names.length);
    expect(metrics.render()).toMatch(/service="a"} 1\n.*service="b"} 1\n/);
  });
});
