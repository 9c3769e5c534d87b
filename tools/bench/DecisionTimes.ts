/** Time of one decision of the default policy by size of the fleet. */
import { build } from 'hdr-histogram-js';
import { DefaultPolicy } from '../../src/policy/DefaultPolicy.js';
import type { IRouteRequest, ITargetView } from '../../src/policy/Types.js';
import { DEPLOYMENTS, type IDeployment } from './Deployments.js';
import { createRandom } from './Random.js';
import { generateWorkload } from './Workload.js';

const FLEET_SIZES = [13, 100, 1_000, 5_600];

/** Requests that fill the index before measuring. */
const WARMUP_REQUESTS = 4_000;

/** Length of the generated traffic, about 20,000 requests. */
const WORKLOAD_MS = 600_000;

/** Requests that are open at the same time, for each target. */
const OPEN_PER_TARGET = 2;

const UNITS_PER_US = 10;
const US_PER_MS = 1_000;

export interface IDecisionTime {
  readonly targets: number;
  readonly p50Us: number;
  readonly p99Us: number;
}

function createTargets(count: number): ITargetView[] {
  return Array.from({ length: count }, (_, position) => ({
    id: `assessor-${position}`,
    dataCentre: `dc-${position % 4}`,
    incarnation: `${position}/0`,
    weightsVersion: 'w1',
    load: { queued: 1, running: 8, freeBlocks: 10, reportedAt: 1 },
    draining: false,
    healthy: true,
  }));
}

function createRequests(deployment: IDeployment): IRouteRequest[] {
  const arrivals = generateWorkload(deployment, 1, WORKLOAD_MS).arrivals;
  return arrivals.map((arrival) => ({
    requestId: arrival.id,
    clientAccount: String(arrival.account),
    service: deployment.service,
    model: deployment.service,
    chain: arrival.chain,
    promptTokens: arrival.promptTokens,
    priority: 0,
    deadlineMs: Infinity,
  }));
}

function measureFleet(count: number, requests: readonly IRouteRequest[]): IDecisionTime {
  const random = createRandom(1, 'decision-times');
  const policy = new DefaultPolicy({ dataCentre: 'dc-0', random });
  const targets = createTargets(count);
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 1e9 });
  const open: IRouteRequest[] = [];
  for (const [index, request] of requests.entries()) {
    const now = index;
    const startedAt = performance.now();
    const decision = policy.choose(request, targets, now);
    const elapsedUs = (performance.now() - startedAt) * US_PER_MS;
    if (index >= WARMUP_REQUESTS) {
      histogram.recordValue(Math.max(1, Math.round(elapsedUs * UNITS_PER_US)));
    }
    if (decision.kind === 'target') {
      policy.onDispatched(request, decision.target, now);
      open.push(request);
    }
    const oldest = open.length > OPEN_PER_TARGET * count ? open.shift() : undefined;
    if (oldest !== undefined) {
      const cachedPromptTokens = oldest.promptTokens;
      policy.onAnswered(oldest.requestId, { cachedPromptTokens, ttftMs: 10, load: undefined }, now);
    }
  }
  return {
    targets: count,
    p50Us: histogram.getValueAtPercentile(50) / UNITS_PER_US,
    p99Us: histogram.getValueAtPercentile(99) / UNITS_PER_US,
  };
}

/** Measures decisions at several fleet sizes. */
export function measureDecisionTimes(): IDecisionTime[] {
  const deployment = DEPLOYMENTS.authority;
  if (deployment === undefined) {
    throw new Error('the deployment authority is not defined');
  }
  const requests = createRequests(deployment);
  return FLEET_SIZES.map((count) => measureFleet(count, requests));
}
