/**
 * Estimates the time to the first byte of a request at a target. Each kind of service has a first guess for the terms of
 * that time; `ServiceModels` learns how far the terms of a service and the speed of each of its targets differ from it.
 */
import { sumTerms, type ServiceModels } from '../fleet/ServiceModels.js';
import type { IPlacementRequest, IPlacementTarget } from './PlacementRequest.js';
import {
  getRecentLoad,
  getSlowness,
  getSpellFactor,
  getUsualSlowness,
  recordFirstByte,
} from './TargetStates.js';

/** First guess of the prefill speed of an engine, from the data sheet of one (56.6). */
const PREFILL_TOKENS_PER_MS = 55;

/** First guess of the time to the first token of an idle engine that has the whole prompt cached. */
const IDLE_ENGINE_TTFT_MS = 25;

/** First guess of the delay that each running request adds to the first token of another. */
const DELAY_PER_RUNNING_REQUEST_MS = 1.5;

/** First guess of the time for which a request occupies a slot of an engine after its first byte. */
const ENGINE_RUN_MS = 1_500;

/** Weight of one response in the mean time for which a request occupies a slot. */
const RUN_SMOOTHING_FACTOR = 0.03;

/** First guess of the service time of a request to a plain service. */
const PLAIN_SERVICE_MS = 60;

/** The service time of a plain service takes the place of the prompt, so that its queue is as fast as its requests. */
const PLAIN_IDLE_TERMS = [0, PLAIN_SERVICE_MS, 0, 0] as const;

/** Part of the service time that the last free slot of a plain target costs, so that the less loaded one is cheaper. */
const PLAIN_LOAD_FACTOR = 0.2;

/** Responses of a service after which its model counts as learned. */
const LEARNED_SAMPLES = 50;

/**
 * Responses of a target after which its lasting factor is trusted as much as what this entry saw of it within the last
 * seconds.
 */
const TARGET_SAMPLES = 10;

/** Estimated times of a request at a target, in milliseconds. */
export interface ITimeEstimate {
  /** Expected time to the first byte. */
  readonly expectedMs: number;
  /** The expected time without the correction by this entry's latest responses of the target. */
  readonly modelMs: number;
  /** The part of `expectedMs` that the request takes on an idle target. */
  readonly serviceMs: number;
  /** Part of `modelMs` in which the target fetches prompt parts; it does not depend on the target's speed. */
  readonly transferMs: number;
  /** Part of `modelMs` in which the request waits for a slot of an engine of which all are taken. */
  readonly slotMs: number;
  /** The terms by the first guess. */
  readonly terms: readonly number[];
  /** How much longer work takes than usual, by the target's report at the time of the estimate. */
  readonly spellFactor: number;
  readonly isLearned: boolean;
}

/** What the target has to do for a request. */
export interface IRequestWork {
  /** Shared prompt tokens that the target computes. */
  readonly missedTokens: number;
  readonly transferMs: number;
}

/**
 * Estimates times from the models in force and records measured ones. With no models, the first guesses hold.
 *
 * @example
 * const estimate = model.estimate(request, target, { missedTokens: 0, transferMs: 0 }, now);
 * model.record(target, estimate, actualMs, now);
 */
export class TargetModel {
  /** Mean time for which a request occupies a slot after its first byte, by service. */
  private readonly _runMs = new Map<string, number>();

  constructor(private readonly _models: ServiceModels | undefined) {}

  public estimate(
    request: IPlacementRequest,
    target: IPlacementTarget,
    { missedTokens, transferMs }: IRequestWork,
    now: number,
  ): ITimeEstimate {
    const { record, state } = target;
    const idleTerms = request.isEngine ? listIdleTerms(request, missedTokens) : PLAIN_IDLE_TERMS;
    const terms = request.isEngine ? addWait(idleTerms, target, now) : listPlainTerms(target, now);
    const service = this._models?.getService(record.service, now);
    const lasting = this._models?.getTarget(record.service, record.id, now);
    const coefficients = service?.coefficients ?? [];
    const spellFactor = getSpellFactor(state, now);
    const speedFactor = (lasting?.factor ?? 1) * spellFactor;
    const slotMs = request.isEngine ? this._estimateSlotMs(target, now) : 0;
    const modelMs = sumTerms(terms, coefficients) * speedFactor + transferMs + slotMs;
    // What the last few responses to this entry say is mostly chance once the fleet knows the target.
    const doubt = TARGET_SAMPLES / (TARGET_SAMPLES + (lasting?.samples ?? 0));
    const usual = getUsualSlowness(state);
    const slowness = usual * (getSlowness(state, now) / usual) ** doubt;
    return {
      expectedMs: (modelMs - slotMs) * slowness + slotMs,
      modelMs,
      serviceMs: (sumTerms(idleTerms, coefficients) * speedFactor + transferMs) * slowness,
      transferMs,
      slotMs,
      terms,
      spellFactor,
      isLearned: (service?.samples ?? 0) >= LEARNED_SAMPLES,
    };
  }

  /** Speed of a target by which it is the home of prompts; it changes rarely and is the same in all entries. */
  public getHomeWeight({ record }: IPlacementTarget, now: number): number {
    return 1 / (this._models?.getTarget(record.service, record.id, now).steadyFactor ?? 1);
  }

  /** Records the time to the first byte of a response whose time was estimated when it was sent. */
  public record(
    { record, state }: Pick<IPlacementTarget, 'record' | 'state'>,
    estimate: ITimeEstimate,
    actualMs: number,
    isSuccess: boolean,
    now: number,
  ): void {
    const { modelMs, transferMs, slotMs, terms, spellFactor } = estimate;
    if (slotMs > 0) {
      // Most of the time passed in the engine's queue, which says nothing of its speed.
      return;
    }
    // The response states how long work took at its time, so that a spell is not taken for a lasting difference.
    const actualSpell = getSpellFactor(state, now);
    recordFirstByte(state, modelMs * (actualSpell / spellFactor), actualMs, now);
    if (isSuccess) {
      const usualMs = Math.max(0, actualMs - transferMs) / actualSpell;
      const { service, id: target } = record;
      this._models?.record({ service, target, terms, actualMs: usualMs }, now);
    }
  }

  /** Records for how long a complete response occupied a slot of an engine after its first byte. */
  public recordRun(service: string, runMs: number): void {
    const mean = this._runMs.get(service) ?? ENGINE_RUN_MS;
    this._runMs.set(service, mean + RUN_SMOOTHING_FACTOR * (runMs - mean));
  }

  /**
   * Time until an engine has a free slot for a further request. Its slots become free one after another, each after the run
   * of its request; the requests that wait there take them first.
   */
  private _estimateSlotMs(target: IPlacementTarget, now: number): number {
    const load = getRecentLoad(target.state, now);
    const slots = Math.max(1, load?.slots ?? target.record.slots);
    const open = Math.max(countOpen(target), load === undefined ? 0 : load.running + load.waiting);
    const runMs = this._runMs.get(target.record.service) ?? ENGINE_RUN_MS;
    return (Math.max(0, open + 1 - slots) * runMs) / slots;
  }
}

/** Terms of an idle engine that must compute `missedTokens` of the shared parts. */
function listIdleTerms(request: IPlacementRequest, missedTokens: number): readonly number[] {
  const own = request.parts.at(-1)?.tokens ?? request.promptTokens;
  return [IDLE_ENGINE_TTFT_MS, (own + missedTokens) / PREFILL_TOKENS_PER_MS, 0, 0];
}

/** Adds the delay by running requests, and the time in which an engine computes the queued prompts. */
function addWait(
  [constantMs = 0, promptMs = 0]: readonly number[],
  target: IPlacementTarget,
  now: number,
): readonly number[] {
  const backlog = target.state.pendingTokens + target.othersPendingTokens;
  const load = getRecentLoad(target.state, now);
  const slots = Math.max(1, load?.slots ?? target.record.slots);
  const running = Math.min(slots, Math.max(countOpen(target), load?.running ?? 0));
  return [
    constantMs,
    promptMs,
    running * DELAY_PER_RUNNING_REQUEST_MS,
    backlog / PREFILL_TOKENS_PER_MS,
  ];
}

/** Terms of a target of a plain service, from its open requests and slots; the last one is its queue. */
function listPlainTerms(target: IPlacementTarget, now: number): readonly number[] {
  const load = getRecentLoad(target.state, now);
  const slots = Math.max(1, load?.slots ?? target.record.slots);
  const open = Math.max(countOpen(target), load === undefined ? 0 : load.running + load.waiting);
  const rounds = Math.max(0, (open + 1 - slots) / slots);
  const occupied = (PLAIN_LOAD_FACTOR * Math.min(open, slots)) / slots;
  return [0, PLAIN_SERVICE_MS, PLAIN_SERVICE_MS * occupied, PLAIN_SERVICE_MS * rounds];
}

function countOpen({ state, othersOpen }: IPlacementTarget): number {
  return state.open + othersOpen;
}
