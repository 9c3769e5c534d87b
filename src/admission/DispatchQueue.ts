/** Bounds the dispatches in progress for each service; further requests wait in a fair queue. */
import type { IClock } from '../common/Clock.js';
import type { IDisposable } from '../common/Lifecycle.js';
import { Err, Ok, type IFailure, type Result } from '../common/Result.js';
import { FairQueue, type IFairQueueLimits, type IQueuedRequest } from './FairQueue.js';

/**
 * Requests that one target takes at a time, running and queued. At the planned peak an engine generates
 * about 143 responses at once (13.6 requests/s of 329 tokens at 32 ms); the rest is its queue.
 */
const MAX_PER_TARGET = 256;

/** Share of this entry at a target that other entries have filled, so that none is shut out. */
const MIN_PER_TARGET = 4;

/** `Retry-After` of a request that waited in vain. */
const RETRY_AFTER_WAIT_MS = 1_000;

/** Loads are summed anew after this time, so that a large roster is not read for each request. */
const LOAD_CACHE_MS = 50;

/** A request that is about to be dispatched. */
export type IDispatchRequest = Omit<IQueuedRequest<unknown>, 'payload'> & {
  readonly service: string;
};

export type QueueFailure =
  (IFailure<'overloaded'> & { readonly retryAfterMs: number }) | IFailure<'aborted'>;

/** Requests running and queued at a target, as it last reported. */
export interface IReportedLoad {
  readonly target: string;
  readonly load: number;
}

export interface IDispatchQueueOptions {
  readonly listLoads: (service: string, now: number) => readonly IReportedLoad[];
  readonly maxPerTarget?: number;
  readonly limits?: Partial<IFairQueueLimits>;
}

interface IWaiter {
  readonly finish: (result: Result<IDisposable, QueueFailure>) => void;
}

/** Own dispatches of a service when a target reported last and the time before. */
interface IReport {
  readonly own: number;
  readonly ownBefore: number;
}

/** Dispatches of one service. */
interface IServiceState {
  readonly queue: FairQueue<IWaiter>;
  readonly reports: Map<string, IReport>;
  inProgress: number;
  targets: number;
  /** Load that other entries put on the targets. */
  others: number;
  loadsReadAt: number;
}

/**
 * The bound of a service is `MAX_PER_TARGET` for each target, less the load that other entries put on the
 * targets: the reported load less the own dispatches that it includes. As reports lag by up to one
 * announcement, these are the most that were in progress at the last two reports.
 *
 * @example
 * const permit = await queue.enter(request, signal);
 * if (permit.ok) try { await dispatch(); } finally { permit.val.dispose(); }
 */
export class DispatchQueue {
  private readonly _services = new Map<string, IServiceState>();

  constructor(
    private readonly _clock: IClock,
    private readonly _options: IDispatchQueueOptions,
  ) {}

  /** Requests that wait, over all services. */
  public get waiting(): number {
    return [...this._services.values()].reduce((sum, { queue }) => sum + queue.size, 0);
  }

  public get inProgress(): number {
    return [...this._services.values()].reduce((sum, state) => sum + state.inProgress, 0);
  }

  /** Waits for a place; refuses at once when the queue is full or the deadline cannot be met. */
  public async enter(
    request: IDispatchRequest,
    signal: AbortSignal,
  ): Promise<Result<IDisposable, QueueFailure>> {
    const state = this._ensure(request.service);
    const now = this._clock.now();
    if (signal.aborted) {
      return Err(describeAborted());
    }
    if (state.queue.size === 0 && this._hasRoom(request.service, state, now)) {
      return Ok(this._grant(request.service, state));
    }
    return this._wait(request, state, signal);
  }

  /** Takes note that a target of the service reported or is gone, and serves waiting requests. */
  public refresh(service: string, target: string, isGone = false): void {
    const state = this._ensure(service);
    if (isGone) {
      state.reports.delete(target);
    } else {
      const ownBefore = state.reports.get(target)?.own ?? 0;
      state.reports.set(target, { own: state.inProgress, ownBefore });
    }
    if (state.queue.size > 0) {
      state.loadsReadAt = -Infinity;
      this._serveWaiting(service, state);
    }
  }

  private _serveWaiting(service: string, state: IServiceState): void {
    const now = this._clock.now();
    for (const { payload } of state.queue.dropExpired(now)) {
      payload.finish(Err(describeOverloaded(RETRY_AFTER_WAIT_MS)));
    }
    while (state.inProgress < this._computeBound(service, state, now)) {
      const next = state.queue.take(now);
      if (next === undefined) {
        return;
      }
      next.payload.finish(Ok(this._grant(service, state)));
    }
  }

  private async _wait(
    request: IDispatchRequest,
    state: IServiceState,
    signal: AbortSignal,
  ): Promise<Result<IDisposable, QueueFailure>> {
    const { clientAccount, requestId, service } = request;
    let cleanUp = (): void => undefined;
    try {
      return await new Promise((finish) => {
        const now = this._clock.now();
        const offered = state.queue.enqueue({ ...request, payload: { finish } }, now);
        if (offered.kind === 'shed') {
          finish(Err(describeOverloaded(offered.retryAfterMs)));
          return;
        }
        const leave = (): void => {
          state.queue.withdraw(clientAccount, requestId);
          finish(Err(describeAborted()));
        };
        const expire = (): void => {
          this._serveWaiting(service, state);
        };
        const timer = setTimeout(expire, Math.max(0, Math.ceil(request.deadlineMs - now)) + 1);
        signal.addEventListener('abort', leave, { once: true });
        cleanUp = () => {
          clearTimeout(timer);
          signal.removeEventListener('abort', leave);
        };
      });
    } finally {
      cleanUp();
    }
  }

  private _grant(service: string, state: IServiceState): IDisposable {
    state.inProgress += 1;
    let isOpen = true;
    return {
      dispose: () => {
        if (isOpen) {
          isOpen = false;
          state.inProgress -= 1;
          this._serveWaiting(service, state);
        }
      },
    };
  }

  /** Reads the loads anew before a request has to wait. */
  private _hasRoom(service: string, state: IServiceState, now: number): boolean {
    if (state.inProgress < this._computeBound(service, state, now)) {
      return true;
    }
    state.loadsReadAt = -Infinity;
    return state.inProgress < this._computeBound(service, state, now);
  }

  /** Without targets nothing waits: the request is refused where a target is chosen. */
  private _computeBound(service: string, state: IServiceState, now: number): number {
    if (now - state.loadsReadAt >= LOAD_CACHE_MS) {
      this._readLoads(service, state, now);
    }
    if (state.targets === 0) {
      return Infinity;
    }
    const maxPerTarget = this._options.maxPerTarget ?? MAX_PER_TARGET;
    const leastPerTarget = Math.min(MIN_PER_TARGET, maxPerTarget);
    return Math.max(
      state.targets * leastPerTarget,
      state.targets * maxPerTarget - Math.ceil(state.others),
    );
  }

  private _readLoads(service: string, state: IServiceState, now: number): void {
    const loads = this._options.listLoads(service, now);
    let reported = 0;
    let own = 0;
    for (const { target, load } of loads) {
      const report = state.reports.get(target);
      reported += load;
      own += Math.max(report?.own ?? 0, report?.ownBefore ?? 0);
    }
    state.targets = loads.length;
    // Each report tells of the own dispatches at all targets; their mean is that of the service.
    state.others = Math.max(0, reported - own / Math.max(1, loads.length));
    state.loadsReadAt = now;
  }

  private _ensure(service: string): IServiceState {
    let state = this._services.get(service);
    if (state === undefined) {
      const queue = new FairQueue<IWaiter>(this._options.limits);
      state = {
        ...{ queue, reports: new Map<string, IReport>(), inProgress: 0 },
        ...{ targets: 0, others: 0, loadsReadAt: -Infinity },
      };
      this._services.set(service, state);
    }
    return state;
  }
}

function describeOverloaded(retryAfterMs: number): QueueFailure {
  return { kind: 'overloaded', message: 'the targets of the service are busy', retryAfterMs };
}

function describeAborted(): QueueFailure {
  return { kind: 'aborted', message: 'the request ended while it waited' };
}
