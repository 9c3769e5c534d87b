/** Guards against streams that are attributed to a new base while an entry that is cut off begins streams of the former one. */
import { describe, expect, it } from 'vitest';
import { InformedEntries } from './InformedEntries.js';
import { CUT_OFF_TRUST_MS } from './SoftwareVersions.js';

const SERVICE = 'lace';
const DELAY_MS = 30_000;
const FORGET_MS = CUT_OFF_TRUST_MS + DELAY_MS;

/** The hub stops naming the base at 10 s, with revision 5; two entries have reported before. */
function createWithdrawn(inherited: readonly string[] = []): InformedEntries {
  const entries = new InformedEntries(0);
  entries.setInherited(inherited);
  entries.recordReport('n1', 4, 9_000);
  entries.recordReport('n2', 4, 9_000);
  entries.recordWithdrawal(SERVICE, 5);
  return entries;
}

describe('InformedEntries', () => {
  it('has all entries once each has reported the revision and its streams have ended', () => {
    const entries = createWithdrawn();
    entries.recordReport('n1', 5, 10_000);
    entries.recordReport('n2', 5, 12_000);
    expect(entries.hasAll(SERVICE, DELAY_MS, 41_999)).toBe(false);
    expect(entries.hasAll(SERVICE, DELAY_MS, 42_000)).toBe(true);
  });

  // Its requests may arrive while it receives none of the answers.
  it('takes no entry for informed that reports an earlier revision, or one of another hub', () => {
    const entries = createWithdrawn();
    entries.recordReport('n1', 5, 10_000);
    for (let now = 10_000; now < 400_000; now += 1_000) {
      entries.recordReport('n2', now % 2_000 === 0 ? 4 : undefined, now);
    }
    expect(entries.hasAll(SERVICE, DELAY_MS, 400_000)).toBe(false);
  });

  it('waits for an entry that is silent until it cannot begin streams any more', () => {
    const entries = createWithdrawn();
    entries.recordReport('n1', 5, 10_000);
    expect(entries.hasAll(SERVICE, DELAY_MS, 9_000 + FORGET_MS - 1)).toBe(false);
    expect(entries.hasAll(SERVICE, DELAY_MS, 9_000 + FORGET_MS)).toBe(true);
  });

  it('waits for the streams of an entry that comes back late', () => {
    const entries = createWithdrawn();
    entries.recordReport('n1', 5, 10_000);
    entries.recordReport('n2', undefined, 500_000);
    entries.recordReport('n2', 5, 500_100);
    expect(entries.hasAll(SERVICE, DELAY_MS, 530_000)).toBe(false);
    expect(entries.hasAll(SERVICE, DELAY_MS, 530_100)).toBe(true);
  });

  it('begins anew when the base was named again meanwhile', () => {
    const entries = createWithdrawn();
    entries.recordReport('n1', 5, 10_000);
    entries.recordReport('n2', 5, 10_000);
    entries.recordWithdrawal(SERVICE, 7);
    expect(entries.hasAll(SERVICE, DELAY_MS, 60_000)).toBe(false);
  });

  it('allows for entries that an earlier hub told of the base and that were cut off before', () => {
    const entries = createWithdrawn([SERVICE]);
    entries.recordReport('n1', 5, 10_000);
    entries.recordReport('n2', 5, 10_000);
    expect(entries.hasAll(SERVICE, DELAY_MS, FORGET_MS - 1)).toBe(false);
    expect(entries.hasAll(SERVICE, DELAY_MS, FORGET_MS)).toBe(true);
    expect(entries.hasAll('other', DELAY_MS, 50_000)).toBe(true);
  });
});
