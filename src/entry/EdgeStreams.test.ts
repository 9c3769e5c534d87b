import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import { sendJson } from '../../fakes/Http.js';
import type { Engine } from '../../fakes/Engine.js';
import { EdgeHarness, formatCompletion, waitFor, type FakeTarget } from './EdgeHarness.js';

let harness: EdgeHarness;

/** Ids of the events in the order of their arrival. */
function listEventIds(stream: string): number[] {
  return [...stream.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
}

/** Expects the tokens, the usage and the final event, each once and in order. */
function expectComplete(stream: string, tokens: number): void {
  expect(listEventIds(stream)).toEqual(Array.from({ length: tokens + 2 }, (_, index) => index + 1));
  expect(stream.endsWith('data: [DONE]\n\n')).toBe(true);
}

/** Waits for an engine that is generating. */
async function awaitBusyEngine(): Promise<FakeTarget & { readonly engine: Engine }> {
  let busy: FakeTarget | undefined;
  await waitFor('a busy engine', () => {
    busy = harness.targets.find(({ engine }) => (engine?.reportLoad().running ?? 0) > 0);
    return busy !== undefined;
  });
  return busy as FakeTarget & { readonly engine: Engine };
}

async function openStream(tokens: number): ReturnType<EdgeHarness['open']> {
  return harness.open('/v1/completions', { method: 'POST', body: formatCompletion(tokens) });
}

/** Creates an engine that sends events as fast as they are read and counts their bytes. */
function createFloodEngine(count: { sent: number }): Server {
  const data = 'x'.repeat(16 * 1024);
  return createServer((request, response) => {
    if (request.method === 'GET') {
      const isEvents = request.url?.startsWith('/events') === true;
      const load = {
        queued: 0,
        running: 0,
        queued_prompt_tokens: 0,
        free_blocks: 9,
        total_blocks: 9,
      };
      const health = { incarnation: 'flood', weights_version: 'w1', events: [] };
      sendJson(response, 200, isEvents ? health : { ...health, ...load });
      return;
    }
    request.resume();
    response.writeHead(200, { 'content-type': 'text/event-stream', 'x-stream-id': 'flood' });
    const closed = new AbortController();
    response.once('close', () => {
      closed.abort();
    });
    const send = async (): Promise<void> => {
      for (let id = 1; !response.destroyed; id++) {
        const event = `id: ${id}\ndata: {"text":"${data}"}\n\n`;
        count.sent += event.length;
        if (!response.write(event)) {
          await once(response, 'drain', { signal: closed.signal }).catch(() => undefined);
        }
      }
    };
    void send();
  });
}

describe('a stream of the only engine', () => {
  beforeAll(async () => {
    harness = await EdgeHarness.start({ engines: [{ tokenIntervalMs: 5 }], plainTargets: 0 });
  });

  afterAll(async () => {
    await harness.dispose();
  });

  it('resumes without a lost or duplicated event when the engine breaks the connection', async () => {
    const response = await openStream(200);
    const text = response.body.text();
    const engine = await awaitBusyEngine();
    for (let cut = 0; cut < 3; cut++) {
      await new Promise((resolve) => setTimeout(resolve, 150));
      engine.cutConnections();
    }
    expectComplete(await text, 200);
  });

  // Guards against a stream that is lost because its configuration has changed since it began.
  it('resumes after a change of the configuration', async () => {
    const response = await openStream(200);
    const text = response.body.text();
    const engine = await awaitBusyEngine();
    await harness.addAccount('pag', 2e8);
    await new Promise((resolve) => setTimeout(resolve, 300));
    engine.cutConnections();
    expectComplete(await text, 200);
  });

  it('is cancelled at the engine when the caller disconnects, so that no work is wasted', async () => {
    const response = await openStream(100_000);
    const { engine } = await awaitBusyEngine();
    response.body.on('error', () => undefined).destroy();
    await waitFor('the end of the generation', () => engine.reportLoad().running === 0);
    expect(engine.reportLoad().running).toBe(0);
  });

  it('ends with an error event when the engine stops', async () => {
    const response = await openStream(1_000);
    const text = response.body.text();
    (await awaitBusyEngine()).stop();
    const stream = await text;
    expect(stream).toMatch(/event: error\ndata: {"error":{"type":"server_error","code":"stream_br/);
    expect(stream).not.toContain('[DONE]');
    const ids = listEventIds(stream);
    expect(ids).toEqual(ids.map((_, index) => index + 1));
  });
});

describe('a stream', () => {
  afterEach(async () => {
    await harness.dispose();
  });

  it('starts on another engine when the first one stops before the first event', async () => {
    // 600 tokens at 400 tokens/s: the prompt takes 1.5 s.
    const slow = { prefillTokensPerSecond: 400 };
    harness = await EdgeHarness.start({ engines: [slow, slow], plainTargets: 0 });
    const body = formatCompletion(5, { prompt: 'word '.repeat(480) });
    const opened = harness.open('/v1/completions', { method: 'POST', body });
    (await awaitBusyEngine()).stop();
    const response = await opened;
    expectComplete(await response.body.text(), 5);
  });

  it('buffers a bounded number of bytes for a caller that does not read', async () => {
    const count = { sent: 0 };
    harness = await EdgeHarness.start({ engines: [createFloodEngine(count)], plainTargets: 0 });
    const response = await openStream(1_000);
    let last = -1;
    await waitFor('the engine to be stalled by back-pressure', async () => {
      const isStalled = count.sent > 0 && count.sent === last;
      last = count.sent;
      await new Promise((resolve) => setTimeout(resolve, 300));
      return isStalled;
    });
    // Room for the buffers of four loopback connections; without back-pressure the count grows by 100 MB/s.
    expect(count.sent).toBeLessThan(64 * 1024 * 1024);
    expect(harness.entries[0]?.role.entry.bufferedBytes).toBeLessThan(1024 * 1024);
    response.body.on('error', () => undefined).destroy();
  });
});
