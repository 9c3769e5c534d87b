import { create } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { TicketSchema, type Ticket } from '../gen/redwingwharf/v1/control_pb.js';
import { PromptQueue } from './PromptQueue.js';

function createTicket(requestId: string, promptTokens: number, chunks: number[] = []): Ticket {
  const prefixChain = chunks.map((byte) => new Uint8Array(16).fill(byte));
  return create(TicketSchema, { requestId, promptTokens, prefixChain });
}

/** Queue with an estimated prefill speed of 10 tokens per millisecond. */
function createTrainedQueue(cached: ReadonlySet<string> = new Set<string>()): PromptQueue {
  const queue = new PromptQueue((hash) => cached.has(hash));
  queue.begin(createTicket('train', 4_000), 0);
  queue.end('train', true, 400);
  return queue;
}

describe('PromptQueue', () => {
  it('estimates no wait while the speed is unknown, so that no dispatch is refused by a guess', () => {
    const queue = new PromptQueue(() => false);
    queue.begin(createTicket('a', 100_000), 0);
    expect(queue.estimate(createTicket('b', 8_000), 1)).toMatchObject({ waitMs: 0, ttftMs: 0 });
  });

  it('adds up the prompts of all entries and subtracts the elapsed time', () => {
    const queue = createTrainedQueue();
    queue.begin(createTicket('a', 10_000), 1_000);
    queue.begin(createTicket('b', 5_000), 1_100);
    expect(queue.estimateWaitMs(1_200)).toBeCloseTo(1_300);
    queue.end('a', true, 2_000);
    expect(queue.estimateWaitMs(2_000)).toBeCloseTo(500);
  });

  it('treats a prefix as cached while another prompt with it is being computed', () => {
    const queue = createTrainedQueue();
    queue.begin(createTicket('a', 4_000, [1, 2]), 1_000);
    const estimate = queue.estimate(createTicket('b', 5_000, [1, 2]), 1_000);
    expect(estimate.cachedTokens).toBe(4_000);
    expect(estimate.ttftMs).toBeCloseTo(500);
  });

  it('does not sample the speed from prompts that waited for others', () => {
    const queue = createTrainedQueue();
    queue.begin(createTicket('a', 10_000), 1_000);
    queue.begin(createTicket('b', 1_000), 1_000);
    queue.end('a', true, 2_000);
    queue.end('b', true, 2_100);
    queue.begin(createTicket('c', 10_000), 3_000);
    expect(queue.estimateWaitMs(3_000)).toBeCloseTo(1_000);
  });

  it('removes a dispatch that ended without an answer', () => {
    const queue = createTrainedQueue();
    queue.begin(createTicket('a', 10_000, [1]), 1_000);
    queue.end('a', false, 1_010);
    expect(queue.estimateWaitMs(1_010)).toBe(0);
    expect(queue.estimate(createTicket('b', 2_000, [1]), 1_010).cachedTokens).toBe(0);
  });
});
