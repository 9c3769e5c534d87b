/** Runs one call: routing, authentication, quota, choice of targets, retries and the final response. */
import type { IClock } from '../common/Clock.js';
import type { ILog } from '../common/Log.js';
import type { Metrics } from '../common/Metrics.js';
import { isMechanismDisabled } from '../common/TestSwitches.js';
import type { FleetNode } from '../fleet/FleetNode.js';
import { getHeldVersion } from '../fleet/HeldWeights.js';
import type { QuotaWallet } from '../fleet/QuotaWallet.js';
import type { SharedRetryBudget } from '../fleet/SharedRetryBudget.js';
import type { RouteTable } from '../fleet/RouteTable.js';
import type { IClientAccount, IRoute, IService } from '../fleet/Types.js';
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import { hashText } from '../policy/TargetTable.js';
import { Attempt, type AttemptOutcome, type ITargetNotice } from './Attempt.js';
import { formatCacheScope, type IPlacement } from './Placement.js';
import type { IPlacementRequest } from './PlacementRequest.js';
import type { IJudgedRequest, CrashQuarantine, QuarantineStanding } from './CrashQuarantine.js';
import type { PromptSource } from './PromptSources.js';
import {
  getPauseMs,
  LONG_STREAM_TOKENS,
  recordBusy,
  recordPause,
  recordFirstByte,
  recordFailure,
  recordUnreachable,
  type ITargetState,
} from './TargetStates.js';
import { decideOverload } from './Overload.js';
import { TargetSelector, type ITargetSelectorContext } from './TargetSelector.js';
import { decideTargetWait } from './TargetWait.js';
import type { StoreIndex } from './StoreIndex.js';
import type {
  IAnswerSink,
  ICall,
  IDispatch,
  ITargetClient,
  RateLimitNotice,
  RefusalReason,
} from './Types.js';

/** Longest time that a request waits for the hub to grant quota tokens. */
const QUOTA_WAIT_MS = 150;

/**
 * Retry-After while there is no configuration or no target. After a simultaneous stop of all processes both
 * arrive about 0.8 s after the start of a process, and many clients retry only once.
 */
const NOT_READY_RETRY_AFTER_MS = 1_000;

/** Retry-After of a request that all tried targets refused. */
const TARGETS_BUSY_RETRY_AFTER_MS = 250;

/** Retry-After of a request that would crash its target: a quarantine lasts for minutes. */
const QUARANTINE_RETRY_AFTER_MS = 60_000;

/** Lower bound of every Retry-After, so that clients do not retry in a tight loop. */
const MIN_RETRY_AFTER_MS = 50;

/** Time limit of a request whose client sets none. */
const DEFAULT_DEADLINE_MS = 60_000;

/** A further target is tried only if at least this much time remains until the deadline. */
const MIN_ATTEMPT_MS = 30;

/** Shared prompt parts with fewer tokens in total are not sent to the store: a fetch would not pay off. */
const MIN_STORED_TOKENS = 50;

/** Unreachable targets do not count as attempts; with more than this many the call ends. */
const MAX_UNREACHABLE_TARGETS = 3;

/** Prompt parts that a log line names at most. */
const MAX_LOGGED_PARTS = 8;

/** Priority of the least urgent requests; 0 is the most urgent. */
const LOWEST_PRIORITY = 9;

/** Dependencies of the calls, shared by all of them. */
export interface ICallContext<T extends ICall> extends ITargetSelectorContext {
  readonly node: Pick<FleetNode, 'requestLeases' | 'requestExchange'>;
  readonly wallet: QuotaWallet;
  readonly budget: SharedRetryBudget;
  readonly quarantine: CrashQuarantine;
  readonly client: ITargetClient<T>;
  readonly clock: IClock;
  readonly metrics: Metrics;
  readonly log: ILog;
}

/** Routing and quota of a call that passed admission. */
interface IAdmittedCall {
  readonly table: RouteTable;
  readonly route: IRoute;
  readonly service: IService;
  /** Client account that is charged for the call; undefined if none is. */
  readonly account: IClientAccount | undefined;
  /** Quota tokens charged for the call. */
  readonly tokens: number;
  /** When the tokens were charged. */
  readonly chargedAt: number;
  readonly deadlineAt: number;
}

/** Mutable state over all attempts of one call. */
interface IProgress {
  readonly tried: Set<string>;
  attempts: number;
  unreachable: number;
  /** Id of the last event relayed to the client. */
  lastEventId: number | undefined;
  /** True once a target may have run the request. */
  mayHaveRun: boolean;
  /** False once the request has probably crashed a target. */
  mayRepeat: boolean;
  /** Time until which the request may wait for a target; undefined until it has to. */
  waitUntil: number | undefined;
}

/** What was decided before an attempt. */
interface IPlannedAttempt {
  readonly request: IPlacementRequest;
  readonly standing: QuarantineStanding;
  readonly placement: IPlacement;
}

/**
 * Runs calls from their arrival to the final response. A request that a target may have run is sent to a
 * second one only if its route allows that, and "not run" is reported only if no target can have run it.
 */
export class CallRunner<T extends ICall> {
  private readonly _running = new Map<Attempt<T>, IJudgedRequest>();
  /** Probes that have not ended, by target and its start time. */
  private readonly _probes = new Map<string, Promise<boolean>>();
  private readonly _selector: TargetSelector;

  constructor(private readonly _context: ICallContext<T>) {
    this._selector = new TargetSelector(_context);
    _context.quarantine.onChange((now) => {
      this._cancelQuarantined(now);
    });
  }

  /** Writes exactly one final response to the sink, or none if the client disconnects. */
  public async run(call: T, sink: IAnswerSink): Promise<void> {
    const admitted = await this._admit(call, sink);
    if (admitted === undefined) {
      return;
    }
    this._context.budget.recordRequest(getFirstServiceName(admitted.route), call.arrivedAt);
    const progress: IProgress = {
      tried: new Set(),
      attempts: 0,
      unreachable: 0,
      lastEventId: call.resumeAfter,
      mayHaveRun: false,
      mayRepeat: true,
      waitUntil: undefined,
    };
    const isQuotaSpent = await this._runAttempts(call, sink, admitted, progress);
    if (!isQuotaSpent && admitted.account !== undefined) {
      const { account, tokens, chargedAt } = admitted;
      this._context.wallet.refund(account.name, tokens, chargedAt);
    }
  }

  /** Finds the route and client account and charges the quota; undefined if the call was refused. */
  private async _admit(call: T, sink: IAnswerSink): Promise<IAdmittedCall | undefined> {
    const { table } = this._context.view;
    if (table === undefined) {
      this._refuse(call, sink, 503, 'no_configuration', NOT_READY_RETRY_AFTER_MS);
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
    const admitted = {
      table,
      route,
      service: pickService(table, route, call.id),
      account: payer,
      tokens,
      deadlineAt: call.arrivedAt + limitMs,
    };
    return (await this._spendQuota(call, sink, admitted))
      ? { ...admitted, chargedAt: this._context.clock.now() }
      : undefined;
  }

  /** Charges the client account, waiting for a grant if needed; false if the call was refused. */
  private async _spendQuota(
    call: T,
    sink: IAnswerSink,
    admitted: Pick<IAdmittedCall, 'account' | 'tokens'>,
  ): Promise<boolean> {
    const { account, tokens } = admitted;
    if (account === undefined || account.tokensPerSecond <= 0) {
      return true;
    }
    const { wallet, clock, node } = this._context;
    let outcome = wallet.trySpend(account.name, tokens, clock.now());
    const giveUpAt = clock.now() + QUOTA_WAIT_MS;
    while (outcome.kind === 'ask') {
      const remainingMs = giveUpAt - clock.now();
      if (remainingMs <= 0 || call.signal.aborted) {
        outcome = { kind: 'over', retryAfterMs: QUOTA_WAIT_MS };
        break;
      }
      await node.requestLeases(remainingMs, call.signal);
      outcome = wallet.retrySpend(account.name, tokens, clock.now());
    }
    if (outcome.kind === 'over') {
      const detail = { clientAccount: account.name, tokens };
      this._refuse(call, sink, 429, 'quota', outcome.retryAfterMs, detail);
      return false;
    }
    return true;
  }

  /** Tries targets until the call has its final response. Returns false if its tokens are to be refunded. */
  private async _runAttempts(
    call: T,
    sink: IAnswerSink,
    admitted: IAdmittedCall,
    progress: IProgress,
  ): Promise<boolean> {
    const judged = { call, account: admitted.account?.name, route: admitted.route.name };
    for (;;) {
      const now = this._context.clock.now();
      if (call.signal.aborted) {
        this._context.log.info('client left', { request: call.id, attempts: progress.attempts });
        return progress.mayHaveRun;
      }
      const standing = this._context.quarantine.getStanding(judged, now);
      if (standing.kind === 'quarantined') {
        this._finishQuarantined(call, sink, progress, standing);
        return progress.mayHaveRun;
      }
      const request = this._describeRequest(call, admitted);
      const choice = this._selector.choose(
        {
          service: admitted.service.name,
          request,
          tried: progress.tried,
          isSuspect: standing.kind === 'suspect',
        },
        now,
      );
      if (choice.kind === 'none') {
        this._finishUnanswered(call, sink, progress, 'no_target');
        return progress.mayHaveRun;
      }
      if (choice.kind === 'closed') {
        if (await this._waitForTarget(call, sink, admitted, choice.target, progress)) {
          continue;
        }
        return progress.mayHaveRun;
      }
      const { placement } = choice;
      if (this._refuseOverload(call, sink, admitted, placement, progress)) {
        return false;
      }
      const outcome = await this._tryTarget(
        call,
        sink,
        admitted,
        { request, standing, placement },
        progress,
      );
      if (!this._shouldRetry(call, sink, admitted, outcome, progress)) {
        this._finish(call, sink, outcome, progress);
        return progress.mayHaveRun;
      }
      this._context.metrics.increment('gateway_repeats_total', { service: admitted.service.name });
    }
  }

  /** Refuses a request that even the best target is expected to answer too late; true if refused. */
  private _refuseOverload(
    call: T,
    sink: IAnswerSink,
    admitted: IAdmittedCall,
    placement: IPlacement,
    progress: IProgress,
  ): boolean {
    if (admitted.service.engine === undefined || progress.attempts > 0 || sink.isStarted) {
      return false;
    }
    const { latencyObjectiveMs: objectiveMs } = admitted.route;
    const { expectedMs, serviceMs, target } = placement;
    const decision = decideOverload(expectedMs, serviceMs, objectiveMs);
    if (decision.kind === 'serve') {
      return false;
    }
    const detail = { target: target.id, expectedMs: Math.round(expectedMs), objectiveMs };
    this._refuse(call, sink, 503, 'overloaded', decision.retryAfterMs, detail);
    return true;
  }

  /** Waits until a target may take the call; false if the call was ended instead. */
  private async _waitForTarget(
    call: T,
    sink: IAnswerSink,
    { route, account, deadlineAt }: IAdmittedCall,
    target: TargetRecord,
    progress: IProgress,
  ): Promise<boolean> {
    const { clock, limits, states } = this._context;
    const now = clock.now();
    progress.waitUntil ??= Math.min(now + route.latencyObjectiveMs, deadlineAt - MIN_ATTEMPT_MS);
    const expectedWaitMs = this._selector.estimateWaitMs(target, now);
    const pauseMs = getPauseMs(states.ensure(target, now), now);
    const decision = decideTargetWait(expectedWaitMs, progress.waitUntil - now, call.id);
    switch (decision.kind) {
      case 'wait':
        await limits.waitForPermit(
          target,
          {
            priority: getPriority(route, account),
            arrivedAt: call.arrivedAt,
            timeoutMs: pauseMs > 0 ? Math.min(pauseMs, decision.timeoutMs) : decision.timeoutMs,
            signal: call.signal,
          },
          now,
        );
        return true;
      case 'refuse':
        limits.recordLacking(target);
        if (sink.isStarted || progress.mayHaveRun) {
          this._finishUnanswered(call, sink, progress, 'limited');
        } else {
          const perSecond = limits.getLimit(target);
          const detail = {
            target: target.id,
            perSecond,
            pauseMs: Math.round(pauseMs),
            expectedWaitMs: Math.round(expectedWaitMs),
          };
          this._refuse(call, sink, 503, 'limited', decision.retryAfterMs, detail);
        }
        return false;
    }
  }

  private _describeRequest(call: T, { account, route, service }: IAdmittedCall): IPlacementRequest {
    return {
      parts: service.engine === undefined ? [] : call.parts,
      promptTokens: call.promptTokens ?? 0,
      outputTokens: call.lengthHint ?? call.outputTokens ?? 0,
      latencyObjectiveMs: route.latencyObjectiveMs,
      isolationKey: account?.isIsolated === true ? account.name : undefined,
      isEngine: service.engine !== undefined,
      model: call.model,
      wantedVersion:
        call.model === undefined ? undefined : this._context.view.weights.getNewest(call.model),
    };
  }

  private async _tryTarget(
    call: T,
    sink: IAnswerSink,
    admitted: IAdmittedCall,
    { request, standing, placement }: IPlannedAttempt,
    progress: IProgress,
  ): Promise<AttemptOutcome> {
    const { clock, states, limits, quarantine, log, placement: placements } = this._context;
    const { target } = placement;
    const { route, account } = admitted;
    const judged = { call, account: account?.name, route: route.name };
    progress.tried.add(target.id);
    progress.attempts += 1;
    const state = states.ensure(target, clock.now());
    const startedAt = clock.now();
    limits.take(target, startedAt);
    const attempt = new Attempt(this._context, call, sink, {
      target,
      state,
      route,
      deadlineAt: admitted.deadlineAt,
      beginBy: startedAt + placement.weightsUsableMs,
      lastEventId: progress.lastEventId,
      pendingTokens: Math.round(placement.missedTokens + (call.parts.at(-1)?.tokens ?? 0)),
      expectedMs: placement.expectedMs,
      mayFailOver: isRepeatable(route) && progress.attempts < route.maxAttempts,
      isLongStream: request.isEngine && request.outputTokens > LONG_STREAM_TOKENS,
      mayReplaceError: route.kind === 'safe' && progress.attempts < route.maxAttempts,
      onNotice: (notice, sentAt) => {
        this._recordRateLimit(call, target, notice.rateLimit, sentAt);
        this._recordWish(call, target, state, notice);
      },
      onSettled: (at) => {
        quarantine.recordSettled(judged, at);
      },
      onFirstByte: (at) => {
        placements.recordReading(request, target, at);
        recordFirstByte(state, placement.modelMs, at - startedAt, at);
      },
      dispatch: {
        clientAccount: account?.name,
        priority: getPriority(route, account),
        ...describeCacheUse(request, placement, this._context.store, clock.now()),
      },
    });
    const suspects = standing.kind === 'suspect' ? 1 : 0;
    state.suspects += suspects;
    this._running.set(attempt, judged);
    let outcome: AttemptOutcome;
    try {
      outcome = await attempt.run();
    } finally {
      this._running.delete(attempt);
      state.suspects -= suspects;
    }
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
      // What requests that broke with their target have in common.
      content: outcome.kind === 'failed' ? formatHash(call.hashContent()) : undefined,
      sharedParts: outcome.kind === 'failed' ? formatSharedParts(call) : undefined,
      rateLimit: formatRateLimit(attempt.rateLimit),
      framing: attempt.framing,
      lastEvent: attempt.lastEventId,
      incompleteBytes: attempt.incompleteBytes,
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
      viewAgeMs: Math.round(now - this._context.view.hubAnsweredAt),
    });
    this._recordOutcome(target, outcome, now);
    if (outcome.kind === 'answered' && attempt.isSettled) {
      quarantine.recordAnswered(judged, now);
    }
    if (outcome.kind === 'failed' && outcome.isBroken === true) {
      await this._checkCrash(judged, target, progress);
    }
    return outcome;
  }

  private _recordRateLimit(
    call: T,
    target: TargetRecord,
    notice: RateLimitNotice,
    sentAt: number,
  ): void {
    const { limits, clock, node, log, metrics } = this._context;
    if (limits.recordNotice(target, notice, sentAt, clock.now())) {
      node.requestExchange();
      log.info('target limit changed', {
        request: call.id,
        target: target.id,
        perSecond: limits.getLimit(target),
      });
      metrics.increment('gateway_target_limit_changes_total', {});
    }
  }

  /** Records that a target leaves, or wants no requests for a time. */
  private _recordWish(
    call: T,
    target: TargetRecord,
    state: ITargetState,
    { isLeaving, pauseMs }: ITargetNotice,
  ): void {
    const { clock, log, metrics } = this._context;
    TEST_ONLY: if (isMechanismDisabled('target-wish')) return;
    const now = clock.now();
    if (isLeaving && !state.isLeaving) {
      state.isLeaving = true;
      log.info('target leaves', { request: call.id, target: target.id });
      metrics.increment('gateway_target_wishes_total', { kind: 'leaves' });
    }
    if (pauseMs !== undefined && pauseMs > 0) {
      recordPause(state, pauseMs, now);
      const untilMs = Math.round(state.pausedUntil - now);
      log.info('target pauses', { request: call.id, target: target.id, pauseMs, untilMs });
      metrics.increment('gateway_target_wishes_total', { kind: 'pauses' });
    }
  }

  /** Cancels requests at targets that would crash when they begin to answer. */
  private _cancelQuarantined(now: number): void {
    for (const [attempt, judged] of this._running) {
      const standing = this._context.quarantine.getStanding(judged, now);
      // A part crashes a target before its response has settled, a request may do so later.
      if (standing.kind === 'quarantined' && (standing.isRepetition || !attempt.isSettled)) {
        attempt.cancel('the request is quarantined');
      }
    }
  }

  /** Reports a request that is not known to be sound if its target has ended. */
  private async _checkCrash(
    judged: IJudgedRequest,
    target: TargetRecord,
    progress: IProgress,
  ): Promise<void> {
    const { quarantine, clock, states, node, log, metrics } = this._context;
    TEST_ONLY: if (isMechanismDisabled('prompt-quarantine')) return;
    if (!quarantine.isUnproven(judged, clock.now()) || (await this._probe(target))) {
      return;
    }
    const now = clock.now();
    const standing = quarantine.getStanding(judged, now);
    const { call } = judged;
    // A further crash by the same part must not come from a repetition.
    progress.mayRepeat = standing.kind === 'clear';
    recordUnreachable(states.ensure(target, now), now);
    quarantine.recordCrash(judged, progress.attempts, target, now);
    node.requestExchange();
    log.info('target crashed', {
      request: call.id,
      target: target.id,
      content: formatHash(call.hashContent()),
      sharedParts: formatSharedParts(call),
      standing: standing.kind,
    });
    metrics.increment('gateway_target_crashes_total', {});
  }

  /** Probes a target once for all requests that break with it. */
  private async _probe(target: TargetRecord): Promise<boolean> {
    const key = `${target.id}/${target.born}`;
    const running = this._probes.get(key);
    if (running !== undefined) {
      return running;
    }
    const probe = this._context.client.probe(target);
    this._probes.set(key, probe);
    try {
      return await probe;
    } finally {
      this._probes.delete(key);
    }
  }

  private _recordOutcome(target: TargetRecord, outcome: AttemptOutcome, now: number): void {
    const state = this._context.states.ensure(target, now);
    if (outcome.kind === 'not_run') {
      if (outcome.isUnreachable) {
        recordUnreachable(state, now);
      } else {
        recordBusy(state, now);
      }
    } else if (outcome.kind === 'failed') {
      recordFailure(state, now);
    }
  }

  private _shouldRetry(
    call: T,
    sink: IAnswerSink,
    admitted: IAdmittedCall,
    outcome: AttemptOutcome,
    progress: IProgress,
  ): boolean {
    const { route, service } = admitted;
    const { clock, budget, view } = this._context;
    const now = clock.now();
    if (call.signal.aborted || admitted.deadlineAt - now < MIN_ATTEMPT_MS) {
      return false;
    }
    // Only an event stream can be resumed. Parts of other responses must never be concatenated.
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
          progress.unreachable += 1;
          return progress.unreachable <= MAX_UNREACHABLE_TARGETS;
        }
        break;
      case 'failed':
        if (!isRepeatable(route) || !progress.mayRepeat) {
          return false;
        }
        break;
    }
    return (
      progress.attempts < route.maxAttempts && budget.trySpend(service.name, view.entryCount, now)
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
          this._cut(call, sink, 'time_limit', progress);
        } else {
          this._refuse(call, sink, 504, 'time_limit', undefined);
        }
        return;
      case 'failed':
        TEST_ONLY: if (isMechanismDisabled('false-promise')) {
          this._refuse(call, sink, 503, 'not_run', 0);
          return;
        }
        if (sink.isStarted) {
          this._cut(call, sink, 'failed', progress, { detail: outcome.reason });
        } else {
          this._refuse(call, sink, 502, 'failed', undefined, { detail: outcome.reason });
        }
        return;
      case 'not_run':
        this._finishUnanswered(call, sink, progress, 'not_run');
    }
  }

  /** Ends a call that is quarantined, or whose prompt has quarantined parts. */
  private _finishQuarantined(
    call: T,
    sink: IAnswerSink,
    progress: IProgress,
    { partIds }: Extract<QuarantineStanding, { kind: 'quarantined' }>,
  ): void {
    if (progress.mayHaveRun) {
      this._finishUnanswered(call, sink, progress, 'quarantined');
    } else {
      const detail = {
        parts: partIds.slice(0, MAX_LOGGED_PARTS).join(),
        content: formatHash(call.hashContent()),
      };
      this._refuse(call, sink, 503, 'quarantined', QUARANTINE_RETRY_AFTER_MS, detail);
    }
  }

  /** Ends a call that has no complete response and for which no further target is tried. */
  private _finishUnanswered(
    call: T,
    sink: IAnswerSink,
    progress: IProgress,
    reason: RefusalReason,
  ): void {
    if (call.signal.aborted) {
      return;
    }
    if (sink.isStarted) {
      this._cut(call, sink, reason, progress);
    } else if (progress.mayHaveRun) {
      this._refuse(call, sink, 502, 'failed', undefined);
    } else {
      const retryMs =
        reason === 'no_target' ? NOT_READY_RETRY_AFTER_MS : TARGETS_BUSY_RETRY_AFTER_MS;
      this._refuse(call, sink, 503, reason, retryMs);
    }
  }

  /** Ends a response of which the client has received a part. */
  private _cut(
    call: T,
    sink: IAnswerSink,
    reason: RefusalReason,
    progress: IProgress,
    detail: Readonly<Record<string, unknown>> = {},
  ): void {
    const { clock, log, metrics, view } = this._context;
    log.info('response cut', {
      request: call.id,
      reason,
      attempts: progress.attempts,
      lastEvent: progress.lastEventId,
      afterMs: Math.round(clock.now() - call.arrivedAt),
      version: view.documentVersion,
      viewAgeMs: Math.round(clock.now() - view.hubAnsweredAt),
      ...detail,
    });
    metrics.increment('gateway_cuts_total', { reason });
    sink.cut();
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
    const retryMs =
      retryAfterMs === undefined ? undefined : Math.max(MIN_RETRY_AFTER_MS, retryAfterMs);
    log.info('refused', {
      request: call.id,
      status,
      reason,
      retryAfterMs: retryMs && Math.round(retryMs),
      afterMs: Math.round(clock.now() - call.arrivedAt),
      viewAgeMs: Math.round(clock.now() - view.hubAnsweredAt),
      ...detail,
    });
    metrics.increment('gateway_refusals_total', { reason, status: String(status) });
    sink.refuse(status, reason, retryMs);
    return undefined;
  }
}

/** Urgency of a call: from 0 (most urgent) to 9. */
function getPriority(route: IRoute, account: IClientAccount | undefined): number {
  return Math.min(LOWEST_PRIORITY, Math.max(0, account?.priority ?? route.priority));
}

/** True if requests of the route may run more than once. */
function isRepeatable(route: IRoute): boolean {
  TEST_ONLY: if (isMechanismDisabled('repeat-unsafe')) return true;
  return route.kind === 'safe' || (route.kind === 'streaming' && route.isResumable);
}

/**
 * Cache fields of a dispatch. Prompt parts computed with other weights must never be found, also not after
 * a transfer. The scope therefore contains the weights version, and the target must still hold it.
 */
function describeCacheUse(
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
  const isMissing = shared.some((part) => !store.isHeldOrInTransit(scope, part.id, now));
  if (isShared && isMissing && store.address !== undefined) {
    shared.forEach((part) => {
      store.recordSent(scope, part.id, now);
    });
  }
  return {
    cacheScope: scope,
    weightsVersion: version,
    cacheSource: getSourceAddress(source, store),
    // The target would also send the unshared last part, so the store is named only if it lacks a shared one.
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

function formatHash(hash: number): string {
  return hash.toString(16).padStart(8, '0');
}

/** Ids of the prompt parts that other requests may have too, for the log. */
function formatSharedParts({ parts }: ICall): string | undefined {
  const shared = parts.slice(0, -1).slice(0, MAX_LOGGED_PARTS);
  return shared.length === 0 ? undefined : shared.map(({ id }) => id).join();
}

/** Formats what a response said about its target's limit, for the log; undefined if nothing. */
function formatRateLimit(notice: RateLimitNotice | undefined): number | string | undefined {
  switch (notice?.kind) {
    case undefined:
    case 'unlimited':
      return undefined;
    case 'limited':
      return notice.perSecond;
    case 'unreadable':
      return notice.kind;
  }
}

/** Formats a source for the log: the id of the target, or `store`. */
function formatSource(source: PromptSource | undefined): string | undefined {
  return source?.kind === 'target' ? source.record.id : source?.kind;
}

/** Quota tokens of a call; the account's default if the request states no token counts. */
function countTokens(call: ICall, account: IClientAccount | undefined): number {
  return call.promptTokens === undefined && call.outputTokens === undefined
    ? (account?.defaultTokens ?? 0)
    : (call.promptTokens ?? 0) + (call.outputTokens ?? 0);
}

function getFirstServiceName(route: IRoute): string {
  return route.shares[0]?.service ?? '';
}

/** Splits the requests of a route by weight; the same request id always selects the same service. */
function pickService(table: RouteTable, route: IRoute, requestId: string): IService {
  const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
  let point = (hashText(requestId) / 2 ** 32) * total;
  let name = getFirstServiceName(route);
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
    throw new Error(
      `route "${route.name}" refers to service "${name}", which the configuration does not define`,
    );
  }
  return service;
}
