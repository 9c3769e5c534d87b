import { create } from '@bufbuild/protobuf';
import { describe, expect, it, vi, type MockInstance } from 'vitest';
import { RetryBudget } from '../admission/RetryBudget.js';
import { ManualClock } from '../common/Clock.js';
import { SILENT_LOG } from '../common/Log.js';
import { Metrics } from '../common/Metrics.js';
import { FeedCopy } from '../feed/FeedCopy.js';
import {
  AnnounceRequestSchema,
  ReceiptSchema,
  RefusalReason,
} from '../gen/redwingwharf/v1/control_pb.js';
import { ServiceSchema } from '../gen/redwingwharf/v1/state_pb.js';
import type { Chooser, IChooseInput } from './Chooser.js';
import { DecisionLog } from './DecisionLog.js';
import type { DispatchClient, DispatchOutcome } from './DispatchClient.js';
import { Dispatcher } from './Dispatcher.js';
import { OpenRequest } from './OpenRequests.js';
import type { IRequestContext } from './Types.js';

const RECEIPT = create(ReceiptSchema, { refusal: RefusalReason.BUSY, cachedPromptTokens: 2_000 });
const BUSY: DispatchOutcome = { kind: 'not_run', reason: RefusalReason.BUSY, receipt: RECEIPT };
const DOWN: DispatchOutcome = { kind: 'not_run', reason: RefusalReason.TARGET_DOWN };
const BROKEN: DispatchOutcome = { kind: 'unknown', message: 'the target broke off' };
const ANSWERED = { kind: 'answered' } as DispatchOutcome;

interface IParts {
  readonly dispatcher: Dispatcher;
  readonly tried: Set<string>;
  readonly spend: MockInstance<(now: number) => boolean>;
  readonly recordBusy: ReturnType<typeof vi.fn>;
  readonly recordFailure: ReturnType<typeof vi.fn>;
}

/** Dispatcher whose targets end the dispatches with the given outcomes, one after the other. */
function createParts(outcomes: readonly DispatchOutcome[]): IParts {
  const clock = new ManualClock();
  const recordBusy = vi.fn();
  const recordFailure = vi.fn();
  let choices = 0;
  const chooser = {
    choose: () => {
      choices += 1;
      return {
        target: { announcement: create(AnnounceRequestSchema, { target: `t${choices}` }) },
        view: { id: `t${choices}` },
        decision: { reason: 'home', candidates: [], maxTtftMs: 100, estimatedTtftMs: 10 },
        routeRequest: { chain: [], promptTokens: 10 },
        cacheSalt: '',
      };
    },
    recordDispatch: vi.fn(),
    recordBusy,
    recordFailure,
  } as unknown as Chooser;
  const results = [...outcomes];
  const client = {
    dispatch: () => Promise.resolve(results.shift()),
  } as unknown as DispatchClient;
  const budget = new RetryBudget(clock.now());
  const spend = vi.spyOn(budget, 'trySpend');
  const feed = new FeedCopy();
  const services = {
    clock,
    log: SILENT_LOG,
    metrics: new Metrics(),
    decisions: new DecisionLog(SILENT_LOG),
    feed,
    feedSync: { syncOnce: () => Promise.resolve() },
  };
  const dispatcher = new Dispatcher(chooser, client, budget, services);
  return { dispatcher, tried: new Set(), spend, recordBusy, recordFailure };
}

async function run(parts: IParts): Promise<string> {
  const context = {
    requestId: 'r1',
    request: { method: 'POST' },
    service: create(ServiceSchema, { name: 'lace' }),
    open: new OpenRequest('r1', undefined, 10_000),
    path: '/v1/completions',
  } as unknown as IRequestContext;
  const build = (): { headers: Record<string, string>; body: undefined } => ({
    headers: {},
    body: undefined,
  });
  const result = await parts.dispatcher.run(context, {} as IChooseInput, build, parts.tried);
  return result.ok ? 'answered' : `${result.val.code} ${result.val.ran}`;
}

describe('Dispatcher', () => {
  it('decides again after a busy target without spending a retry, and may choose it again', async () => {
    const parts = createParts([BUSY, BUSY, ANSWERED]);
    expect(await run(parts)).toBe('answered');
    expect(parts.recordBusy).toHaveBeenCalledTimes(2);
    expect(parts.spend).not.toHaveBeenCalled();
    expect(parts.tried.size).toBe(0);
    expect(parts.recordFailure).not.toHaveBeenCalled();
  });

  it('ends after a bounded number of busy targets, and says that nothing ran', async () => {
    const parts = createParts([BUSY, BUSY, BUSY, BUSY, ANSWERED]);
    expect(await run(parts)).toBe('no_target no');
  });

  it('spends a retry on a target that is down and leaves it out', async () => {
    const parts = createParts([DOWN, ANSWERED]);
    expect(await run(parts)).toBe('answered');
    expect(parts.spend).toHaveBeenCalledTimes(1);
    expect([...parts.tried]).toEqual(['t1']);
  });

  it('never says "not run" once a target may have run the request', async () => {
    const parts = createParts([BROKEN, DOWN, DOWN, DOWN]);
    expect(await run(parts)).toBe('target_failed unknown');
  });
});
