/** Sends buffered answers, so that a caller gets either a complete answer or a typed error. */
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
