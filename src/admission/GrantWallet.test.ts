import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { IDisposable } from '../common/Lifecycle.js';
import {
  ClientAccountSchema,
  CommandResultSchema,
  CommandSchema,
  SyncGrantsCommandSchema,
  SyncGrantsResultSchema,
  type Command,
  type CommandResult,
  type SyncGrantsCommand,
  type SyncGrantsResult,
} from '../gen/redwingwharf/v1/state_pb.js';
import { measureExcess, type IAdmittedRequest } from '../state/AdmissionBound.js';
import { ControlState } from '../state/ControlState.js';
import { Ledger } from '../state/Ledger.js';
import { GRANT_LEASE_MS } from './AccountWallet.js';
import { GrantWallet, type IReservation } from './GrantWallet.js';

const ACCOUNT = 'lab';
const SEED = 20_261_204;
const TICK_MS = 10;
const SYNC_INTERVAL_MS = 200;
const TIMEOUT_MS = 100;

/** Control state that is reached through encoded commands, as by an entry. */
class Control {
  public readonly ledger = new Ledger();
  private readonly _state = new ControlState(this.ledger);
  private _index = 0;

  constructor(
    public readonly rate: number,
    public readonly burst: number,
  ) {
    const account = { id: ACCOUNT, tokensPerSecond: rate, burstTokens: burst };
    const value = toBinary(ClientAccountSchema, create(ClientAccountSchema, account));
    const items = [{ key: `clientAccount/${ACCOUNT}`, value }];
    const change = { operationId: 'op-1', version: 1n, items };
    this._apply(0, create(CommandSchema, { body: { case: 'change', value: change } }).body);
  }

  public sync(timeMs: number, command: SyncGrantsCommand): SyncGrantsResult {
    const result = this._apply(timeMs, { case: 'syncGrants', value: command });
    return result.case === 'syncGrants' ? result.value : create(SyncGrantsResultSchema);
  }

  private _apply(timeMs: number, body: Command['body']): CommandResult['body'] {
    this._index += 1;
    const command = create(CommandSchema, { timeMs: BigInt(timeMs), body });
    const result = this._state.apply(toBinary(CommandSchema, command), this._index);
    return fromBinary(CommandResultSchema, result).body;
  }
}

interface IFleetOptions {
  readonly rate: number;
  readonly burst: number;
  readonly entryCount: number;
  /** Share of the exchanges whose request is lost; the same share of the answers is lost. */
  readonly loss: number;
  /** Ratio of the demand to the rate. */
  readonly load: number;
  readonly reservedTokens: number;
  /** Share of the reserved tokens that is used. */
  readonly use: number;
  readonly requestMs: number;
  readonly durationMs: number;
  readonly seed: number;
}

interface IFleetResult {
  readonly admissions: IAdmittedRequest[];
  readonly offered: number;
  readonly refused: number;
  /**
   * Requests refused although a single central bucket with the same reservations and immediate refunds
   * in full would have had the tokens.
   */
  readonly wrongful: number;
}

interface IEntryState {
  readonly wallet: GrantWallet;
  pending: { command: SyncGrantsCommand; retryAtMs: number } | undefined;
  answer: SyncGrantsResult | undefined;
  nextSyncAtMs: number;
  waitingRequests: { tokens: number; waiter: IDisposable; attempts: number }[];
}

interface IRunningRequest {
  readonly wallet: GrantWallet;
  readonly reservation: IReservation;
  readonly endsAtMs: number;
}

function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

/**
 * Simulates entries with wallets that exchange grants with a ledger over a lossy network. Two thirds of
 * the demand go to one entry, and that entry changes every second.
 */
class Fleet {
  private readonly _control: Control;
  private readonly _entries: IEntryState[];
  private readonly _random: () => number;
  private readonly _admissions: {
    atMs: number;
    usedTokens: number;
    refilledTokens: number;
    burstTokens: number;
  }[] = [];
  private _running: IRunningRequest[] = [];
  private _centralBucketLevel: number;
  private _offered = 0;
  private _refused = 0;
  private _wrongful = 0;
  private _nowMs = 0;

  constructor(private readonly _options: IFleetOptions) {
    this._control = new Control(_options.rate, _options.burst);
    this._random = createRandom(_options.seed);
    this._centralBucketLevel = _options.burst;
    this._entries = Array.from({ length: _options.entryCount }, (_, index) => ({
      wallet: new GrantWallet({ instance: `e${index}`, incarnation: Uint8Array.of(index) }),
      pending: undefined,
      answer: undefined,
      nextSyncAtMs: index * 7,
      waitingRequests: [],
    }));
  }

  public run(): IFleetResult {
    for (; this._nowMs < this._options.durationMs; this._nowMs += TICK_MS) {
      this._settleEnded();
      this._admitArrivals();
      this._entries.forEach((entry) => {
        this._syncEntry(entry);
      });
      this._addToCentralBucket((this._options.rate * TICK_MS) / 1_000);
    }
    const {
      _admissions: admissions,
      _offered: offered,
      _refused: refused,
      _wrongful: wrongful,
    } = this;
    return { admissions, offered, refused, wrongful };
  }

  private _admitArrivals(): void {
    const { rate, load, reservedTokens, use, entryCount } = this._options;
    const perTick = (rate * load * TICK_MS) / 1_000 / (reservedTokens * use);
    for (let left = perTick; left > this._random(); left -= 1) {
      const busiest = Math.floor(this._nowMs / 1_000) % entryCount;
      const position = this._random() < 2 / 3 ? busiest : Math.floor(this._random() * entryCount);
      const entry = this._entries[position];
      const tokens = Math.ceil(reservedTokens * (0.5 + this._random()));
      this._offered += 1;
      if (entry !== undefined && !this._admit(entry, tokens)) {
        const waiter = entry.wallet.addWaiter(ACCOUNT, tokens);
        entry.waitingRequests.push({ tokens, waiter, attempts: 0 });
      }
    }
  }

  private _admit(entry: IEntryState, tokens: number): boolean {
    const { rate, burst, use, requestMs } = this._options;
    const reservation = entry.wallet.tryReserve(ACCOUNT, tokens, this._nowMs);
    if (reservation === undefined) {
      return false;
    }
    const usedTokens = Math.ceil(tokens * use);
    this._centralBucketLevel -= tokens;
    const refilledTokens = (rate * this._nowMs) / 1_000;
    this._admissions.push({ atMs: this._nowMs, usedTokens, refilledTokens, burstTokens: burst });
    const endsAtMs = this._nowMs + requestMs * (0.5 + this._random());
    this._running.push({ wallet: entry.wallet, reservation, endsAtMs });
    return true;
  }

  private _addToCentralBucket(tokens: number): void {
    this._centralBucketLevel = Math.min(this._options.burst, this._centralBucketLevel + tokens);
  }

  private _settleEnded(): void {
    const ended = this._running.filter(({ endsAtMs }) => endsAtMs <= this._nowMs);
    this._running = this._running.filter(({ endsAtMs }) => endsAtMs > this._nowMs);
    for (const { wallet, reservation } of ended) {
      const used = Math.ceil(reservation.tokens * this._options.use);
      wallet.settle(reservation, used);
      this._addToCentralBucket(reservation.tokens - used);
    }
  }

  private _syncEntry(entry: IEntryState): void {
    const { pending, answer, wallet } = entry;
    if (pending !== undefined && answer !== undefined) {
      wallet.applyResult(pending.command, answer);
      entry.pending = undefined;
      entry.answer = undefined;
      this._retryWaiting(entry);
    }
    const isDue = entry.waitingRequests.length > 0 || this._nowMs >= entry.nextSyncAtMs;
    const canSend = entry.pending === undefined ? isDue : this._nowMs >= entry.pending.retryAtMs;
    const command = canSend ? wallet.buildSync(this._nowMs) : undefined;
    if (command === undefined) {
      return;
    }
    entry.pending = { command, retryAtMs: this._nowMs + TIMEOUT_MS };
    entry.nextSyncAtMs = this._nowMs + SYNC_INTERVAL_MS;
    if (this._random() >= this._options.loss) {
      const result = this._control.sync(this._nowMs, command);
      entry.answer = this._random() >= this._options.loss ? result : undefined;
    }
  }

  /** Refuses a request after one exchange that was built after its arrival did not bring its tokens. */
  private _retryWaiting(entry: IEntryState): void {
    entry.waitingRequests = entry.waitingRequests.filter((request) => {
      request.attempts += 1;
      const isAdmitted = this._admit(entry, request.tokens);
      const isRefused = !isAdmitted && request.attempts > 1;
      if (isRefused) {
        this._refused += 1;
        this._wrongful += this._centralBucketLevel >= request.tokens ? 1 : 0;
      }
      if (isAdmitted || isRefused) {
        request.waiter.dispose();
      }
      return !isAdmitted && !isRefused;
    });
  }
}

const MOVING_DEMAND: IFleetOptions = {
  rate: 20_000,
  burst: 40_000,
  entryCount: 4,
  loss: 0,
  load: 0.8,
  reservedTokens: 1_000,
  use: 1,
  requestMs: 1_000,
  durationMs: 60_000,
  seed: SEED,
};

describe('fleet of wallets', () => {
  it('never admits more than rate x time + burst when messages are lost', () => {
    const property = fc.property(
      fc.record({
        rate: fc.integer({ min: 1_000, max: 50_000 }),
        burst: fc.integer({ min: 2_000, max: 50_000 }),
        entryCount: fc.integer({ min: 1, max: 5 }),
        loss: fc.constantFrom(0, 0.1, 0.5),
        load: fc.constantFrom(0.8, 2, 5),
        reservedTokens: fc.constantFrom(200, 1_000),
        use: fc.constantFrom(0.1, 0.5, 1),
        requestMs: fc.constantFrom(50, 1_000, 5_000),
        durationMs: fc.constant(10_000),
        seed: fc.nat(),
      }),
      (options) => {
        expect(measureExcess(new Fleet(options).run().admissions)).toBeLessThan(1e-3);
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 60 });
  });

  it.each([
    ['that moves between entries', {}],
    ['with a tenth of all messages lost', { loss: 0.1 }],
    ['of which a tenth is refunded', { use: 0.9 }],
    ['of which most is refunded, with a burst large enough', { use: 0.25, burst: 200_000 }],
  ])('wrongly refuses less than 0.5 % of the requests for demand %s', (_, options) => {
    const { wrongful, offered } = new Fleet({ ...MOVING_DEMAND, ...options }).run();
    expect(wrongful / offered).toBeLessThan(0.005);
  });

  it('uses more than 90 % of the rate under overload, so that the bound costs little throughput', () => {
    const { admissions } = new Fleet({ ...MOVING_DEMAND, load: 3, durationMs: 20_000 }).run();
    const used = admissions.reduce((sum, { usedTokens }) => sum + usedTokens, 0);
    expect(used / (20_000 * 20 + 40_000)).toBeGreaterThan(0.9);
  });
});

describe('GrantWallet', () => {
  function createWalletWithGrant(tokens: number): { wallet: GrantWallet; control: Control } {
    const control = new Control(0, 10_000);
    const wallet = new GrantWallet({ instance: 'e', incarnation: Uint8Array.of(1) });
    const waiter = wallet.addWaiter(ACCOUNT, tokens);
    syncOnce(wallet, control, 0);
    waiter.dispose();
    return { wallet, control };
  }

  function syncOnce(wallet: GrantWallet, control: Control, now: number): void {
    const command = wallet.buildSync(now);
    if (command !== undefined) {
      wallet.applyResult(command, control.sync(now, command));
    }
  }

  it('resends an unanswered exchange unchanged, so that nothing is reported or granted twice', () => {
    const { wallet, control } = createWalletWithGrant(1_000);
    const reservation = wallet.tryReserve(ACCOUNT, 400, 10);
    const lost = wallet.buildSync(20);
    expect(lost).toBeDefined();
    control.sync(20, lost ?? create(SyncGrantsCommandSchema));
    if (reservation !== undefined) {
      wallet.settle(reservation, 100);
    }
    expect(wallet.buildSync(120)).toBe(lost);
    syncOnce(wallet, control, 120);
    const account = control.ledger.get(ACCOUNT);
    expect((account?.level ?? 0) + (account?.outstanding ?? 0)).toBe(9_600);
    expect(account?.outstanding).toBe(wallet.sumAvailable(ACCOUNT, 120));
  });

  it('counts the lease from the first attempt, so that a late answer does not extend it', () => {
    const control = new Control(0, 10_000);
    const wallet = new GrantWallet({ instance: 'e', incarnation: Uint8Array.of(1) });
    wallet.addWaiter(ACCOUNT, 1_000);
    wallet.buildSync(0);
    const again = wallet.buildSync(1_500) ?? create(SyncGrantsCommandSchema);
    wallet.applyResult(again, control.sync(1_500, again));
    expect(wallet.sumAvailable(ACCOUNT, GRANT_LEASE_MS - 1)).toBe(1_000);
    expect(wallet.tryReserve(ACCOUNT, 1, GRANT_LEASE_MS)).toBeUndefined();
  });

  it('reuses the unused tokens of a request whose spending was not reported yet', () => {
    const { wallet } = createWalletWithGrant(1_000);
    const reservation = wallet.tryReserve(ACCOUNT, 1_000, 10);
    if (reservation !== undefined) {
      wallet.settle(reservation, 300);
      wallet.settle(reservation, 0);
    }
    expect(wallet.sumAvailable(ACCOUNT, 20)).toBe(700);
  });

  it('returns tokens that it no longer wants, so that other entries can get them', () => {
    const { wallet, control } = createWalletWithGrant(8_000);
    wallet.tryReserve(ACCOUNT, 1_000, 10);
    syncOnce(wallet, control, 20);
    expect(wallet.sumAvailable(ACCOUNT, 20)).toBe(500);
    syncOnce(wallet, control, 1_500);
    expect(control.ledger.get(ACCOUNT)).toMatchObject({ level: 9_000, outstanding: 0 });
    expect(wallet.buildSync(1_600)).toBeUndefined();
  });
});
