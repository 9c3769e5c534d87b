/** Software versions of targets, and for how long what a process knows of them holds. */
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';

/**
 * Time for which a process may rely on a confirmed statement that a service is uniform. The first stream of
 * another version starts only after that.
 */
export const UNIFORMITY_TRUST_MS = 500;

/** Time for which a process may begin streams without a record after a confirmed statement of the base. */
export const BASE_TRUST_MS = 14_000;

/**
 * Time after the last confirmed statement of the base in which a process that is cut off begins streams at the base
 * without a record. The base may change meanwhile; a change counts as settled only once no such process can be left.
 * Longer would keep the leader recording every stream for as long after a release that follows the loss of a machine.
 */
export const CUT_OFF_TRUST_MS = 900_000;

/** Covers the streams of a client with its repetitions, at the usual time limits. */
const MIN_REBASE_DELAY_MS = 30_000;

/** Time between the end of a stream's time limit and the last request that takes it up. */
const REBASE_MARGIN_MS = 1_000;

/** First character of the keys of targets that name no version. */
const UNNAMED_PREFIX = '?';

/** Version of the target's software. Targets that name none have a version of their own each. */
export function getSoftwareVersion(record: TargetRecord): string {
  return record.softwareVersion === '' ? `${UNNAMED_PREFIX}${record.id}` : record.softwareVersion;
}

/** False for the version of a target that names none. */
export function isNamedVersion(version: string): boolean {
  return !version.startsWith(UNNAMED_PREFIX);
}

/**
 * Time in milliseconds after which no client takes up a stream any more that began without a record, and for
 * which records are kept.
 */
export function computeRebaseDelay(longestTimeoutMs: number): number {
  return Math.max(MIN_REBASE_DELAY_MS, longestTimeoutMs + BASE_TRUST_MS + REBASE_MARGIN_MS);
}
