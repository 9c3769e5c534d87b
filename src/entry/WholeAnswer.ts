/** Reads and sends answers that are buffered, so that the caller gets all of one or a typed error. */
import type { ServerResponse } from 'node:http';
import type { AnswerBody } from '../common/HttpAnswer.js';

/** Largest buffered answer. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** Raised when an answer exceeds the limit. */
export class AnswerTooLargeError extends Error {}

/** Reads the body to its end; throws when it breaks off. */
export async function readAnswer(body: AnswerBody): Promise<Buffer> {
  const parts: Buffer[] = [];
  let size = 0;
  await body.read((part) => {
    size += part.length;
    if (size > MAX_ANSWER_BYTES) {
      throw new AnswerTooLargeError(`the answer exceeds ${MAX_ANSWER_BYTES} bytes`);
    }
    parts.push(part);
  });
  return Buffer.concat(parts);
}

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
