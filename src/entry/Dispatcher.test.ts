import { create } from '@bufbuild/protobuf';
import { describe, expect, it, vi, type MockInstance } from 'vitest';
import { RetryBudget } from '../admission/RetryBudget.js';
import { ManualClock } from '../common/Clock.js';
import { SILENT_LOG } from '../common/Log.js';
import { Metrics } from '../common/Metrics.js';
import { Shutdown } from '../common/Shutdown.js';
import { FeedCopy } from '../feed/FeedCopy.js';
import {
  AnnounceRequestSchema,
  ReceiptSchema,
  RefusalReason,
} from '../gen/redwingwharf/v1/control_pb.js';
import { ServiceSchema } from '../gen/redwingwharf/v1/state_pb.js';
import type { TargetChooser, IChooseInput } from './TargetChooser.js';
import { DecisionLog } from './DecisionLog.js';
import type { DispatchClient, DispatchOutcome } from './DispatchClient.js';
import { Dispatcher, type IOutgoingRequest } from './Dispatcher.js';
import { OpenRequest } from './OpenRequests.js';
import type { IRequestContext } from './Types.js';

const RECEIPT = create(ReceiptSchema, { refusal: RefusalReason.BUSY, cachedPromptTokens: 2_000 });
const BUSY: DispatchOutcome = { kind: 'not_run', reason: RefusalReason.BUSY, receipt: RECEIPT };
const DOWN: DispatchOutcome = { kind: 'not_run', reason: RefusalReason.TARGET_DOWN };
const BROKEN: DispatchOutcome = { kind: 'unknown', message: 'the connection to the target broke' };
const ANSWERED = { kind: 'answered' } as DispatchOutcome;

interface IFixture {
  readonly dispatcher: Dispatcher;
  readonly triedTargets: Set<string>;
  readonly spend: MockInstance<(now: number) => boolean>;
  readonly recordBusy: ReturnType<typeof vi.fn>;
  readonly recordFailure: ReturnType<typeof vi.fn>;
}

/** Creates a dispatcher whose dispatches end with the given outcomes, one after the other. */
function createFixture(outcomes: readonly DispatchOutcome[]): IFixture {
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
  } as unknown as TargetChooser;
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
    shutdown: new Shutdown(),
  };
  const dispatcher = new Dispatcher(chooser, client, budget, services);
  return { dispatcher, triedTargets: new Set(), spend, recordBusy, recordFailure };
}

async function run(fixture: IFixture): Promise<string> {
  const context = {
    requestId: 'r1',
    request: { method: 'POST' },
    service: create(ServiceSchema, { name: 'lace' }),
    open: new OpenRequest('r1', undefined, 10_000),
    path: '/v1/completions',
  } as unknown as IRequestContext;
  const build = (): IOutgoingRequest => ({ headers: {}, body: undefined, outputTokens: 0 });
  const result = await fixture.dispatcher.run(
    context,
    {} as IChooseInput,
    build,
    fixture.triedTargets,
  );
  return result.ok ? 'answered' : `${result.val.code} ${result.val.ran}`;
}

describe('Dispatcher', () => {
  it('chooses again after a busy refusal without spending retry budget or excluding the target', async () => {
    const fixture = createFixture([BUSY, BUSY, ANSWERED]);
    expect(await run(fixture)).toBe('answered');
    expect(fixture.recordBusy).toHaveBeenCalledTimes(2);
    expect(fixture.spend).not.toHaveBeenCalled();
    expect(fixture.triedTargets.size).toBe(0);
    expect(fixture.recordFailure).not.toHaveBeenCalled();
  });

  it('fails after a bounded number of busy refusals and reports "not run"', async () => {
    const fixture = createFixture([BUSY, BUSY, BUSY, BUSY, ANSWERED]);
    expect(await run(fixture)).toBe('no_target no');
  });

  it('spends retry budget on a target that is down and excludes the target', async () => {
    const fixture = createFixture([DOWN, ANSWERED]);
    expect(await run(fixture)).toBe('answered');
    expect(fixture.spend).toHaveBeenCalledTimes(1);
    expect([...fixture.triedTargets]).toEqual(['t1']);
  });

  it('reports an unknown outcome if one of the targets may have run the request', async () => {
    const fixture = createFixture([BROKEN, DOWN, DOWN, DOWN]);
    expect(await run(fixture)).toBe('target_failed unknown');
  });
});
