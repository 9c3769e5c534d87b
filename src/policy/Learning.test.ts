import { describe, expect, it } from 'vitest';
import { CacheLifetime } from './CacheLifetime.js';
import { Estimator } from './Estimator.js';
import { createLoad, createTarget } from './Fixtures.js';
import { LoadView } from './LoadView.js';

describe('CacheLifetime', () => {
  it('decreases after misses of recent chunks, so that evicted chunks are not expected', () => {
    const lifetime = new CacheLifetime();
    for (let i = 0; i < 50; i += 1) {
      lifetime.observe('t', [100, 3_000], 1);
    }
    expect(lifetime.get('t')).toBeLessThan(4_000);
    expect(lifetime.get('t')).toBeGreaterThan(500);
  });

  it('increases after hits of old chunks, so that chunks are used for as long as they are cached', () => {
    const lifetime = new CacheLifetime();
    for (let i = 0; i < 50; i += 1) {
      lifetime.observe('t', [30_000], 1);
    }
    expect(lifetime.get('t')).toBeGreaterThan(29_000);
  });
});

describe('Estimator', () => {
  it('learns the speed of each target separately, so that slow targets are recognised', () => {
    const estimator = new Estimator('dc-0');
    const slow = createTarget('slow');
    const fast = createTarget('fast');
    for (let i = 0; i < 300; i += 1) {
      estimator.observe(slow, 10_000, 2_000);
      estimator.observe(fast, 10_000, 500);
    }
    expect(estimator.estimatePrefill('slow', 10_000)).toBeGreaterThan(1_700);
    expect(estimator.estimatePrefill('fast', 10_000)).toBeLessThan(600);
  });

  it('gives slow samples little weight, so that queueing does not make a target appear slow', () => {
    const estimator = new Estimator('dc-0');
    const target = createTarget('t');
    for (let i = 0; i < 300; i += 1) {
      estimator.observe(target, 10_000, i % 2 === 0 ? 500 : 2_000);
    }
    expect(estimator.estimatePrefill('t', 10_000)).toBeLessThan(700);
  });
});

describe('LoadView', () => {
  it('does not count waiting dispatches of this process twice if a report includes them', () => {
    const view = new LoadView();
    view.open('r1', 't', 100, 0);
    view.report('t', createLoad(1, 10));
    expect(view.countAll('t')).toBe(1);
    expect(view.estimateWait('t', 100, 10)).toBe(90);
  });

  it('counts dispatches of this process once in the wait stated by a refusal, and reduces it over time', () => {
    const view = new LoadView();
    view.open('r1', 't', 100, 0);
    view.reportWait('t', 300, 0);
    expect(view.estimateWait('t', 100, 0)).toBe(300);
    expect(view.estimateWait('t', 100, 50)).toBe(250);
    expect(view.estimateWait('t', 100, 250)).toBe(50);
    view.report('t', createLoad(1, 60));
    expect(view.estimateWait('t', 100, 60)).toBe(40);
  });

  it('prefers a wait stated in a report to the number of queued requests', () => {
    const view = new LoadView();
    view.report('t', { ...createLoad(3, 10), waitMs: 500 });
    expect(view.estimateWait('t', 100, 110)).toBe(400);
  });

  it('ignores a report older than the last one applied', () => {
    const view = new LoadView();
    view.report('t', createLoad(5, 20));
    view.report('t', createLoad(1, 10));
    expect(view.countAll('t')).toBe(5);
  });

  it('removes a dispatch only once if it is closed repeatedly', () => {
    const view = new LoadView();
    view.open('r1', 't', 100, 0);
    view.markFirstToken('r1', 5);
    view.close('r1', 10);
    view.close('r1', 11);
    expect(view.countOpen('t')).toBe(0);
    expect(view.countAll('t')).toBe(0);
  });
});
