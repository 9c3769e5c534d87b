/** Soft state of the leader: announced targets, everybody's work, quota pools. */
import { create } from '@bufbuild/protobuf';
import type { ILog } from '../common/Log.js';
import {
  TargetModelSchema,
  TargetPhase,
  TargetRecordSchema,
  TargetWorkSchema,
  type ExchangeRequest,
  type QuotaGrant,
  type QuotaReport,
  type TargetRecord,
  type TargetWork,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { QuotaPool } from './QuotaPool.js';
import type { IQuotaTerms } from './QuotaRule.js';
import { ReadingBoard, type IBoardNews } from './ReadingBoard.js';
import { hasNews, isLater } from './TargetOrder.js';

/** Reports of a process that has been silent for this long no longer count. */
const PROCESS_KEPT_MS = 2_000;

/** A target that is gone or silent for this long is forgotten; late announcements of it are older. */
const RECORD_KEPT_MS = 60_000;

/** Announcements that a target may miss before it counts as silent. */
const MISSED_ANNOUNCEMENTS = 3.5;

interface IHubRecord {
  record: TargetRecord;
  seenAt: number;
  revision: number;
}

interface IProcessReport {
  at: number;
  readonly takesRequests: boolean;
  readonly work: readonly TargetWork[];
}

/** Part of an answer that depends on what the process knows already. */
export interface IHubNews {
  readonly revision: number;
  readonly targets: readonly TargetRecord[];
}

/** Progress of a target with new weights. */
export type LoadState = 'none' | 'preparing' | 'loading';

/** The part of a report that concerns quotas. */
export interface IQuotaRequest {
  readonly node: string;
  readonly incarnation: string;
  readonly quotas: readonly Pick<QuotaReport, 'clientAccount' | 'held' | 'wanted' | 'spent'>[];
}

export interface IHubOptions {
  /** Time between two announcements of a target in milliseconds. */
  readonly announceMs: number;
  readonly quota: IQuotaTerms;
  /** Start of this process, on its monotonic clock. */
  readonly processStartedAt: number;
  readonly log: ILog;
}

/** Exists on the process that leads, for one term. */
export class FleetHub {
  private readonly _records = new Map<string, IHubRecord>();
  private readonly _processes = new Map<string, IProcessReport>();
  private readonly _pools = new Map<string, QuotaPool>();
  private readonly _readings = new ReadingBoard();
  private _limits: ReadonlyMap<string, number> = new Map();
  private _revision = 0;

  constructor(
    public readonly epoch: string,
    private readonly _options: IHubOptions,
    private readonly _startedAt: number,
  ) {}

  /** Most tokens of each client account within the window; accounts without limit are left out. */
  public setLimits(limits: ReadonlyMap<string, number>): void {
    for (const [clientAccount, limit] of limits) {
      if (this._limits.get(clientAccount) !== limit) {
        this._options.log.info('quota limit', { clientAccount, limit: Math.round(limit) });
      }
    }
    this._limits = limits;
    for (const [account, pool] of this._pools) {
      const changed = limits.get(account);
      if (changed === undefined) {
        this._pools.delete(account);
      } else {
        pool.setLimit(changed);
      }
    }
  }

  /** Takes an announcement; true if it is the latest of its target. */
  public announce(record: TargetRecord, now: number): boolean {
    const known = this._records.get(record.id);
    const seenAt = now - record.ageMs;
    if (known === undefined) {
      this._store(record, seenAt);
    } else if (isLater(record, known.record)) {
      const isSameStart = record.born === known.record.born;
      record.loading = isSameStart && known.record.loading;
      record.preparing = isSameStart && known.record.preparing;
      if (known.record.silent || hasNews(record, known.record)) {
        this._store(record, seenAt);
      } else {
        known.record = record;
        known.seenAt = Math.max(known.seenAt, seenAt);
      }
    } else {
      return false;
    }
    this._endOthersAt(record);
    return true;
  }

  /** Takes a process's report. */
  public takeReport(request: ExchangeRequest, now: number): void {
    for (const record of request.announced) {
      this.announce(record, now);
    }
    this._processes.set(request.node, {
      at: now,
      takesRequests: request.takesRequests,
      work: request.work,
    });
    this._readings.take(request.node, request.readings);
    this._expire(now);
  }

  /** Readings of other processes since a revision of this hub. */
  public listReadings(node: string, epoch: string, revision: number): IBoardNews {
    return this._readings.listNews(node, epoch === this.epoch ? revision : 0);
  }

  /** Targets that changed since a revision of this hub, or all for a process of another epoch. */
  public listNews(epoch: string, revision: number): IHubNews {
    const isFull = epoch !== this.epoch;
    const changed = [...this._records.values()].filter(
      (entry) => isFull || entry.revision > revision,
    );
    return { revision: this._revision, targets: changed.map((entry) => entry.record) };
  }

  /** Latest announcements, for the leader's own decisions. */
  public listTargets(): readonly TargetRecord[] {
    return [...this._records.values()].map((entry) => entry.record);
  }

  /** Marks how far a target is with new weights; spread like an announcement. */
  public setLoadState(id: string, state: LoadState): void {
    const known = this._records.get(id);
    const loading = state === 'loading';
    const preparing = state === 'preparing';
    const { record } = known ?? {};
    if (record !== undefined && (record.loading !== loading || record.preparing !== preparing)) {
      this._store(copyWith(record, { loading, preparing }), known?.seenAt ?? 0);
    }
  }

  /** Notes the weights that a target has shown to hold before it announces them itself. */
  public setWeights(id: string, born: number, model: string, version: number): void {
    const known = this._records.get(id);
    if (known?.record.born !== born) {
      return;
    }
    const models = known.record.models.map((held) =>
      held.name === model && Number(held.version) < version
        ? create(TargetModelSchema, { name: model, version: BigInt(version) })
        : held,
    );
    this._store(copyWith(known.record, { models, loading: false, preparing: false }), known.seenAt);
  }

  /** Work of all processes but one at each target. */
  public sumWork(except: string): TargetWork[] {
    const sums = new Map<string, TargetWork>();
    for (const [node, report] of this._processes) {
      if (node === except) {
        continue;
      }
      for (const { id, open, pendingTokens, longStreams } of report.work) {
        const sum = sums.get(id);
        if (sum === undefined) {
          sums.set(id, create(TargetWorkSchema, { id, open, pendingTokens, longStreams }));
        } else {
          sum.open += open;
          sum.pendingTokens += pendingTokens;
          sum.longStreams += longStreams;
        }
      }
    }
    return [...sums.values()];
  }

  /** Streams that are expected to last at a target, as the processes last told. */
  public countLongStreams(id: string): number {
    let count = 0;
    for (const { work } of this._processes.values()) {
      count += work.find((item) => item.id === id)?.longStreams ?? 0;
    }
    return count;
  }

  public countEntries(): number {
    return [...this._processes.values()].filter((report) => report.takesRequests).length;
  }

  /** A restarted process counts as another one: what it spent before still counts for a window. */
  public grantQuotas(
    { node, incarnation, quotas }: IQuotaRequest,
    now: number,
  ): Pick<QuotaGrant, 'clientAccount' | 'tokens' | 'waitMs'>[] {
    return quotas.flatMap(({ clientAccount, held, wanted, spent }) => {
      const pool = this._ensurePool(clientAccount);
      const use = { held, spent };
      return pool === undefined
        ? []
        : [{ clientAccount, ...pool.exchange(`${node}/${incarnation}`, use, wanted, now) }];
    });
  }

  private _ensurePool(account: string): QuotaPool | undefined {
    const limit = this._limits.get(account);
    let pool = this._pools.get(account);
    if (pool === undefined && limit !== undefined) {
      pool = new QuotaPool(
        limit,
        this._options.quota.windowMs,
        this._startedAt,
        this._startedAt - this._options.processStartedAt < this._options.quota.windowMs,
      );
      this._pools.set(account, pool);
    }
    return pool;
  }

  private _store(record: TargetRecord, seenAt: number): void {
    this._revision += 1;
    this._records.set(record.id, { record, seenAt, revision: this._revision });
    const { id, service, address, phase, born, sequence, models, silent } = record;
    this._options.log.info('target changed', {
      target: id,
      service,
      address,
      phase: TargetPhase[phase],
      born,
      sequence: String(sequence),
      silent,
      loading: record.loading,
      preparing: record.preparing,
      weights: models.map(({ name, version }) => `${name}@${version}`),
    });
  }

  /** An address belongs to the target that started last there. */
  private _endOthersAt(record: TargetRecord): void {
    for (const { record: other, seenAt } of [...this._records.values()]) {
      const isOther = other.id !== record.id && other.address === record.address;
      if (isOther && other.phase !== TargetPhase.GONE && other.born < record.born) {
        this._store(copyWith(other, { phase: TargetPhase.GONE }), seenAt);
      } else if (isOther && other.born > record.born && record.phase !== TargetPhase.GONE) {
        this._store(copyWith(record, { phase: TargetPhase.GONE }), seenAt);
      }
    }
  }

  private _expire(now: number): void {
    for (const [node, report] of this._processes) {
      if (now - report.at > PROCESS_KEPT_MS) {
        this._processes.delete(node);
      }
    }
    const silentMs = this._options.announceMs * MISSED_ANNOUNCEMENTS;
    for (const [id, { record, seenAt }] of this._records) {
      if (now - seenAt > RECORD_KEPT_MS) {
        this._records.delete(id);
      } else if (!record.silent && now - seenAt > silentMs && record.phase !== TargetPhase.GONE) {
        this._store(copyWith(record, { silent: true }), seenAt);
      }
    }
  }
}

function copyWith(
  record: TargetRecord,
  changes: Partial<Pick<TargetRecord, 'phase' | 'silent' | 'loading' | 'preparing' | 'models'>>,
): TargetRecord {
  return create(TargetRecordSchema, { ...record, ...changes });
}
