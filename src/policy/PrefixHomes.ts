/** Home targets of a prefix, on which all entries agree without exchanging messages. */
import { type PrefixHeat } from './PrefixHeat.js';
import { hashText, type TargetTable } from './TargetTable.js';
import type { ChainHash } from './Types.js';

/** Home targets for each target's worth of requests. */
const HEADROOM = 1;

/** Most home targets of one prefix. */
const MAX_HOMES = 64;

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

  constructor(table: TargetTable, heat: PrefixHeat) {
    this._table = table;
    this._heat = heat;
  }

  /** Positions of the home targets in the table, best first. */
  public find(chain: readonly ChainHash[], now: number): number[] {
    const total = Math.max(1, this._heat.countAll(now));
    const scale = (this._table.count * HEADROOM) / total;
    let homes: number[] | undefined;
    for (const hash of chain) {
      const count = this._heat.count(hash, now);
      if (homes !== undefined && (homes.length === 1 || count < MIN_SHARED_COUNT)) {
        break;
      }
      const wanted = Math.min(MAX_HOMES, Math.max(1, Math.ceil(count * scale)));
      if (homes === undefined) {
        homes = this._table.rankAll(hashText(hash), wanted);
      } else if (wanted < homes.length) {
        homes = this._table.rankSome(homes, hashText(hash), wanted);
      }
    }
    return homes ?? [];
  }
}
