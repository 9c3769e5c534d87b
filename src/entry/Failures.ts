/** Errors that callers get over HTTP. Each message says what the caller can do. */
import type { ServerResponse } from 'node:http';

/** Whether a target ran the request; `no` only if it is proven that none did. Sent as `x-rww-ran`. */
export type Ran = 'no' | 'yes' | 'unknown';

/** Time for which the remaining bytes of a refused upload are read and discarded. */
const DISCARD_TIMEOUT_MS = 1_000;

/** HTTP status and OpenAI-compatible error type of each error code. */
const FAILURE_KINDS = {
  bad_request: { status: 400, type: 'invalid_request_error' },
  bad_json: { status: 400, type: 'invalid_request_error' },
  body_too_large: { status: 413, type: 'invalid_request_error' },
  header_too_large: { status: 431, type: 'invalid_request_error' },
  request_timeout: { status: 408, type: 'invalid_request_error' },
  key_missing: { status: 401, type: 'authentication_error' },
  key_invalid: { status: 401, type: 'authentication_error' },
  key_in_request: { status: 400, type: 'invalid_request_error' },
  key_ambiguous: { status: 400, type: 'invalid_request_error' },
  service_not_allowed: { status: 403, type: 'permission_error' },
  route_unknown: { status: 404, type: 'invalid_request_error' },
  model_unknown: { status: 404, type: 'invalid_request_error' },
  method_not_allowed: { status: 405, type: 'invalid_request_error' },
  in_progress: { status: 409, type: 'conflict_error' },
  idempotency_key_reused: { status: 422, type: 'invalid_request_error' },
  answer_not_kept: { status: 410, type: 'conflict_error' },
  rate_limited: { status: 429, type: 'rate_limit_error' },
  request_too_costly: { status: 400, type: 'invalid_request_error' },
  overloaded: { status: 503, type: 'overloaded_error' },
  freshness_unknown: { status: 503, type: 'server_error' },
  control_unavailable: { status: 503, type: 'server_error' },
  claims_full: { status: 503, type: 'server_error' },
  no_target: { status: 503, type: 'server_error' },
  draining: { status: 503, type: 'server_error' },
  target_failed: { status: 502, type: 'server_error' },
  outcome_unknown: { status: 502, type: 'server_error' },
  key_withdrawn: { status: 401, type: 'authentication_error' },
  stream_broken: { status: 502, type: 'server_error' },
  deadline_exceeded: { status: 504, type: 'server_error' },
  internal: { status: 500, type: 'server_error' },
} as const;

export type FailureCode = keyof typeof FAILURE_KINDS;

/** Failures that may be sent before the body of the request has arrived completely. */
const CODES_OF_UNREAD_BODIES: ReadonlySet<FailureCode> = new Set([
  'body_too_large',
  'request_timeout',
  'draining',
]);

/** An error as the caller sees it. */
export interface IHttpFailure {
  readonly code: FailureCode;
  readonly message: string;
  readonly ran: Ran;
  /** Time after which a retry may succeed; undefined if it is not known. */
  readonly retryAfterMs: number | undefined;
}

/**
 * Creates the failure of a request that is proven not to have run.
 *
 * @example
 * return Err(createRefusal('key_missing', 'Send the key in the header Authorization: Bearer.'));
 */
export function createRefusal(
  code: FailureCode,
  message: string,
  retryAfterMs?: number,
): IHttpFailure {
  return { code, message, ran: 'no', retryAfterMs };
}

/** Creates the failure of a request that ran or may have run. */
export function createFailure(
  code: FailureCode,
  message: string,
  ran: Ran,
  retryAfterMs?: number,
): IHttpFailure {
  return { code, message, ran, retryAfterMs };
}

/**
 * Changes the refusal of a request with an Idempotency-Key whose claim was not looked up: an earlier
 * request with the same key may have run, so `ran` becomes `unknown` and the message says so.
 */
export function describeUncheckedClaim(failure: IHttpFailure): IHttpFailure {
  if (failure.ran !== 'no') {
    return failure;
  }
  const hint =
    'It is not known whether an earlier request with this Idempotency-Key ran; ' +
    'send the same request with the same Idempotency-Key to find out.';
  return { ...failure, message: `${failure.message} ${hint}`, ran: 'unknown' };
}

/** HTTP status of a failure. */
export function getStatus(failure: IHttpFailure): number {
  return FAILURE_KINDS[failure.code].status;
}

/** JSON text of a failure: `{error:{type,code,message,request_id}}`. */
export function formatFailure(failure: IHttpFailure, requestId: string): string {
  const { code, message } = failure;
  const { type } = FAILURE_KINDS[code];
  return JSON.stringify({ error: { type, code, message, request_id: requestId } });
}

/** Answers a request with a failure. A response that has already begun is aborted instead. */
export function sendFailure(
  response: ServerResponse,
  failure: IHttpFailure,
  requestId: string,
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const body = formatFailure(failure, requestId);
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    'x-request-id': requestId,
    'x-rww-ran': failure.ran,
  };
  if (failure.retryAfterMs !== undefined) {
    headers['retry-after'] = Math.max(1, Math.ceil(failure.retryAfterMs / 1_000));
  }
  if (CODES_OF_UNREAD_BODIES.has(failure.code)) {
    // The remaining body may not be read, so the connection cannot be used again.
    headers.connection = 'close';
  }
  response.writeHead(getStatus(failure), headers);
  if (headers.connection === 'close' && !response.req.complete) {
    response.write(body);
    discardUpload(response);
  } else {
    response.end(body);
  }
}

/**
 * Reads and discards the upload for up to `DISCARD_TIMEOUT_MS`, then ends the response. Closing the
 * connection while the caller still sends would reset it, and the caller might lose the response.
 */
function discardUpload(response: ServerResponse): void {
  const { req: request } = response;
  const end = (): void => {
    clearTimeout(timer);
    response.end();
  };
  const timer = setTimeout(end, DISCARD_TIMEOUT_MS);
  request.once('close', end);
  request.once('end', end);
  request.resume();
}
