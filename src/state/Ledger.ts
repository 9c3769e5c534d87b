/** Token-bucket ledgers of all client accounts (design 3.4). */
import { create } from '@bufbuild/protobuf';
import {
  GrantSchema,
  SyncGrantsResultSchema,
  type Grant,
  type GrantRequest,
  type LedgerSnapshot,
  type SyncGrantsCommand,
  type SyncGrantsResult,
} from '../gen/redwingwharf/v1/state_pb.js';
import { AccountLedger, NEVER_RETRY_AFTER_MS } from './AccountLedger.js';
import { buildEntryId, type IEntryProcess } from './EntryProcess.js';

/** Holds the ledger of each client account and applies the grant exchanges of the entries. */
export class Ledger {
  private readonly _accounts = new Map<string, AccountLedger>();

  public get(clientAccount: string): AccountLedger | undefined {
    return this._accounts.get(clientAccount);
  }

  /** Creates a client account with a full bucket, or changes the limits of an existing one. */
  public setLimits(
    clientAccount: string,
    tokensPerSecond: number,
    burstTokens: number,
    timeMs: number,
  ): void {
    const existing = this._accounts.get(clientAccount);
    if (existing !== undefined) {
      existing.setLimits(tokensPerSecond, burstTokens, timeMs);
      return;
    }
    const account = this.createAccount(clientAccount, timeMs);
    account.initialise(tokensPerSecond, burstTokens);
    this._accounts.set(clientAccount, account);
  }

  /** Stops granting tokens to a deleted client account; its bucket is kept until `compact`. */
  public withdraw(clientAccount: string, timeMs: number): void {
    this._accounts.get(clientAccount)?.withdraw(timeMs);
  }

  /** Removes deleted client accounts whose bucket has become as full as that of a new one. */
  public compact(timeMs: number): void {
    for (const account of [...this._accounts.values()]) {
      if (account.isWithdrawn) {
        account.advance(timeMs);
        if (account.isFull) {
          this._accounts.delete(account.clientAccount);
        }
      }
    }
  }

  /**
   * Applies one exchange of an entry: reports, then refunds, then grants. The caller has to make sure
   * that each command is applied only once.
   */
  public sync(command: SyncGrantsCommand, index: number, timeMs: number): SyncGrantsResult {
    const entry = { instance: command.instance, incarnation: command.incarnation };
    for (const request of command.requests) {
      this._report(request, buildEntryId(entry), timeMs);
    }
    for (const refund of command.refunds) {
      const account = this._accounts.get(refund.clientAccount);
      account?.advance(timeMs);
      account?.refund(Number(refund.epoch), refund.tokens);
    }
    const grants = command.requests.map((request) => this._grant(request, entry, index, timeMs));
    return create(SyncGrantsResultSchema, { grants });
  }

  public snapshot(): LedgerSnapshot[] {
    return [...this._accounts.values()].map((account) => account.snapshot());
  }

  public restore(ledgers: readonly LedgerSnapshot[]): void {
    this._accounts.clear();
    for (const saved of ledgers) {
      const account = this.createAccount(saved.clientAccount, Number(saved.refilledAtMs));
      account.restore(saved);
      this._accounts.set(saved.clientAccount, account);
    }
  }

  protected createAccount(clientAccount: string, timeMs: number): AccountLedger {
    return new AccountLedger(clientAccount, timeMs);
  }

  private _report(request: GrantRequest, entryId: string, timeMs: number): void {
    const account = this._accounts.get(request.clientAccount);
    account?.advance(timeMs);
    for (const { grantId, spentTokens, returnedTokens } of request.reports) {
      account?.report(entryId, Number(grantId), spentTokens, returnedTokens);
    }
  }

  private _grant(
    request: GrantRequest,
    entry: IEntryProcess,
    index: number,
    timeMs: number,
  ): Grant {
    const { clientAccount, wantedTokens, neededTokens } = request;
    const account = this._accounts.get(clientAccount);
    const granted = account?.grant(entry, index, wantedTokens, neededTokens, timeMs);
    return create(GrantSchema, {
      clientAccount,
      grantId: BigInt(index),
      tokens: granted?.tokens ?? 0,
      epoch: BigInt(granted?.epoch ?? 0),
      retryAfterMs: granted?.retryAfterMs ?? NEVER_RETRY_AFTER_MS,
    });
  }
}
