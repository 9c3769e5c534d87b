/** Guards against calls that are lost, answered with the result of another one, or repeated for ever. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { CallBatcher } from './CallBatcher.js';

const NEVER = new AbortController().signal;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

describe('CallBatcher', () => {
  it('sends the inputs of a short time together and gives each call its own result', async () => {
    const batches: (readonly number[])[] = [];
    const batcher = new CallBatcher<number, number>(8, 3, (inputs) => {
      batches.push(inputs);
      return Promise.resolve(inputs.map((input) => input * 2));
    });
    const calls = [1, 2, 3, 4].map((input) => batcher.call(input, NEVER));
    await vi.advanceTimersByTimeAsync(7);
    expect(batches).toEqual([]);
    await vi.advanceTimersByTimeAsync(2);
    expect(batches).toEqual([[1, 2, 3], [4]]);
    expect(await Promise.all(calls)).toEqual(
      [2, 4, 6, 8].map((result) => ({ kind: 'done', result })),
    );
  });

  it('repeats only what failed, until it succeeds', async () => {
    const batches: (readonly number[])[] = [];
    const batcher = new CallBatcher<number, number>(8, 10, (inputs) => {
      batches.push(inputs);
      return Promise.resolve(
        batches.length === 1
          ? 'no leader'
          : inputs.map((input) => (input === 2 && batches.length === 2 ? 'unsure' : input)),
      );
    });
    const calls = [1, 2].map((input) => batcher.call(input, NEVER));
    await vi.advanceTimersByTimeAsync(500);
    expect(batches).toEqual([[1, 2], [1, 2], [2]]);
    expect(await Promise.all(calls)).toEqual([1, 2].map((result) => ({ kind: 'done', result })));
  });

  it('repeats what was rejected', async () => {
    let sent = 0;
    const batcher = new CallBatcher<number, number>(8, 10, (inputs) => {
      sent += 1;
      return sent === 1 ? Promise.reject(new Error('invalid')) : Promise.resolve(inputs);
    });
    const call = batcher.call(1, NEVER);
    await vi.advanceTimersByTimeAsync(500);
    expect(await call).toEqual({ kind: 'done', result: 1 });
  });

  it('gives up when the caller does, with the last reason', async () => {
    let sent = 0;
    const batcher = new CallBatcher<number, number>(8, 10, () => {
      sent += 1;
      return Promise.resolve('no leader');
    });
    const controller = new AbortController();
    const call = batcher.call(1, controller.signal);
    await vi.advanceTimersByTimeAsync(300);
    controller.abort();
    expect(await call).toEqual({ kind: 'aborted', reason: 'no leader' });
    const before = sent;
    await vi.advanceTimersByTimeAsync(1_000);
    expect(sent).toBe(before);
    expect((await batcher.call(1, controller.signal)).kind).toBe('aborted');
  });

  // A herd of requests after a restart must not wait behind a call that hangs.
  it('sends later inputs while an earlier call has no answer', async () => {
    const batcher = new CallBatcher<number, number>(8, 10, async (inputs) => {
      await new Promise((resolve) => setTimeout(resolve, inputs[0] === 1 ? 5_000 : 1));
      return inputs;
    });
    void batcher.call(1, NEVER);
    await vi.advanceTimersByTimeAsync(100);
    const second = batcher.call(2, NEVER);
    await vi.advanceTimersByTimeAsync(100);
    expect(await second).toEqual({ kind: 'done', result: 2 });
  });
});
