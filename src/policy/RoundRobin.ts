/** Baseline: targets in turn. */
import { BasePolicy, explainNone, isUsable } from './BasePolicy.js';
import type { IRouteDecision, IRouteRequest, ITargetView } from './Types.js';

/** Takes the usable targets in turn, regardless of load and cache. */
export class RoundRobin extends BasePolicy {
  public readonly name = 'round-robin';
  private _next: number;

  /** @param start position of the first target, so that entries don't run in step */
  constructor(start = 0) {
    super();
    this._next = start;
  }

  public choose(_request: IRouteRequest, targets: readonly ITargetView[]): IRouteDecision {
    for (const [skipped] of targets.entries()) {
      const target = targets[(this._next + skipped) % targets.length];
      if (target !== undefined && isUsable(target)) {
        this._next = (this._next + skipped + 1) % targets.length;
        return this.decide(target, 'rotation');
      }
    }
    return explainNone(targets);
  }
}
