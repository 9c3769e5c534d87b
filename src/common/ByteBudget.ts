/** Bounds the memory that a process holds for others: bodies being read, open requests and answers that are not read. */

/** Added to the time since the last growth, so that size decides among shares that have just grown. */
const GROWTH_BASE_MS = 100;

/** Bytes held for one body, request or answer. */
export class BudgetShare {
  private _bytes = 0;
  private _grownAt = 0;
  private _isPinned = false;
  private _isClosed = false;

  constructor(private readonly _budget: ByteBudget) {}

  /** Called once if the budget is exceeded and this share must end. The share is closed by then. */
  public onEvict: (() => void) | undefined;

  public get bytes(): number {
    return this._bytes;
  }

  public get isEvictable(): boolean {
    return !this._isPinned && this.onEvict !== undefined;
  }

  /** Adds bytes. May evict any share, also this one. */
  public extend(bytes: number, now: number): void {
    if (!this._isClosed) {
      this._bytes += bytes;
      this._grownAt = now;
      this._budget.add(bytes);
      this._budget.evictExcess(now);
    }
  }

  /** Ends the share as if the budget were exceeded, if that may be done. */
  public evict(): void {
    if (this.isEvictable && !this._isClosed) {
      this.close();
      this.onEvict?.();
    }
  }

  /** From now on the bytes count, but the share is not evicted. */
  public keep(): void {
    this._isPinned = true;
    this._budget.forget(this);
  }

  /** Gives the bytes back. May be called more than once. */
  public close(): void {
    if (!this._isClosed) {
      this._isClosed = true;
      this._budget.forget(this);
      this._budget.add(-this._bytes);
    }
  }

  /** What the eviction of this share gains: shares that are large and that have long not grown come first. */
  public score(now: number): number {
    return this._bytes * (GROWTH_BASE_MS + Math.max(0, now - this._grownAt));
  }
}

/**
 * One budget for a process. It never refuses an addition: beyond the limit it evicts the shares that hold most and grow
 * least. What cannot be evicted may exceed the limit, so callers check `isExceeded` before they take more of that kind.
 *
 * @example
 * const share = budget.openShare();
 * share.onEvict = () => { refuse(); };
 * share.extend(65_536, now);
 * share.close();
 */
export class ByteBudget {
  /** Shares that may be evicted. */
  private readonly _shares = new Set<BudgetShare>();
  private _usedBytes = 0;

  constructor(public readonly limitBytes: number) {}

  public get usedBytes(): number {
    return this._usedBytes;
  }

  public get isExceeded(): boolean {
    return this._usedBytes > this.limitBytes;
  }

  public openShare(): BudgetShare {
    const share = new BudgetShare(this);
    this._shares.add(share);
    return share;
  }

  /** Counts bytes that belong to no share, such as those of a connection; negative ones when they are given back. */
  public add(bytes: number): void {
    this._usedBytes += bytes;
  }

  /** Takes a share out of those that may be evicted. */
  public forget(share: BudgetShare): void {
    this._shares.delete(share);
  }

  /** Evicts shares until the limit holds or none is left. */
  public evictExcess(now: number): void {
    while (this.isExceeded) {
      const victim = chooseVictim(this._shares, now);
      if (victim === undefined) {
        return;
      }
      victim.evict();
    }
  }
}

/** Returns the share whose eviction gains most, or undefined if none holds bytes and may be evicted. */
export function chooseVictim(shares: Iterable<BudgetShare>, now: number): BudgetShare | undefined {
  let victim: BudgetShare | undefined;
  let best = 0;
  for (const share of shares) {
    const gain = share.isEvictable ? share.score(now) : 0;
    if (gain > best) {
      best = gain;
      victim = share;
    }
  }
  return victim;
}
