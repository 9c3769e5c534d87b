/** Failures of the data directory. */
import type { IFailure } from '../common/Result.js';

export type StorageErrorKind =
  /** Another process uses the directory. */
  | 'locked'
  /** Data that had been synced are missing or changed. */
  | 'damaged'
  /** An operation of the file system failed. */
  | 'io_failed'
  /** Log or snapshot files exist without the hard state that they belong to. */
  | 'hard_state_missing'
  /** The hard state exists without the log that it belongs to. */
  | 'log_missing'
  /** The directory belongs to another member. */
  | 'wrong_member'
  /** The directory already holds the state of a member. */
  | 'not_empty';

/** Names the file, the offset (if there is one) and the remedy. */
export class StorageError extends Error implements IFailure<StorageErrorKind> {
  constructor(
    public readonly kind: StorageErrorKind,
    public readonly file: string,
    public readonly offset: number | undefined,
    problem: string,
    public readonly remedy: string,
  ) {
    const place = offset === undefined ? file : `${file} at offset ${offset}`;
    super(`${place}: ${problem}. ${remedy}`);
    this.name = 'StorageError';
  }
}

const DAMAGE_REMEDY =
  'Check the disk, then start this member with an empty data directory so that it joins again.';

/** Synced data that are missing or changed. */
export function createDamageError(
  file: string,
  offset: number | undefined,
  problem: string,
): StorageError {
  return new StorageError('damaged', file, offset, problem, DAMAGE_REMEDY);
}
