/** Builders of test values for the policies. */
import type { ILoad, IRouteRequest, ITargetView } from './Types.js';

/** A usable target with the given changes. */
export function createTarget(id: string, changes: Partial<ITargetView> = {}): ITargetView {
  return {
    id,
    dataCentre: 'dc-0',
    incarnation: `${id}/0`,
    weightsVersion: 'w1',
    load: undefined,
    draining: false,
    healthy: true,
    ...changes,
  };
}

export function createTargets(count: number): ITargetView[] {
  return Array.from({ length: count }, (_, position) => createTarget(`t-${position}`));
}

export function createRequest(requestId: string, chain: readonly string[]): IRouteRequest {
  return {
    requestId,
    clientAccount: 'a',
    service: 'assessor',
    model: 'assessor',
    chain,
    promptTokens: chain.length * 2_000 + 500,
    priority: 0,
    deadlineMs: 60_000,
  };
}

export function createLoad(queued: number, reportedAt: number): ILoad {
  return { queued, running: 0, freeBlocks: 10, reportedAt };
}

/** Chain of distinct fake hashes; chains with different labels share none. */
export function createChain(label: string, chunks: number): string[] {
  return Array.from({ length: chunks }, (_, depth) => `${label}/${depth}`);
}
