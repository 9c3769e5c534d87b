/** Chooses the target of a request among those of its service that may be sent one. */
import type { Shutdown } from '../common/Shutdown.js';
import { getSoftwareVersion } from '../fleet/SoftwareVersions.js';
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import type { IPlacement, Placement } from './Placement.js';
import type { IPlacementRequest, IPlacementTarget } from './PlacementRequest.js';
import type { ResponseTimes } from './ResponseTimes.js';
import type { IVersionGate, RolloutGate } from './RolloutGate.js';
import { getWeightsUsableMs, type ISendCheckContext } from './SendCheck.js';
import { computeLatestStart, estimateRunMs, type IPlannedRun } from './StopPolicy.js';
import type { StoreIndex } from './StoreIndex.js';
import type { IVersionChoice } from './StreamBinding.js';
import { getPauseMs } from './TargetStates.js';

/** Part of the objective; a request that is expected later at the version whose turn it is may go to another one. */
const MAX_PREFERRED_LATENESS = 0.7;

/** What the selection depends on beside the request. */
export interface ITargetSelectorContext extends ISendCheckContext {
  readonly placement: Placement;
  readonly store: StoreIndex;
  readonly shutdown: Shutdown;
  readonly responseTimes: ResponseTimes;
  readonly rollouts: RolloutGate;
}

/** A request that needs a target. */
export interface ISelection {
  readonly service: string;
  readonly requestId: string;
  readonly request: IPlacementRequest;
  /** Ids of targets that are left out, as the call was sent to them before. */
  readonly tried: ReadonlySet<string>;
  /** Whether the request, or a part of its prompt, may have crashed a target. */
  readonly isSuspect: boolean;
  /** Software versions that the request may be sent to; undefined: all. */
  readonly versions: IVersionChoice | undefined;
  readonly run: Omit<IPlannedRun, 'expectedFirstMs'>;
}

/** Where a request can be sent now. */
export type TargetChoice =
  | {
      readonly kind: 'placed';
      readonly placement: IPlacement;
      /** Expected duration of the response. */
      readonly runMs: number;
    }
  /** All targets have reached their limits, or want no requests for a time; this one will probably take it first. */
  | { readonly kind: 'closed'; readonly target: TargetRecord }
  | { readonly kind: 'none' }
  /** The process stops before the request could begin, or before its response would end. */
  | { readonly kind: 'stopping' };

/**
 * Every way of a request to a target leads through `choose`: first tries, repetitions, second targets and resumed
 * streams.
 *
 * @example
 * const choice = selector.choose({ service: 'lace', requestId, request, tried, isSuspect: false, versions: undefined, run }, now);
 */
export class TargetSelector {
  constructor(private readonly _context: ITargetSelectorContext) {}

  /**
   * Chooses a target that was not tried yet and may be sent a request, outside its cooldown if possible. If all others
   * have a limit or want no requests for a time, the request waits for the one that probably takes it first.
   */
  public choose(selection: ISelection, now: number): TargetChoice {
    const { limits, placement, store, shutdown } = this._context;
    const { request, isSuspect, versions } = selection;
    const isCool = ({ state }: IPlacementTarget): boolean => now >= state.cooldownUntil;
    const isOpen = ({ record, state }: IPlacementTarget): boolean =>
      limits.hasPermit(record, now) && getPauseMs(state, now) === 0;
    const targets = this._applyGate(
      selection,
      this._listCandidates(selection, now),
      now,
      (item) => isCool(item) && isOpen(item),
    );
    const open = targets.filter(isOpen);
    const closed = open.length === targets.length ? [] : targets.filter((item) => !isOpen(item));
    const isClosed = open.length === 0 || (closed.some(isCool) && !open.some(isCool));
    if (closed.length > 0 && isClosed) {
      if (shutdown.hasBegun) {
        return { kind: 'stopping' };
      }
      const next = findSoonest(filterPreferred(closed, isCool), ({ record }) =>
        this.estimateWaitMs(record, now),
      );
      return { kind: 'closed', target: next.record };
    }
    if (closed.length > 0) {
      const wanted = placement.choose(request, targets.filter(isCool), store, now);
      if (wanted !== undefined && !limits.hasPermit(wanted.target, now)) {
        limits.recordLacking(wanted.target);
      }
    }
    const isPreferred = ({ record }: IPlacementTarget): boolean =>
      versions?.preferred === undefined || getSoftwareVersion(record) === versions.preferred;
    const available = filterPreferred(filterPreferred(open, isCool), isPreferred);
    // A crash then tells which of the suspects is to blame, and breaks no other one.
    const apart = isSuspect
      ? filterPreferred(available, ({ state }) => state.suspects === 0)
      : available;
    const chosen = placement.choose(request, apart, store, now);
    return chosen === undefined ? { kind: 'none' } : this._admit(selection, chosen, now);
  }

  /** Leaves out a request whose response would end later than the process. */
  private _admit({ request, run }: ISelection, placement: IPlacement, now: number): TargetChoice {
    const { shutdown, responseTimes } = this._context;
    const expectedFirstMs = request.isEngine ? placement.expectedMs : 0;
    const runMs = estimateRunMs({ ...run, expectedFirstMs }, responseTimes, now);
    return now <= computeLatestStart(shutdown, runMs, now)
      ? { kind: 'placed', placement, runMs }
      : { kind: 'stopping' };
  }

  /** Expected time until a target takes a further request, by its limit and its pause. */
  public estimateWaitMs(target: TargetRecord, now: number): number {
    const { limits, states } = this._context;
    const pauseMs = getPauseMs(states.ensure(target, now), now);
    return limits.hasPermit(target, now)
      ? pauseMs
      : Math.max(pauseMs, limits.estimateWaitMs(target, now));
  }

  /**
   * Leaves out the versions that the request may not be sent to while a software version is rolled out, or since. Of the
   * others it goes to the one that is its turn, if a target of it is well and not expected to be late.
   */
  private _applyGate(
    { service, requestId, request, run }: ISelection,
    targets: readonly IPlacementTarget[],
    now: number,
    isWell: (target: IPlacementTarget) => boolean,
  ): readonly IPlacementTarget[] {
    const { rollouts, placement, store } = this._context;
    const session = request.parts.at(-2)?.id ?? requestId;
    const records = targets.map(({ record }) => record);
    const gate: IVersionGate | undefined = rollouts.open(service, run.route, session, records, now);
    if (gate === undefined) {
      return targets;
    }
    const allowed = targets.filter(({ record }) => gate.isAllowed(record));
    const preferred = allowed.filter(({ record }) => gate.isPreferred(record));
    const usable = preferred.filter(isWell);
    if (preferred.length === allowed.length || usable.length === 0) {
      return allowed;
    }
    if (gate.isFull) {
      return preferred;
    }
    const expectedMs = placement.choose(request, usable, store, now)?.expectedMs ?? 0;
    return expectedMs > MAX_PREFERRED_LATENESS * request.latencyObjectiveMs ? allowed : preferred;
  }

  private _listCandidates(
    { service, request, tried, versions }: ISelection,
    now: number,
  ): readonly IPlacementTarget[] {
    const { view, states } = this._context;
    const untried = view.listTargets(service).filter((record) => !tried.has(record.id));
    return untried.flatMap((record): IPlacementTarget[] => {
      const weightsUsableMs = getWeightsUsableMs(this._context, request.model, record, now);
      const state = states.ensure(record, now);
      const isOtherVersion =
        versions?.required !== undefined && getSoftwareVersion(record) !== versions.required;
      if (weightsUsableMs <= 0 || state.isLeaving || isOtherVersion) {
        return [];
      }
      const { open: othersOpen, pendingTokens } = view.getRemoteWork(record.id);
      return [{ record, state, othersOpen, othersPendingTokens: pendingTokens, weightsUsableMs }];
    });
  }
}

/** The targets that fulfil a condition, or all if none does. */
function filterPreferred(
  targets: readonly IPlacementTarget[],
  isPreferred: (target: IPlacementTarget) => boolean,
): readonly IPlacementTarget[] {
  const preferred = targets.filter(isPreferred);
  return preferred.length > 0 ? preferred : targets;
}

/** The target with the least waiting time, of one or more. */
function findSoonest(
  targets: readonly IPlacementTarget[],
  estimateWaitMs: (target: IPlacementTarget) => number,
): IPlacementTarget {
  const ranked = targets.map((target) => ({ target, waitMs: estimateWaitMs(target) }));
  return ranked.reduce((best, other) => (other.waitMs < best.waitMs ? other : best)).target;
}
