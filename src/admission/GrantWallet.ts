/**
 * The entry's side of the token ledger (design 3.4): holds granted tokens, spends them on requests and
 * settles them with the ledger.
 */
import { create } from '@bufbuild/protobuf';
import type { IDisposable } from '../common/Lifecycle.js';
import {
  SyncGrantsCommandSchema,
  type SyncGrantsCommand,
  type SyncGrantsResult,
} from '../gen/redwingwharf/v1/state_pb.js';
import type { IEntryProcess } from '../state/EntryProcess.js';
import { AccountWallet, type ITaken } from './AccountWallet.js';

/** Tokens charged for one admitted request. */
export interface IReservation {
  readonly clientAccount: string;
  readonly tokens: number;
}

interface IOpenReservation extends IReservation {
  readonly taken: ITaken;
  /** Number of the exchange that reports the tokens as spent. */
  readonly sequence: bigint;
}

interface IRefund {
  readonly clientAccount: string;
  readonly epoch: bigint;
  tokens: number;
}

interface IPendingSync {
  readonly command: SyncGrantsCommand;
  readonly sentAt: number;
}

/**
 * Wallet of one entry process. Times are milliseconds of the process's monotonic clock.
 *
 * @example
 * const reservation = wallet.tryReserve('lab', 4_000, now);
 * // ... the request ran and used 900 tokens ...
 * wallet.settle(reservation, 900, now);
 * const command = wallet.buildSync(now);
 * wallet.applyResult(command, await control.syncGrants(command));
 */
export class GrantWallet {
  private readonly _accounts = new Map<string, AccountWallet>();
  private readonly _open = new Map<IReservation, IOpenReservation>();
  private readonly _refunds = new Map<string, IRefund>();
  private _pending: IPendingSync | undefined;
  private _nextSequence = 1n;

  constructor(private readonly _entry: IEntryProcess) {}

  /** Tokens of a client account that may be spent now. */
  public sumAvailable(clientAccount: string, now: number): number {
    return this._accounts.get(clientAccount)?.sumAvailable(now) ?? 0;
  }

  /**
   * Charges a request, or returns undefined when the tokens held are not enough. The caller may then
   * add a waiter, exchange at once and try again.
   */
  public tryReserve(clientAccount: string, tokens: number, now: number): IReservation | undefined {
    const whole = Math.ceil(tokens);
    const taken = this._accounts.get(clientAccount)?.take(whole, now);
    if (taken === undefined) {
      return undefined;
    }
    const sequence = this._nextSequence;
    const reservation = { clientAccount, tokens: whole, taken, sequence };
    this._open.set(reservation, reservation);
    return reservation;
  }

  /** Adds tokens that a request waits for to what the next exchange asks for. */
  public addWaiter(clientAccount: string, tokens: number): IDisposable {
    return this._ensureAccount(clientAccount).addWaiter(Math.ceil(tokens));
  }

  /**
   * Time until a request that waits since then may get its tokens; undefined while the ledger has not
   * been asked for it and answered.
   */
  public getRetryAfterMs(clientAccount: string, since: number): number | undefined {
    return this._accounts.get(clientAccount)?.getRetryAfterMs(since);
  }

  /**
   * Ends a reservation. Unused tokens go back to the wallet when their spending was not reported yet,
   * else to the ledger as a refund. Use beyond the reservation is not charged, and a second settlement
   * does nothing.
   */
  public settle(reservation: IReservation, usedTokens: number): void {
    const open = this._open.get(reservation);
    if (open === undefined) {
      return;
    }
    this._open.delete(reservation);
    const used = Math.max(0, Math.ceil(usedTokens));
    const unused = Math.max(0, open.tokens - used);
    if (open.sequence === this._nextSequence) {
      this._accounts.get(open.clientAccount)?.giveBack(open.taken, unused);
    } else if (unused > 0) {
      this._addRefund(open.clientAccount, open.taken.epoch, unused);
    }
  }

  /**
   * The next exchange. Until `applyResult` it is the same command again, so that the ledger can tell a
   * resend after a lost answer. Undefined when there is nothing to exchange.
   */
  public buildSync(now: number): SyncGrantsCommand | undefined {
    if (this._pending !== undefined) {
      return this._pending.command;
    }
    this._forgetIdle(now);
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
    this._pending = { command, sentAt: now };
    return command;
  }

  /**
   * Takes the answer to a command of `buildSync`; answers to other commands change nothing. The leases
   * count from the first time that the command was sent.
   */
  public applyResult(command: SyncGrantsCommand, result: SyncGrantsResult): void {
    const pending = this._pending;
    if (pending?.command !== command) {
      return;
    }
    this._pending = undefined;
    for (const grant of result.grants) {
      this._ensureAccount(grant.clientAccount).addGrant(grant, pending.sentAt);
    }
  }

  private _ensureAccount(clientAccount: string): AccountWallet {
    const known = this._accounts.get(clientAccount);
    if (known !== undefined) {
      return known;
    }
    const account = new AccountWallet(clientAccount);
    this._accounts.set(clientAccount, account);
    return account;
  }

  private _addRefund(clientAccount: string, epoch: bigint, tokens: number): void {
    const key = `${epoch} ${clientAccount}`;
    const known = this._refunds.get(key);
    if (known === undefined) {
      this._refunds.set(key, { clientAccount, epoch, tokens });
    } else {
      known.tokens += tokens;
    }
  }

  private _forgetIdle(now: number): void {
    for (const [clientAccount, account] of this._accounts) {
      if (account.isIdle(now)) {
        this._accounts.delete(clientAccount);
      }
    }
  }
}
