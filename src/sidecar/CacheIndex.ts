/**
 * Exact index of the chunks in the KV cache of the engine beside this sidecar, built from its cache
 * events.
 */

/**
 * Evictions queued for the next announcements. Older ones are dropped: what the entries record about
 * cached chunks expires anyway.
 */
const MAX_PENDING_EVICTIONS = 256;

/** One event of an engine's KV cache, as the engine sends it. */
export interface ICacheEvent {
  readonly seq: number;
  readonly type: 'stored' | 'removed';
  readonly hash: string;
}

/** Applies cache events in order of their numbers. Lost events only make the index less exact. */
export class CacheIndex {
  private readonly _chunks = new Set<string>();
  private readonly _evicted: string[] = [];
  private _lastSeq = 0;

  public get lastSeq(): number {
    return this._lastSeq;
  }

  public get size(): number {
    return this._chunks.size;
  }

  public has(hash: string): boolean {
    return this._chunks.has(hash);
  }

  /** Applies the events newer than `lastSeq` and returns them. */
  public apply(events: readonly ICacheEvent[]): ICacheEvent[] {
    const applied: ICacheEvent[] = [];
    for (const event of events) {
      if (event.seq > this._lastSeq) {
        this._lastSeq = event.seq;
        this._applyEvent(event);
        applied.push(event);
      }
    }
    return applied;
  }

  /**
   * Removes all chunks and restarts the event numbers, for an engine that restarted with an empty cache.
   */
  public reset(): void {
    this.clear();
    this._lastSeq = 0;
  }

  /** Removes all chunks, for an engine that loaded other weights; its event numbers continue. */
  public clear(): void {
    this._chunks.clear();
    this._evicted.length = 0;
  }

  /** Removes and returns the oldest queued evictions, at most `limit`. */
  public takeEvicted(limit: number): Uint8Array[] {
    return this._evicted.splice(0, limit).map((hash) => Buffer.from(hash, 'hex'));
  }

  private _applyEvent(event: ICacheEvent): void {
    if (event.type === 'stored') {
      this._chunks.add(event.hash);
      return;
    }
    this._chunks.delete(event.hash);
    this._evicted.push(event.hash);
    if (this._evicted.length > MAX_PENDING_EVICTIONS) {
      this._evicted.shift();
    }
  }
}
