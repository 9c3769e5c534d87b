/** Guards against estimates that fit one kind of engine only, and against targets that get more than their share. */
import { create } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { buildTarget } from '../fleet/Fixtures.js';
import { ServiceModels } from '../fleet/ServiceModels.js';
import { TargetModelSchema } from '../gen/redwingwharf/v1/fleet_pb.js';
import {
  buildPrompt,
  computeQuantile,
  createRandom,
  KIND_A,
  KIND_B,
  simulatePlacement,
  type ISimulationOptions,
  type ISimulationResult,
} from './ModelFixtures.js';
import { Placement } from './Placement.js';
import type { IPlacementRequest, IPlacementTarget } from './PlacementRequest.js';
import { PromptHolders } from './PromptHolders.js';
import { TargetModel } from './TargetModel.js';
import { getSpellFactor, recordLoad, TargetStates } from './TargetStates.js';

/** About a third long prompts with a tight objective, and letters. */
function buildMixed(random: () => number): IPlacementRequest {
  return random() < 0.35
    ? buildPrompt(Math.floor(random() * 120), 6_300, 2_890, 10, 415)
    : buildPrompt(1_000 + Math.floor(random() * 300), 198, 628, 58, 1_007);
}

function runSimulation(changes: Partial<ISimulationOptions>): ISimulationResult {
  return simulatePlacement({
    kind: KIND_A,
    targets: 29,
    entries: 24,
    requestsPerSecond: 300,
    durationMs: 14_000,
    measureFromMs: 7_000,
    buildRequest: (_index, random) => buildMixed(random),
    ...changes,
  });
}

function sumValues(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** The highest value relative to the mean. */
function compareBusiest(values: readonly number[]): number {
  return Math.max(...values) / (sumValues(values) / values.length);
}

/** Mean requests of a slow target relative to those of a fast one. */
function compareSlow({ requestsByTarget, speeds }: ISimulationResult): number {
  const slow = requestsByTarget.filter((_, index) => (speeds[index] ?? 0) < 1);
  const fast = requestsByTarget.filter((_, index) => (speeds[index] ?? 0) >= 1);
  return sumValues(slow) / slow.length / (sumValues(fast) / fast.length);
}

describe('the model of the targets', { timeout: 60_000 }, () => {
  it('brings the estimates for fast engines within about a quarter of the measured times', () => {
    const options = { kind: KIND_B, requestsPerSecond: 200, durationMs: 7_000 };
    const buildRequest = (_index: number, random: () => number): IPlacementRequest =>
      buildPrompt(Math.floor(random() * 120), 6_300, 2_890, 10, 415);
    const before = runSimulation({ ...options, learns: false, measureFromMs: 3_000, buildRequest });
    const learned = runSimulation({ ...options, measureFromMs: 3_000, buildRequest });
    expect(computeQuantile(before.ratios, 0.5)).toBeGreaterThan(1.8);
    expect(computeQuantile(learned.ratios, 0.5)).toBeGreaterThan(0.75);
    expect(computeQuantile(learned.ratios, 0.5)).toBeLessThan(1.25);
  });

  it('gives slow targets their share and no more, while speeds differ and spells come and go', () => {
    // Without prompts that are cached somewhere, so that only speeds and queues count.
    const options = {
      buildRequest: (): IPlacementRequest => {
        const request = buildPrompt(0, 0, 2_890, 10, 150);
        return { ...request, parts: request.parts.slice(-1) };
      },
      requestsPerSecond: 320,
    };
    const before = runSimulation({ ...options, learns: false });
    const learned = runSimulation(options);
    // The share of a target follows its speed: 0.55 of 1.2 is 0.46.
    const share = compareSlow(learned);
    expect(share).toBeGreaterThan(0.15);
    expect(share).toBeLessThan(0.55);
    // By speed alone 1.18; the rest is chance in some 80 requests to each target.
    expect(compareBusiest(learned.requestsByTarget)).toBeLessThan(1.6);
    expect(compareBusiest(learned.busyMsByTarget)).toBeLessThan(1.45);
    for (const quantile of [0.5, 0.9, 0.99]) {
      expect(computeQuantile(learned.firstByteMs, quantile)).toBeLessThan(
        computeQuantile(before.firstByteMs, quantile),
      );
    }
  });

  it('keeps shared prompts where they are cached, fewer of them at slow targets', () => {
    const before = runSimulation({ learns: false });
    const learned = runSimulation({});
    expect(compareSlow(learned)).toBeLessThan(0.6 * compareSlow(before));
    // Shared parts that are computed again would show as work.
    expect(sumValues(learned.busyMsByTarget)).toBeLessThan(sumValues(before.busyMsByTarget));
    expect(computeQuantile(learned.firstByteMs, 0.9)).toBeLessThan(
      0.85 * computeQuantile(before.firstByteMs, 0.9),
    );
  });
});

describe('entries that decide at the same moment', () => {
  const targets = Array.from({ length: 8 }, (_, index) => {
    const record = buildTarget({ id: `i-${index}`, address: `10.1.0.${index}:8000` });
    record.models = [create(TargetModelSchema, { name: 'm', version: 1n })];
    return record;
  });

  function chooseAll(request: IPlacementRequest, isLearned: boolean): string[] {
    return Array.from({ length: 24 }, (_, index) => {
      const models = new ServiceModels();
      if (isLearned) {
        for (let i = 0; i < 200; i += 1) {
          const response = { service: 'lace', target: `i-${i % 8}`, terms: [25, 50, 0, 0] };
          models.record({ ...response, actualMs: 75 }, i);
        }
      }
      const model = new TargetModel(models);
      const placement = new Placement('zg-a', new PromptHolders(), model, createRandom(index));
      const states = new TargetStates();
      const known = targets.map((record): IPlacementTarget => ({
        record,
        state: states.ensure(record, -60_000),
        othersOpen: 0,
        othersPendingTokens: 0,
        weightsUsableMs: Number.POSITIVE_INFINITY,
      }));
      return placement.choose(request, known, { isHeld: () => false }, 1_000)?.target.id ?? '';
    });
  }

  it('do not all choose the same of several idle targets', () => {
    const chosen = chooseAll({ ...buildPrompt(0, 0, 2_890, 10, 415), parts: [] }, true);
    const counts = targets.map(({ id }) => chosen.filter((item) => item === id).length);
    expect(Math.max(...counts)).toBeLessThanOrEqual(8);
    expect(counts.filter((count) => count > 0).length).toBeGreaterThanOrEqual(5);
  });

  it('send a prompt to the target that has its shared parts', () => {
    expect(new Set(chooseAll(buildPrompt(3, 6_300, 2_890, 10, 415), true)).size).toBe(1);
  });

  it('choose as before while nothing is learned', () => {
    const request = { ...buildPrompt(0, 0, 2_890, 10, 415), parts: [] };
    expect(new Set(chooseAll(request, false)).size).toBe(1);
  });
});

describe('the figure of a target for how long work takes at the moment', () => {
  const load = { running: 1, waiting: 0, slots: 64 };

  it('counts while it is new, and less with each moment', () => {
    const state = new TargetStates().ensure(buildTarget(), 0);
    recordLoad(state, { ...load, slownessPercent: 250 }, 1_000);
    expect(getSpellFactor(state, 1_000)).toBeGreaterThan(2.3);
    expect(getSpellFactor(state, 1_150)).toBeLessThan(1.7);
    expect(getSpellFactor(state, 1_300)).toBe(1);
  });

  it('says nothing of a spell if it is always the same', () => {
    const state = new TargetStates().ensure(buildTarget(), 0);
    for (let now = 0; now < 10_000; now += 100) {
      recordLoad(state, { ...load, slownessPercent: 182 }, now);
    }
    expect(getSpellFactor(state, 9_900)).toBeCloseTo(1, 1);
  });

  it('changes nothing where a target does not send it', () => {
    const state = new TargetStates().ensure(buildTarget(), 0);
    recordLoad(state, load, 0);
    expect(getSpellFactor(state, 0)).toBe(1);
  });
});

/**
 * Guards against engines that get more and more requests although all their slots are taken: their prefill queues are
 * short, so that an estimate by prompts alone expects their answers at once.
 */
describe('the slots of an engine', () => {
  const request = buildPrompt(0, 198, 628, 58, 1_007);

  function buildBusy(othersOpen: number): IPlacementTarget {
    const record = buildTarget({
      slots: 48,
      models: [create(TargetModelSchema, { name: 'm', version: 1n })],
    });
    const state = new TargetStates().ensure(record, 0);
    return { record, state, othersOpen, othersPendingTokens: 0, weightsUsableMs: Infinity };
  }

  function estimateMs(model: TargetModel, othersOpen: number): number {
    const work = { missedTokens: 0, transferMs: 0 };
    return model.estimate(request, buildBusy(othersOpen), work, 0).expectedMs;
  }

  it('cost nothing while one is free', () => {
    const model = new TargetModel(undefined);
    expect(estimateMs(model, 47) - estimateMs(model, 46)).toBeLessThan(5);
  });

  it('become free one after another, by the time that responses last', () => {
    const model = new TargetModel(undefined);
    expect(estimateMs(model, 48 + 47) - estimateMs(model, 47)).toBeCloseTo(1_500, -1);
    for (let i = 0; i < 500; i++) {
      model.recordRun(buildBusy(0).record.service, 3_000);
    }
    expect(estimateMs(model, 48 + 47) - estimateMs(model, 47)).toBeCloseTo(3_000, -1);
  });
});
