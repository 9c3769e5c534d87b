/** Code that the routing policies share. */
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

/** True if the target may get new requests. */
export function isUsable(target: ITargetView): boolean {
  return target.healthy && !target.draining;
}

/** Decision for the case that no target is usable. */
export function explainNoTarget(targets: readonly ITargetView[]): INoDecision {
  return {
    kind: 'none',
    reason: targets.length === 0 ? 'no-target' : 'all-draining-or-unhealthy',
  };
}

/**
 * Base class of the policies. Maintains the view of the targets' load, which is all that the baseline
 * policies know about the targets.
 */
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

  /** Does nothing: policies without a prefix index have nothing to correct. */
  public onEvicted(target: ITargetView, hashes: readonly ChainHash[]): void;
  public onEvicted(): void {
    return;
  }

  /** Does nothing: policies without a prefix index have nothing to learn. */
  public onCached(target: ITargetView, hashes: readonly ChainHash[], now: number): void;
  public onCached(): void {
    return;
  }

  public onTargetGone(targetId: string): void {
    this.loads.drop(targetId);
  }

  /** Decision for the target without estimates and without a limit on the time to first token. */
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
