/** Simulated entry with the fair queue, retry budget and routing policies of the product. */
import { FairQueue, type IQueuedRequest } from '../../src/admission/FairQueue.js';
import { RetryBudget } from '../../src/admission/RetryBudget.js';
import type {
  IBusyReceipt,
  IRouteRequest,
  IRoutingPolicy,
  ITargetDecision,
  ITargetView,
} from '../../src/policy/Types.js';
import { REQUEST_TIMEOUT_MS, type IDeployment } from './Deployments.js';
import type { Engine, IEngineAnnouncement } from './Engine.js';
import type { EventQueue } from './EventQueue.js';
import type { Measures } from './Measures.js';
import type { ITailSample } from './Tail.js';
import type { IArrival } from './Workload.js';

/** Limit of dispatches that await their first token, for each engine; the entries share the sum. */
const MAX_PENDING_DISPATCHES_PER_ENGINE = 3;

/** Time after its last announcement at which a target counts as unhealthy. */
const ANNOUNCEMENT_TIMEOUT_MS = 2_000;

/** Backoff before a retry; long enough not to hit a crashed engine again at once. */
const RETRY_BACKOFF_MS = 20;

/** Time after which a request that found no usable target is queued again. */
const NO_TARGET_RETRY_INTERVAL_MS = 100;

const US_PER_MS = 1_000;

/** What an entry shares with the rest of the simulation. */
export interface IEntryContext {
  readonly entryIndex: number;
  readonly deployment: IDeployment;
  readonly events: EventQueue;
  readonly engines: readonly Engine[];
  readonly accountWeights: readonly number[];
  readonly measures: Measures;
  /** Requests that arrive before this time fill the caches; their latency is not recorded. */
  readonly warmupMs: number;
  /** Whether announcements contain used hot chunks in addition to evicted ones. */
  readonly hasUseNotices: boolean;
  /** Whether to record a sample of each measured request for the analysis of the tail. */
  readonly isTailExplained: boolean;
  /** Returns the one-way network latency between this entry and an engine. */
  readonly getHopLatencyMs: (engine: Engine) => number;
}

interface IOpenRequest {
  readonly arrival: IArrival;
  readonly route: IRouteRequest;
  hasFirstToken: boolean;
}

/** Counts prompt and output tokens, which the rate limit charges. */
export function countTokens(arrival: IArrival): number {
  return arrival.promptTokens + arrival.outputTokens;
}

/**
 * Queues admitted requests, dispatches them to the targets that the policy chooses and retries
 * failed ones. Knows the engines from announcements and answers only.
 */
export class Entry {
  public readonly policy: IRoutingPolicy;
  private readonly _context: IEntryContext;
  private readonly _queue = new FairQueue<IOpenRequest>();
  private readonly _retryBudget = new RetryBudget(0);
  private readonly _targets: ITargetView[];
  private readonly _announcedAt: number[];
  private readonly _maxPendingDispatches: number;
  private _pendingDispatches = 0;

  constructor(policy: IRoutingPolicy, context: IEntryContext) {
    this.policy = policy;
    this._context = context;
    const { engines, deployment } = context;
    this._targets = engines.map((engine) => this._createTargetView(engine));
    this._announcedAt = engines.map(() => 0);
    this._maxPendingDispatches = Math.ceil(
      (engines.length * MAX_PENDING_DISPATCHES_PER_ENGINE) / deployment.entries,
    );
  }

  /** Updates the view of a target from an announcement that arrives now. */
  public applyAnnouncement(engineIndex: number, report: IEngineAnnouncement, now: number): void {
    const current = this._targets[engineIndex];
    if (current === undefined) {
      return;
    }
    const { queued, running, freeBlocks, waitMs, incarnation } = report;
    const load = { queued, running, freeBlocks, waitMs, reportedAt: now };
    const target = { ...current, incarnation, healthy: true, load };
    if (incarnation !== current.incarnation) {
      this.policy.onTargetGone(current.id);
    }
    this._targets[engineIndex] = target;
    this._announcedAt[engineIndex] = now;
    this.policy.onEvicted(target, report.evictedChunks);
    if (this._context.hasUseNotices) {
      this.policy.onCached(target, report.usedHotChunks, now);
    }
  }

  /** Queues a request that the rate limit admitted. */
  public submit(arrival: IArrival, now: number): void {
    this._retryBudget.recordRequest(now);
    const route: IRouteRequest = {
      requestId: arrival.id,
      clientAccount: String(arrival.accountIndex),
      service: this._context.deployment.service,
      model: this._context.deployment.service,
      chain: arrival.chain,
      promptTokens: arrival.promptTokens,
      priority: arrival.priority,
      deadlineMs: arrival.at + REQUEST_TIMEOUT_MS,
    };
    this._enqueue({ arrival, route, hasFirstToken: false }, now);
  }

  private _enqueue(request: IOpenRequest, now: number): void {
    const queued: IQueuedRequest<IOpenRequest> = {
      requestId: request.route.requestId,
      clientAccount: request.route.clientAccount,
      weight: this._context.accountWeights[request.arrival.accountIndex] ?? 1,
      cost: countTokens(request.arrival),
      priority: request.route.priority,
      deadlineMs: request.route.deadlineMs,
      payload: request,
    };
    if (this._queue.enqueue(queued, now).kind === 'shed') {
      this._context.measures.recordWrongfulRefusal();
    }
    this._dispatchQueued(now);
  }

  private _dispatchQueued(now: number): void {
    for (const expired of this._queue.dropExpired(now)) {
      this._abortRequest(expired.payload);
    }
    while (this._pendingDispatches < this._maxPendingDispatches) {
      const next = this._queue.take(now);
      if (next === undefined) {
        return;
      }
      this._dispatch(next.payload, now);
    }
  }

  private _dispatch(request: IOpenRequest, now: number): void {
    this._expireTargets(now);
    const startedAt = performance.now();
    const decision = this.policy.choose(request.route, this._targets, now);
    const elapsedMs = performance.now() - startedAt;
    this._context.measures.recordDecisionTime(elapsedMs * US_PER_MS);
    if (decision.kind === 'none') {
      this._context.events.schedule(now + NO_TARGET_RETRY_INTERVAL_MS, (at) => {
        this._enqueue(request, at);
      });
      return;
    }
    this._send(request, decision, now);
  }

  private _send(request: IOpenRequest, decision: ITargetDecision, now: number): void {
    const { engines, getHopLatencyMs, events } = this._context;
    const engine = engines.find((item) => item.id === decision.target.id);
    if (engine === undefined) {
      throw new Error(`the policy chose ${decision.target.id}, which does not exist`);
    }
    const { requestId, chain, promptTokens, priority } = request.route;
    const hopLatencyMs = getHopLatencyMs(engine);
    let ttftMs = 0;
    const fleetSample = this._context.isTailExplained
      ? this._sampleFleet(request, engine, now)
      : undefined;
    this._pendingDispatches += 1;
    this.policy.onDispatched(request.route, decision.target, now);
    const job = {
      chain,
      promptTokens,
      outputTokens: request.arrival.outputTokens,
      priority,
      incarnation: decision.target.incarnation,
      senderIndex: this._context.entryIndex,
      sentAt: now,
      maxTtftMs: decision.maxTtftMs,
      onBusy: (receipt: IBusyReceipt, at: number) => {
        events.schedule(at + hopLatencyMs, (arrivedAt) => {
          this._pendingDispatches -= 1;
          this._context.measures.recordBusyRefusal();
          this.policy.onBusy(requestId, receipt, arrivedAt);
          this._dispatch(request, arrivedAt);
        });
      },
      onFirstToken: (at: number) => {
        events.schedule(at + hopLatencyMs, (arrivedAt) => {
          ttftMs = arrivedAt - now;
          this._handleFirstToken(request, decision, ttftMs, arrivedAt);
          if (fleetSample !== undefined && request.arrival.at >= this._context.warmupMs) {
            const sinceArrivalMs = arrivedAt - request.arrival.at;
            this._context.measures.recordTailSample({ ...fleetSample, ttftMs: sinceArrivalMs });
          }
        });
      },
      onCompleted: (cachedPromptTokens: number, at: number) => {
        const loadAtEnd = engine.getLoad(at);
        events.schedule(at + hopLatencyMs, (arrivedAt) => {
          const load = { ...loadAtEnd, reportedAt: arrivedAt };
          const answer = { cachedPromptTokens, ttftMs, load };
          this.policy.onAnswered(requestId, answer, arrivedAt);
          this._finish(request, arrivedAt);
        });
      },
      onFailed: (at: number) => {
        events.schedule(at + hopLatencyMs, (arrivedAt) => {
          this._handleFailure(request, decision.target.id, arrivedAt);
        });
      },
    };
    engine.send(job, hopLatencyMs, now);
  }

  /** Records the exact state of the fleet at a dispatch, to explain slow requests. */
  private _sampleFleet(
    request: IOpenRequest,
    chosen: Engine,
    now: number,
  ): Omit<ITailSample, 'ttftMs'> {
    const { chain, promptTokens } = request.route;
    const { entryIndex, engines } = this._context;
    const { waitMs, unseenMs } = chosen.computeWait(entryIndex, now);
    const prefillMs = chosen.computeTtft(chain, promptTokens, now) - waitMs;
    const up = engines.filter((engine) => engine.isUp);
    const bestEngineMs = Math.min(
      ...up.map((engine) => engine.computeTtft(chain, promptTokens, now)),
    );
    return {
      entryWaitMs: now - request.arrival.at,
      engineWaitMs: waitMs,
      unseenWaitMs: unseenMs,
      prefillMs,
      bestEngineMs,
    };
  }

  private _handleFirstToken(
    request: IOpenRequest,
    decision: ITargetDecision,
    ttftMs: number,
    now: number,
  ): void {
    this._pendingDispatches -= 1;
    request.hasFirstToken = true;
    this.policy.onFirstToken(request.route.requestId, now);
    if (request.arrival.at >= this._context.warmupMs) {
      this._context.measures.recordTtft(now - request.arrival.at);
      this._context.measures.recordEstimate(decision.estimatedTtftMs, ttftMs);
    }
    this._dispatchQueued(now);
  }

  private _finish(request: IOpenRequest, now: number): void {
    if (now <= request.route.deadlineMs) {
      this._context.measures.recordServed(
        request.arrival.accountIndex,
        countTokens(request.arrival),
      );
    } else {
      this._context.measures.recordFailure();
    }
    this._dispatchQueued(now);
  }

  /** Retries a failed dispatch if no token has arrived yet and the retry budget allows it. */
  private _handleFailure(request: IOpenRequest, targetId: string, now: number): void {
    this.policy.onFailed(request.route.requestId, now);
    this._markUnhealthy(targetId);
    if (request.hasFirstToken) {
      this._context.measures.recordFailure();
      return;
    }
    this._pendingDispatches -= 1;
    if (this._retryBudget.trySpend(now)) {
      this._context.measures.recordRetry();
      this._context.events.schedule(now + RETRY_BACKOFF_MS, (at) => {
        this._enqueue(request, at);
      });
    } else {
      this._abortRequest(request);
    }
    this._dispatchQueued(now);
  }

  /** Records a wrongful refusal for a request that expired in the queue or may not be retried. */
  private _abortRequest(request: IOpenRequest): void {
    this._context.measures.recordWrongfulRefusal();
    if (request.hasFirstToken) {
      throw new Error(`request ${request.route.requestId} was aborted after its first token`);
    }
  }

  /** Excludes a target until its next announcement. */
  private _markUnhealthy(targetId: string): void {
    const position = this._targets.findIndex((target) => target.id === targetId);
    const current = this._targets[position];
    if (current !== undefined) {
      this._targets[position] = { ...current, healthy: false };
    }
  }

  /** Marks targets whose announcements are overdue as unhealthy. */
  private _expireTargets(now: number): void {
    for (const [position, target] of this._targets.entries()) {
      const ageMs = now - (this._announcedAt[position] ?? 0);
      if (ageMs > ANNOUNCEMENT_TIMEOUT_MS && target.healthy) {
        this._targets[position] = { ...target, healthy: false };
      }
    }
  }

  private _createTargetView(engine: Engine): ITargetView {
    return {
      id: engine.id,
      dataCentre: engine.dataCentre,
      incarnation: engine.incarnation,
      weightsVersion: 'w1',
      load: undefined,
      draining: false,
      healthy: true,
    };
  }
}
