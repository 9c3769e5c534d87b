/** Requests of one service that wait in this entry, in the order in which they are to be sent. */
import { FairQueue } from '../../admission/FairQueue.js';
import {
  computeRetryAfter,
  decideAdmission,
  type AdmissionDecision,
  type IAdmissionRequest,
  type IAssessedTarget,
  type ICompetition,
  type RefuseReason,
  type WaitReason,
} from './AdmissionDecision.js';
import { ServiceLoad } from './ServiceLoad.js';

/** Bounds of the requests that wait in an entry for one service and priority. */
const MAX_REQUESTS = 1_000;
const MAX_REQUESTS_PER_ACCOUNT = 500;

/** Waiting requests that are tried at most before the others of their lane have to wait, too: each costs a placement. */
const MAX_TRIES = 3;

/** Requests with this much time left beyond the expected time are decided on for the last time. */
const LAST_DECISION_MS = 60;

/** A request that asks for a target. */
export interface IWaitingRequest extends IAdmissionRequest {
  readonly priority: number;
  /** Name of the client account; empty without one. */
  readonly account: string;
  /** Chooses the best target at this moment; undefined if the request cannot be sent or need not wait for capacity. */
  assess(now: number): IAssessedTarget | undefined;
}

export type WaitOutcome =
  | {
      readonly kind: 'serve';
      readonly tokens: number;
    }
  | {
      readonly kind: 'refuse';
      readonly retryAfterMs: number;
      readonly reason: RefuseReason;
      readonly expectedMs: number;
      readonly tokens: number;
    };

/** Why a request waited, for the log. */
export interface IWaitReport {
  readonly reason: WaitReason;
  readonly waitMs: number;
  /** Requests that waited for the service when it came, and those of its client account among them. */
  readonly ahead: number;
  readonly aheadOfAccount: number;
}

interface IWaiter {
  readonly request: IWaitingRequest;
  readonly finish: (outcome: WaitOutcome, report: IWaitReport) => void;
  readonly since: number;
  readonly ahead: number;
  readonly aheadOfAccount: number;
  reason: WaitReason;
  target: IAssessedTarget;
  lane: FairQueue<IWaiter>;
}

interface ILanes {
  /** Requests that would be on time if an idle target took them now, in the order of their objectives. */
  readonly onTime: FairQueue<IWaiter>;
  /** The others, in the order of their deadlines. */
  readonly late: FairQueue<IWaiter>;
}

/** What other entries have waiting and in progress for the service, by the last answer of the hub. */
export interface IOtherEntries {
  sumWaitingTokens(maxPriority: number, now: number): number;
  sumPendingTokens(maxPriority: number, now: number): number;
  /** Weight of a client account, from 1 downwards the more it holds there compared with the others. */
  getWeight(account: string, now: number): number;
}

const NO_OTHERS: IOtherEntries = {
  sumWaitingTokens: () => 0,
  sumPendingTokens: () => 0,
  getWeight: () => 1,
};

/** Requests of one priority, as reported to the hub. */
export interface IQueueWork {
  readonly priority: number;
  waiting: number;
  waitingTokens: number;
  /** Requests sent to targets that have not received a first byte. */
  pending: number;
  pendingTokens: number;
  /** Tokens of both by client account. */
  readonly tokensByAccount: Map<string, number>;
}

/**
 * Decides on the requests of one service, and keeps those that wait. `decide` is called for each request that arrives,
 * `next` whenever a target may have room.
 *
 * @example
 * const decision = queue.decide(request, target, now);
 * if (decision.kind === 'wait') {
 *   queue.add(request, target, decision, finish, now);
 * }
 */
export class ServiceQueue {
  public readonly load = new ServiceLoad();
  private readonly _lanes = new Map<number, ILanes>();
  private readonly _waiters = new Set<IWaiter>();

  constructor(private readonly _others: IOtherEntries = NO_OTHERS) {}

  public get size(): number {
    return this._waiters.size;
  }

  /** What waits and is in progress, by priority; priorities without any are left out. */
  public listWork(): readonly IQueueWork[] {
    const works = new Map<number, IQueueWork>();
    for (const load of this.load.listPending()) {
      const { priority, pendingRequests: pending, pendingTokens } = load;
      if (pending > 0) {
        const tokensByAccount = new Map(load.pendingByAccount);
        const work = { priority, waiting: 0, waitingTokens: 0, pending, pendingTokens };
        works.set(priority, { ...work, tokensByAccount });
      }
    }
    for (const { request, target } of this._waiters) {
      const { priority, account } = request;
      let work = works.get(priority);
      if (work === undefined) {
        const none = { waiting: 0, waitingTokens: 0, pending: 0, pendingTokens: 0 };
        work = { priority, ...none, tokensByAccount: new Map() };
        works.set(priority, work);
      }
      work.waiting += 1;
      work.waitingTokens += target.tokens;
      const { tokensByAccount } = work;
      tokensByAccount.set(account, (tokensByAccount.get(account) ?? 0) + target.tokens);
    }
    return [...works.values()];
  }

  /** Decides on a request that arrives. */
  public decide(request: IWaitingRequest, target: IAssessedTarget, now: number): AdmissionDecision {
    return decideAdmission(request, target, this._describe(request, target, undefined, now), now);
  }

  /**
   * Adds a request that has to wait. `finish` is called once, unless the returned function removes the request before.
   */
  public add(
    request: IWaitingRequest,
    target: IAssessedTarget,
    { onTimeUntil, reason }: Extract<AdmissionDecision, { kind: 'wait' }>,
    finish: (outcome: WaitOutcome, report: IWaitReport) => void,
    now: number,
  ): () => void {
    const waiters = [...this._waiters];
    const waiter: IWaiter = {
      request,
      finish,
      since: now,
      ahead: waiters.length,
      aheadOfAccount: waiters.filter(({ request: other }) => other.account === request.account)
        .length,
      reason,
      target,
      lane: this._ensureLanes(request.priority).late,
    };
    this._enqueue(waiter, onTimeUntil, now);
    return () => {
      this._remove(waiter);
    };
  }

  /**
   * Ends the wait of the next request for which there is room, and of those that cannot be served any more. Returns true if a
   * request is sent: its load must be counted before the next call.
   */
  public next(now: number): boolean {
    const priorities = [...this._lanes.keys()].sort((left, right) => left - right);
    // What waits in a lane holds back the lanes after it, so that they need not be tried.
    let isHeld = false;
    let isLateHeld = false;
    for (const priority of priorities) {
      const lanes = this._ensureLanes(priority);
      const { onTime, late } = lanes;
      for (const { payload } of onTime.dropExpired(now)) {
        this._enqueue(payload, undefined, now);
      }
      const served =
        (isHeld ? undefined : this._takeReady(lanes, onTime, now)) ??
        (isHeld || isLateHeld || onTime.size > 0 ? undefined : this._takeReady(lanes, late, now));
      if (served !== undefined) {
        this._finish(served, { kind: 'serve', tokens: served.target.tokens }, now);
        return true;
      }
      isHeld ||= onTime.size > 0;
      isLateHeld ||= late.size > 0;
      for (const { payload } of late.dropExpired(now)) {
        this._decideLast(payload, now);
      }
    }
    return false;
  }

  /** Takes the first request of a lane that is to be sent now; refuses those that are found to have no chance. */
  private _takeReady(lanes: ILanes, lane: FairQueue<IWaiter>, now: number): IWaiter | undefined {
    let tries = 0;
    const lateOnes: IWaiter[] = [];
    const refused: { readonly waiter: IWaiter; readonly outcome: WaitOutcome }[] = [];
    const taken = lane.take(now, ({ payload }) => {
      if (tries >= MAX_TRIES) {
        return false;
      }
      tries += 1;
      const { request } = payload;
      const target = request.assess(now);
      if (target === undefined) {
        return true;
      }
      payload.target = target;
      const competition = this._describe(request, target, payload, now);
      const decision = decideAdmission(request, target, competition, now);
      switch (decision.kind) {
        case 'serve':
          return true;
        case 'wait':
          payload.reason = decision.reason;
          if (decision.onTimeUntil === undefined && lane === lanes.onTime) {
            lateOnes.push(payload);
          }
          return false;
        case 'refuse': {
          const { expectedMs, tokens } = target;
          refused.push({ waiter: payload, outcome: { ...decision, expectedMs, tokens } });
          return false;
        }
      }
    });
    for (const waiter of lateOnes) {
      this._remove(waiter);
      this._enqueue(waiter, undefined, now);
    }
    for (const { waiter, outcome } of refused) {
      this._remove(waiter);
      this._finish(waiter, outcome, now);
    }
    return taken?.payload;
  }

  /** Decides on a request that has just the time left that it is expected to take. */
  private _decideLast(waiter: IWaiter, now: number): void {
    const { request } = waiter;
    const target = request.assess(now);
    if (target === undefined) {
      this._finish(waiter, { kind: 'serve', tokens: waiter.target.tokens }, now);
      return;
    }
    waiter.target = target;
    const competition = this._describe(request, target, waiter, now);
    const decision = decideAdmission(request, target, competition, now);
    switch (decision.kind) {
      case 'serve':
        this._finish(waiter, { kind: 'serve', tokens: target.tokens }, now);
        return;
      case 'wait':
        if (request.deadlineAt - target.expectedMs - LAST_DECISION_MS > now) {
          this._enqueue(waiter, undefined, now);
          return;
        }
        this._refuse(waiter, 'deadline', competition, now);
        return;
      case 'refuse':
        this._refuse(waiter, decision.reason, competition, now);
    }
  }

  private _refuse(
    waiter: IWaiter,
    reason: RefuseReason,
    competition: ICompetition,
    now: number,
  ): void {
    const retryAfterMs = computeRetryAfter(waiter.request, competition, now);
    const { expectedMs, tokens } = waiter.target;
    this._finish(waiter, { kind: 'refuse', reason, retryAfterMs, expectedMs, tokens }, now);
  }

  private _finish(waiter: IWaiter, outcome: WaitOutcome, now: number): void {
    this._waiters.delete(waiter);
    const { reason, since, ahead, aheadOfAccount } = waiter;
    waiter.finish(outcome, { reason, waitMs: now - since, ahead, aheadOfAccount });
  }

  private _remove(waiter: IWaiter): void {
    if (this._waiters.delete(waiter)) {
      waiter.lane.cancel(waiter.request.account, waiter.request.id);
    }
  }

  private _enqueue(waiter: IWaiter, onTimeUntil: number | undefined, now: number): void {
    const { request, target } = waiter;
    const lanes = this._ensureLanes(request.priority);
    const lastAt = request.deadlineAt - target.expectedMs - LAST_DECISION_MS;
    waiter.lane = onTimeUntil === undefined ? lanes.late : lanes.onTime;
    const result = waiter.lane.enqueue(
      {
        requestId: request.id,
        clientAccount: request.account,
        weight: this._others.getWeight(request.account, now),
        cost: Math.max(1, target.tokens),
        priority: 0,
        deadlineMs: Math.min(onTimeUntil ?? lastAt, lastAt),
        payload: waiter,
      },
      now,
    );
    this._waiters.add(waiter);
    if (result.kind === 'queued') {
      return;
    }
    if (waiter.lane === lanes.onTime && result.reason === 'deadline') {
      this._enqueue(waiter, undefined, now);
      return;
    }
    const competition = this._describe(request, target, waiter, now);
    this._refuse(waiter, result.reason === 'deadline' ? 'no_room' : 'queue_full', competition, now);
  }

  private _describe(
    request: IWaitingRequest,
    { tokens }: IAssessedTarget,
    self: IWaiter | undefined,
    now: number,
  ): ICompetition {
    const { priority } = request;
    let hasOnTimeFirst = false;
    let hasLateFirst = false;
    for (const [other, { onTime, late }] of this._lanes) {
      const isMoreUrgent = other < priority;
      const isSame = other === priority;
      // A request in a lane is decided on in the order of the lane.
      hasOnTimeFirst ||= (isMoreUrgent || (isSame && self?.lane !== onTime)) && onTime.size > 0;
      hasLateFirst ||= (isMoreUrgent || (isSame && self === undefined)) && late.size > 0;
    }
    const { load, _others: others } = this;
    const pending = load.listPending();
    const total =
      sumTokens(pending, Number.POSITIVE_INFINITY) +
      others.sumPendingTokens(Number.POSITIVE_INFINITY, now);
    const urgent = sumTokens(pending, priority) + others.sumPendingTokens(priority, now);
    return {
      queueShare: total > 0 ? Math.min(1, urgent / total) : 1,
      urgentObjectiveMs: load.getUrgentObjective(priority, now),
      hasOnTimeFirst,
      hasLateFirst,
      hasOthersElsewhere: priority > 0 && others.sumWaitingTokens(priority - 1, now) > 0,
      tokensAhead: this._sumTokensAhead(request, tokens, self),
      returningTokens: load.sumReturning(now),
      throughput: load.getThroughput(now),
      arrivalRate: load.getArrivalRate(priority, now),
      urgentRate: load.getArrivalRate(priority - 1, now),
    };
  }

  /** Tokens of waiting requests that go before another one: all more urgent ones, and the fair shares of the accounts. */
  private _sumTokensAhead(
    { priority, account, deadlineAt }: IWaitingRequest,
    tokens: number,
    self: IWaiter | undefined,
  ): number {
    let ahead = 0;
    const byOthers = new Map<string, number>();
    let own = tokens;
    for (const waiter of this._waiters) {
      const other = waiter.request;
      if (waiter === self || other.priority > priority) {
        continue;
      }
      if (other.priority < priority) {
        ahead += waiter.target.tokens;
      } else if (other.account !== account) {
        byOthers.set(other.account, (byOthers.get(other.account) ?? 0) + waiter.target.tokens);
      } else if (other.deadlineAt <= deadlineAt) {
        own += waiter.target.tokens;
      }
    }
    ahead += own - tokens;
    for (const held of byOthers.values()) {
      ahead += Math.min(held, own);
    }
    return ahead;
  }

  private _ensureLanes(priority: number): ILanes {
    let lanes = this._lanes.get(priority);
    if (lanes === undefined) {
      const limits = {
        maxRequests: MAX_REQUESTS,
        maxRequestsPerAccount: MAX_REQUESTS_PER_ACCOUNT,
        // The rate of one lane says little: late requests are sent only when no others wait.
        minRateSampleMs: Number.POSITIVE_INFINITY,
      };
      lanes = { onTime: new FairQueue(limits), late: new FairQueue(limits) };
      this._lanes.set(priority, lanes);
    }
    return lanes;
  }
}

function sumTokens(
  works: readonly { readonly priority: number; readonly pendingTokens: number }[],
  maxPriority: number,
): number {
  return works.reduce(
    (sum, { priority, pendingTokens }) => sum + (priority <= maxPriority ? pendingTokens : 0),
    0,
  );
}
