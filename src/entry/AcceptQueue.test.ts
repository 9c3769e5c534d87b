/** Guards against requests that run although their clients have left, on the way over an entry and a sidecar that accept connections late. */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import { afterEach, describe, expect, it } from 'vitest';
import { sleep } from '../common/Tasks.js';
import { EdgeHarness } from './EdgeHarness.js';

const CLIENT_COUNT = 80;

/** Time that the process takes for each dispatch, and so for each turn of its event loop. */
const TURN_MS = 15;

const STAY_MS = 100;

/** What was passed on before the clients left has reached its target by then; the targets share the event loop. */
const SETTLE_MS = 500;

/** Opens all connections at once, sends a request on each, and leaves. */
const CLIENTS = `
const { connect } = require('node:net');
const { parentPort, workerData } = require('node:worker_threads');
const sockets = Array.from({ length: workerData.count }, () => {
  const socket = connect(workerData.port, '127.0.0.1', () => socket.write(workerData.request));
  socket.on('error', () => undefined);
  return socket;
});
let open = sockets.length;
for (const socket of sockets) {
  socket.once('close', () => {
    open -= 1;
    if (open === 0) {
      parentPort.postMessage('left');
    }
  });
}
setTimeout(() => sockets.forEach((socket) => socket.destroy()), workerData.staysMs);
`;

let harness: EdgeHarness | undefined;
let clients: Worker | undefined;

afterEach(async () => {
  await clients?.terminate();
  await harness?.dispose();
});

describe('an entry that accepts one connection in each turn', () => {
  it('sends no request of a client that has left while its connection waited', async () => {
    const edge = await EdgeHarness.start();
    harness = edge;
    edge.interceptDispatch = () => {
      const until = performance.now() + TURN_MS;
      while (performance.now() < until) {
        // Computes.
      }
    };
    const lines = ['GET /stock/linen HTTP/1.1', 'Host: desk.example'];
    const request = [...lines, `Authorization: Bearer ${edge.key}`, '\r\n'].join('\r\n');
    const port = edge.entries[0]?.port ?? 0;
    const workerData = { count: CLIENT_COUNT, port, request, staysMs: STAY_MS };
    clients = new Worker(CLIENTS, { eval: true, workerData });
    await once(clients, 'message');
    await sleep(SETTLE_MS);
    const received = edge.receivedRequests.length;
    await sleep(2 * CLIENT_COUNT * TURN_MS);
    expect(edge.receivedRequests.length - received).toBe(0);
  });
});
