/** Soft state of the leader: announced targets, the work of all processes, quota pools. */
import { create } from '@bufbuild/protobuf';
import type { ILog } from '../common/Log.js';
import {
  TargetModelSchema,
  TargetPhase,
  TargetRecordSchema,
  type AccountSpending,
  type ExchangeRequest,
  type PermitDemand,
  type PermitGrant,
  type QuotaGrant,
  type QuotaReport,
  type RateLimitReport,
  type SpendingRecord,
  type TargetRecord,
  type TargetWork,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { CrashEvidence, type ISuspectParts } from './CrashEvidence.js';
import { formatRun, QuotaPool } from './QuotaPool.js';
import type { ISpendingHistory, ISpendingSlice, QuotaRecovery } from './QuotaRecovery.js';
import { FORGET_WINDOWS, type IQuotaTerms } from './QuotaRule.js';
import { RecentReadings, type IReadingDelta } from './RecentReadings.js';
import { setRateLimit, TargetRateLimits } from './TargetRateLimits.js';
import { checkTarget } from './TargetCheck.js';
import { isLater, keepSoftwareVersion, needsPropagation } from './TargetOrder.js';
import { VersionBases } from './VersionBases.js';
import { WorkTotals } from './WorkTotals.js';

/** A process's report expires if no other one follows within this time. */
const PROCESS_REPORT_TTL_MS = 2_000;

/**
 * A target whose last announcement is older than this is removed. Delayed announcements arrive before that
 * and are recognised as older, so that none brings a removed target back.
 */
const TARGET_RECORD_TTL_MS = 60_000;

/** Announcement intervals without an announcement after which a target counts as silent. */
const MAX_MISSED_ANNOUNCEMENTS = 3.5;

/**
 * Time in which every process reports to a new hub which loads of weights it knew of. What the former leader
 * did is then known, as it announces each load to all processes before it sends an order.
 */
export const LOAD_HANDOVER_MS = 1_000;

interface IHubTarget {
  record: TargetRecord;
  seenAt: number;
  revision: number;
}

interface IProcessReport {
  receivedAt: number;
  readonly takesRequests: boolean;
  readonly work: readonly TargetWork[];
}

/** Targets that changed since the revision that a process already has. */
export interface ITargetDelta {
  readonly revision: number;
  readonly targets: readonly TargetRecord[];
}

/** Suspect prompt parts, empty if the requester has them. */
export interface ISuspectDelta {
  readonly revision: number;
  readonly suspects: readonly ISuspectParts[];
}

/** Stage of a target's load of new weights: getting ready for it, loading, or neither. */
export type LoadState = 'none' | 'preparing' | 'loading';

/** Quota reports of one process. */
export interface IQuotaRequest {
  readonly node: string;
  readonly incarnation: string;
  readonly reportSequence: bigint;
  readonly quotas: readonly Pick<
    QuotaReport,
    'clientAccount' | 'held' | 'wanted' | 'spent' | 'total'
  >[];
}

/** What the replicated state says of the time before this hub. */
export interface IEarlierSpending {
  /** False: there was no configuration, so nothing was spent. */
  readonly isConfigured: boolean;
  /** The newest records of spending, oldest first. */
  readonly records: readonly SpendingRecord[];
  /** Most tokens of a client account that may be leased, by the records. */
  getCeiling(clientAccount: string): number;
}

export interface IHubOptions {
  /** Interval in milliseconds at which a target announces itself. */
  readonly announceIntervalMs: number;
  readonly quota: IQuotaTerms;
  /** Start of this process in milliseconds of its monotonic clock. */
  readonly processStartedAt: number;
  readonly log: ILog;
}

/**
 * Collects the announcements and reports of all processes, and answers each with what the others reported.
 * Exists on the leader only, for one term; nothing of it is persisted.
 */
export class FleetHub {
  /** Software versions of the targets and of the streams that are not recorded. */
  public readonly versions: VersionBases;

  /** Crashes of targets, and the prompt parts and requests that are quarantined because of them. */
  public readonly crashEvidence = new CrashEvidence();

  private readonly _targets = new Map<string, IHubTarget>();
  private readonly _processes = new Map<string, IProcessReport>();
  /** Sums over the reports of all processes, so that no answer has to add them up. */
  private readonly _work = new WorkTotals();
  private readonly _pools = new Map<string, QuotaPool>();
  /** Targets that the former leader prepared or let load when it was last heard of. */
  private readonly _inheritedLoads = new Set<string>();
  private readonly _recentReadings = new RecentReadings();
  private readonly _rateLimits: TargetRateLimits;
  private _windowLimits: ReadonlyMap<string, number> = new Map();
  /** Sequence of the last report of quotas of each run of a process, and when it arrived. */
  private readonly _lastReports = new Map<string, { sequence: bigint; at: number }>();
  /** Client accounts of the configuration that was in force when this hub started. */
  private _initialAccounts: ReadonlySet<string> | undefined;
  /** True once a process has reported a lease of an earlier hub. */
  private _hasSurvivors = false;
  private _revision = 0;

  constructor(
    public readonly epoch: string,
    private readonly _options: IHubOptions,
    private readonly _startedAt: number,
    private readonly _earlier: IEarlierSpending,
    /** Returns the record of the target's departure in place of an older record. */
    private readonly _resolveDeparture: (record: TargetRecord) => TargetRecord = (record) => record,
  ) {
    this._rateLimits = new TargetRateLimits(_startedAt);
    this.versions = new VersionBases(_startedAt);
  }

  /** Increases with every change of a target that all processes must learn of. */
  public get targetRevision(): number {
    return this._revision;
  }

  /** Sets the most tokens of each client account within the window; accounts without a limit are absent. */
  public setLimits(limits: ReadonlyMap<string, number>, now: number): void {
    this._initialAccounts ??= new Set(limits.keys());
    for (const [clientAccount, limit] of limits) {
      if (this._windowLimits.get(clientAccount) !== limit) {
        this._options.log.info('quota limit', { clientAccount, limit: Math.round(limit) });
      }
    }
    this._windowLimits = limits;
    for (const [account, pool] of this._pools) {
      const limit = limits.get(account);
      if (limit !== undefined) {
        pool.setLimit(limit, now);
      } else if (pool.isUnused(now)) {
        this._pools.delete(account);
      }
    }
  }

  /** Stores an announcement; false if it names no usable target or is not later than the stored one. */
  public announce(announced: TargetRecord, now: number): boolean {
    const problem = checkTarget(announced);
    if (problem !== undefined) {
      this._options.log.warn('target ignored', { target: announced.id, reason: problem });
      return false;
    }
    const existing = this._targets.get(announced.id);
    const seenAt = now - announced.ageMs;
    const record = existing === undefined ? this._resolveDeparture(announced) : announced;
    if (now - this._startedAt < LOAD_HANDOVER_MS && (record.loading || record.preparing)) {
      this._inheritedLoads.add(record.id);
    }
    if (existing === undefined) {
      this._store(record, seenAt);
    } else if (isLater(record, existing.record)) {
      const isSameIncarnation = record.born === existing.record.born;
      keepSoftwareVersion(record, existing.record);
      record.loading = isSameIncarnation && existing.record.loading;
      record.preparing = isSameIncarnation && existing.record.preparing;
      setRateLimit(record, isSameIncarnation ? existing.record.rateLimit : undefined);
      if (existing.record.silent || needsPropagation(record, existing.record)) {
        this._store(record, seenAt);
      } else {
        existing.record = record;
        existing.seenAt = Math.max(existing.seenAt, seenAt);
      }
    } else {
      return false;
    }
    this._resolveAddressConflicts(record);
    return true;
  }

  /** Stores the announcements, work and readings that a process reported, and expires old entries. */
  public applyReport(request: ExchangeRequest, now: number): void {
    for (const record of request.announced) {
      this.announce(record, now);
    }
    this._work.replace(this._processes.get(request.node)?.work ?? [], request.work);
    this._processes.set(request.node, {
      receivedAt: now,
      takesRequests: request.takesRequests,
      work: request.work,
    });
    if (request.takesRequests && !request.recordsStreams) {
      this.versions.markOldEntry(now);
    } else if (request.takesRequests) {
      const isOwnEpoch = request.epoch === this.epoch;
      const revision = isOwnEpoch ? Number(request.versionRevision) : undefined;
      this.versions.informedEntries.recordReport(request.node, revision, now);
    }
    this._recentReadings.add(request.node, request.readings);
    this._applyCrashes(request, now);
    this._applyRateLimits(request.rateLimits, now);
    this._expire(now);
  }

  /** Issues permits of a process for targets with a limit; targets that have none by now are left out. */
  public grantPermits(
    node: string,
    demands: readonly Pick<PermitDemand, 'target' | 'requests'>[],
    now: number,
  ): Pick<PermitGrant, 'target' | 'born' | 'permits' | 'waitMs'>[] {
    this._rateLimits.keepDemands(node, new Set(demands.map(({ target }) => target)));
    return demands.flatMap((demand) => {
      const record = this._targets.get(demand.target)?.record;
      if (record?.rateLimit === undefined) {
        return [];
      }
      const { id, born, rateLimit: perSecond } = record;
      return [this._rateLimits.grant(node, { id, born, perSecond }, demand, now)];
    });
  }

  /** Takes over what an earlier hub quarantined. */
  public restoreSuspects(suspects: readonly ISuspectParts[], now: number): void {
    this.crashEvidence.restore(suspects, now);
  }

  /** All suspects if they have changed since a revision or `epoch` is not this hub's, else none. */
  public listSuspects(epoch: string, revision: number, now: number): ISuspectDelta {
    const suspects = this.crashEvidence.list(now);
    const { revision: current } = this.crashEvidence;
    const isKnown = epoch === this.epoch && revision === current;
    return { revision: current, suspects: isKnown ? [] : suspects };
  }

  /** Readings that other processes reported after a revision; all if `epoch` is not this hub's. */
  public listReadings(node: string, epoch: string, revision: number): IReadingDelta {
    return this._recentReadings.listSince(node, epoch === this.epoch ? revision : 0);
  }

  /** Targets that changed after a revision; all if `epoch` is not this hub's. */
  public listTargetsSince(epoch: string, revision: number): ITargetDelta {
    const isFullList = epoch !== this.epoch;
    const changed = [...this._targets.values()].filter(
      (entry) => isFullList || entry.revision > revision,
    );
    return { revision: this._revision, targets: changed.map((entry) => entry.record) };
  }

  /** The latest record of each target, for decisions of the leader itself. */
  public listTargets(): readonly TargetRecord[] {
    return [...this._targets.values()].map((entry) => entry.record);
  }

  /** True if the former leader may have sent an order to a target shortly before this hub started. */
  public hasInheritedLoad(id: string): boolean {
    return this._inheritedLoads.has(id);
  }

  /** True if this process started so shortly before that it cannot know what the former leader did. */
  public get isColdStart(): boolean {
    return this._startedAt - this._options.processStartedAt < this._options.quota.windowMs;
  }

  /** Sets a target's load state, which is propagated to all processes like an announcement. */
  public setLoadState(id: string, state: LoadState): void {
    const existing = this._targets.get(id);
    const loading = state === 'loading';
    const preparing = state === 'preparing';
    const { record } = existing ?? {};
    if (record !== undefined && (record.loading !== loading || record.preparing !== preparing)) {
      this._store(copyWith(record, { loading, preparing }), existing?.seenAt ?? 0);
    }
  }

  /**
   * Records the weights that a target reported when it was asked, before it announces them itself. Ignored if
   * the target has restarted since, so that `born` differs.
   */
  public setWeights(id: string, born: number, model: string, version: number): void {
    const existing = this._targets.get(id);
    if (existing?.record.born !== born) {
      return;
    }
    const models = existing.record.models.map((held) =>
      held.name === model && Number(held.version) < version
        ? create(TargetModelSchema, { name: model, version: BigInt(version) })
        : held,
    );
    this._store(
      copyWith(existing.record, { models, loading: false, preparing: false }),
      existing.seenAt,
    );
  }

  /** Sum of the work at each target over all processes except one. */
  public sumWorkOfOthers(excludedNode: string): TargetWork[] {
    return this._work.sumOfOthers(this._processes.get(excludedNode)?.work ?? []);
  }

  /** Number of streams at a target that are expected to last long, as last reported by all processes. */
  public countLongStreams(id: string): number {
    return this._work.get(id).longStreams;
  }

  public countEntries(): number {
    return [...this._processes.values()].filter((report) => report.takesRequests).length;
  }

  /**
   * Grants leases for the quotas that a process reports; none for a report that arrives after a later one. A
   * restarted process counts as another one, so that what it spent before still counts for a window.
   */
  public grantLeases(
    { node, incarnation, reportSequence, quotas }: IQuotaRequest,
    now: number,
  ): Pick<QuotaGrant, 'clientAccount' | 'lease' | 'waitMs'>[] {
    const run = { node, incarnation };
    const last = this._lastReports.get(formatRun(run));
    if (last !== undefined && reportSequence <= last.sequence) {
      return [];
    }
    this._lastReports.set(formatRun(run), { sequence: reportSequence, at: now });
    if (last === undefined && quotas.some(({ held, spent }) => held + spent > 0)) {
      this._recordSurvivors();
    }
    const entryCount = this.countEntries();
    return quotas.flatMap(({ clientAccount, held, wanted, spent, total }) => {
      const pool = this._ensurePool(clientAccount);
      const usage = { lease: held + spent, spent, wanted, total };
      return pool === undefined
        ? []
        : [{ clientAccount, ...pool.exchange(run, usage, entryCount, now) }];
    });
  }

  /** Returns what is to be recorded durably since the last call; empty if nothing has changed. */
  public takeRecords(now: number): Pick<AccountSpending, 'clientAccount' | 'tokens' | 'ceiling'>[] {
    return [...this._pools].flatMap(([clientAccount, pool]) => {
      const record = pool.takeRecord(now);
      return record === undefined ? [] : [{ clientAccount, ...record }];
    });
  }

  /** Called when records are durable: leases may then reach the ceilings in them. */
  public raiseCeilings(
    records: readonly Pick<AccountSpending, 'clientAccount' | 'ceiling'>[],
  ): void {
    for (const { clientAccount, ceiling } of records) {
      this._pools.get(clientAccount)?.raiseCeiling(ceiling);
    }
  }

  private _applyCrashes({ node, crashes, clearedParts }: ExchangeRequest, now: number): void {
    if (crashes.length === 0 && clearedParts.length === 0) {
      return;
    }
    for (const crash of crashes) {
      this.crashEvidence.add(crash, now);
    }
    this.crashEvidence.clear(clearedParts);
    const quarantined = this.crashEvidence.list(now).filter((entry) => entry.quarantined);
    this._options.log.info('crashes reported', {
      process: node,
      targets: crashes.map(({ target }) => target),
      clearedParts: clearedParts.length,
      crashes: this.crashEvidence.crashCount,
      quarantined: quarantined.map(({ parts }) => parts.map((part) => part.toString(16)).join('+')),
    });
  }

  private _applyRateLimits(reports: readonly RateLimitReport[], now: number): void {
    for (const report of reports) {
      const existing = this._targets.get(report.target);
      if (
        existing?.record.born === report.born &&
        this._rateLimits.applyReport(report, now) &&
        existing.record.rateLimit !== report.perSecond
      ) {
        const record = copyWith(existing.record, {});
        setRateLimit(record, report.perSecond);
        this._store(record, existing.seenAt);
      }
    }
  }

  private _ensurePool(account: string): QuotaPool | undefined {
    const limit = this._windowLimits.get(account);
    let pool = this._pools.get(account);
    if (pool === undefined && limit !== undefined) {
      pool = new QuotaPool(limit, this._options.quota.windowMs, this._planRecovery(account));
      this._pools.set(account, pool);
    }
    return pool;
  }

  /** A process holds leases of an earlier hub, so others may hold such leases of any client account. */
  private _recordSurvivors(): void {
    this._hasSurvivors = true;
    for (const pool of this._pools.values()) {
      pool.recordSurvivors();
    }
  }

  private _planRecovery(account: string): QuotaRecovery {
    const { isConfigured, records } = this._earlier;
    const ceiling = this._earlier.getCeiling(account);
    if (!isConfigured || this._initialAccounts?.has(account) !== true) {
      return { kind: 'nothing_spent' };
    }
    const startedAt = this._startedAt;
    if (!this.isColdStart || this._hasSurvivors) {
      return { kind: 'earlier_leases', startedAt, ceiling };
    }
    const stoppedAt = this._options.processStartedAt;
    const history = { ceiling, ...readHistory(records, account) };
    return { kind: 'all_stopped', startedAt, stoppedAt, history };
  }

  private _store(record: TargetRecord, seenAt: number): void {
    this._revision += 1;
    this._targets.set(record.id, { record, seenAt, revision: this._revision });
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
      rateLimit: record.rateLimit,
      softwareVersion: record.softwareVersion,
      weights: models.map(({ name, version }) => `${name}@${version}`),
    });
  }

  /** Marks every target at the record's address as gone except the one that started last. */
  private _resolveAddressConflicts(record: TargetRecord): void {
    for (const { record: other, seenAt } of [...this._targets.values()]) {
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
      if (now - report.receivedAt > PROCESS_REPORT_TTL_MS) {
        this._work.replace(report.work, []);
        this._processes.delete(node);
        this._rateLimits.keepDemands(node, new Set());
      }
    }
    for (const [run, { at }] of this._lastReports) {
      if (now - at > FORGET_WINDOWS * this._options.quota.windowMs) {
        this._lastReports.delete(run);
      }
    }
    const silentMs = this._options.announceIntervalMs * MAX_MISSED_ANNOUNCEMENTS;
    for (const [id, { record, seenAt }] of this._targets) {
      if (now - seenAt > TARGET_RECORD_TTL_MS) {
        this._targets.delete(id);
        this._rateLimits.remove(id);
      } else if (!record.silent && now - seenAt > silentMs && record.phase !== TargetPhase.GONE) {
        this._store(copyWith(record, { silent: true }), seenAt);
      }
    }
  }
}

/** The recorded spending of a client account, newest first, up to a record of which the age is unknown. */
function readHistory(
  records: readonly SpendingRecord[],
  account: string,
): Pick<ISpendingHistory, 'slices' | 'maxLagMs'> {
  const slices: ISpendingSlice[] = [];
  let ageMs = 0;
  for (const { accounts, intervalMs } of [...records].reverse()) {
    const tokens = accounts.find(({ clientAccount }) => clientAccount === account)?.tokens ?? 0;
    slices.push({ tokens, ageMs });
    if (intervalMs === 0) {
      break;
    }
    ageMs += intervalMs;
  }
  return { slices, maxLagMs: records.at(-1)?.maxLagMs ?? 0 };
}

function copyWith(
  record: TargetRecord,
  changes: Partial<Pick<TargetRecord, 'phase' | 'silent' | 'loading' | 'preparing' | 'models'>>,
): TargetRecord {
  return create(TargetRecordSchema, { ...record, ...changes });
}
