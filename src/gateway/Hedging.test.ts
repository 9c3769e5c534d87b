/** Guards against additional work beyond its limits, and against a request that runs twice though it may not. */
import { describe, expect, it } from 'vitest';
import { SharedRetryBudget } from '../fleet/SharedRetryBudget.js';
import {
  answerOk,
  OK_HEAD,
  runCall,
  sendNothing,
  streamEvents,
  type IRunResult,
  type ISetup,
  type TargetScript,
} from './Fixtures.js';
import { Hedging } from './Hedging.js';

/** Knows times that are as expected, but for one in fifty that is four times longer. */
function buildHedging(maxShare: number): Hedging {
  const hedging = new Hedging({ maxShare });
  for (let i = 0; i < 500; i += 1) {
    hedging.recordTime('lace', 50, i % 50 === 0 ? 200 : 50);
    hedging.recordRequest('lace', -1_000);
  }
  return hedging;
}

function answerAfter(ms: number): TargetScript {
  return (listener, dispatch, signal) => {
    const timer = setTimeout(() => {
      answerOk(listener, dispatch, signal);
    }, ms);
    signal.addEventListener('abort', () => {
      clearTimeout(timer);
    });
  };
}

describe('Hedging', () => {
  it('is off without a limit, also once it knows the times', () => {
    const hedging = buildHedging(0);
    expect(hedging.getDelayMs('lace', 50)).toBeUndefined();
    expect(hedging.trySpend('lace', 0)).toBe(false);
  });

  it('waits until it knows how times spread', () => {
    const hedging = new Hedging({ maxShare: 0.03 });
    for (let i = 0; i < 99; i += 1) {
      hedging.recordTime('lace', 50, 50);
      expect(hedging.getDelayMs('lace', 50)).toBeUndefined();
    }
    hedging.recordTime('lace', 50, 50);
    expect(hedging.getDelayMs('lace', 50)).toBeDefined();
  });

  it('waits longer than the usual times, in proportion to the expected one and at least a minimum', () => {
    // With 3% allowed, the slow 2% are the ones to hedge.
    const hedging = buildHedging(0.03);
    expect(hedging.getDelayMs('lace', 400)).toBeGreaterThan(400);
    expect(hedging.getDelayMs('lace', 400)).toBeLessThan(500);
    expect(hedging.getDelayMs('lace', 1)).toBe(60);
    // With 1% allowed, it waits for the slowest of all.
    expect(buildHedging(0.01).getDelayMs('lace', 400)).toBeGreaterThan(1_500);
  });

  it('keeps hedges of a sliding window within the limit', () => {
    const hedging = new Hedging({ maxShare: 0.03 });
    const sent: number[] = [];
    const hedged: number[] = [];
    for (let now = 0; now < 120_000; now += 50) {
      // A burst of requests ends after a minute.
      if (now < 60_000 || now % 500 === 0) {
        hedging.recordRequest('lace', now);
        sent.push(now);
      }
      if (hedging.trySpend('lace', now)) {
        hedged.push(now);
      }
      const isIn = (at: number): boolean => at > now - 30_000;
      expect(hedged.filter(isIn).length).toBeLessThanOrEqual(
        Math.max(0.03 * sent.filter((at) => at > now - 33_000).length, 0),
      );
    }
    expect(hedged.length).toBeGreaterThan(10);
  });

  it('adds no work to a service that is short of capacity', () => {
    const hedging = buildHedging(0.03);
    hedging.recordShortage('lace', 0);
    expect(hedging.trySpend('lace', 900)).toBe(false);
    expect(hedging.trySpend('lace', 1_000)).toBe(true);
  });

  it('bears with times that are no numbers', () => {
    const hedging = buildHedging(0.03);
    hedging.recordTime('lace', Number.NaN, 50);
    hedging.recordTime('lace', 50, Number.POSITIVE_INFINITY);
    expect(hedging.getDelayMs('lace', 400)).toBeLessThan(500);
  });
});

describe('a request whose first byte is overdue', () => {
  function runSlow(
    scripts: TargetScript[],
    setup: ISetup,
    hedging = buildHedging(0.03),
  ): Promise<IRunResult> {
    return runCall(scripts, { hedging, call: { deadlineMs: 1_500 }, ...setup });
  }

  it.each(['safe', 'streaming'] as const)(
    'is answered by a second target (%s), and the first one ends at once',
    async (kind) => {
      const { sink, targets } = await runSlow([sendNothing, answerOk], { route: { kind } });
      expect(sink.endings).toEqual(['end']);
      expect(sink.body).toBe(streamEvents(1, 3).toString());
      expect(targets.sent).toHaveLength(2);
      expect(targets.sent[0]?.target).not.toBe(targets.sent[1]?.target);
      expect(targets.aborted).toBe(1);
    },
  );

  it('is answered by the first target if that is faster after all', async () => {
    const { sink, targets } = await runSlow([answerAfter(250), sendNothing], {
      route: { kind: 'safe' },
    });
    expect(sink.body).toBe(streamEvents(1, 3).toString());
    expect(targets.sent).toHaveLength(2);
    expect(targets.aborted).toBe(1);
  });

  it.each([
    ['the request may not be repeated', { route: { kind: 'unsafe' } }],
    ['the stream may not be repeated', { route: { kind: 'streaming', isResumable: false } }],
    ['no further attempt is allowed', { route: { kind: 'safe', maxAttempts: 1 } }],
    ['the second target would answer too late', { route: { kind: 'safe', latencyObjectiveMs: 5 } }],
    ['there is no other target', { route: { kind: 'safe' }, targets: 1 }],
    [
      'the retry budget of the fleet is used up',
      {
        route: { kind: 'safe' },
        budget: new SharedRetryBudget({ ratio: 0, slack: 0, windowMs: 10_000 }),
      },
    ],
  ] as readonly (readonly [string, ISetup])[])('is not sent again if %s', async (_why, setup) => {
    const { sink, targets } = await runSlow([answerAfter(300), answerOk], setup);
    expect(targets.sent).toHaveLength(1);
    expect(sink.body).toBe(streamEvents(1, 3).toString());
  });

  it('is not sent again while the service is short of capacity, or beyond the limit', async () => {
    const short = buildHedging(0.03);
    short.recordShortage('lace', Number.MAX_SAFE_INTEGER);
    const spent = buildHedging(0.03);
    while (spent.trySpend('lace', 0)) {
      // Uses up the share of the window.
    }
    for (const hedging of [short, spent, buildHedging(0)]) {
      const route = { kind: 'safe' } as const;
      const { targets } = await runSlow([answerAfter(300), answerOk], { route }, hedging);
      expect(targets.sent).toHaveLength(1);
    }
  });

  it('is not sent again once a part of the answer has come', async () => {
    const slowBody: TargetScript = (listener) => {
      listener.onHead(OK_HEAD);
      setTimeout(() => {
        listener.onData(streamEvents(1, 3));
        listener.onEnd();
      }, 300);
    };
    const { sink, targets } = await runSlow([slowBody, answerOk], { route: { kind: 'safe' } });
    expect(targets.sent).toHaveLength(1);
    expect(sink.endings).toEqual(['end']);
  });

  it('is not sent to another software version', async () => {
    const { targets } = await runSlow([answerAfter(300), answerOk], {
      route: { kind: 'streaming' },
      targets: 2,
      software: ['v1', 'v2'],
    });
    expect(targets.sent).toHaveLength(1);
  });
});
