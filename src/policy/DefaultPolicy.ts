/** Policy that weighs cached prefixes against queued work. */
import { BasePolicy, explainNone, isUsable } from './BasePolicy.js';
import { CacheLifetime } from './CacheLifetime.js';
import { Estimator } from './Estimator.js';
import { CHUNK_TOKENS } from './PrefixChain.js';
import { PrefixHeat } from './PrefixHeat.js';
import { PrefixHomes } from './PrefixHomes.js';
import { PrefixIndex, type IPrefixIndexLimits, type IPrefixMatch } from './PrefixIndex.js';
import { TargetTable } from './TargetTable.js';
import {
  MAX_LOGGED_CANDIDATES,
  type ChainHash,
  type IAnswer,
  type IBusyReceipt,
  type ICandidate,
  type IRandom,
  type IRouteDecision,
  type IRouteRequest,
  type ITargetView,
  type RouteReason,
} from './Types.js';

/** Fleets up to this size are scored as a whole; larger ones by a sample. */
const SMALL_FLEET = 32;

/** Targets drawn at random in a large fleet, in case that all homes and holders are busy. */
const SAMPLED_TARGETS = 8;

/** Targets with evidence that are scored, those with the longest prefix first. */
const MAX_MATCHES = 16;

/** Homes that are scored; of more homes a run from a random one on. */
const MAX_SCORED_HOMES = 16;

/** Estimates within this distance of the smallest count as equal. */
const NEAR_MS = 5;
const NEAR_SHARE = 0.03;

/**
 * Charge on a target that is neither home nor holder, as a multiple of its prefill time. A spilled
 * prefix displaces another one and makes later requests of other entries miss.
 */
const SPILL_CHARGE = 1;

/**
 * Charge on recomputing missed tokens, as a multiple of their prefill time: the requests behind this
 * one wait for them too.
 */
const RECOMPUTE_CHARGE = 0.3;

/** Refusals of busy targets for one request; after them a target accepts whatever its queue. */
const MAX_REFUSALS = 2;

/** Requests whose refusals are remembered, so that abandoned ones do not add up. */
const MAX_REFUSED_REQUESTS = 1_000;

/** A refusal costs a round trip and a decision, and the estimates are not exact. */
const LIMIT_MARGIN_MS = 50;

/** Settings that differ between experiments. */
export interface IDefaultPolicyOptions {
  /** Data centre of this process. */
  readonly dataCentre: string;
  readonly random: IRandom;
  readonly index?: Partial<IPrefixIndexLimits>;
}

interface IScored {
  readonly target: ITargetView;
  readonly reason: RouteReason;
  readonly cachedTokens: number;
  readonly waitMs: number;
  readonly ttftMs: number;
  /** Estimate that is compared; it includes preferences that are not part of the time. */
  readonly cost: number;
}

interface IDispatch {
  readonly request: IRouteRequest;
  readonly target: ITargetView;
  /** Ages of the evidence at the dispatch, chunk by chunk. */
  readonly ages: readonly number[];
}

/**
 * Chooses the target with the smallest estimated time to first token among those with evidence of
 * the prefix and the homes of the prefix.
 *
 * @example
 * const policy = new DefaultPolicy({ dataCentre: 'dar-1', random: Math.random });
 * const decision = policy.choose(request, roster.listTargets('assessor', now), now);
 */
export class DefaultPolicy extends BasePolicy {
  public readonly name = 'default';
  private readonly _random: IRandom;
  private readonly _table = new TargetTable();
  private readonly _heat = new PrefixHeat();
  private readonly _homes = new PrefixHomes(this._table, this._heat);
  private readonly _index: PrefixIndex;
  private readonly _lifetime = new CacheLifetime();
  private readonly _estimator: Estimator;
  /** How often busy targets refused a request that is still open. */
  private readonly _refusals = new Map<string, number>();
  private readonly _dispatches = new Map<string, IDispatch>();
  private readonly _getLifetime = (targetId: string): number => this._lifetime.get(targetId);

  constructor(options: IDefaultPolicyOptions) {
    super();
    this._random = options.random;
    this._index = new PrefixIndex(options.index);
    this._estimator = new Estimator(options.dataCentre);
  }

  public override choose(
    request: IRouteRequest,
    targets: readonly ITargetView[],
    now: number,
  ): IRouteDecision {
    this._table.refresh(targets);
    const scored = this._scoreAll(request, targets, now);
    if (scored.length === 0) {
      return this._chooseFallback(request, targets, now);
    }
    const best = this._pickBest(scored);
    return {
      kind: 'target',
      target: best.target,
      expectedCachedTokens: best.cachedTokens,
      estimatedTtftMs: best.ttftMs,
      maxTtftMs:
        (this._refusals.get(request.requestId) ?? 0) < MAX_REFUSALS
          ? computeLimit(best, scored)
          : Infinity,
      reason: best.reason,
      candidates: listCandidates(scored),
    };
  }

  public override onDispatched(request: IRouteRequest, target: ITargetView, now: number): void {
    this._index.reconcile(target);
    const ages = this._index.listAges(target, request.chain, now);
    const lifetime = this._lifetime.get(target.id);
    const expired = ages.findIndex((age) => age > lifetime);
    const chunks = expired < 0 ? ages.length : expired;
    const missedTokens = Math.max(0, request.promptTokens - chunks * CHUNK_TOKENS);
    const workMs = this._estimator.estimatePrefill(target.id, missedTokens);
    this.loads.open(request.requestId, target.id, workMs, now);
    this._heat.record(request.chain, now);
    this._index.record(target, request.chain, request.chain.length, now);
    this._dispatches.set(request.requestId, { request, target, ages });
  }

  public override onAnswered(requestId: string, answer: IAnswer, now: number): void {
    super.onAnswered(requestId, answer, now);
    const dispatch = this._dispatches.get(requestId);
    if (dispatch === undefined) {
      return;
    }
    this._dispatches.delete(requestId);
    this._refusals.delete(requestId);
    const { request, target, ages } = dispatch;
    // The index needs no correction: what was missing is computed and cached by now. The count shows
    // how long this target keeps unused chunks.
    const missedTokens = Math.max(0, request.promptTokens - answer.cachedPromptTokens);
    this._estimator.observe(target, missedTokens, answer.ttftMs);
    this._lifetime.observe(target.id, ages, Math.floor(answer.cachedPromptTokens / CHUNK_TOKENS));
  }

  public override onFailed(requestId: string, now: number): void {
    this.loads.close(requestId, now);
    this._refusals.delete(requestId);
    const dispatch = this._dispatches.get(requestId);
    if (dispatch !== undefined) {
      this._dispatches.delete(requestId);
      this._index.forget(dispatch.target, dispatch.request.chain);
    }
  }

  public override onBusy(requestId: string, receipt: IBusyReceipt, now: number): void {
    super.onBusy(requestId, receipt, now);
    const dispatch = this._dispatches.get(requestId);
    if (dispatch !== undefined) {
      this._dispatches.delete(requestId);
      this._recordRefusal(requestId);
      const cachedChunks = Math.floor(receipt.cachedPromptTokens / CHUNK_TOKENS);
      this._index.forget(dispatch.target, dispatch.request.chain, cachedChunks);
    }
  }

  public override onEvicted(target: ITargetView, hashes: readonly ChainHash[]): void {
    this._index.forget(target, hashes);
  }

  public override onCached(target: ITargetView, hashes: readonly ChainHash[], now: number): void {
    this._index.reconcile(target);
    this._index.record(target, hashes, hashes.length, now);
  }

  public override onTargetGone(targetId: string): void {
    this.loads.drop(targetId);
    this._index.dropTarget(targetId);
    this._lifetime.drop(targetId);
    this._estimator.drop(targetId);
  }

  private _recordRefusal(requestId: string): void {
    this._refusals.set(requestId, (this._refusals.get(requestId) ?? 0) + 1);
    const [oldest] = this._refusals.keys();
    if (oldest !== undefined && this._refusals.size > MAX_REFUSED_REQUESTS) {
      this._refusals.delete(oldest);
    }
  }

  private _scoreAll(
    request: IRouteRequest,
    targets: readonly ITargetView[],
    now: number,
  ): IScored[] {
    const chunks = new Map<number, number>();
    for (const match of this._findMatches(request, now)) {
      const position = this._table.find(match.targetId);
      const target = position === undefined ? undefined : targets[position];
      if (position !== undefined && target !== undefined && this._index.hasEvidence(target)) {
        chunks.set(position, match.chunks);
      }
    }
    const homes = new Set(this._sampleHomes(request, now));
    const scored: IScored[] = [];
    for (const position of new Set([...homes, ...chunks.keys(), ...this._listSpill(targets)])) {
      const target = targets[position];
      if (target !== undefined && isUsable(target)) {
        const cachedChunks = chunks.get(position) ?? 0;
        const reason = homes.has(position) ? 'home' : cachedChunks > 0 ? 'evidence' : 'spill';
        scored.push(this._score(request, target, cachedChunks, reason, now));
      }
    }
    return scored;
  }

  private _sampleHomes(request: IRouteRequest, now: number): readonly number[] {
    const homes = this._homes.find(request.chain, now);
    if (homes.length <= MAX_SCORED_HOMES) {
      return homes;
    }
    const start = Math.floor(this._random() * homes.length);
    return [...homes.slice(start), ...homes.slice(0, start)].slice(0, MAX_SCORED_HOMES);
  }

  private _findMatches(request: IRouteRequest, now: number): IPrefixMatch[] {
    const matches = this._index.match(request.chain, now, this._getLifetime);
    if (matches.length <= MAX_MATCHES) {
      return matches;
    }
    return matches.sort((a, b) => b.chunks - a.chunks).slice(0, MAX_MATCHES);
  }

  /** Positions of targets that are scored without regard to the prefix. */
  private _listSpill(targets: readonly ITargetView[]): number[] {
    if (targets.length <= SMALL_FLEET) {
      return [...targets.keys()];
    }
    return Array.from({ length: SAMPLED_TARGETS }, () =>
      Math.floor(this._random() * targets.length),
    );
  }

  private _score(
    request: IRouteRequest,
    target: ITargetView,
    chunks: number,
    reason: RouteReason,
    now: number,
  ): IScored {
    this.loads.refresh(target);
    const cachedTokens = chunks * CHUNK_TOKENS;
    const missedTokens = Math.max(0, request.promptTokens - cachedTokens);
    const serviceMs = this._estimator.getServiceMs(target.id);
    const waitMs = this.loads.estimateWait(target.id, serviceMs, now);
    const ttftMs = this._estimator.estimateTtft(target, waitMs, missedTokens);
    const prefillMs = this._estimator.estimatePrefill(target.id, missedTokens);
    const charge = (RECOMPUTE_CHARGE + (reason === 'spill' ? SPILL_CHARGE : 0)) * prefillMs;
    return { target, reason, cachedTokens, waitMs, ttftMs, cost: ttftMs + charge };
  }

  /** Power of two choices among the estimates close to the smallest. */
  private _pickBest(scored: readonly IScored[]): IScored {
    const least = scored.reduce((a, b) => (b.cost < a.cost ? b : a));
    const limit = least.cost + Math.max(NEAR_MS, least.cost * NEAR_SHARE);
    const near = scored.filter((item) => item.cost <= limit);
    const first = near[Math.floor(this._random() * near.length)] ?? least;
    const second = near[Math.floor(this._random() * near.length)] ?? least;
    const firstOpen = this.loads.countOpen(first.target.id);
    const secondOpen = this.loads.countOpen(second.target.id);
    if (firstOpen === secondOpen) {
      return first.cost <= second.cost ? first : second;
    }
    return firstOpen < secondOpen ? first : second;
  }

  /** Any usable target, for a large fleet of which every scored target is unusable. */
  private _chooseFallback(
    request: IRouteRequest,
    targets: readonly ITargetView[],
    now: number,
  ): IRouteDecision {
    const target = targets.find(isUsable);
    if (target === undefined) {
      return explainNone(targets);
    }
    const scored = this._score(request, target, 0, 'spill', now);
    return {
      kind: 'target',
      target,
      expectedCachedTokens: 0,
      estimatedTtftMs: scored.ttftMs,
      maxTtftMs: Infinity,
      reason: 'spill',
      candidates: listCandidates([scored]),
    };
  }
}

/** Time to first token beyond which the next best target is the better choice. */
function computeLimit(best: IScored, scored: readonly IScored[]): number {
  let nextCost = Infinity;
  for (const item of scored) {
    if (item !== best && item.cost < nextCost) {
      nextCost = item.cost;
    }
  }
  const charge = best.cost - best.ttftMs;
  return Math.max(best.ttftMs, nextCost - charge) + LIMIT_MARGIN_MS;
}

function listCandidates(scored: readonly IScored[]): ICandidate[] {
  const best = scored.length <= MAX_LOGGED_CANDIDATES ? scored : sortBest(scored);
  return best.map(({ target, cachedTokens, waitMs, ttftMs }) => ({
    targetId: target.id,
    cachedTokens,
    waitMs,
    ttftMs,
  }));
}

function sortBest(scored: readonly IScored[]): IScored[] {
  return [...scored].sort((a, b) => a.cost - b.cost).slice(0, MAX_LOGGED_CANDIDATES);
}
