/** Which headers pass between caller and target. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import { isBroken } from '../common/TestSwitches.js';
import { hasKeyForm } from './KeyFilter.js';

/** Headers of a request that a target may see. Keys, cookies and unknown headers stay here. */
const REQUEST_HEADERS = [
  'accept',
  'accept-language',
  'content-type',
  'if-match',
  'if-modified-since',
  'if-none-match',
  'traceparent',
  'tracestate',
  'user-agent',
] as const;

/** Headers of an answer that belong to one connection or to the inner hop. */
const DROPPED_ANSWER_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'keep-alive',
  'proxy-connection',
  'transfer-encoding',
  'upgrade',
  'x-request-id',
  'x-engine-incarnation',
  'x-stream-id',
]);

/** Copies the request headers that a target may see, without values that hold a key. */
export function pickRequestHeaders(headers: IncomingHttpHeaders): Record<string, string> {
  const picked: Record<string, string> = {};
  TEST_ONLY: if (isBroken('forward-key')) picked.authorization = headers.authorization ?? '';
  for (const name of REQUEST_HEADERS) {
    const value = headers[name];
    if (typeof value === 'string' && !hasKeyForm(value)) {
      picked[name] = value;
    }
  }
  return picked;
}

/** Copies the answer headers that the caller may see. */
export function pickAnswerHeaders(
  headers: Dispatcher.ResponseData['headers'],
): Record<string, string | string[]> {
  const picked: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    const isInternal = DROPPED_ANSWER_HEADERS.has(name) || name.startsWith('x-rww-');
    if (value !== undefined && !isInternal) {
      picked[name] = value;
    }
  }
  return picked;
}
