/** Guards against memory that grows with the number of targets that send what cannot be relayed. */
import { describe, expect, it } from 'vitest';
import { ByteBudget } from '../common/ByteBudget.js';
import { OK_HEAD, runCall, streamEvents, type TargetScript } from './Fixtures.js';

const LIMIT_BYTES = 32 * 1024;
const STREAM = { kind: 'streaming', isResumable: false, maxAttempts: 1 } as const;

/** Sends the beginning of an event, and never its end. */
function sendIncomplete(bytes: number): TargetScript {
  return (listener) => {
    listener.onHead(OK_HEAD);
    listener.onData(Buffer.from(`data: ${'x'.repeat(bytes)}`));
  };
}

describe('what is held of responses', () => {
  // Guards against a machine without memory: each of many streams may hold an event of some hundred KB.
  it('ends the one that holds most once all together hold too much', async () => {
    const memory = new ByteBudget(LIMIT_BYTES);
    const [small, large] = await Promise.all([
      runCall([sendIncomplete(LIMIT_BYTES / 2)], {
        memory,
        route: STREAM,
        call: { deadlineMs: 300 },
      }),
      runCall([sendIncomplete(LIMIT_BYTES)], { memory, route: STREAM, call: { deadlineMs: 300 } }),
    ]);
    expect([small.sink.status, large.sink.status]).toStrictEqual([504, 502]);
    expect(memory.usedBytes).toBe(0);
  });

  it('does not count once it has been relayed', async () => {
    const memory = new ByteBudget(LIMIT_BYTES);
    const { sink } = await runCall(
      [
        (listener) => {
          listener.onHead(OK_HEAD);
          for (let i = 0; i < 2_000; i += 1) {
            listener.onData(streamEvents(2 * i + 1, 2 * i + 2));
          }
          listener.onEnd();
        },
      ],
      { memory, route: STREAM },
    );
    expect(sink.endings).toStrictEqual(['end']);
    expect(sink.body.length).toBeGreaterThan(LIMIT_BYTES);
    expect(memory.usedBytes).toBe(0);
  });
});
