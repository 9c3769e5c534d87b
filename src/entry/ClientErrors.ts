/** Responses to what Node's HTTP parser refuses before there is a request object. */
import { randomUUID } from 'node:crypto';
import { formatFailure, refuse, type IHttpFailure } from './Failures.js';

/** Largest head of a request. */
export const MAX_HEADER_BYTES = 16 * 1024;

/**
 * Response to a request that Node's parser refused before there was a request object. It may have carried
 * an Idempotency-Key, so "not run" cannot be said of the call.
 */
export function formatClientError(errorCode: string | undefined): string {
  const { status, failure } = describeClientError(errorCode);
  const body = formatFailure(failure, randomUUID());
  return (
    `HTTP/1.1 ${status}\r\ncontent-type: application/json\r\nx-rww-ran: unknown\r\n` +
    `content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`
  );
}

function describeClientError(code: string | undefined): { status: string; failure: IHttpFailure } {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW': {
      const message = `Send at most ${MAX_HEADER_BYTES} bytes of headers.`;
      return {
        status: '431 Request Header Fields Too Large',
        failure: refuse('header_too_large', message),
      };
    }
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return {
        status: '408 Request Timeout',
        failure: refuse('request_timeout', 'Send the headers faster.'),
      };
    case undefined:
    default:
      return { status: '400 Bad Request', failure: refuse('bad_request', 'Send valid HTTP/1.1.') };
  }
}
