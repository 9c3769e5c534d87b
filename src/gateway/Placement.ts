/**
 * Chooses the target of a request. Cost is the part of the request's worth that is expected to be lost:
 * by answering late, by reading shared prompt parts again, or by running on old weights.
 */
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import type { IPlacementRequest, IPlacementTarget } from './PlacementRequest.js';
import { getVersion, listSharedParts, PromptHolders, type IHolding } from './PromptHolders.js';
import { chooseSource, listSources, type PromptSource } from './PromptSources.js';
import { getFreshLoad, getSlowness, LONG_STREAM_TOKENS } from './TargetStates.js';
import type { IPromptPart } from './Types.js';

/** Prompt tokens that an engine reads in a millisecond; the engines' data sheet says 56.6. */
const PREFILL_TOKENS_PER_MS = 55;

/** Time to the first token of an idle engine with a warm cache, in milliseconds (data sheet). */
const ENGINE_BASE_MS = 25;

/** Delay that each running request adds to the first token of another (data sheet: 0.09 ms a step). */
const RUNNING_MS = 1.5;

/** Time that a plain service takes for one request until answers have shown it. */
const PLAIN_WORK_MS = 60;

/** Worth lost with 1,000 shared tokens that are read again, as part of a request's worth. */
const REREAD_COST_PER_1000 = 0.25;

/**
 * Cost of reading 1,000 tokens of a subject's last shared part away from its home, where the next request
 * for the subject will not find them. On the grown sites three in ten follow another one on the same weights,
 * and a move brings most of these parts.
 */
const AWAY_COST_PER_1000 = 0.05;

/** Expected time as a part of the objective at which lateness begins to count, and where it is certain. */
const RISK_FROM = 0.3;
const RISK_FULL = 1.1;

/** Cost of a long stream on an engine that will load weights shortly: it delays the load for all. */
const DELAYED_LOAD_COST = 0.5;

/** Worth lost by an answer on old weights. */
const OLD_WEIGHTS_COST = 0.2;

/** Cost of a target in another data centre, so that equal choices stay in the own one. */
const FAR_COST = 0.004;

/** Worth lost by moving 1,000 tokens of KV cache between engines, as part of a request's worth. */
const MOVE_COST_PER_1000 = 0.005;

/** Time to move 1,000 tokens of KV cache over an engine's link (18 KB each, 370 Gbit/s), with set-up. */
const MOVE_MS_PER_1000 = 1;

/** The same from a store, whose link is slower (26 Gbit/s). */
const STORE_MS_PER_1000 = 7;

/** Cost of a target that is silent or has just failed: used only when there is no other. */
const DOUBTFUL_COST = 20;

/** What a store of KV cache holds. */
export interface IStoreContent {
  isHeld(scope: string, part: string): boolean;
}

/** The chosen target and what decided. */
export interface IPlacement {
  readonly target: TargetRecord;
  readonly cost: number;
  /** Expected time to the first byte in milliseconds. */
  readonly expectedMs: number;
  /** The same before what was learned of the target's speed. */
  readonly modelMs: number;
  /** The part of it that the request itself takes at an idle target. */
  readonly workMs: number;
  /** Shared tokens that are expected to be read again. */
  readonly missedTokens: number;
  /** From where the shared parts that the target lacks are to be fetched. */
  readonly source: PromptSource | undefined;
}

/** From where targets of one version may fetch shared parts. */
interface IOffer {
  readonly sources: readonly IHolding[];
  /** Leading shared parts that the store holds. */
  readonly storedParts: number;
}

const NO_OFFER: IOffer = { sources: [], storedParts: 0 };

export class Placement {
  constructor(
    private readonly _dataCentre: string,
    private readonly _holders = new PromptHolders(),
  ) {}

  /** Undefined if there is no target. */
  public choose(
    request: IPlacementRequest,
    targets: readonly IPlacementTarget[],
    store: IStoreContent,
    now: number,
  ): IPlacement | undefined {
    const parts = listSharedParts(request);
    const holdings = this._holders.estimate(request, targets, now);
    const offers = listOffers(request, holdings, parts, store);
    let best: IPlacement | undefined;
    for (const holding of holdings) {
      const offer = offers.get(holding.version) ?? NO_OFFER;
      const placement = this._estimateCost(request, holding, parts, offer, now);
      if (best === undefined || placement.cost < best.cost) {
        best = placement;
      }
    }
    return best;
  }

  /** Records that a target has read the parts of a prompt. */
  public noteRead(request: IPlacementRequest, target: TargetRecord, now: number): void {
    this._holders.noteRead(request, target, now);
  }

  private _estimateCost(
    request: IPlacementRequest,
    holding: IHolding,
    parts: readonly IPromptPart[],
    { sources, storedParts }: IOffer,
    now: number,
  ): IPlacement {
    const { target, isDoubtful } = holding;
    const { record } = target;
    const supply = chooseSource(holding, sources, parts, storedParts);
    const { source, movedTokens, missedTokens } = supply;
    const moveMs =
      (movedTokens / 1_000) * (source?.kind === 'store' ? STORE_MS_PER_1000 : MOVE_MS_PER_1000);
    const ownMs = request.isEngine ? estimateWorkMs(request, missedTokens) + moveMs : PLAIN_WORK_MS;
    const modelMs = request.isEngine
      ? ownMs + estimateWaitMs(target, now)
      : estimatePlainMs(target, now);
    const slowness = getSlowness(target.state, now);
    const expectedMs = modelMs * slowness;
    const cost =
      measureLateness(expectedMs, request.objectiveMs) +
      (missedTokens / 1_000) * REREAD_COST_PER_1000 +
      (movedTokens / 1_000) * MOVE_COST_PER_1000 +
      (holding.isHome ? 0 : ((parts.at(-1)?.tokens ?? 0) / 1_000) * AWAY_COST_PER_1000) +
      (isOld(request, record) ? OLD_WEIGHTS_COST : 0) +
      (record.preparing && request.outputTokens > LONG_STREAM_TOKENS ? DELAYED_LOAD_COST : 0) +
      (record.dataCentre === this._dataCentre ? 0 : FAR_COST) +
      (isDoubtful ? DOUBTFUL_COST : 0) +
      // Breaks ties between idle targets.
      expectedMs / 1_000_000;
    return {
      target: record,
      cost,
      expectedMs,
      modelMs,
      workMs: ownMs * slowness,
      missedTokens,
      source,
    };
  }
}

/** Parts of other weights or walls must never be found, wherever they are moved. */
export function formatCacheScope(request: IPlacementRequest, target: TargetRecord): string {
  return `${getVersion(request, target)}/${request.cacheWall ?? ''}`;
}

/** What is offered to the targets of each version; the same for all of them. */
function listOffers(
  request: IPlacementRequest,
  holdings: readonly IHolding[],
  parts: readonly IPromptPart[],
  store: IStoreContent,
): ReadonlyMap<number, IOffer> {
  const sources = listSources(holdings, parts);
  const offers = new Map<number, IOffer>();
  for (const { version, target } of holdings) {
    if (!offers.has(version)) {
      const scope = formatCacheScope(request, target.record);
      const missing = parts.findIndex((part) => !store.isHeld(scope, part.id));
      const storedParts = missing < 0 ? parts.length : missing;
      offers.set(version, { sources: sources.get(version) ?? [], storedParts });
    }
  }
  return offers;
}

function countOpen({ state, othersOpen }: IPlacementTarget): number {
  return state.open + othersOpen;
}

/** Time that the request itself takes at an idle engine. */
function estimateWorkMs(request: IPlacementRequest, missedTokens: number): number {
  const own = request.parts.at(-1)?.tokens ?? request.promptTokens;
  return ENGINE_BASE_MS + (own + missedTokens) / PREFILL_TOKENS_PER_MS;
}

/** Time until an engine has read the prompts before, and what running requests add. */
function estimateWaitMs(target: IPlacementTarget, now: number): number {
  const backlog = target.state.pendingTokens + target.othersTokens;
  const load = getFreshLoad(target.state, now);
  const running = Math.max(countOpen(target), load?.running ?? 0);
  const waiting = load?.waiting ?? 0;
  return backlog / PREFILL_TOKENS_PER_MS + (running + waiting) * RUNNING_MS;
}

function estimatePlainMs(target: IPlacementTarget, now: number): number {
  const load = getFreshLoad(target.state, now);
  const slots = Math.max(1, load?.slots ?? target.record.slots);
  const open = Math.max(countOpen(target), load === undefined ? 0 : load.running + load.waiting);
  const rounds = Math.max(0, (open + 1 - slots) / slots);
  // The small part prefers the less loaded of two targets that both have room.
  return PLAIN_WORK_MS * (1 + rounds + (0.2 * Math.min(open, slots)) / slots);
}

function measureLateness(expectedMs: number, objectiveMs: number): number {
  const part = (expectedMs / Math.max(1, objectiveMs) - RISK_FROM) / (RISK_FULL - RISK_FROM);
  return part <= 0 ? 0 : part * part;
}

function isOld(request: IPlacementRequest, record: TargetRecord): boolean {
  const version = getVersion(request, record);
  return request.wantedVersion !== undefined && version > 0 && version < request.wantedVersion;
}
