import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import { describe, expect, it } from 'vitest';
import { AnswerBody } from '../common/HttpAnswer.js';
import type { IAnsweredDispatch } from './Dispatcher.js';
import { OpenRequest, type OpenRequests } from './OpenRequests.js';
import { StreamRelay } from './StreamRelay.js';
import type { IFlowServices, IRequestContext } from './Types.js';

/** Fake response that records what is written to the caller. */
class RecordingResponse extends EventEmitter {
  public readonly written: string[] = [];
  public isFull = false;
  public destroyed = false;

  public writeHead(): void {
    this.written.push('head');
  }

  public write(events: Buffer): boolean {
    this.written.push(events.toString());
    return !this.isFull;
  }

  public end(last?: string): void {
    this.written.push(last === undefined ? 'end' : 'error');
  }
}

interface IRelayed {
  readonly response: RecordingResponse;
  readonly open: OpenRequest;
  readonly body: AnswerBody;
  readonly isPaused: () => boolean;
  readonly end: Promise<{ kind: string }>;
}

function startRelay(prepare: (open: OpenRequest) => void = () => undefined): IRelayed {
  const response = new RecordingResponse();
  const open = new OpenRequest('r1', undefined, Infinity);
  prepare(open);
  let isPaused = false;
  const body = new AnswerBody({
    aborted: false,
    paused: false,
    reason: null,
    abort: () => undefined,
    pause: () => (isPaused = true),
    resume: () => (isPaused = false),
  });
  const relay = new StreamRelay(
    { requestId: 'r1', open, response: response as unknown as ServerResponse } as IRequestContext,
    {} as never,
    { checkRequest: () => undefined } as unknown as OpenRequests,
    {
      clock: { now: () => 0 },
      metrics: { increment: () => undefined },
    } as unknown as IFlowServices,
    () => undefined,
  );
  const outcome = { kind: 'answered', response: { body }, streamId: undefined };
  const end = relay.relay({ outcome } as unknown as IAnsweredDispatch);
  return { response, open, body, isPaused: () => isPaused, end };
}

const FIRST = Buffer.from('id: 1\ndata: a\n\n');
const DONE = Buffer.from('id: 2\ndata: [DONE]\n\n');

describe('StreamRelay', () => {
  it('writes nothing while the answer is held back, and everything after the release', async () => {
    const { response, open, body, isPaused, end } = startRelay((request) => {
      request.hold();
    });
    body.push(FIRST);
    expect(isPaused()).toBe(true);
    expect(response.written).toEqual([]);
    open.release();
    await new Promise(setImmediate);
    expect(isPaused()).toBe(false);
    body.push(DONE);
    body.finish(undefined);
    expect((await end).kind).toBe('complete');
    expect(response.written).toEqual(['head', FIRST.toString(), DONE.toString(), 'end']);
  });

  it('ends a broken stream only after the events that were held back are written', async () => {
    const { response, open, body, end } = startRelay((request) => {
      request.hold();
    });
    body.push(FIRST);
    body.finish(new Error('the connection broke'));
    await new Promise(setImmediate);
    expect(response.written).toEqual([]);
    open.release();
    expect((await end).kind).toBe('ended');
    expect(response.written).toEqual(['head', FIRST.toString(), 'error']);
  });

  it('writes no event that was held back after the key was withdrawn', async () => {
    const { response, open, body, end } = startRelay((request) => {
      request.hold();
    });
    body.push(FIRST);
    open.end('key_withdrawn');
    body.finish(new Error('aborted'));
    await end;
    expect(response.written).toEqual(['head', 'error']);
  });

  it('stops reading while the caller reads slowly, so that memory stays bounded', async () => {
    const { response, body, isPaused, end } = startRelay();
    response.isFull = true;
    body.push(FIRST);
    expect(isPaused()).toBe(true);
    response.isFull = false;
    response.emit('drain');
    expect(isPaused()).toBe(false);
    body.push(DONE);
    body.finish(undefined);
    expect((await end).kind).toBe('complete');
  });
});
