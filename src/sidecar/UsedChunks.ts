/** Chunks that dispatches to this engine used more than once, for the announcements. */

import { encodeHex } from '../common/Hashes.js';

/** Hashes remembered; about 1 MB. */
const MAX_CHUNKS = 4_096;

/** A chunk used at least this often is worth telling other entries. */
const HOT_USES = 2;

/** Uses older than this count no more: engines evict idle chunks within seconds. */
const USE_EXPIRY_MS = 10_000;

interface IUse {
  readonly count: number;
  readonly usedAt: number;
}

/**
 * Counts the uses of chunks by the prefix chains of the dispatches.
 *
 * @example
 * used.record(ticket.prefixChain, now);
 * used.listSince(lastAnnouncementAt, 8, now);
 */
export class UsedChunks {
  /** The least recently used chunk first. */
  private readonly _uses = new Map<string, IUse>();

  public record(chain: readonly Uint8Array[], now: number): void {
    for (const bytes of chain) {
      const hash = encodeHex(bytes);
      const known = this._uses.get(hash);
      const isRecent = known !== undefined && now - known.usedAt < USE_EXPIRY_MS;
      this._uses.delete(hash);
      this._uses.set(hash, { count: isRecent ? known.count + 1 : 1, usedAt: now });
    }
    this._trim();
  }

  /** Hot chunks used after a time, the latest ones. */
  public listSince(since: number, limit: number): Uint8Array[] {
    return [...this._uses]
      .filter(([, use]) => use.usedAt > since && use.count >= HOT_USES)
      .slice(-limit)
      .map(([hash]) => Buffer.from(hash, 'hex'));
  }

  /** Forgets everything, for an engine that lost its cache. */
  public clear(): void {
    this._uses.clear();
  }

  private _trim(): void {
    for (const hash of this._uses.keys()) {
      if (this._uses.size <= MAX_CHUNKS) {
        return;
      }
      this._uses.delete(hash);
    }
  }
}
