/**
 * Chooses the target of a request by expected cost. The cost is the fraction of the request's value that is
 * expected to be lost by a late response, by recomputing shared prompt parts or by running on old weights.
 */
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import type { IPlacementRequest, IPlacementTarget } from './PlacementRequest.js';
import {
  getWeightsVersion,
  listSharedParts,
  PromptHolders,
  type IHolding,
} from './PromptHolders.js';
import { chooseSource, listSources, type PromptSource } from './PromptSources.js';
import { TargetModel, type ITimeEstimate } from './TargetModel.js';
import { LONG_STREAM_TOKENS, type ITargetState } from './TargetStates.js';
import type { IPromptPart } from './Types.js';

/** Cost of recomputing 1,000 shared tokens. */
const RECOMPUTE_COST_PER_1000_TOKENS = 0.25;

/**
 * Cost per 1,000 tokens of the last shared part for a target that is not the home target: the next request
 * with the same part will not find it there. It is low because on the larger sites only three in ten
 * requests follow another one with the same part and weights, and most of these parts can be transferred.
 */
const NOT_HOME_COST_PER_1000_TOKENS = 0.05;

/**
 * Ratio of expected time to objective at which the lateness cost begins, and at which a late response is
 * certain and the cost is 1. Between the two the cost grows with the square.
 */
const LATENESS_START_RATIO = 0.3;
const LATENESS_FULL_RATIO = 1.1;

/** Cost of a long stream on an engine that will load weights shortly: it delays the load for all requests. */
const DELAYED_WEIGHTS_LOAD_COST = 0.5;

/** Cost of a response on old weights. */
const OLD_WEIGHTS_COST = 0.2;

/** A request may wait for several times the expected time before it begins, as other entries send at once. */
const MAX_START_DELAY_FACTOR = 2;

/** Cost of a target in another data centre, so that of equal targets a local one is chosen. */
const REMOTE_DATA_CENTRE_COST = 0.004;

/** Cost of transferring 1,000 tokens of KV cache between engines or from the store. */
const TRANSFER_COST_PER_1000_TOKENS = 0.005;

/** Transfer time over an engine's link, with connection set-up: 18 KB per token at 370 Gbit/s. */
const TARGET_TRANSFER_MS_PER_1000_TOKENS = 1;

/** Transfer time from the store, whose link has 26 Gbit/s. */
const STORE_TRANSFER_MS_PER_1000_TOKENS = 7;

/** Cost of a target that is silent, loads weights or is in cooldown: it is used only if there is no other. */
const UNAVAILABLE_TARGET_COST = 20;

/**
 * Two targets count as equal if their costs without lateness differ by at most this, and their expected times by at most a
 * fraction of the time that the request takes on an idle target. What other entries do is known 100 to 200 ms late, in which
 * time a target may get a further request, so all entries would choose the same target.
 */
const EQUAL_COST = 0.01;
const EQUAL_TIME_FACTOR = 1;

/** Content of the KV cache store. */
export interface IStoreContent {
  isHeld(scope: string, part: string): boolean;
}

/** The chosen target and the estimates behind the choice. */
export interface IPlacement {
  readonly target: TargetRecord;
  /** Time within which the request must begin there, as the weights of the target expire; may be infinite. */
  readonly weightsUsableMs: number;
  readonly cost: number;
  /** Expected time to the first byte in milliseconds. */
  readonly expectedMs: number;
  /** The expected time without the correction by the latest responses of the target to this entry. */
  readonly modelMs: number;
  /** The part of `expectedMs` that the request takes on an idle target. */
  readonly serviceMs: number;
  /** Shared prompt tokens that the target is expected to recompute. */
  readonly missedTokens: number;
  /** Where the target is to fetch the shared parts that it lacks. */
  readonly source: PromptSource | undefined;
  readonly estimate: ITimeEstimate;
}

/** Sources from which the targets of one weights version can fetch shared parts. */
interface ISourceOptions {
  readonly sources: readonly IHolding[];
  /** Number of leading shared parts that the store holds. */
  readonly storedParts: number;
}

const NO_SOURCES: ISourceOptions = { sources: [], storedParts: 0 };

/** Chooses the target with the least expected cost, and the source of the shared prompt parts it lacks. */
export class Placement {
  constructor(
    private readonly _dataCentre: string,
    private readonly _holders = new PromptHolders(),
    private readonly _model = new TargetModel(undefined),
    private readonly _random: () => number = Math.random,
  ) {}

  /** Returns undefined if there is no target on which the request can begin in time. */
  public choose(
    request: IPlacementRequest,
    targets: readonly IPlacementTarget[],
    store: IStoreContent,
    now: number,
  ): IPlacement | undefined {
    const parts = listSharedParts(request);
    const holdings = this._holders.estimate(request, targets, now, (target) =>
      this._model.getHomeWeight(target, now),
    );
    const optionsByVersion = listSourceOptions(request, holdings, parts, store);
    const placements: IPlacement[] = [];
    for (const holding of holdings) {
      const options = optionsByVersion.get(holding.version) ?? NO_SOURCES;
      const placement = this._estimateCost(request, holding, parts, options, now);
      // A request must begin while the weights of its target may still be used.
      if (placement.expectedMs * MAX_START_DELAY_FACTOR <= holding.target.weightsUsableMs) {
        placements.push(placement);
      }
    }
    return this._pickAmongEqual(request, placements);
  }

  /** Records that a target has computed the parts of a prompt and now holds them. */
  public recordReading(request: IPlacementRequest, target: TargetRecord, now: number): void {
    this._holders.recordReading(request, target, now);
  }

  /** Records the time to the first byte of a response to a request that was placed. */
  public recordFirstByte(
    { target, estimate }: IPlacement,
    state: ITargetState,
    actualMs: number,
    isSuccess: boolean,
    now: number,
  ): void {
    this._model.record({ record: target, state }, estimate, actualMs, isSuccess, now);
  }

  /** Records for how long a complete response of an engine went on after its first byte. */
  public recordRun(service: string, runMs: number): void {
    this._model.recordRun(service, runMs);
  }

  /** The cheapest placement, or the cheaper one of two random ones that are about as good. */
  private _pickAmongEqual(
    request: IPlacementRequest,
    placements: readonly IPlacement[],
  ): IPlacement | undefined {
    const best = findCheapest(placements);
    if (best?.estimate.isLearned !== true) {
      return best;
    }
    const maxMs = best.expectedMs + EQUAL_TIME_FACTOR * best.serviceMs;
    // Only the lateness is uncertain; what the target holds is not.
    const computeOtherCost = ({ cost, expectedMs }: IPlacement): number =>
      cost - computeLatenessCost(expectedMs, request.latencyObjectiveMs);
    const maxCost = computeOtherCost(best) + EQUAL_COST;
    const equal = placements.filter(
      (other) => other.expectedMs <= maxMs && computeOtherCost(other) <= maxCost,
    );
    const drawn = [0, 1].flatMap(() => equal[Math.floor(this._random() * equal.length)] ?? []);
    return findCheapest(drawn);
  }

  private _estimateCost(
    request: IPlacementRequest,
    holding: IHolding,
    parts: readonly IPromptPart[],
    { sources, storedParts }: ISourceOptions,
    now: number,
  ): IPlacement {
    const { target, isUnavailable } = holding;
    const { record } = target;
    const choice = chooseSource(holding, sources, parts, storedParts);
    const { source, transferredTokens, missedTokens } = choice;
    const transferMs =
      (transferredTokens / 1_000) *
      (source?.kind === 'store'
        ? STORE_TRANSFER_MS_PER_1000_TOKENS
        : TARGET_TRANSFER_MS_PER_1000_TOKENS);
    const work = { missedTokens, transferMs };
    const estimate = this._model.estimate(request, target, work, now);
    const { expectedMs, modelMs, serviceMs } = estimate;
    const cost =
      computeLatenessCost(expectedMs, request.latencyObjectiveMs) +
      (missedTokens / 1_000) * RECOMPUTE_COST_PER_1000_TOKENS +
      (transferredTokens / 1_000) * TRANSFER_COST_PER_1000_TOKENS +
      (holding.isHome ? 0 : ((parts.at(-1)?.tokens ?? 0) / 1_000) * NOT_HOME_COST_PER_1000_TOKENS) +
      (hasOldWeights(request, record) ? OLD_WEIGHTS_COST : 0) +
      (record.preparing && request.outputTokens > LONG_STREAM_TOKENS
        ? DELAYED_WEIGHTS_LOAD_COST
        : 0) +
      (record.dataCentre === this._dataCentre ? 0 : REMOTE_DATA_CENTRE_COST) +
      (isUnavailable ? UNAVAILABLE_TARGET_COST : 0) +
      // Breaks ties between idle targets.
      expectedMs / 1_000_000;
    return {
      target: record,
      weightsUsableMs: target.weightsUsableMs,
      cost,
      expectedMs,
      modelMs,
      serviceMs,
      missedTokens,
      source,
      estimate,
    };
  }
}

/**
 * Scope of the cached prompt parts. It contains the weights version and the isolation key, so that parts
 * with a different one are never found, also not after a transfer.
 */
export function formatCacheScope(request: IPlacementRequest, target: TargetRecord): string {
  return `${getWeightsVersion(request, target)}/${request.isolationKey ?? ''}`;
}

/** Sources by weights version; all targets of a version share them. */
function listSourceOptions(
  request: IPlacementRequest,
  holdings: readonly IHolding[],
  parts: readonly IPromptPart[],
  store: IStoreContent,
): ReadonlyMap<number, ISourceOptions> {
  const sources = listSources(holdings, parts);
  const optionsByVersion = new Map<number, ISourceOptions>();
  for (const { version, target } of holdings) {
    if (!optionsByVersion.has(version)) {
      const scope = formatCacheScope(request, target.record);
      const firstMissing = parts.findIndex((part) => !store.isHeld(scope, part.id));
      const storedParts = firstMissing < 0 ? parts.length : firstMissing;
      optionsByVersion.set(version, { sources: sources.get(version) ?? [], storedParts });
    }
  }
  return optionsByVersion;
}

function findCheapest(placements: readonly IPlacement[]): IPlacement | undefined {
  return placements.reduce<IPlacement | undefined>(
    (best, other) => (best === undefined || other.cost < best.cost ? other : best),
    undefined,
  );
}

/** 0 up to `LATENESS_START_RATIO` of the objective, 1 at `LATENESS_FULL_RATIO`, quadratic also beyond. */
function computeLatenessCost(expectedMs: number, latencyObjectiveMs: number): number {
  const lateness =
    (expectedMs / Math.max(1, latencyObjectiveMs) - LATENESS_START_RATIO) /
    (LATENESS_FULL_RATIO - LATENESS_START_RATIO);
  return lateness <= 0 ? 0 : lateness * lateness;
}

function hasOldWeights(request: IPlacementRequest, record: TargetRecord): boolean {
  const version = getWeightsVersion(request, record);
  return request.wantedVersion !== undefined && version > 0 && version < request.wantedVersion;
}
