/**
 * Token bucket of one client account for the whole fleet (design 3.4).
 *
 * Guarantee: the tokens finally used by the requests admitted between any two instants t seconds apart
 * are at most rate x t + burst. With P = level + outstanding, it follows from these invariants:
 *
 * - Entries hold no more unspent tokens than are outstanding, and P never exceeds the burst.
 * - The limit of epoch e (`shadows` in the snapshot) is an upper limit for P in the hypothetical history
 *   in which every later refund of a grant of epoch e was known at admission. A refund of a grant of
 *   epoch e raises P to at most that limit.
 *
 * A refund has no effect beyond the level of the bucket at the beginning of epoch e: if the bucket
 * was full then, the overcharge is recovered by refilling only.
 *
 * Changed limits: the level is kept. A higher burst fills up at the rate. A lower burst cuts the level
 * and the epoch limits at once. Tokens that entries already hold can't be recalled, so P may exceed the
 * new burst until they are spent, returned or expired, at the latest after `GRANT_EXPIRY_MS`. Nothing is
 * granted while P exceeds the burst, and the guarantee for an interval that begins in this time has the
 * tokens outstanding at its beginning in place of the burst.
 *
 * A deleted account keeps its bucket until it is full again; an account created after that is a new one
 * with a full bucket.
 */
import { create } from '@bufbuild/protobuf';
import { isMechanismDisabled } from '../common/TestSwitches.js';
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

/** Number of epochs with a limit; refunds for older epochs are dropped. */
export const RETAINED_EPOCHS = 120;

/** Value of `retry_after_ms` for tokens that can never be granted. */
export const NEVER_RETRY_AFTER_MS = 4_294_967_295;

/** Time for which unmet demand is considered; entries renew it every 200 ms. */
const UNMET_DEMAND_TTL_MS = 500;

/** Upper limit of the rounding error in sums of up to 1e9 tokens. */
const ROUNDING_TOLERANCE_TOKENS = 1e-3;

/** Grant with unspent tokens. */
interface IGrant {
  readonly id: number;
  readonly entry: IEntryProcess;
  readonly expiresAtMs: number;
  readonly epoch: number;
  tokens: number;
}

/** Wanted tokens that an entry did not get in its last exchange. */
interface IUnmetDemand {
  readonly entry: IEntryProcess;
  readonly tokens: number;
  readonly atMs: number;
}

/** Answer to the request of an entry. */
export interface IGrantOutcome {
  readonly tokens: number;
  readonly epoch: number;
  /** Time until the needed tokens are available at the refill rate; zero when the entry has them. */
  readonly retryAfterMs: number;
}

/** Returns zero for a negative or non-finite amount, as commands come from other processes. */
function normaliseTokens(tokens: number): number {
  return Number.isFinite(tokens) && tokens > 0 ? tokens : 0;
}

/**
 * Keeps the bucket, the outstanding grants and the epoch limits of one client account. Times are
 * milliseconds of logical time, so that all control members compute the same state.
 */
export class AccountLedger {
  private _rate = 0;
  private _burst = 0;
  private _withdrawn = false;
  private _level = 0;
  private _outstanding = 0;
  private _refilledAtMs: number;
  /** By id, in the order of issue, which is the order of expiry. */
  private readonly _grants = new Map<number, IGrant>();
  private readonly _grantsByEntry = new Map<string, Map<number, IGrant>>();
  private readonly _unmetDemands = new Map<string, IUnmetDemand>();
  /** Limits of the retained epochs, by epoch modulo `RETAINED_EPOCHS`. */
  private readonly _epochLimits = new Float64Array(RETAINED_EPOCHS);

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
      this._epochLimits.every((epochLimit) => epochLimit >= this._burst)
    );
  }

  /** Sets the limits of a new client account and fills its bucket. */
  public initialise(tokensPerSecond: number, burstTokens: number): void {
    this._rate = normaliseTokens(tokensPerSecond);
    this._burst = normaliseTokens(burstTokens);
    this._level = this._burst;
    this._epochLimits.fill(this._burst);
  }

  /** Changes the limits after refilling at the old rate up to `timeMs`. */
  public setLimits(tokensPerSecond: number, burstTokens: number, timeMs: number): void {
    this.advance(timeMs);
    this._rate = normaliseTokens(tokensPerSecond);
    this._burst = normaliseTokens(burstTokens);
    this._withdrawn = false;
    this._clampToBurst();
  }

  /**
   * Stops granting tokens to a deleted client account. The bucket is kept and refills at the old limits,
   * so that deleting an account and creating it again does not give a second burst.
   */
  public withdraw(timeMs: number): void {
    this.advance(timeMs);
    this._withdrawn = true;
  }

  /** Refills the bucket up to a logical time and expires the grants due by then. */
  public advance(timeMs: number): void {
    for (const grant of this._grants.values()) {
      if (grant.expiresAtMs > timeMs) {
        break;
      }
      this._refill(grant.expiresAtMs);
      this._spendTokens(grant, grant.tokens);
    }
    this._refill(timeMs);
  }

  /** Settles spent and returned tokens of a grant. Ignores expired grants and those of other processes. */
  public report(entryId: string, grantId: number, spent: number, returned: number): void {
    const grant = this._grantsByEntry.get(entryId)?.get(grantId);
    if (grant === undefined) {
      return;
    }
    this._spendTokens(grant, Math.min(normaliseTokens(spent), grant.tokens));
    this._returnTokens(grant, Math.min(normaliseTokens(returned), grant.tokens));
  }

  /** Refunds tokens that were reported as spent on a grant of this epoch but were not used. */
  public refund(epoch: number, tokens: number): void {
    const currentEpoch = this._currentEpoch;
    if (!(epoch <= currentEpoch && epoch > currentEpoch - RETAINED_EPOCHS)) {
      return;
    }
    const refund = normaliseTokens(tokens);
    const limit = this.computeRefundLimit(epoch);
    this._level += Math.max(0, Math.min(refund, limit - this._level - this._outstanding));
    for (
      let earlierEpoch = currentEpoch - RETAINED_EPOCHS + 1;
      earlierEpoch < epoch;
      earlierEpoch += 1
    ) {
      const epochLimit = this._getEpochLimit(earlierEpoch);
      this._epochLimits[earlierEpoch % RETAINED_EPOCHS] = Math.max(
        epochLimit,
        Math.min(epochLimit + refund, this._getEpochLimit(epoch)),
      );
    }
  }

  /**
   * Grants an entry the wanted tokens that it does not hold yet, as far as the level allows. While other
   * entries have unmet demand too, it gets an equal share, or more if that leaves enough for all of
   * their demand. Grants are whole tokens, so that their sums are exact.
   */
  public grant(
    entry: IEntryProcess,
    grantId: number,
    wanted: number,
    needed: number,
    timeMs: number,
  ): IGrantOutcome {
    const entryId = buildEntryId(entry);
    const wantedTokens = normaliseTokens(wanted);
    const neededTokens = Math.min(normaliseTokens(needed), wantedTokens) || wantedTokens;
    const isSatisfiable = neededTokens <= this._burst && !this._withdrawn;
    const requestedTokens = isSatisfiable ? wantedTokens : wantedTokens - neededTokens;
    const heldLimit = Math.min(Math.ceil(requestedTokens), Math.floor(this._burst));
    const missingTokens = Math.max(0, heldLimit - this._sumHeld(entryId));
    // A command that names an account twice gets only one grant for it.
    const canGrant = !this._withdrawn && !this._grants.has(grantId);
    const share = canGrant ? this._computeShare(entryId, timeMs) : 0;
    const tokens = Math.min(missingTokens, share);
    if (tokens > 0) {
      this._issueGrant(entry, entryId, grantId, tokens, timeMs);
    }
    this._unmetDemands.delete(entryId);
    if (missingTokens > tokens) {
      this._unmetDemands.set(entryId, { entry, tokens: missingTokens - tokens, atMs: timeMs });
    }
    const stillNeeded = neededTokens - this._sumHeld(entryId);
    const retryAfterMs = isSatisfiable ? this._estimateRefill(stillNeeded) : NEVER_RETRY_AFTER_MS;
    return { tokens, epoch: this._currentEpoch, retryAfterMs };
  }

  /** Describes the first violated invariant, or returns undefined. For tests. */
  public findViolation(): string | undefined {
    const { _level: level, _outstanding: outstanding } = this;
    const total = level + outstanding;
    let sum = 0;
    for (const grant of this._grants.values()) {
      sum += grant.tokens;
    }
    if (!(level >= 0) || !(outstanding >= 0)) {
      return `level ${level} or outstanding ${outstanding} is negative or not a number`;
    }
    if (Math.abs(sum - outstanding) > ROUNDING_TOLERANCE_TOKENS) {
      return `outstanding ${outstanding}, but the grants add up to ${sum}`;
    }
    if (total > Math.max(this._burst, outstanding) + ROUNDING_TOLERANCE_TOKENS) {
      return `level ${level} + outstanding ${outstanding} exceed the burst ${this._burst}`;
    }
    for (let epoch = this._currentEpoch; epoch > this._currentEpoch - RETAINED_EPOCHS; epoch -= 1) {
      if (this._getEpochLimit(epoch) < total - ROUNDING_TOLERANCE_TOKENS) {
        return `limit ${this._getEpochLimit(epoch)} of epoch ${epoch} is below the total ${total}`;
      }
    }
    return undefined;
  }

  /** Limits of epochs that equal the burst are left out; `restore` fills them in. */
  public snapshot(): LedgerSnapshot {
    const shadows = [];
    for (
      let epoch = this._currentEpoch - RETAINED_EPOCHS + 1;
      epoch <= this._currentEpoch;
      epoch += 1
    ) {
      const level = this._getEpochLimit(epoch);
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
      unmet: [...this._unmetDemands.values()].map((demand) =>
        create(UnmetDemandSchema, {
          ...demand.entry,
          tokens: demand.tokens,
          atMs: BigInt(demand.atMs),
        }),
      ),
    });
  }

  /** Restores a snapshot; the ledger must be new. */
  public restore(snapshot: LedgerSnapshot): void {
    this._refilledAtMs = Number(snapshot.refilledAtMs);
    this.initialise(snapshot.tokensPerSecond, snapshot.burstTokens);
    this._level = snapshot.level;
    this._outstanding = snapshot.outstanding;
    this._withdrawn = snapshot.withdrawn;
    for (const shadow of snapshot.shadows) {
      this._epochLimits[Number(shadow.epoch) % RETAINED_EPOCHS] = shadow.level;
    }
    for (const saved of snapshot.grants) {
      const { instance, incarnation, tokens } = saved;
      this._insertGrant(buildEntryId(saved), {
        id: Number(saved.grantId),
        entry: { instance, incarnation },
        tokens,
        expiresAtMs: Number(saved.expiresAtMs),
        epoch: Number(saved.epoch),
      });
    }
    for (const { instance, incarnation, tokens, atMs } of snapshot.unmet) {
      const entry = { instance, incarnation };
      this._unmetDemands.set(buildEntryId(entry), { entry, tokens, atMs: Number(atMs) });
    }
  }

  /** Highest level + outstanding that a refund for a grant of this epoch may lead to. */
  protected computeRefundLimit(epoch: number): number {
    TEST_ONLY: if (isMechanismDisabled('plain-refunds')) return this._ceiling;
    return Math.min(this._getEpochLimit(epoch), this._ceiling);
  }

  /** Level up to which the bucket refills: outstanding grants count against the burst. */
  protected computeLevelLimit(): number {
    return Math.max(0, this._burst - this._outstanding);
  }

  /**
   * Upper limit of level + outstanding: the burst, or the outstanding tokens if they exceed a burst that
   * was lowered.
   */
  private get _ceiling(): number {
    return Math.max(this._burst, this._outstanding);
  }

  /** Epochs are numbered so that the oldest retained one is never negative. */
  private get _currentEpoch(): number {
    return RETAINED_EPOCHS + Math.floor(this._refilledAtMs / EPOCH_MS);
  }

  private _getEpochLimit(epoch: number): number {
    return this._epochLimits[epoch % RETAINED_EPOCHS] ?? 0;
  }

  private _refill(timeMs: number): void {
    if (timeMs <= this._refilledAtMs) {
      return;
    }
    const refill = (this._rate * (timeMs - this._refilledAtMs)) / EPOCH_MS;
    const limit = this.computeLevelLimit();
    this._level = Math.min(this._level + refill, limit);
    const { _epochLimits: epochLimits, _burst: burst, _ceiling: ceiling } = this;
    for (let slot = 0; slot < RETAINED_EPOCHS; slot += 1) {
      const epochLimit = epochLimits[slot] ?? 0;
      epochLimits[slot] = Math.min(
        ceiling,
        Math.max(epochLimit, Math.min(epochLimit + refill, burst)),
      );
    }
    this._startEpochs(timeMs);
  }

  /** Sets the limits of the epochs that began since the last refill. */
  private _startEpochs(timeMs: number): void {
    const previous = this._currentEpoch;
    this._refilledAtMs = timeMs;
    const first = Math.max(previous + 1, this._currentEpoch - RETAINED_EPOCHS + 1);
    for (let epoch = first; epoch <= this._currentEpoch; epoch += 1) {
      this._epochLimits[epoch % RETAINED_EPOCHS] = this._ceiling;
    }
  }

  /** Cuts the level and the epoch limits to a burst that was lowered. */
  private _clampToBurst(): void {
    const ceiling = this._ceiling;
    const epochLimits = this._epochLimits;
    this._level = Math.min(this._level, this.computeLevelLimit());
    for (let slot = 0; slot < RETAINED_EPOCHS; slot += 1) {
      epochLimits[slot] = Math.min(epochLimits[slot] ?? 0, ceiling);
    }
  }

  private _spendTokens(grant: IGrant, tokens: number): void {
    if (tokens > 0) {
      const epochLimits = this._epochLimits;
      for (let slot = 0; slot < RETAINED_EPOCHS; slot += 1) {
        epochLimits[slot] = Math.max(0, (epochLimits[slot] ?? 0) - tokens);
      }
    }
    this._decrementGrant(grant, tokens);
  }

  private _returnTokens(grant: IGrant, tokens: number): void {
    this._decrementGrant(grant, tokens);
    this._level += Math.max(0, Math.min(tokens, this.computeLevelLimit() - this._level));
  }

  /** Removes spent or returned tokens from a grant, and the grant when none are left. */
  private _decrementGrant(grant: IGrant, tokens: number): void {
    grant.tokens -= tokens;
    this._outstanding = Math.max(0, this._outstanding - tokens);
    if (grant.tokens > 0) {
      return;
    }
    const entryId = buildEntryId(grant.entry);
    const entryGrants = this._grantsByEntry.get(entryId);
    this._grants.delete(grant.id);
    entryGrants?.delete(grant.id);
    if (entryGrants?.size === 0) {
      this._grantsByEntry.delete(entryId);
    }
    if (this._grants.size === 0) {
      // Discards the rounding errors of the running sum.
      this._outstanding = 0;
    }
  }

  private _issueGrant(
    entry: IEntryProcess,
    entryId: string,
    id: number,
    tokens: number,
    timeMs: number,
  ): void {
    this._level = Math.max(0, this._level - tokens);
    this._outstanding += tokens;
    const expiresAtMs = timeMs + GRANT_EXPIRY_MS;
    this._insertGrant(entryId, { id, entry, expiresAtMs, epoch: this._currentEpoch, tokens });
  }

  private _insertGrant(entryId: string, grant: IGrant): void {
    const entryGrants = this._grantsByEntry.get(entryId) ?? new Map<number, IGrant>();
    this._grantsByEntry.set(entryId, entryGrants);
    entryGrants.set(grant.id, grant);
    this._grants.set(grant.id, grant);
  }

  private _sumHeld(entryId: string): number {
    let sum = 0;
    for (const grant of this._grantsByEntry.get(entryId)?.values() ?? []) {
      sum += grant.tokens;
    }
    return sum;
  }

  /** Whole tokens that the entry may get now. */
  private _computeShare(entryId: string, timeMs: number): number {
    let unmetElsewhere = 0;
    let entries = 1;
    for (const [other, demand] of this._unmetDemands) {
      if (timeMs - demand.atMs > UNMET_DEMAND_TTL_MS) {
        this._unmetDemands.delete(other);
      } else if (other !== entryId) {
        unmetElsewhere += demand.tokens;
        entries += 1;
      }
    }
    return Math.floor(Math.max(this._level - unmetElsewhere, this._level / entries));
  }

  /** Milliseconds until the level reaches the needed tokens. */
  private _estimateRefill(neededTokens: number): number {
    if (neededTokens <= 0) {
      return 0;
    }
    if (this._rate === 0) {
      return NEVER_RETRY_AFTER_MS;
    }
    const waitMs = Math.ceil(((neededTokens - this._level) * EPOCH_MS) / this._rate);
    return Math.min(NEVER_RETRY_AFTER_MS - 1, Math.max(1, waitMs));
  }
}
