/**
 * Divides the limit of one client account among the entries; part of the hub. An entry spends within a lease:
 * what it has spent within the sliding window never exceeds it. The sum of all leases never exceeds the limit,
 * so neither does what all entries spend within any window, also while they cannot reach the hub. What leaves the
 * window goes back to the hub with the next report, which divides it anew.
 */
import { clampToUint32 } from '../common/Uint32.js';
import { QuotaLimit } from './QuotaLimit.js';
import { applySurvivors, computeWithheld, type QuotaRecovery } from './QuotaRecovery.js';
import { FORGET_WINDOWS } from './QuotaRule.js';

/** Fraction of the unspent tokens that the hub keeps for entries that need more than their share. */
const RESERVE_FRACTION = 0.6;

/** Fraction of the limit by which the recorded ceiling exceeds the leases, so that few grants wait for a record. */
const HEADROOM_FRACTION = 0.1;

/** An entry holds this multiple of what it wants, so that it can go on while a leader is elected. */
const DEMAND_FACTOR = 2;

/** Smaller shares serve hardly any request, so they stay at the hub for the entries that ask. */
const MIN_USEFUL_TOKENS = 1_000;

/** Fraction of the free tokens that an entry gets if they do not suffice for all it wants. */
const SCARCE_FRACTION = 0.5;

/** An entry that has not reported for this fraction of the window is taken to be out of reach. */
const SILENT_FRACTION = 0.25;

/** What one entry reports about one client account. */
export interface IQuotaUsage {
  /** Lease that the entry holds; never less than `spent`. */
  readonly lease: number;
  /** Tokens that the entry spent within the window. */
  readonly spent: number;
  /** Tokens that the entry wants to be able to spend beyond those. */
  readonly wanted: number;
  /** Tokens that the entry spent since its start. */
  readonly total: number;
}

/** Identity of one run of an entry. */
export interface IEntryRun {
  readonly node: string;
  readonly incarnation: string;
}

/** What is recorded durably of one client account. */
export interface IQuotaRecord {
  /** Tokens that were spent since the record before. */
  readonly tokens: number;
  /** Most tokens that are leased until the next record. */
  readonly ceiling: number;
}

/** Result of one exchange. */
export interface IQuotaDecision {
  /** The entry's new lease. If the entry has spent more meanwhile, its lease is what it has spent. */
  readonly lease: number;
  /** Milliseconds until the tokens that were not granted are expected; 0 if all were. */
  readonly waitMs: number;
}

interface IShare extends IQuotaUsage, IEntryRun {
  readonly reportedAt: number;
  /** The limit at that time. */
  readonly limit: number;
  readonly expiresAt: number;
}

/** Grants leases of a sliding-window limit. Its state comes from the entries' reports. */
export class QuotaPool {
  private readonly _shares = new Map<string, IShare>();
  private _leased = 0;
  private _spent = 0;
  /** Sum of the leases of an earlier hub that entries have reported to this one. */
  private _brought = 0;
  private _nextExpiryAt = Number.POSITIVE_INFINITY;
  private _spentSinceRecord = 0;
  /** Most tokens that may be leased, by the durable records. */
  private _ceiling: number;
  private readonly _limit: QuotaLimit;

  /** @param limit most tokens within the window */
  constructor(
    limit: number,
    private readonly _windowMs: number,
    private _recovery: QuotaRecovery,
  ) {
    this._limit = new QuotaLimit(limit, _windowMs);
    this._ceiling = this._computeWithheld(Number.NEGATIVE_INFINITY);
  }

  /** Sets the most tokens within the window. A lower limit comes into force over one window. */
  public setLimit(limit: number, now: number): void {
    this._expire(now);
    this._limit.set(limit, this._spent, now);
  }

  /**
   * Records an entry's report and decides on its new lease.
   *
   * @param entryCount number of entries among which the unspent tokens are divided
   */
  public exchange(
    run: IEntryRun,
    usage: IQuotaUsage,
    entryCount: number,
    now: number,
  ): IQuotaDecision {
    this._expire(now);
    const key = formatRun(run);
    const previous = this._shares.get(key);
    if (previous === undefined) {
      this._brought += usage.lease;
      if (usage.lease > 0) {
        this.recordSurvivors();
      }
      this._endEarlierRuns(run, now);
    } else {
      this._spentSinceRecord += Math.max(0, usage.total - previous.total);
    }
    const share = {
      ...{ ...run, ...usage },
      reportedAt: now,
      limit: this._limit.get(now),
      expiresAt: now + FORGET_WINDOWS * this._windowMs,
    };
    this._store(key, share);
    const lease = this._decideLease(usage, entryCount, now);
    // A lower lease counts only once the entry has reported it, as it may have spent more meanwhile.
    this._store(key, { ...share, lease: Math.max(usage.lease, lease) });
    const shortfall = usage.spent + usage.wanted - lease;
    const waitMs =
      shortfall >= 1
        ? clampToUint32(Math.ceil((shortfall / Math.max(1, this._limit.get(now))) * this._windowMs))
        : 0;
    return { lease, waitMs };
  }

  /** Called when a process has reported a lease of an earlier hub, for this or another client account. */
  public recordSurvivors(): void {
    this._recovery = applySurvivors(this._recovery);
  }

  /** True if no entry has reported for so long that all leases and spending have expired. */
  public isUnused(now: number): boolean {
    this._expire(now);
    return this._shares.size === 0;
  }

  /**
   * Returns what entries spent since the last call, and the ceiling that the leases keep from now on; undefined
   * if nothing changes. The record must be durable before `raiseCeiling` is called.
   */
  public takeRecord(now: number): IQuotaRecord | undefined {
    const limit = this._limit.get(now);
    const committed = this._leased + this._computeWithheld(now);
    const headroom = limit * HEADROOM_FRACTION;
    // After a change to a lower limit the leases exceed it until all entries have reported lower ones.
    const ceiling = Math.max(committed, Math.min(limit, committed + headroom));
    const isRaised = ceiling > this._ceiling;
    const isLowered = ceiling < this._ceiling - headroom;
    const tokens = this._spentSinceRecord;
    if (tokens < 1 && !isRaised && !isLowered) {
      return undefined;
    }
    this._spentSinceRecord = 0;
    this._ceiling = Math.min(this._ceiling, ceiling);
    return { tokens, ceiling };
  }

  /** Called when the record of a ceiling is durable. */
  public raiseCeiling(ceiling: number): void {
    this._ceiling = ceiling;
  }

  private _computeWithheld(now: number): number {
    const limit = this._limit.get(now);
    const terms = { limit, brought: this._brought, windowMs: this._windowMs };
    return computeWithheld(this._recovery, terms, now);
  }

  private _decideLease(usage: IQuotaUsage, entryCount: number, now: number): number {
    const withheld = this._computeWithheld(now);
    const limit = this._limit.get(now) - withheld;
    const { leased, spent } = this._sumShares(now);
    const target = this._computeTarget(usage, limit, entryCount);
    if (leased > limit) {
      // The limit has fallen, so each entry keeps the same part of the tokens that it has not spent.
      const kept = Math.max(0, limit - spent) / Math.max(1, leased - spent);
      return usage.spent + Math.min(target - usage.spent, (usage.lease - usage.spent) * kept);
    }
    const growth = target - usage.lease;
    if (growth <= 0) {
      return target;
    }
    const free = Math.max(0, Math.min(limit, this._ceiling - withheld) - leased);
    if (growth <= free) {
      return usage.lease + growth;
    }
    const room = Math.max(0, free - this._sumClaims(usage, limit - leased, now));
    const granted = Math.max(room * SCARCE_FRACTION, Math.min(countUnmet(usage), room));
    return usage.lease + granted;
  }

  /**
   * Tokens that an entry leaves to others while there are too few for all. Each has a part of the limit in proportion to
   * what it wants; one whose lease exceeds its part leaves the others what they need up to theirs.
   *
   * @param free tokens that are not leased
   */
  private _sumClaims(usage: IQuotaUsage, free: number, now: number): number {
    const shares = [...this._shares.values()].filter((share) => !this._isSilent(share, now));
    const divided = shares.reduce((sum, { lease }) => sum + lease, free);
    const wanted = shares.reduce((sum, share) => sum + share.wanted, 0);
    const computePart = (share: IQuotaUsage): number =>
      (divided * share.wanted) / Math.max(1, wanted);
    if (usage.lease < computePart(usage)) {
      return 0;
    }
    const claims = shares.map((share) =>
      Math.min(countUnmet(share), Math.max(0, computePart(share) - share.lease)),
    );
    return claims.reduce((sum, claim) => sum + claim, 0);
  }

  private _isSilent({ reportedAt }: IShare, now: number): boolean {
    return now - reportedAt > SILENT_FRACTION * this._windowMs;
  }

  /**
   * Tokens that count as leased and as spent. After a change to a lower limit the lease of an entry that is out of reach
   * counts as if it had been lowered in proportion, so that the others can go on: it ends soon by itself.
   */
  private _sumShares(now: number): { leased: number; spent: number } {
    if (now - this._limit.loweredAt >= (1 + FORGET_WINDOWS) * this._windowMs) {
      return { leased: this._leased, spent: this._spent };
    }
    const limit = this._limit.get(now);
    let leased = 0;
    let spent = 0;
    for (const share of this._shares.values()) {
      const part = this._isSilent(share, now) ? Math.min(1, limit / share.limit) : 1;
      leased += share.lease * part;
      spent += share.spent * part;
    }
    return { leased, spent };
  }

  /** An equal share of the unspent tokens, less the reserve, or a multiple of what the entry wants. */
  private _computeTarget(usage: IQuotaUsage, limit: number, entryCount: number): number {
    const unspent = Math.max(0, limit - this._spent);
    const entries = Math.max(1, entryCount, this._shares.size);
    const equalShare = (unspent * (1 - RESERVE_FRACTION)) / entries;
    return (
      usage.spent +
      Math.max(equalShare < MIN_USEFUL_TOKENS ? 0 : equalShare, usage.wanted * DEMAND_FACTOR)
    );
  }

  /** An earlier run at the same node has ended: what it spent counts for one more window. */
  private _endEarlierRuns({ node }: IEntryRun, now: number): void {
    for (const [key, share] of [...this._shares]) {
      if (share.node === node) {
        const expiresAt = Math.min(share.expiresAt, now + this._windowMs);
        this._store(key, { ...share, wanted: 0, spent: share.lease, expiresAt });
      }
    }
  }

  private _store(key: string, share: IShare): void {
    this._remove(key);
    this._shares.set(key, share);
    this._nextExpiryAt = Math.min(this._nextExpiryAt, share.expiresAt);
    this._leased += share.lease;
    this._spent += share.spent;
  }

  private _remove(key: string): void {
    const share = this._shares.get(key);
    if (share !== undefined) {
      this._shares.delete(key);
      this._leased -= share.lease;
      this._spent -= share.spent;
    }
  }

  private _expire(now: number): void {
    if (now < this._nextExpiryAt) {
      return;
    }
    this._nextExpiryAt = Number.POSITIVE_INFINITY;
    for (const [key, { expiresAt }] of this._shares) {
      if (now >= expiresAt) {
        this._remove(key);
      } else {
        this._nextExpiryAt = Math.min(this._nextExpiryAt, expiresAt);
      }
    }
  }
}

/** Tokens that an entry wants and does not hold. */
function countUnmet({ spent, wanted, lease }: IQuotaUsage): number {
  return Math.max(0, spent + wanted - lease);
}

/** Formats the identity of a run for use as a map key. */
export function formatRun({ node, incarnation }: IEntryRun): string {
  return `${node}/${incarnation}`;
}
