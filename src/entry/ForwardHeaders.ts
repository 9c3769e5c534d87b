/** Selects the headers that are forwarded between caller and target. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import { isMechanismDisabled } from '../common/TestSwitches.js';
import { mayContainKey } from './KeyFilter.js';

/** Request headers that are forwarded to targets. Keys, cookies and unknown headers are not. */
const FORWARDED_REQUEST_HEADERS = [
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

/** Answer headers that are not forwarded: they apply to one connection only or are internal to the system. */
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

/** Copies the request headers that are forwarded to targets, except those that may contain a key. */
export function pickRequestHeaders(headers: IncomingHttpHeaders): Record<string, string> {
  const picked: Record<string, string> = {};
  TEST_ONLY: if (isMechanismDisabled('forward-key'))
    picked.authorization = headers.authorization ?? '';
  for (const name of FORWARDED_REQUEST_HEADERS) {
    const value = headers[name];
    if (typeof value === 'string' && !mayContainKey(value)) {
      picked[name] = value;
    }
  }
  return picked;
}

/** Copies the answer headers that are forwarded to callers. */
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
