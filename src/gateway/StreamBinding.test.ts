/** Guards against streams that begin without a record though the base version may be another one by then. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { create } from '@bufbuild/protobuf';
import { SILENT_LOG } from '../common/Log.js';
import { Ok } from '../common/Result.js';
import { SuspensionDetector } from '../common/Suspension.js';
import { ExchangeResponseSchema } from '../gen/redwingwharf/v1/fleet_pb.js';
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

describe('a process that was suspended', () => {
  // Streams of another version began meanwhile elsewhere. The monotonic clock does not count the time, so what it knew from
  // before seemed to be recent, and a stream that a client took up there went on at a target of the wrong version.
  it('asks the leader for the version of a stream, until a hub has told the versions anew', async () => {
    let timeOfDay = 0;
    const suspensions = new SuspensionDetector(() => timeOfDay);
    const view = new FleetView(() => Ok(buildConfiguration()), SILENT_LOG, suspensions);
    const resolve = async (now: number): Promise<string | undefined> => {
      const find = vi.fn(() => Promise.resolve({ kind: 'version', version: 'v2' } as const));
      const origins = { find, getServed: () => undefined, keepServed: () => undefined };
      const context = { view, origins } as unknown as ConstructorParameters<
        typeof StreamBinding
      >[0];
      const binding = new StreamBinding(context, 'a', true, 'lace');
      await binding.resolve(500, now, NEVER);
      return binding.version;
    };
    const answer = create(ExchangeResponseSchema, {
      epoch: 'hub-1',
      tracksVersions: true,
      versions: [{ service: 'lace', base: 'v1', isUniform: true }],
      versionRevision: 1n,
    });
    view.versions.apply(answer, 1_000);
    timeOfDay = 1_100;
    expect(await resolve(1_100)).toBe('v1');
    timeOfDay = 4_200;
    expect(await resolve(1_200)).toBe('v2');
    // Sent before the suspension, read after it.
    view.versions.apply(answer, 1_150);
    timeOfDay = 4_250;
    expect(await resolve(1_250)).toBe('v2');
    view.versions.apply(answer, 1_260);
    timeOfDay = 4_300;
    expect(await resolve(1_300)).toBe('v1');
  });
});
