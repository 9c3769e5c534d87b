/** Runs one call: routing, authentication, quota, choice of targets, retries and the final response. */
import { describeError } from '../common/Log.js';
import { waitForPoll } from '../common/LoopDelay.js';
import { runUntilAborted } from '../common/Tasks.js';
import { isMechanismDisabled } from '../common/TestSwitches.js';
import { getSoftwareVersion } from '../fleet/SoftwareVersions.js';
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import { describeAbort, type AttemptOutcome } from './Attempt.js';
import {
  AttemptRace,
  type IRaceMember,
  type RaceOutcome,
  type StandbyReason,
} from './AttemptRace.js';
import { AttemptRunner, formatHash } from './AttemptRunner.js';
import { countTokens, pickService } from './CallRouting.js';
import {
  getOutputTokens,
  getPriority,
  isRepeatable,
  type IAdmittedCall,
  type ICallContext,
  type ICallProgress,
} from './CallTypes.js';
import { mayOverlap, type QuarantineStanding } from './CrashQuarantine.js';
import type { IPlacementRequest } from './PlacementRequest.js';
import { CallAdmission } from './queue/CallAdmission.js';
import { relayKept } from './KeptAnswer.js';
import { isWithdrawn } from './SendCheck.js';
import { createStreamBinding, getStreamId } from './StreamBinding.js';
import { TargetSelector, type TargetChoice } from './TargetSelector.js';
import { getPauseMs } from './TargetStates.js';
import { decideTargetWait } from './TargetWait.js';
import type { IAnswerSink, ICall, RefusalReason } from './Types.js';

/** Longest time that a request waits for the hub to grant quota tokens. */
const QUOTA_WAIT_MS = 150;

/**
 * Retry-After while there is no configuration or no target. After a simultaneous stop of all processes both
 * arrive about 0.8 s after the start of a process, and many clients retry only once.
 */
const NOT_READY_RETRY_AFTER_MS = 1_000;

/** Retry-After of a request that all tried targets refused. */
const TARGETS_BUSY_RETRY_AFTER_MS = 250;

/** Retry-After of a request for which no connection became free. */
const CROWDED_RETRY_AFTER_MS = 1_000;

/** Retry-After of a request that would crash its target: a quarantine lasts for minutes. */
const QUARANTINE_RETRY_AFTER_MS = 60_000;

/** Retry-After of a stream whose origin is not known: a new leader is elected in this time. */
const ORIGIN_UNKNOWN_RETRY_AFTER_MS = 1_000;

/** Retry-After of a stream of which no target has the version; one that restarts comes back within this time. */
const VERSION_GONE_RETRY_AFTER_MS = 5_000;

/** After this time a process knows all targets: they announce themselves every one or two seconds. */
const TARGETS_KNOWN_MS = 3_000;

/** A new connection of the client reaches another process, which accepts the request at once. */
const STOPPING_RETRY_AFTER_MS = 50;

/** Lower bound of every Retry-After, so that clients do not retry in a tight loop. */
const MIN_RETRY_AFTER_MS = 50;

/** Retry-After by reason; of the other reasons it is `TARGETS_BUSY_RETRY_AFTER_MS`, or depends on the request. */
const RETRY_AFTER_MS: Partial<Readonly<Record<RefusalReason, number>>> = {
  no_target: NOT_READY_RETRY_AFTER_MS,
  stopping: STOPPING_RETRY_AFTER_MS,
  withdrawn: MIN_RETRY_AFTER_MS,
  version_gone: VERSION_GONE_RETRY_AFTER_MS,
  overloaded: CROWDED_RETRY_AFTER_MS,
};

/** Time limit of a request whose client sets none. */
const DEFAULT_DEADLINE_MS = 60_000;

/** A further target is tried only if at least this much time remains until the deadline. */
const MIN_ATTEMPT_MS = 30;

/** Unreachable targets do not count as attempts; with more than this many the call ends. */
const MAX_UNREACHABLE_TARGETS = 3;

/** Status of each response with events; others are errors. */
const STREAM_STATUS = 200;

/** Prompt parts that a log line names at most. */
const MAX_LOGGED_PARTS = 8;

/**
 * Runs calls from their arrival to the final response. A request that a target may have run is sent to a
 * second one only if its route allows that, and "not run" is reported only if no target can have run it.
 */
export class CallRunner<T extends ICall> {
  private readonly _startedAt: number;
  private readonly _selector: TargetSelector;
  private readonly _attempts: AttemptRunner<T>;
  private readonly _admission: CallAdmission<T>;

  constructor(private readonly _context: ICallContext<T>) {
    this._startedAt = _context.clock.now();
    this._selector = new TargetSelector(_context);
    this._attempts = new AttemptRunner(_context);
    this._admission = new CallAdmission(_context);
  }

  /** Writes exactly one final response to the sink, or none if the client disconnects. */
  public async run(call: T, sink: IAnswerSink): Promise<void> {
    const admitted = await this._admit(call, sink);
    if (admitted === undefined) {
      return;
    }
    this._context.budget.recordRequest(admitted.service.name, call.arrivedAt);
    this._context.hedging.recordRequest(admitted.service.name, call.arrivedAt);
    this._context.rollouts.recordRequest(admitted.service.name);
    const progress: ICallProgress = {
      tried: new Set(),
      attempts: 0,
      unreachable: 0,
      isCrowded: false,
      status: undefined,
      lastEventId: call.resumeAfter,
      isUnnumbered: false,
      mayHaveRun: false,
      mayRepeat: true,
      binding: createStreamBinding(this._context, call, admitted.route, admitted.service),
      attemptVersion: undefined,
      waitUntil: undefined,
      kept: undefined,
      ticket: undefined,
    };
    const isQuotaSpent =
      (await this._bindResumed(call, sink, admitted, progress)) &&
      (await this._runAttempts(call, sink, admitted, progress));
    progress.ticket?.settle();
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
      service: pickService(table, route, getStreamId(call)),
      account: payer,
      tokens,
      // The request may have arrived while this process did not run.
      deadlineAt: call.arrivedAt + limitMs - this._context.loopDelay.getDelayMs(call.arrivedAt),
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
    progress: ICallProgress,
  ): Promise<boolean> {
    const judged = { call, account: admitted.account?.name, route: admitted.route.name };
    const { clock, loopDelay } = this._context;
    for (;;) {
      if (loopDelay.getDelayMs(clock.now()) > 0) {
        await waitForPoll();
      }
      const now = clock.now();
      if (call.signal.aborted) {
        const sinceReadMs = Math.round(now - call.arrivedAt);
        const detail = { request: call.id, attempts: progress.attempts, sinceReadMs };
        this._context.log.info(describeAbort(call.signal), detail);
        return progress.mayHaveRun;
      }
      if (isWithdrawn(this._context.view, { ...judged, mayHaveRun: progress.mayHaveRun })) {
        this._finishUnanswered(call, sink, progress, 'withdrawn');
        return progress.mayHaveRun;
      }
      const standing = this._context.quarantine.getStanding(judged, now);
      if (standing.kind === 'quarantined') {
        this._finishQuarantined(call, sink, progress, standing);
        return progress.mayHaveRun;
      }
      const request = this._describeRequest(call, admitted);
      const choice = this._chooseTarget(call, admitted, request, standing, progress, now);
      if (choice.kind === 'none') {
        this._finishUnanswered(
          call,
          sink,
          progress,
          this._explainNoTarget(admitted, progress, now),
        );
        return progress.mayHaveRun;
      }
      if (choice.kind === 'closed') {
        this._context.hedging.recordShortage(admitted.service.name, now);
        if (await this._waitForTarget(call, sink, admitted, choice.target, progress, now)) {
          continue;
        }
        return progress.mayHaveRun;
      }
      if (choice.kind === 'stopping') {
        this._finishUnanswered(call, sink, progress, 'stopping');
        return progress.mayHaveRun;
      }
      const { placement, runMs } = choice;
      const assess = (at: number): TargetChoice =>
        this._chooseTarget(call, admitted, request, standing, progress, at);
      const admission = this._admission.admit(call, admitted, progress, choice, assess, now);
      const admittance = admission instanceof Promise ? await admission : admission;
      switch (admittance.kind) {
        case 'admitted':
          break;
        case 'waited':
          this._context.hedging.recordShortage(admitted.service.name, this._context.clock.now());
          continue;
        case 'stopping':
          this._finishUnanswered(call, sink, progress, 'stopping');
          return false;
        case 'refuse':
          this._context.hedging.recordShortage(admitted.service.name, this._context.clock.now());
          this._refuse(call, sink, 503, 'overloaded', admittance.retryAfterMs, admittance.detail);
          return false;
      }
      const race = new AttemptRace<T>(
        (member, reason) => this._startStandby(call, sink, admitted, progress, member, reason),
        (error) => {
          const reason = describeError(error);
          this._context.log.error('attempt failed', { request: call.id, reason });
        },
      );
      const plan = {
        request,
        standing,
        placement,
        runMs,
        hasFreeTarget: (at: number) => this._hasFreeTarget(assess(at), at),
      };
      const outcome = await race.run(() =>
        this._attempts.run(call, sink, admitted, plan, progress, race),
      );
      if (!this._shouldRetry(call, sink, admitted, outcome, progress)) {
        this._finish(call, sink, outcome, progress);
        return progress.mayHaveRun;
      }
      this._context.metrics.increment('gateway_repeats_total', { service: admitted.service.name });
    }
  }

  /** Finds the software version at which a stream that the client takes up must go on; false if it is refused. */
  private async _bindResumed(
    call: T,
    sink: IAnswerSink,
    { route, service, deadlineAt }: IAdmittedCall,
    { binding }: ICallProgress,
  ): Promise<boolean> {
    if (binding === undefined || call.resumeAfter === undefined) {
      return true;
    }
    const { clock, shutdown } = this._context;
    const now = clock.now();
    const timeoutMs = Math.min(route.latencyObjectiveMs, deadlineAt - now - MIN_ATTEMPT_MS);
    const reason = await runUntilAborted([call.signal, shutdown.signal], (signal) =>
      binding.resolve(timeoutMs, now, signal),
    );
    if (reason === undefined) {
      return true;
    }
    const detail = { service: service.name, resumes: call.resumes, why: reason };
    this._refuse(call, sink, 503, 'origin_unknown', ORIGIN_UNKNOWN_RETRY_AFTER_MS, detail);
    return false;
  }

  /** Whether a target was chosen that would begin with the request at once. */
  private _hasFreeTarget(choice: TargetChoice, now: number): boolean {
    if (choice.kind !== 'placed') {
      return false;
    }
    const { states, view } = this._context;
    const { target } = choice.placement;
    const open = states.ensure(target, now).open + view.getRemoteWork(target.id).open;
    return open < target.slots;
  }

  private _explainNoTarget(
    { service }: IAdmittedCall,
    { binding, tried, isCrowded }: ICallProgress,
    now: number,
  ): RefusalReason {
    if (isCrowded) {
      return 'overloaded';
    }
    const version = binding?.version;
    const { view, rollouts } = this._context;
    const targets = view.listTargets(service.name).filter((target) => !rollouts.isBarred(target));
    const isGone =
      version !== undefined &&
      tried.size === 0 &&
      now - this._startedAt >= TARGETS_KNOWN_MS &&
      targets.length > 0 &&
      !targets.some((target) => getSoftwareVersion(target) === version);
    return isGone ? 'version_gone' : 'no_target';
  }

  private _chooseTarget(
    call: T,
    { service, route, deadlineAt }: IAdmittedCall,
    request: IPlacementRequest,
    standing: QuarantineStanding,
    { tried, binding }: ICallProgress,
    now: number,
    requiredVersion?: string,
  ): TargetChoice {
    const isSuspect = standing.kind === 'suspect';
    const chosen = binding?.chooseVersions(now);
    const versions = chosen && { ...chosen, required: chosen.required ?? requiredVersion };
    const run = {
      route: route.name,
      outputTokens: getOutputTokens(call),
      isRepeatable: isRepeatable(route),
      deadlineAt,
    };
    const wanted = { service: service.name, requestId: call.id, request, tried };
    return this._selector.choose({ ...wanted, isSuspect, versions, run }, now);
  }

  /** Starts an attempt at another target beside one that is silent or takes unusually long; undefined if none takes the request now. */
  private _startStandby(
    call: T,
    sink: IAnswerSink,
    admitted: IAdmittedCall,
    progress: ICallProgress,
    race: IRaceMember<T>,
    reason: StandbyReason,
  ): Promise<AttemptOutcome> | undefined {
    const { quarantine, clock, budget, hedging, limits, metrics, view } = this._context;
    const { route, service, account } = admitted;
    const now = clock.now();
    const judged = { call, account: account?.name, route: route.name };
    const standing = quarantine.getStanding(judged, now);
    const mayStart =
      mayOverlap(standing) &&
      isRepeatable(route) &&
      progress.mayRepeat &&
      progress.unreachable <= MAX_UNREACHABLE_TARGETS &&
      this._mayTryAnother(call, sink, admitted, progress, now);
    if (!mayStart) {
      return undefined;
    }
    const request = this._describeRequest(call, admitted);
    // The record of an attempt that still runs must hold, so that no other version is tried beside it.
    const choice = this._chooseTarget(
      call,
      admitted,
      request,
      standing,
      progress,
      now,
      progress.attemptVersion,
    );
    switch (choice.kind) {
      case 'none':
      case 'stopping':
        return undefined;
      case 'closed':
        limits.recordLacking(choice.target);
        return undefined;
      case 'placed': {
        const isHedge = reason === 'hedge';
        const isSoon = choice.placement.expectedMs <= route.latencyObjectiveMs;
        if (isHedge && !(isSoon && hedging.trySpend(service.name, now))) {
          return undefined;
        }
        if (!budget.trySpend(service.name, view.entryCount, now)) {
          return undefined;
        }
        metrics.increment('gateway_repeats_total', { service: service.name });
        const { placement, runMs } = choice;
        const hasFreeTarget = (): boolean => false;
        const plan = { request, standing, placement, runMs, isHedge, hasFreeTarget };
        return this._attempts.run(call, sink, admitted, plan, progress, race);
      }
    }
  }

  /** Waits until a target may take the call that was closed at `now`; false if the call was ended instead. */
  private async _waitForTarget(
    call: T,
    sink: IAnswerSink,
    { route, account, deadlineAt }: IAdmittedCall,
    target: TargetRecord,
    progress: ICallProgress,
    now: number,
  ): Promise<boolean> {
    const { limits, states, shutdown } = this._context;
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
            signals: [call.signal, shutdown.signal],
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

  private _describeRequest(
    call: T,
    { table: admittedBy, account, route, service }: IAdmittedCall,
  ): IPlacementRequest {
    const { table = admittedBy } = this._context.view;
    return {
      parts: service.engine === undefined ? [] : call.parts,
      promptTokens: call.promptTokens ?? 0,
      outputTokens: call.lengthHint ?? call.outputTokens ?? 0,
      latencyObjectiveMs: route.latencyObjectiveMs,
      isolationKey: table.getIsolationKey(account?.name),
      isEngine: service.engine !== undefined,
      model: call.model,
      wantedVersion:
        call.model === undefined ? undefined : this._context.view.weights.getNewest(call.model),
    };
  }

  private _shouldRetry(
    call: T,
    sink: IAnswerSink,
    admitted: IAdmittedCall,
    outcome: RaceOutcome,
    progress: ICallProgress,
  ): boolean {
    const { route, service } = admitted;
    const { clock, budget, view } = this._context;
    const now = clock.now();
    switch (outcome.kind) {
      case 'answered':
      case 'ended':
      case 'stopping':
        return false;
      case 'not_run':
        if (outcome.isUnreachable) {
          return (
            progress.unreachable <= MAX_UNREACHABLE_TARGETS &&
            this._mayTryAnother(call, sink, admitted, progress, now)
          );
        }
        break;
      case 'unsent':
        return (
          outcome.reason === 'quarantined' ||
          ((progress.mayRepeat || !progress.mayHaveRun) &&
            this._mayGoOn(call, sink, admitted, progress, now))
        );
      case 'failed':
        if (!isRepeatable(route) || !progress.mayRepeat) {
          return false;
        }
        break;
    }
    return (
      this._mayTryAnother(call, sink, admitted, progress, now) &&
      budget.trySpend(service.name, view.entryCount, now)
    );
  }

  /** Whether the call has time and attempts left, and its response can go on at another target. */
  private _mayTryAnother(
    call: T,
    sink: IAnswerSink,
    admitted: IAdmittedCall,
    progress: ICallProgress,
    now: number,
  ): boolean {
    return (
      progress.attempts < admitted.route.maxAttempts &&
      this._mayGoOn(call, sink, admitted, progress, now)
    );
  }

  /** Whether the call has time left, and its response can go on at another target. */
  private _mayGoOn(
    call: T,
    sink: IAnswerSink,
    { route, deadlineAt }: IAdmittedCall,
    progress: ICallProgress,
    now: number,
  ): boolean {
    // Only an event stream can be resumed. Parts of other responses, also of errors, must never be concatenated.
    const canContinue =
      !sink.isStarted ||
      (route.kind === 'streaming' && progress.status === STREAM_STATUS && !progress.isUnnumbered);
    return canContinue && !call.signal.aborted && deadlineAt - now >= MIN_ATTEMPT_MS;
  }

  private _finish(call: T, sink: IAnswerSink, outcome: RaceOutcome, progress: ICallProgress): void {
    if (outcome.kind !== 'answered' && !call.signal.aborted && relayKept(sink, progress.kept)) {
      return;
    }
    switch (outcome.kind) {
      case 'answered':
        return;
      case 'ended':
        if (call.signal.aborted) {
          return;
        }
        if (this._context.shutdown.hasEnded) {
          this._finishUnanswered(call, sink, progress, 'stopping');
        } else if (sink.isStarted) {
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
      case 'unsent':
        this._finishUnanswered(call, sink, progress, 'not_run');
        return;
      case 'stopping':
        this._finishUnanswered(call, sink, progress, 'stopping');
    }
  }

  /** Ends a call that is quarantined, or whose prompt has quarantined parts. */
  private _finishQuarantined(
    call: T,
    sink: IAnswerSink,
    progress: ICallProgress,
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
    progress: ICallProgress,
    reason: RefusalReason,
  ): void {
    if (call.signal.aborted || relayKept(sink, progress.kept)) {
      return;
    }
    if (sink.isStarted) {
      this._cut(call, sink, reason, progress);
    } else if (progress.mayHaveRun) {
      this._refuse(call, sink, 502, 'failed', undefined);
    } else {
      this._refuse(call, sink, 503, reason, RETRY_AFTER_MS[reason] ?? TARGETS_BUSY_RETRY_AFTER_MS);
    }
  }

  /** Ends a response of which the client has received a part. */
  private _cut(
    call: T,
    sink: IAnswerSink,
    reason: RefusalReason,
    progress: ICallProgress,
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
