/** What the data path of a process reports to the hub, and what it receives from it. */
import type {
  CrashReport,
  PermitDemand,
  PermitGrant,
  PromptReading,
  RateLimitReport,
  TargetWork,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import type { ISuspectParts } from './CrashEvidence.js';

/** Supplies data of this process's data path for exchanges, and receives what the hub returns for it. */
export interface IWorkSource {
  listWork(): readonly TargetWork[];
  /** Removes and returns the readings of prompt parts since the last call. */
  takeReadings(): readonly PromptReading[];
  /** Applies readings that other processes have reported. */
  applyReadings(readings: readonly PromptReading[], now: number): void;
}

/** Reports about prompt parts that crash targets, for the hub. */
export interface IQuarantineReport {
  readonly crashes: readonly CrashReport[];
  readonly clearedParts: readonly number[];
}

/** Supplies what this process's data path knows of crashes, and receives what the hub made of all reports. */
export interface IQuarantineSource {
  /** Suspects as a hub listed them last. */
  readonly suspects: readonly ISuspectParts[];
  /** What no hub has received yet. */
  listUnreported(): IQuarantineReport;
  removeReported(report: IQuarantineReport): void;
  /** Queues all reports again, for a hub of a new epoch. */
  repeatReports(): void;
  setHubReachable(isReachable: boolean): void;
  applySuspects(suspects: readonly ISuspectParts[], now: number): void;
}

/** Reports about the limits that targets name, for the hub. */
export interface IRateLimitReports {
  readonly observations: readonly RateLimitReport[];
  readonly demands: readonly PermitDemand[];
}

/** Supplies what this process's data path saw of limits and the permits it needs, and receives permits. */
export interface IRateLimitSource {
  /** Observations that no hub has received yet, and the demand since the last call. */
  listReports(now: number): IRateLimitReports;
  removeReported(reports: Pick<IRateLimitReports, 'observations'>): void;
  /** Queues all observations again, for a hub of a new epoch. */
  repeatReports(): void;
  applyGrants(grants: readonly PermitGrant[], requestedAt: number, now: number): void;
  setHubReachable(isReachable: boolean, now: number): void;
}
