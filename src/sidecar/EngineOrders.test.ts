import { once } from 'node:events';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { Engine } from '../../fakes/Engine.js';
import { createEngineServer } from '../../fakes/EngineServer.js';
import { ManualClock } from '../common/Clock.js';
import { SILENT_LOG } from '../common/Log.js';
import { Agent } from 'undici';
import { EngineOrders } from './EngineOrders.js';
import { TargetWatcher } from './TargetWatcher.js';

const never = new AbortController().signal;
const servers: Server[] = [];

async function startEngine(fencing: 'strict' | 'ignore', loadMs = 1): Promise<Engine> {
  const engine = new Engine({
    model: 'm',
    weightsVersion: 'w1',
    prefillTokensPerSecond: 40_000,
    decodeMs: 1,
    maxRunning: 4,
    fencing,
    loadLagMs: 0,
    loadMs,
    cache: { capacityChunks: 8, idleEvictionMs: 5_000, eventDelayMs: 0, eventLoss: 0 },
  });
  const server = createEngineServer(engine, () => undefined);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  servers.push(server);
  return engine;
}

function connect(): EngineOrders {
  const { port } = servers.at(-1)?.address() as AddressInfo;
  return new EngineOrders(`127.0.0.1:${port}`, '/health');
}

afterEach(() => {
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

describe('EngineOrders', () => {
  it('loads weights once and reports what an engine refuses', async () => {
    const engine = await startEngine('strict');
    const orders = connect();
    const expected = await orders.readState(never);
    if (expected === undefined) {
      throw new Error('the engine does not answer');
    }
    const order = { expected, version: 'w2', fence: 7n };
    expect(await orders.load(order, () => true, never)).toEqual({ kind: 'done' });
    const repeated = await orders.load(order, () => true, never);
    expect(repeated.kind).toBe('not_sent');
    const found = { incarnation: engine.incarnation, weightsVersion: 'w2', highestFence: 7n };
    const outdated = { expected: found, version: 'w1', fence: 6n };
    const refused = await orders.load(outdated, () => true, never);
    expect(refused).toEqual({ kind: 'refused', highestFence: 7n });
    expect(engine.orders.map(({ version }) => version)).toEqual(['w2']);
  });

  it('sends nothing to another life of the engine or when the right to send has ended', async () => {
    const engine = await startEngine('ignore');
    const orders = connect();
    const state = { incarnation: engine.incarnation, weightsVersion: 'w1', highestFence: 0n };
    const other = { ...state, incarnation: 'earlier' };
    const sent = [
      await orders.load({ expected: other, version: 'w2', fence: 7n }, () => true, never),
      await orders.load({ expected: state, version: 'w2', fence: 7n }, () => false, never),
    ];
    expect(sent.map(({ kind }) => kind)).toEqual(['not_sent', 'not_sent']);
    expect(engine.orders).toEqual([]);
  });

  it('does not take a broken connection for "not loaded"', async () => {
    const engine = await startEngine('strict', 60_000);
    const orders = connect();
    const state = { incarnation: engine.incarnation, weightsVersion: 'w1', highestFence: 0n };
    const loading = orders.load({ expected: state, version: 'w2', fence: 7n }, () => true, never);
    while (engine.highestFence === 0) {
      await new Promise((resolve) => setTimeout(resolve, 2));
    }
    servers[0]?.closeAllConnections();
    expect((await loading).kind).toBe('unknown');
  });
});

describe('TargetWatcher', () => {
  it('forgets the chunks of the old weights, so that none is announced or kept for the new ones', async () => {
    const engine = await startEngine('strict');
    const { port } = servers.at(-1)?.address() as AddressInfo;
    const address = `127.0.0.1:${port}`;
    const http = new Agent();
    const clock = new ManualClock();
    const target = { id: 't', service: 's', kind: 'engine', address, model: 'm' } as const;
    const watcher = new TargetWatcher(
      { ...target, healthPath: '/health' },
      http,
      clock,
      SILENT_LOG,
    );
    engine.importChunk('00aa');
    await watcher.pollOnce(never);
    expect(watcher.hot.isHeld('00aa')).toBe(true);
    clock.advance(60_000);
    expect(watcher.hot.list(1, clock.now())).toEqual(['00aa']);
    await engine.loadWeights(7, 'w2');
    await watcher.pollOnce(never);
    expect(watcher.hot.list(1, clock.now())).toEqual([]);
    engine.importChunk('00bb');
    await watcher.pollOnce(never);
    expect(watcher.hot.isHeld('00bb')).toBe(true);
    await http.destroy();
  });
});
