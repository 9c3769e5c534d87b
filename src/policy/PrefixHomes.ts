/** Home targets of a prefix, on which all entries agree without exchanging messages. */
import { type PrefixHeat } from './PrefixHeat.js';
import { hashText, type TargetTable } from './TargetTable.js';
import type { ChainHash } from './Types.js';

/** Home targets for each target's worth of requests. */
const HEADROOM = 1;

/** Most home targets of one prefix. */
const MAX_HOMES = 64;

/** First chunks whose ranking is kept, so that a known prefix needs no pass over the targets. */
const MAX_RANKINGS = 2_000;

/** A prefix with fewer recent requests is not shared and does not narrow the homes. */
const MIN_SHARED_COUNT = 1.5;

/**
 * Narrows the targets chunk by chunk: a prefix that gets the share `s` of the requests keeps
 * `s * targets` of the homes of its parent prefix, by rendezvous hashing. So a hot prefix has more
 * homes, and its longer prefixes are spread over them.
 */
export class PrefixHomes {
  private readonly _table: TargetTable;
  private readonly _heat: PrefixHeat;
  private readonly _rankings = new Map<ChainHash, readonly number[]>();
  private _version = -1;

  constructor(table: TargetTable, heat: PrefixHeat) {
    this._table = table;
    this._heat = heat;
  }

  /** Positions of the home targets in the table, best first. */
  public find(chain: readonly ChainHash[], now: number): readonly number[] {
    const total = Math.max(1, this._heat.countAll(now));
    const scale = (this._table.count * HEADROOM) / total;
    let homes: readonly number[] | undefined;
    for (const hash of chain) {
      const count = this._heat.count(hash, now);
      if (homes !== undefined && (homes.length === 1 || count < MIN_SHARED_COUNT)) {
        break;
      }
      const wanted = Math.min(MAX_HOMES, Math.max(1, Math.ceil(count * scale)));
      if (homes === undefined) {
        homes = this._rankFirst(hash).slice(0, wanted);
      } else if (wanted < homes.length) {
        homes = this._table.rankSome(homes, hashText(hash), wanted);
      }
    }
    return homes ?? [];
  }

  private _rankFirst(hash: ChainHash): readonly number[] {
    if (this._version !== this._table.version) {
      this._rankings.clear();
      this._version = this._table.version;
    }
    const known = this._rankings.get(hash);
    if (known !== undefined) {
      return known;
    }
    const ranking = this._table.rankAll(hashText(hash), MAX_HOMES);
    const [oldest] = this._rankings.keys();
    if (oldest !== undefined && this._rankings.size >= MAX_RANKINGS) {
      this._rankings.delete(oldest);
    }
    this._rankings.set(hash, ranking);
    return ranking;
  }
}
