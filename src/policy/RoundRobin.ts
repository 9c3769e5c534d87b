/** Baseline policy: round robin. */
import { BasePolicy, explainNoTarget, isUsable } from './BasePolicy.js';
import type { IRouteDecision, IRouteRequest, ITargetView } from './Types.js';

/** Chooses the usable targets in turn, regardless of load and cache. */
export class RoundRobin extends BasePolicy {
  public readonly name = 'round-robin';
  private _nextPosition: number;

  /** @param start position of the first target; if it differs between entries, they send to different targets */
  constructor(start = 0) {
    super();
    this._nextPosition = start;
  }

  public choose(_request: IRouteRequest, targets: readonly ITargetView[]): IRouteDecision {
    for (const [skipped] of targets.entries()) {
      const target = targets[(this._nextPosition + skipped) % targets.length];
      if (target !== undefined && isUsable(target)) {
        this._nextPosition = (this._nextPosition + skipped + 1) % targets.length;
        return this.decide(target, 'rotation');
      }
    }
    return explainNoTarget(targets);
  }
}
