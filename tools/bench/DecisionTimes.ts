/** Measures how long the default policy takes to choose a target, at several fleet sizes. */
import { build } from 'hdr-histogram-js';
import { DefaultPolicy } from '../../src/policy/DefaultPolicy.js';
import type { IRouteRequest, ITargetView } from '../../src/policy/Types.js';
import { DEPLOYMENTS, type IDeployment } from './Deployments.js';
import { createRandom } from './Random.js';
import { generateWorkload } from './Workload.js';

const FLEET_SIZES = [13, 100, 1_000, 5_600];

/** Requests that fill the prefix index of the policy before the measurement begins. */
const WARMUP_REQUESTS = 4_000;

/** Simulated duration of the traffic; it yields about 20,000 requests. */
const WORKLOAD_DURATION_MS = 600_000;

/** Requests in progress for each target; beyond that the oldest one is answered. */
const OPEN_REQUESTS_PER_TARGET = 2;

const HISTOGRAM_UNITS_PER_US = 10;
const US_PER_MS = 1_000;

/** Percentiles of the decision time in a fleet of `targets` targets. */
export interface IDecisionTime {
  readonly targets: number;
  readonly p50Us: number;
  readonly p99Us: number;
}

function createTargets(count: number): ITargetView[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `assessor-${index}`,
    dataCentre: `dc-${index % 4}`,
    incarnation: `${index}/0`,
    weightsVersion: 'w1',
    load: { queued: 1, running: 8, freeBlocks: 10, reportedAt: 1 },
    draining: false,
    healthy: true,
  }));
}

function createRequests(deployment: IDeployment): IRouteRequest[] {
  const arrivals = generateWorkload(deployment, 1, WORKLOAD_DURATION_MS).arrivals;
  return arrivals.map((arrival) => ({
    requestId: arrival.id,
    clientAccount: String(arrival.accountIndex),
    service: deployment.service,
    model: deployment.service,
    chain: arrival.chain,
    promptTokens: arrival.promptTokens,
    priority: 0,
    deadlineMs: Infinity,
  }));
}

function measureFleet(targetCount: number, requests: readonly IRouteRequest[]): IDecisionTime {
  const random = createRandom(1, 'decision-times');
  const policy = new DefaultPolicy({ dataCentre: 'dc-0', random });
  const targets = createTargets(targetCount);
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 1e9 });
  const openRequests: IRouteRequest[] = [];
  for (const [index, request] of requests.entries()) {
    const now = index;
    const startedAt = performance.now();
    const decision = policy.choose(request, targets, now);
    const elapsedUs = (performance.now() - startedAt) * US_PER_MS;
    if (index >= WARMUP_REQUESTS) {
      histogram.recordValue(Math.max(1, Math.round(elapsedUs * HISTOGRAM_UNITS_PER_US)));
    }
    if (decision.kind === 'target') {
      policy.onDispatched(request, decision.target, now);
      openRequests.push(request);
    }
    const oldest =
      openRequests.length > OPEN_REQUESTS_PER_TARGET * targetCount
        ? openRequests.shift()
        : undefined;
    if (oldest !== undefined) {
      const cachedPromptTokens = oldest.promptTokens;
      policy.onAnswered(oldest.requestId, { cachedPromptTokens, ttftMs: 10, load: undefined }, now);
    }
  }
  return {
    targets: targetCount,
    p50Us: histogram.getValueAtPercentile(50) / HISTOGRAM_UNITS_PER_US,
    p99Us: histogram.getValueAtPercentile(99) / HISTOGRAM_UNITS_PER_US,
  };
}

/** Replays the same requests against each fleet size and returns the decision times. */
export function measureDecisionTimes(): IDecisionTime[] {
  const deployment = DEPLOYMENTS.authority;
  if (deployment === undefined) {
    throw new Error("the deployment 'authority' is missing in DEPLOYMENTS");
  }
  const requests = createRequests(deployment);
  return FLEET_SIZES.map((count) => measureFleet(count, requests));
}
