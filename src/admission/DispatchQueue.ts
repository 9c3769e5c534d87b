/** Limits the dispatches in progress for each service; further requests wait in a fair queue. */
import type { IClock } from '../common/Clock.js';
import type { IDisposable } from '../common/Lifecycle.js';
import { Err, Ok, type IFailure, type Result } from '../common/Result.js';
import { FairQueue, type IFairQueueLimits, type IQueuedRequest } from './FairQueue.js';

/**
 * Requests that a target may have at a time, running and queued. At the planned peak an engine generates
 * about 143 responses at once (13.6 requests/s of 329 tokens at 32 ms each); the remainder is queued.
 */
const MAX_REQUESTS_PER_TARGET = 256;

/** Requests per target that this entry may always dispatch, so that other entries can't starve it. */
const MIN_REQUESTS_PER_TARGET = 4;

/** `Retry-After` of a request whose deadline passed in the queue. */
const EXPIRED_RETRY_AFTER_MS = 1_000;

/** Lifetime of the summed loads, so that a large roster is not read for each request. */
const LOAD_CACHE_TTL_MS = 50;

/** A request that is about to be dispatched. */
export type IDispatchRequest = Omit<IQueuedRequest<unknown>, 'payload'> & {
  readonly service: string;
};

export type QueueFailure =
  (IFailure<'overloaded'> & { readonly retryAfterMs: number }) | IFailure<'aborted'>;

/** Requests running and queued at a target, from its last report. */
export interface IReportedLoad {
  readonly target: string;
  readonly load: number;
}

export interface IDispatchQueueOptions {
  /** Lists the reported loads of the service's targets. */
  readonly listLoads: (service: string, now: number) => readonly IReportedLoad[];
  readonly maxRequestsPerTarget?: number;
  readonly limits?: Partial<IFairQueueLimits>;
}

interface IWaiter {
  readonly resolve: (result: Result<IDisposable, QueueFailure>) => void;
}

/** This entry's dispatches of the service at the last two reports of a target. */
interface ITargetReport {
  readonly ownDispatches: number;
  readonly previousOwnDispatches: number;
}

/** Queue, dispatch slots and cached loads of one service. */
interface IServiceState {
  readonly queue: FairQueue<IWaiter>;
  readonly reports: Map<string, ITargetReport>;
  inProgressCount: number;
  targetCount: number;
  /** Estimated load that other entries put on the targets. */
  otherEntriesLoad: number;
  loadsReadAt: number;
}

/**
 * Issues dispatch slots for the targets of a service. The bound of a service is
 * `MAX_REQUESTS_PER_TARGET` for each target, less the load that other entries put on the targets: the
 * reported load less this entry's own dispatches that it includes. Reports lag by up to one announcement
 * interval, so the own dispatches are taken as the higher count at the last two reports.
 *
 * @example
 * const slot = await queue.acquire(request, signal);
 * if (slot.ok) try { await dispatch(); } finally { slot.val.dispose(); }
 */
export class DispatchQueue {
  private readonly _services = new Map<string, IServiceState>();

  constructor(
    private readonly _clock: IClock,
    private readonly _options: IDispatchQueueOptions,
  ) {}

  /** Number of waiting requests, over all services. */
  public get waitingCount(): number {
    return [...this._services.values()].reduce((sum, { queue }) => sum + queue.size, 0);
  }

  /** Number of dispatch slots in use, over all services. */
  public get inProgressCount(): number {
    return [...this._services.values()].reduce((sum, state) => sum + state.inProgressCount, 0);
  }

  /**
   * Waits for a dispatch slot, which the caller disposes of after the dispatch. Refuses at once when the queue
   * is full or the request is expected to miss its deadline.
   */
  public async acquire(
    request: IDispatchRequest,
    signal: AbortSignal,
  ): Promise<Result<IDisposable, QueueFailure>> {
    const state = this._ensureService(request.service);
    const now = this._clock.now();
    if (signal.aborted) {
      return Err(createAbortedFailure());
    }
    if (state.queue.size === 0 && this._hasCapacity(request.service, state, now)) {
      return Ok(this._issueDispatchSlot(request.service, state));
    }
    return this._wait(request, state, signal);
  }

  /** Records that a target of the service has reported or is gone, and serves waiting requests. */
  public handleTargetReport(service: string, target: string, isGone = false): void {
    const state = this._ensureService(service);
    if (isGone) {
      state.reports.delete(target);
    } else {
      const previousOwnDispatches = state.reports.get(target)?.ownDispatches ?? 0;
      state.reports.set(target, { ownDispatches: state.inProgressCount, previousOwnDispatches });
    }
    if (state.queue.size > 0) {
      state.loadsReadAt = -Infinity;
      this._serveWaiting(service, state);
    }
  }

  private _serveWaiting(service: string, state: IServiceState): void {
    const now = this._clock.now();
    for (const { payload } of state.queue.dropExpired(now)) {
      payload.resolve(Err(createOverloadedFailure(EXPIRED_RETRY_AFTER_MS)));
    }
    while (state.inProgressCount < this._computeBound(service, state, now)) {
      const next = state.queue.take(now);
      if (next === undefined) {
        return;
      }
      next.payload.resolve(Ok(this._issueDispatchSlot(service, state)));
    }
  }

  private async _wait(
    request: IDispatchRequest,
    state: IServiceState,
    signal: AbortSignal,
  ): Promise<Result<IDisposable, QueueFailure>> {
    const { clientAccount, requestId, service } = request;
    let stopWaiting = (): void => undefined;
    try {
      return await new Promise((resolve) => {
        const now = this._clock.now();
        const outcome = state.queue.enqueue({ ...request, payload: { resolve } }, now);
        if (outcome.kind === 'shed') {
          resolve(Err(createOverloadedFailure(outcome.retryAfterMs)));
          return;
        }
        const onAbort = (): void => {
          state.queue.cancel(clientAccount, requestId);
          resolve(Err(createAbortedFailure()));
        };
        const onDeadline = (): void => {
          this._serveWaiting(service, state);
        };
        const timer = setTimeout(onDeadline, Math.max(0, Math.ceil(request.deadlineMs - now)) + 1);
        signal.addEventListener('abort', onAbort, { once: true });
        stopWaiting = () => {
          clearTimeout(timer);
          signal.removeEventListener('abort', onAbort);
        };
      });
    } finally {
      stopWaiting();
    }
  }

  private _issueDispatchSlot(service: string, state: IServiceState): IDisposable {
    state.inProgressCount += 1;
    let isHeld = true;
    return {
      dispose: () => {
        if (isHeld) {
          isHeld = false;
          state.inProgressCount -= 1;
          this._serveWaiting(service, state);
        }
      },
    };
  }

  /** True when another dispatch is within the bound. Bypasses the cached loads before a request waits. */
  private _hasCapacity(service: string, state: IServiceState, now: number): boolean {
    if (state.inProgressCount < this._computeBound(service, state, now)) {
      return true;
    }
    state.loadsReadAt = -Infinity;
    return state.inProgressCount < this._computeBound(service, state, now);
  }

  /**
   * Dispatches of the service that may be in progress. Unlimited without targets: the request then does
   * not wait, and target selection refuses it.
   */
  private _computeBound(service: string, state: IServiceState, now: number): number {
    if (now - state.loadsReadAt >= LOAD_CACHE_TTL_MS) {
      this._readLoads(service, state, now);
    }
    if (state.targetCount === 0) {
      return Infinity;
    }
    const maxRequestsPerTarget = this._options.maxRequestsPerTarget ?? MAX_REQUESTS_PER_TARGET;
    const minRequestsPerTarget = Math.min(MIN_REQUESTS_PER_TARGET, maxRequestsPerTarget);
    return Math.max(
      state.targetCount * minRequestsPerTarget,
      state.targetCount * maxRequestsPerTarget - Math.ceil(state.otherEntriesLoad),
    );
  }

  private _readLoads(service: string, state: IServiceState, now: number): void {
    const loads = this._options.listLoads(service, now);
    let reportedLoad = 0;
    let ownLoad = 0;
    for (const { target, load } of loads) {
      const report = state.reports.get(target);
      reportedLoad += load;
      ownLoad += Math.max(report?.ownDispatches ?? 0, report?.previousOwnDispatches ?? 0);
    }
    state.targetCount = loads.length;
    // Each report recorded the own dispatches at all targets of the service, so their mean is subtracted.
    state.otherEntriesLoad = Math.max(0, reportedLoad - ownLoad / Math.max(1, loads.length));
    state.loadsReadAt = now;
  }

  private _ensureService(service: string): IServiceState {
    let state = this._services.get(service);
    if (state === undefined) {
      const queue = new FairQueue<IWaiter>(this._options.limits);
      state = {
        ...{ queue, reports: new Map<string, ITargetReport>(), inProgressCount: 0 },
        ...{ targetCount: 0, otherEntriesLoad: 0, loadsReadAt: -Infinity },
      };
      this._services.set(service, state);
    }
    return state;
  }
}

function createOverloadedFailure(retryAfterMs: number): QueueFailure {
  return { kind: 'overloaded', message: 'the targets of the service are busy', retryAfterMs };
}

function createAbortedFailure(): QueueFailure {
  return { kind: 'aborted', message: 'the request ended while it waited' };
}
