/** Guards against prompts that are read again, and against full or doubtful targets that get work. */
import { create } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import {
  TargetModelSchema,
  TargetRecordSchema,
  type TargetRecord,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { buildTarget } from '../fleet/Fixtures.js';
import { Placement, type IPlacementRequest, type IPlacementTarget } from './Placement.js';
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
    objectiveMs: 500,
    cacheWall: undefined,
    isEngine: true,
    model: 'm',
    wantedVersion: undefined,
    ...changes,
  };
}

function buildTargets(count: number, born = 1_000): IPlacementTarget[] {
  return Array.from({ length: count }, (_, i) => {
    const record = buildTarget({ id: `i-${i}-${born}`, address: `10.1.0.${i}:8000`, born });
    return { record, state: states.ensure(record, -60_000), othersOpen: 0, othersTokens: 0 };
  });
}

const NEWER = [create(TargetModelSchema, { name: 'm', version: 2n })];

function updateRecord(
  record: TargetRecord | undefined,
  changes: Partial<Pick<TargetRecord, 'models' | 'loading' | 'silent' | 'preparing'>>,
): TargetRecord {
  if (record === undefined) {
    throw new Error('no target was chosen');
  }
  return Object.assign(create(TargetRecordSchema, record), changes);
}

/** The same targets, with one of them changed. */
function updateTarget(
  targets: readonly IPlacementTarget[],
  id: string | undefined,
  changes: Partial<IPlacementTarget>,
): IPlacementTarget[] {
  return targets.map((target) => (target.record.id === id ? { ...target, ...changes } : target));
}

describe('Placement', () => {
  it('sends a subject to the same target from all entries, as long as none is loaded', () => {
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

  it('keeps a subject at its home when another target leaves', () => {
    const targets = buildTargets(6, 2);
    const placement = new Placement('zg-a');
    const home = placement.choose(buildRequest(), targets, EMPTY_STORE, 0)?.target.id;
    const rest = targets.filter(({ record }, i) => record.id === home || i % 2 === 0);
    expect(placement.choose(buildRequest(), rest, EMPTY_STORE, 0)?.target.id).toBe(home);
  });

  it('hot subject: leaves the full home and fetches the shared parts from there', () => {
    const targets = buildTargets(6, 3);
    const placement = new Placement('zg-a');
    const home = placement.choose(buildRequest(), targets, EMPTY_STORE, 0)?.target;
    const full = updateTarget(targets, home?.id, { othersTokens: 40_000 });
    const chosen = placement.choose(buildRequest(), full, EMPTY_STORE, 0);
    expect(chosen?.target.id).not.toBe(home?.id);
    expect(chosen?.source?.id).toBe(home?.id);
  });

  it('fetches from the store what it holds for certain, unless the home was seen to read it', () => {
    const targets = buildTargets(6, 9);
    const placement = new Placement('zg-a');
    const fullStore = { isHeld: () => true };
    const home = placement.choose(buildRequest(), targets, EMPTY_STORE, 0)?.target;
    const full = updateTarget(targets, home?.id, { othersTokens: 40_000 });
    expect(placement.choose(buildRequest(), full, fullStore, 0)?.source).toBeUndefined();
    expect(placement.choose(buildRequest(), full, fullStore, 0)?.missedTokens).toBe(0);
    if (home !== undefined) {
      placement.noteRead(buildRequest(), home, 0);
    }
    expect(placement.choose(buildRequest(), full, fullStore, 100)?.source?.id).toBe(home?.id);
  });

  it('never fetches parts that were read under other weights', () => {
    const targets = buildTargets(6, 4);
    const placement = new Placement('zg-a');
    const home = placement.choose(buildRequest(), targets, EMPTY_STORE, 0)?.target;
    const newer = updateRecord(home, { models: NEWER });
    const full = updateTarget(targets, home?.id, { record: newer, othersTokens: 40_000 });
    expect(placement.choose(buildRequest(), full, EMPTY_STORE, 0)?.source?.id).not.toBe(home?.id);
  });

  it('prefers targets with the newest weights while that costs less than reading again', () => {
    const [old, fresh] = buildTargets(2, 5);
    if (old === undefined || fresh === undefined) {
      throw new Error('two targets are needed');
    }
    const record = updateRecord(fresh.record, { models: NEWER });
    const request = buildRequest({ wantedVersion: 2, parts: [] });
    const chosen = new Placement('zg-a').choose(
      request,
      [old, { ...fresh, record }],
      EMPTY_STORE,
      0,
    );
    expect(chosen?.target.id).toBe(record.id);
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

  it('spreads plain requests by their number', () => {
    const targets = buildTargets(3, 8).map((target, i) => ({ ...target, othersOpen: 5 - i }));
    const chosen = new Placement('zg-a').choose(
      buildRequest({ parts: [], isEngine: false, model: undefined }),
      targets,
      EMPTY_STORE,
      0,
    );
    expect(chosen?.target.id).toBe(targets[2]?.record.id);
  });

  it('has no choice without targets', () => {
    expect(new Placement('zg-a').choose(buildRequest(), [], EMPTY_STORE, 0)).toBeUndefined();
  });
});
