/** Weighted fair queue over client accounts, ordered by priority and deadline within an account. */

/** Request in the queue. */
export interface IQueuedRequest<T> {
  readonly requestId: string;
  readonly clientAccount: string;
  /** Weight of the account, for instance its rate in tokens/s. */
  readonly weight: number;
  /** Cost of the request, for instance in tokens. */
  readonly cost: number;
  /** Requests with higher values are served first within the account. */
  readonly priority: number;
  /** Time at which the request expires. */
  readonly deadlineMs: number;
  readonly payload: T;
}

export interface IEnqueueAccepted {
  readonly kind: 'queued';
}

export interface IEnqueueShed {
  readonly kind: 'shed';
  readonly reason: 'queue-full' | 'deadline';
  /** Estimated wait that the request would have had, for `Retry-After`. */
  readonly retryAfterMs: number;
}

export interface IFairQueueLimits {
  readonly maxRequests: number;
  readonly maxRequestsPerAccount: number;
  /** Measured time with a backlog that is needed before requests are shed by the service rate; infinite: never. */
  readonly minRateSampleMs: number;
}

const DEFAULT_LIMITS: IFairQueueLimits = {
  maxRequests: 2_000,
  maxRequestsPerAccount: 500,
  minRateSampleMs: 200,
};

/** Time constant of the exponential average of the service rate. */
const RATE_TIME_CONSTANT_MS = 5_000;

const MIN_RETRY_AFTER_MS = 100;

interface IAccountQueue<T> {
  readonly clientAccount: string;
  weight: number;
  /** Cost served so far, divided by the weight; the account with the lowest value is served next. */
  virtualTime: number;
  queuedCost: number;
  /** In ascending order of urgency: the last one is served next. */
  readonly requests: IQueuedRequest<T>[];
}

/**
 * Start-time fair queueing over client accounts. An account that was idle starts at the current virtual
 * time, so that it neither gains credit for idle time nor waits for other accounts to catch up. Sheds
 * requests that the queue has no space for or that would miss their deadline.
 *
 * @example
 * const queue = new FairQueue<Job>();
 * const result = queue.enqueue(request, now);
 * const next = queue.take(now);
 */
export class FairQueue<T> {
  private readonly _limits: IFairQueueLimits;
  private readonly _accounts = new Map<string, IAccountQueue<T>>();
  private _virtualTime = 0;
  private _size = 0;
  /** Cost served and time passed while requests were waiting; both decay with the same time constant. */
  private _measuredCost = 0;
  private _measuredMs = 0;
  /** Time of the last call of `take` if it left requests in the queue. */
  private _lastBackloggedTakeAt: number | undefined;

  constructor(limits: Partial<IFairQueueLimits> = {}) {
    this._limits = { ...DEFAULT_LIMITS, ...limits };
  }

  public get size(): number {
    return this._size;
  }

  /** Queues a request, or sheds it when the queue is full or its wait would exceed the deadline. */
  public enqueue(request: IQueuedRequest<T>, now: number): IEnqueueAccepted | IEnqueueShed {
    const account = this._ensureAccount(request);
    const waitMs = this.estimateWait(request);
    const isFull =
      this._size >= this._limits.maxRequests ||
      account.requests.length >= this._limits.maxRequestsPerAccount;
    const isLate = now + waitMs >= request.deadlineMs;
    if (isFull || isLate) {
      this._removeIfIdle(account);
      const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs));
      return { kind: 'shed', reason: isFull ? 'queue-full' : 'deadline', retryAfterMs };
    }
    if (account.requests.length === 0) {
      account.virtualTime = Math.max(account.virtualTime, this._virtualTime);
    }
    account.weight = request.weight;
    account.queuedCost += request.cost;
    insertSorted(account.requests, request);
    this._size += 1;
    return { kind: 'queued' };
  }

  /**
   * Removes and returns the next request of the account with the lowest virtual time, or undefined when
   * there is none. Requests past their deadline are skipped; `dropExpired` removes them.
   *
   * @param isReady asked for requests in the order in which they would be served, until it accepts one
   */
  public take(
    now: number,
    isReady: (request: IQueuedRequest<T>) => boolean = () => true,
  ): IQueuedRequest<T> | undefined {
    const accounts = [...this._accounts.values()].sort(
      (left, right) => left.virtualTime - right.virtualTime,
    );
    for (const account of accounts) {
      const request = account.requests.findLast((item) => item.deadlineMs > now && isReady(item));
      if (request !== undefined) {
        this._virtualTime = account.virtualTime;
        account.virtualTime += request.cost / account.weight;
        this._removeRequest(account, request);
        this._measureRate(request.cost, now);
        return request;
      }
    }
    return undefined;
  }

  /** Removes and returns the requests past their deadline, which the caller has to answer. */
  public dropExpired(now: number): IQueuedRequest<T>[] {
    const expired: IQueuedRequest<T>[] = [];
    for (const account of [...this._accounts.values()]) {
      for (const request of account.requests.filter((item) => item.deadlineMs <= now)) {
        expired.push(request);
        this._removeRequest(account, request);
      }
    }
    return expired;
  }

  /** Removes a request whose caller disconnected. Returns false when it is not in the queue. */
  public cancel(clientAccount: string, requestId: string): boolean {
    const account = this._accounts.get(clientAccount);
    const request = account?.requests.find((item) => item.requestId === requestId);
    if (account === undefined || request === undefined) {
      return false;
    }
    this._removeRequest(account, request);
    return true;
  }

  /**
   * Expected wait of a request in milliseconds, from the measured service rate; zero when the queue is
   * empty or the rate is not known yet. Another account delays the request by at most its weighted
   * share, and by no more than the cost that it has queued.
   */
  public estimateWait(request: IQueuedRequest<T>): number {
    const hasRate = this._measuredMs >= this._limits.minRateSampleMs && this._measuredCost > 0;
    if (this._size === 0 || !hasRate) {
      return 0;
    }
    const ownCostAhead = this._sumCostAhead(request);
    let costAhead = ownCostAhead;
    for (const account of this._accounts.values()) {
      if (account.clientAccount !== request.clientAccount) {
        const share = ((ownCostAhead + request.cost) * account.weight) / request.weight;
        costAhead += Math.min(account.queuedCost, share);
      }
    }
    return (costAhead * this._measuredMs) / this._measuredCost;
  }

  /** Cost of the account's own requests that are served before this one. */
  private _sumCostAhead(request: IQueuedRequest<T>): number {
    const account = this._accounts.get(request.clientAccount);
    let costAhead = 0;
    for (const item of account?.requests ?? []) {
      costAhead += compareUrgency(item, request) >= 0 ? item.cost : 0;
    }
    return costAhead;
  }

  /**
   * Updates the service rate, unless the previous call of `take` left the queue empty. Without a backlog
   * the arrival rate would be measured, and requests of an idle fleet would be shed.
   */
  private _measureRate(cost: number, now: number): void {
    if (this._lastBackloggedTakeAt !== undefined) {
      const elapsedMs = now - this._lastBackloggedTakeAt;
      const decay = Math.exp(-elapsedMs / RATE_TIME_CONSTANT_MS);
      this._measuredCost = this._measuredCost * decay + cost;
      this._measuredMs = this._measuredMs * decay + elapsedMs;
    }
    this._lastBackloggedTakeAt = this._size > 0 ? now : undefined;
  }

  private _removeRequest(account: IAccountQueue<T>, request: IQueuedRequest<T>): void {
    account.requests.splice(account.requests.lastIndexOf(request), 1);
    account.queuedCost -= request.cost;
    this._size -= 1;
    this._removeIfIdle(account);
  }

  /** Removes an account without requests unless its virtual time is ahead of the current one. */
  private _removeIfIdle(account: IAccountQueue<T>): void {
    if (account.requests.length === 0 && account.virtualTime <= this._virtualTime) {
      this._accounts.delete(account.clientAccount);
    }
  }

  private _ensureAccount(request: IQueuedRequest<T>): IAccountQueue<T> {
    const existing = this._accounts.get(request.clientAccount);
    if (existing !== undefined) {
      return existing;
    }
    const account: IAccountQueue<T> = {
      clientAccount: request.clientAccount,
      weight: request.weight,
      virtualTime: this._virtualTime,
      queuedCost: 0,
      requests: [],
    };
    this._accounts.set(request.clientAccount, account);
    return account;
  }
}

/** Positive when the left request is served before the right one. */
function compareUrgency<T>(left: IQueuedRequest<T>, right: IQueuedRequest<T>): number {
  return left.priority - right.priority || right.deadlineMs - left.deadlineMs;
}

function insertSorted<T>(requests: IQueuedRequest<T>[], request: IQueuedRequest<T>): void {
  const index = requests.findIndex((item) => compareUrgency(item, request) >= 0);
  requests.splice(index < 0 ? requests.length : index, 0, request);
}
