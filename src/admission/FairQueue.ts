/** Fair queue of admitted requests: weighted between client accounts, by priority within one. */

/** A request that waits. */
export interface IQueuedRequest<T> {
  readonly requestId: string;
  readonly clientAccount: string;
  /** Share of the account, for instance its rate in tokens/s. */
  readonly weight: number;
  /** Size of the request, for instance in tokens. */
  readonly cost: number;
  /** Higher values first within the account. */
  readonly priority: number;
  /** Time at which the request is given up. */
  readonly deadlineMs: number;
  readonly payload: T;
}

export interface IQueueOffered {
  readonly kind: 'queued';
}

export interface IQueueShed {
  readonly kind: 'shed';
  readonly reason: 'queue-full' | 'deadline';
  /** Time until the request would have been taken, for `Retry-After`. */
  readonly retryAfterMs: number;
}

export interface IFairQueueLimits {
  readonly maxRequests: number;
  readonly maxRequestsPerAccount: number;
}

const DEFAULT_LIMITS: IFairQueueLimits = { maxRequests: 2_000, maxRequestsPerAccount: 500 };

/** Time constant of the measured service rate. */
const RATE_WINDOW_MS = 5_000;

/** Time with a backlog before the service rate is trusted for shedding. */
const MIN_MEASURED_MS = 200;

const MIN_RETRY_AFTER_MS = 100;

interface IAccountQueue<T> {
  readonly clientAccount: string;
  weight: number;
  /** Cost taken so far, over the weight: the account with the least is the worst off. */
  virtualTime: number;
  queuedCost: number;
  /** Sorted: the next request is the last item. */
  readonly requests: IQueuedRequest<T>[];
}

/**
 * Start-time fair queueing. An account that was idle starts at the present virtual time, so that it
 * neither saves up a claim nor waits for others to catch up.
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
  /** Cost taken and time passed while requests were waiting, both decayed alike. */
  private _measuredCost = 0;
  private _measuredMs = 0;
  /** Time of the last take that left requests behind. */
  private _backlogSince: number | undefined;

  constructor(limits: Partial<IFairQueueLimits> = {}) {
    this._limits = { ...DEFAULT_LIMITS, ...limits };
  }

  public get size(): number {
    return this._size;
  }

  /** Queues a request, or sheds it at once when it could not be served in time. */
  public enqueue(request: IQueuedRequest<T>, now: number): IQueueOffered | IQueueShed {
    const account = this._ensure(request);
    const waitMs = this.estimateWait(request);
    const isFull =
      this._size >= this._limits.maxRequests ||
      account.requests.length >= this._limits.maxRequestsPerAccount;
    const isLate = now + waitMs >= request.deadlineMs;
    if (isFull || isLate) {
      this._release(account);
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

  /** Next request of the worst-off account. Requests past their deadline are not taken. */
  public take(now: number): IQueuedRequest<T> | undefined {
    let worst: IAccountQueue<T> | undefined;
    for (const account of this._accounts.values()) {
      if (
        hasLive(account, now) &&
        (worst === undefined || account.virtualTime < worst.virtualTime)
      ) {
        worst = account;
      }
    }
    const request = worst?.requests.findLast((item) => item.deadlineMs > now);
    if (worst === undefined || request === undefined) {
      return undefined;
    }
    this._virtualTime = worst.virtualTime;
    worst.virtualTime += request.cost / worst.weight;
    this._removeRequest(worst, request);
    this._measureRate(request.cost, now);
    return request;
  }

  /** Removes the requests past their deadline; each has to be answered at once. */
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

  /** Removes a request whose caller left. */
  public withdraw(clientAccount: string, requestId: string): boolean {
    const account = this._accounts.get(clientAccount);
    const request = account?.requests.find((item) => item.requestId === requestId);
    if (account === undefined || request === undefined) {
      return false;
    }
    this._removeRequest(account, request);
    return true;
  }

  /**
   * Expected wait of a request in milliseconds, from the measured service rate. Another account
   * delays the request by at most its share, and by no more than it has queued.
   */
  public estimateWait(request: IQueuedRequest<T>): number {
    if (this._size === 0 || this._measuredMs < MIN_MEASURED_MS || this._measuredCost === 0) {
      return 0;
    }
    const own = this._sumAhead(request);
    let ahead = own;
    for (const account of this._accounts.values()) {
      if (account.clientAccount !== request.clientAccount) {
        const share = ((own + request.cost) * account.weight) / request.weight;
        ahead += Math.min(account.queuedCost, share);
      }
    }
    return (ahead * this._measuredMs) / this._measuredCost;
  }

  private _sumAhead(request: IQueuedRequest<T>): number {
    const account = this._accounts.get(request.clientAccount);
    let ahead = 0;
    for (const item of account?.requests ?? []) {
      ahead += compareUrgency(item, request) >= 0 ? item.cost : 0;
    }
    return ahead;
  }

  /**
   * Measures only between takes that left requests behind: without a backlog the rate is that of
   * the arrivals and would shed requests of an idle fleet.
   */
  private _measureRate(cost: number, now: number): void {
    if (this._backlogSince !== undefined) {
      const elapsed = now - this._backlogSince;
      const kept = Math.exp(-elapsed / RATE_WINDOW_MS);
      this._measuredCost = this._measuredCost * kept + cost;
      this._measuredMs = this._measuredMs * kept + elapsed;
    }
    this._backlogSince = this._size > 0 ? now : undefined;
  }

  private _removeRequest(account: IAccountQueue<T>, request: IQueuedRequest<T>): void {
    account.requests.splice(account.requests.lastIndexOf(request), 1);
    account.queuedCost -= request.cost;
    this._size -= 1;
    this._release(account);
  }

  /** Forgets an idle account whose virtual time says nothing any more. */
  private _release(account: IAccountQueue<T>): void {
    if (account.requests.length === 0 && account.virtualTime <= this._virtualTime) {
      this._accounts.delete(account.clientAccount);
    }
  }

  private _ensure(request: IQueuedRequest<T>): IAccountQueue<T> {
    const known = this._accounts.get(request.clientAccount);
    if (known !== undefined) {
      return known;
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

/** Positive when the left request is taken first. */
function compareUrgency<T>(left: IQueuedRequest<T>, right: IQueuedRequest<T>): number {
  return left.priority - right.priority || right.deadlineMs - left.deadlineMs;
}

function insertSorted<T>(requests: IQueuedRequest<T>[], request: IQueuedRequest<T>): void {
  const place = requests.findIndex((item) => compareUrgency(item, request) >= 0);
  requests.splice(place < 0 ? requests.length : place, 0, request);
}

function hasLive<T>(account: IAccountQueue<T>, now: number): boolean {
  return account.requests.some((item) => item.deadlineMs > now);
}
