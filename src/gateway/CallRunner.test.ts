/** Guards the promises of the data path: at most once, true refusals, whole and ordered streams. */
import { create } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { MonotonicClock } from '../common/Clock.js';
import { SILENT_LOG } from '../common/Log.js';
import { Metrics } from '../common/Metrics.js';
import { Ok } from '../common/Result.js';
import { buildAccount, buildConfiguration, buildRoute, buildTarget } from '../fleet/Fixtures.js';
import { FleetView } from '../fleet/FleetView.js';
import { QuotaWallet } from '../fleet/QuotaWallet.js';
import { SharedRetryBudget } from '../fleet/SharedRetryBudget.js';
import type { IRoute } from '../fleet/Types.js';
import { FleetDocumentSchema, type TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import { CallRunner } from './CallRunner.js';
import { Placement } from './Placement.js';
import { StoreIndex } from './StoreIndex.js';
import { TargetStates } from './TargetStates.js';
import type {
  IAnswerSink,
  ICall,
  IDispatch,
  ITargetClient,
  ITargetExchange,
  ITargetHead,
  ITargetListener,
} from './Types.js';

/** What a target does with one request. */
type Script = (listener: ITargetListener, dispatch: IDispatch) => void;

const OK_HEAD: ITargetHead = {
  status: 200,
  headers: ['Seal', 's1'],
  isOwn: true,
  isNotRun: false,
  isOtherTarget: false,
  load: undefined,
};
const FULL_HEAD: ITargetHead = { ...OK_HEAD, status: 503, isNotRun: true };

/** Plays one script after the other and records what was sent. */
class ScriptedTargets implements ITargetClient<ICall> {
  public readonly sent: { readonly target: string; readonly dispatch: IDispatch }[] = [];
  public aborted = 0;

  constructor(private readonly _scripts: Script[]) {}

  public send(
    target: TargetRecord,
    _call: ICall,
    dispatch: IDispatch,
    listener: ITargetListener,
  ): ITargetExchange {
    this.sent.push({ target: target.id, dispatch });
    const script = this._scripts.shift();
    setImmediate(() => script?.(listener, dispatch));
    return {
      wasSent: true,
      pause: () => undefined,
      resume: () => undefined,
      abort: () => {
        this.aborted += 1;
      },
    };
  }
}

class RecordingSink implements IAnswerSink {
  public isStarted = false;
  public status = 0;
  public body = '';
  public retryAfterMs: number | undefined;
  public ending: 'open' | 'end' | 'cut' | 'refuse' = 'open';

  public start(status: number): void {
    this.isStarted = true;
    this.status = status;
  }

  public write(chunk: Uint8Array): boolean {
    this.body += Buffer.from(chunk).toString();
    return true;
  }

  public waitWritable(): Promise<void> {
    return Promise.resolve();
  }

  public end(): void {
    this.ending = 'end';
  }

  public cut(): void {
    this.ending = 'cut';
  }

  public refuse(status: number, _reason: string, retryAfterMs: number | undefined): void {
    this.status = status;
    this.retryAfterMs = retryAfterMs;
    this.ending = 'refuse';
  }
}

interface ISetup {
  readonly route?: Partial<IRoute>;
  readonly call?: Partial<ICall>;
  readonly targets?: number;
  /** True: the process has just started and knows no configuration. */
  readonly isUnconfigured?: boolean;
  /** Version named for the model, and for how long it has been known. */
  readonly named?: { readonly version: number; readonly knownMs: number };
  /** Versions of the targets' weights; 1 where it names none. */
  readonly held?: readonly number[];
}

interface IPlayed {
  readonly sink: RecordingSink;
  readonly targets: ScriptedTargets;
}

async function play(scripts: Script[], setup: ISetup = {}): Promise<IPlayed> {
  const clock = new MonotonicClock();
  const configuration = buildConfiguration({
    routes: [buildRoute(setup.route)],
    clientAccounts: [buildAccount({ isIsolated: true })],
  });
  const view = new FleetView(() => Ok(configuration), SILENT_LOG);
  if (setup.isUnconfigured !== true) {
    view.applyDocument(create(FleetDocumentSchema, { version: 7n }));
  }
  for (let i = 0; i < (setup.targets ?? 3); i += 1) {
    const models = [{ name: 'm', version: BigInt(setup.held?.[i] ?? 1) }];
    view.applyTarget(buildTarget({ id: `i-${i}`, address: `10.1.0.${i}:8000`, models }));
  }
  if (setup.named !== undefined) {
    view.weights.note('m', setup.named.version, clock.now() - setup.named.knownMs);
  }
  const targets = new ScriptedTargets(scripts);
  const runner = new CallRunner<ICall>({
    view,
    node: { awaitExchange: () => Promise.resolve(true) },
    wallet: new QuotaWallet(8_000),
    budget: new SharedRetryBudget({ ratio: 0.2, slack: 60, windowMs: 10_000 }),
    states: new TargetStates(),
    placement: new Placement('zg-a'),
    store: new StoreIndex(view, () => Promise.reject(new Error('no store')), clock, SILENT_LOG),
    client: targets,
    clock,
    metrics: new Metrics(),
    log: SILENT_LOG,
    quota: { windowMs: 8_000, excess: 0, tolerance: 0 },
    weights: { softMs: 6_500, hardMs: 8_800 },
  });
  const sink = new RecordingSink();
  await runner.run(
    {
      id: 'r1',
      method: 'POST',
      host: 'desk.example',
      path: '/assist/7',
      key: 'key-pag',
      deadlineMs: 400,
      model: 'm',
      promptTokens: 100,
      outputTokens: 10,
      lengthHint: undefined,
      parts: [],
      resumeAfter: undefined,
      arrivedAt: clock.now(),
      signal: new AbortController().signal,
      ...setup.call,
    },
    sink,
  );
  return { sink, targets };
}

function streamEvents(from: number, to: number): Buffer {
  const ids = Array.from({ length: to - from + 1 }, (_, i) => from + i);
  return Buffer.from(ids.map((id) => `id: ${id}\ndata: ${id}\n\n`).join(''));
}

const answerOk: Script = (listener) => {
  listener.onHead(OK_HEAD);
  listener.onData(streamEvents(1, 3));
  listener.onEnd();
};
const refuseFull: Script = (listener) => {
  listener.onHead(FULL_HEAD);
  listener.onEnd();
};
const resetAfterSend: Script = (listener) => {
  listener.onError('reset', true);
};
const refuseConnection: Script = (listener) => {
  listener.onError('connection refused', false);
};
const staySilent: Script = () => undefined;

const UNSAFE: Partial<IRoute> = { kind: 'unsafe', isResumable: false, maxAttempts: 3 };

describe('CallRunner', () => {
  it.each([
    ['configuration', { isUnconfigured: true }],
    ['target', { targets: 0 }],
  ])('common stop: asks clients to come back when there is a %s again', async (_name, setup) => {
    const { sink } = await play([], setup);
    expect(sink.status).toBe(503);
    // A process finds the leader and its targets announce themselves about 0.8 s after its start.
    expect(sink.retryAfterMs).toBeGreaterThanOrEqual(800);
  });

  it('passes on the answer of a target', async () => {
    const { sink } = await play([answerOk]);
    expect(sink).toMatchObject({ status: 200, ending: 'end' });
    expect(sink.body).toBe(streamEvents(1, 3).toString());
  });

  it('sends an unsafe request to no second target once the first may have run it', async () => {
    const { sink, targets } = await play([resetAfterSend, answerOk], { route: UNSAFE });
    expect(targets.sent).toHaveLength(1);
    expect(sink).toMatchObject({ status: 502, ending: 'refuse' });
  });

  it('sends an unsafe request on when the target says that it did not run it', async () => {
    const { sink, targets } = await play([refuseFull, answerOk], { route: UNSAFE });
    expect(targets.sent.map(({ target }) => target)).toHaveLength(2);
    expect(sink.status).toBe(200);
  });

  it('says "not run" only if no target can have run the request', async () => {
    const refused = await play([refuseFull, refuseFull, refuseFull], { route: UNSAFE });
    expect(refused.sink).toMatchObject({ status: 503, ending: 'refuse' });
    expect(refused.sink.retryAfterMs).toBeGreaterThan(0);
    const unknown = await play([resetAfterSend, refuseFull], {
      route: { kind: 'safe', maxAttempts: 2 },
    });
    expect(unknown.sink.status).toBe(502);
  });

  it('does not count targets that were not reached as attempts', async () => {
    const { sink, targets } = await play([refuseConnection, refuseConnection, answerOk], {
      route: { ...UNSAFE, maxAttempts: 1 },
    });
    expect(targets.sent).toHaveLength(3);
    expect(sink.status).toBe(200);
  });

  it('keeps to the attempts that the route allows', async () => {
    const { targets } = await play([refuseFull, refuseFull, refuseFull], {
      route: { maxAttempts: 2 },
    });
    expect(targets.sent).toHaveLength(2);
  });

  it('goes on after the last whole event at another target', async () => {
    const breakMidway: Script = (listener) => {
      listener.onHead(OK_HEAD);
      listener.onData(streamEvents(1, 2));
      listener.onData(Buffer.from('id: 3\nda'));
      listener.onError('reset', true);
    };
    const goOn: Script = (listener, dispatch) => {
      listener.onHead(OK_HEAD);
      listener.onData(streamEvents((dispatch.resumeAfter ?? 0) + 1, 5));
      listener.onEnd();
    };
    const { sink } = await play([breakMidway, goOn]);
    expect(sink).toMatchObject({ body: streamEvents(1, 5).toString(), ending: 'end' });
  });

  it('cuts a broken stream that may not be resumed', async () => {
    const breakMidway: Script = (listener) => {
      listener.onHead(OK_HEAD);
      listener.onData(streamEvents(1, 2));
      listener.onError('reset', true);
    };
    const { sink, targets } = await play([breakMidway, answerOk], {
      route: { isResumable: false },
    });
    expect(targets.sent).toHaveLength(1);
    expect(sink).toMatchObject({ ending: 'cut' });
  });

  it('joins no two answers to a safe request', async () => {
    const breakMidway: Script = (listener) => {
      listener.onHead(OK_HEAD);
      listener.onData(Buffer.from('half of'));
      listener.onError('reset', true);
    };
    const answerWhole: Script = (listener) => {
      listener.onHead(OK_HEAD);
      listener.onData(Buffer.from('the whole'));
      listener.onEnd();
    };
    const { sink } = await play([breakMidway, answerWhole], { route: { kind: 'safe' } });
    expect(sink).toMatchObject({ status: 200, body: 'the whole', ending: 'end' });
  });

  it('cuts a long answer to a safe request that breaks after it was begun', async () => {
    const breakLate: Script = (listener) => {
      listener.onHead(OK_HEAD);
      listener.onData(Buffer.alloc(100_000));
      listener.onError('reset', true);
    };
    const { sink, targets } = await play([breakLate, answerOk], { route: { kind: 'safe' } });
    expect(targets.sent).toHaveLength(1);
    expect(sink.ending).toBe('cut');
  });

  it('passes on no answer to another request', async () => {
    const answerOther: Script = (listener) => {
      listener.onHead({ ...OK_HEAD, isOwn: false });
      listener.onData(streamEvents(1, 3));
      listener.onEnd();
    };
    const { sink, targets } = await play([answerOther], { route: UNSAFE });
    expect(sink).toMatchObject({ status: 502, body: '' });
    expect(targets.aborted).toBe(1);
  });

  it('answers at the limit and takes the request back from the target', async () => {
    const { sink, targets } = await play([staySilent], { call: { deadlineMs: 60 } });
    expect(sink).toMatchObject({ status: 504, ending: 'refuse' });
    expect(targets.aborted).toBe(1);
  });

  it('hands targets no more time than is left', async () => {
    const { targets } = await play([answerOk], { route: { timeoutMs: 200 } });
    expect(targets.sent[0]?.dispatch.deadlineMs).toBeLessThanOrEqual(200);
  });

  it('takes the request back when the client leaves', async () => {
    const left = new AbortController();
    setTimeout(() => {
      left.abort();
    }, 20);
    const { sink, targets } = await play([staySilent], { call: { signal: left.signal } });
    expect(targets.aborted).toBe(1);
    expect(sink.ending).toBe('open');
  });

  it('keeps isolated client accounts and weights apart in the cache', async () => {
    const { targets } = await play([answerOk]);
    expect(targets.sent[0]?.dispatch).toMatchObject({
      cacheScope: '1/pag',
      weightsVersion: 1,
      clientAccount: 'pag',
    });
  });

  it('serves on replaced weights while no target has newer ones, up to the limit', async () => {
    const early = await play([answerOk], { named: { version: 2, knownMs: 7_000 } });
    expect(early.sink.status).toBe(200);
    const late = await play([answerOk], { named: { version: 2, knownMs: 9_000 } });
    expect(late.sink).toMatchObject({ status: 503, ending: 'refuse' });
    expect(late.targets.sent).toEqual([]);
  });

  it('passes over targets with weights replaced long ago while another is left', async () => {
    const { targets } = await play([answerOk], {
      named: { version: 2, knownMs: 7_000 },
      held: [1, 1, 2],
    });
    expect(targets.sent.map(({ target }) => target)).toEqual(['i-2']);
  });

  it.each([
    ['an unknown route', { call: { path: '/nowhere/' } }, 404],
    ['an unknown key', { call: { key: 'nobody' } }, 401],
    ['no target', { targets: 0 }, 503],
  ])('refuses %s at once', async (_name, setup, status) => {
    const { sink, targets } = await play([], setup);
    expect(sink.status).toBe(status);
    expect(targets.sent).toEqual([]);
  });
});
