/** Scripted targets and a recording sink for tests of the request path. */
import { create } from '@bufbuild/protobuf';
import { ByteBudget } from '../common/ByteBudget.js';
import { MonotonicClock } from '../common/Clock.js';
import { SILENT_LOG } from '../common/Log.js';
import { NO_LOOP_DELAY } from '../common/LoopDelay.js';
import { Metrics } from '../common/Metrics.js';
import { Ok } from '../common/Result.js';
import { Shutdown } from '../common/Shutdown.js';
import { sleep } from '../common/Tasks.js';
import { buildAccount, buildConfiguration, buildRoute, buildTarget } from '../fleet/Fixtures.js';
import { FleetView } from '../fleet/FleetView.js';
import { QuotaWallet } from '../fleet/QuotaWallet.js';
import { SharedRetryBudget } from '../fleet/SharedRetryBudget.js';
import type { IRoute } from '../fleet/Types.js';
import {
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  FleetDocumentSchema,
  type TargetRecord,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { CallRunner } from './CallRunner.js';
import { Placement } from './Placement.js';
import { Hedging } from './Hedging.js';
import { CrashQuarantine } from './CrashQuarantine.js';
import { AdmissionQueue } from './queue/AdmissionQueue.js';
import type { IStreamOrigins } from './StreamBinding.js';
import { ResponseTimes } from './ResponseTimes.js';
import { RolloutGate } from './RolloutGate.js';
import { StoreIndex } from './StoreIndex.js';
import { TargetLimits } from './TargetLimits.js';
import { TargetStates } from './TargetStates.js';
import {
  BodyFraming,
  type IAnswerSink,
  type ICall,
  type IDispatch,
  type ITargetClient,
  type ITargetExchange,
  type ITargetHead,
  type ITargetListener,
} from './Types.js';

/** Behaviour of a target for one request. */
export type TargetScript = (
  listener: ITargetListener,
  dispatch: IDispatch,
  signal: AbortSignal,
) => void;

export const OK_HEAD: ITargetHead = {
  status: 200,
  headers: ['Seal', 's1'],
  framing: BodyFraming.Chunked,
  isForThisRequest: true,
  isNotRun: false,
  isOtherTarget: false,
  load: undefined,
  rateLimit: { kind: 'unlimited' },
  isLeaving: false,
  pauseMs: undefined,
};
export const BUSY_HEAD: ITargetHead = { ...OK_HEAD, status: 503, isNotRun: true };

/** Runs the next script for each request and records the dispatches. */
export class ScriptedTargetClient implements ITargetClient<ICall> {
  public readonly sent: { readonly target: string; readonly dispatch: IDispatch }[] = [];
  public aborted = 0;
  /** True if targets accept no new connections. */
  public isGone = false;

  constructor(
    private readonly _scripts: TargetScript[],
    /** Whether targets accept connections after a request has broken. */
    private readonly _isListening = true,
    private readonly _sendError?: Error,
    /** Time that a probe takes, in milliseconds. */
    private readonly _probeMs = 0,
  ) {}

  public canConnect(): Promise<boolean> {
    return Promise.resolve(!this.isGone);
  }

  public async probe(): Promise<boolean> {
    if (this._probeMs > 0) {
      await sleep(this._probeMs);
    }
    return this._isListening;
  }

  public send(
    target: TargetRecord,
    _call: ICall,
    dispatch: IDispatch,
    listener: ITargetListener,
  ): ITargetExchange {
    this.sent.push({ target: target.id, dispatch });
    if (this._sendError !== undefined) {
      throw this._sendError;
    }
    const script = this._scripts.shift();
    const exchange = new AbortController();
    setImmediate(() => {
      if (listener.onSend()) {
        script?.(listener, dispatch, exchange.signal);
      }
    });
    return {
      wasSent: true,
      pause: () => undefined,
      resume: () => undefined,
      abort: () => {
        exchange.abort();
        this.aborted += 1;
      },
    };
  }
}

export class RecordingSink implements IAnswerSink {
  public isStarted = false;
  public status = 0;
  public body = '';
  public retryAfterMs: number | undefined;
  /** All calls that end the response, in order; there must be one. */
  public readonly endings: ('end' | 'cut' | 'refuse')[] = [];

  public get ending(): 'open' | 'end' | 'cut' | 'refuse' {
    return this.endings.at(-1) ?? 'open';
  }

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
    this.endings.push('end');
  }

  public cut(): void {
    this.endings.push('cut');
  }

  public refuse(status: number, _reason: string, retryAfterMs: number | undefined): void {
    this.status = status;
    this.retryAfterMs = retryAfterMs;
    this.endings.push('refuse');
  }
}

export interface ISetup {
  readonly route?: Partial<IRoute>;
  readonly call?: Partial<ICall>;
  readonly targets?: number;
  /** Service of the targets; the default is that of the route. */
  readonly service?: string;
  /** True if the process has not received a configuration yet. */
  readonly isUnconfigured?: boolean;
  /** Version named for the model, and how long ago this entry learned of it. */
  readonly named?: { readonly version: number; readonly knownMs: number };
  /** Weights versions of the targets in order; the default is 1. */
  readonly held?: readonly number[];
  /** Prompt tokens of other entries' requests that wait at a target. */
  readonly quarantine?: CrashQuarantine;
  /** True if targets refuse connections after a request has broken. */
  readonly hasCrashed?: boolean;
  /** Time that a probe of a target takes; the default is 0. */
  readonly probeMs?: number;
  /** Thrown instead of sending a request. */
  readonly sendError?: Error;
  /** Start time of the targets. */
  readonly born?: number;
  readonly limits?: TargetLimits;
  readonly states?: TargetStates;
  /** Software versions of the targets in order; the default is v1. */
  readonly software?: readonly string[];
  readonly origins?: IStreamOrigins;
  /** Sends the requests; the default runs the scripts. */
  readonly client?: ScriptedTargetClient;
  /** Receives the response; the default takes all bytes at once. */
  readonly sink?: RecordingSink;
  /** Repetitions that the retry budget allows beyond its ratio; the default is 60. */
  readonly retrySlack?: number;
  /** The default hedges no request. */
  readonly hedging?: Hedging;
  /** Shared by several calls; the default is a new one. */
  readonly budget?: SharedRetryBudget;
  /** How long ago the process has started; 0 by default. */
  readonly processAgeMs?: number;
  /** Changes what the process knows before the call arrives. */
  readonly prepareView?: (view: FleetView) => void;
  readonly shutdown?: Shutdown;
  readonly responseTimes?: ResponseTimes;
  /** The default has no rollouts, and knows the versions of all targets. */
  readonly rollouts?: RolloutGate;
  /** For what is held of all responses; the default is more than a test needs. */
  readonly memory?: ByteBudget;
  readonly queued?: { readonly target: string; readonly pendingTokens: number };
}

export interface IRunResult {
  readonly sink: RecordingSink;
  readonly targets: ScriptedTargetClient;
}

export function buildLimits(view: FleetView): TargetLimits {
  return new TargetLimits({
    countEntries: () => 1,
    findTarget: (id) => view.getTarget(id),
    random: () => 0.5,
  });
}

/** A gate to which the hub has told of all targets that the view knows. */
export function buildGate(view: FleetView): RolloutGate {
  const gate = new RolloutGate({ countOpenAtOthers: () => 0, metrics: new Metrics() });
  const response = create(ExchangeResponseSchema, { targets: [...view.listRecords()] });
  const request = create(ExchangeRequestSchema);
  gate.applyResponse(response, { request, isNewEpoch: false, sentAt: 0, now: 0 });
  return gate;
}

export interface IRecord {
  readonly attemptId: string;
  readonly attempt: number;
  readonly version: string;
}

/** Origins at a leader that takes a time for each record and answers look-ups from a list. */
export class ScriptedOrigins implements IStreamOrigins {
  public readonly records: IRecord[] = [];
  public readonly served = new Map<string, string>();
  private readonly _services = new Map<string, string>();
  public lookups = 0;

  constructor(
    private readonly _base: string,
    private readonly _known: ReadonlyMap<string, string> | undefined,
    private readonly _recordMs = 20,
  ) {}

  public needsRecord(attemptId: string, _service: string, version: string): boolean {
    return version !== this._base || this.records.some((item) => item.attemptId === attemptId);
  }

  public record(
    attemptId: string,
    attempt: number,
    _service: string,
    version: string,
    signal: AbortSignal,
  ): Promise<boolean> {
    this.records.push({ attemptId, attempt, version });
    return new Promise((resolve) => {
      setTimeout(() => {
        resolve(!signal.aborted);
      }, this._recordMs);
    });
  }

  public find(attemptId: string): ReturnType<IStreamOrigins['find']> {
    this.lookups += 1;
    return Promise.resolve(
      this._known === undefined
        ? { kind: 'unsure', reason: 'no leader' }
        : { kind: 'version', version: this._known.get(attemptId) ?? this._base },
    );
  }

  public keepServed(attemptId: string, service: string, version: string): void {
    this.served.set(attemptId, version);
    this._services.set(attemptId, service);
  }

  public getServed(attemptId: string, service: string): string | undefined {
    const isOther = (this._services.get(attemptId) ?? service) !== service;
    return isOther ? '' : this.served.get(attemptId);
  }
}

export async function runCall(scripts: TargetScript[], setup: ISetup = {}): Promise<IRunResult> {
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
    const born = setup.born ?? 1_000;
    view.applyTarget(
      buildTarget({
        id: `i-${i}`,
        service: setup.service ?? 'lace',
        address: `10.1.0.${i}:8000`,
        models,
        born,
        softwareVersion: setup.software?.[i] ?? 'v1',
      }),
    );
  }
  if (setup.named !== undefined) {
    view.weights.record('m', setup.named.version, clock.now() - setup.named.knownMs);
  }
  if (setup.queued !== undefined) {
    const { target: id, pendingTokens } = setup.queued;
    const work = [{ id, open: 20, pendingTokens }];
    view.applyResponse(create(ExchangeResponseSchema, { work }), clock.now());
  }
  setup.prepareView?.(view);
  const targets =
    setup.client ??
    new ScriptedTargetClient(scripts, setup.hasCrashed !== true, setup.sendError, setup.probeMs);
  let startAgeMs = setup.processAgeMs ?? 0;
  const runner = new CallRunner<ICall>({
    view,
    rollouts: setup.rollouts ?? buildGate(view),
    node: { requestLeases: () => Promise.resolve(), requestExchange: () => undefined },
    wallet: new QuotaWallet(8_000),
    budget:
      setup.budget ??
      new SharedRetryBudget({
        ratio: 0.2,
        slack: setup.retrySlack ?? 60,
        windowMs: 10_000,
      }),
    states: setup.states ?? new TargetStates(),
    limits: setup.limits ?? buildLimits(view),
    placement: new Placement('zg-a'),
    hedging: setup.hedging ?? new Hedging({ maxShare: 0 }),
    quarantine: setup.quarantine ?? new CrashQuarantine(),
    admission: new AdmissionQueue({
      mayWait: true,
      clock,
      metrics: new Metrics(),
      log: SILENT_LOG,
    }),
    origins: setup.origins ?? new ScriptedOrigins('v1', new Map()),
    store: new StoreIndex(view, () => Promise.reject(new Error('no store')), clock, SILENT_LOG),
    client: targets,
    memory: setup.memory ?? new ByteBudget(64 * 1024 * 1024),
    clock: { now: () => clock.now() - startAgeMs },
    loopDelay: NO_LOOP_DELAY,
    metrics: new Metrics(),
    log: SILENT_LOG,
    weightsLimitMs: 8_800,
    shutdown: setup.shutdown ?? new Shutdown(),
    responseTimes: setup.responseTimes ?? new ResponseTimes(),
  });
  startAgeMs = 0;
  const sink = setup.sink ?? new RecordingSink();
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
      resumes: undefined,
      arrivedAt: clock.now(),
      signal: new AbortController().signal,
      hashContent: () => 1,
      ...setup.call,
    },
    sink,
  );
  return { sink, targets };
}

export function streamEvents(from: number, to: number): Buffer {
  const ids = Array.from({ length: to - from + 1 }, (_, i) => from + i);
  return Buffer.from(ids.map((id) => `id: ${id}\ndata: ${id}\n\n`).join(''));
}

export const answerOk: TargetScript = (listener) => {
  listener.onHead(OK_HEAD);
  listener.onData(streamEvents(1, 3));
  listener.onEnd();
};
/** Goes on after the last event that the client has, up to the fifth. */
export const resumeStream: TargetScript = (listener, dispatch) => {
  listener.onHead(OK_HEAD);
  listener.onData(streamEvents((dispatch.resumeAfter ?? 0) + 1, 5));
  listener.onEnd();
};
export const refuseBusy: TargetScript = (listener) => {
  listener.onHead(BUSY_HEAD);
  listener.onEnd();
};
export const resetAfterSend: TargetScript = (listener) => {
  listener.onError('reset', true);
};
export const breakStream: TargetScript = (listener) => {
  listener.onHead(OK_HEAD);
  listener.onData(streamEvents(1, 2));
  listener.onError('reset', true);
};
/** Sends the head, and bytes that end nothing until the exchange is aborted. */
export function sendWithoutEnd(head: ITargetHead, chunk: Buffer, intervalMs: number): TargetScript {
  return (listener, _dispatch, signal) => {
    listener.onHead(head);
    const timer = setInterval(() => {
      listener.onData(chunk);
    }, intervalMs);
    signal.addEventListener('abort', () => {
      clearInterval(timer);
    });
  };
}
export const refuseConnection: TargetScript = (listener) => {
  listener.onError('connection refused', false);
};
export const sendNothing: TargetScript = () => undefined;
