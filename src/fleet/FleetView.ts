/** This process's copy of the fleet's state: configuration, targets, work, weights. */
import type { ILog } from '../common/Log.js';
import { NO_SUSPENSIONS, type ISuspensions } from '../common/Suspension.js';
import { Emitter } from '../common/Lifecycle.js';
import {
  TargetPhase,
  type ExchangeResponse,
  type FleetDocument,
  type NamedWeights,
  type TargetRecord,
  type TargetWork,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { extractDocument } from './CompressedDocument.js';
import { RouteTable } from './RouteTable.js';
import { KnownVersions, type IVersionBase } from './KnownVersions.js';
import { checkTarget } from './TargetCheck.js';
import { isLater, keepSoftwareVersion } from './TargetOrder.js';
import { setRateLimit } from './TargetRateLimits.js';
import type { DocumentDecoder } from './Types.js';
import { WeightsHistory } from './WeightsHistory.js';

const NO_WORK = { open: 0, pendingTokens: 0 };

/** Work of other processes at a target, as of the last exchange. */
export interface IRemoteWork {
  readonly open: number;
  readonly pendingTokens: number;
}

/**
 * Holds what the hub reported and what targets announced to this process directly. Versions of the document
 * and of weights never decrease, also when the hub changes.
 */
export class FleetView {
  private readonly _targets = new Map<string, TargetRecord>();
  private readonly _readyByService = new Map<string, TargetRecord[]>();
  private readonly _weights = new WeightsHistory();
  private readonly _versions = new KnownVersions();
  private readonly _tableChanges = new Emitter<RouteTable>();
  private readonly _unavailableTargets = new Emitter<TargetRecord>();
  private readonly _rateLimitChanges = new Emitter<TargetRecord>();
  private _remoteWork: ReadonlyMap<string, IRemoteWork> = new Map();
  private _table: RouteTable | undefined;
  private _documentBytes = 0;
  private _entryCount = 1;

  public readonly onTableChange = this._tableChanges.onFire;
  /** Fires with the former record when a ready target stops being ready or restarts. */
  public readonly onTargetUnavailable = this._unavailableTargets.onFire;

  /** Fires with the new record when a target has another limit, or none any more. */
  public readonly onRateLimitChange = this._rateLimitChanges.onFire;

  /** Epoch of the hub that answered last; empty before its first answer. */
  public epoch = '';
  /** The hub's revision up to which this copy is complete. */
  public revision = 0;
  /** Monotonic time in milliseconds of the last answer of a hub. */
  public hubAnsweredAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly _decodeDocument: DocumentDecoder,
    private readonly _log: ILog,
    private readonly _suspensions: ISuspensions = NO_SUSPENSIONS,
  ) {}

  /** Index of the configuration in force; undefined until the first one arrived. */
  public get table(): RouteTable | undefined {
    return this._table;
  }

  public get documentVersion(): number {
    return this._table?.version ?? 0;
  }

  /** Length of the document of the configuration in force; 0 until the first one arrived. */
  public get documentBytes(): number {
    return this._documentBytes;
  }

  /** Number of processes that take requests; at least 1, which is this one. */
  public get entryCount(): number {
    return this._entryCount;
  }

  /** Named versions of each model's weights, and when this process learned of them. */
  public get weights(): WeightsHistory {
    return this._weights;
  }

  /** What the hubs told about the software versions of services. */
  public get versions(): KnownVersions {
    return this._versions;
  }

  /** Software version of the streams of a service that need no record; undefined if no hub has told. */
  public getVersionBase(service: string, now: number): IVersionBase | undefined {
    return this._versions.get(service, now, this._suspensions.getResumedAt(now));
  }

  /** Targets of a service that are ready, also silent ones. */
  public listTargets(service: string): readonly TargetRecord[] {
    return this._readyByService.get(service) ?? [];
  }

  public getTarget(id: string): TargetRecord | undefined {
    return this._targets.get(id);
  }

  public getRemoteWork(id: string): IRemoteWork {
    return this._remoteWork.get(id) ?? NO_WORK;
  }

  public applyDocument(document: FleetDocument): void {
    if (this._table !== undefined && Number(document.version) <= this._table.version) {
      return;
    }
    const decoded = this._decodeDocument(document.content);
    if (decoded.err) {
      this._log.error('the configuration in force cannot be decoded', {
        version: String(document.version),
        reason: decoded.val.message,
      });
      return;
    }
    this._table = new RouteTable(decoded.val);
    this._documentBytes = document.content.length;
    this._log.info('configuration in force', {
      version: this._table.version,
      routes: decoded.val.routes.length,
      clientAccounts: decoded.val.clientAccounts?.length,
    });
    this._tableChanges.fire(this._table);
  }

  public applyWeights(weights: readonly NamedWeights[], now: number): void {
    for (const { model, version, ageMs } of weights) {
      if (this._weights.record(model, Number(version), now - ageMs)) {
        this._log.info('weights named', { model, version: Number(version) });
      }
    }
  }

  /** Applies an announcement that a target sent to this process; what the hub added is kept. */
  public applyAnnouncement(record: TargetRecord): void {
    const existing = this._targets.get(record.id);
    if (existing?.born === record.born) {
      copyHubState(existing, record);
    }
    this.applyTarget(record);
  }

  /**
   * Applies a target's record from the hub. The target may have announced itself to this process later than to the hub;
   * then only what the hub added is new.
   */
  public applyHubTarget(record: TargetRecord): void {
    if (!this._isUsable(record)) {
      return;
    }
    const existing = this._targets.get(record.id);
    const previousLimit = existing?.rateLimit;
    if (existing?.born === record.born && isLater(existing, record)) {
      copyHubState(record, existing);
    } else {
      this.applyTarget(record);
    }
    const current = this._targets.get(record.id);
    if (current !== undefined && current.rateLimit !== previousLimit) {
      this._rateLimitChanges.fire(current);
    }
  }

  /**
   * Target of a configured service whose id or address an announcement of a service that is not configured has;
   * undefined if there is none. Applied, the announcement would put that target out of use.
   */
  public findDisplacedTarget(record: TargetRecord): TargetRecord | undefined {
    if (this._table === undefined || this._table.getService(record.service) !== undefined) {
      return undefined;
    }
    return [...this._targets.values()].find(
      ({ id, address, phase, service }) =>
        (id === record.id || address === record.address) &&
        phase !== TargetPhase.GONE &&
        this._table?.getService(service) !== undefined,
    );
  }

  /** Applies a target's record; ignored if a later one is known, or if it names no usable target. */
  public applyTarget(record: TargetRecord): void {
    if (!this._isUsable(record)) {
      return;
    }
    const existing = this._targets.get(record.id);
    const isSameIncarnation = existing?.born === record.born;
    if (existing !== undefined && isLater(existing, record)) {
      return;
    }
    if (existing !== undefined) {
      keepSoftwareVersion(record, existing);
    }
    this._targets.set(record.id, record);
    const wasReady = existing !== undefined && isReady(existing);
    if (existing !== undefined && wasReady && (!isReady(record) || !isSameIncarnation)) {
      this._unavailableTargets.fire(existing);
    }
    this._refreshService(record.service);
    if (existing !== undefined && existing.service !== record.service) {
      this._refreshService(existing.service);
    }
  }

  /** Applies the hub's answer to an exchange. */
  public applyResponse(answer: ExchangeResponse, now: number): void {
    this.hubAnsweredAt = now;
    this.epoch = answer.epoch;
    this.revision = Number(answer.revision);
    this._entryCount = Math.max(1, answer.entries);
    const document = extractDocument(answer);
    if (document !== undefined) {
      this.applyDocument(document);
    }
    this.applyWeights(answer.weights, now);
    for (const record of answer.targets) {
      this.applyHubTarget(record);
    }
    this._remoteWork = new Map(answer.work.map((work: TargetWork) => [work.id, work]));
  }

  /** The latest known record of every target, to restore them at a hub of a new epoch. */
  public listRecords(): readonly TargetRecord[] {
    return [...this._targets.values()];
  }

  private _isUsable(record: TargetRecord): boolean {
    const problem = checkTarget(record);
    if (problem !== undefined) {
      this._log.warn('target ignored', { target: record.id, reason: problem });
    }
    return problem === undefined;
  }

  private _refreshService(service: string): void {
    const ready = [...this._targets.values()].filter(
      (record) => record.service === service && isReady(record),
    );
    this._readyByService.set(service, ready);
  }
}

/** Copies what the hub adds to the announcements of a target. */
function copyHubState(from: TargetRecord, to: TargetRecord): void {
  to.loading = from.loading;
  to.preparing = from.preparing;
  setRateLimit(to, from.rateLimit);
}

function isReady(record: TargetRecord): boolean {
  return record.phase === TargetPhase.READY;
}
