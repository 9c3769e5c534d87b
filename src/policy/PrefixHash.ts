/** Baseline policy: rendezvous hashing of the first chunks of a prompt. */
import { BasePolicy, explainNoTarget, isUsable } from './BasePolicy.js';
import { hashText, TargetTable } from './TargetTable.js';
import type { IRandom, IRouteDecision, IRouteRequest, ITargetView } from './Types.js';

/** Number of leading chunks whose hash selects the target; a shorter prompt uses all its chunks. */
const DEFAULT_HEAD_CHUNKS = 4;

/** Targets ranked first; if none of them is usable, all are ranked. */
const INITIAL_RANKED_TARGETS = 3;

/** Sends the same prefix to the same target while that target is usable, regardless of its load. */
export class PrefixHash extends BasePolicy {
  public readonly name = 'prefix-hash';
  private readonly _random: IRandom;
  private readonly _headChunks: number;
  private readonly _table = new TargetTable();

  constructor(random: IRandom, headChunks = DEFAULT_HEAD_CHUNKS) {
    super();
    this._random = random;
    this._headChunks = headChunks;
  }

  public choose(request: IRouteRequest, targets: readonly ITargetView[]): IRouteDecision {
    this._table.refresh(targets);
    const head = request.chain[Math.min(this._headChunks, request.chain.length) - 1];
    const key = head === undefined ? Math.floor(this._random() * 2 ** 32) : hashText(head);
    for (const count of [INITIAL_RANKED_TARGETS, targets.length]) {
      for (const position of this._table.rankAll(key, count)) {
        const target = targets[position];
        if (target !== undefined && isUsable(target)) {
          return this.decide(target, 'home');
        }
      }
    }
    return explainNoTarget(targets);
  }
}
