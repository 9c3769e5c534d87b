import { describe, expect, it } from 'vitest';
import { DefaultPolicy } from './DefaultPolicy.js';
import { createChain, createLoad, createRequest, createTarget, createTargets } from './Fixtures.js';
import { LeastLoad } from './LeastLoad.js';
import { PrefixHash } from './PrefixHash.js';
import { RoundRobin } from './RoundRobin.js';
import {
  MAX_LOGGED_CANDIDATES,
  type IRouteDecision,
  type IRoutingPolicy,
  type ITargetView,
} from './Types.js';

function createPolicies(): IRoutingPolicy[] {
  const random = (): number => 0;
  return [
    new RoundRobin(),
    new LeastLoad(random),
    new PrefixHash(random),
    new DefaultPolicy({ dataCentre: 'dc-0', random }),
  ];
}

function createDefault(random = 0): DefaultPolicy {
  return new DefaultPolicy({ dataCentre: 'dc-0', random: () => random });
}

function expectTarget(decision: IRouteDecision): ITargetView {
  if (decision.kind !== 'target') {
    throw new Error(`no target: ${decision.reason}`);
  }
  return decision.target;
}

/** Dispatches a request to a target and reports a complete answer with the whole chain cached. */
function serve(
  policy: IRoutingPolicy,
  requestId: string,
  chain: readonly string[],
  target: ITargetView,
  now: number,
): void {
  const request = createRequest(requestId, chain);
  policy.onDispatched(request, target, now);
  policy.onFirstToken(requestId, now + 10);
  const answer = { cachedPromptTokens: chain.length * 2_000, ttftMs: 10, load: undefined };
  policy.onAnswered(requestId, answer, now + 20);
}

describe.each(createPolicies())('$name', (policy) => {
  it('never chooses a draining or unhealthy target', () => {
    const targets = [
      createTarget('draining', { draining: true }),
      createTarget('usable'),
      createTarget('unhealthy', { healthy: false }),
    ];
    for (let i = 0; i < 20; i += 1) {
      const request = createRequest(`r${i}`, createChain(`p${i}`, 3));
      expect(expectTarget(policy.choose(request, targets, i)).id).toBe('usable');
    }
  });

  it('returns the reason if there is no target, instead of throwing', () => {
    const request = createRequest('r', []);
    const draining = [createTarget('t', { draining: true })];
    expect(policy.choose(request, [], 0)).toEqual({ kind: 'none', reason: 'no-target' });
    expect(policy.choose(request, draining, 0).kind).toBe('none');
  });
});

describe('LeastLoad', () => {
  it('counts dispatches since the last report, so that a burst is spread over the targets', () => {
    const policy: IRoutingPolicy = new LeastLoad(() => 0);
    const targets = [
      createTarget('a', { load: createLoad(0, 1) }),
      createTarget('b', { load: createLoad(1, 1) }),
    ];
    const chosen = ['r1', 'r2', 'r3'].map((id) => {
      const target = expectTarget(policy.choose(createRequest(id, []), targets, 2));
      policy.onDispatched(createRequest(id, []), target, 2);
      return target.id;
    });
    expect(new Set(chosen)).toEqual(new Set(['a', 'b']));
  });
});

describe('DefaultPolicy', () => {
  const chain = createChain('p', 8);

  it('chooses a holder, so that a cached prefix is not recomputed by another target', () => {
    const policy = createDefault();
    const targets = createTargets(13);
    serve(policy, 'r1', chain, createTarget('t-7'), 0);
    const decision = policy.choose(createRequest('r2', chain), targets, 1_000);
    expect(expectTarget(decision).id).toBe('t-7');
    expect(decision).toMatchObject({ expectedCachedTokens: 16_000 });
  });

  it('expects no cached tokens from an earlier incarnation or other weights', () => {
    for (const change of [{ incarnation: 't-7/1' }, { weightsVersion: 'w2' }]) {
      const policy = createDefault();
      serve(policy, 'r1', chain, createTarget('t-7'), 0);
      const targets = createTargets(13).map((target) =>
        target.id === 't-7' ? { ...target, ...change } : target,
      );
      const decision = policy.choose(createRequest('r2', chain), targets, 1_000);
      expect(decision).toMatchObject({ expectedCachedTokens: 0 });
    }
  });

  it('expects no cached tokens from chunks that were reported as evicted or whose dispatch failed', () => {
    const policy = createDefault();
    const target = createTarget('t-7');
    serve(policy, 'r1', chain, target, 0);
    policy.onEvicted(target, chain.slice(2));
    const decision = policy.choose(createRequest('r2', chain), [target], 1_000);
    expect(decision).toMatchObject({ expectedCachedTokens: 4_000 });
    policy.onDispatched(createRequest('r3', chain), target, 2_000);
    policy.onFailed('r3', 2_100);
    const later = policy.choose(createRequest('r4', chain), [target], 2_200);
    expect(later).toMatchObject({ expectedCachedTokens: 0 });
  });

  it('uses the cached chunks that a target reports from dispatches of other entries', () => {
    const policy = createDefault();
    policy.onCached(createTarget('t-3'), chain.slice(0, 4), 0);
    const decision = policy.choose(createRequest('r1', chain), createTargets(13), 100);
    expect(decision).toMatchObject({ target: { id: 't-3' }, expectedCachedTokens: 8_000 });
  });

  it('agrees with other entries on the home target of a new prefix', () => {
    const targets = createTargets(13);
    const homes = [0.1, 0.5, 0.9].map((random) => {
      const decision = createDefault(random).choose(createRequest('r', chain), targets, 0);
      return expectTarget(decision).id;
    });
    expect(new Set(homes).size).toBe(1);
  });

  it('avoids a busy holder if waiting takes longer than recomputing the prefix', () => {
    const policy = createDefault();
    serve(policy, 'r1', chain, createTarget('t-7'), 0);
    const targets = createTargets(13).map((target) =>
      target.id === 't-7' ? { ...target, load: createLoad(500, 50) } : target,
    );
    const target = expectTarget(policy.choose(createRequest('r2', chain), targets, 100));
    expect(target.id).not.toBe('t-7');
  });

  it('sets no limit on the third dispatch, so that a request is not refused by all targets', () => {
    const policy = createDefault();
    const targets = createTargets(13);
    serve(policy, 'r1', chain, createTarget('t-7'), 0);
    const limits: number[] = [];
    const chosen: string[] = [];
    for (let i = 0; i < 3; i += 1) {
      const request = createRequest('r2', chain);
      const decision = policy.choose(request, targets, 100);
      const target = expectTarget(decision);
      limits.push(decision.kind === 'target' ? decision.maxTtftMs : NaN);
      chosen.push(target.id);
      policy.onDispatched(request, target, 100);
      policy.onBusy('r2', { waitMs: 60_000, cachedPromptTokens: 0 }, 102);
    }
    expect(limits.map(Number.isFinite)).toEqual([true, true, false]);
    expect(new Set(chosen).size).toBe(3);
  });

  it('sends the remaining requests of a burst to other targets after a refusal, until a newer report', () => {
    const policy = createDefault();
    const targets = createTargets(13);
    const holder = createTarget('t-7');
    serve(policy, 'r1', chain, holder, 0);
    policy.onDispatched(createRequest('r2', chain), holder, 100);
    const receipt = { waitMs: 60_000, cachedPromptTokens: 16_000 };
    policy.onBusy('r2', receipt, 102);
    const request = createRequest('r3', chain);
    expect(expectTarget(policy.choose(request, targets, 103)).id).not.toBe('t-7');
    const reported = targets.map((target) => ({ ...target, load: createLoad(0, 200) }));
    expect(expectTarget(policy.choose(request, reported, 200)).id).toBe('t-7');
  });

  it('limits the candidates of a decision, and scores only a sample of a large fleet', () => {
    const policy = createDefault(0.5);
    const targets = createTargets(5_600);
    const decision = policy.choose(createRequest('r', chain), targets, 0);
    expect(decision.kind === 'target' && decision.candidates.length).toBeLessThanOrEqual(
      MAX_LOGGED_CANDIDATES,
    );
  });
});
