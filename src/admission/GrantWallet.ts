/**
 * Client side of the token ledger in an entry (design 3.4): holds granted tokens, charges requests
 * against them and settles them with the ledger.
 */
import { create } from '@bufbuild/protobuf';
import type { IDisposable } from '../common/Lifecycle.js';
import {
  SyncGrantsCommandSchema,
  type SyncGrantsCommand,
  type SyncGrantsResult,
} from '../gen/redwingwharf/v1/state_pb.js';
import type { IEntryProcess } from '../state/EntryProcess.js';
import { AccountWallet, type ICharge } from './AccountWallet.js';

/** Tokens charged for one admitted request. */
export interface IReservation {
  readonly clientAccount: string;
  readonly tokens: number;
}

/** Reservation that is not settled yet. */
interface IOpenReservation extends IReservation {
  readonly charge: ICharge;
  /** Sequence number of the exchange that reports the tokens as spent. */
  readonly sequence: bigint;
}

/** Unused tokens whose spending was reported, by account and grant epoch. */
interface IRefund {
  readonly clientAccount: string;
  readonly epoch: bigint;
  tokens: number;
}

/** Exchange without an answer so far. */
interface IPendingSync {
  readonly command: SyncGrantsCommand;
  readonly sentAt: number;
}

/**
 * Holds the grants and open reservations of one entry process and builds its exchanges with the ledger.
 * Times are milliseconds of the process's monotonic clock.
 *
 * @example
 * const reservation = wallet.tryReserve('lab', 4_000, now);
 * // ... the request ran and used 900 tokens ...
 * wallet.settle(reservation, 900);
 * const command = wallet.buildSync(now);
 * // ... the control leader executed the command and answered with `result` ...
 * wallet.applyResult(command, result);
 */
export class GrantWallet {
  private readonly _accounts = new Map<string, AccountWallet>();
  private readonly _openReservations = new Map<IReservation, IOpenReservation>();
  private readonly _refunds = new Map<string, IRefund>();
  private _pendingSync: IPendingSync | undefined;
  private _nextSequence = 1n;

  constructor(private readonly _entry: IEntryProcess) {}

  /** Tokens of a client account that may be spent now. */
  public sumAvailable(clientAccount: string, now: number): number {
    return this._accounts.get(clientAccount)?.sumAvailable(now) ?? 0;
  }

  /**
   * Charges a request, or returns undefined when the wallet holds too few tokens. The caller may then
   * add a waiter, exchange at once and try again.
   */
  public tryReserve(clientAccount: string, tokens: number, now: number): IReservation | undefined {
    const wholeTokens = Math.ceil(tokens);
    const charge = this._accounts.get(clientAccount)?.charge(wholeTokens, now);
    if (charge === undefined) {
      return undefined;
    }
    const sequence = this._nextSequence;
    const reservation = { clientAccount, tokens: wholeTokens, charge, sequence };
    this._openReservations.set(reservation, reservation);
    return reservation;
  }

  /** Adds the tokens of a waiting request to the next exchanges until the result is disposed of. */
  public addWaiter(clientAccount: string, tokens: number): IDisposable {
    return this._ensureAccount(clientAccount).addWaiter(Math.ceil(tokens));
  }

  /**
   * Returns the time in milliseconds until a request that waits since `waitingSince` may get its tokens,
   * or undefined until the ledger has answered an exchange sent since then.
   */
  public getRetryAfterMs(clientAccount: string, waitingSince: number): number | undefined {
    return this._accounts.get(clientAccount)?.getRetryAfterMs(waitingSince);
  }

  /**
   * Ends a reservation. Unused tokens return to the wallet if their spending was not reported yet,
   * otherwise to the ledger as a refund. Tokens used beyond the reservation are not charged, and a
   * second settlement has no effect.
   */
  public settle(reservation: IReservation, usedTokens: number): void {
    const openReservation = this._openReservations.get(reservation);
    if (openReservation === undefined) {
      return;
    }
    this._openReservations.delete(reservation);
    const used = Math.max(0, Math.ceil(usedTokens));
    const unused = Math.max(0, openReservation.tokens - used);
    if (openReservation.sequence === this._nextSequence) {
      this._accounts.get(openReservation.clientAccount)?.reclaim(openReservation.charge, unused);
    } else if (unused > 0) {
      this._addRefund(openReservation.clientAccount, openReservation.charge.epoch, unused);
    }
  }

  /**
   * Builds the next exchange, or returns undefined when there is nothing to exchange. Returns the same
   * command until `applyResult`, so that the ledger recognises a resend after a lost answer.
   */
  public buildSync(now: number): SyncGrantsCommand | undefined {
    if (this._pendingSync !== undefined) {
      return this._pendingSync.command;
    }
    this._pruneIdleAccounts(now);
    if (this._accounts.size === 0 && this._refunds.size === 0) {
      return undefined;
    }
    const command = create(SyncGrantsCommandSchema, {
      ...this._entry,
      sequence: this._nextSequence,
      requests: [...this._accounts.values()].map((account) => account.buildRequest(now)),
      refunds: [...this._refunds.values()],
    });
    this._refunds.clear();
    this._nextSequence += 1n;
    this._pendingSync = { command, sentAt: now };
    return command;
  }

  /**
   * Applies the answer to the pending command of `buildSync` and ignores answers to other commands. The
   * leases count from the first time that the command was built.
   */
  public applyResult(command: SyncGrantsCommand, result: SyncGrantsResult): void {
    const pending = this._pendingSync;
    if (pending?.command !== command) {
      return;
    }
    this._pendingSync = undefined;
    for (const grant of result.grants) {
      this._ensureAccount(grant.clientAccount).addGrant(grant, pending.sentAt);
    }
  }

  private _ensureAccount(clientAccount: string): AccountWallet {
    const existing = this._accounts.get(clientAccount);
    if (existing !== undefined) {
      return existing;
    }
    const account = new AccountWallet(clientAccount);
    this._accounts.set(clientAccount, account);
    return account;
  }

  private _addRefund(clientAccount: string, epoch: bigint, tokens: number): void {
    const key = `${epoch} ${clientAccount}`;
    const existing = this._refunds.get(key);
    if (existing === undefined) {
      this._refunds.set(key, { clientAccount, epoch, tokens });
    } else {
      existing.tokens += tokens;
    }
  }

  private _pruneIdleAccounts(now: number): void {
    for (const [clientAccount, account] of this._accounts) {
      if (account.isIdle(now)) {
        this._accounts.delete(clientAccount);
      }
    }
  }
}
