/** One entry of the bench: admission, fair queue, routing, retries. */
import { FairQueue, type IQueuedRequest } from '../../src/admission/FairQueue.js';
import { RetryBudget } from '../../src/admission/RetryBudget.js';
import type {
  IBusyReceipt,
  IRouteRequest,
  IRoutingPolicy,
  ITargetDecision,
  ITargetView,
} from '../../src/policy/Types.js';
import { REQUEST_DEADLINE_MS, type IDeployment } from './Deployments.js';
import type { Engine, IEngineReport } from './Engine.js';
import type { EventQueue } from './EventQueue.js';
import type { Measures } from './Measures.js';
import type { ITailSample } from './Tail.js';
import type { IArrival } from './Workload.js';

/** Dispatches without a first token, for each engine of the fleet. */
const WAITING_PER_ENGINE = 3;

/** Time after the last announcement until a target counts as gone. */
const ANNOUNCEMENT_LIMIT_MS = 2_000;

/** Pause before a retry; long enough not to hit a crashed engine again at once. */
const RETRY_PAUSE_MS = 20;

/** Time until a request without a usable target is tried again. */
const NO_TARGET_PAUSE_MS = 100;

const MICROSECONDS_PER_MS = 1_000;

export interface IEntryContext {
  /** Number of this entry. */
  readonly number: number;
  readonly deployment: IDeployment;
  readonly events: EventQueue;
  readonly engines: readonly Engine[];
  readonly weights: readonly number[];
  readonly measures: Measures;
  /** Arrivals before this time warm the caches and are not measured. */
  readonly warmupMs: number;
  /** Whether announcements carry used chunks besides evicted ones. */
  readonly hasUseNotices: boolean;
  readonly isTailExplained: boolean;
  /** One-way hop in milliseconds. */
  readonly hopOf: (engine: Engine) => number;
}

interface IOpenRequest {
  readonly arrival: IArrival;
  readonly route: IRouteRequest;
  hasFirstToken: boolean;
}

export function countTokens(arrival: IArrival): number {
  return arrival.promptTokens + arrival.outputTokens;
}

export class Entry {
  public readonly policy: IRoutingPolicy;
  private readonly _context: IEntryContext;
  private readonly _queue = new FairQueue<IOpenRequest>();
  private readonly _budget = new RetryBudget(0);
  private readonly _targets: ITargetView[];
  private readonly _announcedAt: number[];
  private readonly _maxWaiting: number;
  private _waiting = 0;

  constructor(policy: IRoutingPolicy, context: IEntryContext) {
    this.policy = policy;
    this._context = context;
    const { engines, deployment } = context;
    this._targets = engines.map((engine) => this._createView(engine));
    this._announcedAt = engines.map(() => 0);
    this._maxWaiting = Math.ceil((engines.length * WAITING_PER_ENGINE) / deployment.entries);
  }

  /** Takes over an announcement that arrives now. */
  public announce(position: number, report: IEngineReport, now: number): void {
    const known = this._targets[position];
    if (known === undefined) {
      return;
    }
    const { queued, running, freeBlocks, waitMs, incarnation } = report;
    const load = { queued, running, freeBlocks, waitMs, reportedAt: now };
    const target = { ...known, incarnation, healthy: true, load };
    if (incarnation !== known.incarnation) {
      this.policy.onTargetGone(known.id);
    }
    this._targets[position] = target;
    this._announcedAt[position] = now;
    this.policy.onEvicted(target, report.evicted);
    if (this._context.hasUseNotices) {
      this.policy.onCached(target, report.used, now);
    }
  }

  /** A request that was admitted. */
  public submit(arrival: IArrival, now: number): void {
    this._budget.recordRequest(now);
    const route: IRouteRequest = {
      requestId: arrival.id,
      clientAccount: String(arrival.account),
      service: this._context.deployment.service,
      model: this._context.deployment.service,
      chain: arrival.chain,
      promptTokens: arrival.promptTokens,
      priority: arrival.priority,
      deadlineMs: arrival.at + REQUEST_DEADLINE_MS,
    };
    this._enqueue({ arrival, route, hasFirstToken: false }, now);
  }

  private _enqueue(request: IOpenRequest, now: number): void {
    const queued: IQueuedRequest<IOpenRequest> = {
      requestId: request.route.requestId,
      clientAccount: request.route.clientAccount,
      weight: this._context.weights[request.arrival.account] ?? 1,
      cost: countTokens(request.arrival),
      priority: request.route.priority,
      deadlineMs: request.route.deadlineMs,
      payload: request,
    };
    if (this._queue.enqueue(queued, now).kind === 'shed') {
      this._context.measures.recordWrongfulRefusal();
    }
    this._drain(now);
  }

  private _drain(now: number): void {
    for (const expired of this._queue.dropExpired(now)) {
      this._giveUp(expired.payload);
    }
    while (this._waiting < this._maxWaiting) {
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
    this._context.measures.recordDecision(elapsedMs * MICROSECONDS_PER_MS);
    if (decision.kind === 'none') {
      this._context.events.schedule(now + NO_TARGET_PAUSE_MS, (at) => {
        this._enqueue(request, at);
      });
      return;
    }
    this._send(request, decision, now);
  }

  private _send(request: IOpenRequest, decision: ITargetDecision, now: number): void {
    const { engines, hopOf, events } = this._context;
    const engine = engines.find((item) => item.id === decision.target.id);
    if (engine === undefined) {
      throw new Error(`the policy chose ${decision.target.id}, which does not exist`);
    }
    const { requestId, chain, promptTokens, priority } = request.route;
    const hopMs = hopOf(engine);
    let ttftMs = 0;
    const knowledge = this._context.isTailExplained
      ? this._sampleFleet(request, engine, now)
      : undefined;
    this._waiting += 1;
    this.policy.onDispatched(request.route, decision.target, now);
    const job = {
      chain,
      promptTokens,
      outputTokens: request.arrival.outputTokens,
      priority,
      incarnation: decision.target.incarnation,
      sender: this._context.number,
      sentAt: now,
      maxTtftMs: decision.maxTtftMs,
      onBusy: (receipt: IBusyReceipt, at: number) => {
        events.schedule(at + hopMs, (arrivedAt) => {
          this._waiting -= 1;
          this._context.measures.recordBusy();
          this.policy.onBusy(requestId, receipt, arrivedAt);
          this._dispatch(request, arrivedAt);
        });
      },
      onFirstToken: (at: number) => {
        events.schedule(at + hopMs, (arrivedAt) => {
          ttftMs = arrivedAt - now;
          this._acceptFirstToken(request, decision, ttftMs, arrivedAt);
          if (knowledge !== undefined && request.arrival.at >= this._context.warmupMs) {
            const sinceArrivalMs = arrivedAt - request.arrival.at;
            this._context.measures.recordTail({ ...knowledge, ttftMs: sinceArrivalMs });
          }
        });
      },
      onDone: (cachedPromptTokens: number, at: number) => {
        const reported = engine.getLoad(at);
        events.schedule(at + hopMs, (arrivedAt) => {
          const load = { ...reported, reportedAt: arrivedAt };
          const answer = { cachedPromptTokens, ttftMs, load };
          this.policy.onAnswered(requestId, answer, arrivedAt);
          this._finish(request, arrivedAt);
        });
      },
      onFailed: (at: number) => {
        events.schedule(at + hopMs, (arrivedAt) => {
          this._recover(request, decision.target.id, arrivedAt);
        });
      },
    };
    engine.send(job, hopMs, now);
  }

  /** Exact state of the fleet at a dispatch. */
  private _sampleFleet(
    request: IOpenRequest,
    chosen: Engine,
    now: number,
  ): Omit<ITailSample, 'ttftMs'> {
    const { chain, promptTokens } = request.route;
    const { number, engines } = this._context;
    const { waitMs, unseenMs } = chosen.computeWait(number, now);
    const prefillMs = chosen.computeTtft(chain, promptTokens, now) - waitMs;
    const up = engines.filter((engine) => engine.isUp);
    const bestMs = Math.min(...up.map((engine) => engine.computeTtft(chain, promptTokens, now)));
    return { heldMs: now - request.arrival.at, waitMs, unseenMs, prefillMs, bestMs };
  }

  private _acceptFirstToken(
    request: IOpenRequest,
    decision: ITargetDecision,
    ttftMs: number,
    now: number,
  ): void {
    this._waiting -= 1;
    request.hasFirstToken = true;
    this.policy.onFirstToken(request.route.requestId, now);
    if (request.arrival.at >= this._context.warmupMs) {
      this._context.measures.recordTtft(now - request.arrival.at);
      this._context.measures.recordEstimate(decision.estimatedTtftMs, ttftMs);
    }
    this._drain(now);
  }

  private _finish(request: IOpenRequest, now: number): void {
    if (now <= request.route.deadlineMs) {
      this._context.measures.recordServed(request.arrival.account, countTokens(request.arrival));
    } else {
      this._context.measures.recordFailed();
    }
    this._drain(now);
  }

  /** Retries a failed dispatch if nothing was relayed yet and the budget allows it. */
  private _recover(request: IOpenRequest, targetId: string, now: number): void {
    this.policy.onFailed(request.route.requestId, now);
    this._markUnhealthy(targetId);
    if (request.hasFirstToken) {
      this._context.measures.recordFailed();
      return;
    }
    this._waiting -= 1;
    if (this._budget.trySpend(now)) {
      this._context.measures.recordRetry();
      this._context.events.schedule(now + RETRY_PAUSE_MS, (at) => {
        this._enqueue(request, at);
      });
    } else {
      this._giveUp(request);
    }
    this._drain(now);
  }

  private _giveUp(request: IOpenRequest): void {
    this._context.measures.recordWrongfulRefusal();
    if (request.hasFirstToken) {
      throw new Error(`request ${request.route.requestId} was given up after its first token`);
    }
  }

  /** Until the next announcement. */
  private _markUnhealthy(targetId: string): void {
    const position = this._targets.findIndex((target) => target.id === targetId);
    const known = this._targets[position];
    if (known !== undefined) {
      this._targets[position] = { ...known, healthy: false };
    }
  }

  private _expireTargets(now: number): void {
    for (const [position, target] of this._targets.entries()) {
      const age = now - (this._announcedAt[position] ?? 0);
      if (age > ANNOUNCEMENT_LIMIT_MS && target.healthy) {
        this._targets[position] = { ...target, healthy: false };
      }
    }
  }

  private _createView(engine: Engine): ITargetView {
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
