/** Sends HTTP requests and records the times that the checks of the soak need. */
import { request as sendRequest, type Agent, type IncomingHttpHeaders } from 'node:http';

/** Request to send. */
export interface ICallOptions {
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Pause between the halves of the body, in milliseconds; without it the body is sent at once. */
  readonly bodyPauseMs?: number;
  /** Time limit for the whole answer. */
  readonly timeoutMs: number;
  /** Pool of reused connections; without it each request opens a new connection. */
  readonly agent?: Agent;
}

/** Answer to a request, as far as it arrived. Times are milliseconds of `performance.now()`. */
export interface ICallResult {
  /**
   * `not_connected`: the request failed before its connection was established, so no server got it.
   */
  readonly end: 'complete' | 'broken' | 'timeout' | 'not_connected';
  /** HTTP status; 0 if no response arrived. */
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
  readonly sentAt: number;
  /** When the whole request had been handed to the operating system; 0 if it never was. */
  readonly sentWholeAt: number;
  /** Whether the connection had carried another request before. */
  readonly isReused: boolean;
  /** Arrival of the response headers; 0 if no response arrived. */
  readonly firstByteAt: number;
  /**
   * Arrival of the last chunk of data that contains an event of a streamed completion; 0 if none
   * arrived.
   */
  readonly lastTokenAt: number;
  readonly endAt: number;
}

/** Occurs in each event of a streamed completion. */
const TOKEN_CHUNK_MARKER = '"chat.completion.chunk"';

/** Sends a request and waits for the end of the answer; never rejects. */
export async function sendCall(url: string, options: ICallOptions): Promise<ICallResult> {
  const sentAt = performance.now();
  let [status, firstByteAt, lastTokenAt, sentWholeAt, text] = [0, 0, 0, 0, ''];
  let headers: IncomingHttpHeaders = {};
  let isConnected = false;
  return new Promise((resolve) => {
    const finish = (end: ICallResult['end']): void => {
      clearTimeout(timer);
      const endAt = performance.now();
      const isReused = call.reusedSocket;
      resolve({
        end,
        status,
        headers,
        text,
        sentAt,
        sentWholeAt,
        isReused,
        firstByteAt,
        lastTokenAt,
        endAt,
      });
    };
    const call = sendRequest(url, {
      // Opens a new connection by default: the server may close an idle one at the moment of its reuse.
      agent: options.agent ?? false,
      method: options.method,
      headers: options.headers,
    });
    const timer = setTimeout(() => {
      finish('timeout');
      call.destroy();
    }, options.timeoutMs);
    call.on('socket', (socket) => {
      if (socket.connecting) {
        socket.once('connect', () => {
          isConnected = true;
        });
      } else {
        isConnected = true;
      }
    });
    call.on('finish', () => {
      sentWholeAt = performance.now();
    });
    call.on('error', () => {
      finish(isConnected ? 'broken' : 'not_connected');
    });
    call.on('response', (response) => {
      firstByteAt = performance.now();
      status = response.statusCode ?? 0;
      headers = response.headers;
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => {
        text += chunk;
        if (chunk.includes(TOKEN_CHUNK_MARKER)) {
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
    const { body, bodyPauseMs } = options;
    if (body === undefined || bodyPauseMs === undefined) {
      call.end(body);
      return;
    }
    call.write(body.slice(0, body.length / 2));
    setTimeout(() => {
      call.end(body.slice(body.length / 2));
    }, bodyPauseMs);
  });
}
