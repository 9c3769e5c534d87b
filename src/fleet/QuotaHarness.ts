/** Entries and a hub in memory, which exchange leases as in production. */
import { QuotaPool } from './QuotaPool.js';
import type { QuotaRecovery } from './QuotaRecovery.js';
import { QuotaWallet } from './QuotaWallet.js';

export const WINDOW_MS = 8_000;
export const LIMIT = 100_000;

/** Exchanges and records each happen at least every 500 ms while there is a hub. */
const MAX_LAG_MS = 1_000;

export const NOTHING_SPENT: QuotaRecovery = { kind: 'nothing_spent' };

interface ISpent {
  readonly at: number;
  readonly tokens: number;
}

interface ITestEntry {
  wallet: QuotaWallet;
  incarnation: number;
}

/** Entries that call a hub in memory; a request that lacks tokens asks at once, as in production. */
export class QuotaFleet {
  public readonly spent: ISpent[] = [];
  public readonly refused: ISpent[] = [];
  private _isHubReachable = true;
  private _frozen: number | undefined;
  private _hubChangedAt = Number.NEGATIVE_INFINITY;
  private readonly _entries: ITestEntry[];
  private _pool = new QuotaPool(LIMIT, WINDOW_MS, NOTHING_SPENT);
  private _records: ISpent[] = [];
  private _ceiling = 0;

  constructor(private readonly _size: number) {
    this._entries = Array.from({ length: _size }, () => this._createEntry(0));
  }

  public setHubReachable(isReachable: boolean, now: number): void {
    this._isHubReachable = isReachable;
    this._hubChangedAt = now;
  }

  /** Exchanges with each entry in turn; the answers to some of them are lost. */
  public exchangeAll(now: number, lost: (entry: number) => boolean = () => false): void {
    for (let entry = 0; entry < this._size; entry += 1) {
      this.exchange(entry, now, !lost(entry));
    }
  }

  public exchange(entry: number, now: number, isAnswered = true): void {
    const { wallet, incarnation } = this._get(entry);
    wallet.setHubReachable(this._isHubReachable && isAnswered && entry !== this._frozen);
    if (!this._isHubReachable || entry === this._frozen) {
      return;
    }
    const run = { node: `n${entry}`, incarnation: String(incarnation) };
    for (const { clientAccount, held, wanted, spent, total } of wallet.report(['pag'], now)) {
      const usage = { lease: held + spent, wanted, spent, total };
      const { lease, waitMs } = this._pool.exchange(run, usage, this._size, now);
      if (isAnswered) {
        wallet.applyLease(clientAccount, lease, waitMs, now, now);
      }
    }
  }

  public send(entry: number, tokens: number, now: number): void {
    const { wallet } = this._get(entry);
    let outcome = wallet.trySpend('pag', tokens, now);
    if (outcome.kind === 'ask') {
      this.exchange(entry, now);
      outcome = wallet.retrySpend('pag', tokens, now);
    }
    (outcome.kind === 'spent' ? this.spent : this.refused).push({ at: now, tokens });
  }

  /** Records durably what was spent, as the leader does at intervals. */
  public record(now: number): void {
    const record = this._pool.takeRecord(now);
    if (record !== undefined && this._isHubReachable) {
      this._records = [...this._records, { at: now, tokens: record.tokens }].slice(-40);
      this._ceiling = record.ceiling;
      this._pool.raiseCeiling(record.ceiling);
    }
  }

  /** Replaces the hub by a process that has just started, as after a stop of all, although the entries go on. */
  public replaceHubByNewProcess(now: number): void {
    this._pool = new QuotaPool(LIMIT, WINDOW_MS, this._planRecoveryFromStop(now));
    this._records = [];
  }

  /** Keeps an entry from reporting, without a change of its lease. */
  public setFrozen(entry: number | undefined): void {
    this._frozen = entry;
  }

  public restartEntry(entry: number): void {
    this._entries[entry] = this._createEntry(this._get(entry).incarnation + 1);
  }

  public replaceHub(now: number): void {
    this._pool = new QuotaPool(LIMIT, WINDOW_MS, {
      kind: 'earlier_leases',
      startedAt: now,
      ceiling: this._ceiling,
    });
    // The time between the records of two hubs is unknown, so earlier ones are not used.
    this._records = [];
  }

  /** False while recent spending may be missing in the records because there was no hub. */
  public isRecorded(now: number): boolean {
    return this._isHubReachable && now - this._hubChangedAt > MAX_LAG_MS;
  }

  public restartAll(now: number): void {
    this._entries.forEach((_, entry) => {
      this.restartEntry(entry);
    });
    this._pool = new QuotaPool(LIMIT, WINDOW_MS, this._planRecoveryFromStop(now));
    this._hubChangedAt = now;
    this._records = [];
  }

  /** Restarts all entries but one. */
  public restartAllBut(survivor: number, now: number): void {
    const surviving = this._get(survivor);
    this.restartAll(now);
    this._entries[survivor] = surviving;
  }

  public sumWorstWindow(): number {
    return Math.max(0, ...this.spent.map(({ at }) => this.sumSpent(at, at + WINDOW_MS)));
  }

  public sumSpent(from: number, to: number): number {
    return this.spent
      .filter(({ at }) => at >= from && at < to)
      .reduce((sum, { tokens }) => sum + tokens, 0);
  }

  private _planRecoveryFromStop(now: number): QuotaRecovery {
    const last = this._records.at(-1)?.at ?? now;
    const slices = this._records.map(({ at, tokens }) => ({ tokens, ageMs: last - at }));
    const history = { ceiling: this._ceiling, slices, maxLagMs: MAX_LAG_MS };
    return { kind: 'all_stopped', startedAt: now, stoppedAt: now, history };
  }

  private _get(entry: number): ITestEntry {
    const found = this._entries[entry];
    if (found === undefined) {
      throw new Error(`there is no entry ${entry}`);
    }
    return found;
  }

  private _createEntry(incarnation: number): ITestEntry {
    return { wallet: new QuotaWallet(WINDOW_MS), incarnation };
  }
}
