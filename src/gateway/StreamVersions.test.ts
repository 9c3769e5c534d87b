/**
 * Load pattern: targets of several software versions serve side by side while streams break and clients take them up.
 * Guards against a stream that is joined from the text of two versions.
 */
import { describe, expect, it } from 'vitest';
import { sleep } from '../common/Tasks.js';
import { buildTarget } from '../fleet/Fixtures.js';
import {
  OK_HEAD,
  ScriptedOrigins,
  answerOk,
  breakStream,
  refuseConnection,
  resetAfterSend,
  resumeStream,
  runCall,
  streamEvents,
  type TargetScript,
} from './Fixtures.js';
import { TargetStates } from './TargetStates.js';

const CALL = { deadlineMs: 2_000 };
const TAKE_UP = { ...CALL, id: 'r2', resumeAfter: 2, resumes: 'r1' };

describe('a stream whose target breaks', () => {
  it('goes on at a target of the version that began it', async () => {
    const { sink, targets } = await runCall([breakStream, resumeStream], {
      call: CALL,
      software: ['v1', 'v2', 'v1'],
    });
    expect(new Set(targets.sent.map(({ target }) => target))).toEqual(new Set(['i-0', 'i-2']));
    expect(sink).toMatchObject({ ending: 'end', body: streamEvents(1, 5).toString() });
  });

  it.each(['v2', ''])(
    'is cut if all other targets have another version (%j) and is not joined from two',
    async (other) => {
      const { sink, targets } = await runCall([breakStream, resumeStream], {
        call: CALL,
        software: ['v1', other, other],
      });
      expect(targets.sent).toHaveLength(1);
      expect(sink).toMatchObject({ ending: 'cut', body: streamEvents(1, 2).toString() });
    },
  );

  // Guards against a request that is given up although nothing of it binds it to a version.
  it.each([
    ['breaks', resetAfterSend],
    ['cannot be reached', refuseConnection],
  ])('begins at another version if its target %s before the first event', async (_name, first) => {
    const { sink, targets } = await runCall([first, resumeStream], {
      call: CALL,
      targets: 2,
      software: ['v1', 'v2'],
    });
    expect(targets.sent).toHaveLength(2);
    expect(sink).toMatchObject({ ending: 'end', body: streamEvents(1, 5).toString() });
  });

  // Guards against a second attempt beside a silent target that changes the recorded version of the stream.
  it('is not tried at another version while its silent target may still begin it', async () => {
    const beginLate: TargetScript = (listener, dispatch, signal) => {
      setTimeout(() => {
        if (!signal.aborted) {
          resumeStream(listener, dispatch, signal);
        }
      }, 1_600);
    };
    const { sink, targets } = await runCall([beginLate, resumeStream], {
      call: { deadlineMs: 3_000 },
      targets: 2,
      software: ['v1', 'v2'],
    });
    expect(targets.sent).toHaveLength(1);
    expect(sink).toMatchObject({ ending: 'end', body: streamEvents(1, 5).toString() });
  });

  // Guards against events that come twice, from a target that begins anew where it is asked to go on.
  it('is cut if the target that should go on begins anew', async () => {
    const { sink } = await runCall([breakStream, answerOk], { call: CALL, targets: 2 });
    expect(sink).toMatchObject({ ending: 'cut', body: streamEvents(1, 2).toString() });
  });

  it('of a route that may not be resumed goes nowhere', async () => {
    const { targets } = await runCall([breakStream, resumeStream], {
      call: CALL,
      route: { isResumable: false },
    });
    expect(targets.sent).toHaveLength(1);
  });
});

describe('a stream that a client takes up', () => {
  const software = ['v1', 'v2', 'v2'];

  it.each([
    ['v1', ['i-0']],
    ['v2', ['i-1', 'i-2']],
  ])('goes on at %s, which began it', async (version, ids) => {
    const origins = new ScriptedOrigins('v1', new Map([['r1', version]]));
    const { sink, targets } = await runCall([resumeStream], { call: TAKE_UP, software, origins });
    expect(ids).toContain(targets.sent[0]?.target);
    expect(sink).toMatchObject({ ending: 'end', body: streamEvents(3, 5).toString() });
  });

  // Guards against a look-up of each stream by the process that has served it.
  it('is found in the memory of the process that served it', async () => {
    const origins = new ScriptedOrigins('v2', undefined);
    await runCall([breakStream], {
      call: { ...CALL, id: 'r1' },
      targets: 1,
      software: ['v2'],
      origins,
    });
    const { targets } = await runCall([resumeStream], { call: TAKE_UP, software, origins });
    expect(['i-1', 'i-2']).toContain(targets.sent[0]?.target);
    expect(origins.lookups).toBe(0);
  });

  it('is refused as not run while its version cannot be known', async () => {
    const origins = new ScriptedOrigins('v1', undefined);
    const { sink, targets } = await runCall([resumeStream], { call: TAKE_UP, software, origins });
    expect(targets.sent).toHaveLength(0);
    expect(sink).toMatchObject({ status: 503, ending: 'refuse' });
    expect(sink.retryAfterMs).toBeGreaterThanOrEqual(1_000);
  });

  // Guards against a client that is sent away for long although the targets have only not announced themselves yet.
  it.each([
    ['has just started, so that targets may be unknown', 0, 1_000],
    ['knows all targets', 10_000, 5_000],
  ])('is refused at once if its version is gone and the process %s', async (_name, ...times) => {
    const [processAgeMs, retryAfterMs] = times;
    const origins = new ScriptedOrigins('v1', new Map([['r1', 'v0']]));
    const setup = { call: TAKE_UP, software, origins, processAgeMs };
    const { sink, targets } = await runCall([resumeStream], setup);
    expect(targets.sent).toHaveLength(0);
    expect(sink).toMatchObject({ status: 503, retryAfterMs });
  });

  it('is refused if the client does not name it and two versions may serve', async () => {
    const origins = new ScriptedOrigins('v1', new Map());
    const call = { ...TAKE_UP, resumes: undefined };
    const { sink, targets } = await runCall([resumeStream], { call, software, origins });
    expect(targets.sent).toHaveLength(0);
    expect(sink.status).toBe(503);
  });

  // Guards against the text of another service after a change of the configuration.
  it('is refused if its route leads to another service now', async () => {
    const origins = new ScriptedOrigins('v1', new Map());
    await runCall([breakStream], { call: { ...CALL, id: 'r1' }, targets: 1, origins });
    const { sink, targets } = await runCall([resumeStream], {
      call: TAKE_UP,
      route: { shares: [{ service: 'orders', weight: 1 }] },
      service: 'orders',
      origins,
    });
    expect(targets.sent).toHaveLength(0);
    expect(sink).toMatchObject({ status: 503, ending: 'refuse' });
  });

  it('breaks again and still goes on at the version that began it', async () => {
    const breakAgain: TargetScript = (listener) => {
      listener.onHead(OK_HEAD);
      listener.onData(streamEvents(3, 3));
      listener.onError('reset', true);
    };
    const origins = new ScriptedOrigins('v1', new Map([['r1', 'v2']]));
    const { sink, targets } = await runCall([breakAgain, resumeStream], {
      call: TAKE_UP,
      software,
      origins,
    });
    expect(targets.sent.map(({ target }) => target).sort()).toEqual(['i-1', 'i-2']);
    expect(sink).toMatchObject({ ending: 'end', body: streamEvents(3, 5).toString() });
  });
});

describe('the record of a stream', () => {
  it('is not needed at the base version', async () => {
    const origins = new ScriptedOrigins('v1', new Map());
    await runCall([resumeStream], { call: CALL, targets: 1, origins });
    expect(origins.records).toEqual([]);
  });

  // Guards against an event that is relayed before its version is durable: a stop of all processes would forget it.
  it('is durable before the first event is relayed', async () => {
    const origins = new ScriptedOrigins('v1', new Map(), 200);
    const startedAt = performance.now();
    const { sink } = await runCall([resumeStream], {
      call: CALL,
      targets: 1,
      software: ['v2'],
      origins,
    });
    expect(performance.now() - startedAt).toBeGreaterThanOrEqual(190);
    expect(origins.records).toEqual([{ attemptId: 'r1', attempt: 1, version: 'v2' }]);
    expect(sink).toMatchObject({ ending: 'end', body: streamEvents(1, 5).toString() });
  });

  it('leaves no event behind if the stream breaks before it is durable', async () => {
    const origins = new ScriptedOrigins('v1', new Map(), 100);
    const { sink } = await runCall([breakStream, resumeStream], {
      call: CALL,
      targets: 2,
      software: ['v2', 'v1'],
      origins,
    });
    expect(sink).toMatchObject({ ending: 'end', body: streamEvents(1, 5).toString() });
  });

  // Guards against a target that is taken for failed, and a second one that computes the same, while no leader is known.
  it.each([
    ['sends on', false],
    ['has sent all', true],
  ])(
    'keeps its target from no request while it is pending (the target %s)',
    async (_name, ends) => {
      const states = new TargetStates();
      let cooldowns: readonly number[] = [];
      setTimeout(() => {
        cooldowns = ['i-0', 'i-1'].map((id) => {
          const target = buildTarget({ id, born: 1_000 });
          return states.ensure(target, performance.now()).cooldownUntil;
        });
      }, 1_800);
      const begin: TargetScript = (listener) => {
        listener.onHead(OK_HEAD);
        listener.onData(streamEvents(1, 3));
        if (ends) {
          listener.onEnd();
        } else {
          setTimeout(() => {
            listener.onData(streamEvents(4, 5));
            listener.onEnd();
          }, 2_600);
        }
      };
      const { sink, targets } = await runCall([begin, resumeStream], {
        call: { deadlineMs: 4_000 },
        targets: 2,
        software: ['v2', 'v2'],
        origins: new ScriptedOrigins('v1', new Map(), 2_000),
        states,
      });
      expect(targets.sent).toHaveLength(1);
      expect(cooldowns).toEqual([0, 0]);
      expect(sink).toMatchObject({ ending: 'end', body: streamEvents(1, ends ? 3 : 5).toString() });
    },
  );

  // Guards against an error of a target that a client gets late or not at all, while no leader is known.
  it('does not delay an error of its target', async () => {
    const failAtOnce: TargetScript = (listener) => {
      listener.onHead({ ...OK_HEAD, status: 400 });
      listener.onData(Buffer.from('bad'));
      listener.onEnd();
    };
    const startedAt = performance.now();
    const { sink } = await runCall([failAtOnce], {
      call: CALL,
      targets: 1,
      software: ['v2'],
      origins: new ScriptedOrigins('v1', new Map(), 1_000),
    });
    expect(performance.now() - startedAt).toBeLessThan(500);
    expect(sink).toMatchObject({ status: 400, ending: 'end', body: 'bad' });
  });

  // Guards against events that reach a client after the end of its response.
  it('that never becomes durable lets no event through, and the call ends at its deadline', async () => {
    const origins = new ScriptedOrigins('v1', new Map(), 1_500);
    const { sink } = await runCall([resumeStream], {
      call: { deadlineMs: 300 },
      targets: 1,
      software: ['v2'],
      origins,
    });
    await sleep(1_400);
    expect(sink).toMatchObject({ status: 504, endings: ['refuse'], body: '' });
  });

  // Guards against the record of a target that broke, which would stand for the version that began the stream.
  it('is replaced when the stream begins at another version', async () => {
    const origins = new ScriptedOrigins('v1', new Map());
    await runCall([resetAfterSend, resumeStream], {
      call: CALL,
      targets: 2,
      software: ['v2', 'v1'],
      origins,
    });
    const records = origins.records.map(({ attempt, version }) => `${attempt} ${version}`);
    expect(records).toEqual(['1 v2', '2 v1']);
    expect(origins.served.get('r1')).toBe('v1');
  });
});
