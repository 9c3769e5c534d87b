/** How old a copy of the configuration may be to decide by it. */
import { isBroken } from '../common/TestSwitches.js';
import type { IFeed } from './Types.js';

/**
 * A copy that was confirmed longer ago than this may miss a withdrawn key or newer weights. Chosen above
 * the time of a control failover, so that one does not interrupt service.
 */
export const FRESHNESS_LIMIT_MS = 3_000;

/**
 * True when the configuration is confirmed recently enough to decide by it.
 *
 * @example
 * if (!isFresh(feed, clock.now())) refuse();
 */
export function isFresh(feed: IFeed, now: number): boolean {
  TEST_ONLY: if (isBroken('key-freshness')) return true;
  const confirmedAt = feed.getConfirmedAt();
  return confirmedAt !== undefined && now - confirmedAt < FRESHNESS_LIMIT_MS;
}
