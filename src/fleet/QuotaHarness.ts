/** Entries and a hub in memory, which exchange leases as in production. */
import fc from 'fast-check';
import { QuotaPool } from './QuotaPool.js';
import type { QuotaRecovery } from './QuotaRecovery.js';
import { QuotaWallet } from './QuotaWallet.js';

export const WINDOW_MS = 8_000;
export const LIMIT = 100_000;

/** Exchanges and records each happen at least every 500 ms while there is a hub. */
const MAX_LAG_MS = 1_000;

const STARTED_AT_MS = 1_000;
const STEP_MS = 100;

export const NOTHING_SPENT: QuotaRecovery = { kind: 'nothing_spent' };

interface ISpent {
  readonly entry: number;
  readonly at: number;
  readonly tokens: number;
}

/** Spending that the leader recorded durably. */
type IRecorded = Pick<ISpent, 'at' | 'tokens'>;

interface ITestEntry {
  wallet: QuotaWallet;
  incarnation: number;
}

/** Entries that call a hub in memory; a request that lacks tokens asks at once, as in production. */
export class QuotaFleet {
  public readonly spent: ISpent[] = [];
  public readonly refused: ISpent[] = [];
  /** Requests that asked the hub for tokens. */
  public askCount = 0;
  private _isHubReachable = true;
  private _frozen: number | undefined;
  private _hubChangedAt = Number.NEGATIVE_INFINITY;
  private readonly _entries: ITestEntry[];
  private _limit = LIMIT;
  private _pool = new QuotaPool(LIMIT, WINDOW_MS, NOTHING_SPENT);
  private _records: IRecorded[] = [];
  private _ceiling = 0;

  constructor(size: number) {
    this._entries = Array.from({ length: size }, () => this._createEntry(0));
  }

  /** Adds an entry that has just started. */
  public addEntry(): void {
    this._entries.push(this._createEntry(0));
  }

  public setLimit(limit: number, now: number): void {
    this._limit = limit;
    this._pool.setLimit(limit, now);
  }

  public setHubReachable(isReachable: boolean, now: number): void {
    this._isHubReachable = isReachable;
    this._hubChangedAt = now;
  }

  /** Exchanges with each entry in turn; the answers to some of them are lost. */
  public exchangeAll(now: number, lost: (entry: number) => boolean = () => false): void {
    for (let entry = 0; entry < this._entries.length; entry += 1) {
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
      const { lease, waitMs } = this._pool.exchange(run, usage, this._entries.length, now);
      if (isAnswered) {
        wallet.applyLease(clientAccount, lease, waitMs, now, now);
      }
    }
  }

  public send(entry: number, tokens: number, now: number): void {
    const { wallet } = this._get(entry);
    let outcome = wallet.trySpend('pag', tokens, now);
    if (outcome.kind === 'ask') {
      this.askCount += 1;
      this.exchange(entry, now);
      outcome = wallet.retrySpend('pag', tokens, now);
    }
    (outcome.kind === 'spent' ? this.spent : this.refused).push({ entry, at: now, tokens });
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
    this._pool = new QuotaPool(this._limit, WINDOW_MS, this._planRecoveryFromStop(now));
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
    this._pool = new QuotaPool(this._limit, WINDOW_MS, {
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
    this._pool = new QuotaPool(this._limit, WINDOW_MS, this._planRecoveryFromStop(now));
    this._hubChangedAt = now;
    this._records = [];
  }

  /** Restarts all entries but one. */
  public restartAllBut(survivor: number, now: number): void {
    const surviving = this._get(survivor);
    this.restartAll(now);
    this._entries[survivor] = surviving;
  }

  /** Most tokens spent within a window that begins at `from` or later. */
  public sumWorstWindow(from = Number.NEGATIVE_INFINITY): number {
    const starts = this.spent.filter(({ at }) => at >= from);
    return Math.max(0, ...starts.map(({ at }) => this.sumSpent(at, at + WINDOW_MS)));
  }

  /** Tokens spent at one entry, or at all. */
  public sumSpent(from: number, to: number, entry?: number): number {
    return this.spent
      .filter((spent) => spent.at >= from && spent.at < to)
      .filter((spent) => entry === undefined || spent.entry === entry)
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

/** What happens in one step of 100 ms. */
export interface IStep {
  /** Requests, each with the fraction of the entries that selects its entry. */
  readonly requests: readonly { readonly position: number; readonly tokens: number }[];
  readonly event:
    | 'none'
    | 'hub_lost'
    | 'hub_back'
    | 'hub_replaced'
    | 'new_process_leads'
    | 'entry_frozen'
    | 'entry_restarted'
    | 'all_stopped';
  readonly lostAnswers: number;
  /** The limit from this step on; undefined if it does not change. */
  readonly limit?: number | undefined;
}

const STEP: fc.Arbitrary<IStep> = fc.record<IStep>({
  requests: fc.array(
    fc.record({
      position: fc.double({ min: 0, max: 0.999, noNaN: true }),
      tokens: fc.integer({ min: 100, max: 16_000 }),
    }),
    { maxLength: 6 },
  ),
  event: fc.oneof(
    { weight: 30, arbitrary: fc.constant('none' as const) },
    {
      weight: 4,
      arbitrary: fc.constantFrom(
        'hub_lost',
        'hub_back',
        'hub_replaced',
        'new_process_leads',
        'entry_frozen',
        'entry_restarted',
      ),
    },
    { weight: 1, arbitrary: fc.constant('all_stopped' as const) },
  ),
  lostAnswers: fc.double({ min: 0, max: 0.5, noNaN: true }),
});

/** Random steps under an unchanged limit. */
export const STEPS = fc.array(STEP, { minLength: 100, maxLength: 250 });

/** Random steps with small requests, in about one of 250 of which the limit changes. */
export const STEPS_WITH_CHANGES: fc.Arbitrary<IStep[]> = fc.array(
  fc
    .tuple(STEP, fc.option(fc.constantFrom(0.2, 0.5, 0.8, 1), { freq: 250, nil: undefined }))
    .map(([step, part]) => ({
      ...step,
      requests: step.requests.map(({ position, tokens }) => ({ position, tokens: tokens / 8 })),
      limit: part === undefined ? undefined : part * LIMIT,
    })),
  { minLength: 400, maxLength: 700 },
);

/** Time of a step, by its index. */
export function computeStepTime(index: number): number {
  return STARTED_AT_MS + index * STEP_MS;
}

/** Runs steps one after the other. */
export function runSteps(fleet: QuotaFleet, size: number, steps: readonly IStep[]): void {
  steps.forEach((step, index) => {
    runStep(fleet, size, step, index);
  });
}

function runStep(fleet: QuotaFleet, size: number, step: IStep, index: number): void {
  const now = computeStepTime(index);
  switch (step.event) {
    case 'none':
      break;
    case 'hub_lost':
      fleet.setHubReachable(false, now);
      break;
    case 'hub_back':
      fleet.setHubReachable(true, now);
      break;
    case 'hub_replaced':
      fleet.replaceHub(now);
      break;
    case 'new_process_leads':
      // With one entry all others than the frozen one have stopped.
      if (size > 1 && fleet.isRecorded(now)) {
        fleet.replaceHubByNewProcess(now);
        fleet.exchangeAll(now);
      }
      break;
    case 'entry_frozen':
      fleet.setFrozen(index % 2 === 0 ? index % size : undefined);
      break;
    case 'entry_restarted':
      fleet.restartEntry(index % size);
      break;
    case 'all_stopped':
      if (fleet.isRecorded(now)) {
        fleet.setFrozen(undefined);
        fleet.restartAll(now);
      }
      break;
  }
  if (step.limit !== undefined) {
    fleet.setLimit(step.limit, now);
  }
  if (index % 5 === 0) {
    fleet.exchangeAll(now, (entry) => ((entry * 7 + index) % 10) / 10 < step.lostAnswers);
  }
  for (const { position, tokens } of step.requests) {
    fleet.send(Math.floor(position * size), tokens, now);
  }
  if (index % 5 === 0) {
    fleet.record(now);
  }
}
