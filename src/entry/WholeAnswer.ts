/** Sends answers that are buffered, so that the caller gets all of one or a typed error. */
import type { ServerResponse } from 'node:http';

/** Sends a complete answer. */
export function sendAnswer(
  response: ServerResponse,
  status: number,
  headers: Readonly<Record<string, string | string[]>>,
  body: Uint8Array,
  requestId: string,
): void {
  response.writeHead(status, {
    ...headers,
    'content-length': body.length,
    'x-request-id': requestId,
  });
  response.end(body);
}
