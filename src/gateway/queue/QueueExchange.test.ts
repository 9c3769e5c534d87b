/** Guards against entries that take their own share of the load for all of it, and against sums that outlive their sense. */
import { create, toBinary } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import type { IExchangePart, IHubPart } from '../../fleet/ExchangePart.js';
import {
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  type ExchangeRequest,
  type ExchangeResponse,
} from '../../gen/redwingwharf/v1/fleet_pb.js';
import type { IAssessedTarget } from './AdmissionDecision.js';
import { QueueExchange } from './QueueExchange.js';
import { ServiceQueue } from './ServiceQueue.js';

const BUSY: IAssessedTarget = {
  expectedMs: 2_060,
  serviceMs: 60,
  tokens: 2_000,
  backlogTokens: 100_000,
  hasQueue: false,
};

class TestEntry {
  public readonly queue: ServiceQueue;
  public readonly exchange: QueueExchange;
  private readonly _queues = new Map<string, ServiceQueue>();

  constructor(private readonly _name: string) {
    this.exchange = new QueueExchange(() => this._queues);
    this.queue = new ServiceQueue(this.exchange.getOthers('lace'));
    this._queues.set('lace', this.queue);
  }

  public addWaiting(id: string, priority: number, account: string): void {
    const request = { id, priority, account, objectiveMs: 500, arrivedAt: 0, deadlineAt: 9_000 };
    this.queue.add(
      { ...request, assess: () => BUSY },
      BUSY,
      { kind: 'wait', onTimeUntil: 400, reason: 'busy' },
      () => undefined,
      0,
    );
  }

  public buildRequest(): ExchangeRequest {
    const request = create(ExchangeRequestSchema, { node: this._name });
    this.exchange.addReport(request);
    return request;
  }

  public apply(request: ExchangeRequest, response: ExchangeResponse, now: number): void {
    const part: IExchangePart = this.exchange;
    part.applyResponse(response, { request, isNewEpoch: false, sentAt: now, now });
  }

  public exchangeWith(hub: IHubPart | undefined, now: number): ExchangeResponse {
    const request = this.buildRequest();
    const response = create(ExchangeResponseSchema);
    hub?.exchange(request, response, now);
    this.apply(request, response, now);
    return response;
  }
}

describe('QueueExchange', () => {
  it('gives each entry the sums over the others', () => {
    const entries = ['a', 'b', 'c'].map((name) => new TestEntry(name));
    const [first, second, third] = entries as [TestEntry, TestEntry, TestEntry];
    const hub = first.exchange.createHubPart();
    first.addWaiting('r1', 0, 'pag');
    second.addWaiting('r2', 0, 'pag');
    second.addWaiting('r3', 2, 'lee');
    second.queue.load.begin(2, 'lee', 700, 0);
    for (const entry of entries) {
      entry.exchangeWith(hub, 100);
    }
    first.exchangeWith(hub, 150);
    const ofFirst = first.exchange.getOthers('lace');
    expect(ofFirst.sumWaitingTokens(0, 200)).toBe(2_000);
    expect(ofFirst.sumWaitingTokens(9, 200)).toBe(4_000);
    expect(ofFirst.sumPendingTokens(9, 200)).toBe(700);
    expect(third.exchange.getOthers('lace').sumWaitingTokens(0, 200)).toBe(4_000);
    expect(third.exchange.getOthers('other').sumWaitingTokens(9, 200)).toBe(0);
  });

  it('gives a client account that holds most elsewhere less weight', () => {
    const holder = new TestEntry('a');
    const hub = holder.exchange.createHubPart();
    for (let i = 0; i < 9; i += 1) {
      holder.addWaiting(`r${i}`, 0, 'pag');
    }
    holder.addWaiting('r9', 0, 'lee');
    holder.exchangeWith(hub, 0);
    const entry = new TestEntry('b');
    entry.exchangeWith(hub, 10);
    const others = entry.exchange.getOthers('lace');
    expect(others.getWeight('pag', 20)).toBeLessThan(0.6);
    expect(others.getWeight('lee', 20)).toBe(1);
    expect(others.getWeight('new', 20)).toBe(1);
  });

  it('an entry cut off from the hub uses the last sums for 2 s, then its own figures', () => {
    const holder = new TestEntry('a');
    const hub = holder.exchange.createHubPart();
    holder.addWaiting('r1', 0, 'pag');
    holder.exchangeWith(hub, 0);
    const entry = new TestEntry('b');
    entry.exchangeWith(hub, 10);
    const others = entry.exchange.getOthers('lace');
    expect(others.sumWaitingTokens(0, 2_000)).toBe(2_000);
    expect(others.sumWaitingTokens(0, 2_011)).toBe(0);
    expect(others.getWeight('pag', 2_011)).toBe(1);
  });

  it('a hub forgets an entry that was cut off from it', () => {
    const holder = new TestEntry('a');
    const hub = holder.exchange.createHubPart();
    holder.addWaiting('r1', 0, 'pag');
    holder.exchangeWith(hub, 0);
    expect(new TestEntry('b').exchangeWith(hub, 1_900).queue).toHaveLength(1);
    expect(new TestEntry('b').exchangeWith(hub, 2_100).queue).toEqual([]);
  });

  it('does without the sums of a hub of an older build', () => {
    const entry = new TestEntry('a');
    entry.addWaiting('r1', 0, 'pag');
    entry.exchangeWith(undefined, 0);
    expect(entry.exchange.getOthers('lace').sumWaitingTokens(9, 10)).toBe(0);
    const letter = { id: 'r2', priority: 2, account: 'lee', objectiveMs: 1_007, arrivedAt: 0 };
    const request = { ...letter, deadlineAt: 15_000, assess: () => BUSY };
    expect(entry.queue.decide(request, BUSY, 0).kind).toBe('wait');
  });

  // Links between data centres carry 7 Mbit/s, for 24 entries with several exchanges a second.
  it('takes some hundred bytes, however many requests wait', () => {
    const entry = new TestEntry('a');
    for (let i = 0; i < 400; i += 1) {
      entry.addWaiting(`r${i}`, i % 3, `account-with-a-long-name-${i % 100}`);
    }
    expect(toBinary(ExchangeRequestSchema, entry.buildRequest()).length).toBeLessThan(700);
  });
});
