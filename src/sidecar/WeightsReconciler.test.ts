import { setMaxListeners } from 'node:events';
import { setTimeout as delay } from 'node:timers/promises';
import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock, MonotonicClock } from '../common/Clock.js';
import { TestControl, TestEngine, TestGate, TestSidecar } from './WeightsFixtures.js';
import { FRESHNESS_LIMIT_MS } from '../feed/Freshness.js';
import { WEIGHTS_TIMINGS } from './WeightsReconciler.js';

const never = new AbortController().signal;

/** A tenth of the real times, so that a test of many loads takes a second. */
const FAST = { pollMs: 20, firstPauseMs: 25, longestPauseMs: 500, leaseMs: 5_000 };

/** Waits until a condition holds; the test's own time limit ends a wait in vain. */
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
    TestEngine.loading = 0;
    TestEngine.mostLoading = 0;
  });

  it('loads a published and a rolled back version once each, with rising tokens', async () => {
    const sidecar = createSidecar(new TestEngine());
    for (const version of ['w2', 'w1']) {
      control.desired = version;
      sidecar.feed.sync();
      await sidecar.reconciler.reconcileOnce(never);
      await sidecar.reconciler.reconcileOnce(never);
    }
    const [first, second] = sidecar.engine.loaded;
    expect(listVersions(sidecar.engine)).toEqual(['w2', 'w1']);
    expect(second?.fence).toBeGreaterThan(first?.fence ?? 0n);
    expect(control.commands).toBe(4);
  });

  it('cuts no request: it loads after open requests have ended and takes no new ones', async () => {
    const sidecar = createSidecar(new TestEngine());
    control.desired = 'w2';
    sidecar.feed.sync();
    sidecar.open = 1;
    const done = sidecar.reconciler.reconcileOnce(never);
    await waitFor(() => sidecar.isHeld);
    expect(sidecar.engine.arrived).toBe(0);
    sidecar.open = 0;
    await done;
    expect(sidecar.sentWhile).toEqual([{ isHeld: true, open: 0 }]);
    expect(sidecar.isHeld).toBe(false);
  });

  it('puts a load off that would leave the model without an engine, but not for ever', async () => {
    const sidecar = createSidecar(new TestEngine());
    control.desired = 'w2';
    sidecar.getPeers = () => ({ known: 1, serving: 0 });
    sidecar.feed.sync();
    await sidecar.reconciler.reconcileOnce(never);
    expect(sidecar.engine.arrived).toBe(0);
    clock.advance(WEIGHTS_TIMINGS.peerWaitMs);
    sidecar.feed.sync();
    await sidecar.reconciler.reconcileOnce(never);
    expect(listVersions(sidecar.engine)).toEqual(['w2']);
  });

  it('gives way when another engine has begun in the same moment', async () => {
    const sidecar = createSidecar(new TestEngine());
    control.desired = 'w2';
    sidecar.getPeers = () => ({ known: 1, serving: sidecar.isHeld ? 0 : 1 });
    sidecar.feed.sync();
    await sidecar.reconciler.reconcileOnce(never);
    expect(sidecar.engine.arrived).toBe(0);
    expect(sidecar.isHeld).toBe(false);
  });

  it('sends nothing by a stale copy, so that an isolated sidecar loads no outdated weights', async () => {
    const sidecar = createSidecar(new TestEngine());
    sidecar.feed.desired = 'w0';
    clock.advance(FRESHNESS_LIMIT_MS);
    await sidecar.reconciler.reconcileOnce(never);
    expect(control.commands).toBe(0);
  });

  it('sends nothing while there is no leader and goes on with the next one', async () => {
    const sidecar = createSidecar(new TestEngine());
    control.desired = 'w2';
    sidecar.feed.sync();
    control.isReachable = false;
    await sidecar.reconciler.reconcileOnce(never);
    await sidecar.reconciler.reconcileOnce(never);
    expect(sidecar.engine.arrived).toBe(0);
    control.isReachable = true;
    await sidecar.reconciler.reconcileOnce(never);
    expect(listVersions(sidecar.engine)).toEqual(['w2']);
  });

  it('uses no token that the engine has overtaken', async () => {
    const sidecar = createSidecar(new TestEngine());
    sidecar.engine.highestFence = 5_000n;
    clock.advance(WEIGHTS_TIMINGS.startWaitMs);
    control.desired = 'w2';
    sidecar.feed.sync();
    await sidecar.reconciler.reconcileOnce(never);
    expect(sidecar.engine.arrived).toBe(0);
  });

  it('uses no token twice when the release of the slot was lost', async () => {
    const sidecar = createSidecar(
      new TestEngine('strict', () => {
        control.isReachable = false;
        return Promise.resolve();
      }),
    );
    control.desired = 'w2';
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
    'a restarted sidecar does not repeat the load that its engine (%s) still carries out',
    async (mode) => {
      const gate = new TestGate();
      const engine = new TestEngine(mode, () => gate.opened);
      const before = createSidecar(engine, 1);
      clock.advance(WEIGHTS_TIMINGS.startWaitMs);
      control.desired = 'w2';
      before.feed.sync();
      const killed = new AbortController();
      const ended = before.reconciler.reconcileOnce(killed.signal);
      await waitFor(() => engine.arrived === 1);
      killed.abort();
      await ended;
      const after = createSidecar(engine, 2);
      await after.reconciler.reconcileOnce(never);
      gate.open();
      await waitFor(() => engine.loaded.length === 1);
      await after.reconciler.reconcileOnce(never);
      expect(engine.arrived).toBe(1);
    },
  );

  it('an engine that restarts during a load and returns with old weights gets a new command', async () => {
    const gate = new TestGate();
    const engine = new TestEngine('strict', () => gate.opened);
    const sidecar = createSidecar(engine);
    control.desired = 'w2';
    sidecar.feed.sync();
    const ended = sidecar.reconciler.reconcileOnce(never);
    await waitFor(() => engine.arrived === 1);
    engine.incarnation = 'engine-b';
    engine.highestFence = 0n;
    gate.open();
    await ended;
    expect(sidecar.isHeld).toBe(true);
    await sidecar.reconciler.reconcileOnce(never);
    expect(sidecar.isHeld).toBe(false);
    await sidecar.reconciler.reconcileOnce(never);
    expect(listVersions(engine)).toEqual(['w2']);
    expect(engine.arrived).toBe(2);
  });

  it.each([
    ['strict', 'waits for a slot'],
    ['strict', 'has read the engine'],
    ['ignore', 'waits for a slot'],
    ['ignore', 'has read the engine'],
  ] as const)(
    'an old process (engine %s) that was frozen while it %s loads no older weights',
    async (mode, stage) => {
      const engine = new TestEngine(mode);
      const frozen = createSidecar(engine, 1);
      clock.advance(WEIGHTS_TIMINGS.startWaitMs);
      control.desired = 'w2';
      frozen.feed.sync();
      const gate = new TestGate();
      frozen[stage === 'waits for a slot' ? 'slotWait' : 'checkWait'] = gate.opened;
      const woken = frozen.reconciler.reconcileOnce(never);
      await delay(5);
      clock.advance(FRESHNESS_LIMIT_MS);
      control.desired = 'w3';
      const successor = createSidecar(engine, 2);
      // Within 3 s the slot of the frozen process is still leased: only its stale copy stops it.
      clock.advance(mode === 'ignore' ? WEIGHTS_TIMINGS.startWaitMs : 0);
      successor.feed.sync();
      await successor.reconciler.reconcileOnce(never);
      gate.open();
      await woken;
      expect(engine.arrived).toBe(1);
      expect(listVersions(engine)).toEqual(['w3']);
    },
  );

  it.each([
    ['strict', ['w3']],
    ['ignore', ['w3', 'w2', 'w3']],
  ] as const)(
    'an engine (%s) that gets a command from the network late ends with the newest weights',
    async (mode, expected) => {
      const sidecar = createSidecar(new TestEngine(mode));
      clock.advance(WEIGHTS_TIMINGS.startWaitMs);
      control.desired = 'w3';
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
    TestEngine.loading = 0;
    TestEngine.mostLoading = 0;
  });

  it('stops when its slot lease ends during a load, and does not repeat the command', async () => {
    const gate = new TestGate();
    const control = new TestControl(clock);
    const engine = new TestEngine('strict', () => gate.opened);
    const timings = { ...FAST, leaseMs: 500, renewMs: 20 };
    const sidecar = new TestSidecar('e1', 1, control, engine, clock, timings);
    control.desired = 'w2';
    sidecar.feed.sync();
    const ended = sidecar.reconciler.reconcileOnce(never);
    await waitFor(() => engine.arrived === 1);
    control.isReachable = false;
    await ended;
    control.isReachable = true;
    await sidecar.reconciler.reconcileOnce(never);
    expect(sidecar.isHeld).toBe(true);
    gate.open();
    await waitFor(() => engine.loaded.length === 1);
    await sidecar.reconciler.reconcileOnce(never);
    await sidecar.reconciler.reconcileOnce(never);
    expect(sidecar.isHeld).toBe(false);
    expect(engine.arrived).toBe(1);
  });

  it('keeps the slot for a load that takes longer than the lease', async () => {
    const control = new TestControl(clock);
    const engine = new TestEngine('strict', () => delay(1_600));
    const timings = { ...FAST, leaseMs: 1_000, renewMs: 20 };
    const sidecar = new TestSidecar('e1', 1, control, engine, clock, timings);
    control.desired = 'w2';
    sidecar.feed.sync();
    const pauseMs = await sidecar.reconciler.reconcileOnce(never);
    expect(pauseMs).toBe(FAST.pollMs);
    expect(listVersions(engine)).toEqual(['w2']);
  });

  it('never takes both of two engines out of service, and changes both in the end', async () => {
    const control = new TestControl(clock);
    const stop = new AbortController();
    const pair = [1, 2].map((id) => {
      const engine = new TestEngine('strict', () => delay(30));
      return new TestSidecar(`e${id}`, id, control, engine, clock, FAST);
    });
    for (const sidecar of pair) {
      sidecar.getPeers = () => {
        const other = pair.find((candidate) => candidate !== sidecar);
        return { known: 1, serving: other?.isHeld === false ? 1 : 0 };
      };
    }
    control.desired = 'w2';
    const syncing = keepSynced(pair);
    const running = pair.map(({ reconciler }) => reconciler.run(stop.signal));
    await waitFor(() => pair.every(({ engine }) => engine.weightsVersion === 'w2'));
    stop.abort();
    clearInterval(syncing);
    await Promise.all(running);
    expect(TestEngine.mostLoading).toBe(1);
  });

  it('loads 13 engines two at a time with a bounded number of commands to the leader', async () => {
    const control = new TestControl(clock);
    const stop = new AbortController();
    setMaxListeners(0, stop.signal);
    const sidecars = Array.from({ length: 13 }, (_, index) => {
      const engine = new TestEngine('strict', () => delay(30));
      return new TestSidecar(`e${index}`, index, control, engine, clock, FAST);
    });
    control.desired = 'w2';
    const syncing = keepSynced(sidecars);
    const running = sidecars.map(({ reconciler }) => reconciler.run(stop.signal));
    await waitFor(() => sidecars.every(({ engine }) => engine.weightsVersion === 'w2'));
    stop.abort();
    clearInterval(syncing);
    await Promise.all(running);
    expect(TestEngine.mostLoading).toBe(2);
    expect(sidecars.map(({ engine }) => engine.arrived)).toEqual(sidecars.map(() => 1));
    expect(control.commands).toBeLessThan(13 * 15);
  });
});
