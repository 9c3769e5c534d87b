/** Guards against dispatches that a stopping entry sends too late, and against streams that it ends too early. */
import { create } from '@bufbuild/protobuf';
import { once } from 'node:events';
import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { MonotonicClock } from '../common/Clock.js';
import { encodeHeader, RECEIPT_HEADER } from '../common/Headers.js';
import { SILENT_LOG } from '../common/Log.js';
import { Shutdown } from '../common/Shutdown.js';
import { ResponseTimes } from '../gateway/ResponseTimes.js';
import { ReceiptSchema, RefusalReason, TicketSchema } from '../gen/redwingwharf/v1/control_pb.js';
import { DispatchClient, type IDispatch } from './DispatchClient.js';
import { OpenRequest } from './OpenRequests.js';

const clock = new MonotonicClock();
let server: Server;
let client: DispatchClient;
let shutdown: Shutdown;

async function startClient(handle: RequestListener): Promise<IDispatch> {
  server = createServer(handle).listen(0, '127.0.0.1');
  await once(server, 'listening');
  shutdown = new Shutdown();
  client = new DispatchClient('secret', {
    ...{ clock, log: SILENT_LOG, shutdown, responseTimes: new ResponseTimes() },
  });
  const now = clock.now();
  const deadlineAt = now + 5_000;
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return {
    ticket: create(TicketSchema, { requestId: 'r-1' }),
    target: { announcement: { address } } as IDispatch['target'],
    method: 'POST',
    path: '/',
    headers: {},
    body: Buffer.from('{}'),
    signal: AbortSignal.timeout(5_000),
    open: new OpenRequest('r-1', undefined, deadlineAt, now),
    run: {
      ...{ route: 'orders', outputTokens: 0, expectedFirstMs: 0 },
      ...{ isRepeatable: false, deadlineAt },
    },
  };
}

afterEach(async () => {
  await client.close();
  server.close();
});

describe('DispatchClient in a process that stops', () => {
  // A claimed call goes on when its caller leaves, so the request has ended before the stop begins.
  it('sends no claimed call too late whose caller has left', async () => {
    let received = 0;
    const dispatch = await startClient((_request, response) => {
      received += 1;
      response.end();
    });
    dispatch.open.end('client_gone');
    shutdown.begin(clock.now() + 1_000, clock.now());
    expect(await client.dispatch(dispatch)).toEqual({ kind: 'stopping' });
    expect(received).toBe(0);
  });

  // The gate is asked again once there is a connection, when the stop may have begun.
  it('holds back a claimed call whose caller has left and whose connection comes late', async () => {
    let received = 0;
    const dispatch = await startClient((_request, response) => {
      received += 1;
      response.end();
    });
    dispatch.open.end('client_gone');
    const pending = client.dispatch(dispatch);
    shutdown.begin(clock.now() + 1_000, clock.now());
    expect(await pending).toEqual({ kind: 'stopping' });
    expect(received).toBe(0);
  });

  // The stream is still generated, and a later attempt may fetch the rest of it.
  it('does not count a stream as waiting whose resumption was refused', async () => {
    const receipt = create(ReceiptSchema, {
      ...{ requestId: 'r-1', ran: false, refusal: RefusalReason.TARGET_DOWN },
    });
    const dispatch = await startClient((_request, response) => {
      response.writeHead(409, { [RECEIPT_HEADER]: encodeHeader(ReceiptSchema, receipt) });
      response.end();
    });
    dispatch.open.recordSend(clock.now());
    expect(await client.resume(dispatch, 'stream-1', 3)).toMatchObject({ kind: 'not_run' });
    expect(dispatch.open).toMatchObject({ isAtTarget: true, mayHaveRun: true });
  });
});
