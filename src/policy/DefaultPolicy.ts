/** Routing policy that weighs cached prefixes against queueing time. */
import { BasePolicy, explainNoTarget, isUsable } from './BasePolicy.js';
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

/** Up to this number all targets are scored; of more targets, only a sample. */
const MAX_FULLY_SCORED_TARGETS = 32;

/** Targets sampled at random in a large fleet, for the case that all home targets and holders are busy. */
const SAMPLED_TARGETS = 8;

/** Holders that are scored: the targets with evidence of the longest prefixes. */
const MAX_MATCHES = 16;

/** Home targets that are scored; of more, consecutive ones from a random position on. */
const MAX_SCORED_HOMES = 16;

/** Costs that exceed the smallest by no more than the larger of these two count as equal. */
const TIE_TOLERANCE_MS = 5;
const TIE_TOLERANCE_FRACTION = 0.03;

/**
 * Penalty for a target that is neither home target nor holder, as a multiple of its prefill time. The
 * prefix evicts another one there, which later requests of other entries then miss.
 */
const SPILL_PENALTY = 1;

/**
 * Penalty for recomputing missed tokens, as a multiple of their prefill time: requests queued behind this
 * one wait for them too.
 */
const RECOMPUTE_PENALTY = 0.3;

/** After this many refusals by busy targets, the next target must accept the request whatever its queue. */
const MAX_REFUSALS = 2;

/** Requests whose refusals are counted; a bound, so that abandoned requests do not accumulate. */
const MAX_REFUSED_REQUESTS = 1_000;

/** Added to `maxTtftMs`, since a refusal costs a round trip and a decision, and estimates are not exact. */
const MAX_TTFT_MARGIN_MS = 50;

/** Dependencies and settings of a `DefaultPolicy`. */
export interface IDefaultPolicyOptions {
  /** Data centre of this process. */
  readonly dataCentre: string;
  readonly random: IRandom;
  readonly index?: Partial<IPrefixIndexLimits>;
}

interface IScoredTarget {
  readonly target: ITargetView;
  readonly reason: RouteReason;
  readonly cachedTokens: number;
  readonly waitMs: number;
  readonly ttftMs: number;
  /** Value by which targets are compared: `ttftMs` plus penalties. */
  readonly cost: number;
}

interface IDispatchRecord {
  readonly request: IRouteRequest;
  readonly target: ITargetView;
  /** Ages of the evidence at the dispatch, chunk by chunk. */
  readonly ages: readonly number[];
}

/**
 * Chooses the target with the least cost, which is the estimated time to first token plus penalties, among
 * the holders and the home targets of the prefix and a sample of the others.
 *
 * @example
 * const policy = new DefaultPolicy({ dataCentre: 'dar-1', random: Math.random });
 * const decision = policy.choose(request, roster.listTargets('assessor', now), now);
 */
export class DefaultPolicy extends BasePolicy {
  public readonly name = 'default';
  private readonly _random: IRandom;
  private readonly _targetTable = new TargetTable();
  private readonly _heat = new PrefixHeat();
  private readonly _homes = new PrefixHomes(this._targetTable, this._heat);
  private readonly _index: PrefixIndex;
  private readonly _lifetimes = new CacheLifetime();
  private readonly _estimator: Estimator;
  /** Number of refusals by busy targets for each open request. */
  private readonly _refusals = new Map<string, number>();
  private readonly _dispatches = new Map<string, IDispatchRecord>();
  private readonly _getLifetime = (targetId: string): number => this._lifetimes.get(targetId);

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
    this._targetTable.refresh(targets);
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
          ? computeMaxTtft(best, scored)
          : Infinity,
      reason: best.reason,
      candidates: listCandidates(scored),
    };
  }

  public override onDispatched(request: IRouteRequest, target: ITargetView, now: number): void {
    this._index.reconcile(target);
    const ages = this._index.listAges(target, request.chain, now);
    const lifetime = this._lifetimes.get(target.id);
    const firstExpired = ages.findIndex((age) => age > lifetime);
    const cachedChunks = firstExpired < 0 ? ages.length : firstExpired;
    const missedTokens = Math.max(0, request.promptTokens - cachedChunks * CHUNK_TOKENS);
    const prefillMs = this._estimator.estimatePrefill(target.id, missedTokens);
    this.loads.open(request.requestId, target.id, prefillMs, now);
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
    // The index needs no correction: missing chunks have been computed and cached by now. The number of
    // cached tokens shows how long the target keeps unused chunks.
    const missedTokens = Math.max(0, request.promptTokens - answer.cachedPromptTokens);
    this._estimator.observe(target, missedTokens, answer.ttftMs);
    this._lifetimes.observe(target.id, ages, Math.floor(answer.cachedPromptTokens / CHUNK_TOKENS));
  }

  public override onFailed(requestId: string, now: number): void {
    this.loads.close(requestId, now);
    this._refusals.delete(requestId);
    const dispatch = this._dispatches.get(requestId);
    if (dispatch !== undefined) {
      this._dispatches.delete(requestId);
      this._index.removeChunks(dispatch.target, dispatch.request.chain);
    }
  }

  public override onBusy(requestId: string, receipt: IBusyReceipt, now: number): void {
    super.onBusy(requestId, receipt, now);
    const dispatch = this._dispatches.get(requestId);
    if (dispatch !== undefined) {
      this._dispatches.delete(requestId);
      this._recordRefusal(requestId);
      const cachedChunks = Math.floor(receipt.cachedPromptTokens / CHUNK_TOKENS);
      this._index.removeChunks(dispatch.target, dispatch.request.chain, cachedChunks);
    }
  }

  public override onEvicted(target: ITargetView, hashes: readonly ChainHash[]): void {
    this._index.removeChunks(target, hashes);
  }

  public override onCached(target: ITargetView, hashes: readonly ChainHash[], now: number): void {
    this._index.reconcile(target);
    this._index.record(target, hashes, hashes.length, now);
  }

  public override onTargetGone(targetId: string): void {
    this.loads.drop(targetId);
    this._index.dropTarget(targetId);
    this._lifetimes.drop(targetId);
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
  ): IScoredTarget[] {
    const cachedChunksByPosition = new Map<number, number>();
    for (const match of this._findMatches(request, now)) {
      const position = this._targetTable.find(match.targetId);
      const target = position === undefined ? undefined : targets[position];
      if (position !== undefined && target !== undefined && this._index.hasEvidence(target)) {
        cachedChunksByPosition.set(position, match.chunks);
      }
    }
    const homes = new Set(this._sampleHomes(request, now));
    const scored: IScoredTarget[] = [];
    for (const position of new Set([
      ...homes,
      ...cachedChunksByPosition.keys(),
      ...this._listSpillPositions(targets),
    ])) {
      const target = targets[position];
      if (target !== undefined && isUsable(target)) {
        const cachedChunks = cachedChunksByPosition.get(position) ?? 0;
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

  /** Positions of the targets that are scored regardless of the prefix. */
  private _listSpillPositions(targets: readonly ITargetView[]): number[] {
    if (targets.length <= MAX_FULLY_SCORED_TARGETS) {
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
  ): IScoredTarget {
    this.loads.refresh(target);
    const cachedTokens = chunks * CHUNK_TOKENS;
    const missedTokens = Math.max(0, request.promptTokens - cachedTokens);
    const serviceMs = this._estimator.getServiceMs(target.id);
    const waitMs = this.loads.estimateWait(target.id, serviceMs, now);
    const ttftMs = this._estimator.estimateTtft(target, waitMs, missedTokens);
    const prefillMs = this._estimator.estimatePrefill(target.id, missedTokens);
    const penalty = (RECOMPUTE_PENALTY + (reason === 'spill' ? SPILL_PENALTY : 0)) * prefillMs;
    return { target, reason, cachedTokens, waitMs, ttftMs, cost: ttftMs + penalty };
  }

  /** Power of two choices among the targets whose costs count as equal to the smallest. */
  private _pickBest(scored: readonly IScoredTarget[]): IScoredTarget {
    const cheapest = scored.reduce((a, b) => (b.cost < a.cost ? b : a));
    const limit =
      cheapest.cost + Math.max(TIE_TOLERANCE_MS, cheapest.cost * TIE_TOLERANCE_FRACTION);
    const tied = scored.filter((item) => item.cost <= limit);
    const first = tied[Math.floor(this._random() * tied.length)] ?? cheapest;
    const second = tied[Math.floor(this._random() * tied.length)] ?? cheapest;
    const firstOpen = this.loads.countOpen(first.target.id);
    const secondOpen = this.loads.countOpen(second.target.id);
    if (firstOpen === secondOpen) {
      return first.cost <= second.cost ? first : second;
    }
    return firstOpen < secondOpen ? first : second;
  }

  /** Chooses any usable target, for the case that no scored target of a large fleet is usable. */
  private _chooseFallback(
    request: IRouteRequest,
    targets: readonly ITargetView[],
    now: number,
  ): IRouteDecision {
    const target = targets.find(isUsable);
    if (target === undefined) {
      return explainNoTarget(targets);
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

/** Time to first token beyond which the second best target would have been the better choice. */
function computeMaxTtft(best: IScoredTarget, scored: readonly IScoredTarget[]): number {
  let nextCost = Infinity;
  for (const item of scored) {
    if (item !== best && item.cost < nextCost) {
      nextCost = item.cost;
    }
  }
  const penalty = best.cost - best.ttftMs;
  return Math.max(best.ttftMs, nextCost - penalty) + MAX_TTFT_MARGIN_MS;
}

function listCandidates(scored: readonly IScoredTarget[]): ICandidate[] {
  const best = scored.length <= MAX_LOGGED_CANDIDATES ? scored : sortBest(scored);
  return best.map(({ target, cachedTokens, waitMs, ttftMs }) => ({
    targetId: target.id,
    cachedTokens,
    waitMs,
    ttftMs,
  }));
}

function sortBest(scored: readonly IScoredTarget[]): IScoredTarget[] {
  return [...scored].sort((a, b) => a.cost - b.cost).slice(0, MAX_LOGGED_CANDIDATES);
}
