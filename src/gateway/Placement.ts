/**
 * Chooses the target of a request. Cost is the part of the request's worth that is expected to be lost:
 * by answering late, by reading shared prompt parts again, or by running on old weights.
 */
import { getHeldVersion } from '../fleet/HeldWeights.js';
import { hashBits, hashText } from '../policy/TargetTable.js';
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import {
  getFreshLoad,
  getSlowness,
  LONG_STREAM_TOKENS,
  type ITargetState,
} from './TargetStates.js';
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

/** Evidence that a target holds a part is trusted for this long; engines drop parts within seconds. */
const EVIDENCE_MS = 5_000;

/** Prompt parts whose holders are kept. */
const MAX_PARTS = 4_000;

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

/** Parts below this size are not worth a move. */
const MIN_MOVED_TOKENS = 50;

/** Cost of a target that is silent or has just failed: used only when there is no other. */
const DOUBTFUL_COST = 20;

/** Time in which a target that has loaded weights or started has read the parts of its subjects again. */
const WARM_UP_MS = 8_000;

/** Chance that the n-th target in rendezvous order holds a shared part, once it is warm. */
const HOME_CHANCES = [1, 0.3] as const;

/** What the choice depends on. */
export interface IPlacementRequest {
  /** Shared and own parts of the prompt, in order; empty for plain services. */
  readonly parts: readonly IPromptPart[];
  readonly promptTokens: number;
  /** Tokens that are expected to be generated. */
  readonly outputTokens: number;
  readonly objectiveMs: number;
  /** Requests with different walls share no part. */
  readonly cacheWall: string | undefined;
  readonly isEngine: boolean;
  readonly model: string | undefined;
  /** Version that answers should be made on; undefined if any will do. */
  readonly wantedVersion: number | undefined;
}

/** One target as the entry sees it. */
export interface IPlacementTarget {
  readonly record: TargetRecord;
  readonly state: ITargetState;
  /** Requests of other entries, as of the last exchange. */
  readonly othersOpen: number;
  readonly othersTokens: number;
}

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
  /** Target from whose memory the shared parts are to be fetched. */
  readonly source: TargetRecord | undefined;
}

interface IHolder {
  readonly born: number;
  readonly version: number;
  readonly at: number;
}

/** A target with the shared tokens that it is expected to hold. */
interface IHolding {
  readonly target: IPlacementTarget;
  readonly version: number;
  readonly heldTokens: number;
  /** The part of them that this entry has seen the target read lately. */
  readonly knownTokens: number;
  readonly isDoubtful: boolean;
}

export class Placement {
  /** Holders of each prompt part, by the key of the part and the id of the target. */
  private readonly _holders = new Map<string, Map<string, IHolder>>();

  constructor(private readonly _dataCentre: string) {}

  /** Undefined if there is no target. */
  public choose(
    request: IPlacementRequest,
    targets: readonly IPlacementTarget[],
    store: IStoreContent,
    now: number,
  ): IPlacement | undefined {
    const ranks = rankTargets(request, targets);
    const holdings = targets.map((target): IHolding => {
      const { record, state } = target;
      return {
        target,
        version: getVersion(request, record),
        ...this._estimateHeld(request, target, ranks.get(record.id) ?? 0, now),
        isDoubtful: record.silent || record.loading || now < state.restUntil,
      };
    });
    let best: IPlacement | undefined;
    for (const holding of holdings) {
      const placement = this._estimateCost(request, holding, holdings, store, now);
      if (best === undefined || placement.cost < best.cost) {
        best = placement;
      }
    }
    return best;
  }

  /** Records that a target has read the parts of a prompt. */
  public noteRead(request: IPlacementRequest, target: TargetRecord, now: number): void {
    for (const part of listSharedParts(request)) {
      const key = formatPartKey(request, part);
      const holders = this._holders.get(key) ?? new Map<string, IHolder>();
      holders.set(target.id, { born: target.born, version: getVersion(request, target), at: now });
      // Moved to the end, so that the part used longest ago is dropped first.
      this._holders.delete(key);
      this._holders.set(key, holders);
    }
    while (this._holders.size > MAX_PARTS) {
      const [oldest] = this._holders.keys();
      this._holders.delete(oldest ?? '');
    }
  }

  /** A target that restarted or loaded weights holds nothing of before. */
  public forgetTarget(id: string): void {
    for (const holders of this._holders.values()) {
      holders.delete(id);
    }
  }

  private _estimateCost(
    request: IPlacementRequest,
    holding: IHolding,
    all: readonly IHolding[],
    store: IStoreContent,
    now: number,
  ): IPlacement {
    const { target, heldTokens, isDoubtful } = holding;
    const { record } = target;
    const storedTokens = sumStored(request, record, store);
    const sibling = findSource(holding, all);
    // What the store holds is certain; what a sibling should hold may have been dropped.
    const source = (sibling?.knownTokens ?? 0) >= storedTokens ? sibling : undefined;
    const sharedTokens = sumTokens(listSharedParts(request));
    const siblingTokens = source === undefined ? 0 : source.heldTokens - heldTokens;
    const storeTokens = source === undefined ? Math.max(0, storedTokens - heldTokens) : 0;
    const movedTokens = siblingTokens + storeTokens;
    const missedTokens = sharedTokens - heldTokens - movedTokens;
    const moveMs =
      (siblingTokens / 1_000) * MOVE_MS_PER_1000 + (storeTokens / 1_000) * STORE_MS_PER_1000;
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
      source: source?.target.record,
    };
  }

  /** Shared tokens that the target is expected to hold. */
  private _estimateHeld(
    request: IPlacementRequest,
    { record, state }: IPlacementTarget,
    rank: number,
    now: number,
  ): Pick<IHolding, 'heldTokens' | 'knownTokens'> {
    const warmth = Math.min(1, (now - state.weightsAt) / WARM_UP_MS);
    const homeChance = (HOME_CHANCES[rank] ?? 0) * warmth;
    const version = getVersion(request, record);
    let heldTokens = 0;
    let knownTokens = 0;
    let chance = 1;
    for (const part of listSharedParts(request)) {
      const holder = this._holders.get(formatPartKey(request, part))?.get(record.id);
      const isHeld =
        holder?.born === record.born &&
        holder.version === version &&
        now - holder.at <= EVIDENCE_MS;
      // A part counts only if all parts before it are held too.
      chance *= isHeld ? 1 : homeChance;
      heldTokens += part.tokens * chance;
      knownTokens += isHeld && chance === 1 ? part.tokens : 0;
    }
    return { heldTokens, knownTokens };
  }
}

/** The target of the same weights from which most would be gained by a move. */
function findSource(holding: IHolding, all: readonly IHolding[]): IHolding | undefined {
  let best: IHolding | undefined;
  for (const other of all) {
    const isUsable = other !== holding && other.version === holding.version && !other.isDoubtful;
    if (isUsable && other.heldTokens > (best ?? holding).heldTokens) {
      best = other;
    }
  }
  const gain = (best?.heldTokens ?? 0) - holding.heldTokens;
  return gain >= MIN_MOVED_TOKENS ? best : undefined;
}

/** Parts of other weights or walls must never be found, wherever they are moved. */
export function formatCacheScope(request: IPlacementRequest, target: TargetRecord): string {
  return `${getVersion(request, target)}/${request.cacheWall ?? ''}`;
}

/** Shared tokens in the store; a part counts only if all parts before it are there too. */
function sumStored(request: IPlacementRequest, target: TargetRecord, store: IStoreContent): number {
  const scope = formatCacheScope(request, target);
  const parts = listSharedParts(request);
  const missing = parts.findIndex((part) => !store.isHeld(scope, part.id));
  return sumTokens(missing < 0 ? parts : parts.slice(0, missing));
}

function sumTokens(parts: readonly IPromptPart[]): number {
  return parts.reduce((sum, part) => sum + part.tokens, 0);
}

/** Version of the request's model that the target holds; 0 if it names none. */
function getVersion({ model }: IPlacementRequest, record: TargetRecord): number {
  return getHeldVersion(record, model) ?? 0;
}

/** The last part belongs to the request itself. */
function listSharedParts(request: IPlacementRequest): readonly IPromptPart[] {
  return request.parts.slice(0, -1);
}

function formatPartKey(request: IPlacementRequest, part: IPromptPart): string {
  return `${request.model ?? ''}/${request.cacheWall ?? ''}/${part.id}`;
}

/** Rendezvous order by the last shared part, on which all entries agree. */
function rankTargets(
  request: IPlacementRequest,
  targets: readonly IPlacementTarget[],
): ReadonlyMap<string, number> {
  const subject = request.parts.at(-2);
  if (subject === undefined) {
    return new Map();
  }
  const key = hashText(formatPartKey(request, subject));
  const scored = targets.map(({ record }) => ({
    id: record.id,
    score: hashBits(hashText(record.address) ^ key),
  }));
  scored.sort((left, right) => right.score - left.score);
  return new Map(scored.map(({ id }, rank) => [id, rank]));
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
