/** Forwards accepted dispatches to the target. */
import { Client, type Dispatcher } from 'undici';
import type { IncomingMessage } from 'node:http';
import { isConnectFailure } from '../common/ConnectErrors.js';
import { REQUEST_ID_HEADER } from '../common/Headers.js';
import { NotSentError, sendRequest, type IHttpAnswer } from '../common/HttpAnswer.js';
import { ResetDetector } from '../common/ResetDetector.js';
import { Err, Ok, type IFailure, type Result } from '../common/Result.js';

const CONNECT_TIMEOUT_MS = 1_000;

/** Why a dispatch got no complete answer; the target has received nothing unless the connection is broken. */
export type ForwardFailure = IFailure<'not_connected'> | IFailure<'not_sent'> | IFailure<'broken'>;

/** A request as it is sent to the target. */
export interface IForwardRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | IncomingMessage | undefined;
  readonly timeoutMs: number;
  /** Called when the request has a connection; false if it must not be sent any more. */
  readonly mayBegin: () => boolean;
}

/**
 * Copies the request's headers without the internal ones (`x-rww-`) and those of `HOP_BY_HOP_HEADERS`.
 */
export function copyForwardHeaders(
  request: IncomingMessage,
  requestId: string,
): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(request.headers)) {
    const isInternal = name.startsWith('x-rww-');
    if (typeof value === 'string' && !isInternal && !HOP_BY_HOP_HEADERS.has(name)) {
      headers[name] = value;
    }
  }
  headers[REQUEST_ID_HEADER] = requestId;
  return headers;
}

/** Headers that apply to one connection only, or that the HTTP client library sets itself. */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'transfer-encoding',
  'upgrade',
  'te',
  'trailer',
  'host',
  'expect',
]);

/** Connections to a target. `dispatcher` connects by means of `resets`. */
export interface ITargetConnections {
  readonly dispatcher: Dispatcher;
  readonly resets: ResetDetector;
}

/** Sends a request over one of the connections. With a pool, the request must be repeatable. */
export async function forwardRequest(
  { dispatcher, resets }: ITargetConnections,
  address: string,
  request: IForwardRequest,
  signal: AbortSignal,
): Promise<Result<IHttpAnswer, ForwardFailure>> {
  try {
    const options = {
      origin: `http://${address}`,
      path: request.path,
      method: request.method,
      headers: request.headers,
      body: request.body ?? null,
      headersTimeout: request.timeoutMs,
      bodyTimeout: request.timeoutMs,
    };
    const observer = { onSend: request.mayBegin, onComplete: () => undefined };
    return Ok(await sendRequest(dispatcher, resets, options, signal, observer));
  } catch (error) {
    return Err(describeFailure(error));
  }
}

/**
 * Sends a request over a new connection. An idle pooled connection may break at the moment of its use,
 * and then it is unknown whether the call ran; a failure to connect proves that it did not run.
 */
export async function forwardOnNewConnection(
  address: string,
  request: IForwardRequest,
  signal: AbortSignal,
  readAnswer: (response: IHttpAnswer) => Promise<void>,
): Promise<Result<void, ForwardFailure>> {
  const resets = new ResetDetector(CONNECT_TIMEOUT_MS);
  const client = new Client(`http://${address}`, { connect: resets.connect });
  try {
    const connections = { dispatcher: client, resets };
    const response = await forwardRequest(connections, address, request, signal);
    if (response.err) {
      return Err(response.val);
    }
    await readAnswer(response.val);
    return Ok(undefined);
  } catch (error) {
    return Err({
      kind: 'broken',
      message: `the answer of the target is incomplete: ${String(error)}`,
    });
  } finally {
    await client.destroy();
  }
}

function describeFailure(error: unknown): ForwardFailure {
  if (isConnectFailure(error)) {
    return { kind: 'not_connected', message: `no connection to the target: ${String(error)}` };
  }
  if (error instanceof NotSentError) {
    return { kind: 'not_sent', message: 'the process stops' };
  }
  return { kind: 'broken', message: `the call to the target failed: ${String(error)}` };
}
