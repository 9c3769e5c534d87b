/** Runs one attempt of a call at a target, and records what its end tells of the target. */
import { randomUUID } from 'node:crypto';
import { getHeldVersion } from '../fleet/HeldWeights.js';
import { getSoftwareVersion } from '../fleet/SoftwareVersions.js';
import type { IRoute } from '../fleet/Types.js';
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import { limitTimerMs } from '../common/Tasks.js';
import { isMechanismDisabled } from '../common/TestSwitches.js';
import { Attempt, type AttemptOutcome, type ITargetNotice } from './Attempt.js';
import type { IRaceMember } from './AttemptRace.js';
import {
  getOutputTokens,
  getPriority,
  isRepeatable,
  type IAdmittedCall,
  type ICallContext,
  type ICallProgress,
  type IPlannedAttempt,
} from './CallTypes.js';
import type { IJudgedRequest } from './CrashQuarantine.js';
import { GoneTargets } from './GoneTargets.js';
import { formatCacheScope, type IPlacement } from './Placement.js';
import type { IPlacementRequest } from './PlacementRequest.js';
import type { PromptSource } from './PromptSources.js';
import { describeEvidence } from './RolloutEvidence.js';
import { explainUnsent } from './SendCheck.js';
import type { StoreIndex } from './StoreIndex.js';
import { getStreamId } from './StreamBinding.js';
import {
  LONG_STREAM_TOKENS,
  recordBusy,
  recordFailure,
  recordPause,
  recordUnreachable,
  type ITargetState,
} from './TargetStates.js';
import type { IAnswerSink, ICall, IDispatch, RateLimitNotice } from './Types.js';

/** Shared prompt parts with fewer tokens in total are not sent to the store: a fetch would not pay off. */
const MIN_STORED_TOKENS = 50;

const MIN_ERROR_STATUS = 300;
const MIN_SERVER_ERROR_STATUS = 500;

/** Prompt parts that a log line names at most. */
const MAX_LOGGED_PARTS = 8;

/** Runs attempts. Those that would crash their target are cancelled once the request is quarantined. */
export class AttemptRunner<T extends ICall> {
  private readonly _running = new Map<Attempt<T>, IJudgedRequest>();
  /** Probes that have not ended, by target and its start time. */
  private readonly _probes = new Map<string, Promise<boolean>>();

  private readonly _gone: GoneTargets;

  constructor(private readonly _context: ICallContext<T>) {
    this._gone = new GoneTargets(_context);
    _context.quarantine.onChange((now) => {
      this._cancelQuarantined(now);
    });
  }

  /** Sends the call to a target and relays the response; resolves when the attempt has ended. */
  public async run(
    call: T,
    sink: IAnswerSink,
    admitted: IAdmittedCall,
    { request, standing, placement, runMs, hasFreeTarget, isHedge = false }: IPlannedAttempt,
    progress: ICallProgress,
    race: IRaceMember<T>,
  ): Promise<AttemptOutcome> {
    const { clock, states, limits, quarantine, log, placement: placements } = this._context;
    const { hedging, metrics, rollouts } = this._context;
    const { target } = placement;
    const { route, account, service } = admitted;
    const judged = { call, account: account?.name, route: route.name };
    progress.tried.add(target.id);
    progress.attempts += 1;
    const number = progress.attempts;
    const state = states.ensure(target, clock.now());
    const startedAt = clock.now();
    const permit = limits.take(target, startedAt);
    const { mayHaveRun } = progress;
    const { isolationKey } = request;
    const pending = { ...judged, mayHaveRun, target, permit, isolationKey, chosenAt: startedAt };
    rollouts.recordSent(target);
    const { binding } = progress;
    progress.attemptVersion = getSoftwareVersion(target);
    const ended = new AbortController();
    const attempt = new Attempt<T>(this._context, call, sink, {
      target,
      state,
      route,
      deadlineAt: admitted.deadlineAt,
      runMs,
      beginBy: startedAt + placement.weightsUsableMs,
      position: progress,
      explainUnsent: (at) => explainUnsent(this._context, pending, at),
      hasFreeTarget,
      pendingTokens: Math.round(placement.missedTokens + (call.parts.at(-1)?.tokens ?? 0)),
      expectedMs: placement.expectedMs,
      isLongStream: request.isEngine && request.outputTokens > LONG_STREAM_TOKENS,
      mayReplaceError: (status) =>
        status >= MIN_SERVER_ERROR_STATUS && route.kind === 'safe' && number < route.maxAttempts,
      isContested: () => race.isContested,
      onDeferred: () => {
        race.handleDeferred();
      },
      recorded: binding?.recordAttempt(target, startedAt, ended.signal),
      onRelay: () => {
        race.handleRelay(attempt);
        binding?.bind(target, clock.now());
      },
      onSilent: () => {
        race.handleSilence();
        if (progress.kept !== undefined || !isRepeatable(route)) {
          void this._endIfGone(attempt, target);
        }
      },
      onNotice: (notice, sentAt) => {
        this._recordRateLimit(call, target, notice.rateLimit, sentAt);
        this._recordWish(call, target, state, notice);
      },
      onSettled: (at) => {
        quarantine.recordSettled(judged, at);
      },
      onFirstByte: (at) => {
        progress.ticket?.settle();
        placements.recordReading(request, target, at);
        const isSuccess = (attempt.status ?? 0) < MIN_ERROR_STATUS && !attempt.hasResumed;
        if (isSuccess) {
          hedging.recordTime(service.name, placement.expectedMs, at - startedAt);
          metrics.observe(
            'gateway_model_ratio_percent',
            (100 * (at - startedAt)) / Math.max(1, placement.expectedMs),
            { service: service.name },
          );
        }
        placements.recordFirstByte(placement, state, at - startedAt, isSuccess, at);
        if (!isErrorStatus(attempt.status)) {
          const timing = { firstMs: at - startedAt, expectedMs: placement.modelMs };
          rollouts.recordAnswer(target, route.name, { result: 'good', ...timing });
        }
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
    race.handleStart(attempt);
    const hedgeTimer = this._startHedgeTimer(attempt, admitted, placement, race);
    let outcome: AttemptOutcome;
    try {
      outcome = await attempt.run();
    } finally {
      clearTimeout(hedgeTimer);
      this._running.delete(attempt);
      race.handleEnd(attempt);
      ended.abort();
      state.suspects -= suspects;
    }
    const now = clock.now();
    switch (outcome.kind) {
      case 'stopping':
        break;
      case 'not_run':
        if (outcome.isUnreachable) {
          progress.attempts -= 1;
          progress.unreachable += 1;
        }
        break;
      case 'answered':
        this._recordResponseTime(call, route, request, placement, attempt, now - startedAt);
        if (request.isEngine && attempt.firstByteAt !== undefined) {
          placements.recordRun(service.name, now - attempt.firstByteAt);
        }
        progress.mayHaveRun = true;
        break;
      case 'unsent':
        progress.attempts -= 1;
        // The target may take the request after all, for example with the weights that it has loaded meanwhile.
        if (outcome.reason === 'no_connection') {
          progress.isCrowded = true;
        } else {
          progress.tried.delete(target.id);
        }
        break;
      case 'failed':
        progress.mayHaveRun = true;
        progress.kept = outcome.answer ?? progress.kept;
        break;
      case 'ended':
      case 'withdrawn':
        progress.mayHaveRun ||= attempt.wasSent;
    }
    if (outcome.kind === 'withdrawn' && !attempt.hasFirstByte) {
      hedging.recordTime(service.name, placement.expectedMs, now - startedAt);
    }
    if (isHedge) {
      const result = outcome.kind === 'answered' ? 'won' : 'lost';
      metrics.increment('gateway_hedges_total', { service: service.name, result });
    }
    log.info('attempt ended', {
      request: call.id,
      route: route.name,
      target: target.id,
      software: target.softwareVersion,
      stream: binding && getStreamId(call),
      attempt: number,
      isHedge: isHedge || undefined,
      outcome: outcome.kind,
      reason: outcome.kind === 'answered' ? undefined : outcome.reason,
      status: attempt.status,
      // What requests that broke with their target have in common.
      content: outcome.kind === 'failed' ? formatHash(call.hashContent()) : undefined,
      sharedParts: outcome.kind === 'failed' ? formatSharedParts(call) : undefined,
      rateLimit: formatRateLimit(attempt.rateLimit),
      framing: attempt.framing,
      lastEvent: progress.lastEventId,
      incompleteBytes: attempt.incompleteBytes,
      expectedMs: Math.round(placement.expectedMs),
      modelMs: Math.round(placement.modelMs),
      missedTokens: Math.round(placement.missedTokens),
      source: formatSource(placement.source),
      open: state.open,
      load: attempt.load && `${attempt.load.running}+${attempt.load.waiting}`,
      waitMs: attempt.waitMs && Math.round(attempt.waitMs),
      firstMs: attempt.firstByteAt && Math.round(attempt.firstByteAt - startedAt),
      longestGapMs: Math.round(attempt.longestGapMs),
      totalMs: Math.round(now - startedAt),
      version: admitted.table.version,
      viewAgeMs: Math.round(now - this._context.view.hubAnsweredAt),
    });
    this._recordOutcome(target, outcome, now);
    if (rollouts.isComparing(target.service)) {
      const { status } = attempt;
      const hasFirstByte = attempt.hasFirstByte && !isErrorStatus(status);
      const { modelMs: expectedMs } = placement;
      void describeEvidence(
        { outcome, status, hasFirstByte, totalMs: now - startedAt, expectedMs },
        () => this._probe(target),
      ).then((answer) => {
        if (answer !== undefined) {
          rollouts.recordAnswer(target, route.name, answer);
        }
      });
    }
    if (outcome.kind === 'answered' && attempt.isSettled) {
      quarantine.recordAnswered(judged, now);
    }
    if (outcome.kind === 'failed' && outcome.isBroken === true) {
      await this._checkCrash(judged, target, number, progress);
    }
    return outcome;
  }

  /** Has a further target tried once the attempt has taken unusually long; undefined if it never is. */
  private _startHedgeTimer(
    attempt: Attempt<T>,
    { route, service }: IAdmittedCall,
    { expectedMs }: IPlacement,
    race: IRaceMember<T>,
  ): NodeJS.Timeout | undefined {
    const delayMs = isRepeatable(route)
      ? this._context.hedging.getDelayMs(service.name, expectedMs)
      : undefined;
    return delayMs === undefined
      ? undefined
      : setTimeout(() => {
          race.handleOverdue(attempt);
        }, limitTimerMs(delayMs));
  }

  /** Records how long a complete response took; one that resumed a stream has only a part of its tokens. */
  private _recordResponseTime(
    call: T,
    route: IRoute,
    request: IPlacementRequest,
    { expectedMs }: IPlacement,
    { status, waitMs = 0, hasResumed }: Attempt<T>,
    totalMs: number,
  ): void {
    if (status === undefined || status >= MIN_ERROR_STATUS || hasResumed) {
      return;
    }
    const expectedFirstMs = request.isEngine ? expectedMs : 0;
    const size = { route: route.name, outputTokens: getOutputTokens(call), expectedFirstMs };
    this._context.responseTimes.record(size, totalMs - waitMs);
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
      const standing = this._context.quarantine.getStanding(judged, now, false);
      // A part crashes a target before its response has settled, a request may do so later.
      if (standing.kind === 'quarantined' && (standing.isRepetition || !attempt.isSettled)) {
        attempt.cancelQuarantined();
      }
    }
  }

  /** Ends an attempt that has no byte yet and gets none, so that its client need not wait for the deadline. */
  private async _endIfGone(attempt: Attempt<T>, target: TargetRecord): Promise<void> {
    const isGone = !attempt.hasFirstByte && (await this._gone.isGone(target));
    if (isGone && attempt.firstByteAt === undefined) {
      attempt.cancel('the target is gone');
    }
  }

  /** Reports a request that is not known to be sound if its target has ended. */
  private async _checkCrash(
    judged: IJudgedRequest,
    target: TargetRecord,
    attempt: number,
    progress: ICallProgress,
  ): Promise<void> {
    const { quarantine, clock, states, node, log, metrics } = this._context;
    TEST_ONLY: if (isMechanismDisabled('prompt-quarantine')) return;
    if (!quarantine.isUnproven(judged, clock.now()) || (await this._probe(target))) {
      return;
    }
    const now = clock.now();
    const standing = quarantine.getStanding(judged, now, false);
    const { call } = judged;
    // A further crash by the same part must not come from a repetition.
    progress.mayRepeat = standing.kind === 'clear';
    recordUnreachable(states.ensure(target, now), now);
    quarantine.recordCrash(judged, attempt, target, now);
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
}

/**
 * Cache fields of a dispatch. Prompt parts computed with other weights must never be found, also not after
 * a transfer. The scope therefore contains the weights version, and the target must still hold it. The version is not known
 * if the request names no model, or the target announced none of that name.
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
      // Without a scope an engine shares its parts with all. One of its own shares them with none.
      cacheScope: request.isEngine ? `none/${randomUUID()}` : undefined,
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

function isErrorStatus(status: number | undefined): boolean {
  return status !== undefined && status >= MIN_ERROR_STATUS;
}

/** Formats a hash for the log. */
export function formatHash(hash: number): string {
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
