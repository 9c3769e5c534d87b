/** Guards against entries that never learn that a target leaves, for any order of exchanges and changes of the hub. */
import { clone, create } from '@bufbuild/protobuf';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { SILENT_LOG } from '../common/Log.js';
import { Ok } from '../common/Result.js';
import {
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  TargetPhase,
  TargetRecordSchema,
  type ExchangeRequest,
  type ExchangeResponse,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { buildConfiguration, buildTarget, NO_SPENDING } from './Fixtures.js';
import { FleetHub } from './FleetHub.js';
import { FleetView } from './FleetView.js';
import { PendingAnnouncements } from './PendingAnnouncements.js';

const ENTRIES = 3;
const STEP_MS = 10;
const ID = 'i-1';

type Step =
  /** The target sends a heartbeat, which arrives at an entry now or after others. */
  | { readonly kind: 'heartbeat'; readonly entry: number; readonly isDelayed: boolean }
  /** A delayed heartbeat arrives. */
  | { readonly kind: 'late_heartbeat'; readonly entry: number }
  | { readonly kind: 'drain' }
  | { readonly kind: 'remove'; readonly entry: number }
  /** An exchange without anything between. */
  | { readonly kind: 'exchange'; readonly entry: number }
  | { readonly kind: 'send'; readonly entry: number }
  /** The request of an entry arrives at the hub. */
  | { readonly kind: 'handle'; readonly entry: number }
  /** The answer of the hub arrives at an entry, or is lost. */
  | { readonly kind: 'answer'; readonly entry: number; readonly isLost: boolean }
  | { readonly kind: 'change_hub'; readonly entry: number };

interface IExchange {
  readonly request: ExchangeRequest;
  readonly sentAt: number;
  answer: ExchangeResponse | undefined;
}

/** One process as far as announcements are concerned; exchanges as `FleetNode` does. */
class Entry {
  public readonly view = new FleetView(() => Ok(buildConfiguration()), SILENT_LOG);
  public readonly pending = new PendingAnnouncements();
  public exchange: IExchange | undefined;
  /** Steps at which a leaving was announced to this entry that it has not acknowledged yet. */
  public leavingAt: number | undefined;
  /** Whether it has acknowledged a leaving. */
  public hasAcknowledged = false;
  /** Completed exchanges by the epoch of the hub. */
  public readonly completed = new Map<string, number>();
}

class Model {
  private readonly _entries = Array.from({ length: ENTRIES }, () => new Entry());
  private _hub = this._createHub(0, 0);
  private _hubCount = 0;
  private _sequence = 1n;
  private _phase: TargetPhase = TargetPhase.READY;
  private readonly _delayed: ReturnType<typeof buildTarget>[] = [];
  /** Step since which the hub of an epoch must know of an acknowledged leaving. */
  private readonly _informedAt = new Map<string, number>();

  public apply(step: Step, at: number): void {
    const entry = this._entries['entry' in step ? step.entry : 0];
    if (entry === undefined) {
      return;
    }
    switch (step.kind) {
      case 'heartbeat': {
        const record = buildTarget({ id: ID, sequence: this._sequence, phase: this._phase });
        this._sequence += 1n;
        if (step.isDelayed) {
          this._delayed.push(record);
        } else {
          this._announce(entry, record, at);
        }
        return;
      }
      case 'late_heartbeat': {
        const record = this._delayed.shift();
        if (record !== undefined) {
          this._announce(entry, record, at);
        }
        return;
      }
      case 'drain':
        this._phase = TargetPhase.DRAINING;
        return;
      case 'remove': {
        const current = entry.view.getTarget(ID);
        if (current !== undefined) {
          const changes = { ...current, phase: TargetPhase.GONE };
          this._announce(entry, create(TargetRecordSchema, changes), at);
        }
        return;
      }
      case 'exchange':
        this._send(entry, at);
        this._handle(entry, at);
        this._finish(entry, false, at);
        return;
      case 'send':
        this._send(entry, at);
        return;
      case 'handle':
        this._handle(entry, at);
        return;
      case 'answer':
        this._finish(entry, step.isLost, at);
        return;
      case 'change_hub':
        this._hubCount += 1;
        this._hub = this._createHub(this._hubCount, at);
        for (const record of entry.view.listRecords()) {
          this._hub.announce(clone(TargetRecordSchema, record), at * STEP_MS);
        }
        return;
    }
  }

  private _createHub(term: number, at: number): FleetHub {
    const options = {
      announceIntervalMs: 1_200,
      quota: { windowMs: 8_000, excessRatio: 0, toleranceTokens: 0 },
      processStartedAt: 0,
      log: SILENT_LOG,
    };
    return new FleetHub(`leader/${term}`, options, at * STEP_MS, NO_SPENDING);
  }

  private _announce(entry: Entry, record: ReturnType<typeof buildTarget>, at: number): void {
    entry.view.applyAnnouncement(record);
    entry.pending.add(record, at * STEP_MS);
    if (record.phase !== TargetPhase.READY) {
      entry.leavingAt = at;
    }
  }

  private _send(entry: Entry, at: number): void {
    if (entry.exchange !== undefined) {
      return;
    }
    if (entry.view.epoch === '') {
      entry.pending.repeat(entry.view.listRecords());
    }
    const announced = entry.pending
      .list(at * STEP_MS)
      .map((record) => create(TargetRecordSchema, { ...record }));
    const request = create(ExchangeRequestSchema, {
      node: `n${this._entries.indexOf(entry)}`,
      takesRequests: true,
      epoch: entry.view.epoch,
      revision: BigInt(entry.view.revision),
      announced,
    });
    entry.exchange = { request, sentAt: at, answer: undefined };
  }

  private _handle({ exchange }: Entry, at: number): void {
    if (exchange === undefined || exchange.answer !== undefined) {
      return;
    }
    const { request } = exchange;
    const arrived = clone(ExchangeRequestSchema, request);
    this._hub.applyReport(arrived, at * STEP_MS);
    const delta = this._hub.listTargetsSince(request.epoch, Number(request.revision));
    exchange.answer = create(ExchangeResponseSchema, {
      epoch: this._hub.epoch,
      revision: BigInt(delta.revision),
      targets: delta.targets.map((record) => clone(TargetRecordSchema, record)),
    });
  }

  private _finish(entry: Entry, isLost: boolean, at: number): void {
    const { exchange } = entry;
    entry.exchange = undefined;
    if (isLost || exchange?.answer === undefined) {
      return;
    }
    const { request, answer, sentAt } = exchange;
    const { epoch } = answer;
    const isNewEpoch = epoch !== entry.view.epoch;
    entry.view.applyResponse(answer, at * STEP_MS);
    entry.pending.removeReported(request.announced);
    if (isNewEpoch) {
      entry.pending.repeat(entry.view.listRecords());
      entry.completed.set(epoch, 0);
    }
    const completed = (entry.completed.get(epoch) ?? 0) + 1;
    entry.completed.set(epoch, completed);
    const informedAt = this._informedAt.get(epoch);
    if (informedAt !== undefined && sentAt > informedAt) {
      expect(entry.view.getTarget(ID)?.phase).not.toBe(TargetPhase.READY);
    }
    const isAcknowledged = entry.leavingAt !== undefined && sentAt > entry.leavingAt;
    entry.hasAcknowledged ||= isAcknowledged;
    // A hub that took over meanwhile has it from the entry that acknowledged it, with the second exchange.
    const isReported = request.announced.some(({ phase }) => phase !== TargetPhase.READY);
    const isKnownToHub = isAcknowledged && (isReported || !isNewEpoch);
    if (isKnownToHub || (entry.hasAcknowledged && completed >= 2)) {
      this._informedAt.set(epoch, informedAt ?? at);
    }
    if (isAcknowledged) {
      entry.leavingAt = undefined;
    }
  }
}

const entry = fc.nat(ENTRIES - 1);
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('heartbeat' as const),
      entry,
      isDelayed: fc.boolean(),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('late_heartbeat' as const), entry }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('drain' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('remove' as const), entry }) },
  { weight: 12, arbitrary: fc.record({ kind: fc.constant('exchange' as const), entry }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('send' as const), entry }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('handle' as const), entry }) },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('answer' as const),
      entry,
      isLost: fc.nat(9).map((value) => value === 0),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('change_hub' as const), entry }) },
);

describe('a leaving that one entry acknowledged', () => {
  // An entry that misses it goes on sending requests to the target.
  it('is known to each entry after its next exchange', () => {
    fc.assert(
      fc.property(fc.array(step, { minLength: 20, maxLength: 120, size: 'max' }), (steps) => {
        const model = new Model();
        for (const [at, item] of steps.entries()) {
          model.apply(item, at);
        }
      }),
      { seed: 24, numRuns: 3_000 },
    );
  });
});
