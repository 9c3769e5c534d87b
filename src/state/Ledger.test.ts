import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  ClientAccountSchema,
  CommandResultSchema,
  CommandSchema,
  SyncGrantsCommandSchema,
  type Command,
  type CommandResult,
  type Grant,
  type SyncGrantsCommand,
} from '../gen/redwingwharf/v1/state_pb.js';
import { AccountLedger, NEVER_RETRY_AFTER_MS } from './AccountLedger.js';
import { measureExcess } from './AdmissionBound.js';
import { ControlState } from './ControlState.js';
import { Ledger } from './Ledger.js';

const ACCOUNT = 'lab';
const LEASE_MS = 2_000;
const TOLERANCE_TOKENS = 1e-3;
const SEED = 20_261_204;

/** Faulty ledger whose refunds ignore the epoch limits. */
class PlainRefundAccount extends AccountLedger {
  protected override computeRefundLimit(): number {
    return this.burst;
  }
}

/** Faulty ledger whose outstanding grants don't count against the burst. */
class UncountedGrantsAccount extends AccountLedger {
  protected override computeLevelLimit(): number {
    return this.burst;
  }
}

/** Ledger that creates accounts of the given class. */
class VariantLedger extends Ledger {
  constructor(private readonly _variant: typeof AccountLedger) {
    super();
  }

  protected override createAccount(clientAccount: string, timeMs: number): AccountLedger {
    return new this._variant(clientAccount, timeMs);
  }
}

interface IHolding {
  readonly id: bigint;
  readonly epoch: bigint;
  readonly leaseEndsAtMs: number;
  tokens: number;
  unreported: number;
}

interface IReservation {
  readonly atMs: number;
  readonly refilledTokens: number;
  readonly burstTokens: number;
  readonly epoch: bigint;
  usedTokens: number;
}

/** Model of an entry that reports, returns and settles at any time, with any delay. */
class ModelEntry {
  public holdings: IHolding[] = [];
  public openReservations: IReservation[] = [];
  public pending: { command: SyncGrantsCommand; sentAtMs: number } | undefined;
  public answer: Grant | undefined;
  private _sequence = 0n;
  private _refunds: { clientAccount: string; epoch: bigint; tokens: number }[] = [];

  constructor(
    private readonly _incarnation: Uint8Array,
    public readonly clockRate: number,
  ) {}

  public send(nowMs: number, wanted: number, doesReport: boolean, doesReturn: boolean): void {
    if (this.pending !== undefined) {
      return;
    }
    const reports = this.holdings.map((holding) => ({
      grantId: holding.id,
      spentTokens: doesReport ? holding.unreported : 0,
      returnedTokens: doesReport && doesReturn ? holding.tokens : 0,
    }));
    const refunds = doesReport ? this._refunds : [];
    if (doesReport) {
      this._refunds = [];
      for (const holding of this.holdings) {
        holding.unreported = 0;
        holding.tokens = doesReturn ? 0 : holding.tokens;
      }
    }
    this._sequence += 1n;
    const command = create(SyncGrantsCommandSchema, {
      instance: 'entry',
      incarnation: this._incarnation,
      sequence: this._sequence,
      requests: [{ clientAccount: ACCOUNT, reports, wantedTokens: wanted }],
      refunds,
    });
    this.pending = { command, sentAtMs: nowMs };
  }

  public receive(): void {
    const { answer, pending } = this;
    if (answer === undefined || pending === undefined) {
      return;
    }
    const leaseEndsAtMs = pending.sentAtMs + LEASE_MS / this.clockRate;
    const { grantId: id, epoch, tokens } = answer;
    this.holdings.push({ id, epoch, leaseEndsAtMs, tokens, unreported: 0 });
    this.pending = undefined;
    this.answer = undefined;
  }

  /** Admits a request with up to the given tokens from one grant; undefined when none is leased. */
  public admit(
    nowMs: number,
    tokens: number,
    refilled: number,
    burst: number,
  ): IReservation | undefined {
    const holding = this.holdings.find((one) => one.tokens > 0 && nowMs < one.leaseEndsAtMs);
    if (holding === undefined) {
      return undefined;
    }
    const usedTokens = Math.min(tokens, holding.tokens);
    holding.tokens -= usedTokens;
    holding.unreported += usedTokens;
    const { epoch } = holding;
    const reservation = {
      atMs: nowMs,
      refilledTokens: refilled,
      burstTokens: burst,
      epoch,
      usedTokens,
    };
    this.openReservations.push(reservation);
    return reservation;
  }

  public settle(choice: number, fraction: number): void {
    const [reservation] = this.openReservations.splice(
      choice % Math.max(1, this.openReservations.length),
      1,
    );
    if (reservation !== undefined) {
      const unused = Math.round(reservation.usedTokens * fraction);
      reservation.usedTokens -= unused;
      this._refunds.push({ clientAccount: ACCOUNT, epoch: reservation.epoch, tokens: unused });
    }
  }
}

interface IStep {
  readonly kind: (typeof STEPS)[number];
  readonly afterMs: number;
  readonly entry: number;
  /** Ratio of the tokens to the burst. */
  readonly share: number;
  readonly fraction: number;
}

/** Kinds of steps; those listed several times are more frequent. */
// prettier-ignore
const STEPS = [
  'serve', 'serve', 'serve', 'serve', 'exchange', 'exchange', 'admit', 'admit', 'admit',
  'settle', 'settle', 'send', 'apply', 'apply', 'receive', 'lose', 'crash', 'failover',
  'limits', 'withdraw',
] as const;

/** Runs random steps of entries, network and control leader against one client account. */
class Simulation {
  /** Admissions, separately for each time that the account was created with a full bucket. */
  public readonly histories: IReservation[][] = [];
  private readonly _state: ControlState;
  private readonly _entries: ModelEntry[];
  private _index = 0;
  private _nowMs = 0;
  private _logicalMs = 0;
  private _version = 0n;
  private _refilled = 0;
  private _incarnations = 0;

  constructor(
    private readonly _ledger: Ledger,
    private _rate: number,
    private _burst: number,
    clockRates: readonly number[],
    private readonly _logicalRate: number,
    private readonly _hasChanges: boolean,
  ) {
    this._state = new ControlState(this._ledger);
    this._entries = clockRates.map((clockRate) => this._startEntry(clockRate));
    this._setLimits(this._rate, this._burst);
  }

  public run(step: IStep): void {
    this._advance(step.afterMs);
    const position = step.entry % this._entries.length;
    const entry = this._entries[position] ?? this._startEntry(1);
    const tokens = Math.ceil(step.share * this._burst);
    switch (step.kind) {
      case 'serve':
      case 'exchange':
        entry.send(this._nowMs, tokens, true, step.fraction > 0.7);
        this._applyPending(entry);
        entry.receive();
        if (step.kind === 'serve') {
          this._admit(entry, tokens);
        }
        break;
      case 'send':
        entry.send(this._nowMs, tokens, step.fraction > 0.3, step.fraction > 0.7);
        break;
      case 'apply':
        this._applyPending(entry);
        break;
      case 'receive':
        entry.receive();
        break;
      case 'lose':
        entry.answer = undefined;
        break;
      case 'admit':
        this._admit(entry, tokens);
        break;
      case 'settle':
        entry.settle(Math.floor(step.share * 4), step.fraction);
        break;
      case 'crash':
        this._entries[position] = this._startEntry(entry.clockRate);
        break;
      case 'failover':
        // A new leader starts from the last committed logical time.
        this._logicalMs = this._state.timeMs;
        break;
      case 'limits':
        if (this._hasChanges) {
          this._setLimits(Math.round(step.fraction * 2_000), Math.ceil(step.share * 2_000));
        }
        break;
      case 'withdraw':
        if (this._hasChanges) {
          this._applyChange({ key: `clientAccount/${ACCOUNT}`, delete: true });
        }
        break;
    }
  }

  private _startEntry(clockRate: number): ModelEntry {
    this._incarnations += 1;
    return new ModelEntry(Uint8Array.of(this._incarnations >> 8, this._incarnations), clockRate);
  }

  private _advance(ms: number): void {
    this._nowMs += ms;
    this._logicalMs += ms * this._logicalRate;
    this._refilled += (this._rate * ms) / 1_000;
  }

  private _admit(entry: ModelEntry, tokens: number): void {
    const burst = Math.max(this._burst, this._ledger.get(ACCOUNT)?.outstanding ?? 0);
    const reservation = entry.admit(this._nowMs, tokens, this._refilled, burst);
    if (reservation !== undefined) {
      this.histories.at(-1)?.push(reservation);
    }
  }

  private _applyPending(entry: ModelEntry): void {
    if (entry.pending !== undefined) {
      const result = this._apply({ case: 'syncGrants', value: entry.pending.command });
      entry.answer = result.body.case === 'syncGrants' ? result.body.value.grants[0] : undefined;
    }
  }

  private _setLimits(rate: number, burst: number): void {
    if (this._ledger.get(ACCOUNT) === undefined) {
      // The account is new, or was deleted and then removed from the ledger.
      this.histories.push([]);
    }
    this._rate = rate;
    this._burst = burst;
    const account = { id: ACCOUNT, tokensPerSecond: rate, burstTokens: burst };
    const value = toBinary(ClientAccountSchema, create(ClientAccountSchema, account));
    this._applyChange({ key: `clientAccount/${ACCOUNT}`, value });
  }

  private _applyChange(item: { key: string; value?: Uint8Array; delete?: boolean }): void {
    this._version += 1n;
    const change = { operationId: `op-${this._version}`, version: this._version, items: [item] };
    const command = create(CommandSchema, { body: { case: 'change', value: change as never } });
    this._apply(command.body);
  }

  private _apply(body: Command['body']): CommandResult {
    this._index += 1;
    const timeMs = BigInt(Math.floor(this._logicalMs));
    const command = toBinary(CommandSchema, create(CommandSchema, { timeMs, body }));
    const result = fromBinary(CommandResultSchema, this._state.apply(command, this._index));
    if (!(this._ledger instanceof VariantLedger)) {
      expect(this._ledger.get(ACCOUNT)?.findViolation()).toBeUndefined();
    }
    return result;
  }
}

/** Property: the admissions between any two instants never exceed rate x time + burst. */
function buildProperty(
  createLedger: () => Ledger,
  hasChanges: boolean,
): fc.IProperty<[number, number, number[], number, IStep[]]> {
  const fraction = fc.double({ min: 0, max: 1, noNaN: true });
  const step = fc.record({
    kind: fc.constantFrom(...STEPS),
    afterMs: fc.oneof(fc.nat(20), fc.nat(20), fc.nat(400), fc.nat(2_000)),
    entry: fc.nat(2),
    share: fc.oneof(fc.constant(1), fraction),
    fraction: fc.oneof(fc.constant(1), fraction),
  });
  // A lease of 2 s lasts up to 4 s of real time on the slowest clock, which is the expiry of a grant.
  const clockRate = fc.oneof(fc.constant(0.5), fc.double({ min: 0.5, max: 2, noNaN: true }));
  const clockRates = fc.array(clockRate, {
    minLength: 1,
    maxLength: 3,
  });
  return fc.property(
    fc.integer({ min: 100, max: 2_000 }),
    fc.integer({ min: 100, max: 2_000 }),
    clockRates,
    fc.oneof(fc.constant(1), fc.double({ min: 0.5, max: 1, noNaN: true })),
    fc.array(step, { minLength: 40, maxLength: 200, size: 'max' }),
    (rate, burst, clocks, logicalRate, steps) => {
      const ledger = createLedger();
      const simulation = new Simulation(ledger, rate, burst, clocks, logicalRate, hasChanges);
      for (const one of steps) {
        simulation.run(one);
      }
      const excess = Math.max(...simulation.histories.map(measureExcess));
      expect(excess).toBeLessThan(TOLERANCE_TOKENS);
    },
  );
}

describe('bound on admitted tokens', () => {
  it('holds under crashes, lost answers, late reports, slow clocks and failovers', () => {
    fc.assert(
      buildProperty(() => new Ledger(), false),
      { seed: SEED, numRuns: 600 },
    );
  });

  it('holds while limits change and the client account is deleted and created again', () => {
    fc.assert(
      buildProperty(() => new Ledger(), true),
      { seed: SEED, numRuns: 600 },
    );
  });

  it('is violated by refunds without epoch limits, so that the property detects this fault', () => {
    const property = buildProperty(() => new VariantLedger(PlainRefundAccount), false);
    expect(fc.check(property, { seed: SEED, numRuns: 600, endOnFailure: true }).failed).toBe(true);
  });

  it('is violated by grants that do not count against the burst, so that the property detects it', () => {
    const property = buildProperty(() => new VariantLedger(UncountedGrantsAccount), false);
    expect(fc.check(property, { seed: SEED, numRuns: 600, endOnFailure: true }).failed).toBe(true);
  });
});

const ENTRY_A = { instance: 'a', incarnation: Uint8Array.of(1) };
const ENTRY_B = { instance: 'b', incarnation: Uint8Array.of(2) };
const ENTRY_A_ID = '01/a';

function createFullLedger(rate: number, burst: number): AccountLedger {
  const account = new AccountLedger(ACCOUNT, 0);
  account.initialise(rate, burst);
  return account;
}

describe('AccountLedger', () => {
  it('returns that more than the burst can never be granted, and the time until less can be', () => {
    const account = createFullLedger(100, 1_000);
    expect(account.grant(ENTRY_A, 1, 1_001, 0, 0)).toMatchObject({
      tokens: 0,
      retryAfterMs: NEVER_RETRY_AFTER_MS,
    });
    expect(account.grant(ENTRY_A, 2, 1_000, 0, 0)).toMatchObject({
      tokens: 1_000,
      retryAfterMs: 0,
    });
    expect(account.grant(ENTRY_B, 3, 250, 0, 0)).toMatchObject({ tokens: 0, retryAfterMs: 2_500 });
  });

  it('grants up to the burst when the waiting requests together exceed it', () => {
    const account = createFullLedger(100, 1_000);
    expect(account.grant(ENTRY_A, 1, 3_000, 600, 0)).toMatchObject({
      tokens: 1_000,
      retryAfterMs: 0,
    });
  });

  it('grants no more than the wanted total, so that repeated requests do not hoard tokens', () => {
    const account = createFullLedger(100, 1_000);
    account.grant(ENTRY_A, 1, 300, 0, 0);
    expect(account.grant(ENTRY_A, 2, 300, 0, 0)).toMatchObject({ tokens: 0, retryAfterMs: 0 });
  });

  it('shares the level with an entry that had unmet demand shortly before', () => {
    const account = createFullLedger(100, 1_000);
    account.grant(ENTRY_A, 1, 1_000, 0, 0);
    account.grant(ENTRY_B, 2, 500, 0, 0);
    account.report(ENTRY_A_ID, 1, 0, 600);
    expect(account.grant(ENTRY_A, 3, 1_000, 0, 0).tokens).toBe(300);
    expect(account.grant(ENTRY_B, 4, 500, 0, 0).tokens).toBe(150);
  });

  it('expires a grant as spent after 4 s, so that a crashed entry does not hold tokens forever', () => {
    const account = createFullLedger(0, 1_000);
    account.grant(ENTRY_A, 1, 400, 0, 0);
    account.advance(3_999);
    expect(account.outstanding).toBe(400);
    account.advance(4_000);
    expect([account.level, account.outstanding]).toEqual([600, 0]);
    account.report(ENTRY_A_ID, 1, 0, 400);
    expect(account.level).toBe(600);
  });

  it('refunds tokens in full when the bucket has not refilled since', () => {
    const account = createFullLedger(0, 1_000);
    account.grant(ENTRY_A, 1, 600, 0, 0);
    account.report(ENTRY_A_ID, 1, 600, 0);
    account.advance(1_000);
    const { epoch } = account.grant(ENTRY_A, 2, 300, 0, 1_000);
    account.report(ENTRY_A_ID, 2, 300, 0);
    account.advance(60_000);
    account.refund(epoch, 200);
    expect(account.level).toBe(300);
  });

  it('drops refunds for epochs that are no longer retained or have not begun', () => {
    const account = createFullLedger(0, 1_000);
    account.grant(ENTRY_A, 1, 600, 0, 0);
    account.report(ENTRY_A_ID, 1, 600, 0);
    account.advance(1_000);
    const { epoch } = account.grant(ENTRY_A, 2, 300, 0, 1_000);
    account.report(ENTRY_A_ID, 2, 300, 0);
    account.refund(epoch + 1, 200);
    account.advance(121_000);
    account.refund(epoch, 200);
    expect(account.level).toBe(100);
  });

  it('does not give a second burst to an account that is deleted and created again', () => {
    const ledger = new Ledger();
    ledger.setLimits(ACCOUNT, 100, 1_000, 0);
    ledger.get(ACCOUNT)?.grant(ENTRY_A, 1, 1_000, 0, 0);
    ledger.withdraw(ACCOUNT, 10);
    expect(ledger.get(ACCOUNT)?.grant(ENTRY_A, 2, 1_000, 0, 10).tokens).toBe(0);
    ledger.compact(5_000);
    ledger.setLimits(ACCOUNT, 100, 1_000, 5_000);
    expect(ledger.get(ACCOUNT)?.level).toBe(100);
  });

  it('removes a deleted account once its bucket is full, so that the table does not grow', () => {
    const ledger = new Ledger();
    ledger.setLimits(ACCOUNT, 100, 1_000, 0);
    ledger.get(ACCOUNT)?.grant(ENTRY_A, 1, 1_000, 0, 0);
    ledger.withdraw(ACCOUNT, 10);
    ledger.compact(300_000);
    expect(ledger.get(ACCOUNT)).toBeUndefined();
  });
});
