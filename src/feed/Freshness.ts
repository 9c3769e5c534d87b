/** Limits the age of the configuration copy that decisions are based on. */
import { isMechanismDisabled } from '../common/TestSwitches.js';
import type { IFeed } from './Types.js';

/**
 * A copy that was confirmed longer ago than this may miss a withdrawn key or newer weights. It is longer than
 * a control failover takes, so that a failover does not interrupt service.
 */
export const FRESHNESS_LIMIT_MS = 3_000;

/**
 * True if the copy was confirmed recently enough to base decisions on it.
 *
 * @example
 * if (!isFresh(feed, clock.now())) refuse();
 */
export function isFresh(feed: IFeed, now: number): boolean {
  TEST_ONLY: if (isMechanismDisabled('key-freshness')) return true;
  const confirmedAt = feed.getConfirmedAt();
  return confirmedAt !== undefined && now - confirmedAt < FRESHNESS_LIMIT_MS;
}
