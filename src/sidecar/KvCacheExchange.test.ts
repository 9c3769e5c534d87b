import { create } from '@bufbuild/protobuf';
import fc from 'fast-check';
import { once } from 'node:events';
import type { RequestListener, Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Agent } from 'undici';
import { afterEach, describe, expect, it } from 'vitest';
import { Engine } from '../../fakes/Engine.js';
import { hashPrompt } from '../../fakes/EngineCache.js';
import { createEngineServer } from '../../fakes/EngineServer.js';
import { createKvStoreServer } from '../../fakes/StoreServers.js';
import { ManualClock } from '../common/Clock.js';
import { SILENT_LOG } from '../common/Log.js';
import { Chooser } from '../entry/Chooser.js';
import { AnnounceRequestSchema } from '../gen/redwingwharf/v1/control_pb.js';
import { createPolicy } from '../policy/CreatePolicy.js';
import { Roster } from '../roster/Roster.js';
import { EngineOrders } from './EngineOrders.js';
import { HotChunks } from './HotChunks.js';
import { KvCacheExchange } from './KvCacheExchange.js';
import { KvCacheStore } from './KvCacheStore.js';

const never = new AbortController().signal;
const CHUNK_BYTES = 8_000;
const PROMPTS = ['a', 'b', 'c', 'd'].map((letter) => letter.repeat(5 * CHUNK_BYTES + 400));
const HOT_MS = 8_000;

const servers: Server[] = [];
const agents: Agent[] = [];

async function listen(server: Server): Promise<string> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  servers.push(server);
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

interface IStore {
  readonly address: string;
  readonly requests: string[];
  mostAtOnce: number;
}

async function startStore(): Promise<IStore> {
  const server = createKvStoreServer(1_000);
  const [handle] = server.listeners('request') as RequestListener[];
  const store = { address: '', requests: [] as string[], mostAtOnce: 0 };
  let atOnce = 0;
  server.removeAllListeners('request');
  server.on('request', (request, response) => {
    store.requests.push(`${request.method ?? ''} ${request.url ?? ''}`);
    atOnce += 1;
    store.mostAtOnce = Math.max(store.mostAtOnce, atOnce);
    response.on('close', () => {
      atOnce -= 1;
    });
    handle?.(request, response);
  });
  store.address = await listen(server);
  return store;
}

interface IEngineSide {
  readonly engine: Engine;
  readonly exchange: KvCacheExchange;
  readonly hot: HotChunks;
  readonly clock: ManualClock;
  /** Runs after the round has read the engine's state. */
  afterRead: () => void;
}

async function startSide(
  id: string,
  store: IStore,
  weightsVersion = 'w1',
  hot = new HotChunks(),
): Promise<IEngineSide> {
  const engine = new Engine({
    model: 'm',
    weightsVersion,
    prefillTokensPerSecond: 10_000_000,
    decodeMs: 1,
    maxRunning: 4,
    fencing: 'strict',
    loadLagMs: 0,
    loadMs: 1,
    cache: { capacityChunks: 200, idleEvictionMs: 600_000, eventDelayMs: 0, eventLoss: 0 },
  });
  const address = await listen(createEngineServer(engine, () => undefined));
  const http = new Agent();
  agents.push(http);
  const clock = new ManualClock();
  const listPeers = (): Promise<string[]> => {
    side.afterRead();
    return Promise.resolve(['e1', 'e2'].filter((peer) => peer !== id));
  };
  const exchange = new KvCacheExchange(
    { id, address, listPeers },
    {
      store: new KvCacheStore(store.address, 'm', http),
      engine: new EngineOrders(address, '/health'),
      hot,
      http,
      clock,
      log: SILENT_LOG,
    },
  );
  const side = { engine, exchange, hot, clock, afterRead: (): void => undefined };
  return side;
}

/** Sends each prompt once; returns the tokens that the engine had to compute. */
async function computePrompts(engine: Engine): Promise<number> {
  let computed = 0;
  for (const prompt of PROMPTS) {
    const stream = engine.generate({
      requestId: 'r',
      prompt,
      cacheSalt: 'salt',
      priority: 0,
      maxTokens: 1,
    });
    for await (const event of stream.readAfter(0)) {
      const [, total, cached] =
        /"prompt_tokens":(\d+).*"cached_tokens":(\d+)/.exec(event) ?? ([] as string[]);
      computed += Number(total ?? 0) - Number(cached ?? 0);
    }
  }
  return computed;
}

/** Makes what the engine holds hot. */
function warmHot(side: IEngineSide): void {
  const events = side.engine.listEvents(0) as Parameters<HotChunks['apply']>[0];
  side.hot.apply(events, side.clock.now());
  side.clock.advance(HOT_MS);
}

afterEach(async () => {
  await Promise.all(agents.splice(0).map((agent) => agent.destroy()));
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

describe('KvCacheExchange', () => {
  it('spares an empty engine the recomputation of hot prefixes, within the bandwidth bounds', async () => {
    const store = await startStore();
    const warm = await startSide('e1', store);
    const coldTokens = await computePrompts(warm.engine);
    warmHot(warm);
    const startedAt = performance.now();
    expect(await warm.exchange.exchangeOnce(never)).toEqual({ imported: 0, exported: 20 });
    expect(performance.now() - startedAt).toBeGreaterThan(850);
    expect(await warm.exchange.exchangeOnce(never)).toEqual({ imported: 0, exported: 0 });
    const empty = await startSide('e2', store);
    expect(await empty.exchange.exchangeOnce(never)).toEqual({ imported: 20, exported: 0 });
    expect(store.mostAtOnce).toBeLessThanOrEqual(2);
    expect(coldTokens).toBe(40_400);
    expect(await computePrompts(empty.engine)).toBe(400);
  });

  it('fills an engine that returned empty from what its own sidecar exported', async () => {
    const store = await startStore();
    const before = await startSide('e1', store);
    await computePrompts(before.engine);
    warmHot(before);
    await before.exchange.exchangeOnce(never);
    before.hot.release();
    const after = await startSide('e1', store, 'w1', before.hot);
    expect((await after.exchange.exchangeOnce(never)).imported).toBe(20);
  });

  it('imports nothing of other weights', async () => {
    const store = await startStore();
    const warm = await startSide('e1', store);
    await computePrompts(warm.engine);
    warmHot(warm);
    await warm.exchange.exchangeOnce(never);
    const newer = await startSide('e2', store, 'w2');
    expect((await newer.exchange.exchangeOnce(never)).imported).toBe(0);
    const foreign = store.requests.filter((request) => request.includes('/w2/chunks/'));
    expect(foreign).toEqual([]);
  });

  it('keeps no chunk in the store when the weights changed while it was read', async () => {
    const store = await startStore();
    const side = await startSide('e1', store);
    await computePrompts(side.engine);
    warmHot(side);
    const [hash = ''] = side.hot.list(1, side.clock.now());
    side.afterRead = () => {
      side.engine.highestFence = 7;
    };
    expect((await side.exchange.exchangeOnce(never)).exported).toBe(0);
    const kept = await fetch(`http://${store.address}/m/w1/chunks/${hash}`);
    expect(kept.status).toBe(404);
  });
});

describe('chunk hashes', () => {
  function chooseChain(clientAccount: string, weightsVersion: string, prompt: string): string[] {
    const roster = new Roster();
    const announcement = create(AnnounceRequestSchema, {
      target: 't',
      service: 's',
      model: 'm',
      healthy: true,
      weightsVersion,
    });
    roster.announce(announcement, 0);
    const chooser = new Chooser(roster, () => createPolicy('default', 'd'), 'secret');
    const choice = chooser.choose(
      {
        requestId: 'r',
        clientAccount,
        service: 's',
        model: 'm',
        prompt: Buffer.from(prompt),
        promptTokens: prompt.length / 4,
        priority: 0,
        deadlineMs: 1_000,
      },
      new Set(),
      0,
    );
    chooser.dispose();
    const chain = [...(choice?.routeRequest.chain ?? [])];
    expect(hashPrompt(choice?.cacheSalt ?? '', prompt)).toEqual(chain);
    return chain;
  }

  it('have none in common between client accounts or weights versions, so no entry crosses', () => {
    const prompt = 'shared standard '.repeat(1_500);
    const scope = fc.record({ account: fc.string(), version: fc.string() });
    fc.assert(
      fc.property(scope, scope, (left, right) => {
        fc.pre(left.account !== right.account || left.version !== right.version);
        const leftChain = chooseChain(left.account, left.version, prompt);
        const rightChain = new Set(chooseChain(right.account, right.version, prompt));
        expect(leftChain).toHaveLength(3);
        expect(leftChain.filter((hash) => rightChain.has(hash))).toEqual([]);
      }),
      { numRuns: 50 },
    );
  });
});
