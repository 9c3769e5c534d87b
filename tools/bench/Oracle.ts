/** Routing with exact knowledge, the bound that the policies are compared with. */
import { BasePolicy, explainNone } from '../../src/policy/BasePolicy.js';
import type { IRouteDecision, IRouteRequest, ITargetView } from '../../src/policy/Types.js';
import type { Engine } from './Engine.js';

/** Hop between an entry and an engine in milliseconds, one way. */
export type IHopOf = (engine: Engine) => number;

/**
 * Knows each cache and each queue at the instant of the decision and takes the engine with the
 * smallest exact time to first token.
 */
export class Oracle extends BasePolicy {
  public readonly name = 'oracle';

  constructor(
    private readonly _engines: readonly Engine[],
    private readonly _hopOf: IHopOf,
  ) {
    super();
  }

  public override choose(
    request: IRouteRequest,
    targets: readonly ITargetView[],
    now: number,
  ): IRouteDecision {
    let best: Engine | undefined;
    let bestMs = Infinity;
    for (const engine of this._engines) {
      if (!engine.isUp) {
        continue;
      }
      const ttftMs =
        engine.computeTtft(request.chain, request.promptTokens, now) + 2 * this._hopOf(engine);
      if (ttftMs < bestMs) {
        best = engine;
        bestMs = ttftMs;
      }
    }
    const view = targets.find((target) => target.id === best?.id);
    if (view === undefined || best === undefined) {
      return explainNone(targets);
    }
    // The view of the entry may show a past incarnation.
    return this.decide({ ...view, incarnation: best.incarnation }, 'least-load');
  }
}
