import { describe, expect, it } from 'vitest';
import { FairQueue, type IQueuedRequest } from './FairQueue.js';

function createRequest(
  requestId: string,
  clientAccount: string,
  changes: Partial<IQueuedRequest<string>> = {},
): IQueuedRequest<string> {
  return {
    requestId,
    clientAccount,
    weight: 1,
    cost: 10,
    priority: 0,
    deadlineMs: 10_000,
    payload: requestId,
    ...changes,
  };
}

/** Creates a queue with `remaining` urgent requests and a measured rate of one request per 100 ms. */
function createBusyQueue(account: string, remaining: number): FairQueue<string> {
  const queue = new FairQueue<string>();
  for (let i = 0; i < 10 + remaining; i += 1) {
    queue.enqueue(createRequest(`${account}${i}`, account, { priority: 1 }), 0);
  }
  for (let i = 0; i < 10; i += 1) {
    queue.take(i * 100);
  }
  return queue;
}

describe('FairQueue', () => {
  it('serves the account with the lowest virtual time, so that a flood does not starve others', () => {
    const queue = new FairQueue<string>();
    for (let i = 0; i < 100; i += 1) {
      queue.enqueue(createRequest(`flood${i}`, 'flood'), 0);
    }
    queue.take(0);
    queue.take(0);
    queue.enqueue(createRequest('small', 'small'), 1);
    const next = [queue.take(1), queue.take(1)].map((request) => request?.requestId);
    expect(next).toContain('small');
  });

  it('shares by weight while all accounts have requests waiting', () => {
    const queue = new FairQueue<string>();
    for (let i = 0; i < 100; i += 1) {
      queue.enqueue(createRequest(`a${i}`, 'a', { weight: 3 }), 0);
      queue.enqueue(createRequest(`b${i}`, 'b', { weight: 1 }), 0);
    }
    const taken = Array.from({ length: 40 }, () => queue.take(0)?.clientAccount);
    expect(taken.filter((account) => account === 'a').length).toBeGreaterThanOrEqual(29);
    expect(taken.filter((account) => account === 'b').length).toBeGreaterThanOrEqual(9);
  });

  it('gives no credit for idle time, so that a returning account does not block the others', () => {
    const queue = new FairQueue<string>();
    for (let i = 0; i < 50; i += 1) {
      queue.enqueue(createRequest(`a${i}`, 'a'), 0);
      queue.take(0);
    }
    for (let i = 0; i < 10; i += 1) {
      queue.enqueue(createRequest(`x${i}`, 'a'), 1);
      queue.enqueue(createRequest(`y${i}`, 'b'), 1);
    }
    const taken = Array.from({ length: 6 }, () => queue.take(1)?.clientAccount);
    expect(taken.filter((account) => account === 'a').length).toBeGreaterThanOrEqual(2);
  });

  it('orders by priority, then deadline, within one account only', () => {
    const queue = new FairQueue<string>();
    queue.enqueue(createRequest('late', 'a', { deadlineMs: 9_000 }), 0);
    queue.enqueue(createRequest('early', 'a', { deadlineMs: 5_000 }), 0);
    queue.enqueue(createRequest('urgent', 'a', { priority: 1 }), 0);
    const taken = [queue.take(0), queue.take(0), queue.take(0)].map((item) => item?.requestId);
    expect(taken).toEqual(['urgent', 'early', 'late']);
  });

  it('sheds a request with a retry time when its estimated wait exceeds the deadline', () => {
    const queue = createBusyQueue('a', 20);
    const result = queue.enqueue(createRequest('r', 'a', { deadlineMs: 1_500 }), 1_000);
    expect(result).toMatchObject({ kind: 'shed', reason: 'deadline' });
    expect(result.kind === 'shed' && result.retryAfterMs).toBeGreaterThan(1_000);
    expect(queue.size).toBe(20);
  });

  it('does not shed a request for the backlog of another account', () => {
    const queue = createBusyQueue('a', 20);
    const result = queue.enqueue(createRequest('r', 'b', { deadlineMs: 1_500 }), 1_000);
    expect(result.kind).toBe('queued');
  });

  it('sheds requests beyond the limits for the queue and for an account', () => {
    const queue = new FairQueue<string>({ maxRequests: 3, maxRequestsPerAccount: 2 });
    const kinds = ['a', 'a', 'a', 'b', 'b'].map(
      (account, i) => queue.enqueue(createRequest(`r${i}`, account), 0).kind,
    );
    expect(kinds).toEqual(['queued', 'queued', 'shed', 'queued', 'shed']);
  });

  it('skips expired requests and returns them separately to be answered', () => {
    const queue = new FairQueue<string>();
    queue.enqueue(createRequest('old', 'a', { deadlineMs: 100 }), 0);
    queue.enqueue(createRequest('new', 'a'), 0);
    expect(queue.take(100)?.requestId).toBe('new');
    expect(queue.dropExpired(100).map((request) => request.requestId)).toEqual(['old']);
    expect(queue.size).toBe(0);
  });

  it('removes a cancelled request', () => {
    const queue = new FairQueue<string>();
    queue.enqueue(createRequest('r', 'a'), 0);
    expect(queue.cancel('a', 'r')).toBe(true);
    expect(queue.cancel('a', 'r')).toBe(false);
    expect(queue.take(0)).toBeUndefined();
  });
});
