/** Holds the tokens of one client account that this entry may spend. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { IDisposable } from '../common/Lifecycle.js';
import { isMechanismDisabled } from '../common/TestSwitches.js';
import type {
  Grant,
  GrantReportSchema,
  GrantRequestSchema,
} from '../gen/redwingwharf/v1/state_pb.js';
import { DEMAND_WINDOW_MS, DemandWindow } from './DemandWindow.js';

/**
 * Lease of a grant, counted from when its request was sent. The ledger counts a grant as spent after
 * 4 s, so the bound on admitted tokens holds even if this process's clock runs at half speed.
 */
export const GRANT_LEASE_MS = 2_000;

/** Tokens held in advance, as a duration of the average demand; exchanges are 200 ms apart. */
export const BUFFERED_DEMAND_MS = 500;

/** Delay before a retry when the ledger granted the tokens but another request used them. */
const DEFAULT_RETRY_AFTER_MS = 200;

/** Unspent part of a grant and its lease. */
interface IHeldGrant {
  readonly id: bigint;
  readonly epoch: bigint;
  readonly leaseEndsAt: number;
  tokens: number;
  /** Tokens spent since the last exchange that reported spending. */
  unreportedTokens: number;
}

/** Tokens that a charge took from one grant. */
interface IGrantDebit {
  readonly grant: IHeldGrant;
  readonly tokens: number;
}

/** Tokens charged for one request. */
export interface ICharge {
  readonly debits: readonly IGrantDebit[];
  /** Newest epoch of the grants that were charged. */
  readonly epoch: bigint;
}

type RequestInit = MessageInitShape<typeof GrantRequestSchema>;

/**
 * Charges requests of one client account against its leased grants, and computes what to report, return
 * and ask for in the next exchange with the ledger. Times are milliseconds of the monotonic clock.
 */
export class AccountWallet {
  /** In the order in which their leases end. */
  private _grants: IHeldGrant[] = [];
  private readonly _demand = new DemandWindow();
  private readonly _waiters = new Set<{ readonly tokens: number }>();
  private _retryAfterMs = DEFAULT_RETRY_AFTER_MS;
  /** Send time of the last exchange that was answered. */
  private _answeredExchangeSentAt = -Infinity;

  constructor(public readonly clientAccount: string) {}

  /**
   * Returns the time until tokens can be granted, in milliseconds. Returns undefined until the ledger has
   * answered an exchange sent at or after `waitingSince`: earlier answers did not consider a request that
   * began to wait then.
   */
  public getRetryAfterMs(waitingSince: number): number | undefined {
    return this._answeredExchangeSentAt >= waitingSince ? this._retryAfterMs : undefined;
  }

  /** Tokens that may be spent now: those of grants whose lease has not ended. */
  public sumAvailable(now: number): number {
    return this._grants.reduce(
      (sum, grant) => sum + (now < grant.leaseEndsAt ? grant.tokens : 0),
      0,
    );
  }

  /** True when nothing is held, wanted or waiting. */
  public isIdle(now: number): boolean {
    return this._grants.length === 0 && this._sumWanted(now) === 0;
  }

  /** Adds the tokens of a waiting request to the demand until the result is disposed of. */
  public addWaiter(tokens: number): IDisposable {
    const waiter = { tokens };
    this._waiters.add(waiter);
    return { dispose: () => void this._waiters.delete(waiter) };
  }

  /**
   * Charges all the tokens, first those whose lease ends first. Returns undefined and charges nothing
   * when they are not available.
   */
  public charge(tokens: number, now: number): ICharge | undefined {
    if (this.sumAvailable(now) < tokens) {
      return undefined;
    }
    const debits: IGrantDebit[] = [];
    let remaining = tokens;
    let epoch = 0n;
    for (const grant of this._grants) {
      const amount = now < grant.leaseEndsAt ? Math.min(remaining, grant.tokens) : 0;
      if (amount > 0) {
        grant.tokens -= amount;
        grant.unreportedTokens += amount;
        remaining -= amount;
        debits.push({ grant, tokens: amount });
        epoch = grant.epoch > epoch ? grant.epoch : epoch;
      }
    }
    this._demand.record(tokens, now);
    return { debits, epoch };
  }

  /** Returns unused tokens of a charge to its grants; their spending must not have been reported yet. */
  public reclaim(charge: ICharge, tokens: number): void {
    let remaining = tokens;
    for (const { grant, tokens: charged } of [...charge.debits].reverse()) {
      const amount = Math.min(remaining, charged);
      grant.tokens += amount;
      grant.unreportedTokens -= amount;
      remaining -= amount;
    }
  }

  /**
   * Builds the account's part of the next exchange: reports all spending, returns tokens that are not
   * wanted or whose lease has ended, and states the wanted tokens. Has to be sent, since the reported and
   * returned tokens leave the wallet.
   */
  public buildRequest(now: number): RequestInit {
    const wantedTokens = this._sumWanted(now);
    let excess = Math.max(0, this.sumAvailable(now) - wantedTokens);
    const reports: MessageInitShape<typeof GrantReportSchema>[] = [];
    for (const grant of this._grants) {
      const isLeased = now < grant.leaseEndsAt;
      const returnedTokens = isLeased ? Math.min(excess, grant.tokens) : grant.tokens;
      excess -= isLeased ? returnedTokens : 0;
      if (grant.unreportedTokens > 0 || returnedTokens > 0) {
        reports.push({
          grantId: grant.id,
          spentTokens: grant.unreportedTokens,
          returnedTokens,
        });
      }
      grant.tokens -= returnedTokens;
      grant.unreportedTokens = 0;
    }
    this._grants = this._grants.filter((grant) => grant.tokens > 0);
    const [firstWaiter] = this._waiters;
    const neededTokens = firstWaiter?.tokens ?? 0;
    return { clientAccount: this.clientAccount, reports, wantedTokens, neededTokens };
  }

  /** Adds the grant from the answer to an exchange that was first sent at `sentAt`. */
  public addGrant(grant: Grant, sentAt: number): void {
    let leaseEndsAt = sentAt + GRANT_LEASE_MS;
    TEST_ONLY: if (isMechanismDisabled('grant-lease')) leaseEndsAt = Infinity;
    this._answeredExchangeSentAt = sentAt;
    this._retryAfterMs = grant.retryAfterMs === 0 ? DEFAULT_RETRY_AFTER_MS : grant.retryAfterMs;
    if (grant.tokens > 0) {
      const { grantId: id, epoch, tokens } = grant;
      this._grants.push({ id, epoch, leaseEndsAt, tokens, unreportedTokens: 0 });
    }
  }

  /** Tokens of the waiting requests plus the buffer for the average demand. */
  private _sumWanted(now: number): number {
    let waiting = 0;
    for (const waiter of this._waiters) {
      waiting += waiter.tokens;
    }
    return waiting + Math.ceil((this._demand.sum(now) * BUFFERED_DEMAND_MS) / DEMAND_WINDOW_MS);
  }
}
