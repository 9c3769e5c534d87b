/** Prompt chunks that several dispatches to this engine used, for the announcements to the entries. */

import { encodeHex } from '../common/Hashes.js';

/** Limit of the stored hashes; this many take about 1 MB. */
const MAX_CHUNKS = 4_096;

/** A chunk with at least this many uses is announced, as other entries are likely to use it too. */
const HOT_USE_COUNT = 2;

/** Age after which uses no longer count: engines evict idle chunks within seconds. */
const USE_EXPIRY_MS = 10_000;

interface IUse {
  readonly count: number;
  readonly usedAt: number;
}

/**
 * Counts how often the prefix chains of the dispatches used each chunk. Stores a bounded number of chunks
 * and evicts the least recently used ones.
 *
 * @example
 * used.record(ticket.prefixChain, now);
 * used.listSince(lastAnnouncementAt, 8);
 */
export class UsedChunks {
  /** Keyed by hash, least recently used chunk first. */
  private readonly _uses = new Map<string, IUse>();

  public record(chain: readonly Uint8Array[], now: number): void {
    for (const bytes of chain) {
      const hash = encodeHex(bytes);
      const previous = this._uses.get(hash);
      const isRecent = previous !== undefined && now - previous.usedAt < USE_EXPIRY_MS;
      this._uses.delete(hash);
      this._uses.set(hash, { count: isRecent ? previous.count + 1 : 1, usedAt: now });
    }
    this._evictOldest();
  }

  /**
   * Returns the hot chunks used after the time `since`; the `limit` most recently used ones if there are
   * more.
   */
  public listSince(since: number, limit: number): Uint8Array[] {
    return [...this._uses]
      .filter(([, use]) => use.usedAt > since && use.count >= HOT_USE_COUNT)
      .slice(-limit)
      .map(([hash]) => Buffer.from(hash, 'hex'));
  }

  /** Removes all chunks, for an engine that lost its cache. */
  public clear(): void {
    this._uses.clear();
  }

  private _evictOldest(): void {
    for (const hash of this._uses.keys()) {
      if (this._uses.size <= MAX_CHUNKS) {
        return;
      }
      this._uses.delete(hash);
    }
  }
}
