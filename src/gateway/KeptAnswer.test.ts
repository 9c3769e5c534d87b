/** Guards against an error of the router in place of the one that the engine itself sent. */
import { describe, expect, it } from 'vitest';
import type { IRoute } from '../fleet/Types.js';
import {
  answerOk,
  OK_HEAD,
  refuseBusy,
  refuseConnection,
  resetAfterSend,
  runCall,
  sendNothing,
  type TargetScript,
} from './Fixtures.js';
import type { ITargetHead } from './Types.js';

const SAFE: Partial<IRoute> = { kind: 'safe', isResumable: false, maxAttempts: 2 };
const ERROR_TEXT = '{"error":"out of ink"}';

function answerError(changes: Partial<ITargetHead> = {}): TargetScript {
  return (listener) => {
    listener.onHead({ ...OK_HEAD, status: 500, ...changes });
    listener.onData(Buffer.from(ERROR_TEXT));
    listener.onEnd();
  };
}

describe('the error of an engine on a safe route', () => {
  it.each([
    ['breaks', [resetAfterSend]],
    ['refuses the request', [refuseBusy, refuseBusy]],
    ['cannot be connected to', Array.from({ length: 5 }, () => refuseConnection)],
    ['is dark', [sendNothing]],
  ])('is the answer if the second target %s', async (_how, scripts) => {
    const { sink } = await runCall([answerError(), ...scripts], { route: SAFE });
    expect(sink).toMatchObject({ status: 500, body: ERROR_TEXT, endings: ['end'] });
  });

  it('is the answer if no second target is there', async () => {
    const { sink } = await runCall([answerError()], { route: SAFE, targets: 1 });
    expect(sink).toMatchObject({ status: 500, body: ERROR_TEXT, endings: ['end'] });
  });

  it('is the answer if the retry budget is used up', async () => {
    const { sink, targets } = await runCall([answerError()], { route: SAFE, retrySlack: -1 });
    expect(targets.sent).toHaveLength(1);
    expect(sink).toMatchObject({ status: 500, body: ERROR_TEXT, endings: ['end'] });
  });

  it('gives way to the answer of the second target', async () => {
    const { sink } = await runCall([answerError(), answerOk], { route: SAFE });
    expect(sink).toMatchObject({ status: 200, endings: ['end'] });
  });

  it('is not passed on if it is incomplete', async () => {
    const breakError: TargetScript = (listener) => {
      listener.onHead({ ...OK_HEAD, status: 500 });
      listener.onData(Buffer.from('{"err'));
      listener.onError('reset', true);
    };
    const { sink } = await runCall([breakError, resetAfterSend], { route: SAFE });
    expect(sink).toMatchObject({ status: 502, body: '', endings: ['refuse'] });
  });

  // A 503 promises that the request has not run, which only a statement of the target shows.
  it('is not passed on if it would promise too much', async () => {
    const { sink } = await runCall([answerError({ status: 503 }), resetAfterSend], { route: SAFE });
    expect(sink).toMatchObject({ status: 502, endings: ['refuse'] });
  });
});
