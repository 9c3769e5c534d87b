/** Exact index of the chunks that the engine beside this sidecar holds, kept from its events. */

/** Evictions kept for the next announcements; older ones are dropped, as evidence expires anyway. */
const MAX_PENDING_EVICTIONS = 256;

/** One event of an engine's cache. */
export interface ICacheEvent {
  readonly seq: number;
  readonly type: 'stored' | 'removed';
  readonly hash: string;
}

/** Applies cache events in order. Lost events only make the index less exact. */
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

  /** Applies the events that were not applied before and returns them. */
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

  /** Forgets everything, for an engine that came back empty. */
  public reset(): void {
    this.clear();
    this._lastSeq = 0;
  }

  /** Forgets the chunks, for an engine that loaded other weights; its event numbers go on. */
  public clear(): void {
    this._chunks.clear();
    this._evicted.length = 0;
  }

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
