/**
 * Keeps the order of what arrives on a connection. Node reports a reset at once, and an end as soon as its buffer is
 * empty, also while the reader has paused; undici then finishes a parser that is paused, which it asserts is never done.
 */
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import { buildConnector } from 'undici';

/** What is read at once; an ordinary event or head is smaller. */
const READ_BYTES = 16 * 1024;

/**
 * All connections read into this buffer, and what they keep is copied. Otherwise Node allocates 64 KB for each read, which
 * stay until they are collected.
 */
const readBuffer = Buffer.allocUnsafeSlow(READ_BYTES);

/** Receives what a socket reads into the common buffer, and decides about its end. */
export interface ISocketReader {
  onRead?: (chunk: Buffer) => void;
  /**
   * Called when all bytes before an end have been read. The end is reported once `confirm` has been called, unless an error
   * follows. By default it is reported at once.
   */
  onEnd?: (confirm: () => void) => void;
}

type SocketEnd = { readonly kind: 'ended' } | { readonly kind: 'failed'; readonly error: Error };

/**
 * Wraps a connection so that its end or error reaches the reader after all bytes before it, when the reader asks for
 * more. It is meant for a reader that calls `read` on 'readable', as undici does.
 *
 * @example
 * const ordered = createOrderedSocket(connect(port, host));
 */
export function createOrderedSocket(socket: Socket, reader: ISocketReader = {}): Duplex {
  let end: SocketEnd | undefined;
  let isEndReported = false;
  let isEndOffered = false;
  let isEndConfirmed = false;
  let isConfirming = false;

  // A reader that has not paused reads now and finds nothing. One that reads at another time may pause right after it.
  const offerEnd = (): void => {
    if (ordered.destroyed) {
      return;
    }
    isEndOffered = true;
    ordered.emit('readable');
    isEndOffered = false;
  };
  const finish = (how: SocketEnd): void => {
    const isFailureAfterEnd = end?.kind === 'ended' && how.kind === 'failed' && !isEndReported;
    if ((end === undefined || isFailureAfterEnd) && !ordered.destroyed) {
      end = how;
      offerEnd();
    }
  };
  const fail = (error: Error): void => {
    finish({ kind: 'failed', error });
  };
  const write = (chunk: Uint8Array, onWritten: () => void): void => {
    socket.write(chunk, (error) => {
      if (error === null || error === undefined) {
        onWritten();
      } else {
        fail(error);
      }
    });
  };
  const ordered = new Duplex({
    readableHighWaterMark: READ_BYTES,
    read: () => {
      socket.resume();
    },
    write: (chunk: Uint8Array, _encoding, onWritten) => {
      write(chunk, onWritten);
    },
    writev: (chunks, onWritten) => {
      write(Buffer.concat(chunks.map(({ chunk }) => chunk as Uint8Array)), onWritten);
    },
    final: (onEnded) => {
      socket.end(onEnded);
    },
    destroy: (error, onDestroyed) => {
      socket.destroy();
      onDestroyed(error);
    },
  });
  /** False until the end is confirmed, which is then offered again. */
  const confirmEnd = (): boolean => {
    if (!isConfirming && reader.onEnd !== undefined) {
      isConfirming = true;
      reader.onEnd(() => {
        isEndConfirmed = true;
        process.nextTick(offerEnd);
      });
    }
    return isEndConfirmed || reader.onEnd === undefined;
  };
  const readBytes = ordered.read.bind(ordered);
  ordered.read = (size?: number): unknown => {
    const chunk: unknown = readBytes(size);
    if (chunk !== null || size !== undefined || end === undefined || isEndReported) {
      return chunk;
    }
    if (!isEndOffered) {
      process.nextTick(offerEnd);
      return null;
    }
    if (end.kind === 'ended' && !confirmEnd()) {
      return null;
    }
    isEndReported = true;
    if (end.kind === 'failed') {
      ordered.destroy(end.error);
    } else {
      ordered.push(null);
    }
    return null;
  };

  const handleRead = (chunk: Buffer): void => {
    if (!ordered.push(chunk)) {
      socket.pause();
    }
  };
  reader.onRead = handleRead;
  // Not emitted by a socket that reads into the common buffer.
  socket.on('data', handleRead);
  socket.on('end', () => {
    finish({ kind: 'ended' });
  });
  socket.on('error', fail);
  socket.on('close', () => {
    fail(new Error('the connection was closed'));
  });
  // undici calls these, so that idle connections do not keep a process running.
  return Object.assign(ordered, {
    ref: () => socket.ref(),
    unref: () => socket.unref(),
  });
}

/**
 * Creates a connector for undici whose connections keep the order of what arrives. `configure` gets each new connection
 * and its wrapper before undici does.
 *
 * @param timeoutMs time limit of a connection attempt in milliseconds
 *
 * @example
 * const agent = new Agent({ connect: createConnector(1_000) });
 */
export function createConnector(
  timeoutMs: number,
  configure: (socket: Socket, ordered: Duplex, reader: ISocketReader) => void = () => undefined,
): buildConnector.connector {
  return (options, callback) => {
    const reader: ISocketReader = {};
    const onread = {
      buffer: readBuffer,
      callback: (length: number): boolean => {
        reader.onRead?.(Buffer.from(readBuffer.subarray(0, length)));
        return true;
      },
    };
    // A request is still sent after the server has ended its side.
    const connect = buildConnector({ timeout: timeoutMs, onread, allowHalfOpen: true });
    connect(options, (...result) => {
      const [error, socket] = result;
      if (error !== null) {
        callback(error, null);
        return;
      }
      const ordered = createOrderedSocket(socket, reader);
      configure(socket, ordered, reader);
      // undici uses no more of a socket than a `Duplex` has.
      callback(null, ordered as unknown as Socket);
    });
  };
}
