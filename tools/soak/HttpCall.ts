/** One HTTP request, with the times that the checks need. */
import { request as sendRequest, type Agent, type IncomingHttpHeaders } from 'node:http';

export interface ICallOptions {
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly timeoutMs: number;
  /** Keeps connections for further requests; without it each request has a connection of its own. */
  readonly agent?: Agent;
}

/** What a call got. Times are milliseconds of `performance.now()`. */
export interface ICallResult {
  readonly end: 'complete' | 'broken' | 'timeout' | 'not_connected';
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
  readonly sentAt: number;
  readonly firstByteAt: number;
  /** Arrival of the last part that carries a generated token. */
  readonly lastTokenAt: number;
  readonly endAt: number;
}

const TOKEN_MARK = '"chat.completion.chunk"';

/** Sends a request and collects the answer; never rejects. */
export async function sendCall(url: string, options: ICallOptions): Promise<ICallResult> {
  const sentAt = performance.now();
  let [status, firstByteAt, lastTokenAt, text] = [0, 0, 0, ''];
  let headers: IncomingHttpHeaders = {};
  let isConnected = false;
  return new Promise((resolve) => {
    const finish = (end: ICallResult['end']): void => {
      clearTimeout(timer);
      const endAt = performance.now();
      resolve({ end, status, headers, text, sentAt, firstByteAt, lastTokenAt, endAt });
    };
    const call = sendRequest(url, {
      // Without an agent a new connection: an idle one may close just when it is used.
      agent: options.agent ?? false,
      method: options.method,
      headers: options.headers,
    });
    const timer = setTimeout(() => {
      finish('timeout');
      call.destroy();
    }, options.timeoutMs);
    call.on('socket', (socket) => {
      socket.once('connect', () => {
        isConnected = true;
      });
    });
    call.on('error', () => {
      finish(isConnected ? 'broken' : 'not_connected');
    });
    call.on('response', (response) => {
      firstByteAt = performance.now();
      status = response.statusCode ?? 0;
      headers = response.headers;
      response.setEncoding('utf8');
      response.on('data', (part: string) => {
        text += part;
        if (part.includes(TOKEN_MARK)) {
          lastTokenAt = performance.now();
        }
      });
      response.on('end', () => {
        finish(response.complete ? 'complete' : 'broken');
      });
      response.on('error', () => {
        finish('broken');
      });
    });
    call.end(options.body);
  });
}
