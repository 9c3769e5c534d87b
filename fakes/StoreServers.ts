/** Fake KV-cache store and fake weight store with limited throughput. */
import { createServer, type Server } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { readBody, sendJson } from './Http.js';

/** Creates a store of up to `maxBlobs` blobs by path, with PUT and GET. The oldest is dropped for a new one. */
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
        // The connection broke before the upload was complete; the blob is not stored.
        response.destroy();
      },
    );
  });
}

/**
 * Creates a store that answers any path after `readMs`, or proportionally later when more than
 * `maxParallelReaders` read at once.
 */
export function createWeightStoreServer(readMs: number, maxParallelReaders: number): Server {
  let readers = 0;
  return createServer((_request, response) => {
    readers += 1;
    const slowdown = Math.max(1, readers / maxParallelReaders);
    void delay(readMs * slowdown).then(() => {
      readers -= 1;
      sendJson(response, 200, { readers });
    });
  });
}
