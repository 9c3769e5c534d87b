/** Guards against prompts that are read again, and against full or doubtful targets that get work. */
import { describe, expect, it } from 'vitest';
import { buildTarget } from '../fleet/Fixtures.js';
import { Placement, type IPlacementRequest, type IPlacementTarget } from './Placement.js';
import { TargetStates } from './TargetStates.js';

const states = new TargetStates();

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
    return { record, state: states.ensure(record), othersOpen: 0, othersTokens: 0 };
  });
}

/** The same targets, with one of them changed. */
function changeTarget(
  targets: readonly IPlacementTarget[],
  id: string | undefined,
  changes: Partial<IPlacementTarget>,
): IPlacementTarget[] {
  return targets.map((target) => (target.record.id === id ? { ...target, ...changes } : target));
}

describe('Placement', () => {
  it('sends a subject to the same target from all entries, as long as none is loaded', () => {
    const targets = buildTargets(6, 1);
    const first = new Placement('zg-a').choose(buildRequest(), targets, 0);
    const second = new Placement('zg-a').choose(buildRequest(), [...targets].reverse(), 0);
    expect(first?.target.id).toBe(second?.target.id);
    expect(first?.missedTokens).toBe(0);
  });

  it('keeps a subject at its home when another target leaves', () => {
    const targets = buildTargets(6, 2);
    const placement = new Placement('zg-a');
    const home = placement.choose(buildRequest(), targets, 0)?.target.id;
    const rest = targets.filter(({ record }, i) => record.id === home || i % 2 === 0);
    expect(placement.choose(buildRequest(), rest, 0)?.target.id).toBe(home);
  });

  it('hot subject: leaves the full home and fetches the shared parts from there', () => {
    const targets = buildTargets(6, 3);
    const placement = new Placement('zg-a');
    const home = placement.choose(buildRequest(), targets, 0)?.target;
    const full = changeTarget(targets, home?.id, { othersTokens: 40_000 });
    const chosen = placement.choose(buildRequest(), full, 0);
    expect(chosen?.target.id).not.toBe(home?.id);
    expect(chosen?.source?.id).toBe(home?.id);
  });

  it('never fetches parts that were read under other weights', () => {
    const targets = buildTargets(6, 4);
    const placement = new Placement('zg-a');
    const home = placement.choose(buildRequest(), targets, 0)?.target;
    const newer = buildTarget({
      ...home,
      models: [{ name: 'm', version: 2n }],
    });
    const full = changeTarget(targets, home?.id, { record: newer, othersTokens: 40_000 });
    expect(placement.choose(buildRequest(), full, 0)?.source?.id).not.toBe(home?.id);
  });

  it('prefers targets with the newest weights while that costs less than reading again', () => {
    const [old, fresh] = buildTargets(2, 5);
    if (old === undefined || fresh === undefined) {
      throw new Error('two targets are needed');
    }
    const record = buildTarget({ ...fresh.record, models: [{ name: 'm', version: 2n }] });
    const request = buildRequest({ wantedVersion: 2, parts: [] });
    const chosen = new Placement('zg-a').choose(request, [old, { ...fresh, record }], 0);
    expect(chosen?.target.id).toBe(record.id);
  });

  it.each([
    ['loads weights', { loading: true }],
    ['is silent', { silent: true }],
  ])('avoids a target that %s', (_name, changes) => {
    const targets = buildTargets(3, 6);
    const placement = new Placement('zg-a');
    const home = placement.choose(buildRequest(), targets, 0)?.target;
    const record = buildTarget({ ...home, ...changes });
    const chosen = placement.choose(buildRequest(), changeTarget(targets, home?.id, { record }), 0);
    expect(chosen?.target.id).not.toBe(home?.id);
  });

  it('sends no long stream to a target that is about to load weights', () => {
    const targets = buildTargets(3, 7);
    const request = buildRequest({ parts: [], outputTokens: 300 });
    const placement = new Placement('zg-a');
    const home = placement.choose(request, targets, 0)?.target;
    const record = buildTarget({ ...home, preparing: true });
    const changed = changeTarget(targets, home?.id, { record });
    expect(placement.choose(request, changed, 0)?.target.id).not.toBe(home?.id);
  });

  it('spreads plain requests by their number', () => {
    const targets = buildTargets(3, 8).map((target, i) => ({ ...target, othersOpen: 5 - i }));
    const chosen = new Placement('zg-a').choose(
      buildRequest({ parts: [], isEngine: false, model: undefined }),
      targets,
      0,
    );
    expect(chosen?.target.id).toBe(targets[2]?.record.id);
  });

  it('has no choice without targets', () => {
    expect(new Placement('zg-a').choose(buildRequest(), [], 0)).toBeUndefined();
  });
});
