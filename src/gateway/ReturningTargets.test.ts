/** Guards against targets of a plain service that get no requests again after a limit or a pause. */
import { describe, expect, it } from 'vitest';
import { buildTarget } from '../fleet/Fixtures.js';
import { ServiceModels } from '../fleet/ServiceModels.js';
import { computeQuantile, createRandom } from './ModelFixtures.js';
import { Placement, type IPlacement } from './Placement.js';
import type { IPlacementRequest, IPlacementTarget } from './PlacementRequest.js';
import { PromptHolders } from './PromptHolders.js';
import { TargetModel } from './TargetModel.js';
import { recordFirstByte, TargetStates, type ITargetState } from './TargetStates.js';

const TARGETS = 5;
const REQUEST_INTERVAL_MS = 3;
const RETURN_AT_MS = 8_000;
const END_MS = RETURN_AT_MS + 4_000;

const REQUEST: IPlacementRequest = {
  parts: [],
  promptTokens: 0,
  outputTokens: 0,
  latencyObjectiveMs: 500,
  isolationKey: undefined,
  isEngine: false,
  model: undefined,
  wantedVersion: undefined,
};

type RecordResponse = (
  placed: IPlacement,
  state: ITargetState,
  serviceMs: number,
  endsAt: number,
) => void;

/** Sends requests to targets of equal speed, of which the last one is left out at first; returns its later share. */
function measureShare(serviceMs: number, placement: Placement, record: RecordResponse): number {
  const states = new TargetStates();
  const targets = Array.from({ length: TARGETS }, (_, index): IPlacementTarget => {
    const record = buildTarget({ id: `t-${index}`, service: 'orders', models: [] });
    const state = states.ensure(record, 0);
    return {
      record,
      state,
      othersOpen: 0,
      othersPendingTokens: 0,
      weightsUsableMs: Number.POSITIVE_INFINITY,
    };
  });
  const running: { readonly endsAt: number; readonly finish: () => void }[] = [];
  let requests = 0;
  let returned = 0;
  for (let now = 0; now < END_MS; now += REQUEST_INTERVAL_MS) {
    while (running[0] !== undefined && running[0].endsAt <= now) {
      running.shift()?.finish();
    }
    const open = now < RETURN_AT_MS ? targets.slice(0, -1) : targets;
    const placed = placement.choose(REQUEST, open, { isHeld: () => false }, now);
    const state = targets.find(({ record }) => record.id === placed?.target.id)?.state;
    if (placed === undefined || state === undefined) {
      throw new Error('the request found no target');
    }
    state.open += 1;
    const endsAt = now + serviceMs;
    running.push({
      endsAt,
      finish: () => {
        state.open -= 1;
        record(placed, state, serviceMs, endsAt);
      },
    });
    if (now >= RETURN_AT_MS) {
      requests += 1;
      returned += state === targets.at(-1)?.state ? 1 : 0;
    }
  }
  return returned / requests;
}

describe('a target of a plain service that takes requests again', () => {
  // The estimate of an unused target fell back to the assumed time. Where a service is faster than assumed, the target
  // then got no requests.
  it.each([20, 40, 120])('gets about its share at a service time of %i ms', (serviceMs) => {
    const share = measureShare(serviceMs, new Placement('zg-a'), (placed, state, actualMs, now) => {
      recordFirstByte(state, placed.modelMs, actualMs, now);
    });
    expect(share).toBeGreaterThan(0.5 / TARGETS);
    expect(share).toBeLessThan(2 / TARGETS);
  });

  // What is wrong in the model of a service must not seem to be a property of the targets that have been used.
  it.each([20, 40, 120, 400])('does so with a learned model at %i ms', (serviceMs) => {
    const model = new TargetModel(new ServiceModels());
    const placement = new Placement('zg-a', new PromptHolders(), model, createRandom(1));
    const ratios: number[] = [];
    const share = measureShare(serviceMs, placement, (placed, state, actualMs, now) => {
      placement.recordFirstByte(placed, state, actualMs, true, now);
      if (now > RETURN_AT_MS) {
        ratios.push(placed.expectedMs / actualMs);
      }
    });
    expect(share).toBeGreaterThan(0.5 / TARGETS);
    expect(share).toBeLessThan(2 / TARGETS);
    expect(computeQuantile(ratios, 0.5)).toBeGreaterThan(0.9);
    expect(computeQuantile(ratios, 0.5)).toBeLessThan(1.1);
  });
});
