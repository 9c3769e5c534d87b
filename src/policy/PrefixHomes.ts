/** Selects the home targets of a prefix. All entries agree on them without exchanging messages. */
import { type PrefixHeat } from './PrefixHeat.js';
import { hashText, type TargetTable } from './TargetTable.js';
import type { ChainHash } from './Types.js';

/** Home targets that a prefix gets for each fraction `1 / targets` of the requests. */
const HOMES_PER_TARGET_SHARE = 1;

/** Maximum number of home targets of a prefix. */
const MAX_HOMES = 64;

/** First chunks whose ranking is cached, so that the table of targets need not be scanned for them again. */
const MAX_RANKINGS = 2_000;

/** A prefix with fewer recent requests counts as not shared and does not narrow the home targets. */
const MIN_SHARED_COUNT = 1.5;

/**
 * Narrows the targets chunk by chunk: a prefix that gets the fraction `s` of the requests keeps
 * `s * targets` of the home targets of its parent prefix, chosen by rendezvous hashing. A hot prefix
 * therefore has more home targets, and the longer prefixes that begin with it are spread over them.
 */
export class PrefixHomes {
  private readonly _table: TargetTable;
  private readonly _heat: PrefixHeat;
  private readonly _rankings = new Map<ChainHash, readonly number[]>();
  private _tableVersion = -1;

  constructor(table: TargetTable, heat: PrefixHeat) {
    this._table = table;
    this._heat = heat;
  }

  /** Positions of the home targets in the table, best first; empty for a chain without chunks. */
  public find(chain: readonly ChainHash[], now: number): readonly number[] {
    const total = Math.max(1, this._heat.countAll(now));
    const homesPerRequest = (this._table.count * HOMES_PER_TARGET_SHARE) / total;
    let homes: readonly number[] | undefined;
    for (const hash of chain) {
      const count = this._heat.count(hash, now);
      if (homes !== undefined && (homes.length === 1 || count < MIN_SHARED_COUNT)) {
        break;
      }
      const homeCount = Math.min(MAX_HOMES, Math.max(1, Math.ceil(count * homesPerRequest)));
      if (homes === undefined) {
        homes = this._rankFirst(hash).slice(0, homeCount);
      } else if (homeCount < homes.length) {
        homes = this._table.rankSome(homes, hashText(hash), homeCount);
      }
    }
    return homes ?? [];
  }

  private _rankFirst(hash: ChainHash): readonly number[] {
    if (this._tableVersion !== this._table.version) {
      this._rankings.clear();
      this._tableVersion = this._table.version;
    }
    const cached = this._rankings.get(hash);
    if (cached !== undefined) {
      return cached;
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
