/** Guards against clients that wait until their deadline for a target that is gone. */
import { describe, expect, it } from 'vitest';
import { MonotonicClock } from '../common/Clock.js';
import { NO_LOOP_DELAY } from '../common/LoopDelay.js';
import { buildTarget } from '../fleet/Fixtures.js';
import type { IRoute } from '../fleet/Types.js';
import { TargetPhase, type TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import {
  OK_HEAD,
  runCall,
  ScriptedTargetClient,
  sendNothing,
  type TargetScript,
} from './Fixtures.js';
import { GoneTargets } from './GoneTargets.js';

const CALL = { deadlineMs: 6_000 };
const UNSAFE: Partial<IRoute> = { kind: 'unsafe', isResumable: false };
const STREAM: Partial<IRoute> = { kind: 'streaming', isResumable: false };

const answer500: TargetScript = (listener) => {
  listener.onHead({ ...OK_HEAD, status: 500 });
  listener.onData(Buffer.from('failed'));
  listener.onEnd();
};

const answerLate: TargetScript = (listener) => {
  setTimeout(() => {
    listener.onHead(OK_HEAD);
    listener.onData(Buffer.from('id: 1\ndata: 1\n\n'));
    listener.onEnd();
  }, 2_500);
};

function createClient(isGone: boolean, ...scripts: TargetScript[]): ScriptedTargetClient {
  const client = new ScriptedTargetClient(scripts);
  client.isGone = isGone;
  return client;
}

describe.concurrent('a request without a byte at a target that sends nothing', () => {
  it.each([
    ['unsafe request', UNSAFE],
    ['stream that may not be resumed', STREAM],
  ])('is ended early as failed if the target is gone: %s', async (_name, route) => {
    const startedAt = performance.now();
    const client = createClient(true, sendNothing);
    const { sink } = await runCall([], { route, client, call: CALL });
    expect(sink).toMatchObject({ status: 502, endings: ['refuse'] });
    expect(client.sent).toHaveLength(1);
    expect(performance.now() - startedAt).toBeLessThan(4_500);
  });

  it('keeps its target if that is silent but accepts connections', async () => {
    const client = createClient(false, answerLate);
    const { sink } = await runCall([], { route: UNSAFE, client, call: CALL });
    expect(sink).toMatchObject({ status: 200, endings: ['end'] });
  });

  it('gets the error of the first target if the second one is gone', async () => {
    const startedAt = performance.now();
    const client = createClient(true, answer500, sendNothing);
    const route: Partial<IRoute> = { kind: 'safe', isResumable: false, maxAttempts: 2 };
    const { sink } = await runCall([], { route, client, call: CALL });
    expect(sink).toMatchObject({ status: 500, body: 'failed', endings: ['end'] });
    expect(performance.now() - startedAt).toBeLessThan(4_500);
  });
});

describe('GoneTargets', () => {
  const target = buildTarget({ id: 'i-1', born: 7 });

  function create(results: boolean[], known?: TargetRecord): GoneTargets {
    return new GoneTargets({
      client: { canConnect: () => Promise.resolve(results.shift() ?? true) },
      view: { getTarget: () => known },
      clock: new MonotonicClock(),
      loopDelay: NO_LOOP_DELAY,
    });
  }

  it('needs two failed connections in a row', async () => {
    expect(await create([false, true]).isGone(target)).toBe(false);
    expect(await create([false, false]).isGone(target)).toBe(true);
  });

  it('believes an announcement of this run of the target', async () => {
    const gone = buildTarget({ id: 'i-1', born: 7, phase: TargetPhase.GONE });
    expect(await create([], gone).isGone(target)).toBe(true);
    const later = buildTarget({ id: 'i-1', born: 8, phase: TargetPhase.GONE });
    expect(await create([], later).isGone(target)).toBe(false);
  });
});
