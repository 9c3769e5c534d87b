import { describe, expect, it } from 'vitest';
import { DEPLOYMENTS, type IDeployment } from './Deployments.js';
import { runOnce, type IRunOptions } from './Simulation.js';
import { generateWorkload } from './Workload.js';

function createOptions(changes: Partial<IRunOptions> = {}): IRunOptions {
  const deployment = DEPLOYMENTS.franchise;
  if (deployment === undefined) {
    throw new Error("the deployment 'franchise' is missing in DEPLOYMENTS");
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

/** Runs without the decision times, which are real times and differ from run to run. */
function runWithoutDecisionTimes(options: IRunOptions): Record<string, unknown> {
  return { ...runOnce(options), decisionP50Us: 0, decisionP99Us: 0 };
}

describe('runOnce', () => {
  // Policies can be compared only if all of them get the same arrivals.
  it('returns equal figures for equal seeds and other figures for another seed', () => {
    const options = createOptions({ hasFaults: true });
    expect(runWithoutDecisionTimes(options)).toEqual(runWithoutDecisionTimes(options));
    expect(runWithoutDecisionTimes({ ...options, seed: 8 })).not.toEqual(
      runWithoutDecisionTimes(options),
    );
  });

  // Guards against requests that get lost in a crash or are counted again after a retry.
  it('counts each arrival once as answered, failed or refused, also when engines crash', () => {
    for (const hasFaults of [false, true]) {
      const figures = runOnce(createOptions({ hasFaults }));
      const ended = figures.answered + figures.failed + figures.wrongfulRefusals;
      const { deployment, seed, seconds } = createOptions();
      const arrivals = generateWorkload(deployment, seed, seconds * 1_000).arrivals.length;
      expect(ended + figures.refusedOverRate).toBe(arrivals);
      expect(figures.overAdmittedTokens).toBe(0);
    }
  });

  // An oracle that a policy surpasses would be one more baseline in place of a bound.
  it('gives the oracle a higher hit rate than the default policy under light load', () => {
    const deployment: IDeployment = { ...createOptions().deployment, requestsPerSecond: 6 };
    const policyFigures = runOnce(createOptions({ deployment }));
    const oracleFigures = runOnce(createOptions({ deployment, policy: 'oracle' }));
    expect(oracleFigures.prefixHitRate).toBeGreaterThan(policyFigures.prefixHitRate);
  });
});

describe('generateWorkload', () => {
  it('shares no chunk between client accounts', () => {
    const { arrivals } = generateWorkload(createOptions().deployment, 1, 20_000);
    const owners = new Map<string, number>();
    for (const arrival of arrivals) {
      for (const hash of arrival.chain) {
        expect(owners.get(hash) ?? arrival.accountIndex).toBe(arrival.accountIndex);
        owners.set(hash, arrival.accountIndex);
      }
    }
  });
});
