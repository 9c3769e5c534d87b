/** What all policies have in common: the load view and its upkeep. */
import { LoadView } from './LoadView.js';
import type {
  ChainHash,
  IAnswer,
  IBusyReceipt,
  INoDecision,
  IRouteDecision,
  IRouteRequest,
  IRoutingPolicy,
  ITargetView,
  RouteReason,
} from './Types.js';

/** True when the target may get new work. */
export function isUsable(target: ITargetView): boolean {
  return target.healthy && !target.draining;
}

/** Result when no target is usable. */
export function explainNone(targets: readonly ITargetView[]): INoDecision {
  return {
    kind: 'none',
    reason: targets.length === 0 ? 'no-target' : 'all-draining-or-unhealthy',
  };
}

/** Base of the policies that know only the load. */
export abstract class BasePolicy implements IRoutingPolicy {
  public abstract readonly name: string;
  protected readonly loads = new LoadView();

  public abstract choose(
    request: IRouteRequest,
    targets: readonly ITargetView[],
    now: number,
  ): IRouteDecision;

  public onDispatched(request: IRouteRequest, target: ITargetView, now: number): void {
    this.loads.open(request.requestId, target.id, 0, now);
  }

  public onFirstToken(requestId: string, now: number): void {
    this.loads.markFirstToken(requestId, now);
  }

  public onAnswered(requestId: string, answer: IAnswer, now: number): void {
    const targetId = this.loads.close(requestId, now);
    if (targetId !== undefined && answer.load !== undefined) {
      this.loads.report(targetId, answer.load);
    }
  }

  public onFailed(requestId: string, now: number): void {
    this.loads.close(requestId, now);
  }

  public onBusy(requestId: string, receipt: IBusyReceipt, now: number): void {
    const targetId = this.loads.close(requestId, now);
    if (targetId !== undefined) {
      this.loads.reportWait(targetId, receipt.waitMs, now);
    }
  }

  /** Policies without an index of prefixes have nothing to correct. */
  public onEvicted(target: ITargetView, hashes: readonly ChainHash[]): void;
  public onEvicted(): void {
    return;
  }

  /** Policies without an index of prefixes have nothing to learn. */
  public onCached(target: ITargetView, hashes: readonly ChainHash[], now: number): void;
  public onCached(): void {
    return;
  }

  public onTargetGone(targetId: string): void {
    this.loads.drop(targetId);
  }

  /** Decision without an estimate. */
  protected decide(target: ITargetView, reason: RouteReason): IRouteDecision {
    return {
      kind: 'target',
      target,
      expectedCachedTokens: 0,
      estimatedTtftMs: 0,
      maxTtftMs: Infinity,
      reason,
      candidates: [],
    };
  }
}
