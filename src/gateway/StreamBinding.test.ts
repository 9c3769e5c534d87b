/** Guards against streams that begin without a record though the base version may be another one by then. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { SILENT_LOG } from '../common/Log.js';
import { Ok } from '../common/Result.js';
import { buildConfiguration } from '../fleet/Fixtures.js';
import { FleetView } from '../fleet/FleetView.js';
import { SERVICE, StreamFleet, type Entry } from '../fleet/StreamOriginsHarness.js';
import { StreamBinding } from './StreamBinding.js';

const CLOCK = { now: (): number => Date.now() };
const TICK_MS = 125;
const NEVER = new AbortController().signal;

beforeEach(() => {
  vi.useFakeTimers({ now: 1_000_000, toFake: ['setTimeout', 'clearTimeout', 'Date'] });
});

afterEach(() => {
  vi.useRealTimers();
});

async function runFleet(fleet: StreamFleet, ms: number): Promise<void> {
  for (const end = Date.now() + ms; Date.now() < end;) {
    await fleet.tick();
    await vi.advanceTimersByTimeAsync(TICK_MS);
  }
}

function bindStream(entry: Entry, id: string): StreamBinding {
  const view = new FleetView(() => Ok(buildConfiguration()), SILENT_LOG);
  vi.spyOn(view, 'getVersionBase').mockImplementation((service, now) =>
    entry.versions.get(service, now),
  );
  return new StreamBinding({ view, origins: entry.origins }, id, true, SERVICE);
}

describe('a stream that begins at an entry without a leader', () => {
  // A target of the base may announce itself to this entry only. Then no leader knows it after a time, and the base changes.
  it('is not attributed to a base version that was chosen meanwhile', async () => {
    const fleet = new StreamFleet(2, CLOCK);
    const old = fleet.startTarget('v1');
    const apart = fleet.startTarget('v1', 1);
    await runFleet(fleet, 3_000);
    const entry = fleet.entries[1];
    if (entry === undefined) {
      throw new Error('the fleet has no second entry');
    }
    fleet.setReachable(entry, false);
    fleet.startTarget('v2');
    fleet.stopTarget(old);
    await runFleet(fleet, 100_000);
    expect(fleet.leader.base).toBe('v2');
    const now = Date.now();
    const recorded = bindStream(entry, 'a').recordAttempt(apart.record, now, NEVER);
    const isRelayedAtOnce = recorded === undefined;
    const streams = [{ id: 'a', version: 'v1', sentAt: now }];
    const found = (await fleet.findVersions(streams)).get('a');
    expect({ isRelayedAtOnce, found }).not.toEqual({ isRelayedAtOnce: true, found: 'v2' });
  });
});
