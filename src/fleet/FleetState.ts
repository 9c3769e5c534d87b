/** The replicated state of a fleet: the newest configuration document and weights, and what binds all processes. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { Emitter } from '../common/Lifecycle.js';
import type { IStateMachine } from '../consensus/Types.js';
import {
  FleetCommandSchema,
  FleetSnapshotSchema,
  NamedWeightsSchema,
  type FleetCommand,
  type FleetDocument,
  type NamedWeights,
  type ServiceVersion,
  type SpendingRecord,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { Departures } from './Departures.js';
import { ProbeRecords } from './ProbeRecords.js';
import { Rollouts } from './Rollouts.js';
import { StreamRecords } from './StreamRecords.js';

const EMPTY_RESULT = new Uint8Array();

/** Records that are kept, which cover more than the window of a quota. */
const MAX_SPENDING_RECORDS = 40;

/** Undefined for bytes that don't decode; every member ignores them, so that the states stay equal. */
function decodeCommand(bytes: Uint8Array): FleetCommand | undefined {
  try {
    return fromBinary(FleetCommandSchema, bytes);
  } catch {
    return undefined;
  }
}

/**
 * State machine that keeps the document and the weights of each model with the highest version. Commands
 * with the same or a lower version change nothing, so repeats and late arrivals are harmless.
 */
export class FleetState implements IStateMachine {
  private readonly _changes = new Emitter<undefined>();
  private readonly _weights = new Map<string, NamedWeights>();
  private _document: FleetDocument | undefined;
  private _spending: readonly SpendingRecord[] = [];
  /** Last recorded ceiling of the leases of each client account. */
  private readonly _ceilings = new Map<string, number>();
  private readonly _versionBases = new Map<string, string>();
  private readonly _unsettledBases = new Set<string>();

  /** Software versions that began streams, where it is not the base version of their service. */
  public readonly streams = new StreamRecords();

  /** Targets whose leaving was acknowledged. */
  public readonly departures = new Departures();

  /** Probes of quarantined prompt parts. */
  public readonly probes = new ProbeRecords();
  /** Rollouts of software versions, by service. */
  public readonly rollouts = new Rollouts();

  /** Fires after a command that changed the state, and after a restore. */
  public readonly onChange = this._changes.onFire;

  public get document(): FleetDocument | undefined {
    return this._document;
  }

  /** The newest version named for each model. */
  public get weights(): readonly NamedWeights[] {
    return [...this._weights.values()];
  }

  /** The newest records of what all client accounts spent, oldest first. */
  public get spending(): readonly SpendingRecord[] {
    return this._spending;
  }

  /** Software version of the streams of each service that are not recorded. */
  public get versionBases(): ReadonlyMap<string, string> {
    return this._versionBases;
  }

  /** Services of which a process that is cut off may still begin streams of an earlier base without a record. */
  public get unsettledBases(): ReadonlySet<string> {
    return this._unsettledBases;
  }

  /** Most tokens of a client account that may be leased; 0 if none ever were. */
  public getCeiling(clientAccount: string): number {
    return this._ceilings.get(clientAccount) ?? 0;
  }

  public apply(command: Uint8Array): Uint8Array {
    // Decoded byte fields share the buffer; without the copy a stored document would retain a whole batch.
    const body = decodeCommand(new Uint8Array(command))?.body;
    switch (body?.case) {
      case 'putDocument':
        this._putDocument(body.value);
        break;
      case 'nameWeights':
        this._nameWeights(body.value);
        break;
      case 'recordSpending':
        this._recordSpending(body.value);
        break;
      case 'recordStreams':
        this.streams.add(body.value);
        break;
      case 'setVersionBase':
        this._setVersionBase(body.value);
        break;
      case 'forgetStreams':
        this.streams.forget(Number(body.value.upTo));
        break;
      case 'recordDeparture':
        this.departures.add(body.value);
        break;
      case 'recordProbe':
        this.probes.add(body.value);
        break;
      case 'startRollout':
        this._fireIf(this.rollouts.start(body.value));
        break;
      case 'recordRollout':
        this._fireIf(this.rollouts.record(body.value));
        break;
      case 'endRollout':
        this._fireIf(this.rollouts.end(body.value));
        break;
      case undefined:
        break;
    }
    return EMPTY_RESULT;
  }

  public snapshot(): Uint8Array {
    const snapshot = create(FleetSnapshotSchema, {
      weights: [...this._weights.values()],
      spending: [...this._spending],
      ceilings: Object.fromEntries(this._ceilings),
      versionBases: [...this._versionBases].map(([service, version]) => ({
        service,
        version,
        unsettled: this._unsettledBases.has(service),
      })),
      streams: this.streams.snapshot(),
      departures: [...this.departures.list()],
      probes: [...this.probes.list()],
      rollouts: [...this.rollouts.list()],
      rolloutRevision: this.rollouts.revision,
    });
    if (this._document !== undefined) {
      snapshot.document = this._document;
    }
    return toBinary(FleetSnapshotSchema, snapshot);
  }

  public restore(bytes: Uint8Array): void {
    const snapshot = fromBinary(FleetSnapshotSchema, new Uint8Array(bytes));
    this._document = snapshot.document;
    this._spending = snapshot.spending;
    this._ceilings.clear();
    for (const [clientAccount, ceiling] of Object.entries(snapshot.ceilings)) {
      this._ceilings.set(clientAccount, ceiling);
    }
    this.streams.restore(snapshot.streams);
    this.departures.restore(snapshot.departures);
    this.probes.restore(snapshot.probes);
    this.rollouts.restore(snapshot);
    this._versionBases.clear();
    this._unsettledBases.clear();
    for (const base of snapshot.versionBases) {
      this._applyVersionBase(base);
    }
    this._weights.clear();
    for (const weights of snapshot.weights) {
      this._weights.set(weights.model, weights);
    }
    this._changes.fire(undefined);
  }

  private _fireIf(hasChanged: boolean): void {
    if (hasChanged) {
      this._changes.fire(undefined);
    }
  }

  private _recordSpending(record: SpendingRecord): void {
    this._spending = [...this._spending, record].slice(-MAX_SPENDING_RECORDS);
    for (const { clientAccount, ceiling } of record.accounts) {
      this._ceilings.set(clientAccount, ceiling);
    }
  }

  private _setVersionBase(base: ServiceVersion): void {
    this._applyVersionBase(base);
    this._changes.fire(undefined);
  }

  private _applyVersionBase({ service, version, unsettled }: ServiceVersion): void {
    this._versionBases.set(service, version);
    if (unsettled) {
      this._unsettledBases.add(service);
    } else {
      this._unsettledBases.delete(service);
    }
  }

  private _putDocument(document: FleetDocument): void {
    if (this._document === undefined || document.version > this._document.version) {
      this._document = document;
      this._changes.fire(undefined);
    }
  }

  private _nameWeights({ model, version }: NamedWeights): void {
    const current = this._weights.get(model);
    if (current === undefined || version > current.version) {
      this._weights.set(model, create(NamedWeightsSchema, { model, version }));
      this._changes.fire(undefined);
    }
  }
}
