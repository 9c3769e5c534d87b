/** Routing with exact knowledge of the engines, as a bound to compare the policies with. */
import { BasePolicy, explainNoTarget } from '../../src/policy/BasePolicy.js';
import type { IRouteDecision, IRouteRequest, ITargetView } from '../../src/policy/Types.js';
import type { Engine } from './Engine.js';

/** Returns the one-way network latency between an entry and an engine. */
export type GetHopLatencyMs = (engine: Engine) => number;

/**
 * Reads each cache and queue at the instant of the decision, which no real entry can, and chooses
 * the engine with the smallest exact time to first token.
 */
export class Oracle extends BasePolicy {
  public readonly name = 'oracle';

  constructor(
    private readonly _engines: readonly Engine[],
    private readonly _getHopLatencyMs: GetHopLatencyMs,
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
        engine.computeTtft(request.chain, request.promptTokens, now) +
        2 * this._getHopLatencyMs(engine);
      if (ttftMs < bestMs) {
        best = engine;
        bestMs = ttftMs;
      }
    }
    const view = targets.find((target) => target.id === best?.id);
    if (view === undefined || best === undefined) {
      return explainNoTarget(targets);
    }
    // The entry may not have received the announcement of the current incarnation yet.
    return this.decide({ ...view, incarnation: best.incarnation }, 'least-load');
  }
}
