/**
 * Random orders of the events of several targets, of the client and of a quarantine. Guards against responses that lose or
 * repeat events, end twice or never, or are given up while a target may still bring them.
 */
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { sleep } from '../common/Tasks.js';
import { buildTarget } from '../fleet/Fixtures.js';
import type { IRoute } from '../fleet/Types.js';
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import { hashText } from '../policy/TargetTable.js';
import { CrashQuarantine } from './CrashQuarantine.js';
import {
  BUSY_HEAD,
  OK_HEAD,
  RecordingSink,
  runCall,
  ScriptedOrigins,
  ScriptedTargetClient,
} from './Fixtures.js';
import { recordPause, TargetStates } from './TargetStates.js';
import { BodyFraming, type ICall, type IDispatch, type ITargetListener } from './Types.js';

const EVENT_COUNT = 4;
const TARGET_COUNT = 3;
const DEADLINE_MS = 3_500;
const ERROR_TEXT = 'failed';
const SHARED_PART = { id: 'p1', tokens: 100 };

/** What a target does next; `finish` sends all that is left and the end. */
type Step = 'event' | 'half' | 'finish' | 'end' | 'reset' | 'busy' | 'unreachable' | 'error';

interface ITimeline {
  /** What the target does after each time; then it sends nothing any more. */
  readonly steps: readonly { readonly afterMs: number; readonly step: Step }[];
  readonly framing: BodyFraming;
}

interface IScenario {
  readonly timelines: readonly ITimeline[];
  /** Software version of each target. */
  readonly software: readonly string[];
  /** Time until the version of a stream is recorded, where it has to be. */
  readonly recordMs: number;
  readonly route: Partial<IRoute>;
  readonly probe: { readonly ms: number; readonly isListening: boolean };
  /** Each write after which the client reads nothing for a time. */
  readonly slow: { readonly every: number; readonly ms: number };
  /** Times at which a target leaves, or wants no requests for a time. */
  readonly wishes: readonly {
    readonly afterMs: number;
    readonly target: number;
    readonly pauseMs: number | undefined;
  }[];
  /** Repetitions that the retry budget allows beyond its ratio, before its safety factor. */
  readonly retrySlack: number;
  readonly leaveAfterMs: number | undefined;
  readonly quarantineAfterMs: number | undefined;
}

/** One request at a target that follows its timeline. */
class TargetRun {
  public isOpen = true;
  /** True once the target may have run the request. */
  public mayHaveRun = true;
  public abortedAt: number | undefined;
  public hasSentError = false;
  private _hasHead = false;
  private _next: number;
  private _half = '';
  private _isPaused = false;
  private readonly _waiting: (() => void)[] = [];

  constructor(
    private readonly _client: TimelineClient,
    public readonly target: string,
    private readonly _timeline: ITimeline,
    private readonly _listener: ITargetListener,
    dispatch: IDispatch,
    isStream: boolean,
    private readonly _version: string,
  ) {
    this._next = isStream ? (dispatch.resumeAfter ?? 0) + 1 : 1;
  }

  public async start(): Promise<void> {
    for (const { afterMs, step } of this._timeline.steps) {
      await sleep(afterMs);
      this._deliver(() => {
        this._take(step);
      });
    }
  }

  public pause(): void {
    this._isPaused = true;
  }

  public resume(): void {
    this._isPaused = false;
    for (const action of this._waiting.splice(0)) {
      this._deliver(action);
    }
  }

  public abort(): void {
    if (this.isOpen) {
      this.isOpen = false;
      this.abortedAt = performance.now();
      this._client.recordAbort(this);
    }
  }

  private _deliver(action: () => void): void {
    if (!this.isOpen) {
      return;
    }
    if (this._isPaused) {
      this._waiting.push(action);
      return;
    }
    this._client.deliver(this, action);
  }

  private _take(step: Step): void {
    switch (step) {
      case 'event':
        if (this._next <= EVENT_COUNT) {
          this._sendEvent();
        }
        return;
      case 'half':
        if (this._next <= EVENT_COUNT && this._half === '') {
          this._half = formatEvent(this._next, this._version).slice(0, 3);
          this._send(this._half);
        }
        return;
      case 'finish':
        while (this._next <= EVENT_COUNT && this.isOpen) {
          this._sendEvent();
        }
        this._finish();
        return;
      case 'end':
        this._finish();
        return;
      case 'reset':
        this._crash(true);
        return;
      case 'busy':
        if (this._hasHead) {
          this._crash(true);
          return;
        }
        this.mayHaveRun = false;
        this.isOpen = false;
        this._listener.onHead(BUSY_HEAD);
        this._listener.onEnd();
        return;
      case 'unreachable':
        this._crash(this._hasHead);
        return;
      case 'error':
        if (this._hasHead) {
          this._crash(true);
          return;
        }
        this._listener.onHead({ ...OK_HEAD, status: 500 });
        if (this.isOpen) {
          this._listener.onData(Buffer.from(ERROR_TEXT));
        }
        if (this.isOpen) {
          this.isOpen = false;
          this.hasSentError = true;
          this._listener.onEnd();
        }
    }
  }

  private _sendEvent(): void {
    const text = formatEvent(this._next, this._version).slice(this._half.length);
    this._half = '';
    this._next += 1;
    this._send(text);
  }

  private _send(text: string): void {
    if (!this._hasHead) {
      this._hasHead = true;
      this._listener.onHead({ ...OK_HEAD, framing: this._timeline.framing });
    }
    if (this.isOpen) {
      this._listener.onData(Buffer.from(text));
    }
  }

  /** Ends a whole response; breaks off any other, as no sound target ends it. */
  private _finish(): void {
    if (!this.isOpen) {
      return;
    }
    if (this._next <= EVENT_COUNT || !this._hasHead) {
      this._crash(true);
      return;
    }
    this.isOpen = false;
    this._listener.onEnd();
  }

  private _crash(wasSent: boolean): void {
    this.isOpen = false;
    this.mayHaveRun = wasSent;
    this._listener.onError('broken', wasSent);
  }
}

/** Runs a timeline for each request, and records which run was aborted for which. */
class TimelineClient extends ScriptedTargetClient {
  public readonly runs: TargetRun[] = [];
  public readonly faults: string[] = [];
  public readonly sentAt: number[] = [];
  private _delivering: TargetRun | undefined;

  constructor(
    private readonly _scenario: IScenario,
    private readonly _sink: StrictSink,
    private readonly _mayAbort: () => boolean,
  ) {
    super([]);
  }

  public override async probe(): Promise<boolean> {
    await sleep(this._scenario.probe.ms);
    return this._scenario.probe.isListening;
  }

  public override send(
    target: TargetRecord,
    _call: ICall,
    dispatch: IDispatch,
    listener: ITargetListener,
  ): ReturnType<ScriptedTargetClient['send']> {
    const timeline = this._scenario.timelines[this.runs.length] ?? {
      steps: [],
      framing: BodyFraming.Chunked,
    };
    const isStream = this._scenario.route.kind === 'streaming';
    const version = target.softwareVersion;
    const run = new TargetRun(this, target.id, timeline, listener, dispatch, isStream, version);
    if (listener.onSend()) {
      this.runs.push(run);
      this.sentAt.push(performance.now());
      void run.start();
    }
    return {
      wasSent: true,
      pause: () => {
        run.pause();
      },
      resume: () => {
        run.resume();
      },
      abort: () => {
        run.abort();
      },
    };
  }

  /** Delivers an event of a run. Other runs may be aborted only for bytes that reach the client. */
  public deliver(run: TargetRun, action: () => void): void {
    const openBefore = this.runs.filter(({ isOpen }) => isOpen);
    const written = this._sink.body.length + this._sink.endings.length;
    this._delivering = run;
    action();
    this._delivering = undefined;
    const isWritten = this._sink.body.length + this._sink.endings.length > written;
    if (openBefore.some((other) => other !== run && !other.isOpen) && !isWritten) {
      this.faults.push(`${run.target} ended another run without a byte for the client`);
    }
    if (isWritten && this.runs.some((other) => other !== run && other.isOpen)) {
      this.faults.push(`another run went on after ${run.target} had relayed`);
    }
  }

  public recordAbort(run: TargetRun): void {
    if (this._delivering !== undefined || this._mayAbort()) {
      return;
    }
    // A response that ends with its connection is relayed only after a probe.
    setImmediate(() => {
      if (this._sink.writtenAt !== run.abortedAt) {
        this.faults.push(`${run.target} was given up though nothing took its place`);
      }
    });
  }
}

/** Fails on each call after the end, and takes no bytes for a time after some writes. */
class StrictSink extends RecordingSink {
  public readonly faults: string[] = [];
  /** When the client last got a byte or the end of its answer. */
  public writtenAt = Number.NaN;
  /** Runs that were open when the router ended the response by itself. */
  public openAtEnd = 0;
  public countOpen: () => number = () => 0;
  private _writes = 0;

  constructor(private readonly _slow: IScenario['slow']) {
    super();
  }

  public override start(status: number): void {
    this._check('start');
    super.start(status);
  }

  public override write(chunk: Uint8Array): boolean {
    this._check('write');
    super.write(chunk);
    this.writtenAt = performance.now();
    this._writes += 1;
    return this._slow.every === 0 || this._writes % this._slow.every !== 0;
  }

  public override waitWritable(): Promise<void> {
    return sleep(this._slow.ms);
  }

  public override end(): void {
    this._check('end');
    super.end();
    this.writtenAt = performance.now();
  }

  public override cut(): void {
    this._check('cut');
    super.cut();
    this.openAtEnd = this.countOpen();
  }

  public override refuse(status: number, reason: string, retryAfterMs: number | undefined): void {
    this._check('refuse');
    super.refuse(status, reason, retryAfterMs);
    this.openAtEnd = this.countOpen();
  }

  private _check(name: string): void {
    if (this.endings.length > 0) {
      this.faults.push(`${name} after the end`);
    }
  }
}

function formatEvent(id: number, version: string): string {
  return `id: ${id}\ndata: ${version}\n\n`;
}

function formatEvents(count: number, version: string): string {
  return Array.from({ length: count }, (_, i) => formatEvent(i + 1, version)).join('');
}

const STEP = fc.record({
  afterMs: fc.oneof(fc.nat(60), fc.nat(600), fc.integer({ min: 900, max: 1_700 })),
  step: fc.oneof(
    { weight: 6, arbitrary: fc.constant<Step>('event') },
    { weight: 2, arbitrary: fc.constant<Step>('half') },
    { weight: 4, arbitrary: fc.constant<Step>('finish') },
    { weight: 2, arbitrary: fc.constant<Step>('error') },
    { weight: 4, arbitrary: fc.constantFrom<Step>('end', 'reset', 'busy', 'unreachable') },
  ),
});

const VERSIONS = ['v1', 'v2'];

const SCENARIO: fc.Arbitrary<IScenario> = fc.record({
  software: fc.array(fc.constantFrom(...VERSIONS), {
    minLength: TARGET_COUNT,
    maxLength: TARGET_COUNT,
  }),
  recordMs: fc.nat(1_500),
  timelines: fc.array(
    fc.record({
      steps: fc.array(STEP, { maxLength: 6 }),
      framing: fc.constantFrom(BodyFraming.Chunked, BodyFraming.Close),
    }),
    { minLength: TARGET_COUNT, maxLength: TARGET_COUNT },
  ),
  route: fc.record({
    kind: fc.constantFrom<IRoute['kind']>('streaming', 'streaming', 'streaming', 'safe', 'unsafe'),
    isResumable: fc.constantFrom(true, true, true, false),
    maxAttempts: fc.integer({ min: 1, max: 3 }),
  }),
  probe: fc.record({ ms: fc.nat(400), isListening: fc.boolean() }),
  slow: fc.record({ every: fc.nat(3), ms: fc.nat(1_500) }),
  wishes: fc.array(
    fc.record({
      afterMs: fc.nat(DEADLINE_MS),
      target: fc.nat(TARGET_COUNT - 1),
      pauseMs: fc.option(fc.nat(2_000), { nil: undefined }),
    }),
    { maxLength: 2 },
  ),
  retrySlack: fc.constantFrom(0, 2, 60, 60),
  leaveAfterMs: fc.option(fc.nat(DEADLINE_MS), { nil: undefined, freq: 5 }),
  quarantineAfterMs: fc.option(fc.nat(DEADLINE_MS), { nil: undefined, freq: 6 }),
});

interface IResult {
  readonly sink: StrictSink;
  readonly client: TimelineClient;
  readonly states: TargetStates;
  readonly startedAt: number;
  readonly isSettled: boolean;
}

async function runScenario(scenario: IScenario): Promise<IResult> {
  const sink = new StrictSink(scenario.slow);
  const states = new TargetStates();
  const quarantine = new CrashQuarantine();
  const leaving = new AbortController();
  const startedAt = performance.now();
  let isQuarantined = false;
  const isOver = (): boolean =>
    leaving.signal.aborted || isQuarantined || performance.now() - startedAt >= DEADLINE_MS;
  const client = new TimelineClient(scenario, sink, isOver);
  sink.countOpen = () => (isOver() ? 0 : client.runs.filter(({ isOpen }) => isOpen).length);
  if (scenario.leaveAfterMs !== undefined) {
    setTimeout(() => {
      leaving.abort();
    }, scenario.leaveAfterMs);
  }
  if (scenario.quarantineAfterMs !== undefined) {
    setTimeout(() => {
      isQuarantined = true;
      const parts = [hashText(`m/${SHARED_PART.id}`)];
      quarantine.applySuspects([{ parts, quarantined: true }], performance.now());
    }, scenario.quarantineAfterMs);
  }
  for (const { afterMs, target, pauseMs } of scenario.wishes) {
    setTimeout(() => {
      const now = performance.now();
      const state = states.ensure(buildTarget({ id: `i-${target}`, born: 1_000 }), now);
      if (pauseMs === undefined) {
        state.isLeaving = true;
      } else {
        recordPause(state, pauseMs, now);
      }
    }, afterMs);
  }
  let isSettled = false;
  const running = runCall([], {
    call: {
      deadlineMs: DEADLINE_MS,
      parts: [SHARED_PART, { id: 'own', tokens: 10 }],
      signal: leaving.signal,
    },
    targets: TARGET_COUNT,
    route: scenario.route,
    client,
    sink,
    states,
    quarantine,
    retrySlack: scenario.retrySlack,
    software: scenario.software,
    origins: new ScriptedOrigins('v1', new Map(), scenario.recordMs),
  }).then(() => {
    isSettled = true;
  });
  await Promise.all([running, vi.advanceTimersByTimeAsync(DEADLINE_MS + 6_000)]);
  return { sink, client, states, startedAt, isSettled };
}

/** What versions write does not fit together, so that a body is of one version. */
function checkBody({ sink }: IResult, route: Partial<IRoute>): void {
  if (sink.status === 500) {
    expect(sink).toMatchObject({ body: ERROR_TEXT, ending: 'end' });
    return;
  }
  const whole = VERSIONS.map((version) => formatEvents(EVENT_COUNT, version));
  if (sink.ending === 'end') {
    expect(whole).toContain(sink.body);
  } else if (route.kind === 'streaming') {
    const counts = Array.from({ length: EVENT_COUNT + 1 }, (_, count) => count);
    expect(
      VERSIONS.flatMap((version) => counts.map((count) => formatEvents(count, version))),
    ).toContain(sink.body);
  } else {
    expect(whole.some((text) => text.startsWith(sink.body))).toBe(true);
  }
}

function checkRuns({ client, sink, startedAt }: IResult, scenario: IScenario): void {
  const { route, leaveAfterMs } = scenario;
  const begun = client.runs.filter(({ mayHaveRun }) => mayHaveRun);
  expect(client.runs.every(({ isOpen }) => !isOpen)).toBe(true);
  const isRepeatable =
    route.kind === 'safe' || (route.kind === 'streaming' && route.isResumable === true);
  expect(begun.length).toBeLessThanOrEqual(isRepeatable ? (route.maxAttempts ?? 1) : 1);
  expect(new Set(client.runs.map(({ target }) => target)).size).toBe(client.runs.length);
  if (sink.ending === 'refuse' && sink.status === 503) {
    expect(begun).toEqual([]);
  }
  const isUndisturbed = leaveAfterMs === undefined && scenario.quarantineAfterMs === undefined;
  if (isUndisturbed && route.kind !== 'safe' && sink.ending === 'refuse') {
    expect(client.runs.some(({ hasSentError }) => hasSentError)).toBe(false);
  }
  if (leaveAfterMs !== undefined) {
    const leftAt = startedAt + leaveAfterMs;
    expect(client.sentAt.filter((at) => at > leftAt)).toEqual([]);
    expect(client.runs.filter(({ abortedAt = 0 }) => abortedAt > leftAt)).toEqual([]);
  }
}

describe('overlapping attempts in any order', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('bring each event once and in order, end once, and give up no run for nothing', async () => {
    await fc.assert(
      fc.asyncProperty(SCENARIO, async (scenario) => {
        const result = await runScenario(scenario);
        const { sink, client, states, isSettled } = result;
        expect(isSettled).toBe(true);
        expect([...sink.faults, ...client.faults]).toEqual([]);
        expect(sink.endings.length).toBeLessThanOrEqual(1);
        if (scenario.leaveAfterMs === undefined) {
          expect(sink.endings).toHaveLength(1);
        }
        expect(sink.openAtEnd).toBe(0);
        checkBody(result, scenario.route);
        checkRuns(result, scenario);
        for (let i = 0; i < TARGET_COUNT; i += 1) {
          const target = buildTarget({ id: `i-${i}`, born: 1_000 });
          expect(states.ensure(target, performance.now())).toMatchObject({
            open: 0,
            pendingTokens: 0,
            longStreams: 0,
            suspects: 0,
          });
        }
      }),
      { numRuns: 2_500, seed: 30 },
    );
  });
});
