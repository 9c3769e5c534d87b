import type { ServerResponse } from 'node:http';
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import { TICKET_HEADER } from '../common/Headers.js';
import { EdgeHarness, waitFor, type IAnswerText } from './EdgeHarness.js';

let harness: EdgeHarness;

beforeAll(async () => {
  harness = await EdgeHarness.start({ engines: [], plainTargets: 2, entries: 2 });
});

afterEach(() => {
  harness.interceptDispatch = undefined;
  harness.isControlServed = true;
});

afterAll(async () => {
  await harness.dispose();
});

function readCode({ text }: IAnswerText): string {
  return (JSON.parse(text) as { error: { code: string } }).error.code;
}

/** Breaks the connection instead of sending the sidecar's answer. */
function dropAnswer(response: ServerResponse): void {
  response.writeHead = () => response;
  response.end = () => response.destroy();
}

/** Drops the sidecars' answers to the next `count` dispatches. */
function dropAnswers(count: number): void {
  let remaining = count;
  harness.interceptDispatch = (request, response) => {
    if (request.headers[TICKET_HEADER] !== undefined && remaining > 0) {
      remaining -= 1;
      dropAnswer(response);
    }
  };
}

describe('a non-repeatable call', () => {
  it('runs once and is answered when the connection to the sidecar breaks before the answer', async () => {
    dropAnswers(1);
    const answer = await harness.placeOrder({ order: 'lost' }, undefined);
    expect([answer.status, await harness.countEffects('lost')]).toEqual([201, 1]);
  });

  it('runs at most once when the target breaks the connection, and reports an unknown outcome', async () => {
    const order = { order: 'dropped', dropAnswer: true };
    const first = await harness.placeOrder(order, 'dropped-1');
    const resent = await harness.placeOrder(order, 'dropped-1', { entry: 1 });
    for (const answer of [first, resent]) {
      expect([answer.status, readCode(answer)]).toEqual([502, 'outcome_unknown']);
      expect(answer.headers['x-rww-ran']).toBe('unknown');
    }
    expect(await harness.countEffects('dropped')).toBe(1);
  });

  it('runs once when two entries get it at the same time, and marks replayed answers', async () => {
    const order = { order: 'twice', delayMs: 100 };
    const place = (entry: number): Promise<IAnswerText> =>
      harness.placeOrder(order, 'twice-1', { entry });
    for (const entry of [0, 1]) {
      await waitFor('a target of the entry', async () => {
        const answer = await harness.placeOrder({ order: `ready-${entry}` }, undefined, { entry });
        return answer.status === 201;
      });
    }
    const answers = await Promise.all([place(0), place(1), place(0), place(1)]);
    const last = await place(1);
    const served = [...answers, last].filter(({ status }) => status === 201);
    expect(new Set(served.map(({ text }) => text)).size).toBe(1);
    expect(served.length).toBeGreaterThan(1);
    expect(last.headers['x-rww-replayed']).toBe('true');
    expect(served.filter(({ headers }) => headers['x-rww-replayed'] !== 'true')).toHaveLength(1);
    expect(await harness.countEffects('twice')).toBe(1);
  });

  it('is refused when the Idempotency-Key was used with another body', async () => {
    await harness.placeOrder({ order: 'first' }, 'reused-1');
    const other = await harness.placeOrder({ order: 'second' }, 'reused-1', { entry: 1 });
    expect([other.status, other.headers['x-rww-ran']]).toEqual([422, 'no']);
    expect(await harness.countEffects('second')).toBe(0);
  });

  it('runs when a change of its client account reached the targets before the entries', async () => {
    await harness.addAccount('pag', 1e8, 'targets');
    const answer = await harness.placeOrder({ order: 'revised' }, undefined);
    expect([answer.status, await harness.countEffects('revised')]).toEqual([201, 1]);
  });

  it('continues after the caller disconnects, so that a repeated request gets the answer', async () => {
    const order = { order: 'left', delayMs: 300 };
    const outcome = await harness.startAndDisconnect('/orders', {
      ...{ method: 'POST', headers: { 'idempotency-key': 'left-1' }, body: JSON.stringify(order) },
      disconnectWhen: async () => (await harness.countEffects('left')) === 1,
    });
    expect(outcome).toBe('left');
    await waitFor('the recorded answer', async () => {
      const resent = await harness.placeOrder(order, 'left-1', { entry: 1 });
      return resent.status === 201 && resent.headers['x-rww-replayed'] === 'true';
    });
    expect(await harness.countEffects('left')).toBe(1);
  });
});

describe('a refusal of a repeated request', () => {
  it('does not report "not run" if the claim could not be looked up', async () => {
    const placed = await harness.placeOrder({ order: 'resent' }, 'resent-1');
    expect(placed.status).toBe(201);
    harness.isControlServed = false;
    const [keyed, unkeyed] = await Promise.all([
      harness.placeOrder({ order: 'resent' }, 'resent-1'),
      harness.placeOrder({ order: 'new' }, undefined),
    ]);
    expect([keyed.status, readCode(keyed)]).toEqual([503, 'control_unavailable']);
    expect(keyed.headers['x-rww-ran']).toBe('unknown');
    expect(keyed.text).not.toMatch(/did not run/);
    expect([unkeyed.status, unkeyed.headers['x-rww-ran']]).toEqual([503, 'no']);
    expect(await harness.countEffects('new')).toBe(0);
  });

  it('does not report "not run" if the entry refuses it before the claim is looked up', async () => {
    const refusals = await Promise.all([
      harness.placeOrder({ order: 'resent' }, 'resent-1', { key: undefined }),
      harness.placeOrder({ order: harness.key }, 'resent-1'),
      harness.placeOrder({}, 'resent-1', { body: Buffer.alloc(9 * 1024 * 1024) }),
    ]);
    expect(refusals.map(({ status }) => status)).toEqual([401, 400, 413]);
    expect(refusals.map(({ headers }) => headers['x-rww-ran'])).toEqual(
      refusals.map(() => 'unknown'),
    );
  });
});
