/**
 * Tells a reset from the end of an answer that only the close of its connection ends. undici reports both as the end, and
 * Node reports only the end where the end of the bytes and a reset arrive together.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { buildConnector } from 'undici';
import { createConnector } from './OrderedSocket.js';

/** Delay before an answer that ends with the close of its connection counts as complete, to detect a reset. */
const RESET_DETECTION_DELAY_MS = 20;

/**
 * Bytes without a head or a part of a body after which a connection is closed. Heads, and what accompanies the length of a chunk,
 * are a small part of it in every answer.
 */
const MAX_FRAMING_BYTES = 128 * 1024;

const RESET_CODES: ReadonlySet<string | undefined> = new Set(['ECONNRESET', 'EPIPE']);

const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** True if a status or method allows for no body, whatever the headers say. */
export function isBodyless(method: string, status: number): boolean {
  return method === 'HEAD' || BODYLESS_STATUSES.has(status);
}

/** True if only the close of its connection ends an answer. */
export function isCloseDelimited(
  method: string,
  status: number,
  headers: IncomingHttpHeaders,
): boolean {
  const hasEnd =
    headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  return !hasEnd && !isBodyless(method, status);
}

/** Watches one answer that ends with the close of its connection. */
export interface IResetWatch {
  /** Calls back, a moment after the end of the bytes, whether the connection was reset. */
  finish(onResult: (wasReset: boolean) => void): void;
  /** Ends the watch of an answer that has failed. */
  cancel(): void;
}

/** What is known of one connection. */
interface IConnection {
  resetCount: number;
  /** Answers on it that are being watched. */
  watchCount: number;
  /** Bytes passed to the parser since the last head or part of a body. */
  framingBytes: number;
}

/**
 * Connector for the connections to one server or several, and the watch over their answers. undici does not tell on which
 * connection an answer arrives, but it passes on the head of an answer while it reads that connection.
 *
 * A connection on which nothing but framing arrives is closed: undici drops a reason phrase, the extension of a chunk and
 * interim heads as they come, without a limit. So all users of the connections have to call `recordProgress`.
 *
 * @example
 * const detector = new ResetDetector(1_000);
 * const pool = new Pool(origin, { connect: detector.connect });
 * detector.recordProgress();
 * const watch = detector.watch();
 */
export class ResetDetector {
  /** Connector for the connections of a client. */
  public readonly connect: buildConnector.connector;
  private readonly _probe: buildConnector.connector;
  /** The connection that is being read, or was last. */
  private _readConnection: IConnection = { resetCount: 0, watchCount: 0, framingBytes: 0 };

  /** @param connectTimeoutMs time limit of a connection attempt in milliseconds */
  constructor(connectTimeoutMs: number) {
    this._probe = buildConnector({ timeout: connectTimeoutMs });
    // The listeners run before undici's. Writing to a reset connection fails at once, so one that ends is probed.
    this.connect = createConnector(connectTimeoutMs, (socket, ordered) => {
      const connection: IConnection = { resetCount: 0, watchCount: 0, framingBytes: 0 };
      const countReset = (error: Error | null | undefined): void => {
        if (RESET_CODES.has(getErrorCode(error))) {
          connection.resetCount += 1;
        }
      };
      socket.prependListener('error', countReset);
      const read = ordered.read.bind(ordered);
      ordered.read = (size?: number): unknown => {
        if (connection.framingBytes > MAX_FRAMING_BYTES) {
          ordered.destroy(new Error(`${connection.framingBytes} bytes are no part of an answer`));
          return null;
        }
        const chunk: unknown = read(size);
        if (chunk instanceof Uint8Array) {
          this._readConnection = connection;
          connection.framingBytes += chunk.length;
        }
        return chunk;
      };
      socket.prependListener('end', () => {
        if (connection.watchCount > 0 && socket.writableLength > 0) {
          // The server has closed before it read the request to its end. A close with unread bytes is a reset, and undici
          // destroys the connection before a probe behind the rest of the request could fail.
          connection.resetCount += 1;
        } else if (connection.watchCount > 0) {
          socket.write('\r\n', countReset);
        }
      });
    });
  }

  /**
   * Calls back whether a server still accepts connections; true also if that is not known. If it refuses them, it has
   * ended, and its answers that ended with the close of their connection are probably incomplete.
   */
  public probe(origin: string, onResult: (isAccepting: boolean) => void): void {
    const { hostname, port, protocol } = new URL(origin);
    this._probe({ hostname, port, protocol }, (error, socket) => {
      socket?.destroy();
      onResult(getErrorCode(error) !== 'ECONNREFUSED');
    });
  }

  /** Records a final head or a part of a body; must be called when undici passes it on. */
  public recordProgress(): void {
    this._readConnection.framingBytes = 0;
  }

  /** Begins with the head of an answer; must be called when undici passes it on. */
  public watch(): IResetWatch {
    const connection = this._readConnection;
    connection.watchCount += 1;
    return {
      finish: (onResult) => {
        setTimeout(() => {
          connection.watchCount -= 1;
          onResult(connection.resetCount > 0);
        }, RESET_DETECTION_DELAY_MS);
      },
      cancel: () => {
        connection.watchCount -= 1;
      },
    };
  }
}

function getErrorCode(error: Error | null | undefined): string | undefined {
  return (error as NodeJS.ErrnoException | null | undefined)?.code;
}
