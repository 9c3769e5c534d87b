/**
 * Guards against rollouts under load that give a bad version more requests than allowed, or roll back a good one. 22
 * entries, of which the smallest get 5 requests a second, share 100 to 250 requests a second.
 */
import { describe, expect, it } from 'vitest';
import { RolloutState } from '../gen/redwingwharf/v1/fleet_pb.js';
import { simulateRollout, type ISimulation, type ISimulationResult } from './RolloutSimulation.js';

const SEEDS = [1, 2, 3];

/** Time from the decision to roll back until the last entry hears of it, with the requests on their way. */
const SPREAD_MS = 400;

function runSeeds(setup: ISimulation): Promise<ISimulationResult[]> {
  return Promise.all(SEEDS.map((seed) => simulateRollout({ ...setup, seed })));
}

function expectCompleted(
  { rollout, endedAt, openAtOld }: ISimulationResult,
  deadlineMs: number,
): void {
  expect(rollout).toMatchObject({ state: RolloutState.COMPLETED, barredVersions: ['v1'] });
  expect(endedAt).toBeLessThan(deadlineMs);
  expect(openAtOld).toBe(0);
}

function expectRolledBack(result: ISimulationResult): void {
  const { rollout, requests, exposed, endedAt, lastSentAt } = result;
  expect(rollout).toMatchObject({ state: RolloutState.ROLLED_BACK, barredVersions: ['v2'] });
  expect(exposed).toBeLessThanOrEqual(0.1 * requests + 50);
  expect(lastSentAt).toBeLessThan(endedAt + SPREAD_MS);
}

describe('a good version', () => {
  it.each([
    ['at 200 requests a second', { durationMs: 15_000 }],
    ['at 100 requests a second', { durationMs: 12_000, rate: 100 }],
    ['at 250 requests a second, late', { durationMs: 16_000, rate: 250, readyAfterMs: 2_000 }],
    ['of a service that fails on a route anyway', { usualFailures: { look: 0.14 } }],
    ['with a route that is hardly used', { routes: { assist: 0.995, write: 0.005 } }],
  ])('is completed before its deadline %s', async (_name, setup: ISimulation) => {
    for (const result of await runSeeds(setup)) {
      expectCompleted(result, setup.durationMs ?? 15_000);
    }
  });

  it('is completed though a leader is lost at any step', async () => {
    for (const atStep of [0, 1, 2, 3, 4, 5]) {
      const leaderLoss = { atStep, gapMs: 1_000 };
      // A rollout at 100% goes on after its deadline until the streams on the old version have ended.
      expectCompleted(await simulateRollout({ leaderLoss }), 17_000);
    }
  });

  it('is completed though all processes restart at any step', async () => {
    for (const atStep of [0, 1, 2, 3, 4, 5]) {
      const result = await simulateRollout({ restart: { atStep, gapMs: 1_000 } });
      expectCompleted(result, 18_000);
    }
  });

  it('is not completed while an entry that is cut off may use the old version', async () => {
    const isolation = { atStep: 4, lastsMs: 3_000 };
    const result = await simulateRollout({ isolation });
    expectCompleted(result, 20_000);
    expect(result.endedAt).toBeGreaterThan((result.steps.get(4) ?? 0) + 3_000);
  });
});

describe('a bad version', () => {
  it.each([0.05, 0.1, 0.3, 0.6])('that fails from a share of %s on', async (fromShare) => {
    for (const failureRate of [0.25, 0.5, 1]) {
      for (const result of await runSeeds({ newVersion: { failureRate, fromShare } })) {
        expectRolledBack(result);
      }
    }
  });

  it.each([0.05, 0.1, 0.3, 0.6])('that is slow from a share of %s on', async (fromShare) => {
    for (const result of await runSeeds({ newVersion: { slowness: 3, fromShare } })) {
      expectRolledBack(result);
    }
  });

  it('that fails under load with a short duration and many requests', async () => {
    const newVersion = { failureRate: 0.4, fromShare: 0.6 };
    for (const result of await runSeeds({ durationMs: 12_000, rate: 250, newVersion })) {
      expectRolledBack(result);
    }
  });

  it('that fails under load with few requests', async () => {
    const newVersion = { failureRate: 0.4, fromShare: 0.6 };
    for (const result of await runSeeds({ durationMs: 12_000, rate: 100, newVersion })) {
      expectRolledBack(result);
    }
  });

  it('that fails on the rarest route only', async () => {
    const newVersion = { failureRate: 0.5, onRoute: 'write' };
    for (const result of await runSeeds({ newVersion })) {
      expectRolledBack(result);
    }
  });

  it.each([0, 1, 2, 3])('is rolled back though the leader is lost at step %i', async (atStep) => {
    const newVersion = { failureRate: 0.4, fromShare: 0.6 };
    expectRolledBack(await simulateRollout({ newVersion, leaderLoss: { atStep, gapMs: 1_000 } }));
  });

  it.each([0, 1, 2, 3])('is rolled back though all restart at step %i', async (atStep) => {
    const newVersion = { failureRate: 0.4, fromShare: 0.6 };
    expectRolledBack(await simulateRollout({ newVersion, restart: { atStep, gapMs: 1_000 } }));
  });

  it('is not used by an entry that is cut off once its permits have expired', async () => {
    const newVersion = { failureRate: 0.4, fromShare: 0.6 };
    const result = await simulateRollout({
      newVersion,
      isolation: { atStep: 3, lastsMs: 20_000 },
    });
    expect(result.rollout.state).toBe(RolloutState.ROLLED_BACK);
    expect(result.lastSentAt).toBeLessThan(result.endedAt + 1_500);
  });
});

it('rolls back at the deadline if no target of the version is ready', async () => {
  const result = await simulateRollout({ durationMs: 3_000, readyAfterMs: 60_000 });
  expect(result.rollout.state).toBe(RolloutState.ROLLED_BACK);
  expect(result.rollout.reason).toContain('no target of the version was ready');
  expect(result.exposed).toBe(0);
});
