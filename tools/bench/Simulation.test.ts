import { describe, expect, it } from 'vitest';
import { DEPLOYMENTS, type IDeployment } from './Deployments.js';
import { runOnce, type IRunOptions } from './Simulation.js';
import { generateWorkload } from './Workload.js';

function createOptions(changes: Partial<IRunOptions> = {}): IRunOptions {
  const deployment = DEPLOYMENTS.franchise;
  if (deployment === undefined) {
    throw new Error('the deployment franchise is not defined');
  }
  return {
    deployment,
    policy: 'default',
    seed: 7,
    seconds: 20,
    hasFaults: false,
    hasUseNotices: false,
    ...changes,
  };
}

/** Figures without the measured times, which differ from run to run. */
function runWithoutTimes(options: IRunOptions): Record<string, unknown> {
  return { ...runOnce(options), decisionP50Us: 0, decisionP99Us: 0 };
}

describe('runOnce', () => {
  it('gives the same figures for the same seed, so that policies see equal arrivals', () => {
    const options = createOptions({ hasFaults: true });
    expect(runWithoutTimes(options)).toEqual(runWithoutTimes(options));
    expect(runWithoutTimes({ ...options, seed: 8 })).not.toEqual(runWithoutTimes(options));
  });

  it('answers each admitted request once, also when engines crash', () => {
    for (const hasFaults of [false, true]) {
      const figures = runOnce(createOptions({ hasFaults }));
      const ended = figures.answered + figures.failed + figures.wrongfulRefusals;
      const { deployment, seed, seconds } = createOptions();
      const arrivals = generateWorkload(deployment, seed, seconds * 1_000).arrivals.length;
      expect(ended + figures.refusedOverRate).toBe(arrivals);
      expect(figures.overAdmittedTokens).toBe(0);
    }
  });

  it('bounds the hit rate by the oracle under light load, so that the oracle is no baseline', () => {
    const deployment: IDeployment = { ...createOptions().deployment, requestsPerSecond: 6 };
    const own = runOnce(createOptions({ deployment }));
    const oracle = runOnce(createOptions({ deployment, policy: 'oracle' }));
    expect(oracle.prefixHitRate).toBeGreaterThan(own.prefixHitRate);
  });
});

describe('generateWorkload', () => {
  it('shares no chunk between client accounts', () => {
    const { arrivals } = generateWorkload(createOptions().deployment, 1, 20_000);
    const owners = new Map<string, number>();
    for (const arrival of arrivals) {
      for (const hash of arrival.chain) {
        expect(owners.get(hash) ?? arrival.account).toBe(arrival.account);
        owners.set(hash, arrival.account);
      }
    }
  });
});
