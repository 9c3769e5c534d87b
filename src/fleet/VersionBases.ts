/** Decides at the leader which software version the streams have that are not recorded. */
import { TargetPhase, type TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import { InformedEntries } from './InformedEntries.js';
import { getSoftwareVersion, isNamedVersion, UNIFORMITY_TRUST_MS } from './SoftwareVersions.js';
import type { StreamOrigin, StreamRecords } from './StreamRecords.js';

/** Time in which a new hub learns of the targets before it chooses the first base of a service. */
const FIRST_BASE_DELAY_MS = 2_000;

/** A longer time without an observation, in which targets may have come and gone, restarts all observations. */
const MAX_OBSERVATION_GAP_MS = 3_000;

/** The replicated state that the decisions depend on. */
export interface IVersionState {
  readonly versionBases: ReadonlyMap<string, string>;
  /** Services of which a process that is cut off may still begin streams of an earlier base without a record. */
  readonly unsettledBases?: ReadonlySet<string>;
  readonly streams: Pick<StreamRecords, 'hasOtherVersion'>;
}

/** A base to commit. */
export interface IBaseChange extends StreamOrigin {
  /** Absent: no process begins streams of an earlier base without a record any more. */
  readonly unsettled?: true;
}

/** What the hub tells all processes about a service. */
export interface IVersionReport {
  readonly service: string;
  /** Version of the streams that need no record; empty: all need one. */
  readonly base: string;
  /** True: all known targets and all recorded streams have the base version. */
  readonly isUniform: boolean;
}

interface IServiceObservation {
  readonly base: string | undefined;
  /** True: streams of an earlier base may still begin without a record. */
  readonly isUnsettled: boolean;
  /** Ready targets of each version of which a target is ready or draining. */
  readonly readyCounts: ReadonlyMap<string, number>;
  /** Since when no target of the base has been known; undefined if one is. */
  readonly absentSince: number | undefined;
  /** Since when the service has not been uniform; undefined if it is. */
  readonly mixedSince: number | undefined;
  /** When the service was last known not to be uniform; undefined if this hub never knew it so. */
  readonly lastMixedAt: number | undefined;
}

/** Observations of one hub. Times are monotonic milliseconds. */
export class VersionBases {
  /** What the entries know of the bases that are not named any more. */
  public readonly informedEntries: InformedEntries;

  private _services: ReadonlyMap<string, IServiceObservation> = new Map();
  private _reports: readonly IVersionReport[] = [];
  private _fingerprint = '';
  private _revision = 1;
  private _observedAt: number;
  private _oldEntrySeenAt = Number.NEGATIVE_INFINITY;
  /** Services for which a command was proposed that may be committed at any time. */
  private readonly _changing = new Set<string>();

  constructor(private readonly _startedAt: number) {
    this._observedAt = _startedAt;
    this.informedEntries = new InformedEntries(_startedAt);
  }

  /** Increases whenever a report changes. */
  public get revision(): number {
    return this._revision;
  }

  public get reports(): readonly IVersionReport[] {
    return this._reports;
  }

  /** Called when a process has reported that does not record the streams that it begins. */
  public markOldEntry(now: number): void {
    this._oldEntrySeenAt = now;
  }

  /** Services of which a proposed base is neither committed nor lost for certain. */
  public get changing(): ReadonlySet<string> {
    return this._changing;
  }

  /** Called before a base is proposed. From then on the present base is not named to any process. */
  public beginChange(service: string): void {
    this._changing.add(service);
    this._refreshReports();
  }

  /** Called when the last command that was proposed for the service is committed. */
  public endChange(service: string): void {
    this._changing.delete(service);
  }

  /** Compares the targets with the replicated state. */
  public observe(targets: readonly TargetRecord[], state: IVersionState, now: number): void {
    const isInterrupted = now - this._observedAt > MAX_OBSERVATION_GAP_MS;
    this._observedAt = now;
    this.informedEntries.setInherited(state.versionBases.keys());
    const counts = countReadyTargets(targets);
    const services = new Map<string, IServiceObservation>();
    for (const service of new Set([...counts.keys(), ...state.versionBases.keys()])) {
      const previous = this._services.get(service);
      const base = state.versionBases.get(service);
      const readyCounts = counts.get(service) ?? new Map<string, number>();
      const isUnsettled = state.unsettledBases?.has(service) === true;
      const hasBase = base !== undefined && readyCounts.has(base);
      const isUniform =
        hasBase &&
        readyCounts.size === 1 &&
        !this._changing.has(service) &&
        !isUnsettled &&
        !state.streams.hasOtherVersion(service, base);
      const isContinued = previous?.base === base && !isInterrupted;
      services.set(service, {
        base,
        isUnsettled,
        readyCounts,
        absentSince: hasBase ? undefined : isContinued ? (previous?.absentSince ?? now) : now,
        mixedSince: isUniform ? undefined : (previous?.mixedSince ?? now),
        lastMixedAt: isUniform ? previous?.lastMixedAt : now,
      });
    }
    this._services = services;
    this._refreshReports();
  }

  /** Bases to commit, for services of the configuration only. */
  public decideChanges(
    services: ReadonlySet<string>,
    rebaseDelayMs: number,
    now: number,
  ): readonly IBaseChange[] {
    const changes: IBaseChange[] = [];
    for (const service of services) {
      const observation = this._services.get(service);
      if (observation === undefined) {
        continue;
      }
      const { base, isUnsettled } = observation;
      const decided = this._decideBase(observation, this._observedAt, rebaseDelayMs, now);
      const version = decided ?? (isUnsettled ? base : undefined);
      // Under no base, and under an empty one, every stream is recorded.
      const isSettled =
        (base ?? '') === '' || this.informedEntries.hasAll(service, rebaseDelayMs, now);
      if (version !== undefined && (version !== base || (isUnsettled && isSettled))) {
        changes.push({ service, version, ...(isSettled ? {} : { unsettled: true }) });
      }
    }
    return changes;
  }

  /** Time until no process takes the service for uniform that has streams of this version. */
  public getWaitMs({ service, version }: StreamOrigin, now: number): number {
    const observation = this._services.get(service);
    if (observation !== undefined && (observation.base ?? version) === version) {
      return 0;
    }
    const mixedSince = observation?.mixedSince ?? now;
    return Math.max(0, Math.ceil(mixedSince + UNIFORMITY_TRUST_MS - now));
  }

  /**
   * True if streams without a record have the base version. False if a process may have begun one of another
   * version without recording it.
   */
  public canAttribute(service: string, rebaseDelayMs: number, now: number): boolean {
    const observation = this._services.get(service);
    if (observation?.isUnsettled === true) {
      return false;
    }
    const lastMixedAt = observation?.mixedSince === undefined ? observation?.lastMixedAt : now;
    return (
      now - this._oldEntrySeenAt > rebaseDelayMs ||
      now - (lastMixedAt ?? Number.NEGATIVE_INFINITY) > rebaseDelayMs
    );
  }

  private _decideBase(
    { base, absentSince, readyCounts }: IServiceObservation,
    observedAt: number,
    rebaseDelayMs: number,
    now: number,
  ): string | undefined {
    if (now - observedAt > MAX_OBSERVATION_GAP_MS) {
      return undefined;
    }
    if (base === undefined) {
      const isEarly = now - this._startedAt < FIRST_BASE_DELAY_MS;
      if (isEarly || now - this._oldEntrySeenAt <= rebaseDelayMs) {
        return undefined;
      }
      const [first, ...others] = readyCounts.keys();
      return first === undefined
        ? undefined
        : others.length === 0 && isNamedVersion(first)
          ? first
          : '';
    }
    const isGone = absentSince !== undefined && now - absentSince >= rebaseDelayMs;
    return isGone ? findMostReady(readyCounts) : undefined;
  }

  private _refreshReports(): void {
    const reports = [...this._services].map(
      ([service, { base, isUnsettled, absentSince, mixedSince }]) => {
        const isNamed = absentSince === undefined && !isUnsettled && !this._changing.has(service);
        const named = isNamed ? (base ?? '') : '';
        return { service, base: named, isUniform: mixedSince === undefined };
      },
    );
    const fingerprint = JSON.stringify(reports);
    if (fingerprint !== this._fingerprint) {
      this._fingerprint = fingerprint;
      this._revision += 1;
      for (const { service, base } of this._reports) {
        if (
          base !== '' &&
          reports.some((report) => report.service === service && report.base === '')
        ) {
          this.informedEntries.recordWithdrawal(service, this._revision);
        }
      }
      this._reports = reports;
    }
  }
}

/** Ready targets by service and version; versions of which targets only drain count zero. */
function countReadyTargets(
  targets: readonly TargetRecord[],
): ReadonlyMap<string, ReadonlyMap<string, number>> {
  const services = new Map<string, Map<string, number>>();
  for (const target of targets) {
    if (target.phase !== TargetPhase.READY && target.phase !== TargetPhase.DRAINING) {
      continue;
    }
    const counts = services.get(target.service) ?? new Map<string, number>();
    const version = getSoftwareVersion(target);
    counts.set(version, (counts.get(version) ?? 0) + Number(target.phase === TargetPhase.READY));
    services.set(target.service, counts);
  }
  return services;
}

/** The named version with the most ready targets; of several the first by name; undefined if none is ready. */
function findMostReady(readyCounts: ReadonlyMap<string, number>): string | undefined {
  const candidates = [...readyCounts].filter(
    ([version, ready]) => ready > 0 && isNamedVersion(version),
  );
  candidates.sort(
    ([leftName, left], [rightName, right]) => right - left || (leftName < rightName ? -1 : 1),
  );
  return candidates[0]?.[0];
}
