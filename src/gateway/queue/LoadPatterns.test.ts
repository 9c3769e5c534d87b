/**
 * Patterns of load with more requests than the engines can prefill. Each is compared with the rule before the queue, which
 * refused by a fixed part of the objective: urgent requests were refused because of the prompts of less urgent ones, and
 * clients that came back after 150 ms were refused again.
 */
import { describe, expect, it } from 'vitest';
import {
  refuseByObjective,
  runLoads,
  type ILoad,
  type IResult,
  type IScenario,
} from './LoadFixtures.js';

const URGENT: ILoad = {
  name: 'urgent',
  priority: 0,
  objectiveMs: 415,
  deadlineMs: 5_189,
  tokens: 2_900,
  share: 0.5,
  fromMs: 0,
  toMs: 16_000,
};
const LETTERS: ILoad = {
  name: 'letters',
  priority: 2,
  objectiveMs: 1_007,
  deadlineMs: 15_098,
  tokens: 830,
  share: 0.3,
  fromMs: 0,
  toMs: 16_000,
};
const SHORT: ILoad = {
  name: 'short',
  priority: 0,
  objectiveMs: 400,
  deadlineMs: 4_000,
  tokens: 830,
  share: 0.3,
  fromMs: 0,
  toMs: 14_000,
};
const LONG: ILoad = {
  name: 'long',
  priority: 1,
  objectiveMs: 500,
  deadlineMs: 4_500,
  tokens: 2_900,
  share: 0.5,
  fromMs: 0,
  toMs: 14_000,
};

function buildBurst(load: ILoad, share: number, fromMs: number, toMs: number): ILoad {
  return { ...load, share, fromMs, toMs };
}

function get(results: ReadonlyMap<string, IResult>, name: string): IResult {
  const result = results.get(name);
  if (result === undefined) {
    throw new Error(`no load is named ${name}`);
  }
  return result;
}

/** Results with the queue, and with the rule before it. */
function compare(scenario: IScenario): {
  readonly queued: (name: string) => IResult;
  readonly before: (name: string) => IResult;
} {
  const queued = runLoads(scenario);
  const before = runLoads({ ...scenario, decide: refuseByObjective });
  return { queued: (name) => get(queued, name), before: (name) => get(before, name) };
}

describe('requests for too little capacity', () => {
  it('urgent burst over letters: no urgent request is lost, and letters wait rather than being refused', () => {
    const { queued, before } = compare({
      engines: 6,
      loads: [URGENT, LETTERS, buildBurst(URGENT, 0.8, 4_000, 9_000)],
      untilMs: 32_000,
    });
    expect(before('urgent').lost).toBeGreaterThan(0.2);
    expect(queued('urgent').lost).toBe(0);
    expect(queued('urgent').onTime).toBeGreaterThan(before('urgent').onTime);
    expect(queued('letters').lost).toBe(0);
  });

  it('letters doubled while a quarter of the targets is gone: urgent requests stay on time', () => {
    const { queued, before } = compare({
      engines: 8,
      loads: [URGENT, LETTERS, buildBurst(LETTERS, 0.3, 3_000, 10_000)],
      loss: { atMs: 3_000, engines: 2 },
      untilMs: 32_000,
    });
    expect(before('urgent').onTime).toBeLessThan(0.75);
    expect(queued('urgent').onTime).toBeGreaterThan(0.99);
    expect(queued('letters').lost).toBeLessThan(0.2);
  });

  it('long prompts beside short urgent ones: the short ones stay on time', () => {
    const { queued, before } = compare({
      engines: 8,
      loads: [SHORT, LONG, buildBurst(LONG, 0.7, 4_000, 9_000)],
      untilMs: 22_000,
    });
    expect(before('short').lost).toBeGreaterThan(0.2);
    expect(queued('short').onTime).toBeGreaterThan(0.99);
    expect(queued('long').lost).toBeLessThan(0.15);
  });

  it('long prompts beside short urgent ones, a burst of both while a quarter of the targets is gone', () => {
    const { queued } = compare({
      engines: 8,
      loads: [
        SHORT,
        LONG,
        buildBurst(LONG, 0.3, 4_000, 8_000),
        buildBurst(SHORT, 0.2, 4_000, 8_000),
      ],
      loss: { atMs: 4_000, engines: 2 },
      untilMs: 22_000,
    });
    expect(queued('short').onTime).toBeGreaterThan(0.99);
    expect(queued('long').onTime).toBeGreaterThan(0.55);
  });

  it('one account at 6.5 times its usual: the other account keeps its share', () => {
    const { queued } = compare({
      engines: 8,
      loads: [
        SHORT,
        { ...LONG, account: 'a', share: 0.1 },
        { ...LONG, name: 'others', account: 'b', share: 0.4 },
        { ...buildBurst(LONG, 0.55, 4_000, 10_000), account: 'a' },
      ],
      untilMs: 22_000,
    });
    expect(queued('others').onTime).toBeGreaterThan(0.85);
    expect(queued('others').lost).toBeLessThan(0.05);
    expect(queued('others').onTime).toBeGreaterThan(queued('long').onTime + 0.2);
  });

  it.each([
    [
      '1.5 times the capacity for 5 s',
      buildBurst(LONG, 0.8, 0, 14_000),
      buildBurst(LONG, 0.7, 4_000, 9_000),
    ],
    [
      '1.25 times the capacity for 14 s',
      buildBurst(LONG, 1, 0, 14_000),
      buildBurst(LONG, 0.25, 0, 14_000),
    ],
  ])('returning clients after a refusal, %s: fewer are refused twice', (_name, base, burst) => {
    const { queued, before } = compare({ engines: 6, loads: [base, burst], untilMs: 22_000 });
    expect(queued('long').refusedTwice).toBeLessThan(before('long').refusedTwice);
    expect(queued('long').lost).toBeLessThan(before('long').lost);
    expect(queued('long').onTime).toBeGreaterThanOrEqual(before('long').onTime);
    // A client ignores a Retry-After of more than a third of the time that it has left.
    expect(queued('long').longestRetryFactor).toBeLessThan(1 / 3);
  });

  it('load below the capacity: every request is sent, and on time', () => {
    const { queued } = compare({ engines: 6, loads: [SHORT, LONG], untilMs: 16_000 });
    expect(queued('short')).toMatchObject({ onTime: 1, lost: 0 });
    expect(queued('long')).toMatchObject({ onTime: 1, lost: 0 });
  });
});
