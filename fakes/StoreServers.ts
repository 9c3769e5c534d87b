/** Fake KV-cache store and fake rate-limited weight store. */
import { createServer, type Server } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { readBody, sendJson } from './Http.js';

/** Keeps blobs by path: PUT and GET. */
export function createKvStoreServer(maxBlobs: number): Server {
  const blobs = new Map<string, Buffer>();
  return createServer((request, response) => {
    const key = request.url ?? '/';
    readBody(request).then(
      (body) => {
        if (request.method === 'PUT') {
          blobs.set(key, body);
          const [oldest] = blobs.keys();
          if (blobs.size > maxBlobs && oldest !== undefined) {
            blobs.delete(oldest);
          }
          sendJson(response, 200, { stored: true });
          return;
        }
        const blob = blobs.get(key);
        if (blob === undefined) {
          sendJson(response, 404, { error: 'not_stored' });
        } else {
          response.writeHead(200, { 'content-type': 'application/octet-stream' });
          response.end(blob);
        }
      },
      () => {
        // An upload that broke off is not kept.
        response.destroy();
      },
    );
  });
}

/** Serves any weights; more than `parallel` readers at once slow each other down. */
export function createWeightStoreServer(readMs: number, parallel: number): Server {
  let readers = 0;
  return createServer((_request, response) => {
    readers += 1;
    const slowdown = Math.max(1, readers / parallel);
    void delay(readMs * slowdown).then(() => {
      readers -= 1;
      sendJson(response, 200, { readers });
    });
  });
}
