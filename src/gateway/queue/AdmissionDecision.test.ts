import { describe, expect, it } from 'vitest';
import {
  computeRetryAfter,
  decideAdmission,
  decideImmediately,
  type IAdmissionRequest,
  type IAssessedTarget,
} from './AdmissionDecision.js';
import { NO_COMPETITION } from './LoadFixtures.js';

const REQUEST: IAdmissionRequest = { id: 'r1', objectiveMs: 500, arrivedAt: 0, deadlineAt: 4_500 };

function buildTarget(queueMs: number, changes: Partial<IAssessedTarget> = {}): IAssessedTarget {
  const serviceMs = 60;
  const expectedMs = serviceMs + queueMs;
  const backlogTokens = queueMs * 55;
  return { expectedMs, serviceMs, tokens: 2_000, backlogTokens, hasQueue: false, ...changes };
}

describe('decideAdmission', () => {
  it('serves a request that is expected on time', () => {
    expect(decideAdmission(REQUEST, buildTarget(300), NO_COMPETITION, 0).kind).toBe('serve');
  });

  // Guards against refusals of requests that have most of their time left.
  it('has a request wait that would be late at each target', () => {
    expect(decideAdmission(REQUEST, buildTarget(600), NO_COMPETITION, 0)).toMatchObject({
      kind: 'wait',
      reason: 'busy',
    });
  });

  it('has a request that cannot be on time any more wait for spare capacity', () => {
    const decision = decideAdmission(REQUEST, buildTarget(300), NO_COMPETITION, 500);
    expect(decision).toMatchObject({ kind: 'wait', onTimeUntil: undefined, reason: 'late' });
    expect(decideAdmission(REQUEST, buildTarget(100), NO_COMPETITION, 500).kind).toBe('serve');
  });

  it('accepts a longer queue for a late request the less time it has left', () => {
    expect(decideAdmission(REQUEST, buildTarget(300), NO_COMPETITION, 3_500).kind).toBe('serve');
  });

  it('serves a prompt whose service time exceeds its objective, as long as the queue is short', () => {
    const slow = { serviceMs: 650, backlogTokens: 20_000 };
    expect(
      decideAdmission(REQUEST, buildTarget(0, { ...slow, expectedMs: 700 }), NO_COMPETITION, 0)
        .kind,
    ).toBe('serve');
    expect(
      decideAdmission(REQUEST, buildTarget(0, { ...slow, expectedMs: 900 }), NO_COMPETITION, 0)
        .kind,
    ).toBe('wait');
  });

  // Guards against urgent requests that are late because of the queue of less urgent ones.
  it('keeps the queue at a target below the objective of more urgent requests', () => {
    const letter = { ...REQUEST, objectiveMs: 1_007, deadlineAt: 15_000 };
    expect(decideAdmission(letter, buildTarget(500), NO_COMPETITION, 0).kind).toBe('serve');
    const competition = { ...NO_COMPETITION, urgentObjectiveMs: 415 };
    expect(decideAdmission(letter, buildTarget(500), competition, 0)).toMatchObject({
      kind: 'wait',
      reason: 'urgent_first',
    });
    const isElsewhere = { ...competition, hasOthersElsewhere: true };
    expect(decideAdmission(letter, buildTarget(200), competition, 0).kind).toBe('serve');
    expect(decideAdmission(letter, buildTarget(200), isElsewhere, 0).kind).toBe('wait');
  });

  // Guards against long prompts that starve: one of 9,200 tokens that an engine lacks takes most of an urgent objective.
  it('adds the largest prompts to a short queue beside more urgent requests', () => {
    const competition = { ...NO_COMPETITION, urgentObjectiveMs: 400 };
    const large = { serviceMs: 380, backlogTokens: 6_000, tokens: 9_200 };
    const short = buildTarget(0, { ...large, expectedMs: 500 });
    expect(decideAdmission(REQUEST, short, competition, 0).kind).toBe('serve');
    const long = buildTarget(0, { ...large, expectedMs: 570 });
    expect(decideAdmission(REQUEST, long, competition, 0).kind).toBe('wait');
  });

  it('counts little of the queue for an urgent request if others cause it', () => {
    const competition = { ...NO_COMPETITION, queueShare: 0.1 };
    expect(decideAdmission(REQUEST, buildTarget(900), competition, 0).kind).toBe('serve');
  });

  it('expects more urgent requests that arrive meanwhile to be computed first', () => {
    const competition = { ...NO_COMPETITION, throughput: 100, urgentRate: 50 };
    expect(decideAdmission(REQUEST, buildTarget(300), competition, 0).kind).toBe('wait');
  });

  it('has requests wait behind those that go first, whatever the expected time', () => {
    const competition = { ...NO_COMPETITION, hasOnTimeFirst: true };
    expect(decideAdmission(REQUEST, buildTarget(0), competition, 0)).toMatchObject({
      kind: 'wait',
      reason: 'others_first',
    });
  });

  it('refuses at once what cannot be served before its deadline', () => {
    const request = { ...REQUEST, deadlineAt: 300 };
    expect(decideAdmission(request, buildTarget(300), NO_COMPETITION, 0)).toMatchObject({
      kind: 'refuse',
      reason: 'deadline',
    });
    const competition = {
      ...NO_COMPETITION,
      tokensAhead: 400_000,
      throughput: 200,
      arrivalRate: 200,
    };
    expect(decideAdmission(REQUEST, buildTarget(600), competition, 1_000)).toMatchObject({
      kind: 'refuse',
      reason: 'no_room',
    });
  });
});

describe('computeRetryAfter', () => {
  it('lasts until the waiting and returning tokens have been sent', () => {
    const competition = { ...NO_COMPETITION, throughput: 100, tokensAhead: 20_000 };
    const request = { id: 'r1', deadlineAt: 60_000 };
    const shorter = computeRetryAfter(request, competition, 0);
    expect(shorter).toBeGreaterThanOrEqual(200);
    const returning = { ...competition, returningTokens: 40_000 };
    expect(computeRetryAfter(request, returning, 0)).toBeCloseTo(shorter * 3, 3);
  });

  it('is below a third of the time that the client has left', () => {
    const competition = { ...NO_COMPETITION, throughput: 1, tokensAhead: 1_000_000 };
    for (const deadlineAt of [60, 300, 3_000, 6_000]) {
      expect(computeRetryAfter({ id: 'r1', deadlineAt }, competition, 0)).toBeLessThan(
        deadlineAt / 3,
      );
    }
  });

  it('spreads the clients that are refused together', () => {
    const competition = { ...NO_COMPETITION, throughput: 100, tokensAhead: 100_000 };
    const times = Array.from({ length: 100 }, (_, i) =>
      computeRetryAfter({ id: `r${i}`, deadlineAt: 60_000 }, competition, 0),
    );
    expect(Math.max(...times)).toBeGreaterThan(Math.min(...times) * 1.5);
  });
});

describe('decideImmediately', () => {
  it('serves what is expected on time and refuses everything else, until the queue of the target is shorter', () => {
    expect(decideImmediately(REQUEST, buildTarget(300))).toEqual({ kind: 'serve' });
    expect(decideImmediately(REQUEST, buildTarget(700))).toEqual({
      kind: 'refuse',
      reason: 'no_room',
      retryAfterMs: 260,
    });
  });

  it('serves a prompt whose service time exceeds its objective, as long as the queue is short', () => {
    const slow = buildTarget(0, { serviceMs: 650, expectedMs: 700 });
    expect(decideImmediately(REQUEST, slow).kind).toBe('serve');
  });
});
