/** Guards against engines that never get the named weights, and against too many loads at once. */
import { create } from '@bufbuild/protobuf';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { SILENT_LOG } from '../common/Log.js';
import { ExchangeRequestSchema, TargetPhase } from '../gen/redwingwharf/v1/fleet_pb.js';
import { buildTarget, NO_SPENDING } from './Fixtures.js';
import { FleetHub } from './FleetHub.js';
import { WeightsRollout, type IEngineClient, type OrderOutcome } from './WeightsRollout.js';

const QUOTA = { windowMs: 8_000, excessRatio: 0, toleranceTokens: 0 };
const CLOCK = { now: () => Date.now() };
const LOAD_DURATION_MS = 800;

/** Engines that hold the ordered weights `LOAD_DURATION_MS` after an order. */
class FakeEngines implements IEngineClient {
  public readonly versions = new Map<string, number>();
  /** Targets that were ordered, and when. */
  public readonly orders = new Map<string, number>();
  public maxConcurrentLoads = 0;
  /** Answer to each order, whatever the engine does. */
  public answer: OrderOutcome = 'accepted';
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
    this.orders.set(id, Date.now());
    this.maxConcurrentLoads = Math.max(this.maxConcurrentLoads, this._busy.size);
    setTimeout(() => {
      this._busy.delete(id);
      this.versions.set(id, version);
    }, LOAD_DURATION_MS);
    return Promise.resolve(this.answer);
  }
}

interface IStartedRollout {
  readonly hub: FleetHub;
  readonly engines: FakeEngines;
  readonly stop: AbortController;
}

interface IRolloutSetup {
  readonly term?: number;
  /** Time from the start of the process to its election. */
  readonly processAgeMs?: number;
  /** Targets that the former leader had prepared, as this process knows. */
  readonly inherited?: readonly string[];
  /** Weights that the targets have; the default is 1. */
  readonly held?: number;
  getConfirmationAgeMs?(): number;
  readonly propagationMs?: number;
  /** Time for which the old weights may be used. */
  readonly usableMs?: number;
}

function startRollout(count: number, setup: IRolloutSetup = {}): IStartedRollout {
  const hub = new FleetHub(
    'e1',
    {
      announceIntervalMs: 1_200,
      quota: QUOTA,
      processStartedAt: Date.now() - (setup.processAgeMs ?? 60_000),
      log: SILENT_LOG,
    },
    Date.now(),
    NO_SPENDING,
  );
  for (let i = 0; i < count; i += 1) {
    const id = `i-${i}`;
    const preparing = setup.inherited?.includes(id) === true;
    const models = [{ name: 'm', version: BigInt(setup.held ?? 1) }];
    const record = buildTarget({ id, address: `10.1.0.${i}:8000`, preparing, models });
    hub.announce(record, Date.now());
  }
  const engines = new FakeEngines();
  const startedAt = Date.now();
  const stop = new AbortController();
  const rollout = new WeightsRollout(
    {
      getHub: () => hub,
      getPropagationMs: () => setup.propagationMs ?? 190,
      getConfirmationAgeMs: () => setup.getConfirmationAgeMs?.() ?? 0,
      term: setup.term ?? 1,
      getUsableMs: () => (setup.usableMs ?? 60_000) - (Date.now() - startedAt),
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

  // An earlier 200, written once more, would have requests sent to an engine that still has the old weights.
  it('counts an engine as loaded when its report says so, not when the answer to the order does', async () => {
    const { hub, engines, stop } = startRollout(4);
    engines.answer = 'done';
    for (let step = 0; step < 200; step += 1) {
      await vi.advanceTimersByTimeAsync(50);
      for (const { id, models } of hub.listTargets()) {
        expect(Number(models[0]?.version)).toBeLessThanOrEqual(engines.versions.get(id) ?? 1);
      }
    }
    stop.abort();
    expect(listOutdated(hub)).toEqual([]);
  });

  it('goes on within two seconds after a change of the leader, except with engines that the former one may have ordered', async () => {
    const startedAt = Date.now();
    const { engines, stop } = startRollout(8, { term: 2, inherited: ['i-0', 'i-1'] });
    await vi.advanceTimersByTimeAsync(20_000);
    stop.abort();
    const delays = new Map([...engines.orders].map(([id, at]) => [id, at - startedAt]));
    expect(Math.min(...delays.values())).toBeLessThan(2_000);
    expect(delays.get('i-0')).toBeGreaterThanOrEqual(3_000);
    expect(delays.get('i-1')).toBeGreaterThanOrEqual(3_000);
    expect(delays.size).toBe(8);
  });

  it('waits for the whole lease after a restart, as it may not know what the former leader ordered', async () => {
    const startedAt = Date.now();
    const { engines, stop } = startRollout(8, { term: 2, processAgeMs: 500 });
    await vi.advanceTimersByTimeAsync(20_000);
    stop.abort();
    expect(Math.min(...engines.orders.values()) - startedAt).toBeGreaterThanOrEqual(3_000);
  });

  it('sends no order once no majority has confirmed it for a time in which another leader may be elected', async () => {
    const startedAt = Date.now();
    const { engines, stop } = startRollout(8, {
      getConfirmationAgeMs: () => Math.max(0, Date.now() - startedAt - 500),
    });
    await vi.advanceTimersByTimeAsync(20_000);
    stop.abort();
    expect(Math.max(0, ...engines.orders.values()) - startedAt).toBeLessThan(1_000);
  });

  it('sends an order only when every entry of a large fleet knows of it, so that no request is rejected', async () => {
    const startedAt = Date.now();
    const { hub, engines, stop } = startRollout(4, { propagationMs: 900 });
    let markedAt = Number.POSITIVE_INFINITY;
    for (let step = 0; step < 60; step += 1) {
      await vi.advanceTimersByTimeAsync(50);
      const isMarked = hub.listTargets().some(({ loading }) => loading);
      markedAt = isMarked ? Math.min(markedAt, Date.now()) : markedAt;
    }
    stop.abort();
    expect(Math.min(...engines.orders.values()) - markedAt).toBeGreaterThanOrEqual(800);
    expect(markedAt - startedAt).toBeGreaterThanOrEqual(800);
  });

  it('loads all engines before the old weights expire, though each has a long stream', async () => {
    // Eight engines, two at a time: waiting four seconds for the streams of each group takes far too long.
    const { hub, stop } = startRollout(8, { usableMs: 6_500 });
    const work = hub
      .listTargets()
      .map(({ id }) => ({ id, open: 1, pendingTokens: 0, longStreams: 1 }));
    for (let step = 0; step < 75; step += 1) {
      const report = create(ExchangeRequestSchema, { node: 'n1', takesRequests: true, work });
      hub.applyReport(report, Date.now());
      for (const record of hub.listTargets()) {
        hub.announce(buildTarget({ ...record, sequence: record.sequence + 1n }), Date.now());
      }
      await vi.advanceTimersByTimeAsync(100);
    }
    stop.abort();
    expect(listOutdated(hub)).toEqual([]);
  });

  it('frees engines that have their weights but that a former leader left as loading', async () => {
    const { hub, stop } = startRollout(3, { term: 2, held: 2, inherited: ['i-0'] });
    await vi.advanceTimersByTimeAsync(5_000);
    stop.abort();
    expect(hub.listTargets().filter(({ preparing }) => preparing)).toEqual([]);
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
