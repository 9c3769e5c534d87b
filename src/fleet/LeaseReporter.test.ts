/** Guards against two reports in flight at once, of which the earlier would free what the later was granted. */
import { create } from '@bufbuild/protobuf';
import { describe, expect, it, vi } from 'vitest';
import { MonotonicClock } from '../common/Clock.js';
import { SILENT_LOG } from '../common/Log.js';
import {
  LeaseResponseSchema,
  QuotaGrantSchema,
  type LeaseRequest,
  type LeaseResponse,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { LeaseReporter } from './LeaseReporter.js';
import { QuotaWallet } from './QuotaWallet.js';

const CLOCK = new MonotonicClock();
const RUN = { node: 'entry', incarnation: 'a' };
const { signal } = new AbortController();

interface IPendingCall {
  readonly request: LeaseRequest;
  readonly respond: (lease: number) => void;
}

interface IFixture {
  readonly wallet: QuotaWallet;
  readonly reporter: LeaseReporter;
  readonly calls: IPendingCall[];
}

function createReporter(): IFixture {
  const wallet = new QuotaWallet(8_000);
  wallet.setHubReachable(true);
  const calls: IPendingCall[] = [];
  const callHub = (request: LeaseRequest): Promise<LeaseResponse> =>
    new Promise((resolve) => {
      const respond = (lease: number): void => {
        const grants = [create(QuotaGrantSchema, { clientAccount: 'pag', lease })];
        resolve(create(LeaseResponseSchema, { leads: true, grants }));
      };
      calls.push({ request, respond });
    });
  return { wallet, reporter: new LeaseReporter(wallet, RUN, callHub, CLOCK, SILENT_LOG), calls };
}

describe('LeaseReporter', () => {
  it('asks for the tokens of all waiting requests in one call, and wakes them', async () => {
    const { wallet, reporter, calls } = createReporter();
    expect(wallet.trySpend('pag', 600, CLOCK.now()).kind).toBe('ask');
    expect(wallet.trySpend('pag', 300, CLOCK.now()).kind).toBe('ask');
    const waits = [reporter.requestLeases(1_000, signal), reporter.requestLeases(1_000, signal)];
    await vi.waitUntil(() => calls.length === 1);
    expect(calls[0]?.request.quotas[0]?.wanted).toBeGreaterThanOrEqual(900);
    calls[0]?.respond(1_000);
    await Promise.all(waits);
    expect(wallet.retrySpend('pag', 900, CLOCK.now()).kind).toBe('spent');
    expect(calls).toHaveLength(1);
  });

  it('sends no request while the report of an exchange is in flight, and reports nothing beside one', async () => {
    const { wallet, reporter, calls } = createReporter();
    const exchange = reporter.beginReport(['pag'], CLOCK.now());
    expect(exchange.lines).toHaveLength(1);
    wallet.trySpend('pag', 600, CLOCK.now());
    const wait = reporter.requestLeases(1_000, signal);
    await new Promise((resolve) => setTimeout(resolve, 20));
    expect(calls).toHaveLength(0);
    exchange.end();
    await vi.waitUntil(() => calls.length === 1);
    const next = reporter.beginReport(['pag'], CLOCK.now());
    expect(next.lines).toEqual([]);
    expect(next.sequence).toBeGreaterThan(calls[0]?.request.reportSequence ?? 0n);
    calls[0]?.respond(700);
    await wait;
  });

  it.each([
    ['no leader is known', () => Promise.resolve(undefined)],
    ['the process asked does not lead', () => Promise.resolve(create(LeaseResponseSchema, {}))],
    ['the call fails', () => Promise.reject(new Error('connection refused'))],
  ])('lets no request ask again and again while %s', async (_name, callHub) => {
    // A request that may ask at once would block the process for as long as it waits for tokens.
    const wallet = new QuotaWallet(8_000);
    wallet.setHubReachable(true);
    const reporter = new LeaseReporter(wallet, RUN, callHub, CLOCK, SILENT_LOG);
    expect(wallet.trySpend('pag', 600, CLOCK.now()).kind).toBe('ask');
    await reporter.requestLeases(1_000, signal);
    expect(wallet.retrySpend('pag', 600, CLOCK.now())).toMatchObject({ kind: 'over' });
  });

  it('returns at the timeout while the hub does not answer', async () => {
    const { wallet, reporter } = createReporter();
    wallet.trySpend('pag', 600, CLOCK.now());
    await reporter.requestLeases(20, signal);
    expect(wallet.retrySpend('pag', 600, CLOCK.now()).kind).toBe('ask');
  });
});
