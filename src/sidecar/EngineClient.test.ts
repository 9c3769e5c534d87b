import { once } from 'node:events';
import type { Server } from 'node:http';
import { createServer, type AddressInfo, type Server as RawServer } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { Engine } from '../../fakes/Engine.js';
import { createEngineServer } from '../../fakes/EngineServer.js';
import { ManualClock } from '../common/Clock.js';
import { SILENT_LOG } from '../common/Log.js';
import { Agent } from 'undici';
import { EngineClient } from './EngineClient.js';
import { TargetWatcher } from './TargetWatcher.js';

const never = new AbortController().signal;
const servers: Server[] = [];
const rawServers: RawServer[] = [];

async function startEngine(fencing: 'strict' | 'ignore', loadMs = 1): Promise<Engine> {
  const engine = new Engine({
    model: 'm',
    weightsVersion: 'w1',
    prefillTokensPerSecond: 40_000,
    tokenIntervalMs: 1,
    maxRunning: 4,
    fencing,
    loadLagMs: 0,
    loadMs,
    cache: { capacityChunks: 8, idleEvictionMs: 5_000, eventDelayMs: 0, eventLossRatio: 0 },
  });
  const server = createEngineServer(engine, () => undefined);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  servers.push(server);
  return engine;
}

function connect(): EngineClient {
  const { port } = servers.at(-1)?.address() as AddressInfo;
  return new EngineClient(`127.0.0.1:${port}`, '/health');
}

afterEach(() => {
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
  for (const server of rawServers.splice(0)) {
    server.close();
  }
});

describe('EngineClient', () => {
  it('loads weights once and reports when the engine refuses an outdated fencing token', async () => {
    const engine = await startEngine('strict');
    const client = connect();
    const expected = await client.readState(never);
    if (expected === undefined) {
      throw new Error('the engine does not answer');
    }
    const command = { expected, version: 'w2', fence: 7n };
    expect(await client.loadWeights(command, () => true, never)).toEqual({ kind: 'done' });
    const repeated = await client.loadWeights(command, () => true, never);
    expect(repeated.kind).toBe('not_sent');
    const found = { incarnation: engine.incarnation, weightsVersion: 'w2', highestFence: 7n };
    const outdated = { expected: found, version: 'w1', fence: 6n };
    const refused = await client.loadWeights(outdated, () => true, never);
    expect(refused).toEqual({ kind: 'refused', highestFence: 7n });
    expect(engine.orders.map(({ version }) => version)).toEqual(['w2']);
  });

  it('sends nothing to another incarnation of the engine or when `maySend` returns false', async () => {
    const engine = await startEngine('ignore');
    const client = connect();
    const state = { incarnation: engine.incarnation, weightsVersion: 'w1', highestFence: 0n };
    const other = { ...state, incarnation: 'earlier' };
    const sent = [
      await client.loadWeights({ expected: other, version: 'w2', fence: 7n }, () => true, never),
      await client.loadWeights({ expected: state, version: 'w2', fence: 7n }, () => false, never),
    ];
    expect(sent.map(({ kind }) => kind)).toEqual(['not_sent', 'not_sent']);
    expect(engine.orders).toEqual([]);
  });

  it('reports the outcome as unknown, not as failed, when the connection breaks during a load', async () => {
    const engine = await startEngine('strict', 60_000);
    const client = connect();
    const state = { incarnation: engine.incarnation, weightsVersion: 'w1', highestFence: 0n };
    const loading = client.loadWeights(
      { expected: state, version: 'w2', fence: 7n },
      () => true,
      never,
    );
    while (engine.highestFence === 0) {
      await new Promise((resolve) => setTimeout(resolve, 2));
    }
    servers[0]?.closeAllConnections();
    expect((await loading).kind).toBe('unknown');
  });
});

describe('a faulty engine', () => {
  const state = { incarnation: 'e1', weightsVersion: 'w1', highestFence: 0n };
  const reply = '{"incarnation":"e1","weights_version":"w1","highest_fence":0}';
  const answer = `HTTP/1.1 200 OK\r\nContent-Length: ${reply.length}\r\n\r\n${reply}`;

  /** Starts an engine that writes what `respond` returns for the first line of each request. */
  async function startRaw(respond: (requestLine: string) => string): Promise<EngineClient> {
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', (chunk) => {
        const requestLine = /^(?:GET|POST) .*/.exec(chunk.toString())?.[0];
        if (requestLine !== undefined) {
          socket.write(respond(requestLine));
        }
      });
    });
    rawServers.push(server);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    return new EngineClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, '/health');
  }

  // The state is read on the connection of the command: its answer, written once more, is no proof of a load.
  it('has the outcome of a load unknown when it repeats its answer to the request before', async () => {
    const client = await startRaw(() => answer);
    const outcome = await client.loadWeights(
      { expected: state, version: 'w2', fence: 7n },
      () => true,
      never,
    );
    expect(outcome.kind).toBe('unknown');
  });

  // Without a bound the process took as many bytes as the engine could send within the time limit.
  it('cannot fill the memory with an answer without end', async () => {
    let sentBytes = 0;
    const server = createServer((socket) => {
      const chunk = Buffer.alloc(65_536, ' ');
      const write = (): void => {
        while (!socket.destroyed && socket.write(chunk)) {
          sentBytes += chunk.length;
        }
      };
      socket.on('error', () => undefined);
      socket.on('drain', write);
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n', write);
      });
    });
    rawServers.push(server);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    expect(await new EngineClient(address, '/health').readState(never)).toBeUndefined();
    const http = new Agent();
    const target = { id: 't', service: 's', kind: 'engine', address, model: 'm' } as const;
    const settings = { ...target, healthPath: '/health' };
    const watcher = new TargetWatcher(settings, http, new ManualClock(), SILENT_LOG);
    await expect(watcher.pollOnce(never)).rejects.toThrow('exceeds');
    await http.destroy();
    expect(sentBytes).toBeLessThan(64 * 1024 * 1024);
  });
});

describe('TargetWatcher', () => {
  it('removes the chunks of the old weights, so that none is announced or counted for the new ones', async () => {
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
    expect(watcher.hotChunks.isCached('00aa')).toBe(true);
    clock.advance(60_000);
    expect(watcher.hotChunks.list(1, clock.now())).toEqual(['00aa']);
    await engine.loadWeights(7, 'w2');
    await watcher.pollOnce(never);
    expect(watcher.hotChunks.list(1, clock.now())).toEqual([]);
    engine.importChunk('00bb');
    await watcher.pollOnce(never);
    expect(watcher.hotChunks.isCached('00bb')).toBe(true);
    await http.destroy();
  });
});
