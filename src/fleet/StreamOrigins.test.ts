/**
 * Guards against streams that go on at a software version that did not begin them: streams that are attributed to
 * the base version though another one began them, and answers of processes that cannot know.
 */
import { create } from '@bufbuild/protobuf';
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { SILENT_LOG } from '../common/Log.js';
import { Ok } from '../common/Result.js';
import { FindStreamOriginsResponseSchema } from '../gen/redwingwharf/v1/fleet_pb.js';
import { buildConfiguration } from './Fixtures.js';
import { FleetView } from './FleetView.js';
import { StreamOrigins } from './StreamOrigins.js';
import {
  SERVICE,
  StreamFleet,
  TIMEOUT_MS,
  type CallFate,
  type Entry,
  type ISimulatedTarget,
} from './StreamOriginsHarness.js';

const CLOCK = { now: (): number => Date.now() };
const TICK_MS = 125;
const REBASE_DELAY_MS = 30_000;

beforeEach(() => {
  vi.useFakeTimers({ now: 1_000_000, toFake: ['setTimeout', 'clearTimeout', 'Date'] });
});

afterEach(() => {
  vi.useRealTimers();
});

/** Runs a fleet for a time and checks after each round that nobody attributes a stream wrongly. */
async function runFleet(fleet: StreamFleet, ms: number): Promise<void> {
  for (const end = Date.now() + ms; Date.now() < end;) {
    await fleet.tick();
    await vi.advanceTimersByTimeAsync(TICK_MS);
    await checkOrigins(fleet);
  }
}

async function checkOrigins(fleet: StreamFleet): Promise<void> {
  const now = Date.now();
  const living = fleet.streams.filter(({ sentAt }) => now - sentAt <= TIMEOUT_MS);
  const found = await fleet.findVersions(living);
  for (const { id, version } of living) {
    if ((found.get(id) ?? version) !== version) {
      expect.fail(`the leader attributes ${id} of ${version} to ${found.get(id) ?? ''}`);
    }
    for (const { known } of fleet.entries) {
      if (known?.isUniform === true && known.base !== version) {
        expect.fail(`an entry takes ${id} of ${version} for a stream of ${known.base}`);
      }
    }
  }
}

function getEntry(fleet: StreamFleet, i = 0): Entry {
  const entry = fleet.entries[i % fleet.entries.length];
  if (entry === undefined) {
    throw new Error('the fleet has no entries');
  }
  return entry;
}

describe('a fleet that records streams', () => {
  it('finds streams of a new version after all processes were killed at once', async () => {
    const fleet = new StreamFleet(3, CLOCK);
    const old = fleet.startTarget('v1');
    await runFleet(fleet, 3_000);
    expect(fleet.leader.base).toBe('v1');
    const next = fleet.startTarget('v2', 1);
    await fleet.tick();
    void fleet.sendRequest(getEntry(fleet, 1), [next]);
    void fleet.sendRequest(getEntry(fleet, 2), [old]);
    await runFleet(fleet, 1_500);
    fleet.stopTarget(old);
    await runFleet(fleet, 500);
    fleet.restartAll(false);
    await runFleet(fleet, 1_000);
    const found = await fleet.findVersions(fleet.streams);
    expect([...found.values()].sort()).toEqual(['v1', 'v2']);
  });

  it('needs neither records nor look-ups while one version is in service', async () => {
    const fleet = new StreamFleet(2, CLOCK);
    fleet.startTarget('v1');
    await runFleet(fleet, 3_000);
    const entry = getEntry(fleet, 1);
    expect(entry.known).toEqual({ base: 'v1', isUniform: true, isCurrent: true });
    expect(entry.origins.needsRecord('a', SERVICE, 'v1', Date.now())).toBe(false);
    expect(entry.origins.needsRecord('a', SERVICE, 'v2', Date.now())).toBe(true);
  });

  it('is uniform again once a release has ended and its records have expired', async () => {
    const fleet = new StreamFleet(2, CLOCK);
    const old = fleet.startTarget('v1');
    await runFleet(fleet, 3_000);
    const next = fleet.startTarget('v2');
    const third = fleet.startTarget('v3');
    await runFleet(fleet, 1_000);
    expect(getEntry(fleet).known?.isUniform).toBe(false);
    fleet.stopTarget(old);
    void fleet.sendRequest(getEntry(fleet), [third]);
    await runFleet(fleet, REBASE_DELAY_MS / 2);
    fleet.stopTarget(third);
    void fleet.sendRequest(getEntry(fleet), [next]);
    await runFleet(fleet, REBASE_DELAY_MS);
    expect(fleet.leader.base).toBe('v2');
    await runFleet(fleet, REBASE_DELAY_MS);
    expect(getEntry(fleet).known).toEqual({ base: 'v2', isUniform: true, isCurrent: true });
    expect(fleet.leader.state.streams.size).toBe(0);
    expect(fleet.streams).toHaveLength(2);
  });

  it('forgets records after the delay, which a new leader counts anew', async () => {
    const fleet = new StreamFleet(1, CLOCK);
    fleet.startTarget('v1');
    await runFleet(fleet, 3_000);
    const next = fleet.startTarget('v2');
    void fleet.sendRequest(getEntry(fleet), [next]);
    await runFleet(fleet, REBASE_DELAY_MS - 2_000);
    fleet.replaceLeader();
    await runFleet(fleet, REBASE_DELAY_MS - 1_000);
    expect(fleet.leader.state.streams.size).toBe(1);
    await runFleet(fleet, 3_000);
    expect(fleet.leader.state.streams.size).toBe(0);
  });

  // The entry would take up the stream at the base version without asking, as it was told before.
  it('begins no stream of a new version while any entry believes the service uniform', async () => {
    const fleet = new StreamFleet(2, CLOCK);
    fleet.startTarget('v1');
    await runFleet(fleet, 3_000);
    const isolated = getEntry(fleet, 1);
    isolated.exchange();
    fleet.setReachable(isolated, false);
    void fleet.sendRequest(getEntry(fleet), [fleet.startTarget('v2')]);
    await vi.advanceTimersByTimeAsync(150);
    expect(isolated.known?.isUniform).toBe(true);
    expect(fleet.leader.state.streams.size).toBe(1);
    expect(fleet.streams).toEqual([]);
    await runFleet(fleet, 800);
    expect(isolated.known?.isUniform).toBe(false);
    expect(fleet.streams).toHaveLength(1);
  });

  // With a command for each stream, the members would write snapshots all the time during a release.
  it('commits the records of several entries with one command', async () => {
    const fleet = new StreamFleet(3, CLOCK);
    const targets = ['v2', 'v3', 'v2'].map((version, i) => fleet.startTarget(version, i));
    await fleet.tick();
    for (const [i, target] of targets.entries()) {
      void fleet.sendRequest(getEntry(fleet, i), [target]);
    }
    await runFleet(fleet, 1_000);
    expect(fleet.leader.state.streams.sequence).toBe(1);
    const found = await fleet.findVersions(fleet.streams);
    expect(fleet.streams.map(({ id }) => found.get(id))).toEqual(
      fleet.streams.map(({ version }) => version),
    );
    expect(found.size).toBe(3);
  });

  // The first attempt's record would else stand for the stream that the second one brought.
  it('records an attempt at the base version after one at another version', async () => {
    const fleet = new StreamFleet(1, CLOCK);
    const old = fleet.startTarget('v1');
    await runFleet(fleet, 3_000);
    const next = fleet.startTarget('v2');
    await runFleet(fleet, 1_500);
    void fleet.sendRequest(getEntry(fleet), [next, old]);
    await runFleet(fleet, 500);
    expect([...(await fleet.findVersions(fleet.streams)).values()]).toEqual(['v1']);
  });

  // Such an entry may have a target of the base that no leader has known for so long that the base has changed.
  it('records all streams of an entry that no leader has answered for long', async () => {
    const fleet = new StreamFleet(2, CLOCK);
    fleet.startTarget('v1');
    await runFleet(fleet, 3_000);
    const entry = getEntry(fleet, 1);
    fleet.setReachable(entry, false);
    await runFleet(fleet, 1_000);
    expect(entry.known).toEqual({ base: 'v1', isUniform: false, isCurrent: true });
    await runFleet(fleet, 14_000);
    expect(entry.known).toEqual({ base: 'v1', isUniform: false, isCurrent: false });
    expect(entry.origins.needsRecord('a', SERVICE, 'v1', Date.now())).toBe(true);
  });

  interface IScenarioStep {
    readonly event:
      | 'start_target'
      | 'end_target'
      | 'crash_target'
      | 'stream'
      | 'repeated_stream'
      | 'replace_leader'
      | 'kill_all'
      | 'cut_entry'
      | 'heal_entry';
    readonly choice: number;
    readonly ms: number;
  }

  const STEP = fc.record<IScenarioStep>({
    event: fc.oneof(
      {
        weight: 6,
        arbitrary: fc.constantFrom('stream' as const, 'repeated_stream' as const),
      },
      {
        weight: 4,
        arbitrary: fc.constantFrom('start_target' as const, 'end_target' as const),
      },
      {
        weight: 3,
        arbitrary: fc.constantFrom(
          'crash_target' as const,
          'replace_leader' as const,
          'kill_all' as const,
          'cut_entry' as const,
          'heal_entry' as const,
        ),
      },
    ),
    choice: fc.nat(10_000),
    ms: fc.oneof(
      { weight: 12, arbitrary: fc.integer({ min: 0, max: 2_000 }) },
      { weight: 1, arbitrary: fc.integer({ min: 8_000, max: 40_000 }) },
    ),
  });

  const VERSIONS = ['v1', 'v2', 'v3', ''] as const;
  const FATES: readonly CallFate[] = ['answered', 'answered', 'answer_lost', 'answered', 'late'];

  function executeStep(fleet: StreamFleet, { event, choice }: IScenarioStep): void {
    const pickTarget = (number: number): ISimulatedTarget | undefined => {
      const living = fleet.targets.filter(({ isAlive }) => isAlive);
      return living[number % Math.max(1, living.length)];
    };
    const entry = getEntry(fleet, choice);
    const target = pickTarget(choice >> 2);
    switch (event) {
      case 'start_target':
        fleet.startTarget(VERSIONS[choice % VERSIONS.length] ?? '', choice >> 2);
        break;
      case 'end_target':
      case 'crash_target':
        if (target !== undefined) {
          fleet.stopTarget(target, event === 'end_target');
        }
        break;
      case 'stream':
      case 'repeated_stream': {
        const second = event === 'repeated_stream' ? pickTarget(choice >> 3) : undefined;
        const targets = [target, second].filter((item) => item !== undefined);
        if (targets.length > 0) {
          void fleet.sendRequest(entry, targets, (choice % 3) * 600);
        }
        break;
      }
      case 'replace_leader':
        fleet.replaceLeader(new Set([choice % 3, (choice >> 2) % 3]));
        break;
      case 'kill_all':
        fleet.restartAll(choice % 2 === 0);
        break;
      case 'cut_entry':
        fleet.setReachable(entry, false);
        break;
      case 'heal_entry':
        fleet.setReachable(entry, true);
        break;
    }
  }

  it(
    'never attributes a stream to another version than the one that began it, in whatever order targets, leaders and entries come and go',
    { timeout: 120_000 },
    async () => {
      let attributed = 0;
      await fc.assert(
        fc.asyncProperty(
          fc.array(STEP, { minLength: 10, maxLength: 40 }),
          fc.nat(FATES.length),
          async (steps, seed) => {
            let calls = seed;
            const fleet = new StreamFleet(3, CLOCK, () => {
              calls += 1;
              return FATES[calls % FATES.length] ?? 'answered';
            });
            fleet.startTarget('v1');
            await runFleet(fleet, seed % 2 === 0 ? 3_000 : 500);
            for (const step of steps) {
              executeStep(fleet, step);
              await runFleet(fleet, step.ms);
            }
            attributed += fleet.streams.length;
          },
        ),
        { numRuns: 100 },
      );
      expect(attributed).toBeGreaterThan(100);
    },
  );
});

describe('an entry that is asked for a stream of another service', () => {
  // Guards against the text of two services in one stream after a route has moved.
  it('knows no version of this service that began it, by its memory and by the leader', async () => {
    const reply = create(FindStreamOriginsResponseSchema, {
      versions: [{ service: 'lace', version: 'v2' }],
      origins: [1],
      bases: [{ service: 'orders', version: 'v1' }],
    });
    const origins = new StreamOrigins(
      {
        recordStreams: () => Promise.resolve('no leader'),
        findStreamOrigins: () => Promise.resolve(reply),
      },
      new FleetView(() => Ok(buildConfiguration()), SILENT_LOG),
    );
    origins.keepServed('a1', 'lace', 'v2', 0);
    expect(origins.getServed('a1', 'lace', 10)).toBe('v2');
    expect(origins.getServed('a1', 'orders', 10)).toBe('');
    const { signal } = new AbortController();
    const found = origins.find('a2', 'orders', signal, 500);
    await vi.advanceTimersByTimeAsync(50);
    expect(await found).toEqual({ kind: 'version', version: '' });
  });
});
