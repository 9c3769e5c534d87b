import { Readable } from 'node:stream';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { EdgeHarness, formatCompletion, waitFor, type ICallInit } from './EdgeHarness.js';

/** Matches the beginning of a caller's key, which must never reach a target. */
const KEY_START = /rww(_|%5f)[0-9a-f]{12}/i;

let harness: EdgeHarness;

beforeAll(async () => {
  harness = await EdgeHarness.start({ entries: 2 });
});

afterAll(async () => {
  await harness.dispose();
});

function readError(text: string): { code: string; message: string; request_id: string } {
  return (JSON.parse(text) as { error: { code: string; message: string; request_id: string } })
    .error;
}

describe('keys of callers', () => {
  const forms: [string, (key: string) => ICallInit & { path?: string }][] = [
    ['Bearer', (key) => ({ headers: { authorization: `Bearer ${key}` } })],
    ['x-api-key', (key) => ({ headers: { 'x-api-key': key } })],
    ['cookie', (key) => ({ headers: { cookie: `a=b; rww_key=${key}` } })],
    ['query', (key) => ({ path: `/stock/linen?api_key=${key}&colour=red` })],
  ];

  it.each(forms)(
    'accepts a key as %s and does not forward it to the target',
    async (_name, build) => {
      harness.receivedRequests.length = 0;
      const { path = '/stock/linen', ...init } = build(harness.key);
      const answer = await harness.call(path, { key: undefined, ...init });
      expect(answer.status).toBe(200);
      expect(harness.receivedRequests).toHaveLength(1);
      expect(harness.receivedRequests.join('\n')).not.toMatch(KEY_START);
    },
  );

  it('does not forward a key that was sent in a place where keys are not accepted', async () => {
    harness.receivedRequests.length = 0;
    const { key } = harness;
    const encoded = key.replaceAll('_', '%5F');
    const attempts: [string, ICallInit][] = [
      [`/stock/linen?token=${key}`, {}],
      [`/stock/linen?q=a%20${encoded}b&colour=red`, {}],
      [`/stock/linen?${key}=1`, {}],
      [`/stock/${key}`, {}],
      [`/stock/${encoded}`, {}],
      [`/stock/${encoded.replaceAll('%', '%25')}`, {}],
      ['/stock/linen', { headers: { 'x-token': key } }],
      ['/stock/linen', { headers: { 'user-agent': `shop ${key}`, 'accept-language': key } }],
      ['/stock/linen', { headers: { cookie: `other=${key}` } }],
      [`/opening-hours?token=${key}`, { key: undefined, headers: { accept: key } }],
    ];
    for (const [path, init] of attempts) {
      await harness.call(path, init);
    }
    expect(harness.receivedRequests.length).toBeGreaterThan(4);
    expect(harness.receivedRequests.filter((text) => KEY_START.test(text))).toEqual([]);
    expect((await harness.call(`/stock/${encoded}`)).status).toBe(400);
  });

  it("refuses a body that contains the caller's key, because the target would see it", async () => {
    harness.receivedRequests.length = 0;
    const { key } = harness;
    const escaped = key.replaceAll('_', '\\u005f');
    const bodies = [
      ['/v1/completions', formatCompletion(1, { prompt: `key ${key}` })],
      ['/v1/completions', formatCompletion(1).replace('Is row', escaped)],
      ['/stock/linen', JSON.stringify({ note: key })],
      ['/orders', JSON.stringify({ order: key })],
    ] as const;
    for (const [path, body] of bodies) {
      const answer = await harness.call(path, { method: 'POST', body });
      expect([path, answer.status, answer.headers['x-rww-ran']]).toEqual([path, 400, 'no']);
      expect(readError(answer.text).code).toBe('key_in_request');
      expect(answer.text).not.toContain(key);
    }
    expect(harness.receivedRequests).toEqual([]);
  });

  it('exposes neither keys nor paths in the metrics', () => {
    const text = harness.entries.map(({ metrics }) => metrics.render()).join('');
    expect(text).toMatch(/^redwingwharf_request_ms{service="order-desk",quantile="0.99"} \d+$/m);
    expect(text).not.toMatch(KEY_START);
    expect(text).not.toMatch(/stock|orders|\/v1/);
  });

  it('forwards no internal header to callers', async () => {
    const answers = await Promise.all([
      harness.call('/stock/linen'),
      harness.placeOrder({ order: 'headers' }, 'headers-1'),
      harness.call('/v1/completions', { method: 'POST', body: formatCompletion(2) }),
      harness.call('/v1/completions', {
        method: 'POST',
        body: formatCompletion(2, { stream: false }),
      }),
    ]);
    const names = answers.flatMap(({ headers }) => Object.keys(headers));
    expect(answers.map(({ status }) => status)).toEqual([200, 201, 200, 200]);
    expect(names.filter((name) => /^x-(rww|engine|stream)/.test(name))).toEqual([]);
  });
});

describe('a withdrawn key', () => {
  it('ends open streams and buffered requests, and is refused in later requests', async () => {
    const { text: key, withdrawal } = await harness.createKey('pag');
    const stream = await harness.open('/v1/completions', {
      ...{ key, method: 'POST', body: formatCompletion(5_000) },
    });
    const buffered = harness.call('/v1/completions', {
      ...{ key, method: 'POST', body: formatCompletion(5_000, { stream: false }) },
    });
    const slowOrder = harness.placeOrder({ order: 'slow', delayMs: 4_000 }, undefined, { key });
    await waitFor(
      'the order at the target',
      async () => (await harness.countEffects('slow')) === 1,
    );
    await harness.publish(withdrawal);
    const startedAt = performance.now();
    const ends = await Promise.all([stream.body.text(), buffered, slowOrder]);
    // The required limit is 1 s; the tolerance is for a busy machine.
    expect(performance.now() - startedAt).toBeLessThan(2_500);
    expect(ends[0]).toMatch(/event: error\ndata: .*key_withdrawn/);
    expect(ends[1].status).toBe(401);
    expect([ends[2].status, ends[2].headers['x-rww-ran']]).toEqual([401, 'unknown']);
    const later = await harness.call('/stock/linen', { key });
    expect([later.status, later.headers['x-rww-ran']]).toEqual([401, 'no']);
  });

  it('prevents the dispatch of a request whose body was still arriving', async () => {
    harness.receivedRequests.length = 0;
    const { text: key, withdrawal } = await harness.createKey('pag');
    let finish = (): void => undefined;
    const upload = async function* (): AsyncGenerator<string> {
      yield '{"order":';
      await new Promise<void>((resolve) => {
        finish = resolve;
      });
      yield '"late"}';
    };
    const body = Readable.from(upload());
    const answer = harness.call('/orders', { key, method: 'POST', body });
    await new Promise((resolve) => setTimeout(resolve, 100));
    await harness.publish(withdrawal);
    finish();
    expect((await answer).status).toBe(401);
    expect(harness.receivedRequests).toEqual([]);
  });
});

describe('while the configuration cannot be confirmed', () => {
  it('refuses keyed requests, serves open routes and holds streams back', async () => {
    const body = formatCompletion(1_500, { max_tokens: 1_500 });
    const stream = await harness.open('/v1/completions', { method: 'POST', body });
    harness.isFeedServed = false;
    await waitFor('the copy of the configuration to become too old', async () => {
      const answer = await harness.call('/readyz', { key: undefined });
      return answer.status === 503;
    });
    const keyed = await harness.call('/stock/linen');
    expect(readError(keyed.text).code).toBe('freshness_unknown');
    expect(keyed.headers['x-rww-ran']).toBe('no');
    const resend = await harness.placeOrder({ order: 'stale' }, 'stale-1');
    expect([resend.status, resend.headers['x-rww-ran']]).toEqual([503, 'unknown']);
    const open = await harness.call('/opening-hours', { key: undefined });
    expect(open.status).toBe(200);
    harness.isFeedServed = true;
    const text = await stream.body.text();
    const ids = [...text.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
    expect(ids).toEqual(ids.map((_, index) => index + 1));
    expect(text.endsWith('data: [DONE]\n\n')).toBe(true);
  });
});
