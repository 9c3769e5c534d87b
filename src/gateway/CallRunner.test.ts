/**
 * Guards the guarantees of the request path: unsafe requests run at most once, "not run" is stated only if
 * it is certain, and streams arrive complete and in order.
 */
import { describe, expect, it } from 'vitest';
import { buildTarget } from '../fleet/Fixtures.js';
import { SharedRetryBudget } from '../fleet/SharedRetryBudget.js';
import type { IRoute } from '../fleet/Types.js';
import { CrashQuarantine } from './CrashQuarantine.js';
import {
  type TargetScript,
  OK_HEAD,
  BUSY_HEAD,
  runCall,
  streamEvents,
  answerOk,
  refuseBusy,
  resetAfterSend,
  breakStream,
  sendWithoutEnd,
  refuseConnection,
  sendNothing,
} from './Fixtures.js';
import { TargetLimits } from './TargetLimits.js';
import { recordPause, TargetStates, type ITargetState } from './TargetStates.js';
import { BodyFraming } from './Types.js';

const UNSAFE: Partial<IRoute> = { kind: 'unsafe', isResumable: false, maxAttempts: 3 };

describe('CallRunner', () => {
  it.each([
    ['configuration', { isUnconfigured: true }],
    ['target', { targets: 0 }],
  ])(
    'simultaneous stop of all processes: Retry-After lasts until there is a %s again',
    async (_name, setup) => {
      const { sink } = await runCall([], setup);
      expect(sink.status).toBe(503);
      // About 0.8 s after its start a process has found the leader and the targets have announced themselves.
      expect(sink.retryAfterMs).toBeGreaterThanOrEqual(800);
    },
  );

  it('relays the response of a target', async () => {
    const { sink } = await runCall([answerOk]);
    expect(sink).toMatchObject({ status: 200, ending: 'end' });
    expect(sink.body).toBe(streamEvents(1, 3).toString());
  });

  it('does not retry an unsafe request that the first target may have run', async () => {
    const { sink, targets } = await runCall([resetAfterSend, answerOk], { route: UNSAFE });
    expect(targets.sent).toHaveLength(1);
    expect(sink).toMatchObject({ status: 502, ending: 'refuse' });
  });

  it('retries an unsafe request if the target states that it did not run it', async () => {
    const { sink, targets } = await runCall([refuseBusy, answerOk], { route: UNSAFE });
    expect(targets.sent.map(({ target }) => target)).toHaveLength(2);
    expect(sink.status).toBe(200);
  });

  it('reports "not run" only if no target can have run the request', async () => {
    const refused = await runCall([refuseBusy, refuseBusy, refuseBusy], { route: UNSAFE });
    expect(refused.sink).toMatchObject({ status: 503, ending: 'refuse' });
    expect(refused.sink.retryAfterMs).toBeGreaterThan(0);
    const unknown = await runCall([resetAfterSend, refuseBusy], {
      route: { kind: 'safe', maxAttempts: 2 },
    });
    expect(unknown.sink.status).toBe(502);
  });

  it('does not count unreachable targets as attempts', async () => {
    const { sink, targets } = await runCall([refuseConnection, refuseConnection, answerOk], {
      route: { ...UNSAFE, maxAttempts: 1 },
    });
    expect(targets.sent).toHaveLength(3);
    expect(sink.status).toBe(200);
  });

  it('makes no more attempts than the route allows', async () => {
    const { targets } = await runCall([refuseBusy, refuseBusy, refuseBusy], {
      route: { maxAttempts: 2 },
    });
    expect(targets.sent).toHaveLength(2);
  });

  // Guards against more retries at a service than its own requests allow, as a split route counted all for its first one.
  it('counts a request of a split route for the service that gets it', async () => {
    const budget = new SharedRetryBudget({ ratio: 1.5, slack: 0, windowMs: 10_000 });
    const shares = [
      { service: 'orders', weight: 0 },
      { service: 'lace', weight: 1 },
    ];
    await runCall([answerOk], { budget, route: { shares } });
    const now = performance.now();
    expect(budget.trySpend('orders', 1, now)).toBe(false);
    expect(budget.trySpend('lace', 1, now)).toBe(true);
  });

  it('resumes a broken stream at another target after the last complete event', async () => {
    const failMidway: TargetScript = (listener) => {
      listener.onHead(OK_HEAD);
      listener.onData(streamEvents(1, 2));
      listener.onData(Buffer.from('id: 3\nda'));
      listener.onError('reset', true);
    };
    const resumeStream: TargetScript = (listener, dispatch) => {
      listener.onHead(OK_HEAD);
      listener.onData(streamEvents((dispatch.resumeAfter ?? 0) + 1, 5));
      listener.onEnd();
    };
    const { sink } = await runCall([failMidway, resumeStream]);
    expect(sink).toMatchObject({ body: streamEvents(1, 5).toString(), ending: 'end' });
  });

  // Guards against events that come twice: without an id nothing tells the next target where to go on.
  it.each([
    ['no event has an id', 'data: a\n\ndata: b\n\n'],
    ['the last event has no id', 'id: 1\ndata: a\n\ndata: b\n\n'],
    [
      'an event without id and a comment follow the last id',
      'id: 1\ndata: a\n\ndata: b\n\n: c\n\n',
    ],
  ])('cuts a broken stream if %s', async (_case, events) => {
    const failMidway: TargetScript = (listener) => {
      listener.onHead(OK_HEAD);
      listener.onData(Buffer.from(events));
      listener.onError('reset', true);
    };
    const { sink, targets } = await runCall([failMidway, answerOk]);
    expect(targets.sent).toHaveLength(1);
    expect(sink).toMatchObject({ body: events, ending: 'cut' });
  });

  it('resumes a broken stream after an event with an id and a comment', async () => {
    const failMidway: TargetScript = (listener) => {
      listener.onHead(OK_HEAD);
      listener.onData(Buffer.from('data: 0\n\n'));
      listener.onData(streamEvents(1, 2));
      listener.onData(Buffer.from(': ping\n\n'));
      listener.onError('reset', true);
    };
    const goOn: TargetScript = (listener) => {
      listener.onHead(OK_HEAD);
      listener.onData(streamEvents(3, 3));
      listener.onEnd();
    };
    const { sink, targets } = await runCall([failMidway, goOn]);
    expect(targets.sent[1]?.dispatch.resumeAfter).toBe(2);
    expect(sink.ending).toBe('end');
  });

  it('aborts a broken stream if the route is not resumable', async () => {
    const failMidway: TargetScript = (listener) => {
      listener.onHead(OK_HEAD);
      listener.onData(streamEvents(1, 2));
      listener.onError('reset', true);
    };
    const { sink, targets } = await runCall([failMidway, answerOk], {
      route: { isResumable: false },
    });
    expect(targets.sent).toHaveLength(1);
    expect(sink).toMatchObject({ ending: 'cut' });
  });

  // Guards against a stream that was broken off and reaches its caller as a complete one.
  describe.each([BodyFraming.Length, BodyFraming.Chunked, BodyFraming.Close])(
    'a stream that ends inside an event (%s)',
    (framing) => {
      const endInsideEvent: TargetScript = (listener) => {
        listener.onHead({ ...OK_HEAD, framing });
        listener.onData(streamEvents(1, 2));
        listener.onData(Buffer.from('id: 3\nda'));
        listener.onEnd();
      };

      it('is cut after its last complete event if it cannot be resumed', async () => {
        const { sink } = await runCall([endInsideEvent], { route: { isResumable: false } });
        expect(sink).toMatchObject({ body: streamEvents(1, 2).toString(), ending: 'cut' });
      });

      it('is resumed at another target after its last complete event', async () => {
        const resumeStream: TargetScript = (listener, dispatch) => {
          listener.onHead(OK_HEAD);
          listener.onData(streamEvents((dispatch.resumeAfter ?? 0) + 1, 5));
          listener.onEnd();
        };
        const { sink, targets } = await runCall([endInsideEvent, resumeStream]);
        expect(targets.sent.map(({ dispatch }) => dispatch.resumeAfter)).toEqual([undefined, 2]);
        expect(sink).toMatchObject({ body: streamEvents(1, 5).toString(), ending: 'end' });
      });
    },
  );

  // An engine that crashes between two events leaves nothing in the bytes that tells its crash from the end.
  describe('a response that only the close of its connection ends', () => {
    const closeHead = { ...OK_HEAD, framing: BodyFraming.Close };
    const closeBetweenEvents: TargetScript = (listener) => {
      listener.onHead(closeHead);
      listener.onData(streamEvents(1, 2));
      listener.onEnd();
    };
    const resume: TargetScript = (listener) => {
      listener.onHead(OK_HEAD);
      listener.onData(streamEvents(3, 4));
      listener.onEnd();
    };

    it('is complete if its target still accepts connections', async () => {
      const { sink, targets } = await runCall([closeBetweenEvents]);
      expect(sink).toMatchObject({ ending: 'end', body: streamEvents(1, 2).toString() });
      expect(targets.sent).toHaveLength(1);
    });

    it('is resumed elsewhere if its target has ended', async () => {
      const setup = { hasCrashed: true };
      const { sink, targets } = await runCall([closeBetweenEvents, resume], setup);
      expect(targets.sent[1]?.dispatch.resumeAfter).toBe(2);
      expect(sink).toMatchObject({ ending: 'end', body: streamEvents(1, 4).toString() });
    });

    it.each(['unsafe', 'safe'] as const)(
      'is no success on a route of kind %s if its target has ended',
      async (kind) => {
        const setup = { route: { kind, maxAttempts: 1 }, hasCrashed: true };
        const { sink } = await runCall([closeBetweenEvents], setup);
        expect(sink.ending).not.toBe('end');
      },
    );
  });

  it('does not take the close of a connection for the end of a stream that has not begun', async () => {
    const closeAtOnce: TargetScript = (listener) => {
      listener.onHead({ ...OK_HEAD, framing: BodyFraming.Close });
      listener.onEnd();
    };
    const { sink } = await runCall([closeAtOnce], { route: { isResumable: false } });
    expect(sink).toMatchObject({ status: 502, ending: 'refuse' });
  });

  it('relays a complete body that is no event stream on a streaming route', async () => {
    const answerJson: TargetScript = (listener) => {
      listener.onHead({
        ...OK_HEAD,
        headers: ['Content-Type', 'application/json; charset=utf-8'],
        framing: BodyFraming.Length,
      });
      listener.onData(Buffer.from('{"id":'));
      listener.onData(Buffer.from('"c1"}'));
      listener.onEnd();
    };
    const { sink } = await runCall([answerJson]);
    expect(sink).toMatchObject({ body: '{"id":"c1"}', ending: 'end' });
  });

  // Guards against requests that crash one target after the other.
  describe('a target that crashes when it begins to answer', () => {
    const crash: TargetScript = (listener) => {
      listener.onHead(OK_HEAD);
      listener.onError('other side closed', true);
    };
    const parts = ['f0', 'd0', 'own'].map((id) => ({ id, tokens: 10 }));

    it('gets its request repeated once, and not when one of its parts is under suspicion', async () => {
      const quarantine = new CrashQuarantine();
      const setup = { call: { parts, deadlineMs: 2_000 }, route: { maxAttempts: 3 }, quarantine };
      const first = await runCall([crash, crash, answerOk], { ...setup, hasCrashed: true });
      expect(first.targets.sent).toHaveLength(2);
      expect(first.sink).toMatchObject({ status: 502, ending: 'refuse' });
    });

    it('gets no further request with the part that crashed it', async () => {
      const quarantine = new CrashQuarantine();
      for (const own of ['o1', 'o2']) {
        const call = { id: own, parts: [...parts.slice(0, 2), { id: own, tokens: 10 }] };
        await runCall([crash, crash], { call, quarantine, hasCrashed: true });
      }
      const { sink, targets } = await runCall([answerOk], { call: { parts }, quarantine });
      expect(targets.sent).toEqual([]);
      expect(sink).toMatchObject({ status: 503, ending: 'refuse' });
      expect(sink.retryAfterMs).toBeGreaterThanOrEqual(10_000);
    });

    it('has the request cancelled that would crash it, once the part is quarantined', async () => {
      const reporter = new CrashQuarantine();
      const quarantine = new CrashQuarantine();
      const call = { parts, deadlineMs: 2_000 };
      await runCall([crash], { call, quarantine: reporter, hasCrashed: true });
      const suspect = reporter.listUnreported().crashes[0]?.parts ?? [];
      setTimeout(() => {
        quarantine.applySuspects([{ parts: suspect, quarantined: true }], performance.now());
      }, 20);
      const { sink, targets } = await runCall([sendNothing, answerOk], { call, quarantine });
      expect(targets).toMatchObject({ aborted: 1, sent: [{}] });
      expect(sink).toMatchObject({ status: 502, ending: 'refuse' });
    });

    it('is told apart from one that has only lost an answer', async () => {
      const quarantine = new CrashQuarantine();
      const { sink, targets } = await runCall([crash, crash, answerOk], {
        call: { parts },
        route: { maxAttempts: 3 },
        quarantine,
      });
      expect(targets.sent).toHaveLength(3);
      expect(sink.ending).toBe('end');
      expect(quarantine.listUnreported().crashes).toEqual([]);
    });

    it('is not blamed on a response that had settled', async () => {
      const quarantine = new CrashQuarantine();
      const breakLate: TargetScript = (listener) => {
        listener.onHead(OK_HEAD);
        listener.onData(streamEvents(1, 2));
        setTimeout(() => {
          listener.onError('other side closed', true);
        }, 300);
      };
      await runCall([breakLate, answerOk], {
        call: { parts, deadlineMs: 2_000 },
        quarantine,
        hasCrashed: true,
      });
      expect(quarantine.listUnreported().crashes).toMatchObject([{ parts: [] }]);
    });
  });

  // What callers saw: a lookup ended all engines of its service, and again each time it was repeated.
  describe('a target that crashes by a request that comes again', () => {
    const breakAtOnce: TargetScript = (listener) => {
      listener.onError('other side closed', true);
    };
    const breakLate: TargetScript = (listener, { resumeAfter = 0 }) => {
      listener.onHead(OK_HEAD);
      listener.onData(streamEvents(resumeAfter + 1, resumeAfter + 2));
      setTimeout(() => {
        listener.onError('other side closed', true);
      }, 300);
    };

    // Without a hub, as here, it takes three crashes.
    it.each([
      { kind: 'safe', script: breakAtOnce },
      { kind: 'unsafe', script: breakAtOnce },
      { kind: 'streaming', script: breakAtOnce },
      { kind: 'streaming', script: breakLate },
    ] as const)('gets it no more on a route of kind $kind', async ({ kind, script }) => {
      const quarantine = new CrashQuarantine();
      const setup = {
        quarantine,
        hasCrashed: true,
        route: { kind, maxAttempts: 2 },
        call: { deadlineMs: 2_000, parts: [] },
      };
      let sent = 0;
      for (let repetition = 1; repetition <= 4; repetition += 1) {
        const call = { ...setup.call, id: `r${repetition}` };
        const born = repetition * 1_000;
        const result = await runCall([script, script], { ...setup, call, born });
        sent += result.targets.sent.length;
      }
      expect(sent).toBe(3);
      const other = { ...setup.call, hashContent: () => 2 };
      const { sink } = await runCall([answerOk], { ...setup, call: other });
      expect(sink.status).toBe(200);
    });

    // A target keeps its place for one suspect request at a time, so one that was never released closed it to all others.
    it('does not count a suspect request at a target any more after an exception', async () => {
      const quarantine = new CrashQuarantine();
      const states = new TargetStates();
      const setup = { call: { parts: [] }, quarantine, states, targets: 1 };
      for (const born of [1_000, 2_000]) {
        await runCall([breakAtOnce], { ...setup, born, hasCrashed: true });
      }
      const failing = { ...setup, born: 3_000, sendError: new Error('no socket') };
      await expect(runCall([], failing)).rejects.toThrow('no socket');
      const target = buildTarget({ id: 'i-0', born: 3_000 });
      expect(states.ensure(target, performance.now()).suspects).toBe(0);
    });

    it('has the request cancelled in the middle of its stream once it is quarantined', async () => {
      const reporter = new CrashQuarantine();
      const call = { deadlineMs: 2_000, parts: [] };
      await runCall([breakAtOnce], { call, quarantine: reporter, hasCrashed: true });
      const parts = [reporter.listUnreported().crashes[0]?.request ?? 0];
      const quarantine = new CrashQuarantine();
      const begin: TargetScript = (listener) => {
        listener.onHead(OK_HEAD);
        listener.onData(streamEvents(1, 2));
      };
      setTimeout(() => {
        quarantine.applySuspects([{ parts, quarantined: true }], performance.now());
      }, 400);
      const { sink, targets } = await runCall([begin, answerOk], { call, quarantine });
      expect(targets).toMatchObject({ aborted: 1, sent: [{}] });
      expect(sink.ending).toBe('cut');
    });
  });

  describe('a target that names a limit', () => {
    /** Limits of targets, without permits. */
    function limitTargets(ids: readonly string[], perSecond: number): TargetLimits {
      const limits = new TargetLimits({
        countEntries: () => 1,
        findTarget: (id) => buildTarget({ id }),
        random: () => 0.5,
      });
      limits.setHubReachable(true, 0);
      for (const id of ids) {
        limits.recordNotice(buildTarget({ id }), { kind: 'limited', perSecond }, 0, 0);
      }
      return limits;
    }

    function grantPermit(limits: TargetLimits, id: string): void {
      const { born } = buildTarget({ id });
      const now = performance.now();
      limits.applyGrants([{ target: id, born, permits: 1, waitMs: 0 }], now, now);
    }

    // A repetition that ignores the limit is one request more at an engine in need.
    it.each([
      { way: 'the repetition of a safe request', kind: 'safe', first: resetAfterSend, status: 502 },
      { way: 'a second try after a refusal', kind: 'unsafe', first: refuseBusy, status: 503 },
      { way: 'a resumed stream', kind: 'streaming', first: breakStream, status: 200 },
    ] as const)('gets no request without a permit: $way', async ({ kind, first, status }) => {
      const limits = limitTargets(['i-0', 'i-1'], 2);
      const setup = { limits, route: { kind, isResumable: kind === 'streaming' } };
      const { sink, targets } = await runCall([first, answerOk], setup);
      expect(targets.sent.map(({ target }) => target)).toEqual(['i-2']);
      expect(sink.status).toBe(status);
      expect(sink.ending).not.toBe('end');
    });

    it('gets as many requests as there are permits', async () => {
      const limits = limitTargets(['i-0', 'i-1', 'i-2'], 2);
      grantPermit(limits, 'i-1');
      const answerLimited: TargetScript = (listener) => {
        listener.onHead({ ...OK_HEAD, rateLimit: { kind: 'limited', perSecond: 2 } });
        listener.onData(streamEvents(1, 3));
        listener.onEnd();
      };
      const first = await runCall([answerLimited], { limits });
      expect(first.targets.sent.map(({ target }) => target)).toEqual(['i-1']);
      const second = await runCall([answerOk], { limits });
      expect(second.targets.sent).toEqual([]);
    });

    it('has a request refused at once that would get no permit in time', async () => {
      const limits = limitTargets(['i-0', 'i-1', 'i-2'], 1);
      const startedAt = performance.now();
      const { sink } = await runCall([answerOk], { limits });
      expect(sink).toMatchObject({ status: 503, ending: 'refuse' });
      expect(sink.retryAfterMs).toBeGreaterThanOrEqual(1_000);
      expect(performance.now() - startedAt).toBeLessThan(100);
    });

    it('has a request wait that will probably get a permit in time', async () => {
      const limits = limitTargets(['i-0', 'i-1', 'i-2'], 10);
      setTimeout(() => {
        for (const id of ['i-0', 'i-1', 'i-2']) {
          grantPermit(limits, id);
        }
      }, 60);
      const { sink, targets } = await runCall([answerOk], { limits });
      expect(targets.sent).toHaveLength(1);
      expect(sink).toMatchObject({ status: 200, ending: 'end' });
    });
  });

  describe('a target that leaves, or wants no requests for a time', () => {
    /** What two of three targets stated before. */
    const wishes = {
      leaves: (state: ITargetState) => {
        state.isLeaving = true;
      },
      pauses: (state: ITargetState) => {
        recordPause(state, 60_000, performance.now());
      },
    };
    const ways = [
      { way: 'the first try', kind: 'safe', scripts: [answerOk], status: 200 },
      { way: 'a repetition', kind: 'safe', scripts: [resetAfterSend], status: 502 },
      { way: 'a second try', kind: 'unsafe', scripts: [refuseBusy], status: 503 },
      { way: 'a resumed stream', kind: 'streaming', scripts: [breakStream], status: 200 },
    ] as const;
    const cases = (['leaves', 'pauses'] as const).flatMap((wish) =>
      ways.map((item) => ({ wish, ...item })),
    );

    it.each(cases)('$wish: gets no request, not as $way', async (item) => {
      const states = new TargetStates();
      for (const id of ['i-0', 'i-1']) {
        wishes[item.wish](states.ensure(buildTarget({ id }), 0));
      }
      const { sink, targets } = await runCall([...item.scripts, answerOk], {
        states,
        route: { kind: item.kind, isResumable: item.kind === 'streaming' },
      });
      expect(targets.sent.map(({ target }) => target)).toEqual(['i-2']);
      expect(sink.status).toBe(item.status);
    });

    it.each([
      { name: 'a success', head: { ...OK_HEAD, isLeaving: true } },
      { name: 'a refusal', head: { ...BUSY_HEAD, isLeaving: true } },
      { name: 'a refusal that names a time', head: { ...BUSY_HEAD, pauseMs: 60_000 } },
      // A target that has just changed its weights refuses as another one would, and got the next request as well.
      {
        name: 'a refusal as another target',
        head: { ...BUSY_HEAD, status: 421, isOtherTarget: true, isLeaving: true },
      },
    ])('is believed in $name', async ({ head }) => {
      const states = new TargetStates();
      const answer: TargetScript = (listener) => {
        listener.onHead(head);
        listener.onEnd();
      };
      const setup = { states, targets: 1, route: { kind: 'safe', maxAttempts: 1 } } as const;
      await runCall([answer], setup);
      const { sink, targets } = await runCall([answerOk], setup);
      expect(targets.sent).toEqual([]);
      expect(sink).toMatchObject({ status: 503, ending: 'refuse' });
    });

    it('has a request refused at once with the time until the first target takes requests again', async () => {
      const states = new TargetStates();
      for (const [id, pauseMs] of [
        ['i-0', 9_000],
        ['i-1', 2_000],
        ['i-2', 4_000],
      ] as const) {
        recordPause(states.ensure(buildTarget({ id }), 0), pauseMs, performance.now());
      }
      const startedAt = performance.now();
      const { sink } = await runCall([answerOk], { states });
      expect(performance.now() - startedAt).toBeLessThan(100);
      expect(sink.status).toBe(503);
      expect(sink.retryAfterMs).toBeGreaterThan(1_900);
      expect(sink.retryAfterMs).toBeLessThan(3_100);
    });

    it('has a request wait for the end of a short pause', async () => {
      const states = new TargetStates();
      for (const id of ['i-0', 'i-1', 'i-2']) {
        recordPause(states.ensure(buildTarget({ id }), 0), 80, performance.now());
      }
      const startedAt = performance.now();
      const { sink } = await runCall([answerOk], { states });
      expect(sink.status).toBe(200);
      expect(performance.now() - startedAt).toBeGreaterThan(70);
    });
  });

  it('does not concatenate parts of two responses to a safe request', async () => {
    const failMidway: TargetScript = (listener) => {
      listener.onHead(OK_HEAD);
      listener.onData(Buffer.from('half of'));
      listener.onError('reset', true);
    };
    const answerWhole: TargetScript = (listener) => {
      listener.onHead(OK_HEAD);
      listener.onData(Buffer.from('the whole'));
      listener.onEnd();
    };
    const { sink } = await runCall([failMidway, answerWhole], { route: { kind: 'safe' } });
    expect(sink).toMatchObject({ status: 200, body: 'the whole', ending: 'end' });
  });

  it('aborts a response to a safe request that breaks after it has exceeded the buffer', async () => {
    const failLate: TargetScript = (listener) => {
      listener.onHead(OK_HEAD);
      listener.onData(Buffer.alloc(100_000));
      listener.onError('reset', true);
    };
    const { sink, targets } = await runCall([failLate, answerOk], { route: { kind: 'safe' } });
    expect(targets.sent).toHaveLength(1);
    expect(sink.ending).toBe('cut');
  });

  it('never relays a response that belongs to another request', async () => {
    const answerOther: TargetScript = (listener) => {
      listener.onHead({ ...OK_HEAD, isForThisRequest: false });
      listener.onData(streamEvents(1, 3));
      listener.onEnd();
    };
    const { sink, targets } = await runCall([answerOther], { route: UNSAFE });
    expect(sink).toMatchObject({ status: 502, body: '' });
    expect(targets.aborted).toBe(1);
  });

  // Such an answer may be old: a target that is well was left out for minutes, or kept to a limit that was lifted.
  it.each([
    { name: 'a leaving', notice: { isLeaving: true } },
    { name: 'a pause', notice: { status: 503, isNotRun: true, pauseMs: 60_000 } },
    { name: 'a limit', notice: { rateLimit: { kind: 'limited', perSecond: 0 } } },
  ] as const)('learns nothing of the target from another response: $name', async ({ notice }) => {
    const states = new TargetStates();
    const limits = new TargetLimits({
      countEntries: () => 1,
      findTarget: (id) => buildTarget({ id }),
      random: () => 0.5,
    });
    const answerOther: TargetScript = (listener) => {
      listener.onHead({ ...OK_HEAD, ...notice, isForThisRequest: false });
      listener.onEnd();
    };
    const setup = { states, limits, targets: 1, route: UNSAFE };
    await runCall([answerOther], setup);
    const { sink } = await runCall([answerOk], setup);
    expect(sink).toMatchObject({ status: 200, ending: 'end' });
  });

  // To a client these statuses state that its request was not run and will not be, which the target has not stated.
  it.each([408, 429, 503])(
    'does not relay a %s without the statement "not run"',
    async (status) => {
      const answerUnproven: TargetScript = (listener) => {
        listener.onHead({ ...OK_HEAD, status });
        listener.onEnd();
      };
      for (const kind of ['unsafe', 'streaming'] as const) {
        const route = { ...UNSAFE, kind };
        const { sink, targets } = await runCall([answerUnproven, answerOk], { route });
        expect(targets.sent).toHaveLength(1);
        expect(sink).toMatchObject({ status: 502, ending: 'refuse' });
      }
      const route = { kind: 'safe', maxAttempts: 1 } as const;
      expect((await runCall([answerUnproven], { route })).sink.status).toBe(502);
    },
  );

  it('responds with 504 at the deadline and cancels the request at the target', async () => {
    const { sink, targets } = await runCall([sendNothing], { call: { deadlineMs: 60 } });
    expect(sink).toMatchObject({ status: 504, ending: 'refuse' });
    expect(targets.aborted).toBe(1);
  });

  // Guards against a request that ends at once because Node's timers fire a time over 2^31 ms immediately.
  it('runs a request whose client and route both allow over 24 days', async () => {
    const answerLater: TargetScript = (...args) => {
      setTimeout(() => {
        answerOk(...args);
      }, 20);
    };
    const { sink } = await runCall([answerLater], {
      route: { timeoutMs: 3e9 },
      call: { deadlineMs: 3e9 },
    });
    expect(sink).toMatchObject({ status: 200, ending: 'end' });
  });

  it('limits the deadline of a dispatch to the remaining time', async () => {
    const { targets } = await runCall([answerOk], { route: { timeoutMs: 200 } });
    expect(targets.sent[0]?.dispatch.deadlineMs).toBeLessThanOrEqual(200);
  });

  it('cancels the request at the target when the client disconnects', async () => {
    const disconnection = new AbortController();
    setTimeout(() => {
      disconnection.abort();
    }, 20);
    const { sink, targets } = await runCall([sendNothing], {
      call: { signal: disconnection.signal },
    });
    expect(targets.aborted).toBe(1);
    expect(sink.ending).toBe('open');
  });

  it('separates isolated client accounts and weights versions in the cache scope', async () => {
    const { targets } = await runCall([answerOk]);
    expect(targets.sent[0]?.dispatch).toMatchObject({
      cacheScope: '1/pag',
      weightsVersion: 1,
      clientAccount: 'pag',
    });
  });

  it('uses old weights while no target has newer ones, up to the limit', async () => {
    const early = await runCall([answerOk], { named: { version: 2, knownMs: 7_000 } });
    expect(early.sink.status).toBe(200);
    const late = await runCall([answerOk], { named: { version: 2, knownMs: 9_000 } });
    expect(late.sink).toMatchObject({ status: 503, ending: 'refuse' });
    expect(late.targets.sent).toEqual([]);
  });

  it.each([
    ['fast', 16_384, 1],
    ['slow', 1, 20],
  ])(
    'goes on elsewhere when the body of a refusal never ends (%s)',
    async (_name, size, intervalMs) => {
      const endless = sendWithoutEnd(BUSY_HEAD, Buffer.alloc(size, 'x'), intervalMs);
      const startedAt = performance.now();
      const { sink, targets } = await runCall([endless, answerOk], {
        route: { maxAttempts: 2 },
        call: { deadlineMs: 5_000 },
      });
      expect(sink).toMatchObject({ status: 200, ending: 'end' });
      expect(targets.aborted).toBe(1);
      expect(performance.now() - startedAt).toBeLessThan(1_000);
    },
  );

  it('gives up a stream in which an event never ends, instead of buffering it until the deadline', async () => {
    const endless = sendWithoutEnd(OK_HEAD, Buffer.alloc(65_536, 'x'), 1);
    const { sink, targets } = await runCall([endless], {
      route: { kind: 'streaming', maxAttempts: 1 },
      call: { deadlineMs: 5_000 },
    });
    expect(sink).toMatchObject({ status: 502, ending: 'refuse' });
    expect(targets.aborted).toBe(1);
  });

  it('sends no burst to the only engine with new weights while idle ones may still be used', async () => {
    const { sink, targets } = await runCall([answerOk], {
      named: { version: 2, knownMs: 7_000 },
      held: [1, 1, 2],
      queued: { target: 'i-2', pendingTokens: 60_000 },
    });
    expect(sink.status).toBe(200);
    expect(targets.sent.map(({ target }) => target)).not.toContain('i-2');
  });

  it('cancels a request that has not begun when the weights of its target expire', async () => {
    // It would begin on weights that may no longer be used, in the queue of an engine that is slower than expected.
    const { sink, targets } = await runCall([() => undefined], {
      named: { version: 2, knownMs: 8_600 },
      route: { maxAttempts: 1 },
      call: { deadlineMs: 5_000 },
    });
    expect(targets.aborted).toBe(1);
    expect(sink).toMatchObject({ status: 502, ending: 'refuse' });
  });

  it('prefers a target with newer weights while old ones may still be used', async () => {
    const { targets } = await runCall([answerOk], {
      named: { version: 2, knownMs: 7_000 },
      held: [1, 1, 2],
    });
    expect(targets.sent.map(({ target }) => target)).toEqual(['i-2']);
  });

  it.each([
    ['an unknown route', { call: { path: '/nowhere/' } }, 404],
    ['an unknown key', { call: { key: 'nobody' } }, 401],
    ['no target', { targets: 0 }, 503],
  ])('refuses a request with %s immediately', async (_name, setup, status) => {
    const { sink, targets } = await runCall([], setup);
    expect(sink.status).toBe(status);
    expect(targets.sent).toEqual([]);
  });
});
