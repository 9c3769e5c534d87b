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
import { TargetChooser } from '../entry/TargetChooser.js';
import { AnnounceRequestSchema } from '../gen/redwingwharf/v1/control_pb.js';
import { createPolicy } from '../policy/CreatePolicy.js';
import { Roster } from '../roster/Roster.js';
import { EngineClient } from './EngineClient.js';
import { HotChunks } from './HotChunks.js';
import { KvCacheExchange } from './KvCacheExchange.js';
import { KvCacheStore } from './KvCacheStore.js';

const never = new AbortController().signal;
const CHUNK_BYTES = 8_000;
const PROMPTS = ['a', 'b', 'c', 'd'].map((letter) => letter.repeat(5 * CHUNK_BYTES + 400));
const HOT_AGE_MS = 8_000;

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
  maxConcurrent: number;
}

async function startStore(): Promise<IStore> {
  const server = createKvStoreServer(1_000);
  const [handle] = server.listeners('request') as RequestListener[];
  const store = { address: '', requests: [] as string[], maxConcurrent: 0 };
  let concurrent = 0;
  server.removeAllListeners('request');
  server.on('request', (request, response) => {
    store.requests.push(`${request.method ?? ''} ${request.url ?? ''}`);
    concurrent += 1;
    store.maxConcurrent = Math.max(store.maxConcurrent, concurrent);
    response.on('close', () => {
      concurrent -= 1;
    });
    handle?.(request, response);
  });
  store.address = await listen(server);
  return store;
}

interface IEngineFixture {
  readonly engine: Engine;
  readonly exchange: KvCacheExchange;
  readonly hotChunks: HotChunks;
  readonly clock: ManualClock;
  /** Called after the round has read the engine's state. */
  afterRead: () => void;
}

async function startEngineFixture(
  id: string,
  store: IStore,
  weightsVersion = 'w1',
  hotChunks = new HotChunks(),
): Promise<IEngineFixture> {
  const engine = new Engine({
    model: 'm',
    weightsVersion,
    prefillTokensPerSecond: 10_000_000,
    tokenIntervalMs: 1,
    maxRunning: 4,
    fencing: 'strict',
    loadLagMs: 0,
    loadMs: 1,
    cache: { capacityChunks: 200, idleEvictionMs: 600_000, eventDelayMs: 0, eventLossRatio: 0 },
  });
  const address = await listen(createEngineServer(engine, () => undefined));
  const http = new Agent();
  agents.push(http);
  const clock = new ManualClock();
  const listPeers = (): Promise<string[]> => {
    fixture.afterRead();
    return Promise.resolve(['e1', 'e2'].filter((peer) => peer !== id));
  };
  const exchange = new KvCacheExchange(
    { id, address, listPeers },
    {
      store: new KvCacheStore(store.address, 'm', http),
      engine: new EngineClient(address, '/health'),
      hotChunks,
      http,
      clock,
      log: SILENT_LOG,
    },
  );
  const fixture = { engine, exchange, hotChunks, clock, afterRead: (): void => undefined };
  return fixture;
}

/** Sends each prompt once. Returns the number of prompt tokens that the engine had to compute. */
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

/** Advances the clock until all chunks that the engine holds count as hot. */
function markHot(fixture: IEngineFixture): void {
  const events = fixture.engine.listEvents(0) as Parameters<HotChunks['apply']>[0];
  fixture.hotChunks.apply(events, fixture.clock.now());
  fixture.clock.advance(HOT_AGE_MS);
}

afterEach(async () => {
  await Promise.all(agents.splice(0).map((agent) => agent.destroy()));
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

describe('KvCacheExchange', () => {
  it('saves an empty engine the recomputation of hot prefixes, within the bandwidth bounds', async () => {
    const store = await startStore();
    const warm = await startEngineFixture('e1', store);
    const coldTokens = await computePrompts(warm.engine);
    markHot(warm);
    const startedAt = performance.now();
    expect(await warm.exchange.exchangeOnce(never)).toEqual({ imported: 0, exported: 20 });
    expect(performance.now() - startedAt).toBeGreaterThan(850);
    expect(await warm.exchange.exchangeOnce(never)).toEqual({ imported: 0, exported: 0 });
    const empty = await startEngineFixture('e2', store);
    expect(await empty.exchange.exchangeOnce(never)).toEqual({ imported: 20, exported: 0 });
    expect(store.maxConcurrent).toBeLessThanOrEqual(2);
    expect(coldTokens).toBe(40_400);
    expect(await computePrompts(empty.engine)).toBe(400);
  });

  it('imports what the same sidecar exported after its engine restarted with an empty cache', async () => {
    const store = await startStore();
    const before = await startEngineFixture('e1', store);
    await computePrompts(before.engine);
    markHot(before);
    await before.exchange.exchangeOnce(never);
    before.hotChunks.markAllEvicted();
    const after = await startEngineFixture('e1', store, 'w1', before.hotChunks);
    expect((await after.exchange.exchangeOnce(never)).imported).toBe(20);
  });

  it('does not import chunks of other weights', async () => {
    const store = await startStore();
    const warm = await startEngineFixture('e1', store);
    await computePrompts(warm.engine);
    markHot(warm);
    await warm.exchange.exchangeOnce(never);
    const newer = await startEngineFixture('e2', store, 'w2');
    expect((await newer.exchange.exchangeOnce(never)).imported).toBe(0);
    const foreign = store.requests.filter((request) => request.includes('/w2/chunks/'));
    expect(foreign).toEqual([]);
  });

  it('stores no chunk when the engine received a load command while the chunk was read', async () => {
    const store = await startStore();
    const fixture = await startEngineFixture('e1', store);
    await computePrompts(fixture.engine);
    markHot(fixture);
    const [hash = ''] = fixture.hotChunks.list(1, fixture.clock.now());
    fixture.afterRead = () => {
      fixture.engine.highestFence = 7;
    };
    expect((await fixture.exchange.exchangeOnce(never)).exported).toBe(0);
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
    const chooser = new TargetChooser(roster, () => createPolicy('default', 'd'), 'secret');
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

  it('differ between client accounts and between weights versions, so no cached chunk is shared', () => {
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
