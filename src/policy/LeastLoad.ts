/** Baseline policy: chooses the target with the fewest requests. */
import { BasePolicy, explainNoTarget, isUsable } from './BasePolicy.js';
import type { IRandom, IRouteDecision, IRouteRequest, ITargetView } from './Types.js';

/**
 * Chooses the target with the fewest requests, counting reported ones and those of this process. Ties are
 * broken at random.
 */
export class LeastLoad extends BasePolicy {
  public readonly name = 'least-load';
  private readonly _random: IRandom;

  constructor(random: IRandom) {
    super();
    this._random = random;
  }

  public choose(_request: IRouteRequest, targets: readonly ITargetView[]): IRouteDecision {
    let best: ITargetView | undefined;
    let bestCount = Infinity;
    let ties = 0;
    for (const target of targets) {
      if (!isUsable(target)) {
        continue;
      }
      this.loads.refresh(target);
      const count = this.loads.countAll(target.id);
      ties = count === bestCount ? ties + 1 : 1;
      if (count < bestCount || (count === bestCount && this._random() * ties < 1)) {
        best = target;
        bestCount = count;
      }
    }
    return best === undefined ? explainNoTarget(targets) : this.decide(best, 'least-load');
  }
}
