/** Carries one request through: route, client account, quota, targets, answer. */
import type { IClock } from '../common/Clock.js';
import type { ILog } from '../common/Log.js';
import type { Metrics } from '../common/Metrics.js';
import { isBroken } from '../common/TestSwitches.js';
import type { FleetNode } from '../fleet/FleetNode.js';
import type { FleetView } from '../fleet/FleetView.js';
import { getHeldVersion } from '../fleet/HeldWeights.js';
import { deriveWindowLimit, type IQuotaTerms } from '../fleet/QuotaRule.js';
import type { QuotaWallet } from '../fleet/QuotaWallet.js';
import type { SharedRetryBudget } from '../fleet/SharedRetryBudget.js';
import type { RouteTable } from '../fleet/RouteTable.js';
import type { IClientAccount, IRoute, IService } from '../fleet/Types.js';
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import { hashText } from '../policy/TargetTable.js';
import { Attempt, type AttemptOutcome } from './Attempt.js';
import { formatCacheScope, type IPlacement, type Placement } from './Placement.js';
import type { IPlacementRequest, IPlacementTarget } from './PlacementRequest.js';
import type { PromptSource } from './PromptSources.js';
import {
  LONG_STREAM_TOKENS,
  noteBusy,
  noteFirstByte,
  noteFailure,
  noteUnreachable,
  type TargetStates,
} from './TargetStates.js';
import { decideOverload } from './Overload.js';
import type { StoreIndex } from './StoreIndex.js';
import type { IAnswerSink, ICall, IDispatch, ITargetClient, RefusalReason } from './Types.js';

/** A request waits this long for tokens that the hub may grant. */
const QUOTA_WAIT_MS = 150;

/**
 * Retry-After while the configuration is not known or no target exists, in milliseconds. After a common
 * stop both come about 0.8 s after the start of a process, and many clients come back only once.
 */
const NOT_READY_RETRY_MS = 1_000;

/** Retry-After of a request that targets turned away. */
const TURNED_AWAY_RETRY_MS = 250;

/** Retry-After at least this long, so that a refused client does not hammer. */
const MIN_RETRY_MS = 50;

/** Without a client's own limit a request may take this long. */
const DEFAULT_DEADLINE_MS = 60_000;

/** Least time that a further target must have left to be worth trying. */
const MIN_ATTEMPT_MS = 30;

/** Shared parts below this size are not worth a fetch from a store. */
const MIN_STORED_TOKENS = 50;

/** Targets that were not reached don't count as tried; this many end the search. */
const MAX_UNREACHED = 3;

/** Rank of the least urgent requests at a target. */
const LOWEST_PRIORITY = 9;

/** How long a request may begin on weights after newer ones were named, in milliseconds. */
export interface IWeightsLimits {
  /** After this time a target is passed over if another one is left. */
  readonly softMs: number;
  /** After this time it gets no request. */
  readonly hardMs: number;
}

/** Parts of the entry that a call needs. */
export interface ICallContext<T extends ICall> {
  readonly view: FleetView;
  readonly node: Pick<FleetNode, 'awaitExchange'>;
  readonly wallet: QuotaWallet;
  readonly budget: SharedRetryBudget;
  readonly states: TargetStates;
  readonly placement: Placement;
  readonly store: StoreIndex;
  readonly client: ITargetClient<T>;
  readonly clock: IClock;
  readonly metrics: Metrics;
  readonly log: ILog;
  readonly quota: IQuotaTerms;
  readonly weights: IWeightsLimits;
}

/** A call whose route and client account are known. */
interface IAdmitted {
  readonly table: RouteTable;
  readonly route: IRoute;
  readonly service: IService;
  readonly account: IClientAccount | undefined;
  readonly tokens: number;
  readonly endsAt: number;
}

/** Progress over all targets of one call. */
interface IProgress {
  readonly tried: Set<string>;
  attempts: number;
  unreached: number;
  /** Number of the last event that was passed on. */
  lastEventId: number | undefined;
  /** True once a target may have run the request. */
  mayHaveRun: boolean;
}

export class CallRunner<T extends ICall> {
  constructor(private readonly _context: ICallContext<T>) {}

  /** Ends with exactly one final answer, or silently if the client left. */
  public async run(call: T, sink: IAnswerSink): Promise<void> {
    const admitted = await this._admit(call, sink);
    if (admitted === undefined) {
      return;
    }
    this._context.budget.noteRequest(pickName(admitted.route), call.arrivedAt);
    const progress: IProgress = {
      tried: new Set(),
      attempts: 0,
      unreached: 0,
      lastEventId: call.resumeAfter,
      mayHaveRun: false,
    };
    const didRun = await this._runAttempts(call, sink, admitted, progress);
    if (!didRun && admitted.account !== undefined) {
      this._context.wallet.refund(
        admitted.account.name,
        admitted.tokens,
        this._context.clock.now(),
      );
    }
  }

  private async _admit(call: T, sink: IAnswerSink): Promise<IAdmitted | undefined> {
    const { table } = this._context.view;
    if (table === undefined) {
      this._refuse(call, sink, 503, 'no_configuration', NOT_READY_RETRY_MS);
      return;
    }
    const route = table.findRoute(call.host, call.path);
    if (route === undefined) {
      this._refuse(call, sink, 404, 'no_route', undefined, { version: table.version });
      return;
    }
    const account = call.key === undefined ? undefined : table.findAccount(call.key);
    if (table.needsKeys && !route.isPublic && account === undefined) {
      this._refuse(call, sink, 401, 'bad_key', undefined, { version: table.version });
      return;
    }
    const payer = route.isPublic ? undefined : account;
    const tokens = countTokens(call, payer);
    const limitMs = Math.min(call.deadlineMs ?? DEFAULT_DEADLINE_MS, route.timeoutMs);
    const admitted: IAdmitted = {
      table,
      route,
      service: pickService(table, route, call.id),
      account: payer,
      tokens,
      endsAt: call.arrivedAt + limitMs,
    };
    return (await this._spendQuota(call, sink, admitted)) ? admitted : undefined;
  }

  private async _spendQuota(call: T, sink: IAnswerSink, admitted: IAdmitted): Promise<boolean> {
    const { account, tokens } = admitted;
    if (account === undefined || account.tokensPerSecond <= 0) {
      return true;
    }
    const { wallet, view, clock, node } = this._context;
    const limits = {
      windowLimit: deriveWindowLimit(account, this._context.quota),
      entries: view.entries,
    };
    let outcome = wallet.trySpend(account.name, tokens, limits, clock.now());
    const giveUpAt = clock.now() + QUOTA_WAIT_MS;
    while (outcome.kind === 'ask') {
      const leftMs = giveUpAt - clock.now();
      if (leftMs <= 0 || call.signal.aborted) {
        outcome = { kind: 'over', retryAfterMs: QUOTA_WAIT_MS };
        break;
      }
      await node.awaitExchange(leftMs, call.signal);
      outcome = wallet.retrySpend(account.name, tokens, limits, clock.now());
    }
    if (outcome.kind === 'over') {
      const detail = { clientAccount: account.name, tokens };
      this._refuse(call, sink, 429, 'quota', outcome.retryAfterMs, detail);
      return false;
    }
    return true;
  }

  /** Tries targets until the call has its final answer. True if the call's tokens are spent. */
  private async _runAttempts(
    call: T,
    sink: IAnswerSink,
    admitted: IAdmitted,
    progress: IProgress,
  ): Promise<boolean> {
    for (;;) {
      const now = this._context.clock.now();
      if (call.signal.aborted) {
        this._context.log.info('client left', { request: call.id, attempts: progress.attempts });
        return progress.mayHaveRun;
      }
      const request = this._describe(call, admitted);
      const placement = this._place(call, admitted, request, progress, now);
      if (placement === undefined) {
        this._finishWithout(call, sink, progress, 'no_target');
        return progress.mayHaveRun;
      }
      if (this._refuseOverload(call, sink, admitted, placement, progress)) {
        return false;
      }
      const outcome = await this._tryTarget(call, sink, admitted, request, placement, progress);
      if (!this._shouldRetry(call, sink, admitted, outcome, progress)) {
        this._finish(call, sink, outcome, progress);
        return progress.mayHaveRun;
      }
      this._context.metrics.increment('gateway_repeats_total', { service: admitted.service.name });
    }
  }

  /** Refuses a request that no target is expected to answer in time; true if it did. */
  private _refuseOverload(
    call: T,
    sink: IAnswerSink,
    admitted: IAdmitted,
    placement: IPlacement,
    progress: IProgress,
  ): boolean {
    if (admitted.service.engine === undefined || progress.attempts > 0 || sink.isStarted) {
      return false;
    }
    const { objectiveMs } = admitted.route;
    const { expectedMs, workMs, target } = placement;
    const decision = decideOverload(expectedMs, workMs, objectiveMs);
    if (decision.kind === 'serve') {
      return false;
    }
    const detail = { target: target.id, expectedMs: Math.round(expectedMs), objectiveMs };
    this._refuse(call, sink, 503, 'overloaded', decision.retryAfterMs, detail);
    return true;
  }

  private _place(
    call: T,
    admitted: IAdmitted,
    request: IPlacementRequest,
    progress: IProgress,
    now: number,
  ): IPlacement | undefined {
    const { view, states, placement } = this._context;
    const all = view.listTargets(admitted.service.name);
    const untried = all.filter((record) => !progress.tried.has(record.id));
    const fresh = this._filterByWeights(call, untried, now);
    const targets = fresh.map((record): IPlacementTarget => {
      const others = view.getOthersWork(record.id);
      return {
        record,
        state: states.ensure(record, now),
        othersOpen: others.open,
        othersTokens: others.pendingTokens,
      };
    });
    const rested = targets.filter(({ state }) => now >= state.restUntil);
    return placement.choose(
      request,
      rested.length > 0 ? rested : targets,
      this._context.store,
      now,
    );
  }

  private _filterByWeights(
    call: T,
    targets: readonly TargetRecord[],
    now: number,
  ): readonly TargetRecord[] {
    const { view, weights } = this._context;
    const { model } = call;
    if (model === undefined) {
      return targets;
    }
    const softDue = view.weights.getDue(model, weights.softMs, now);
    const preferred = targets.filter((record) => hasVersion(record, model, softDue));
    if (preferred.length > 0) {
      return preferred;
    }
    const hardDue = view.weights.getDue(model, weights.hardMs, now);
    return targets.filter((record) => hasVersion(record, model, hardDue));
  }

  private _describe(call: T, { account, route, service }: IAdmitted): IPlacementRequest {
    return {
      parts: service.engine === undefined ? [] : call.parts,
      promptTokens: call.promptTokens ?? 0,
      outputTokens: call.lengthHint ?? call.outputTokens ?? 0,
      objectiveMs: route.objectiveMs,
      cacheWall: account?.isIsolated === true ? account.name : undefined,
      isEngine: service.engine !== undefined,
      model: call.model,
      wantedVersion:
        call.model === undefined ? undefined : this._context.view.weights.getNewest(call.model),
    };
  }

  private async _tryTarget(
    call: T,
    sink: IAnswerSink,
    admitted: IAdmitted,
    request: IPlacementRequest,
    placement: IPlacement,
    progress: IProgress,
  ): Promise<AttemptOutcome> {
    const { clock, states, log, placement: placements } = this._context;
    const { target } = placement;
    const { route, account } = admitted;
    progress.tried.add(target.id);
    progress.attempts += 1;
    const state = states.ensure(target, clock.now());
    const startedAt = clock.now();
    const attempt = new Attempt(this._context, call, sink, {
      target,
      state,
      route,
      endsAt: admitted.endsAt,
      lastEventId: progress.lastEventId,
      pendingTokens: Math.round(placement.missedTokens + (call.parts.at(-1)?.tokens ?? 0)),
      expectedMs: placement.expectedMs,
      mayMove: mayRepeat(route) && progress.attempts < route.maxAttempts,
      isLong: request.isEngine && request.outputTokens > LONG_STREAM_TOKENS,
      mayReplaceError: route.kind === 'safe' && progress.attempts < route.maxAttempts,
      onFirstByte: (at) => {
        placements.noteRead(request, target, at);
        noteFirstByte(state, placement.modelMs, at - startedAt, at);
      },
      dispatch: {
        clientAccount: account?.name,
        priority: Math.min(LOWEST_PRIORITY, Math.max(0, account?.priority ?? route.priority)),
        ...describeCache(request, placement, this._context.store, clock.now()),
      },
    });
    const outcome = await attempt.run();
    progress.lastEventId = attempt.lastEventId;
    if (outcome.kind !== 'not_run') {
      progress.mayHaveRun = true;
    }
    const now = clock.now();
    log.info('attempt ended', {
      request: call.id,
      route: route.name,
      target: target.id,
      attempt: progress.attempts,
      outcome: outcome.kind,
      reason: outcome.kind === 'answered' ? undefined : outcome.reason,
      status: attempt.status,
      expectedMs: Math.round(placement.expectedMs),
      modelMs: Math.round(placement.modelMs),
      missedTokens: Math.round(placement.missedTokens),
      source: formatSource(placement.source),
      open: state.open,
      load: attempt.load && `${attempt.load.running}+${attempt.load.waiting}`,
      firstMs: attempt.firstByteAt && Math.round(attempt.firstByteAt - startedAt),
      longestGapMs: Math.round(attempt.longestGapMs),
      totalMs: Math.round(now - startedAt),
      version: admitted.table.version,
      viewAgeMs: Math.round(now - this._context.view.answeredAt),
    });
    this._noteOutcome(target, outcome, now);
    return outcome;
  }

  private _noteOutcome(target: TargetRecord, outcome: AttemptOutcome, now: number): void {
    const state = this._context.states.ensure(target, now);
    if (outcome.kind === 'not_run') {
      if (outcome.isUnreachable) {
        noteUnreachable(state, now);
      } else {
        noteBusy(state, now);
      }
    } else if (outcome.kind === 'failed') {
      noteFailure(state, now);
    }
  }

  private _shouldRetry(
    call: T,
    sink: IAnswerSink,
    admitted: IAdmitted,
    outcome: AttemptOutcome,
    progress: IProgress,
  ): boolean {
    const { route, service } = admitted;
    const { clock, budget, view } = this._context;
    const now = clock.now();
    if (call.signal.aborted || admitted.endsAt - now < MIN_ATTEMPT_MS) {
      return false;
    }
    // Only a stream can go on where it stopped; other bytes must not be joined.
    if (sink.isStarted && route.kind !== 'streaming') {
      return false;
    }
    switch (outcome.kind) {
      case 'answered':
      case 'ended':
        return false;
      case 'not_run':
        if (outcome.isUnreachable) {
          progress.attempts -= 1;
          progress.unreached += 1;
          return progress.unreached <= MAX_UNREACHED;
        }
        break;
      case 'failed':
        if (!mayRepeat(route)) {
          return false;
        }
        break;
    }
    return (
      progress.attempts < route.maxAttempts && budget.trySpend(service.name, view.entries, now)
    );
  }

  private _finish(call: T, sink: IAnswerSink, outcome: AttemptOutcome, progress: IProgress): void {
    switch (outcome.kind) {
      case 'answered':
        return;
      case 'ended':
        if (call.signal.aborted) {
          return;
        }
        if (sink.isStarted) {
          sink.cut();
        } else {
          this._refuse(call, sink, 504, 'time_limit', undefined);
        }
        return;
      case 'failed':
        TEST_ONLY: if (isBroken('false-promise')) {
          this._refuse(call, sink, 503, 'not_run', 0);
          return;
        }
        if (sink.isStarted) {
          sink.cut();
        } else {
          this._refuse(call, sink, 502, 'failed', undefined, { detail: outcome.reason });
        }
        return;
      case 'not_run':
        this._finishWithout(call, sink, progress, 'not_run');
    }
  }

  /** Ends a call for which no further target is tried. */
  private _finishWithout(
    call: T,
    sink: IAnswerSink,
    progress: IProgress,
    reason: RefusalReason,
  ): void {
    if (call.signal.aborted) {
      return;
    }
    if (sink.isStarted) {
      sink.cut();
    } else if (progress.mayHaveRun) {
      this._refuse(call, sink, 502, 'failed', undefined);
    } else {
      const retryMs = reason === 'no_target' ? NOT_READY_RETRY_MS : TURNED_AWAY_RETRY_MS;
      this._refuse(call, sink, 503, reason, retryMs);
    }
  }

  private _refuse(
    call: T,
    sink: IAnswerSink,
    status: number,
    reason: RefusalReason,
    retryAfterMs: number | undefined,
    detail: Readonly<Record<string, unknown>> = {},
  ): undefined {
    const { clock, log, metrics, view } = this._context;
    const retryMs = retryAfterMs === undefined ? undefined : Math.max(MIN_RETRY_MS, retryAfterMs);
    log.info('refused', {
      request: call.id,
      status,
      reason,
      retryAfterMs: retryMs && Math.round(retryMs),
      afterMs: Math.round(clock.now() - call.arrivedAt),
      viewAgeMs: Math.round(clock.now() - view.answeredAt),
      ...detail,
    });
    metrics.increment('gateway_refusals_total', { reason, status: String(status) });
    sink.refuse(status, reason, retryMs);
    return undefined;
  }
}

/** Requests that may run more than once. */
function mayRepeat(route: IRoute): boolean {
  TEST_ONLY: if (isBroken('repeat-unsafe')) return true;
  return route.kind === 'safe' || (route.kind === 'streaming' && route.isResumable);
}

/**
 * Parts of other weights must not be found, also not where they were moved to, so the scope names the
 * weights and the target must still hold them.
 */
function describeCache(
  request: IPlacementRequest,
  { target, source }: IPlacement,
  store: StoreIndex,
  now: number,
): Pick<IDispatch, 'cacheScope' | 'weightsVersion' | 'cacheSource' | 'cacheStore'> {
  const version = getHeldVersion(target, request.model);
  if (version === undefined) {
    return {
      cacheScope: undefined,
      weightsVersion: undefined,
      cacheSource: undefined,
      cacheStore: undefined,
    };
  }
  const scope = formatCacheScope(request, target);
  const shared = request.parts.slice(0, -1);
  const isShared = shared.reduce((sum, part) => sum + part.tokens, 0) >= MIN_STORED_TOKENS;
  const isMissing = shared.some((part) => !store.isExpected(scope, part.id, now));
  if (isShared && isMissing && store.address !== undefined) {
    shared.forEach((part) => {
      store.noteSent(scope, part.id, now);
    });
  }
  return {
    cacheScope: scope,
    weightsVersion: version,
    cacheSource: getSourceAddress(source, store),
    // Also the own part of the prompt would go there, so only what is not held yet is sent.
    cacheStore: isShared && isMissing ? store.address : undefined,
  };
}

function getSourceAddress(source: PromptSource | undefined, store: StoreIndex): string | undefined {
  switch (source?.kind) {
    case undefined:
      return undefined;
    case 'target':
      return source.record.address;
    case 'store':
      return store.address;
  }
}

/** For the log. */
function formatSource(source: PromptSource | undefined): string | undefined {
  return source?.kind === 'target' ? source.record.id : source?.kind;
}

/** True also for targets that do not run the model: weights do not concern them. */
function hasVersion(record: TargetRecord, model: string, version: number): boolean {
  return (getHeldVersion(record, model) ?? version) >= version;
}

function countTokens(call: ICall, account: IClientAccount | undefined): number {
  return call.promptTokens === undefined && call.outputTokens === undefined
    ? (account?.defaultTokens ?? 0)
    : (call.promptTokens ?? 0) + (call.outputTokens ?? 0);
}

function pickName(route: IRoute): string {
  return route.shares[0]?.service ?? '';
}

/** Splits a route's requests by weight; the same request always gets the same service. */
function pickService(table: RouteTable, route: IRoute, requestId: string): IService {
  const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
  let point = (hashText(requestId) / 2 ** 32) * total;
  let name = pickName(route);
  for (const share of route.shares) {
    if (share.weight > 0) {
      name = share.service;
      if (point < share.weight) {
        break;
      }
    }
    point -= share.weight;
  }
  const service = table.getService(name);
  if (service === undefined) {
    throw new Error(`route ${route.name} names service ${name}, which the configuration lacks`);
  }
  return service;
}
