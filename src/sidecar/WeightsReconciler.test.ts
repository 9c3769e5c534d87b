import { setMaxListeners } from 'node:events';
import { setTimeout as delay } from 'node:timers/promises';
import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock, MonotonicClock } from '../common/Clock.js';
import { TestControl, TestEngine, TestGate, TestSidecar } from './WeightsFixtures.js';
import { FRESHNESS_LIMIT_MS } from '../feed/Freshness.js';
import { WEIGHTS_TIMINGS } from './WeightsReconciler.js';

const never = new AbortController().signal;

/** A fraction of the production timings, so that a test with many loads takes a second. */
const FAST = {
  pollIntervalMs: 20,
  initialBackoffMs: 25,
  maxBackoffMs: 500,
  leaseDurationMs: 5_000,
};

/** Waits until a condition holds; the time limit of the test ends a wait that never succeeds. */
async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await delay(2);
  }
}

function keepSynced(sidecars: readonly TestSidecar[]): NodeJS.Timeout {
  return setInterval(() => {
    for (const { feed } of sidecars) {
      feed.sync();
    }
  }, 50);
}

function listVersions(engine: TestEngine): string[] {
  return engine.loaded.map(({ version }) => version);
}

describe('WeightsReconciler', () => {
  let clock: ManualClock;
  let control: TestControl;

  function createSidecar(engine: TestEngine, incarnation = 1, id = 'e1'): TestSidecar {
    return new TestSidecar(id, incarnation, control, engine, clock);
  }

  beforeEach(() => {
    clock = new ManualClock(1_000);
    control = new TestControl(clock);
    TestEngine.loadingCount = 0;
    TestEngine.maxLoadingCount = 0;
  });

  it('loads a published version and a rolled back one once each, with increasing fencing tokens', async () => {
    const sidecar = createSidecar(new TestEngine());
    for (const version of ['w2', 'w1']) {
      control.desiredVersion = version;
      sidecar.feed.sync();
      await sidecar.reconciler.reconcileOnce(never);
      await sidecar.reconciler.reconcileOnce(never);
    }
    const [first, second] = sidecar.engine.loaded;
    expect(listVersions(sidecar.engine)).toEqual(['w2', 'w1']);
    expect(second?.fence).toBeGreaterThan(first?.fence ?? 0n);
    expect(control.commandCount).toBe(4);
  });

  it('interrupts no request: refuses new ones and loads after the open ones have ended', async () => {
    const sidecar = createSidecar(new TestEngine());
    control.desiredVersion = 'w2';
    sidecar.feed.sync();
    sidecar.openCount = 1;
    const reconciled = sidecar.reconciler.reconcileOnce(never);
    await waitFor(() => sidecar.isPaused);
    expect(sidecar.engine.arrivedCount).toBe(0);
    sidecar.openCount = 0;
    await reconciled;
    expect(sidecar.statesAtSend).toEqual([{ isPaused: true, openCount: 0 }]);
    expect(sidecar.isPaused).toBe(false);
  });

  it('postpones a load that would leave the model without an engine, for a limited time', async () => {
    const sidecar = createSidecar(new TestEngine());
    control.desiredVersion = 'w2';
    sidecar.getPeerCount = () => ({ total: 1, serving: 0 });
    sidecar.feed.sync();
    await sidecar.reconciler.reconcileOnce(never);
    expect(sidecar.engine.arrivedCount).toBe(0);
    clock.advance(WEIGHTS_TIMINGS.peerTimeoutMs);
    sidecar.feed.sync();
    await sidecar.reconciler.reconcileOnce(never);
    expect(listVersions(sidecar.engine)).toEqual(['w2']);
  });

  it('postpones the load when another engine has stopped serving at the same moment', async () => {
    const sidecar = createSidecar(new TestEngine());
    control.desiredVersion = 'w2';
    sidecar.getPeerCount = () => ({ total: 1, serving: sidecar.isPaused ? 0 : 1 });
    sidecar.feed.sync();
    await sidecar.reconciler.reconcileOnce(never);
    expect(sidecar.engine.arrivedCount).toBe(0);
    expect(sidecar.isPaused).toBe(false);
  });

  it('sends nothing with a stale feed copy, so that an isolated sidecar loads no outdated weights', async () => {
    const sidecar = createSidecar(new TestEngine());
    sidecar.feed.desiredVersion = 'w0';
    clock.advance(FRESHNESS_LIMIT_MS);
    await sidecar.reconciler.reconcileOnce(never);
    expect(control.commandCount).toBe(0);
  });

  it('sends nothing while there is no leader and continues with the next one', async () => {
    const sidecar = createSidecar(new TestEngine());
    control.desiredVersion = 'w2';
    sidecar.feed.sync();
    control.isReachable = false;
    await sidecar.reconciler.reconcileOnce(never);
    await sidecar.reconciler.reconcileOnce(never);
    expect(sidecar.engine.arrivedCount).toBe(0);
    control.isReachable = true;
    await sidecar.reconciler.reconcileOnce(never);
    expect(listVersions(sidecar.engine)).toEqual(['w2']);
  });

  it('uses no fencing token below the highest one that the engine has received', async () => {
    const sidecar = createSidecar(new TestEngine());
    sidecar.engine.highestFence = 5_000n;
    clock.advance(WEIGHTS_TIMINGS.startupDelayMs);
    control.desiredVersion = 'w2';
    sidecar.feed.sync();
    await sidecar.reconciler.reconcileOnce(never);
    expect(sidecar.engine.arrivedCount).toBe(0);
  });

  it('uses no fencing token twice when the release of the slot was lost', async () => {
    const sidecar = createSidecar(
      new TestEngine('strict', () => {
        control.isReachable = false;
        return Promise.resolve();
      }),
    );
    control.desiredVersion = 'w2';
    sidecar.feed.sync();
    await sidecar.reconciler.reconcileOnce(never);
    control.isReachable = true;
    sidecar.engine.weightsVersion = 'w1';
    await sidecar.reconciler.reconcileOnce(never);
    expect(sidecar.engine.loaded).toHaveLength(1);
    await sidecar.reconciler.reconcileOnce(never);
    const [first, second] = sidecar.engine.loaded;
    expect(second?.fence).toBeGreaterThan(first?.fence ?? 0n);
  });

  it.each(['strict', 'ignore'] as const)(
    'a restarted sidecar does not repeat the load that its engine (%s) is still executing',
    async (mode) => {
      const gate = new TestGate();
      const engine = new TestEngine(mode, () => gate.opened);
      const before = createSidecar(engine, 1);
      clock.advance(WEIGHTS_TIMINGS.startupDelayMs);
      control.desiredVersion = 'w2';
      before.feed.sync();
      const killed = new AbortController();
      const reconciled = before.reconciler.reconcileOnce(killed.signal);
      await waitFor(() => engine.arrivedCount === 1);
      killed.abort();
      await reconciled;
      const after = createSidecar(engine, 2);
      await after.reconciler.reconcileOnce(never);
      gate.open();
      await waitFor(() => engine.loaded.length === 1);
      await after.reconciler.reconcileOnce(never);
      expect(engine.arrivedCount).toBe(1);
    },
  );

  it('sends a new command when the engine restarts during a load and comes up with old weights', async () => {
    const gate = new TestGate();
    const engine = new TestEngine('strict', () => gate.opened);
    const sidecar = createSidecar(engine);
    control.desiredVersion = 'w2';
    sidecar.feed.sync();
    const reconciled = sidecar.reconciler.reconcileOnce(never);
    await waitFor(() => engine.arrivedCount === 1);
    engine.incarnation = 'engine-b';
    engine.highestFence = 0n;
    gate.open();
    await reconciled;
    expect(sidecar.isPaused).toBe(true);
    await sidecar.reconciler.reconcileOnce(never);
    expect(sidecar.isPaused).toBe(false);
    await sidecar.reconciler.reconcileOnce(never);
    expect(listVersions(engine)).toEqual(['w2']);
    expect(engine.arrivedCount).toBe(2);
  });

  it.each([
    ['strict', 'waits for a slot'],
    ['strict', 'has read the engine'],
    ['ignore', 'waits for a slot'],
    ['ignore', 'has read the engine'],
  ] as const)(
    'a sidecar process (engine %s) that was frozen while it %s loads no outdated weights afterwards',
    async (mode, stage) => {
      const engine = new TestEngine(mode);
      const frozen = createSidecar(engine, 1);
      clock.advance(WEIGHTS_TIMINGS.startupDelayMs);
      control.desiredVersion = 'w2';
      frozen.feed.sync();
      const gate = new TestGate();
      frozen[stage === 'waits for a slot' ? 'slotWait' : 'checkWait'] = gate.opened;
      const reconciled = frozen.reconciler.reconcileOnce(never);
      await delay(5);
      clock.advance(FRESHNESS_LIMIT_MS);
      control.desiredVersion = 'w3';
      const successor = createSidecar(engine, 2);
      // With 'strict' only 3 s pass, so the slot lease is still held: what stops the frozen process is its stale
      // feed copy.
      clock.advance(mode === 'ignore' ? WEIGHTS_TIMINGS.startupDelayMs : 0);
      successor.feed.sync();
      await successor.reconciler.reconcileOnce(never);
      gate.open();
      await reconciled;
      expect(engine.arrivedCount).toBe(1);
      expect(listVersions(engine)).toEqual(['w3']);
    },
  );

  it.each([
    ['strict', ['w3']],
    ['ignore', ['w3', 'w2', 'w3']],
  ] as const)(
    'an engine (%s) that receives a delayed command ends up with the newest weights',
    async (mode, expected) => {
      const sidecar = createSidecar(new TestEngine(mode));
      clock.advance(WEIGHTS_TIMINGS.startupDelayMs);
      control.desiredVersion = 'w3';
      sidecar.feed.sync();
      await sidecar.reconciler.reconcileOnce(never);
      await sidecar.engine.load('w2', 50n);
      await sidecar.reconciler.reconcileOnce(never);
      expect(listVersions(sidecar.engine)).toEqual(expected);
    },
  );
});

describe('WeightsReconciler in real time', () => {
  const clock = new MonotonicClock();

  beforeEach(() => {
    TestEngine.loadingCount = 0;
    TestEngine.maxLoadingCount = 0;
  });

  it('aborts a load when the slot lease expires, and does not repeat the command', async () => {
    const gate = new TestGate();
    const control = new TestControl(clock);
    const engine = new TestEngine('strict', () => gate.opened);
    const timings = { ...FAST, leaseDurationMs: 500, renewIntervalMs: 20 };
    const sidecar = new TestSidecar('e1', 1, control, engine, clock, timings);
    control.desiredVersion = 'w2';
    sidecar.feed.sync();
    const reconciled = sidecar.reconciler.reconcileOnce(never);
    await waitFor(() => engine.arrivedCount === 1);
    control.isReachable = false;
    await reconciled;
    control.isReachable = true;
    await sidecar.reconciler.reconcileOnce(never);
    expect(sidecar.isPaused).toBe(true);
    gate.open();
    await waitFor(() => engine.loaded.length === 1);
    await sidecar.reconciler.reconcileOnce(never);
    await sidecar.reconciler.reconcileOnce(never);
    expect(sidecar.isPaused).toBe(false);
    expect(engine.arrivedCount).toBe(1);
  });

  it('renews the slot lease during a load that takes longer than the lease', async () => {
    const control = new TestControl(clock);
    const engine = new TestEngine('strict', () => delay(1_600));
    const timings = { ...FAST, leaseDurationMs: 1_000, renewIntervalMs: 20 };
    const sidecar = new TestSidecar('e1', 1, control, engine, clock, timings);
    control.desiredVersion = 'w2';
    sidecar.feed.sync();
    const delayMs = await sidecar.reconciler.reconcileOnce(never);
    expect(delayMs).toBe(FAST.pollIntervalMs);
    expect(listVersions(engine)).toEqual(['w2']);
  });

  it('never takes both of two engines out of service at once, and updates both in the end', async () => {
    const control = new TestControl(clock);
    const stop = new AbortController();
    const pair = [1, 2].map((id) => {
      const engine = new TestEngine('strict', () => delay(30));
      return new TestSidecar(`e${id}`, id, control, engine, clock, FAST);
    });
    for (const sidecar of pair) {
      sidecar.getPeerCount = () => {
        const other = pair.find((candidate) => candidate !== sidecar);
        return { total: 1, serving: other?.isPaused === false ? 1 : 0 };
      };
    }
    control.desiredVersion = 'w2';
    const syncing = keepSynced(pair);
    const running = pair.map(({ reconciler }) => reconciler.run(stop.signal));
    await waitFor(() => pair.every(({ engine }) => engine.weightsVersion === 'w2'));
    stop.abort();
    clearInterval(syncing);
    await Promise.all(running);
    expect(TestEngine.maxLoadingCount).toBe(1);
  });

  it('loads 13 engines two at a time with a bounded number of commands to the leader', async () => {
    const control = new TestControl(clock);
    const stop = new AbortController();
    setMaxListeners(0, stop.signal);
    const sidecars = Array.from({ length: 13 }, (_, index) => {
      const engine = new TestEngine('strict', () => delay(30));
      return new TestSidecar(`e${index}`, index, control, engine, clock, FAST);
    });
    control.desiredVersion = 'w2';
    const syncing = keepSynced(sidecars);
    const running = sidecars.map(({ reconciler }) => reconciler.run(stop.signal));
    await waitFor(() => sidecars.every(({ engine }) => engine.weightsVersion === 'w2'));
    stop.abort();
    clearInterval(syncing);
    await Promise.all(running);
    expect(TestEngine.maxLoadingCount).toBe(2);
    expect(sidecars.map(({ engine }) => engine.arrivedCount)).toEqual(sidecars.map(() => 1));
    expect(control.commandCount).toBeLessThan(13 * 15);
  });
});
