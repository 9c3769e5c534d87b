/**
 * The leader's part of the limits that targets name: it issues permits at the named rate to all processes together.
 * Which limit is in force is part of the target's record.
 */
import { clampToUint32 } from '../common/Uint32.js';
import type {
  PermitDemand,
  PermitGrant,
  RateLimitReport,
  TargetRecord,
} from '../gen/redwingwharf/v1/fleet_pb.js';

/** Permits of an unused target accumulate for this long. */
const MAX_ACCUMULATION_MS = 500;

/**
 * A former leader may issue permits for this long after the start of the next one: until it notices that no majority
 * confirms it.
 */
const PERMIT_HANDOVER_MS = 1_500;

/**
 * A report may have been under way for this long. Whether a request was sent before or after a limit was named is
 * known only with this tolerance.
 */
const REPORT_DELAY_MS = 700;

/** A lower limit counts as this one, so that its end is noticed. */
const MIN_REQUESTS_PER_SECOND = 0.2;

/** Time between two requests that a limit allows. */
export function computePermitInterval(perSecond: number): number {
  return 1_000 / Math.max(MIN_REQUESTS_PER_SECOND, perSecond);
}

/** Sets or clears the limit in a target's record. */
export function setRateLimit(record: TargetRecord, perSecond: number | undefined): void {
  if (perSecond === undefined) {
    delete record.rateLimit;
  } else {
    record.rateLimit = perSecond;
  }
}

/** A target with a limit, as its record says. */
export interface ILimitedTarget {
  readonly id: string;
  readonly born: number;
  readonly perSecond: number;
}

interface IIssueState {
  readonly born: number;
  /** When a response last named a limit. */
  namedAt: number;
  /** When the next permit may be issued. */
  nextAt: number;
  /** Requests without a permit, by process. */
  readonly demands: Map<string, number>;
  totalDemand: number;
}

/**
 * Issues permits for targets with a limit. Exists with the hub, for one term.
 *
 * @example
 * const limits = new TargetRateLimits(now);
 * limits.grant('10.1.0.1:7740', { id: 'i-1', born: 100, perSecond: 2 }, 1, now);
 */
export class TargetRateLimits {
  private readonly _states = new Map<string, IIssueState>();

  constructor(private readonly _startedAt: number) {}

  /** True if a report is later than what is known, so that the target's record is to say what it says. */
  public applyReport({ target, born, perSecond, ageMs }: RateLimitReport, now: number): boolean {
    const state = this._ensure(target, born);
    const at = now - ageMs;
    if (perSecond === undefined) {
      return at - REPORT_DELAY_MS > state.namedAt;
    }
    const isLater = at >= state.namedAt;
    state.namedAt = Math.max(state.namedAt, at);
    return isLater;
  }

  /** Grants as many permits as a process demands and the limit allows. */
  public grant(
    node: string,
    { id, born, perSecond }: ILimitedTarget,
    { requests }: Pick<PermitDemand, 'requests'>,
    now: number,
  ): Pick<PermitGrant, 'target' | 'born' | 'permits' | 'waitMs'> {
    const state = this._ensure(id, born);
    const intervalMs = computePermitInterval(perSecond);
    state.nextAt = Math.max(state.nextAt, now - MAX_ACCUMULATION_MS);
    let permits = 0;
    while (permits < requests && state.nextAt <= now) {
      permits += 1;
      state.nextAt += intervalMs;
    }
    this._setDemand(state, node, requests - permits);
    const waitMs = state.nextAt - now + (state.totalDemand - 1) * intervalMs;
    return { target: id, born, permits, waitMs: clampToUint32(waitMs) };
  }

  /** Drops the demand of a process that has stopped, or that demands no more of any target but these. */
  public keepDemands(node: string, targets: ReadonlySet<string>): void {
    for (const [id, state] of this._states) {
      if (!targets.has(id)) {
        this._setDemand(state, node, 0);
      }
    }
  }

  /** Forgets a target that is gone. */
  public remove(id: string): void {
    this._states.delete(id);
  }

  private _ensure(target: string, born: number): IIssueState {
    let state = this._states.get(target);
    if (state?.born !== born) {
      state = {
        born,
        // An earlier leader may have learned of the limit until then.
        namedAt: this._startedAt,
        nextAt: this._startedAt + PERMIT_HANDOVER_MS,
        demands: new Map(),
        totalDemand: 0,
      };
      this._states.set(target, state);
    }
    return state;
  }

  private _setDemand(state: IIssueState, node: string, requests: number): void {
    state.totalDemand += requests - (state.demands.get(node) ?? 0);
    if (requests === 0) {
      state.demands.delete(node);
    } else {
      state.demands.set(node, requests);
    }
  }
}
