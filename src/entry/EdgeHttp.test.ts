import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import fc from 'fast-check';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { EdgeHarness, formatCompletion, waitFor } from './EdgeHarness.js';

/** A raw connection that is idle for longer is destroyed. */
const IDLE_TIMEOUT_MS = 10_000;

let harness: EdgeHarness;

beforeAll(async () => {
  const limits = { headerTimeoutMs: 1_000, bodyTimeoutMs: 1_000 };
  harness = await EdgeHarness.start({ overrides: { limits } });
});

afterAll(async () => {
  await harness.dispose();
});

function open(): Socket {
  const socket = connect(harness.entries[0]?.port ?? 0, '127.0.0.1');
  // The entry may break the connection, which is not an error here.
  socket.on('error', () => undefined);
  return socket;
}

/**
 * Sends the parts one after another and returns everything received until the entry closed the connection,
 * which it does at the latest after the sending side has ended.
 */
async function sendRaw(
  parts: readonly (string | Uint8Array)[],
  options: { readonly pauseMs?: number; readonly endsSending?: boolean } = {},
): Promise<string> {
  const { pauseMs = 0, endsSending = true } = options;
  const socket = open();
  const received: Buffer[] = [];
  socket.on('data', (data) => received.push(data));
  const closed = new Promise<void>((resolve) => {
    socket.once('close', () => {
      resolve();
    });
    socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy());
  });
  for (const part of parts) {
    if (!socket.destroyed) {
      socket.write(part);
    }
    if (pauseMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, pauseMs));
    }
  }
  if (endsSending) {
    socket.end();
  }
  await closed;
  return Buffer.concat(received).toString('latin1');
}

/** Splits the received text into responses by their content-length. */
function splitResponses(text: string): { head: string; body: string }[] {
  const responses: { head: string; body: string }[] = [];
  let rest = text;
  while (rest !== '') {
    const end = rest.indexOf('\r\n\r\n') + 4;
    const head = rest.slice(0, end);
    const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
    responses.push({ head, body: rest.slice(end, end + length) });
    expect(rest.length, `a whole response in ${rest.slice(0, 200)}`).toBeGreaterThanOrEqual(
      end + length,
    );
    rest = end < 4 ? '' : rest.slice(end + length);
  }
  return responses;
}

/** Expects each response to be a success or an error with all the documented fields; returns the statuses. */
function expectTyped(text: string): string[] {
  return splitResponses(text).map(({ head, body }) => {
    const status = /^HTTP\/1\.1 (\d{3}) /.exec(head)?.[1] ?? 'none';
    expect(status).not.toBe('none');
    if (Number(status) >= 400) {
      const { error } = JSON.parse(body) as { error: Record<string, unknown> };
      expect(Object.keys(error).sort()).toEqual(['code', 'message', 'request_id', 'type']);
      expect(head.toLowerCase()).toMatch(/\r\nx-rww-ran: (no|yes|unknown)\r\n/);
    }
    return status;
  });
}

async function expectHealthy(): Promise<void> {
  const [health, lookup] = await Promise.all([
    harness.call('/healthz', { key: undefined }),
    harness.call('/stock/linen'),
  ]);
  expect([health.status, lookup.status]).toEqual([200, 200]);
}

function formatHead(method: string, path: string, headers: Record<string, string>): string {
  const all = { host: 'entry', authorization: `Bearer ${harness.key}`, ...headers };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
  return `${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n`;
}

describe('the HTTP edge', () => {
  it('answers random bytes with typed errors only and keeps serving', async () => {
    const pieces = fc.oneof(
      fc.uint8Array({ maxLength: 200 }),
      fc.constantFrom(
        ...['GET / HTTP/1.1\r\n', 'POST /orders HTTP/1.1\r\n', 'host: a\r\n', '\r\n', '\r\n\r\n'],
        ...['transfer-encoding: chunked\r\n', 'content-length: 5\r\n', 'content-length: -1\r\n'],
        ...['expect: 100-continue\r\n', 'upgrade: websocket\r\nconnection: upgrade\r\n', '5\r\nab'],
        ...['GET //:99999/ HTTP/1.1\r\nhost: a\r\n\r\n', 'CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n'],
        ...['OPTIONS * HTTP/1.1\r\nhost: a\r\n\r\n', 'GET /%ff%00 HTTP/1.1\r\nhost: a\r\n\r\n'],
      ),
    );
    await fc.assert(
      fc.asyncProperty(fc.array(pieces, { minLength: 1, maxLength: 8 }), async (parts) => {
        expectTyped(await sendRaw(parts));
      }),
      { numRuns: 150, seed: 20_261_204 },
    );
    await expectHealthy();
  });

  it('answers any JSON and any path with a typed error or a result', async () => {
    const methods = fc.constantFrom('GET', 'POST', 'PUT', 'DELETE', 'PATCH', 'HEAD', 'OPTIONS');
    const paths = fc.constantFrom(
      ...['/v1/completions', '/v1/chat/completions', '/v1/models', '/orders', '/stock/a', '/no'],
    );
    await fc.assert(
      fc.asyncProperty(methods, paths, fc.json(), async (method, path, body) => {
        const isBare = method === 'GET' || method === 'HEAD';
        const init = { method, ...(isBare ? {} : { body }) };
        const answer = await harness.call(path, init);
        if (answer.status >= 400 && method !== 'HEAD') {
          const { error } = JSON.parse(answer.text) as { error: Record<string, unknown> };
          expect(typeof error.code).toBe('string');
          expect(answer.headers['x-rww-ran']).toMatch(/^(no|yes|unknown)$/);
        }
        expect(answer.status).not.toBe(500);
      }),
      { numRuns: 80, seed: 20_261_204 },
    );
    await expectHealthy();
  });

  it('refuses malformed and too large requests with the matching status', async () => {
    const large = 9 * 1024 * 1024;
    const chunk = `100000\r\n${'x'.repeat(0x100000)}\r\n`;
    const chunked = { 'transfer-encoding': 'chunked' };
    const chunks = Array.from({ length: 10 }, () => chunk);
    const cases: [string, string[], string][] = [
      ['large headers', [formatHead('GET', '/stock/a', { 'x-a': 'a'.repeat(20_000) })], '431'],
      ['declared size', [formatHead('POST', '/stock/a', { 'content-length': `${large}` })], '413'],
      ['chunked size', [formatHead('POST', '/stock/a', chunked), ...chunks], '413'],
      ['broken chunk', [formatHead('POST', '/stock/a', chunked), 'zz\r\nab\r\n'], '400'],
      ['two lengths', [formatHead('POST', '/a', { 'content-length': '1, 2' })], '400'],
      ['no JSON', [formatHead('POST', '/v1/completions', { 'content-length': '3' }), '{"a'], '400'],
      ['unknown path', [formatHead('GET', '/nothing', {})], '404'],
      ['other method', [formatHead('DELETE', '/stock/a', {})], '405'],
    ];
    const results = await Promise.all(
      cases.map(async ([name, parts]) => [name, expectTyped(await sendRaw(parts))]),
    );
    expect(results).toEqual(cases.map(([name, , status]) => [name, [status]]));
    await expectHealthy();
  });

  it('delivers the refusal of a large upload that is not read completely', async () => {
    const body = Buffer.alloc(30 * 1024 * 1024);
    const answer = await harness.call('/stock/a', { method: 'POST', body });
    expect([answer.status, answer.headers['x-rww-ran']]).toEqual([413, 'no']);
  });

  it('answers pipelined requests in order', async () => {
    const parts = [
      formatHead('GET', '/stock/one', {}) + formatHead('GET', '/nothing', {}),
      formatHead('GET', '/stock/three', { connection: 'close' }),
    ];
    const text = await sendRaw(parts, { endsSending: false });
    expect(expectTyped(text)).toEqual(['200', '404', '200']);
    expect(text.indexOf('/stock/one')).toBeLessThan(text.indexOf('/stock/three'));
  });

  it('does not write an error into a response that has already begun', async () => {
    const body = formatCompletion(40);
    const headers = { 'content-length': `${body.length}` };
    const parts = [formatHead('POST', '/v1/completions', headers) + body, '\x00garbage\r\n\r\n'];
    const text = await sendRaw(parts, { pauseMs: 40, endsSending: false });
    expect(text.match(/HTTP\/1\.1/g)).toHaveLength(1);
    expect(text).toContain('[DONE]');
  });

  it('does not report "not run" for a request that it could not read', async () => {
    const headers = { 'idempotency-key': 'unread-1', 'transfer-encoding': 'chunked' };
    const texts = await Promise.all([
      sendRaw([formatHead('POST', '/orders', headers), 'zz\r\n']),
      sendRaw([formatHead('POST', '/orders', { ...headers, 'x-a': 'a'.repeat(20_000) })]),
    ]);
    texts.forEach((text) => {
      expect(text).toMatch(/x-rww-ran: unknown/);
    });
  });

  it('refuses headers and bodies that arrive too slowly', async () => {
    const slow = { endsSending: false };
    const texts = await Promise.all([
      sendRaw(['GET /stock/linen HTTP/1.1\r\nhost: a\r\nx-'], slow),
      sendRaw([formatHead('POST', '/stock/linen', { 'content-length': '9' }), '{"or'], slow),
    ]);
    expect(texts.map(expectTyped)).toEqual([['408'], ['408']]);
  });

  it('keeps serving while other connections send their headers slowly', async () => {
    const sockets = Array.from({ length: 50 }, open);
    sockets.forEach((socket) => socket.write('GET /stock/linen HTTP/1.1\r\nhost: a\r\nx-'));
    await expectHealthy();
    sockets.forEach((socket) => socket.destroy());
  });
});

describe('drain', () => {
  it('interrupts no request and serves keep-alive connections during the notice period', async () => {
    const { entries } = harness;
    const role = entries[0]?.role;
    const body = formatCompletion(1_000);
    const stream = await harness.open('/v1/completions', { method: 'POST', body });
    const order = harness.placeOrder({ order: 'drained', delayMs: 2_500 }, 'drained-1');
    await waitFor('the order', async () => (await harness.countEffects('drained')) === 1);
    const drained = role?.entry.drain(15_000, new AbortController().signal);
    const ready = await harness.call('/readyz', { key: undefined });
    expect(ready.status).toBe(503);
    const during = await harness.call('/stock/linen');
    expect([during.status, during.headers.connection]).toEqual([200, 'close']);
    expect((await stream.body.text()).endsWith('data: [DONE]\n\n')).toBe(true);
    expect((await order).status).toBe(201);
    await drained;
    await expect(harness.call('/healthz')).rejects.toThrow();
    const [error] = (await once(connect(entries[0]?.port ?? 0, '127.0.0.1'), 'error')) as [Error];
    expect(error.message).toMatch(/ECONNREFUSED/);
  });
});
