/** What this process believes of the fleet: configuration, targets, work, weights. */
import type { ILog } from '../common/Log.js';
import { Emitter } from '../common/Lifecycle.js';
import {
  TargetPhase,
  type ExchangeResponse,
  type FleetDocument,
  type NamedWeights,
  type TargetRecord,
  type TargetWork,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { RouteTable } from './RouteTable.js';
import { isLater } from './TargetOrder.js';
import type { DocumentDecoder } from './Types.js';
import { WeightsHistory } from './WeightsHistory.js';

const NO_WORK = { open: 0, pendingTokens: 0 };

/** Work that other processes have at a target, as of the last exchange. */
export interface IOthersWork {
  readonly open: number;
  readonly pendingTokens: number;
}

/** Copy of the hub's state. Documents and weights never go back. */
export class FleetView {
  private readonly _targets = new Map<string, TargetRecord>();
  private readonly _byService = new Map<string, TargetRecord[]>();
  private readonly _weights = new WeightsHistory();
  private readonly _tableChanges = new Emitter<RouteTable>();
  private readonly _targetLosses = new Emitter<TargetRecord>();
  private _work: ReadonlyMap<string, IOthersWork> = new Map();
  private _table: RouteTable | undefined;
  private _entries = 1;

  public readonly onTableChange = this._tableChanges.onFire;
  /** Fires when a target takes no new work any more. */
  public readonly onTargetLoss = this._targetLosses.onFire;

  public epoch = '';
  public revision = 0;
  /** Time of the last answer of a hub. */
  public answeredAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly _decode: DocumentDecoder,
    private readonly _log: ILog,
  ) {}

  /** Undefined until the first configuration arrived. */
  public get table(): RouteTable | undefined {
    return this._table;
  }

  public get documentVersion(): number {
    return this._table?.version ?? 0;
  }

  /** Processes that take requests; at least this one. */
  public get entries(): number {
    return this._entries;
  }

  /** Versions of the models' weights and when they were named. */
  public get weights(): WeightsHistory {
    return this._weights;
  }

  /** Targets of a service that take new work. */
  public listTargets(service: string): readonly TargetRecord[] {
    return this._byService.get(service) ?? [];
  }

  public getTarget(id: string): TargetRecord | undefined {
    return this._targets.get(id);
  }

  public getOthersWork(id: string): IOthersWork {
    return this._work.get(id) ?? NO_WORK;
  }

  public applyDocument(document: FleetDocument): void {
    if (this._table !== undefined && Number(document.version) <= this._table.version) {
      return;
    }
    const decoded = this._decode(document.content);
    if (decoded.err) {
      this._log.error('the configuration in force cannot be decoded', {
        version: String(document.version),
        reason: decoded.val.message,
      });
      return;
    }
    this._table = new RouteTable(decoded.val);
    this._log.info('configuration in force', {
      version: this._table.version,
      routes: decoded.val.routes.length,
      clientAccounts: decoded.val.clientAccounts?.length,
    });
    this._tableChanges.fire(this._table);
  }

  public applyWeights(weights: readonly NamedWeights[], now: number): void {
    for (const { model, version } of weights) {
      if (this._weights.note(model, Number(version), now)) {
        this._log.info('weights named', { model, version: Number(version) });
      }
    }
  }

  /** Applies an announcement that arrived here; what the hub said of the target's weights stays. */
  public applyAnnouncement(record: TargetRecord): void {
    const known = this._targets.get(record.id);
    if (known?.born === record.born) {
      record.loading = known.loading;
      record.preparing = known.preparing;
    }
    this.applyTarget(record);
  }

  /** Applies what the hub says of a target. */
  public applyTarget(record: TargetRecord): void {
    const known = this._targets.get(record.id);
    const isSameStart = known?.born === record.born;
    if (known !== undefined && isLater(known, record)) {
      return;
    }
    this._targets.set(record.id, record);
    const wasOpen = known !== undefined && isOpen(known);
    if (known !== undefined && wasOpen && (!isOpen(record) || !isSameStart)) {
      this._targetLosses.fire(known);
    }
    this._refreshService(record.service);
    if (known !== undefined && known.service !== record.service) {
      this._refreshService(known.service);
    }
  }

  /** Applies an answer of the hub. */
  public applyAnswer(answer: ExchangeResponse, now: number): void {
    this.answeredAt = now;
    this.epoch = answer.epoch;
    this.revision = Number(answer.revision);
    this._entries = Math.max(1, answer.entries);
    if (answer.document !== undefined) {
      this.applyDocument(answer.document);
    }
    this.applyWeights(answer.weights, now);
    for (const record of answer.targets) {
      this.applyTarget(record);
    }
    this._work = new Map(answer.work.map((work: TargetWork) => [work.id, work]));
  }

  /** All announcements known here, for a hub of a new epoch. */
  public listRecords(): readonly TargetRecord[] {
    return [...this._targets.values()];
  }

  private _refreshService(service: string): void {
    const open = [...this._targets.values()].filter(
      (record) => record.service === service && isOpen(record),
    );
    this._byService.set(service, open);
  }
}

function isOpen(record: TargetRecord): boolean {
  return record.phase === TargetPhase.READY;
}
