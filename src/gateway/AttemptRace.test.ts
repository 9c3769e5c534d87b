/** Attempts of a call that overlap because a target is silent: orders of events that lose or spoil the response. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { sleep } from '../common/Tasks.js';
import { buildTarget } from '../fleet/Fixtures.js';
import { SharedRetryBudget } from '../fleet/SharedRetryBudget.js';
import type { IRoute } from '../fleet/Types.js';
import {
  breakStream,
  OK_HEAD,
  RecordingSink,
  resetAfterSend,
  resumeStream,
  runCall,
  ScriptedOrigins,
  ScriptedTargetClient,
  sendNothing,
  streamEvents,
  type IRunResult,
  type ISetup,
  type TargetScript,
} from './Fixtures.js';
import { TargetLimits } from './TargetLimits.js';
import { recordPause, TargetStates } from './TargetStates.js';
import type { ITargetExchange } from './Types.js';

const CALL = { deadlineMs: 6_000 };
const WHOLE_STREAM = streamEvents(1, 5).toString();

/** Longer than any call of these tests. */
const LIMIT_MS = 8_000;

const rejectPrompt: TargetScript = (listener) => {
  listener.onHead({ ...OK_HEAD, status: 400 });
  listener.onData(Buffer.from('bad '));
  listener.onData(Buffer.from('prompt'));
  listener.onEnd();
};

/** Sends two events, and the others after a pause unless the request is aborted. */
function pauseInStream(pauseMs: number): TargetScript {
  return (listener, _dispatch, signal) => {
    listener.onHead(OK_HEAD);
    listener.onData(streamEvents(1, 2));
    setTimeout(() => {
      if (!signal.aborted) {
        listener.onData(streamEvents(3, 5));
        listener.onEnd();
      }
    }, pauseMs);
  };
}

/** Takes no bytes for a time after the first ones. */
class SlowSink extends RecordingSink {
  private _isFull = false;

  constructor(private readonly _waitMs: number) {
    super();
  }

  public override write(chunk: Uint8Array): boolean {
    super.write(chunk);
    const wasFull = this._isFull;
    this._isFull = true;
    return wasFull;
  }

  public override waitWritable(): Promise<void> {
    return sleep(this._waitMs);
  }
}

/** Sends the first request only. */
class FailingTargetClient extends ScriptedTargetClient {
  public override send(...args: Parameters<ScriptedTargetClient['send']>): ITargetExchange {
    const exchange = super.send(...args);
    if (this.sent.length > 1) {
      throw new Error('no socket');
    }
    return exchange;
  }
}

async function run(scripts: TargetScript[], setup: ISetup): Promise<IRunResult> {
  const running = runCall(scripts, { call: CALL, ...setup });
  const [result] = await Promise.all([running, vi.advanceTimersByTimeAsync(LIMIT_MS)]);
  return result;
}

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

describe('overlapping attempts', () => {
  // Guards against an answer that is cut after its end, because the other target broke earlier and is probed for longer.
  it('keep the complete answer of one when the other is found broken later', async () => {
    const setup = { targets: 2, probeMs: 400, hasCrashed: true };
    const { sink } = await run([pauseInStream(1_500), resetAfterSend], setup);
    expect(sink).toMatchObject({ endings: ['end'], body: WHOLE_STREAM });
  });

  // Guards against a call that waits for two hosts that have failed while a third target is sound.
  it('of two silent targets leave a third one to try', async () => {
    const setup = { targets: 3, route: { maxAttempts: 3 } };
    const { sink, targets } = await run([sendNothing, sendNothing, resumeStream], setup);
    expect(targets.sent).toHaveLength(3);
    expect(sink).toMatchObject({ endings: ['end'], body: WHOLE_STREAM });
  });

  // Guards against an error response that is lost though the other target never answers.
  it.each<[string, IRoute['kind'], TargetScript]>([
    ['has failed', 'streaming', sendNothing],
    ['has failed', 'safe', sendNothing],
    [
      'breaks later',
      'streaming',
      (listener): void => {
        setTimeout(() => {
          listener.onError('reset', true);
        }, 2_500);
      },
    ],
  ])('bring the error of one if the other target %s (%s)', async (_name, kind, other) => {
    const setup = { targets: 2, route: { kind, maxAttempts: 2 } };
    const { sink } = await run([other, rejectPrompt], setup);
    expect(sink).toMatchObject({ status: 400, endings: ['end'], body: 'bad prompt' });
  });

  // Guards against a sound target that is given up for the error of another one.
  it('bring the answer of one if the other target fails before', async () => {
    const answerLate: TargetScript = (listener, dispatch, signal) => {
      setTimeout(() => {
        if (!signal.aborted) {
          resumeStream(listener, dispatch, signal);
        }
      }, 2_500);
    };
    const { sink } = await run([answerLate, rejectPrompt], { targets: 2 });
    expect(sink).toMatchObject({ status: 200, endings: ['end'], body: WHOLE_STREAM });
  });

  // Guards against a response that joins the error of one target and the events of another.
  it.each<[string, TargetScript]>([
    ['falls silent', (): void => undefined],
    [
      'breaks',
      (listener): void => {
        listener.onError('reset', true);
      },
    ],
  ])('add no events to an error whose target %s before its end', async (_name, goOn) => {
    const failInPart: TargetScript = (listener, dispatch, signal) => {
      listener.onHead({ ...OK_HEAD, status: 400 });
      listener.onData(Buffer.from('the prompt is'));
      setTimeout(() => {
        goOn(listener, dispatch, signal);
      }, 50);
    };
    const { sink, targets } = await run([failInPart, resumeStream], { targets: 2 });
    expect(targets.sent).toHaveLength(1);
    expect(sink).toMatchObject({ status: 400, endings: ['cut'], body: 'the prompt is' });
  });

  // Guards against a sound target that gets no requests for seconds after a pause, so that the others are overloaded.
  it.each([1, 8])('end the cooldown of a target that goes on, with %i streams', async (count) => {
    const states = new TargetStates();
    const setup = { call: CALL, targets: 1, states };
    const pauseTwice: TargetScript = (listener) => {
      listener.onHead(OK_HEAD);
      listener.onData(streamEvents(1, 2));
      setTimeout(() => {
        listener.onData(streamEvents(3, 4));
      }, 1_700);
      setTimeout(() => {
        listener.onData(streamEvents(5, 5));
        listener.onEnd();
      }, 2_600);
    };
    const running = Array.from({ length: count }, () => runCall([pauseTwice], setup));
    const state = states.ensure(buildTarget({ id: 'i-0', born: 1_000 }), performance.now());
    await vi.advanceTimersByTimeAsync(1_650);
    expect(state.cooldownUntil).toBeGreaterThan(performance.now());
    await vi.advanceTimersByTimeAsync(100);
    expect(state.cooldownUntil - performance.now()).toBeLessThanOrEqual(0);
    await vi.advanceTimersByTimeAsync(LIMIT_MS);
    for (const { sink } of await Promise.all(running)) {
      expect(sink).toMatchObject({ endings: ['end'], body: WHOLE_STREAM });
    }
  });

  // Guards against a sound target that counts as silent because its client was slow to read.
  it('do not begin because a client reads nothing for a time', async () => {
    const sink = new SlowSink(1_550);
    const { targets } = await run([pauseInStream(1_800)], { targets: 2, sink });
    expect(targets.sent).toHaveLength(1);
    expect(sink).toMatchObject({ endings: ['end'], body: WHOLE_STREAM });
  });

  // Guards against a sound target whose answer is lost because a second attempt throws.
  it('go on if the start of one throws', async () => {
    const client = new FailingTargetClient([pauseInStream(1_700)]);
    const { sink, targets } = await run([], { targets: 2, client });
    expect(targets.sent).toHaveLength(2);
    expect(sink).toMatchObject({ endings: ['end'], body: WHOLE_STREAM });
  });

  // Guards against an error in a timer, which would end the process and all its requests.
  it('go on if no further target can be chosen because of an error', async () => {
    const limits = new TargetLimits({
      countEntries: () => 1,
      findTarget: () => undefined,
      random: () => 0.5,
    });
    const check = vi.spyOn(limits, 'hasPermit');
    const running = runCall([pauseInStream(1_700)], { call: CALL, targets: 2, limits });
    await vi.advanceTimersByTimeAsync(500);
    check.mockImplementation(() => {
      throw new Error('no limits');
    });
    await vi.advanceTimersByTimeAsync(LIMIT_MS);
    const { sink } = await running;
    expect(check.mock.results.some(({ type }) => type === 'throw')).toBe(true);
    expect(sink).toMatchObject({ endings: ['end'], body: WHOLE_STREAM });
  });

  // Guards against streams of a service that are cut because its requests count for another service of their route.
  it('are paid from the budget of the service that runs the request', async () => {
    const budget = new SharedRetryBudget({ ratio: 0.2, slack: 0, windowMs: 10_000 });
    const shares = [
      { service: 'orders', weight: 0 },
      { service: 'lace', weight: 1 },
    ];
    const setup = { targets: 2, route: { shares }, budget };
    for (let i = 0; i < 20; i += 1) {
      const running = runCall([resumeStream], { call: CALL, ...setup });
      await Promise.all([running, vi.advanceTimersByTimeAsync(50)]);
    }
    const { sink } = await run([breakStream, resumeStream], setup);
    expect(sink).toMatchObject({ endings: ['end'], body: WHOLE_STREAM });
  });

  // Guards against a stream that waits for a host that has failed, since the other target was closed when it fell silent.
  it('begin as soon as another target takes requests again', async () => {
    const states = new TargetStates();
    recordPause(states.ensure(buildTarget({ id: 'i-1', born: 1_000 }), 0), 2_000, 0);
    const fallSilent: TargetScript = (listener) => {
      listener.onHead(OK_HEAD);
      listener.onData(streamEvents(1, 2));
    };
    const { sink, targets } = await run([fallSilent, resumeStream], { targets: 2, states });
    expect(targets.sent.map(({ target }) => target)).toEqual(['i-0', 'i-1']);
    expect(sink).toMatchObject({ endings: ['end'], body: WHOLE_STREAM });
  });

  // Guards against a sound target that counts as silent because the entry does not relay its events yet.
  it('do not begin while the version of a stream is recorded', async () => {
    const origins = new ScriptedOrigins('v1', new Map(), 2_000);
    const setup = { targets: 2, software: ['v2', 'v2'], origins };
    const { sink, targets } = await run([resumeStream], setup);
    expect(targets.sent).toHaveLength(1);
    expect(sink).toMatchObject({ endings: ['end'], body: WHOLE_STREAM });
  });
});
