/**
 * Token bucket of one client account over the whole fleet (design 3.4).
 *
 * With P = level + outstanding, the tokens finally used by the requests admitted between any two
 * instants t seconds apart are at most rate x t + burst:
 *
 * - Entries hold no more unspent tokens than are outstanding, and P never exceeds the burst.
 * - shadow[e] is an upper limit for P in the history in which every later refund of a grant of epoch
 *   e had been known at admission. A refund raises P to at most that.
 *
 * A refund is worth nothing beyond the level that the bucket had at the begin of epoch e: of a bucket
 * that was full then, the overcharge comes back by refilling only.
 *
 * Changed limits: the level is kept. A higher burst fills up at the rate. A lower burst cuts the level
 * and the shadows at once; tokens that entries hold already can't be recalled, so P may exceed the
 * new burst until they are spent, returned or expired, at the latest after `GRANT_EXPIRY_MS`. Until
 * then nothing is granted while P exceeds the burst, and the bound of an interval that begins in this
 * time has the tokens outstanding at its begin in place of the burst. A deleted account keeps its
 * bucket until it is full again; an account created after that is a new one with a full bucket.
 */
import { create } from '@bufbuild/protobuf';
import { isBroken } from '../common/TestSwitches.js';
import {
  LedgerSnapshotSchema,
  OutstandingGrantSchema,
  ShadowLevelSchema,
  UnmetDemandSchema,
  type LedgerSnapshot,
} from '../gen/redwingwharf/v1/state_pb.js';
import { buildEntryId, type IEntryProcess } from './EntryProcess.js';

/** Logical time after which unreported tokens of a grant count as spent. */
export const GRANT_EXPIRY_MS = 4_000;

/** Length of an epoch in logical time. */
export const EPOCH_MS = 1_000;

/** Refunds for older epochs are dropped. */
export const EPOCHS_KEPT = 120;

/** `retry_after_ms` of tokens that can never be granted. */
export const NEVER_MS = 4_294_967_295;

/** Unmet demand counts for this long: entries ask every 200 ms. */
const UNMET_DEMAND_MS = 500;

/** Rounding errors of sums up to 1e9 tokens stay below this. */
const TOLERANCE_TOKENS = 1e-3;

interface IGrant {
  readonly id: number;
  readonly entry: IEntryProcess;
  readonly expiresAtMs: number;
  readonly epoch: number;
  tokens: number;
}

interface IUnmetDemand {
  readonly entry: IEntryProcess;
  readonly tokens: number;
  readonly atMs: number;
}

/** What an entry got. */
export interface IGranted {
  readonly tokens: number;
  readonly epoch: number;
  /** Time until the needed tokens are there at the refill rate; zero when the entry has them. */
  readonly retryAfterMs: number;
}

/** Treats what is no finite amount as none; commands come from other processes. */
function normaliseTokens(tokens: number): number {
  return Number.isFinite(tokens) && tokens > 0 ? tokens : 0;
}

export class AccountLedger {
  private _rate = 0;
  private _burst = 0;
  private _withdrawn = false;
  private _level = 0;
  private _outstanding = 0;
  private _refilledAtMs: number;
  /** In the order of issue, which is the order of expiry. */
  private readonly _grants = new Map<number, IGrant>();
  private readonly _grantsByEntry = new Map<string, Map<number, IGrant>>();
  private readonly _unmet = new Map<string, IUnmetDemand>();
  /** Shadow levels by epoch modulo `EPOCHS_KEPT`. */
  private readonly _shadows = new Float64Array(EPOCHS_KEPT);

  constructor(
    public readonly clientAccount: string,
    timeMs: number,
  ) {
    this._refilledAtMs = timeMs;
  }

  public get level(): number {
    return this._level;
  }

  public get outstanding(): number {
    return this._outstanding;
  }

  public get burst(): number {
    return this._burst;
  }

  public get isWithdrawn(): boolean {
    return this._withdrawn;
  }

  /** True when a new ledger with the same limits would be in the same state. */
  public get isFull(): boolean {
    return (
      this._grants.size === 0 &&
      this._level >= this._burst &&
      this._shadows.every((shadow) => shadow >= this._burst)
    );
  }

  /** Sets the limits of a new client account, whose bucket is full. */
  public fill(tokensPerSecond: number, burstTokens: number): void {
    this._rate = normaliseTokens(tokensPerSecond);
    this._burst = normaliseTokens(burstTokens);
    this._level = this._burst;
    this._shadows.fill(this._burst);
  }

  /** Changes the limits; the refill up to now was at the old rate. */
  public setLimits(tokensPerSecond: number, burstTokens: number, timeMs: number): void {
    this.advance(timeMs);
    this._rate = normaliseTokens(tokensPerSecond);
    this._burst = normaliseTokens(burstTokens);
    this._withdrawn = false;
    this._clampToBurst();
  }

  /**
   * Ends the grants of a deleted client account. The bucket stays and refills at the old limits, so
   * that deleting and creating an account again gives no second burst.
   */
  public withdraw(timeMs: number): void {
    this.advance(timeMs);
    this._withdrawn = true;
  }

  /** Refills up to a logical time and expires grants on the way. */
  public advance(timeMs: number): void {
    for (const grant of this._grants.values()) {
      if (grant.expiresAtMs > timeMs) {
        break;
      }
      this._refill(grant.expiresAtMs);
      this._spend(grant, grant.tokens);
    }
    this._refill(timeMs);
  }

  /** Settles a grant. Reports on expired grants or grants of another process change nothing. */
  public report(entryId: string, grantId: number, spent: number, returned: number): void {
    const grant = this._grantsByEntry.get(entryId)?.get(grantId);
    if (grant === undefined) {
      return;
    }
    this._spend(grant, Math.min(normaliseTokens(spent), grant.tokens));
    this._return(grant, Math.min(normaliseTokens(returned), grant.tokens));
  }

  /** Gives back tokens that were reported as spent on a grant of an epoch and were not used. */
  public refund(epoch: number, tokens: number): void {
    const newest = this._newestEpoch;
    if (!(epoch <= newest && epoch > newest - EPOCHS_KEPT)) {
      return;
    }
    const refund = normaliseTokens(tokens);
    const limit = this.limitRefund(epoch);
    this._level += Math.max(0, Math.min(refund, limit - this._level - this._outstanding));
    for (let older = newest - EPOCHS_KEPT + 1; older < epoch; older += 1) {
      const shadow = this._getShadow(older);
      this._shadows[older % EPOCHS_KEPT] = Math.max(
        shadow,
        Math.min(shadow + refund, this._getShadow(epoch)),
      );
    }
  }

  /**
   * Grants an entry what it lacks of the wanted tokens, as far as they are there. When other entries
   * lack tokens too, it gets an equal share, or more if that leaves them all that they lack. Whole
   * tokens only, so that sums of grants are exact.
   */
  public grant(
    entry: IEntryProcess,
    grantId: number,
    wanted: number,
    needed: number,
    timeMs: number,
  ): IGranted {
    const entryId = buildEntryId(entry);
    const wantedTokens = normaliseTokens(wanted);
    const neededTokens = Math.min(normaliseTokens(needed), wantedTokens) || wantedTokens;
    const isReachable = neededTokens <= this._burst && !this._withdrawn;
    const target = isReachable ? wantedTokens : wantedTokens - neededTokens;
    const limit = Math.min(Math.ceil(target), Math.floor(this._burst));
    const missing = Math.max(0, limit - this._sumHeld(entryId));
    // A command that names an account twice gets one grant.
    const canGrant = !this._withdrawn && !this._grants.has(grantId);
    const share = canGrant ? this._computeShare(entryId, timeMs) : 0;
    const tokens = Math.min(missing, share);
    if (tokens > 0) {
      this._issue(entry, entryId, grantId, tokens, timeMs);
    }
    this._unmet.delete(entryId);
    if (missing > tokens) {
      this._unmet.set(entryId, { entry, tokens: missing - tokens, atMs: timeMs });
    }
    const lacking = neededTokens - this._sumHeld(entryId);
    const retryAfterMs = isReachable ? this._estimateRefill(lacking) : NEVER_MS;
    return { tokens, epoch: this._newestEpoch, retryAfterMs };
  }

  /** Describes the first broken invariant, for tests. */
  public findViolation(): string | undefined {
    const { _level: level, _outstanding: outstanding } = this;
    const total = level + outstanding;
    let sum = 0;
    for (const grant of this._grants.values()) {
      sum += grant.tokens;
    }
    if (!(level >= 0) || !(outstanding >= 0)) {
      return `negative: level ${level}, outstanding ${outstanding}`;
    }
    if (Math.abs(sum - outstanding) > TOLERANCE_TOKENS) {
      return `outstanding ${outstanding}, but the grants add up to ${sum}`;
    }
    if (total > Math.max(this._burst, outstanding) + TOLERANCE_TOKENS) {
      return `level ${level} + outstanding ${outstanding} exceed the burst ${this._burst}`;
    }
    for (let epoch = this._newestEpoch; epoch > this._newestEpoch - EPOCHS_KEPT; epoch -= 1) {
      if (this._getShadow(epoch) < total - TOLERANCE_TOKENS) {
        return `shadow ${this._getShadow(epoch)} of epoch ${epoch} is below ${total}`;
      }
    }
    return undefined;
  }

  public snapshot(): LedgerSnapshot {
    const shadows = [];
    for (let epoch = this._newestEpoch - EPOCHS_KEPT + 1; epoch <= this._newestEpoch; epoch += 1) {
      const level = this._getShadow(epoch);
      if (level !== this._burst) {
        shadows.push(create(ShadowLevelSchema, { epoch: BigInt(epoch), level }));
      }
    }
    return create(LedgerSnapshotSchema, {
      clientAccount: this.clientAccount,
      level: this._level,
      refilledAtMs: BigInt(this._refilledAtMs),
      grants: [...this._grants.values()].map((grant) =>
        create(OutstandingGrantSchema, {
          grantId: BigInt(grant.id),
          ...grant.entry,
          tokens: grant.tokens,
          expiresAtMs: BigInt(grant.expiresAtMs),
          epoch: BigInt(grant.epoch),
        }),
      ),
      shadows,
      tokensPerSecond: this._rate,
      burstTokens: this._burst,
      outstanding: this._outstanding,
      withdrawn: this._withdrawn,
      unmet: [...this._unmet.values()].map((demand) =>
        create(UnmetDemandSchema, {
          ...demand.entry,
          tokens: demand.tokens,
          atMs: BigInt(demand.atMs),
        }),
      ),
    });
  }

  /** Restores into a new ledger. */
  public restore(snapshot: LedgerSnapshot): void {
    this._refilledAtMs = Number(snapshot.refilledAtMs);
    this.fill(snapshot.tokensPerSecond, snapshot.burstTokens);
    this._level = snapshot.level;
    this._outstanding = snapshot.outstanding;
    this._withdrawn = snapshot.withdrawn;
    for (const shadow of snapshot.shadows) {
      this._shadows[Number(shadow.epoch) % EPOCHS_KEPT] = shadow.level;
    }
    for (const saved of snapshot.grants) {
      const { instance, incarnation, tokens } = saved;
      this._insert(buildEntryId(saved), {
        id: Number(saved.grantId),
        entry: { instance, incarnation },
        tokens,
        expiresAtMs: Number(saved.expiresAtMs),
        epoch: Number(saved.epoch),
      });
    }
    for (const { instance, incarnation, tokens, atMs } of snapshot.unmet) {
      const entry = { instance, incarnation };
      this._unmet.set(buildEntryId(entry), { entry, tokens, atMs: Number(atMs) });
    }
  }

  /** Highest P that a refund for a grant of this epoch may lead to. */
  protected limitRefund(epoch: number): number {
    TEST_ONLY: if (isBroken('plain-refunds')) return this._ceiling;
    return Math.min(this._getShadow(epoch), this._ceiling);
  }

  /** Level up to which the bucket refills: outstanding grants count against the burst. */
  protected limitLevel(): number {
    return Math.max(0, this._burst - this._outstanding);
  }

  /** Highest P at present: the burst, but for tokens granted before it was lowered. */
  private get _ceiling(): number {
    return Math.max(this._burst, this._outstanding);
  }

  /** Epochs are numbered so that the oldest one kept is never negative. */
  private get _newestEpoch(): number {
    return EPOCHS_KEPT + Math.floor(this._refilledAtMs / EPOCH_MS);
  }

  private _getShadow(epoch: number): number {
    return this._shadows[epoch % EPOCHS_KEPT] ?? 0;
  }

  private _refill(timeMs: number): void {
    if (timeMs <= this._refilledAtMs) {
      return;
    }
    const refill = (this._rate * (timeMs - this._refilledAtMs)) / EPOCH_MS;
    const limit = this.limitLevel();
    this._level = Math.min(this._level + refill, limit);
    const { _shadows: shadows, _burst: burst, _ceiling: ceiling } = this;
    for (let slot = 0; slot < EPOCHS_KEPT; slot += 1) {
      const shadow = shadows[slot] ?? 0;
      shadows[slot] = Math.min(ceiling, Math.max(shadow, Math.min(shadow + refill, burst)));
    }
    this._openEpochs(timeMs);
  }

  /** Starts the shadows of the epochs that began since the last refill. */
  private _openEpochs(timeMs: number): void {
    const previous = this._newestEpoch;
    this._refilledAtMs = timeMs;
    const first = Math.max(previous + 1, this._newestEpoch - EPOCHS_KEPT + 1);
    for (let epoch = first; epoch <= this._newestEpoch; epoch += 1) {
      this._shadows[epoch % EPOCHS_KEPT] = this._ceiling;
    }
  }

  /** Cuts the level and the shadows to a burst that was lowered. */
  private _clampToBurst(): void {
    const ceiling = this._ceiling;
    const shadows = this._shadows;
    this._level = Math.min(this._level, this.limitLevel());
    for (let slot = 0; slot < EPOCHS_KEPT; slot += 1) {
      shadows[slot] = Math.min(shadows[slot] ?? 0, ceiling);
    }
  }

  private _spend(grant: IGrant, tokens: number): void {
    if (tokens > 0) {
      const shadows = this._shadows;
      for (let slot = 0; slot < EPOCHS_KEPT; slot += 1) {
        shadows[slot] = Math.max(0, (shadows[slot] ?? 0) - tokens);
      }
    }
    this._takeBack(grant, tokens);
  }

  private _return(grant: IGrant, tokens: number): void {
    this._takeBack(grant, tokens);
    this._level += Math.max(0, Math.min(tokens, this.limitLevel() - this._level));
  }

  private _takeBack(grant: IGrant, tokens: number): void {
    grant.tokens -= tokens;
    this._outstanding = Math.max(0, this._outstanding - tokens);
    if (grant.tokens > 0) {
      return;
    }
    const entryId = buildEntryId(grant.entry);
    const ofEntry = this._grantsByEntry.get(entryId);
    this._grants.delete(grant.id);
    ofEntry?.delete(grant.id);
    if (ofEntry?.size === 0) {
      this._grantsByEntry.delete(entryId);
    }
    if (this._grants.size === 0) {
      // Ends the rounding errors of the running sum.
      this._outstanding = 0;
    }
  }

  private _issue(
    entry: IEntryProcess,
    entryId: string,
    id: number,
    tokens: number,
    timeMs: number,
  ): void {
    this._level = Math.max(0, this._level - tokens);
    this._outstanding += tokens;
    const expiresAtMs = timeMs + GRANT_EXPIRY_MS;
    this._insert(entryId, { id, entry, expiresAtMs, epoch: this._newestEpoch, tokens });
  }

  private _insert(entryId: string, grant: IGrant): void {
    const ofEntry = this._grantsByEntry.get(entryId) ?? new Map<number, IGrant>();
    this._grantsByEntry.set(entryId, ofEntry);
    ofEntry.set(grant.id, grant);
    this._grants.set(grant.id, grant);
  }

  private _sumHeld(entryId: string): number {
    let sum = 0;
    for (const grant of this._grantsByEntry.get(entryId)?.values() ?? []) {
      sum += grant.tokens;
    }
    return sum;
  }

  /** Whole tokens that the entry may take now. */
  private _computeShare(entryId: string, timeMs: number): number {
    let lackingElsewhere = 0;
    let entries = 1;
    for (const [other, demand] of this._unmet) {
      if (timeMs - demand.atMs > UNMET_DEMAND_MS) {
        this._unmet.delete(other);
      } else if (other !== entryId) {
        lackingElsewhere += demand.tokens;
        entries += 1;
      }
    }
    return Math.floor(Math.max(this._level - lackingElsewhere, this._level / entries));
  }

  private _estimateRefill(lacking: number): number {
    if (lacking <= 0) {
      return 0;
    }
    if (this._rate === 0) {
      return NEVER_MS;
    }
    const waitMs = Math.ceil(((lacking - this._level) * EPOCH_MS) / this._rate);
    return Math.min(NEVER_MS - 1, Math.max(1, waitMs));
  }
}
