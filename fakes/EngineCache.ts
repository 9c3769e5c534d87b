/** Prefix cache of the fake engine: hashes of prompt chunks, with a limited size and a log of events. */
import { createHash } from 'node:crypto';

/** 2,000 tokens of about four bytes each. */
const CHUNK_BYTES = 8_000;

const HASH_BYTES = 16;

/** Number of events that are retained for readers that lag. */
const MAX_EVENTS = 4_096;

export interface ICacheEvent {
  readonly seq: number;
  readonly type: 'stored' | 'removed';
  readonly hash: string;
  /** Time at which the event becomes visible to readers: its time plus `eventDelayMs`. */
  readonly visibleAt: number;
}

export interface IEngineCacheOptions {
  readonly capacityChunks: number;
  /** Chunks that were not used for this long are evicted. */
  readonly idleEvictionMs: number;
  /** Time between a change of the cache and its event. */
  readonly eventDelayMs: number;
  /** Fraction of the events that are never published. */
  readonly eventLossRatio: number;
}

/** Computes a hash chain over the complete chunks of the prompt, seeded with the cache salt. */
export function hashPrompt(salt: string, prompt: string): string[] {
  const bytes = Buffer.from(prompt);
  const hashes: string[] = [];
  let parent: Uint8Array = createHash('sha256').update(salt).digest().subarray(0, HASH_BYTES);
  for (let end = CHUNK_BYTES; end <= bytes.length; end += CHUNK_BYTES) {
    const hash = createHash('sha256')
      .update(parent)
      .update(bytes.subarray(end - CHUNK_BYTES, end));
    parent = hash.digest().subarray(0, HASH_BYTES);
    hashes.push(Buffer.from(parent).toString('hex'));
  }
  return hashes;
}

/** Records which client accounts have sent each chunk to this engine since its weights were loaded. */
export class ChunkOwners {
  private readonly _owners = new Map<string, Set<string>>();

  /**
   * Counts the chunks among the first `cachedChunks` that the account has not sent before, then records
   * the whole chain for it. A counted chunk was computed for another account.
   */
  public countForeign(chain: readonly string[], cachedChunks: number, account: string): number {
    const foreign = chain
      .slice(0, cachedChunks)
      .filter((hash) => this._owners.get(hash)?.has(account) !== true).length;
    for (const hash of chain) {
      const owners = this._owners.get(hash) ?? new Set();
      this._owners.set(hash, owners.add(account));
    }
    return foreign;
  }

  public clear(): void {
    this._owners.clear();
  }
}

/**
 * Least-recently-used cache of chunk hashes. Also evicts chunks that have been idle for
 * `idleEvictionMs`, and publishes an event for each stored or removed chunk.
 */
export class EngineCache {
  /** Time of last use by chunk hash, least recently used first. */
  private readonly _chunks = new Map<string, number>();
  private readonly _events: ICacheEvent[] = [];
  private _nextSeq = 1;

  constructor(private readonly _options: IEngineCacheOptions) {}

  public get usedChunks(): number {
    return this._chunks.size;
  }

  /** Returns how many leading chunks of the chain are cached, and marks them as used at `now`. */
  public touchPrefix(chain: readonly string[], now: number): number {
    this._evictIdle(now);
    let matched = 0;
    for (const hash of chain) {
      if (!this._chunks.has(hash)) {
        break;
      }
      this._touch(hash, now);
      matched += 1;
    }
    return matched;
  }

  public insert(chain: readonly string[], now: number): void {
    for (const hash of chain) {
      if (!this._chunks.has(hash)) {
        this._addEvent('stored', hash, now);
      }
      this._touch(hash, now);
    }
    while (this._chunks.size > this._options.capacityChunks) {
      this._evictOldest(now);
    }
  }

  public has(hash: string): boolean {
    return this._chunks.has(hash);
  }

  /** Events after `seq` that are visible at `now`. */
  public listEvents(seq: number, now: number): ICacheEvent[] {
    this._evictIdle(now);
    return this._events.filter((event) => event.seq > seq && event.visibleAt <= now);
  }

  public clear(): void {
    this._chunks.clear();
    this._events.length = 0;
  }

  private _touch(hash: string, now: number): void {
    this._chunks.delete(hash);
    this._chunks.set(hash, now);
  }

  private _evictIdle(now: number): void {
    for (const [hash, usedAt] of this._chunks) {
      if (now - usedAt < this._options.idleEvictionMs) {
        return;
      }
      this._evict(hash, now);
    }
  }

  private _evictOldest(now: number): void {
    const [oldest] = this._chunks.keys();
    if (oldest !== undefined) {
      this._evict(oldest, now);
    }
  }

  private _evict(hash: string, now: number): void {
    this._chunks.delete(hash);
    this._addEvent('removed', hash, now);
  }

  private _addEvent(type: ICacheEvent['type'], hash: string, now: number): void {
    const seq = this._nextSeq++;
    if (Math.random() < this._options.eventLossRatio) {
      return;
    }
    this._events.push({ seq, type, hash, visibleAt: now + this._options.eventDelayMs });
    if (this._events.length > MAX_EVENTS) {
      this._events.shift();
    }
  }
}
