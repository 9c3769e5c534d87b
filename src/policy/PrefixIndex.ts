/** Index of the prompt prefixes that targets are expected to hold in their cache. */
import type { ChainHash, ITargetView } from './Types.js';

/** Entries of one index: about 20 MB at up to 335 bytes each. */
export const DEFAULT_MAX_ENTRIES = 60_000;

/** Age beyond which evidence is dropped: engines evict unused blocks within seconds. */
export const DEFAULT_MAX_AGE_MS = 60_000;

/** Holders kept for one hash. More would slow down matching without improving a decision. */
const MAX_HOLDERS = 64;

/** One incarnation of a target with one weights version. */
interface IHolder {
  readonly targetId: string;
  readonly incarnation: string;
  readonly weightsVersion: string;
  isAlive: boolean;
  /** Call of `match` that last found this holder, and the number of leading chunks that it matched. */
  matchId: number;
  depth: number;
}

/** Evidence of one chunk at one holder, linked into a list ordered by `seenAt`. */
interface IEntry {
  readonly hash: ChainHash;
  readonly holder: IHolder;
  seenAt: number;
  older: IEntry | undefined;
  newer: IEntry | undefined;
}

/** A target with evidence of the first `chunks` chunks of a chain. */
export interface IPrefixMatch {
  readonly targetId: string;
  readonly chunks: number;
}

export interface IPrefixIndexLimits {
  readonly maxEntries: number;
  readonly maxAgeMs: number;
}

/** Returns the estimated time in milliseconds for which a target keeps an unused chunk. */
export type IGetLifetime = (targetId: string) => number;

/**
 * Bounded index of evidence: which incarnation of which target was seen with which chunk, and when. The hash
 * of a chunk covers its client account, its weights version and all chunks before it.
 */
export class PrefixIndex {
  private readonly _limits: IPrefixIndexLimits;
  private readonly _holders = new Map<string, IHolder>();
  private readonly _entries = new Map<ChainHash, IEntry[]>();
  private _size = 0;
  private _matchId = 0;
  private _oldest: IEntry | undefined;
  private _newest: IEntry | undefined;

  constructor(limits: Partial<IPrefixIndexLimits> = {}) {
    this._limits = {
      maxEntries: limits.maxEntries ?? DEFAULT_MAX_ENTRIES,
      maxAgeMs: limits.maxAgeMs ?? DEFAULT_MAX_AGE_MS,
    };
  }

  /** Number of entries, including those of dropped holders that were not removed yet. */
  public get size(): number {
    return this._size;
  }

  /** Adds evidence that the target holds the first `chunks` chunks of the chain. */
  public record(
    target: ITargetView,
    chain: readonly ChainHash[],
    chunks: number,
    now: number,
  ): void {
    const holder = this._ensureHolder(target);
    // Last chunk first, so that it is pruned first: an engine evicts the end of a prefix before its start.
    for (let i = Math.min(chunks, chain.length) - 1; i >= 0; i -= 1) {
      const hash = chain[i];
      if (hash !== undefined) {
        this._touch(holder, hash, now);
      }
    }
    this._prune(now);
  }

  /** Removes the evidence of the chunks from position `fromChunk` on. */
  public removeChunks(target: ITargetView, chain: readonly ChainHash[], fromChunk = 0): void {
    const holder = this._findHolder(target);
    if (holder === undefined) {
      return;
    }
    for (let i = fromChunk; i < chain.length; i += 1) {
      const hash = chain[i];
      const entry = hash === undefined ? undefined : this._findEntry(holder, hash);
      if (entry !== undefined) {
        this._remove(entry);
      }
    }
  }

  /** Drops all evidence of a target. Its entries are removed later, when they are pruned. */
  public dropTarget(targetId: string): void {
    const holder = this._holders.get(targetId);
    if (holder !== undefined) {
      holder.isAlive = false;
      this._holders.delete(targetId);
    }
  }

  /** True when there is evidence of this incarnation and weights version of the target. */
  public hasEvidence(target: ITargetView): boolean {
    return this._findHolder(target) !== undefined;
  }

  /** Drops the evidence of a target if it belongs to another incarnation or weights version. */
  public reconcile(target: ITargetView): void {
    if (this._holders.has(target.id) && this._findHolder(target) === undefined) {
      this.dropTarget(target.id);
    }
  }

  /** Targets with unexpired evidence of at least the first chunk, in no particular order. */
  public match(
    chain: readonly ChainHash[],
    now: number,
    getLifetime: IGetLifetime,
  ): IPrefixMatch[] {
    this._matchId += 1;
    const found: IHolder[] = [];
    for (let depth = 0; depth < chain.length; depth += 1) {
      if (!this._matchChunk(chain[depth] ?? '', depth, now, getLifetime, found)) {
        break;
      }
    }
    return found.map((holder) => ({ targetId: holder.targetId, chunks: holder.depth }));
  }

  /** Age in milliseconds of a target's evidence of each chunk, up to the first chunk without evidence. */
  public listAges(target: ITargetView, chain: readonly ChainHash[], now: number): number[] {
    const holder = this._findHolder(target);
    const ages: number[] = [];
    for (const hash of holder === undefined ? [] : chain) {
      const entry = holder === undefined ? undefined : this._findEntry(holder, hash);
      if (entry === undefined) {
        break;
      }
      ages.push(now - entry.seenAt);
    }
    return ages;
  }

  private _matchChunk(
    hash: ChainHash,
    depth: number,
    now: number,
    getLifetime: IGetLifetime,
    found: IHolder[],
  ): boolean {
    let advanced = false;
    for (const entry of this._entries.get(hash) ?? []) {
      const holder = entry.holder;
      const reached = depth === 0 || (holder.matchId === this._matchId && holder.depth === depth);
      const age = now - entry.seenAt;
      if (!holder.isAlive || !reached || age > this._limits.maxAgeMs) {
        continue;
      }
      if (age > getLifetime(holder.targetId)) {
        continue;
      }
      if (depth === 0) {
        holder.matchId = this._matchId;
        found.push(holder);
      }
      holder.depth = depth + 1;
      advanced = true;
    }
    return advanced;
  }

  private _findHolder(target: ITargetView): IHolder | undefined {
    const holder = this._holders.get(target.id);
    const isCurrent =
      holder?.incarnation === target.incarnation && holder.weightsVersion === target.weightsVersion;
    return isCurrent ? holder : undefined;
  }

  private _ensureHolder(target: ITargetView): IHolder {
    const existing = this._findHolder(target);
    if (existing !== undefined) {
      return existing;
    }
    this.dropTarget(target.id);
    const holder = {
      targetId: target.id,
      incarnation: target.incarnation,
      weightsVersion: target.weightsVersion,
      isAlive: true,
      matchId: 0,
      depth: 0,
    };
    this._holders.set(target.id, holder);
    return holder;
  }

  private _findEntry(holder: IHolder, hash: ChainHash): IEntry | undefined {
    return this._entries.get(hash)?.find((entry) => entry.holder === holder);
  }

  private _touch(holder: IHolder, hash: ChainHash, now: number): void {
    const existing = this._findEntry(holder, hash);
    if (existing !== undefined) {
      existing.seenAt = now;
      this._detach(existing);
      this._append(existing);
      return;
    }
    const siblings = this._entries.get(hash) ?? [];
    if (siblings.length >= MAX_HOLDERS) {
      this._remove(siblings.reduce((a, b) => (b.seenAt < a.seenAt ? b : a)));
    }
    const entry = { hash, holder, seenAt: now, older: undefined, newer: undefined };
    siblings.push(entry);
    this._entries.set(hash, siblings);
    this._size += 1;
    this._append(entry);
  }

  private _prune(now: number): void {
    while (this._oldest !== undefined) {
      const entry = this._oldest;
      const isStale = !entry.holder.isAlive || now - entry.seenAt > this._limits.maxAgeMs;
      if (!isStale && this._size <= this._limits.maxEntries) {
        return;
      }
      this._remove(entry);
    }
  }

  private _remove(entry: IEntry): void {
    const siblings = this._entries.get(entry.hash) ?? [];
    const position = siblings.indexOf(entry);
    if (position < 0) {
      return;
    }
    siblings.splice(position, 1);
    if (siblings.length === 0) {
      this._entries.delete(entry.hash);
    }
    this._size -= 1;
    this._detach(entry);
  }

  private _append(entry: IEntry): void {
    entry.older = this._newest;
    entry.newer = undefined;
    if (this._newest === undefined) {
      this._oldest = entry;
    } else {
      this._newest.newer = entry;
    }
    this._newest = entry;
  }

  private _detach(entry: IEntry): void {
    if (entry.older === undefined) {
      this._oldest = entry.newer;
    } else {
      entry.older.newer = entry.newer;
    }
    if (entry.newer === undefined) {
      this._newest = entry.older;
    } else {
      entry.newer.older = entry.older;
    }
  }
}
