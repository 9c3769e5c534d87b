/** Guards against requests that a stopping process passes on although it ends before their responses. */
import { describe, expect, it } from 'vitest';
import { Shutdown } from '../common/Shutdown.js';
import type { FleetView } from '../fleet/FleetView.js';
import { buildTarget } from '../fleet/Fixtures.js';
import type { IRoute } from '../fleet/Types.js';
import {
  answerOk,
  BUSY_HEAD,
  breakStream,
  OK_HEAD,
  refuseBusy,
  refuseConnection,
  resetAfterSend,
  runCall,
  ScriptedOrigins,
  ScriptedTargetClient,
  sendNothing,
  sendWithoutEnd,
  streamEvents,
  type ISetup,
  type TargetScript,
} from './Fixtures.js';
import { ResponseTimes } from './ResponseTimes.js';
import { TargetLimits } from './TargetLimits.js';
import { recordPause, TargetStates } from './TargetStates.js';
import type { ICall, IDispatch, ITargetExchange, ITargetListener } from './Types.js';
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';

const RUN_MS = 400;
const TOKENS = 10;

const SAFE: Partial<IRoute> = { kind: 'safe', isResumable: false };
const UNSAFE: Partial<IRoute> = { kind: 'unsafe', isResumable: false };
const STREAM: Partial<IRoute> = { kind: 'streaming', isResumable: false };
const RESUMABLE: Partial<IRoute> = { kind: 'streaming', isResumable: true };
const ROUTES = { safe: SAFE, unsafe: UNSAFE, stream: STREAM, resumable: RESUMABLE };

/** Knows that responses of the route take `RUN_MS`. */
function buildTimes(): ResponseTimes {
  const times = new ResponseTimes();
  for (let i = 0; i < 100; i += 1) {
    times.record({ route: 'assist', outputTokens: TOKENS, expectedFirstMs: 0 }, RUN_MS);
  }
  return times;
}

/** Begins the stop of the process after a time, and ends its calls `leftMs` later. */
function stopAfter(beginMs: number, leftMs: number): Shutdown {
  const shutdown = new Shutdown();
  const begin = (): void => {
    const now = performance.now();
    shutdown.begin(now + leftMs, now);
    setTimeout(() => {
      shutdown.end(performance.now());
    }, leftMs);
  };
  if (beginMs === 0) {
    begin();
  } else {
    setTimeout(begin, beginMs);
  }
  return shutdown;
}

/** Targets whose connections are all in use for a time, so that requests wait before they are sent. */
class BusyTargetClient extends ScriptedTargetClient {
  public readonly passedOn: string[] = [];

  constructor(
    private readonly _freeAfterMs: number,
    private readonly _script: TargetScript,
  ) {
    super([]);
  }

  public override send(
    target: TargetRecord,
    call: ICall,
    dispatch: IDispatch,
    listener: ITargetListener,
  ): ITargetExchange {
    const exchange = super.send(target, call, dispatch, { ...listener, onSend: () => false });
    const aborted = new AbortController();
    setTimeout(() => {
      if (!aborted.signal.aborted && listener.onSend()) {
        this.passedOn.push(target.id);
        this._script(listener, dispatch, aborted.signal);
      }
    }, this._freeAfterMs);
    return {
      ...exchange,
      abort: () => {
        aborted.abort();
        exchange.abort();
      },
    };
  }
}

/** Runs a call for which the stop leaves less time than its response takes. */
function runDuringStop(
  scripts: TargetScript[],
  setup: ISetup,
  stop: { readonly beginMs: number; readonly leftMs: number },
): ReturnType<typeof runCall> {
  return runCall(scripts, {
    responseTimes: buildTimes(),
    shutdown: stopAfter(stop.beginMs, stop.leftMs),
    ...setup,
    call: { deadlineMs: 3_000, outputTokens: TOKENS, ...setup.call },
  });
}

/** Fails after a time, as a target that ends. */
function failAfter(ms: number, script: TargetScript): TargetScript {
  return (listener, dispatch, signal) => {
    setTimeout(() => {
      script(listener, dispatch, signal);
    }, ms);
  };
}

/** Limits under which no target has a permit for minutes. */
function buildSpentLimits(isHubReachable: boolean): TargetLimits {
  const limits = new TargetLimits({
    countEntries: () => 1,
    findTarget: () => undefined,
    random: () => 0.9,
  });
  limits.setHubReachable(isHubReachable, performance.now());
  return limits;
}

function limitTargets(view: FleetView): void {
  for (const record of view.listTargets('lace')) {
    view.applyTarget({ ...record, rateLimit: 1, sequence: record.sequence + 1n });
  }
}

describe('a request in a process that stops', () => {
  // The process ends before the response, so that a request which may not be repeated is lost.
  it.each(Object.entries(ROUTES))(
    'is refused as not run if its response would end too late: %s',
    async (_kind, route) => {
      const { sink, targets } = await runDuringStop(
        [answerOk],
        { route },
        { beginMs: 0, leftMs: 300 },
      );
      expect(sink).toMatchObject({ status: 503, retryAfterMs: 50 });
      expect(targets.sent).toEqual([]);
    },
  );

  it.each(Object.entries(ROUTES))('is served if there is time: %s', async (_kind, route) => {
    const { sink, targets } = await runDuringStop(
      [answerOk],
      { route },
      { beginMs: 0, leftMs: 1_500 },
    );
    expect(sink).toMatchObject({ status: 200, ending: 'end' });
    expect(targets.sent).toHaveLength(1);
  });

  // Before the first response nothing is known of a route.
  it('is served without known response times if its deadline is before the end', async () => {
    const statuses = await Promise.all(
      [200, 900].map(async (deadlineMs) => {
        const setup = { route: UNSAFE, responseTimes: new ResponseTimes(), call: { deadlineMs } };
        const { sink } = await runDuringStop([answerOk], setup, { beginMs: 0, leftMs: 400 });
        return sink.status;
      }),
    );
    expect(statuses).toEqual([200, 503]);
  });

  // The request waits in the connection pool of its target, after all other decisions.
  it.each(Object.entries(ROUTES))(
    'is not sent when its connection becomes free too late: %s',
    async (_kind, route) => {
      const client = new BusyTargetClient(350, answerOk);
      const startedAt = performance.now();
      const { sink } = await runDuringStop([], { route, client }, { beginMs: 50, leftMs: 600 });
      expect(client.passedOn).toEqual([]);
      expect(sink).toMatchObject({ status: 503, retryAfterMs: 50 });
      expect(performance.now() - startedAt).toBeLessThan(340);
    },
  );

  // A response cannot be cut by the end of the process if its deadline is earlier.
  it('is sent when its connection becomes free if its deadline is before the end', async () => {
    const client = new BusyTargetClient(300, answerOk);
    const { sink } = await runDuringStop(
      [],
      { route: UNSAFE, client, responseTimes: new ResponseTimes(), call: { deadlineMs: 900 } },
      { beginMs: 50, leftMs: 1_000 },
    );
    expect(client.passedOn).toHaveLength(1);
    expect(sink).toMatchObject({ status: 200, ending: 'end' });
  });

  // Another process serves it sooner than a connection of this one becomes free.
  it('does not wait long for a connection while there is time', async () => {
    const client = new BusyTargetClient(2_000, answerOk);
    const startedAt = performance.now();
    const { sink } = await runDuringStop(
      [],
      { route: SAFE, client },
      { beginMs: 50, leftMs: 2_500 },
    );
    expect(sink.status).toBe(503);
    expect(performance.now() - startedAt).toBeLessThan(900);
  });

  it.each([
    { way: 'a retry after a failure', first: resetAfterSend, route: SAFE, status: 502 },
    { way: 'a retry after a refusal', first: refuseBusy, route: UNSAFE, status: 503 },
    { way: 'a retry without a connection', first: refuseConnection, route: UNSAFE, status: 503 },
  ])('does not begin too late: $way', async ({ first, route, status }) => {
    const { sink, targets } = await runDuringStop(
      [failAfter(150, first), answerOk],
      { route },
      { beginMs: 50, leftMs: 450 },
    );
    expect(targets.sent).toHaveLength(1);
    expect(sink.status).toBe(status);
  });

  it('is not resumed at another target too late', async () => {
    const { sink, targets } = await runDuringStop(
      [failAfter(150, breakStream), answerOk],
      { route: RESUMABLE },
      { beginMs: 50, leftMs: 450 },
    );
    expect(targets.sent).toHaveLength(1);
    expect(sink).toMatchObject({ status: 200, ending: 'cut' });
  });

  it('gets no second target beside a silent one too late', async () => {
    const { sink, targets } = await runDuringStop(
      [sendNothing, answerOk],
      { route: SAFE },
      { beginMs: 900, leftMs: 350 },
    );
    expect(targets.sent).toHaveLength(1);
    expect(sink.status).toBe(502);
  });

  it.each([
    { way: 'a permit of the hub', isHubReachable: true },
    { way: 'a permit while it is cut from the hub', isHubReachable: false },
  ])('waits no longer for $way', async ({ isHubReachable }) => {
    const startedAt = performance.now();
    const { sink, targets } = await runDuringStop(
      [answerOk],
      {
        route: { ...UNSAFE, latencyObjectiveMs: 2_500 },
        limits: buildSpentLimits(isHubReachable),
        prepareView: (view) => {
          limitTargets(view);
        },
        targets: 1,
      },
      { beginMs: 100, leftMs: 300 },
    );
    expect(targets.sent).toEqual([]);
    expect(sink.status).toBe(503);
    expect(performance.now() - startedAt).toBeLessThan(300);
  });

  it('waits no longer for the end of a pause of the targets', async () => {
    const states = new TargetStates();
    const now = performance.now();
    const target = buildTarget({ id: 'i-0', address: '10.1.0.0:8000' });
    recordPause(states.ensure(target, now), 1_000, now);
    const { sink, targets } = await runDuringStop(
      [answerOk],
      { route: { ...UNSAFE, latencyObjectiveMs: 2_500 }, states, targets: 1 },
      { beginMs: 100, leftMs: 500 },
    );
    expect(targets.sent).toEqual([]);
    expect(sink.status).toBe(503);
    expect(performance.now() - now).toBeLessThan(300);
  });

  // While a leader is elected nobody answers, and the request would wait for its whole objective.
  it('waits no longer for the origin of a stream', async () => {
    const origins = new UnansweredOrigins();
    const startedAt = performance.now();
    const { sink, targets } = await runDuringStop(
      [answerOk],
      {
        route: { ...RESUMABLE, latencyObjectiveMs: 2_000 },
        origins,
        call: { resumeAfter: 2, resumes: 'r0' },
      },
      { beginMs: 100, leftMs: 300 },
    );
    expect(targets.sent).toEqual([]);
    expect(sink.status).toBe(503);
    expect(performance.now() - startedAt).toBeLessThan(300);
  });

  // One that may be repeated costs its caller less when it is cut.
  it('is refused sooner if it may not be repeated', async () => {
    const times = new ResponseTimes();
    for (let i = 0; i < 100; i += 1) {
      const size = { route: 'assist', outputTokens: TOKENS, expectedFirstMs: 0 };
      times.record(size, i % 2 === 0 ? RUN_MS / 2 : RUN_MS * 1.5);
    }
    const stop = { beginMs: 0, leftMs: 1_400 };
    const statuses = await Promise.all(
      [SAFE, UNSAFE].map(async (route) => {
        const { sink } = await runDuringStop([answerOk], { route, responseTimes: times }, stop);
        return sink.status;
      }),
    );
    expect(statuses).toEqual([200, 503]);
  });
});

describe('a request that runs when the process ends', () => {
  it('gets an answer that promises nothing', async () => {
    const { sink, targets } = await runDuringStop(
      [sendNothing],
      { route: UNSAFE },
      { beginMs: 50, leftMs: 200 },
    );
    expect(sink).toMatchObject({ status: 502, ending: 'refuse' });
    expect(targets.aborted).toBe(1);
  });

  // Its caller could not send the request again, although no target ran it.
  it('is refused as not run if its target refused it and the refusal is still read', async () => {
    const refuseWithoutEnd = failAfter(60, (listener) => {
      listener.onHead(BUSY_HEAD);
    });
    const { sink } = await runDuringStop(
      [refuseWithoutEnd],
      { route: UNSAFE },
      { beginMs: 50, leftMs: 50 },
    );
    expect(sink).toMatchObject({ status: 503, endings: ['refuse'] });
  });

  it('is cut if its answer has begun', async () => {
    const { sink } = await runDuringStop(
      [sendWithoutEnd(OK_HEAD, streamEvents(1, 1), 1_000)],
      { route: STREAM },
      { beginMs: 50, leftMs: 200 },
    );
    expect(sink.ending).not.toBe('end');
    expect(sink.endings).toHaveLength(1);
  });

  it('is refused as not run if it still waits for a connection', async () => {
    const client = new BusyTargetClient(2_000, answerOk);
    const { sink } = await runDuringStop(
      [],
      { route: UNSAFE, client, responseTimes: new ResponseTimes(), call: { deadlineMs: 150 } },
      { beginMs: 50, leftMs: 50 },
    );
    expect(client.passedOn).toEqual([]);
    expect(sink).toMatchObject({ status: 503, endings: ['refuse'] });
  });
});

/** Has no leader that knows the origin of a stream until the request gives up. */
class UnansweredOrigins extends ScriptedOrigins {
  constructor() {
    super('v1', undefined);
  }

  public override find(
    _attemptId: string,
    _service?: string,
    signal?: AbortSignal,
    timeoutMs?: number,
  ): ReturnType<ScriptedOrigins['find']> {
    return new Promise((resolve) => {
      const answer = (): void => {
        resolve({ kind: 'unsure', reason: 'no leader' });
      };
      setTimeout(answer, timeoutMs);
      signal?.addEventListener('abort', answer);
    });
  }
}
