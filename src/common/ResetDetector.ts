/**
 * Tells a reset from the end of an answer that only the close of its connection ends. undici reports both as the end, and
 * Node reports only the end where the end of the bytes and a reset arrive together.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { buildConnector } from 'undici';
import { CloseCheck, type ISentRequest } from './CloseCheck.js';
import { createConnector } from './OrderedSocket.js';

/** Interval at which a connection is checked between the end of an answer and the decision that it is complete. */
const CHECK_INTERVAL_MS = 10;

/**
 * Bytes without a head or a part of a body after which a connection is closed. Heads, and what accompanies the length of a chunk,
 * are a small part of it in every answer.
 */
const MAX_FRAMING_BYTES = 128 * 1024;

const NO_BYTES = Buffer.alloc(0);

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

/** What is known of one connection. */
interface IConnection {
  wasReset: boolean;
  /** The request whose answer only the close of the connection ends. */
  request: ISentRequest | undefined;
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
 * const wasReset = detector.watch({ bodyBytes: 0, isBodyWritten: () => true });
 */
export class ResetDetector {
  /** Connector for the connections of a client. */
  public readonly connect: buildConnector.connector;
  private readonly _probe: buildConnector.connector;
  /** The connection that is being read, or was last. */
  private _readConnection: IConnection = { wasReset: false, request: undefined, framingBytes: 0 };

  /** @param connectTimeoutMs time limit of a connection attempt in milliseconds */
  constructor(connectTimeoutMs: number) {
    this._probe = buildConnector({ timeout: connectTimeoutMs });
    // The listener runs before undici's.
    this.connect = createConnector(connectTimeoutMs, (socket, ordered, reader) => {
      const connection: IConnection = { wasReset: false, request: undefined, framingBytes: 0 };
      ordered.prependListener('error', (error) => {
        connection.wasReset ||= RESET_CODES.has(getErrorCode(error));
      });
      reader.onEnd = (confirm) => {
        if (connection.request === undefined) {
          confirm();
        } else {
          checkClose(socket, ordered, connection.request, confirm);
        }
      };
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

  /**
   * Watches an answer that only the close of its connection ends; must be called when undici passes its head on. At the end of
   * the answer the result says whether the connection was reset.
   */
  public watch(request: ISentRequest): () => boolean {
    const connection = this._readConnection;
    connection.request = request;
    return () => connection.wasReset;
  }
}

/** Calls back once a connection that the server has closed was not reset; the socket reports a reset as its error. */
function checkClose(
  socket: Socket,
  ordered: Duplex,
  request: ISentRequest,
  onComplete: () => void,
): void {
  const check = new CloseCheck(request, performance.now());
  const decide = (): void => {
    const verdict = check.decide(ordered.writableLength + socket.writableLength, performance.now());
    switch (verdict) {
      case 'wait':
        setTimeout(probe, CHECK_INTERVAL_MS);
        break;
      case 'complete':
        onComplete();
        break;
      case 'stalled':
        ordered.destroy(new Error('the server closed the connection before it read the request'));
        break;
    }
  };
  const probe = (): void => {
    if (ordered.destroyed) {
      return;
    }
    if (socket.writableLength > 0) {
      decide();
      return;
    }
    // Nothing is sent, but the write fails if a reset has arrived, which nothing else reports after the end.
    socket.write(NO_BYTES, (error) => {
      if (!ordered.destroyed && getErrorCode(error) === undefined) {
        decide();
      }
    });
  };
  probe();
}

function getErrorCode(error: Error | null | undefined): string | undefined {
  return (error as NodeJS.ErrnoException | null | undefined)?.code;
}
