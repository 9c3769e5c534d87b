/**
 * The limits on requests a second that targets name, as this entry knows them, and its permits to send to these targets.
 * The hub issues permits to all entries together. Without a hub, an entry uses a part of its equal share.
 */
import { create } from '@bufbuild/protobuf';
import { isMechanismDisabled } from '../common/TestSwitches.js';
import { sleep } from '../common/Tasks.js';
import { clampToUint32 } from '../common/Uint32.js';
import type { IRateLimitReports, IRateLimitSource } from '../fleet/ExchangeSources.js';
import { computePermitInterval } from '../fleet/TargetRateLimits.js';
import {
  PermitDemandSchema,
  RateLimitReportSchema,
  type PermitGrant,
  type TargetRecord,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import type { RateLimitNotice } from './Types.js';

/** A permit that is not used within this time after it was requested is void, so that permits do not accumulate. */
const PERMIT_LIFETIME_MS = 800;

/** Part of its equal share that an entry uses without a hub, which issues permits for the whole limit to the others. */
const SHARE_WITHOUT_HUB = 0.5;

/** Time within which a request must use an entry's share without a hub, so that the shares of all do not accumulate. */
const SLOT_MS = 500;

/** Age beyond which the waiting time that the hub stated is ignored. */
const MAX_WAIT_AGE_MS = 2_000;

/** A waiting request counts as older by this for each level of urgency. */
const URGENCY_HEAD_START_MS = 100;

/** Allows one request to a target. */
export interface IPermit {
  /** False if the target had no limit when the permit was taken. */
  readonly isLimited: boolean;
  readonly takenAt: number;
}

/** What the last response to this entry said: a limit, or none any more. */
interface IObservation {
  readonly perSecond: number | undefined;
  /** When the response arrived; of one without a limit, when its request was sent. */
  readonly at: number;
}

interface ILimitState {
  readonly born: number;
  observation: IObservation | undefined;
  /** True until a hub has received the observation: the target's record does not contain it yet. */
  isUnreported: boolean;
  /** The observation that the last report to a hub contained. */
  lastReported: IObservation | undefined;
  /** When this entry learned that the target has a limit; undefined without one. */
  knownSince: number | undefined;
  /** Expiry times, oldest first. */
  permits: number[];
  /** Requests since the last exchange that took a permit, or found none and did not wait. */
  demand: number;
  /** When the hub will have met the demand of all entries, by its last answer. */
  metAt: number;
  metAtStatedAt: number;
  /** Without a hub: when this entry may send the next request. */
  nextSlotAt: number | undefined;
}

interface IWaiter {
  readonly targetId: string;
  readonly rank: number;
  readonly wake: AbortController;
  /** True once a report to a hub has counted it. */
  isReported: boolean;
}

export interface IWaitOptions {
  /** From 0 (most urgent) to 9. */
  readonly priority: number;
  readonly arrivedAt: number;
  readonly timeoutMs: number;
  /** Each of them ends the wait. */
  readonly signals: readonly AbortSignal[];
}

export interface ITargetLimitsOptions {
  /** Number of entries that share a limit without a hub. */
  readonly countEntries: () => number;
  /** The latest record of a target. */
  readonly findTarget: (id: string) => TargetRecord | undefined;
  readonly random: () => number;
}

/**
 * Decides whether a request may be sent to a target with a limit. All requests to a target need `take`, whatever sends
 * them: first tries, retries, and resumed streams.
 *
 * @example
 * if (limits.hasPermit(target, now)) {
 *   limits.take(target, now);
 * }
 */
export class TargetLimits implements IRateLimitSource {
  private readonly _states = new Map<string, ILimitState>();
  private _waiters: IWaiter[] = [];
  private _isHubReachable = false;

  constructor(private readonly _options: ITargetLimitsOptions) {}

  /** Requests a second that a target takes from all entries together; undefined without a limit. */
  public getLimit(target: TargetRecord): number | undefined {
    const state = this._find(target);
    return state?.isUnreported === true ? state.observation?.perSecond : target.rateLimit;
  }

  /**
   * Records what a response said of its target. A response without a limit ends one only if its request was sent
   * after the limit was known, as responses may overtake each other.
   *
   * @returns true if the limit has changed
   */
  public recordNotice(
    target: TargetRecord,
    notice: RateLimitNotice,
    sentAt: number,
    now: number,
  ): boolean {
    TEST_ONLY: if (isMechanismDisabled('target-limit')) return false;
    if ((this._states.get(target.id)?.born ?? target.born) > target.born) {
      return false;
    }
    const previous = this.getLimit(target);
    switch (notice.kind) {
      case 'unreadable':
        return false;
      case 'limited':
        this._observe(target, { perSecond: notice.perSecond, at: now }, now);
        return notice.perSecond !== previous;
      case 'unlimited':
        break;
    }
    if (previous === undefined) {
      return false;
    }
    TEST_ONLY: if (isMechanismDisabled('limit-end')) return false;
    const state = this._ensure(target);
    state.knownSince ??= now;
    const namedAt = state.observation?.perSecond === undefined ? 0 : state.observation.at;
    if (sentAt <= Math.max(state.knownSince, namedAt)) {
      return false;
    }
    this._observe(target, { perSecond: undefined, at: sentAt }, now);
    return true;
  }

  /** True if a request may be sent to the target now. */
  public hasPermit(target: TargetRecord, now: number): boolean {
    return this._countPermits(target, now) > 0;
  }

  /** Uses a permit for a request that is sent now, or once it has a connection. */
  public take(target: TargetRecord, now: number): IPermit {
    const perSecond = this.getLimit(target);
    if (perSecond === undefined) {
      return { isLimited: false, takenAt: now };
    }
    const state = this._ensure(target);
    state.demand += 1;
    if (state.permits.length > 0) {
      state.permits.shift();
    } else if (state.nextSlotAt !== undefined) {
      state.nextSlotAt += this._computeSlotInterval(perSecond);
    }
    state.knownSince ??= now;
    return { isLimited: true, takenAt: now };
  }

  /** False if the request must not be sent with the permit: it has expired, or the target has named a limit since. */
  public isValid(target: TargetRecord, { isLimited, takenAt }: IPermit, now: number): boolean {
    return (
      this.getLimit(target) === undefined || (isLimited && now - takenAt <= PERMIT_LIFETIME_MS)
    );
  }

  /** Counts a request that found no permit and does not wait for one: the next ones may want some. */
  public recordLacking(target: TargetRecord): void {
    this._ensure(target).demand += 1;
  }

  /** Expected time until a further request gets a permit; 0 without a limit. */
  public estimateWaitMs(target: TargetRecord, now: number): number {
    const perSecond = this.getLimit(target);
    if (perSecond === undefined) {
      return 0;
    }
    const state = this._ensure(target);
    const ahead = this._waiters.filter(({ targetId }) => targetId === target.id);
    if (!this._isHubReachable) {
      const slotAt = this._ensureSlot(state, perSecond, now);
      return Math.max(0, slotAt - now) + ahead.length * this._computeSlotInterval(perSecond);
    }
    const unreported = ahead.filter(({ isReported }) => !isReported).length;
    const hasStatement = now - state.metAtStatedAt <= MAX_WAIT_AGE_MS;
    const statedMs = hasStatement ? Math.max(0, state.metAt - now) : 0;
    return statedMs + (state.demand + unreported + 1) * computePermitInterval(perSecond);
  }

  /** Waits until the request probably has a permit, until the timeout, or until aborted. */
  public async waitForPermit(
    target: TargetRecord,
    { priority, arrivedAt, timeoutMs, signals }: IWaitOptions,
    now: number,
  ): Promise<void> {
    const rank = arrivedAt + priority * URGENCY_HEAD_START_MS;
    const wake = new AbortController();
    const waiter = { targetId: target.id, rank, wake, isReported: false };
    const waitsForSlot = !this._isHubReachable && this.getLimit(target) !== undefined;
    const slotMs = waitsForSlot
      ? Math.max(1, this.estimateWaitMs(target, now))
      : Number.POSITIVE_INFINITY;
    this._ensure(target);
    this._waiters.push(waiter);
    try {
      await sleep(Math.min(timeoutMs, slotMs), wake.signal, ...signals);
    } finally {
      this._waiters = this._waiters.filter((other) => other !== waiter);
    }
  }

  public listReports(now: number): IRateLimitReports {
    const observations = [...this._states].flatMap(([target, state]) => {
      const { born, observation, isUnreported } = state;
      if (observation === undefined || !isUnreported) {
        return [];
      }
      state.lastReported = observation;
      const { perSecond, at } = observation;
      const ageMs = clampToUint32(now - at);
      const limit = perSecond === undefined ? {} : { perSecond };
      return [create(RateLimitReportSchema, { target, born, ageMs, ...limit })];
    });
    const waiting = new Map<string, number>();
    for (const waiter of this._waiters) {
      waiter.isReported = true;
      waiting.set(waiter.targetId, (waiting.get(waiter.targetId) ?? 0) + 1);
    }
    const demands = [...this._states].flatMap(([target, state]) => {
      dropExpired(state, now);
      const requests = state.demand + (waiting.get(target) ?? 0) - state.permits.length;
      state.demand = 0;
      return requests > 0 ? [create(PermitDemandSchema, { target, requests })] : [];
    });
    return { observations, demands };
  }

  public removeReported({ observations }: Pick<IRateLimitReports, 'observations'>): void {
    for (const { target, born } of observations) {
      const state = this._states.get(target);
      if (state?.born === born && state.observation === state.lastReported) {
        state.isUnreported = false;
      }
    }
  }

  public repeatReports(): void {
    for (const state of this._states.values()) {
      state.isUnreported = state.observation?.perSecond !== undefined;
    }
  }

  public applyGrants(
    grants: readonly Pick<PermitGrant, 'target' | 'born' | 'permits' | 'waitMs'>[],
    requestedAt: number,
    now: number,
  ): void {
    for (const { target, born, permits, waitMs } of grants) {
      const state = this._states.get(target);
      if (state?.born === born) {
        const expiresAt = requestedAt + PERMIT_LIFETIME_MS;
        state.permits.push(...Array.from({ length: permits }, () => expiresAt));
        state.metAt = now + waitMs;
        state.metAtStatedAt = now;
      }
    }
    this._releaseWaiters(now);
  }

  public setHubReachable(isReachable: boolean, now: number): void {
    if (isReachable === this._isHubReachable) {
      return;
    }
    this._isHubReachable = isReachable;
    for (const state of this._states.values()) {
      state.nextSlotAt = undefined;
    }
    for (const { wake } of this._waiters) {
      wake.abort();
    }
    this._releaseWaiters(now);
  }

  /** Forgets a target that has ended. */
  public remove(id: string): void {
    this._states.delete(id);
  }

  /** Releases the requests that wait for a permit of each target, in order of rank, up to the number of its permits. */
  private _releaseWaiters(now: number): void {
    const left = new Map<string, number>();
    for (const { targetId, wake } of [...this._waiters].sort((a, b) => a.rank - b.rank)) {
      const target = this._options.findTarget(targetId);
      const permits = left.get(targetId) ?? (target && this._countPermits(target, now));
      if (permits === undefined || permits > 0) {
        wake.abort();
      }
      left.set(targetId, (permits ?? Number.POSITIVE_INFINITY) - 1);
    }
  }

  /** Number of requests that may be sent to the target now; infinite without a limit. */
  private _countPermits(target: TargetRecord, now: number): number {
    const perSecond = this.getLimit(target);
    if (perSecond === undefined) {
      const state = this._find(target);
      if (state !== undefined) {
        state.knownSince = undefined;
        state.nextSlotAt = undefined;
      }
      return Number.POSITIVE_INFINITY;
    }
    const state = this._ensure(target);
    state.knownSince ??= now;
    dropExpired(state, now);
    if (state.permits.length > 0 || this._isHubReachable) {
      return state.permits.length;
    }
    return this._ensureSlot(state, perSecond, now) <= now ? 1 : 0;
  }

  private _computeSlotInterval(perSecond: number): number {
    const entries = Math.max(1, this._options.countEntries());
    return (computePermitInterval(perSecond) * entries) / SHARE_WITHOUT_HUB;
  }

  /** Time of the present or next slot of this entry. Slots begin at a random time, so that the entries take turns. */
  private _ensureSlot(state: ILimitState, perSecond: number, now: number): number {
    const intervalMs = this._computeSlotInterval(perSecond);
    let slotAt = state.nextSlotAt ?? now + this._options.random() * intervalMs;
    if (slotAt < now - SLOT_MS) {
      slotAt += Math.ceil((now - SLOT_MS - slotAt) / intervalMs) * intervalMs;
    }
    state.nextSlotAt = slotAt;
    return slotAt;
  }

  private _observe(target: TargetRecord, observation: IObservation, now: number): void {
    const state = this._ensure(target);
    state.observation = observation;
    state.isUnreported = true;
    state.knownSince = observation.perSecond === undefined ? undefined : (state.knownSince ?? now);
    this._releaseWaiters(now);
  }

  private _find({ id, born }: TargetRecord): ILimitState | undefined {
    const state = this._states.get(id);
    return state?.born === born ? state : undefined;
  }

  private _ensure(target: TargetRecord): ILimitState {
    const existing = this._find(target);
    if (existing !== undefined) {
      return existing;
    }
    const state: ILimitState = {
      born: target.born,
      observation: undefined,
      isUnreported: false,
      lastReported: undefined,
      knownSince: undefined,
      permits: [],
      demand: 0,
      metAt: Number.NEGATIVE_INFINITY,
      metAtStatedAt: Number.NEGATIVE_INFINITY,
      nextSlotAt: undefined,
    };
    this._states.set(target.id, state);
    return state;
  }
}

function dropExpired(state: ILimitState, now: number): void {
  state.permits = state.permits.filter((expiresAt) => expiresAt > now);
}
