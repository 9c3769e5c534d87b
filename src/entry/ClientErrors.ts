/** Raw responses to input that Node's HTTP parser rejects before it creates a request object. */
import { randomUUID } from 'node:crypto';
import { formatFailure, createRefusal, type IHttpFailure } from './Failures.js';

/** Maximum size of a request's head. */
export const MAX_HEADER_BYTES = 16 * 1024;

/**
 * Formats the response to input that the parser rejected with an error code. The input may have contained
 * an Idempotency-Key of a call that ran earlier, so `x-rww-ran` is `unknown`.
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
        failure: createRefusal('header_too_large', message),
      };
    }
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return {
        status: '408 Request Timeout',
        failure: createRefusal('request_timeout', 'Send the headers faster.'),
      };
    case undefined:
    default:
      return {
        status: '400 Bad Request',
        failure: createRefusal('bad_request', 'Send valid HTTP/1.1.'),
      };
  }
}
