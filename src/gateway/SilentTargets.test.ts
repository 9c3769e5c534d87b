/**
 * Load pattern: a sound target sends nothing for more than a second and then goes on, as one does that collects garbage
 * or whose host pauses. Guards against requests that lose their answer because the router gave up the target.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { buildTarget } from '../fleet/Fixtures.js';
import {
  OK_HEAD,
  refuseBusy,
  refuseConnection,
  resetAfterSend,
  resumeStream,
  runCall,
  sendNothing,
  streamEvents,
  type TargetScript,
} from './Fixtures.js';
import { TargetLimits } from './TargetLimits.js';
import { recordPause, TargetStates } from './TargetStates.js';

/** Longer than the second after which a target counts as silent. */
const PAUSE_MS = 1_700;

const OTHER = buildTarget({ id: 'i-1', address: '10.1.0.1:8000', born: 1_000 });

const CALL = { deadlineMs: 4_000 };
const WHOLE_STREAM = streamEvents(1, 5).toString();

/** Sends two events, and the others after a pause unless the request is aborted. */
const pauseInStream: TargetScript = (listener, _dispatch, signal) => {
  listener.onHead(OK_HEAD);
  listener.onData(streamEvents(1, 2));
  setTimeout(() => {
    if (!signal.aborted) {
      listener.onData(streamEvents(3, 5));
      listener.onEnd();
    }
  }, PAUSE_MS);
};

/** Sends two events and then nothing, as a host does that has failed. */
const fallSilent: TargetScript = (listener) => {
  listener.onHead(OK_HEAD);
  listener.onData(streamEvents(1, 2));
};

const failWith500: TargetScript = (listener) => {
  listener.onHead({ ...OK_HEAD, status: 500 });
  listener.onData(Buffer.from('failed'));
  listener.onEnd();
};

/** Sends a whole answer of a plain service after a time. */
function answerAfter(ms: number): TargetScript {
  return (listener, _dispatch, signal) => {
    setTimeout(() => {
      if (!signal.aborted) {
        listener.onHead(OK_HEAD);
        listener.onData(Buffer.from('answer'));
        listener.onEnd();
      }
    }, ms);
  };
}

describe.concurrent('a target that pauses', () => {
  // Guards against a stream that is cut though its target would have gone on.
  it.each<[string, Parameters<typeof runCall>[1] & object, TargetScript[]]>([
    ['there is no other target', { targets: 1 }, []],
    ['the second target refuses the request', { targets: 2 }, [refuseBusy]],
    ['the second target cannot be reached', { targets: 2 }, [refuseConnection]],
    ['the second target breaks', { targets: 2 }, [resetAfterSend]],
    ['the second target fails', { targets: 2 }, [failWith500]],
    ['the second target is silent too', { targets: 2 }, [sendNothing]],
    ['the route allows one attempt', { targets: 2, route: { maxAttempts: 1 } }, []],
    ['the retry budget is spent', { targets: 2, retrySlack: 0 }, []],
  ])('keeps its stream if %s', async (_name, setup, others) => {
    const { sink } = await runCall([pauseInStream, ...others], { call: CALL, ...setup });
    expect(sink).toMatchObject({ ending: 'end', body: WHOLE_STREAM });
  });

  // Guards against a stream that is given up for a target that takes no request now.
  it.each([
    [
      'has reached its limit',
      (limits: TargetLimits): void => {
        limits.setHubReachable(true, 0);
        limits.recordNotice(OTHER, { kind: 'limited', perSecond: 0.2 }, 0, 0);
      },
    ],
    [
      'wants no requests for a time',
      (_limits: TargetLimits, states: TargetStates): void => {
        recordPause(states.ensure(OTHER, 0), 60_000, performance.now());
      },
    ],
    [
      'leaves',
      (_limits: TargetLimits, states: TargetStates): void => {
        states.ensure(OTHER, 0).isLeaving = true;
      },
    ],
  ])('keeps its stream if the other target %s', async (_name, prepare) => {
    const states = new TargetStates();
    const limits = new TargetLimits({
      countEntries: () => 1,
      findTarget: () => undefined,
      random: () => 0.5,
    });
    prepare(limits, states);
    const { sink, targets } = await runCall([pauseInStream], {
      call: CALL,
      targets: 2,
      limits,
      states,
    });
    expect(targets.sent.map(({ target }) => target)).toEqual(['i-0']);
    expect(sink).toMatchObject({ ending: 'end', body: WHOLE_STREAM });
  });

  // Guards against an error to a caller whose only target is slow.
  it('answers a safe request that has no other target', async () => {
    const { sink } = await runCall([answerAfter(2_200)], {
      call: CALL,
      targets: 1,
      route: { kind: 'safe', maxAttempts: 3 },
    });
    expect(sink).toMatchObject({ status: 200, ending: 'end', body: 'answer' });
  });

  // Guards against two copies of an answer when both targets send one.
  it('answers a safe request once if the second target answers later', async () => {
    const { sink, targets } = await runCall([answerAfter(PAUSE_MS), answerAfter(900)], {
      call: CALL,
      targets: 2,
      route: { kind: 'safe', maxAttempts: 2 },
    });
    await delay(500);
    expect(sink).toMatchObject({ status: 200, ending: 'end', body: 'answer' });
    expect(targets.sent).toHaveLength(2);
    expect(targets.aborted).toBe(1);
  });

  // Guards against events that come twice when the first target goes on while the second computes the prompt.
  it('goes on itself if it wakes before the second target has sent an event', async () => {
    const resumeLate: TargetScript = (listener, dispatch, signal) => {
      setTimeout(() => {
        if (!signal.aborted) {
          resumeStream(listener, dispatch, signal);
        }
      }, 1_500);
    };
    const { sink, targets } = await runCall([pauseInStream, resumeLate], {
      call: CALL,
      targets: 2,
    });
    expect(targets.sent).toHaveLength(2);
    expect(targets.aborted).toBe(1);
    expect(sink).toMatchObject({ ending: 'end', body: WHOLE_STREAM });
  });

  it('is left as soon as another target goes on with its stream', async () => {
    const { sink, targets } = await runCall([fallSilent, resumeStream], {
      call: CALL,
      targets: 2,
    });
    expect(targets.sent.map(({ dispatch }) => dispatch.resumeAfter)).toEqual([undefined, 2]);
    expect(targets.aborted).toBe(1);
    expect(sink).toMatchObject({ ending: 'end', body: WHOLE_STREAM });
  });

  // Guards against a request that may not be repeated and is sent to a second target.
  it.each([
    { kind: 'unsafe', isResumable: false } as const,
    { kind: 'streaming', isResumable: false } as const,
  ])('keeps a request that may not be repeated: %o', async (route) => {
    const { sink, targets } = await runCall([pauseInStream, resumeStream], {
      call: CALL,
      targets: 2,
      route,
    });
    expect(targets.sent).toHaveLength(1);
    expect(sink).toMatchObject({ ending: 'end', body: WHOLE_STREAM });
  });

  it('that never goes on has its request ended at the deadline', async () => {
    const { sink } = await runCall([fallSilent], { call: { deadlineMs: 1_800 }, targets: 1 });
    expect(sink.ending).toBe('cut');
  });
});
