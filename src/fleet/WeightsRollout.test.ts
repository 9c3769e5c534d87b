/** Guards against engines that never get the named weights, and against too many loads at once. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { SILENT_LOG } from '../common/Log.js';
import { TargetPhase } from '../gen/redwingwharf/v1/fleet_pb.js';
import { buildTarget } from './Fixtures.js';
import { FleetHub } from './FleetHub.js';
import { WeightsRollout, type IEngineClient } from './WeightsRollout.js';

const QUOTA = { windowMs: 8_000, excessRatio: 0, toleranceTokens: 0 };
const CLOCK = { now: () => Date.now() };
const LOAD_DURATION_MS = 800;

/** Engines that hold the ordered weights `LOAD_DURATION_MS` after an order. */
class FakeEngines implements IEngineClient {
  public readonly versions = new Map<string, number>();
  public maxConcurrentLoads = 0;
  private readonly _busy = new Set<string>();

  public fetchReport({ id }: { id: string }): ReturnType<IEngineClient['fetchReport']> {
    return Promise.resolve({
      isBusy: this._busy.has(id),
      sequence: 0,
      versions: new Map([['m', this.versions.get(id) ?? 1]]),
    });
  }

  public sendOrder(
    { id }: { id: string },
    { version }: { version: number },
  ): ReturnType<IEngineClient['sendOrder']> {
    this._busy.add(id);
    this.maxConcurrentLoads = Math.max(this.maxConcurrentLoads, this._busy.size);
    setTimeout(() => {
      this._busy.delete(id);
      this.versions.set(id, version);
    }, LOAD_DURATION_MS);
    return Promise.resolve('accepted');
  }
}

interface IStartedRollout {
  readonly hub: FleetHub;
  readonly engines: FakeEngines;
  readonly stop: AbortController;
}

function startRollout(count: number): IStartedRollout {
  const hub = new FleetHub(
    'e1',
    { announceIntervalMs: 1_200, quota: QUOTA, processStartedAt: 0, log: SILENT_LOG },
    Date.now(),
    { isConfigured: false, records: [] },
  );
  for (let i = 0; i < count; i += 1) {
    hub.announce(buildTarget({ id: `i-${i}`, address: `10.1.0.${i}:8000` }), Date.now());
  }
  const engines = new FakeEngines();
  const stop = new AbortController();
  const rollout = new WeightsRollout(
    {
      getHub: () => hub,
      term: 1,
      getRequiredVersion: () => 0,
      weights: [{ model: 'm', version: 2n }],
    },
    engines,
    { holder: 'node-1', leaseMs: 3_000 },
    CLOCK,
    SILENT_LOG,
  );
  void rollout.run(stop.signal);
  return { hub, engines, stop };
}

function listOutdated(hub: FleetHub): string[] {
  return hub
    .listTargets()
    .filter(({ phase, models }) => phase === TargetPhase.READY && models[0]?.version === 1n)
    .map(({ id }) => id);
}

describe('WeightsRollout', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('loads the named weights on all engines, two at a time', async () => {
    const { hub, engines, stop } = startRollout(8);
    await vi.advanceTimersByTimeAsync(20_000);
    stop.abort();
    expect(listOutdated(hub)).toEqual([]);
    expect(engines.maxConcurrentLoads).toBe(2);
  });

  it('continues when engines crash while they are being prepared', async () => {
    const { hub, stop } = startRollout(20);
    for (let round = 0; round < 4; round += 1) {
      await vi.advanceTimersByTimeAsync(200);
      for (const record of hub.listTargets().filter(({ preparing }) => preparing)) {
        hub.announce(
          buildTarget({ ...record, phase: TargetPhase.GONE, sequence: record.sequence + 1n }),
          Date.now(),
        );
      }
    }
    await vi.advanceTimersByTimeAsync(30_000);
    stop.abort();
    expect(hub.listTargets().some(({ phase }) => phase === TargetPhase.READY)).toBe(true);
    expect(listOutdated(hub)).toEqual([]);
  });
});
