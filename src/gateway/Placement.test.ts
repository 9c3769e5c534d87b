/**
 * Guards against shared prompt parts that are recomputed although a target or the store holds them, and
 * against requests to overloaded or unavailable targets.
 */
import { create } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import {
  TargetModelSchema,
  TargetRecordSchema,
  type TargetRecord,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { buildTarget } from '../fleet/Fixtures.js';
import { Placement, type IPlacement } from './Placement.js';
import type { IPlacementRequest, IPlacementTarget } from './PlacementRequest.js';
import { PromptHolders } from './PromptHolders.js';
import { TargetStates } from './TargetStates.js';

const states = new TargetStates();
const EMPTY_STORE = { isHeld: () => false };

function buildRequest(changes: Partial<IPlacementRequest> = {}): IPlacementRequest {
  return {
    parts: [
      { id: 'standard', tokens: 2_500 },
      { id: 'subject', tokens: 3_800 },
      { id: 'own', tokens: 2_900 },
    ],
    promptTokens: 9_200,
    outputTokens: 10,
    latencyObjectiveMs: 500,
    isolationKey: undefined,
    isEngine: true,
    model: 'm',
    wantedVersion: undefined,
    ...changes,
  };
}

function buildTargets(count: number, born = 1_000): IPlacementTarget[] {
  return Array.from({ length: count }, (_, i) => {
    const record = buildTarget({ id: `i-${i}-${born}`, address: `10.1.0.${i}:8000`, born });
    const state = states.ensure(record, -60_000);
    const weightsUsableMs = Number.POSITIVE_INFINITY;
    return { record, state, othersOpen: 0, othersPendingTokens: 0, weightsUsableMs };
  });
}

function getSourceId(placement: IPlacement | undefined): string | undefined {
  return placement?.source?.kind === 'target' ? placement.source.record.id : undefined;
}

/** The target after it loaded version 2 of the weights at the given time. */
function loadNewerWeights({ record, ...others }: IPlacementTarget, now: number): IPlacementTarget {
  const newer = updateRecord(record, { models: NEWER_MODELS });
  const state = { ...states.ensure({ ...record, id: `${record.id}/${now}` }, now) };
  return { ...others, record: newer, state };
}

const NEWER_MODELS = [create(TargetModelSchema, { name: 'm', version: 2n })];

function updateRecord(
  record: TargetRecord | undefined,
  changes: Partial<Pick<TargetRecord, 'models' | 'loading' | 'silent' | 'preparing'>>,
): TargetRecord {
  if (record === undefined) {
    throw new Error('no target was chosen');
  }
  return Object.assign(create(TargetRecordSchema, record), changes);
}

/** Returns a copy of the targets in which one is changed. */
function updateTarget(
  targets: readonly IPlacementTarget[],
  id: string | undefined,
  changes: Partial<IPlacementTarget>,
): IPlacementTarget[] {
  return targets.map((target) => (target.record.id === id ? { ...target, ...changes } : target));
}

describe('Placement', () => {
  it('chooses the same target for a subject in all entries while all targets are idle', () => {
    const targets = buildTargets(6, 1);
    const first = new Placement('zg-a').choose(buildRequest(), targets, EMPTY_STORE, 0);
    const second = new Placement('zg-a').choose(
      buildRequest(),
      [...targets].reverse(),
      EMPTY_STORE,
      0,
    );
    expect(first?.target.id).toBe(second?.target.id);
    expect(first?.missedTokens).toBe(0);
  });

  it('keeps the home target of a subject when other targets are removed', () => {
    const targets = buildTargets(6, 2);
    const placement = new Placement('zg-a');
    const home = placement.choose(buildRequest(), targets, EMPTY_STORE, 0)?.target.id;
    const remaining = targets.filter(({ record }, i) => record.id === home || i % 2 === 0);
    expect(placement.choose(buildRequest(), remaining, EMPTY_STORE, 0)?.target.id).toBe(home);
  });

  it('hot subject: chooses another target and fetches the shared parts from the overloaded home target', () => {
    const targets = buildTargets(6, 3);
    const placement = new Placement('zg-a');
    const home = placement.choose(buildRequest(), targets, EMPTY_STORE, 0)?.target;
    const full = updateTarget(targets, home?.id, { othersPendingTokens: 40_000 });
    const chosen = placement.choose(buildRequest(), full, EMPTY_STORE, 0);
    expect(chosen?.target.id).not.toBe(home?.id);
    expect(getSourceId(chosen)).toBe(home?.id);
  });

  it('prefers the store to an assumed holder, but a target that was seen to compute the part to the store', () => {
    const targets = buildTargets(6, 9);
    const placement = new Placement('zg-a');
    const fullStore = { isHeld: () => true };
    const home = placement.choose(buildRequest(), targets, EMPTY_STORE, 0)?.target;
    const full = updateTarget(targets, home?.id, { othersPendingTokens: 40_000 });
    expect(placement.choose(buildRequest(), full, fullStore, 0)?.source?.kind).toBe('store');
    expect(placement.choose(buildRequest(), full, fullStore, 0)?.missedTokens).toBe(0);
    if (home !== undefined) {
      placement.recordReading(buildRequest(), home, 0);
    }
    expect(getSourceId(placement.choose(buildRequest(), full, fullStore, 100))).toBe(home?.id);
  });

  it('never fetches parts that were computed with other weights', () => {
    const targets = buildTargets(6, 4);
    const placement = new Placement('zg-a');
    const home = placement.choose(buildRequest(), targets, EMPTY_STORE, 0)?.target;
    const newer = updateRecord(home, { models: NEWER_MODELS });
    const full = updateTarget(targets, home?.id, { record: newer, othersPendingTokens: 40_000 });
    expect(getSourceId(placement.choose(buildRequest(), full, EMPTY_STORE, 0))).not.toBe(home?.id);
  });

  describe('when new weights are rolled out within seconds of each other', () => {
    const request = buildRequest({ wantedVersion: 2 });

    it('keeps one home target for a subject among the targets with the newest weights', () => {
      const targets = buildTargets(12, 10).map((target, i) =>
        i % 2 === 0 ? target : loadNewerWeights(target, 0),
      );
      const subjects = Array.from({ length: 40 }, (_, i) => `subject-${i}`);
      for (const id of subjects) {
        const parts = [
          ...request.parts.slice(0, 1),
          { id, tokens: 3_800 },
          ...request.parts.slice(2),
        ];
        // The second entry sees a different load by other entries.
        const busy = targets.map((target, i) => ({
          ...target,
          othersPendingTokens: 300 * (i % 5),
        }));
        const first = new Placement('zg-a').choose(
          { ...request, parts },
          targets,
          EMPTY_STORE,
          100,
        );
        const second = new Placement('zg-a').choose({ ...request, parts }, busy, EMPTY_STORE, 100);
        expect(second?.target.id).toBe(first?.target.id);
      }
    });

    it('fetches from the former home target after a target of a higher rank has loaded the weights', () => {
      const cold = buildTargets(6, 11);
      const home = new Placement('zg-a').choose(request, cold, EMPTY_STORE, 0)?.target.id;
      const others = cold.filter(({ record }) => record.id !== home);
      const before = new Placement('zg-a').choose(request, others, EMPTY_STORE, 0)?.target.id;
      const targets = cold.map((target) =>
        loadNewerWeights(target, target.record.id === home ? 8_000 : 1_000),
      );
      const chosen = new Placement('zg-a').choose(request, targets, EMPTY_STORE, 8_500);
      expect(chosen?.target.id).toBe(home);
      expect(getSourceId(chosen)).toBe(before);
    });

    it('fetches a part from a target that another entry has seen to compute it', () => {
      const targets = buildTargets(6, 13).map((target) => loadNewerWeights(target, 0));
      const placement = new Placement('zg-a');
      const home = placement.choose(request, targets, EMPTY_STORE, 100)?.target.id;
      const holder = targets.find(({ record }) => record.id !== home)?.record;
      const others = new PromptHolders();
      others.recordReading(request, updateRecord(holder, {}), 0);
      const reported = others.takeUnreported();
      expect(reported).toHaveLength(2);
      const holders = new PromptHolders();
      holders.addReported(reported, 100);
      const full = updateTarget(targets, holder?.id, { othersPendingTokens: 40_000 });
      const chosen = new Placement('zg-a', holders).choose(request, full, EMPTY_STORE, 150);
      expect(getSourceId(chosen)).toBe(holder?.id);
      expect(chosen?.missedTokens).toBe(0);
    });

    it('names a source also to a home target that is expected to hold all parts, as it may have evicted some', () => {
      const targets = buildTargets(6, 15);
      const placement = new Placement('zg-a');
      const home = placement.choose(request, targets, EMPTY_STORE, 0)?.target;
      const fullStore = { isHeld: () => true };
      const stored = placement.choose(request, targets, fullStore, 0);
      expect(stored?.target.id).toBe(home?.id);
      expect(stored?.source?.kind).toBe('store');
      const holder = targets.find(({ record }) => record.id !== home?.id)?.record;
      placement.recordReading(request, updateRecord(holder, {}), 0);
      const seen = placement.choose(request, targets, EMPTY_STORE, 100);
      expect(seen?.target.id).toBe(home?.id);
      expect(getSourceId(seen)).toBe(holder?.id);
    });

    it('reports a repeated reading to other entries once in two seconds', () => {
      const [target] = buildTargets(1, 14);
      const holders = new PromptHolders();
      for (const now of [0, 100, 1_900]) {
        holders.recordReading(request, updateRecord(target?.record, {}), now);
      }
      expect(holders.takeUnreported()).toHaveLength(2);
      expect(holders.takeUnreported()).toHaveLength(0);
      holders.recordReading(request, updateRecord(target?.record, {}), 2_000);
      expect(holders.takeUnreported()).toHaveLength(2);
    });

    it('fetches a common first part from a target that was seen to compute it', () => {
      const targets = buildTargets(6, 12).map((target) => loadNewerWeights(target, 0));
      const placement = new Placement('zg-a');
      const [standard, , own] = request.parts;
      const other = { ...request, parts: [standard, { id: 'other', tokens: 10 }, own] };
      const home = placement.choose(request, targets, EMPTY_STORE, 5_000)?.target.id;
      const holder = targets.find(({ record }) => record.id !== home)?.record;
      placement.recordReading(other as IPlacementRequest, updateRecord(holder, {}), 4_900);
      const chosen = placement.choose(request, targets, EMPTY_STORE, 5_000);
      expect(chosen?.target.id).toBe(home);
      expect(getSourceId(chosen)).toBe(holder?.id);
    });
  });

  it('prefers a target with the newest weights if no shared part has to be recomputed', () => {
    const [old, updated] = buildTargets(2, 5);
    if (old === undefined || updated === undefined) {
      throw new Error('two targets are needed');
    }
    const record = updateRecord(updated.record, { models: NEWER_MODELS });
    const request = buildRequest({ wantedVersion: 2, parts: [] });
    const chosen = new Placement('zg-a').choose(
      request,
      [old, { ...updated, record }],
      EMPTY_STORE,
      0,
    );
    expect(chosen?.target.id).toBe(record.id);
  });

  it('uses engines with old weights in a burst while the roll-out of new ones stands still', () => {
    // A leader that is frozen leaves one engine of eight with the new weights. That engine must not get all
    // requests while seven others could serve them in time.
    const [updated, ...others] = buildTargets(8, 9);
    if (updated === undefined) {
      throw new Error('a target is needed');
    }
    const record = updateRecord(updated.record, { models: NEWER_MODELS });
    const outdated = others.map((target) => ({ ...target, weightsUsableMs: 3_000 }));
    const targets = [{ ...updated, record, othersPendingTokens: 60_000 }, ...outdated];
    const request = buildRequest({ wantedVersion: 2, parts: [] });
    const chosen = new Placement('zg-a').choose(request, targets, EMPTY_STORE, 0);
    expect(outdated.map((target) => target.record.id)).toContain(chosen?.target.id);
    expect(chosen?.expectedMs).toBeLessThan(500);
  });

  it('does not queue a request at an engine whose weights may expire before it begins', () => {
    const [updated, outdated] = buildTargets(2, 10);
    if (updated === undefined || outdated === undefined) {
      throw new Error('two targets are needed');
    }
    const record = updateRecord(updated.record, { models: NEWER_MODELS });
    const targets = [
      { ...updated, record, othersPendingTokens: 30_000 },
      { ...outdated, othersPendingTokens: 10_000, weightsUsableMs: 300 },
    ];
    const request = buildRequest({ wantedVersion: 2, parts: [] });
    const chosen = new Placement('zg-a').choose(request, targets, EMPTY_STORE, 0);
    expect(chosen?.target.id).toBe(record.id);
    // Without another target the request is refused at once: it may not run on the old weights.
    expect(new Placement('zg-a').choose(request, targets.slice(1), EMPTY_STORE, 0)).toBeUndefined();
  });

  it.each([
    ['loads weights', { loading: true }],
    ['is silent', { silent: true }],
  ])('avoids a target that %s', (_name, changes) => {
    const targets = buildTargets(3, 6);
    const placement = new Placement('zg-a');
    const home = placement.choose(buildRequest(), targets, EMPTY_STORE, 0)?.target;
    const record = updateRecord(home, changes);
    const chosen = placement.choose(
      buildRequest(),
      updateTarget(targets, home?.id, { record }),
      EMPTY_STORE,
      0,
    );
    expect(chosen?.target.id).not.toBe(home?.id);
  });

  it('sends no long stream to a target that is about to load weights', () => {
    const targets = buildTargets(3, 7);
    const request = buildRequest({ parts: [], outputTokens: 300 });
    const placement = new Placement('zg-a');
    const home = placement.choose(request, targets, EMPTY_STORE, 0)?.target;
    const record = updateRecord(home, { preparing: true });
    const changed = updateTarget(targets, home?.id, { record });
    expect(placement.choose(request, changed, EMPTY_STORE, 0)?.target.id).not.toBe(home?.id);
  });

  it('balances requests to plain services by the number of open requests', () => {
    const targets = buildTargets(3, 8).map((target, i) => ({ ...target, othersOpen: 5 - i }));
    const chosen = new Placement('zg-a').choose(
      buildRequest({ parts: [], isEngine: false, model: undefined }),
      targets,
      EMPTY_STORE,
      0,
    );
    expect(chosen?.target.id).toBe(targets[2]?.record.id);
  });

  it('returns undefined without targets', () => {
    expect(new Placement('zg-a').choose(buildRequest(), [], EMPTY_STORE, 0)).toBeUndefined();
  });
});
