/** Tokens of one client account that this entry may spend. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { IDisposable } from '../common/Lifecycle.js';
import { isBroken } from '../common/TestSwitches.js';
import type {
  Grant,
  GrantReportSchema,
  GrantRequestSchema,
} from '../gen/redwingwharf/v1/state_pb.js';
import { DEMAND_WINDOW_MS, DemandWindow } from './DemandWindow.js';

/**
 * Time from sending a request for a grant to the end of its use. The ledger counts the grant as spent
 * after 4 s, so the bound on admitted tokens holds even if this clock runs at half speed.
 */
export const LEASE_MS = 2_000;

/** Average demand that is held in advance; exchanges are 200 ms apart. */
export const HOLD_MS = 500;

/** `Retry-After` when the ledger had the tokens but another request took them. */
const DEFAULT_RETRY_MS = 200;

interface IHolding {
  readonly id: bigint;
  readonly epoch: bigint;
  readonly leaseEndsAt: number;
  tokens: number;
  /** Spent and not yet part of an exchange. */
  unreported: number;
}

interface IPart {
  readonly holding: IHolding;
  readonly tokens: number;
}

/** Tokens taken for one request. */
export interface ITaken {
  readonly parts: readonly IPart[];
  /** Newest epoch among the grants that paid. */
  readonly epoch: bigint;
}

type RequestInit = MessageInitShape<typeof GrantRequestSchema>;

export class AccountWallet {
  /** In the order in which their leases end. */
  private _holdings: IHolding[] = [];
  private readonly _demand = new DemandWindow();
  private readonly _waiters = new Set<{ readonly tokens: number }>();
  private _retryAfterMs = DEFAULT_RETRY_MS;
  /** Time at which the last answered exchange was sent. */
  private _answeredAt = -Infinity;

  constructor(public readonly clientAccount: string) {}

  /**
   * Time until tokens can be granted, or undefined while the ledger has not answered an exchange that was
   * sent after `since`: what it told before does not count in a request that began to wait then.
   */
  public getRetryAfterMs(since: number): number | undefined {
    return this._answeredAt >= since ? this._retryAfterMs : undefined;
  }

  /** Tokens that may be spent now. */
  public sumAvailable(now: number): number {
    return this._holdings.reduce(
      (sum, holding) => sum + (now < holding.leaseEndsAt ? holding.tokens : 0),
      0,
    );
  }

  /** True when nothing is held, wanted or waiting. */
  public isIdle(now: number): boolean {
    return this._holdings.length === 0 && this._sumWanted(now) === 0;
  }

  public addWaiter(tokens: number): IDisposable {
    const waiter = { tokens };
    this._waiters.add(waiter);
    return { dispose: () => void this._waiters.delete(waiter) };
  }

  /** Takes all the tokens or none, those whose lease ends first before others. */
  public take(tokens: number, now: number): ITaken | undefined {
    if (this.sumAvailable(now) < tokens) {
      return undefined;
    }
    const parts: IPart[] = [];
    let missing = tokens;
    let epoch = 0n;
    for (const holding of this._holdings) {
      const part = now < holding.leaseEndsAt ? Math.min(missing, holding.tokens) : 0;
      if (part > 0) {
        holding.tokens -= part;
        holding.unreported += part;
        missing -= part;
        parts.push({ holding, tokens: part });
        epoch = holding.epoch > epoch ? holding.epoch : epoch;
      }
    }
    this._demand.record(tokens, now);
    return { parts, epoch };
  }

  /** Gives back tokens whose spending was not reported yet. */
  public giveBack(taken: ITaken, tokens: number): void {
    let rest = tokens;
    for (const { holding, tokens: spent } of [...taken.parts].reverse()) {
      const part = Math.min(rest, spent);
      holding.tokens += part;
      holding.unreported -= part;
      rest -= part;
    }
  }

  /** Reports all spending, returns what is not wanted or can't be spent any more, and asks for more. */
  public buildRequest(now: number): RequestInit {
    const wantedTokens = this._sumWanted(now);
    let excess = Math.max(0, this.sumAvailable(now) - wantedTokens);
    const reports: MessageInitShape<typeof GrantReportSchema>[] = [];
    for (const holding of this._holdings) {
      const isLeased = now < holding.leaseEndsAt;
      const returnedTokens = isLeased ? Math.min(excess, holding.tokens) : holding.tokens;
      excess -= isLeased ? returnedTokens : 0;
      if (holding.unreported > 0 || returnedTokens > 0) {
        reports.push({ grantId: holding.id, spentTokens: holding.unreported, returnedTokens });
      }
      holding.tokens -= returnedTokens;
      holding.unreported = 0;
    }
    this._holdings = this._holdings.filter((holding) => holding.tokens > 0);
    const [first] = this._waiters;
    const neededTokens = first?.tokens ?? 0;
    return { clientAccount: this.clientAccount, reports, wantedTokens, neededTokens };
  }

  /** Takes the answer to an exchange that was first sent at `sentAt`. */
  public addGrant(grant: Grant, sentAt: number): void {
    let leaseEndsAt = sentAt + LEASE_MS;
    TEST_ONLY: if (isBroken('grant-lease')) leaseEndsAt = Infinity;
    this._answeredAt = sentAt;
    this._retryAfterMs = grant.retryAfterMs === 0 ? DEFAULT_RETRY_MS : grant.retryAfterMs;
    if (grant.tokens > 0) {
      const { grantId: id, epoch, tokens } = grant;
      this._holdings.push({ id, epoch, leaseEndsAt, tokens, unreported: 0 });
    }
  }

  private _sumWanted(now: number): number {
    let waiting = 0;
    for (const waiter of this._waiters) {
      waiting += waiter.tokens;
    }
    return waiting + Math.ceil((this._demand.sum(now) * HOLD_MS) / DEMAND_WINDOW_MS);
  }
}
