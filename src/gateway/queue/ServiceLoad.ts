/** Measures what arrives for a service at this entry, what is sent, and what is in progress, in prompt tokens to compute. */

/** Time constant of the averages of the rates; overloads last for some seconds. */
const RATE_TIME_CONSTANT_MS = 1_000;

/**
 * The highest rate at which requests were sent decays with this time constant: the capacity shows only under load, and
 * changes when targets go.
 */
const PEAK_TIME_CONSTANT_MS = 10_000;

/** A priority counts as active for this time after its last request. */
const ACTIVE_MS = 2_000;

/** Requests in progress of one priority. */
export interface IPriorityWork {
  readonly priority: number;
  /** Requests sent to targets that have not received a first byte. */
  pendingRequests: number;
  pendingTokens: number;
  readonly pendingByAccount: ReadonlyMap<string, number>;
}

interface IPriorityLoad extends IPriorityWork {
  readonly pendingByAccount: Map<string, number>;
  objectiveMs: number;
  lastArrivalAt: number;
  readonly arrived: DecayingSum;
}

/** Sum whose parts decay exponentially. */
class DecayingSum {
  private _sum = 0;
  private _updatedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly _timeConstantMs: number) {}

  public add(value: number, now: number): void {
    this._sum = this.get(now) + value;
    this._updatedAt = now;
  }

  public get(now: number): number {
    return this._sum * Math.exp(-Math.max(0, now - this._updatedAt) / this._timeConstantMs);
  }
}

/**
 * Load of one service at this entry.
 *
 * @example
 * load.recordArrival(2, 1_007, 830, now);
 * const work = load.begin(2, 830, now);
 */
export class ServiceLoad {
  private readonly _priorities = new Map<number, IPriorityLoad>();
  private readonly _sent = new DecayingSum(RATE_TIME_CONSTANT_MS);
  private _peakRate = 0;
  private _peakAt = Number.NEGATIVE_INFINITY;
  private _returning: { readonly at: number; readonly tokens: number }[] = [];

  public recordArrival(priority: number, objectiveMs: number, tokens: number, now: number): void {
    const load = this._ensure(priority);
    load.objectiveMs = objectiveMs;
    load.lastArrivalAt = now;
    load.arrived.add(tokens, now);
  }

  /** Counts a request that is sent. The result ends the count; calling it again has no effect. */
  public begin(priority: number, account: string, tokens: number, now: number): () => void {
    this._peakRate = this.getThroughput(now);
    this._peakAt = now;
    this._sent.add(tokens, now);
    this._peakRate = Math.max(this._peakRate, this._sent.get(now) / RATE_TIME_CONSTANT_MS);
    const load = this._ensure(priority);
    load.pendingRequests += 1;
    load.pendingTokens += tokens;
    addTo(load.pendingByAccount, account, tokens);
    let hasEnded = false;
    return () => {
      if (!hasEnded) {
        hasEnded = true;
        load.pendingRequests -= 1;
        load.pendingTokens -= tokens;
        addTo(load.pendingByAccount, account, -tokens);
      }
    };
  }

  /** Records a refused request whose client was told to return. */
  public recordRefusal(tokens: number, returnAt: number, now: number): void {
    this._returning = this._returning.filter(({ at }) => at > now);
    this._returning.push({ at: returnAt, tokens });
  }

  /** Tokens of the refused requests whose clients have not returned yet. */
  public sumReturning(now: number): number {
    return this._returning.reduce((sum, { at, tokens }) => sum + (at > now ? tokens : 0), 0);
  }

  /** Highest rate in tokens a millisecond at which requests were sent lately. */
  public getThroughput(now: number): number {
    return this._peakRate * Math.exp(-Math.max(0, now - this._peakAt) / PEAK_TIME_CONSTANT_MS);
  }

  /** Rate in tokens a millisecond at which requests of a priority, and more urgent ones, arrive. */
  public getArrivalRate(priority: number, now: number): number {
    let sum = 0;
    for (const load of this._priorities.values()) {
      sum += load.priority <= priority ? load.arrived.get(now) : 0;
    }
    return sum / RATE_TIME_CONSTANT_MS;
  }

  /** Least objective of the priorities above one that are active; undefined without any. */
  public getUrgentObjective(priority: number, now: number): number | undefined {
    let least: number | undefined;
    for (const load of this._priorities.values()) {
      if (load.priority < priority && now - load.lastArrivalAt <= ACTIVE_MS) {
        least = Math.min(least ?? Number.POSITIVE_INFINITY, load.objectiveMs);
      }
    }
    return least;
  }

  public listPending(): readonly IPriorityWork[] {
    return [...this._priorities.values()];
  }

  private _ensure(priority: number): IPriorityLoad {
    let load = this._priorities.get(priority);
    if (load === undefined) {
      load = {
        priority,
        pendingRequests: 0,
        pendingTokens: 0,
        pendingByAccount: new Map(),
        objectiveMs: 0,
        lastArrivalAt: Number.NEGATIVE_INFINITY,
        arrived: new DecayingSum(RATE_TIME_CONSTANT_MS),
      };
      this._priorities.set(priority, load);
    }
    return load;
  }
}

/** Adds to the tokens of an account, and forgets one without any. */
function addTo(tokensByAccount: Map<string, number>, account: string, tokens: number): void {
  const sum = (tokensByAccount.get(account) ?? 0) + tokens;
  if (sum > 0) {
    tokensByAccount.set(account, sum);
  } else {
    tokensByAccount.delete(account);
  }
}
