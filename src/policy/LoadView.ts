/** Load of the targets, from their delayed reports and the open dispatches of this process. */
import type { ILoad, ITargetView } from './Types.js';

/**
 * Fraction of the reported queue of other entries that counts towards the wait: a report is on average half
 * an interval old, and some of the prompts queued then have been computed.
 */
const OTHERS_QUEUE_FRACTION = 0.5;

interface ITargetLoad {
  reportedAt: number;
  /** Reported queue length minus this process's dispatches that were waiting when the report arrived. */
  othersQueued: number;
  running: number;
  /** Wait for requests of others, from a wait that the target stated; undefined after a report without one. */
  othersWaitMs: number | undefined;
  othersWaitAt: number;
  /** Open dispatches of this process, with or without a first token. */
  open: number;
  /** Dispatches of this process that wait for the first token. */
  waiting: number;
  /** Estimated prefill time of the waiting dispatches. */
  waitingPrefillMs: number;
  /** When the target last finished, or began, the prefill of a dispatch of this process. */
  progressAt: number;
}

interface IOpenDispatch {
  readonly targetId: string;
  readonly prefillMs: number;
  hasFirstToken: boolean;
}

/** Remaining prefill time of this process's dispatches: progress is only reported when a prompt is finished. */
function estimateOwnWait(state: ITargetLoad, now: number): number {
  return Math.max(0, state.waitingPrefillMs - (now - state.progressAt));
}

/** Combines the reports of the targets with the dispatches that this process has sent since. */
export class LoadView {
  private readonly _targets = new Map<string, ITargetLoad>();
  private readonly _dispatches = new Map<string, IOpenDispatch>();

  /** Applies the report of a target if it is newer than the last one applied. */
  public refresh(target: ITargetView): void {
    if (target.load !== undefined) {
      this.report(target.id, target.load);
    }
  }

  /** Applies a report if it is newer than the last one applied. */
  public report(targetId: string, load: ILoad): void {
    const state = this._ensureTarget(targetId);
    if (load.reportedAt <= state.reportedAt) {
      return;
    }
    state.reportedAt = load.reportedAt;
    state.othersQueued = Math.max(0, load.queued - state.waiting);
    state.running = load.running;
    state.othersWaitMs = undefined;
    if (load.waitMs !== undefined) {
      this.reportWait(targetId, load.waitMs, load.reportedAt);
    }
  }

  /** Applies the wait that the target stated in a report or when it refused a dispatch. */
  public reportWait(targetId: string, waitMs: number, now: number): void {
    const state = this._ensureTarget(targetId);
    state.othersWaitMs = Math.max(0, waitMs - estimateOwnWait(state, now));
    state.othersWaitAt = now;
  }

  /** Adds a dispatch with the given estimated prefill time. */
  public open(requestId: string, targetId: string, prefillMs: number, now: number): void {
    this.close(requestId, now);
    const state = this._ensureTarget(targetId);
    if (state.waiting === 0) {
      state.progressAt = now;
    }
    state.open += 1;
    state.waiting += 1;
    state.waitingPrefillMs += prefillMs;
    this._dispatches.set(requestId, { targetId, prefillMs, hasFirstToken: false });
  }

  /** Records that the first token arrived, so that the prompt of the dispatch is computed. */
  public markFirstToken(requestId: string, now: number): void {
    const dispatch = this._dispatches.get(requestId);
    if (dispatch === undefined || dispatch.hasFirstToken) {
      return;
    }
    dispatch.hasFirstToken = true;
    const state = this._ensureTarget(dispatch.targetId);
    state.waiting -= 1;
    state.waitingPrefillMs =
      state.waiting === 0 ? 0 : Math.max(0, state.waitingPrefillMs - dispatch.prefillMs);
    state.progressAt = now;
  }

  /** Removes a dispatch, whatever its outcome. Returns its target, or undefined if it is not open. */
  public close(requestId: string, now: number): string | undefined {
    const dispatch = this._dispatches.get(requestId);
    if (dispatch === undefined) {
      return undefined;
    }
    this.markFirstToken(requestId, now);
    this._ensureTarget(dispatch.targetId).open -= 1;
    this._dispatches.delete(requestId);
    return dispatch.targetId;
  }

  /** Number of open dispatches of this process to the target. */
  public countOpen(targetId: string): number {
    return this._targets.get(targetId)?.open ?? 0;
  }

  /** Number of requests at the target: reported ones of others and those of this process. */
  public countAll(targetId: string): number {
    const state = this._targets.get(targetId);
    return state === undefined ? 0 : state.othersQueued + state.running + state.waiting;
  }

  /**
   * Estimated queueing time of a new request in milliseconds.
   *
   * @param serviceMs mean prefill time of a request at the target
   */
  public estimateWait(targetId: string, serviceMs: number, now: number): number {
    const state = this._targets.get(targetId);
    if (state === undefined) {
      return 0;
    }
    if (state.othersWaitMs !== undefined) {
      // The target computes one prompt at a time, so our dispatches make no progress while it serves others.
      const othersElapsedMs = Math.min(state.othersWaitMs, now - state.othersWaitAt);
      return state.othersWaitMs - othersElapsedMs + estimateOwnWait(state, now - othersElapsedMs);
    }
    const ownWaitMs = estimateOwnWait(state, now);
    return ownWaitMs + OTHERS_QUEUE_FRACTION * state.othersQueued * serviceMs;
  }

  /** Number of requests that generate output, from the last report. */
  public countRunning(targetId: string): number {
    return this._targets.get(targetId)?.running ?? 0;
  }

  /** Drops the reports of a target. Its open dispatches remain until they are closed. */
  public drop(targetId: string): void {
    const state = this._targets.get(targetId);
    if (state === undefined) {
      return;
    }
    if (state.open === 0) {
      this._targets.delete(targetId);
      return;
    }
    state.reportedAt = -1;
    state.othersQueued = 0;
    state.othersWaitMs = undefined;
    state.running = 0;
  }

  private _ensureTarget(targetId: string): ITargetLoad {
    const existing = this._targets.get(targetId);
    if (existing !== undefined) {
      return existing;
    }
    const state = {
      reportedAt: -1,
      othersQueued: 0,
      running: 0,
      othersWaitMs: undefined,
      othersWaitAt: 0,
      open: 0,
      waiting: 0,
      waitingPrefillMs: 0,
      progressAt: 0,
    };
    this._targets.set(targetId, state);
    return state;
  }
}
