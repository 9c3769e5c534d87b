/** Errors of the data directory, with a remedy for the operator. */
import type { IFailure } from '../common/Result.js';

export type StorageErrorKind =
  /** Another process uses the directory. */
  | 'locked'
  /** Synced data is missing or changed. */
  | 'damaged'
  /** A file system operation failed. */
  | 'io_failed'
  /** Log or snapshot files exist, but the hard state is missing. */
  | 'hard_state_missing'
  /** The hard state exists, but the log is missing. */
  | 'log_missing'
  /** The directory belongs to another member. */
  | 'wrong_member'
  /** The directory already holds the state of a member. */
  | 'not_empty';

/** Its message names the file, the offset (if there is one), the problem and the remedy. */
export class StorageError extends Error implements IFailure<StorageErrorKind> {
  constructor(
    public readonly kind: StorageErrorKind,
    public readonly file: string,
    public readonly offset: number | undefined,
    problem: string,
    public readonly remedy: string,
  ) {
    const location = offset === undefined ? file : `${file} at offset ${offset}`;
    super(`${location}: ${problem}. ${remedy}`);
    this.name = 'StorageError';
  }
}

const DAMAGE_REMEDY =
  'Check the disk, then start this member with an empty data directory so that it joins again.';

/** Creates the error for synced data that is missing or changed. */
export function createDamageError(
  file: string,
  offset: number | undefined,
  problem: string,
): StorageError {
  return new StorageError('damaged', file, offset, problem, DAMAGE_REMEDY);
}
