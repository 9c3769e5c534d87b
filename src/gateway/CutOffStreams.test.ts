/**
 * Guards against pieces of two versions in one stream where an entry is cut off while the base version changes, and against
 * a fleet that cannot attribute streams again afterwards.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { SILENT_LOG } from '../common/Log.js';
import { Ok } from '../common/Result.js';
import { buildConfiguration, buildTarget } from '../fleet/Fixtures.js';
import { FleetView } from '../fleet/FleetView.js';
import { CUT_OFF_TRUST_MS } from '../fleet/SoftwareVersions.js';
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

/** True if a stream of the version begins at the entry without a record. */
function mayBeginAtOnce(entry: Entry, id: string, version: string): boolean {
  const view = new FleetView(() => Ok(buildConfiguration()), SILENT_LOG);
  vi.spyOn(view, 'getVersionBase').mockImplementation((service, now) =>
    entry.versions.get(service, now),
  );
  const binding = new StreamBinding({ view, origins: entry.origins }, id, true, SERVICE);
  const target = buildTarget({ softwareVersion: version });
  return binding.recordAttempt(target, Date.now(), NEVER) === undefined;
}

async function findVersion(fleet: StreamFleet, id: string): Promise<string | undefined> {
  const found = await fleet.findVersions([{ id, version: '', sentAt: 0 }]);
  return found.get(id);
}

/** A fleet of which one entry was cut off before all targets of v1 that the leader knows were replaced by one of v2. */
async function createCutOff(): Promise<{ readonly fleet: StreamFleet; readonly entry: Entry }> {
  const fleet = new StreamFleet(3, CLOCK);
  const old = fleet.startTarget('v1');
  await runFleet(fleet, 3_000);
  const entry = fleet.entries[1];
  if (entry === undefined) {
    throw new Error('the fleet has no second entry');
  }
  fleet.setReachable(entry, false);
  fleet.startTarget('v2');
  fleet.stopTarget(old);
  await runFleet(fleet, 40_000);
  expect(fleet.leader.base).toBe('v2');
  return { fleet, entry };
}

describe('an entry that is cut off while the base changes', () => {
  it('begins streams of the base that it knows, and no stream is attributed to the new one meanwhile', async () => {
    const { fleet, entry } = await createCutOff();
    expect(mayBeginAtOnce(entry, 'a', 'v1')).toBe(true);
    expect(mayBeginAtOnce(entry, 'b', 'v2')).toBe(false);
    expect(await findVersion(fleet, 'a')).toBeUndefined();
    // So that the streams of the others can be taken up, these record theirs.
    expect(fleet.entries.map(({ known }) => known?.base)).toEqual(['', 'v1', '']);
    expect(mayBeginAtOnce(fleet.entries[0] ?? entry, 'c', 'v2')).toBe(false);
  });

  it('keeps its streams apart from the new base until they have ended once it is back', async () => {
    const { fleet, entry } = await createCutOff();
    await runFleet(fleet, 60_000);
    fleet.setReachable(entry, true);
    expect(mayBeginAtOnce(entry, 'a', 'v1')).toBe(true);
    await runFleet(fleet, 25_000);
    expect(await findVersion(fleet, 'a')).toBeUndefined();
    await runFleet(fleet, 8_000);
    expect(entry.known).toEqual({ base: 'v2', isUniform: true, isCurrent: true });
    expect(await findVersion(fleet, 'x')).toBe('v2');
  });

  it('is allowed for by a new leader, which has never heard of it', async () => {
    const { fleet, entry } = await createCutOff();
    fleet.replaceLeader();
    fleet.setReachable(entry, false);
    await runFleet(fleet, 60_000);
    expect(mayBeginAtOnce(entry, 'a', 'v1')).toBe(true);
    expect(await findVersion(fleet, 'a')).toBeUndefined();
  });

  it('begins no streams without a record any more once the new base is in force', async () => {
    const { fleet, entry } = await createCutOff();
    const startedAt = Date.now();
    let lastBegunAt = 0;
    let isAttributed = false;
    while (!isAttributed && Date.now() - startedAt < CUT_OFF_TRUST_MS + 60_000) {
      await runFleet(fleet, 5_000);
      lastBegunAt = mayBeginAtOnce(entry, 'a', 'v1') ? Date.now() : lastBegunAt;
      isAttributed = (await findVersion(fleet, 'a')) !== undefined;
    }
    expect(isAttributed).toBe(true);
    expect(lastBegunAt).toBeGreaterThan(startedAt + CUT_OFF_TRUST_MS / 2);
    expect(Date.now() - lastBegunAt).toBeGreaterThan(16_000);
  });
});
