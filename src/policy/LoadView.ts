/** Load of the targets: lagging reports and the open dispatches of this process. */
import type { ILoad, ITargetView } from './Types.js';

/**
 * Part of the reported queue of others that counts as wait: a report is on average half an interval
 * old, and the prompts queued then are partly computed.
 */
const OTHERS_SHARE = 0.5;

interface ITargetLoad {
  reportedAt: number;
  /** Reported queue length less the own dispatches that waited when the report arrived. */
  othersQueued: number;
  running: number;
  /** Wait for the work of others that the target told, until the next report. */
  othersMs: number | undefined;
  othersMsAt: number;
  /** Own dispatches, answered or not, that are still open. */
  open: number;
  /** Own dispatches without a first token. */
  waiting: number;
  /** Estimated prompt work of the waiting dispatches in milliseconds. */
  waitingMs: number;
  /** When the target was last seen to make progress on own work. */
  progressAt: number;
}

interface IOpenDispatch {
  readonly targetId: string;
  readonly workMs: number;
  hasFirstToken: boolean;
}

/** The work in progress is partly done, but never reported as finished. */
function estimateOwn(state: ITargetLoad, now: number): number {
  return Math.max(0, state.waitingMs - (now - state.progressAt));
}

/** Joins what targets reported with what this process sent since. */
export class LoadView {
  private readonly _targets = new Map<string, ITargetLoad>();
  private readonly _dispatches = new Map<string, IOpenDispatch>();

  /** Takes over the report of a target if it is newer than the known one. */
  public refresh(target: ITargetView): void {
    if (target.load !== undefined) {
      this.report(target.id, target.load);
    }
  }

  /** Takes over a report unless a newer one is known. */
  public report(targetId: string, load: ILoad): void {
    const state = this._ensure(targetId);
    if (load.reportedAt <= state.reportedAt) {
      return;
    }
    state.reportedAt = load.reportedAt;
    state.othersQueued = Math.max(0, load.queued - state.waiting);
    state.running = load.running;
    state.othersMs = undefined;
    if (load.waitMs !== undefined) {
      this.reportWait(targetId, load.waitMs, load.reportedAt);
    }
  }

  /** Takes over the wait that the target told in a report or when it refused a dispatch. */
  public reportWait(targetId: string, waitMs: number, now: number): void {
    const state = this._ensure(targetId);
    state.othersMs = Math.max(0, waitMs - estimateOwn(state, now));
    state.othersMsAt = now;
  }

  /** Counts a dispatch with `workMs` of estimated prompt computation. */
  public open(requestId: string, targetId: string, workMs: number, now: number): void {
    this.close(requestId, now);
    const state = this._ensure(targetId);
    if (state.waiting === 0) {
      state.progressAt = now;
    }
    state.open += 1;
    state.waiting += 1;
    state.waitingMs += workMs;
    this._dispatches.set(requestId, { targetId, workMs, hasFirstToken: false });
  }

  /** The prompt of the dispatch is computed. */
  public markFirstToken(requestId: string, now: number): void {
    const dispatch = this._dispatches.get(requestId);
    if (dispatch === undefined || dispatch.hasFirstToken) {
      return;
    }
    dispatch.hasFirstToken = true;
    const state = this._ensure(dispatch.targetId);
    state.waiting -= 1;
    state.waitingMs = state.waiting === 0 ? 0 : Math.max(0, state.waitingMs - dispatch.workMs);
    state.progressAt = now;
  }

  /** Ends a dispatch, whatever its result, and returns its target. */
  public close(requestId: string, now: number): string | undefined {
    const dispatch = this._dispatches.get(requestId);
    if (dispatch === undefined) {
      return undefined;
    }
    this.markFirstToken(requestId, now);
    this._ensure(dispatch.targetId).open -= 1;
    this._dispatches.delete(requestId);
    return dispatch.targetId;
  }

  /** Open dispatches of this process to the target. */
  public countOpen(targetId: string): number {
    return this._targets.get(targetId)?.open ?? 0;
  }

  /** Requests at the target: reported ones of others and own ones. */
  public countAll(targetId: string): number {
    const state = this._targets.get(targetId);
    return state === undefined ? 0 : state.othersQueued + state.running + state.waiting;
  }

  /** Estimated wait for the queued prompt work. `serviceMs` is the mean work of a request. */
  public estimateWait(targetId: string, serviceMs: number, now: number): number {
    const state = this._targets.get(targetId);
    if (state === undefined) {
      return 0;
    }
    if (state.othersMs !== undefined) {
      // The target computes one prompt at a time: own work does not advance while that of others does.
      const othersDoneMs = Math.min(state.othersMs, now - state.othersMsAt);
      return state.othersMs - othersDoneMs + estimateOwn(state, now - othersDoneMs);
    }
    const own = estimateOwn(state, now);
    return own + OTHERS_SHARE * state.othersQueued * serviceMs;
  }

  /** Requests that generate output, from the last report. */
  public countRunning(targetId: string): number {
    return this._targets.get(targetId)?.running ?? 0;
  }

  /** Forgets the reports of a target; open dispatches end by themselves. */
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
    state.othersMs = undefined;
    state.running = 0;
  }

  private _ensure(targetId: string): ITargetLoad {
    const known = this._targets.get(targetId);
    if (known !== undefined) {
      return known;
    }
    const state = {
      reportedAt: -1,
      othersQueued: 0,
      running: 0,
      othersMs: undefined,
      othersMsAt: 0,
      open: 0,
      waiting: 0,
      waitingMs: 0,
      progressAt: 0,
    };
    this._targets.set(targetId, state);
    return state;
  }
}
