/**
 * HTTP requests whose answers are passed to a callback chunk by chunk. Reading them through an async
 * iterator would cost several promises for each token event.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { Readable } from 'node:stream';
import type { Dispatcher } from 'undici';
import { ByteBuffer } from './ByteBuffer.js';
import type { ISentRequest } from './CloseCheck.js';
import { isCloseDelimited, type ResetDetector } from './ResetDetector.js';

/** An answer whose head has arrived; the body may be incomplete. */
export interface IHttpAnswer {
  readonly statusCode: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: AnswerBody;
}

/** Origin, path, method, headers and body of a request. */
export type IRequestOptions = Dispatcher.DispatchOptions;

/**
 * Body of an answer, read by one callback. Chunks that arrive before the callback is attached are
 * buffered, and the connection is paused until then. Whoever gets the body must read or destroy it.
 */
export class AnswerBody {
  /** Chunks that arrived before the reader was attached, and the index of the first one that is not delivered. */
  private _bufferedChunks: Buffer[] = [];
  private _nextChunk = 0;
  private _onData: ((chunk: Buffer) => void) | undefined;
  private _onEnd: ((error: Error | undefined) => void) | undefined;
  private _end: { readonly error: Error | undefined } | undefined;
  private _isEndReported = false;
  private _isPaused = false;

  constructor(private readonly _controller: Dispatcher.DispatchController) {}

  /**
   * Passes each chunk to the callback and resolves at the end of the body. Rejects when the connection
   * breaks before the body is complete, when the request is aborted and when the callback throws.
   *
   * @example
   * await answer.body.read((chunk) => parts.push(chunk));
   */
  public async read(onData: (chunk: Buffer) => void): Promise<void> {
    return new Promise((resolve, reject) => {
      this._onData = onData;
      this._onEnd = (error) => {
        if (error === undefined) {
          resolve();
        } else {
          reject(error);
        }
      };
      this.resume();
    });
  }

  /** Stops reading from the connection after the current chunk. */
  public pause(): void {
    this._isPaused = true;
    this._controller.pause();
  }

  /** Delivers buffered chunks, unless the callback pauses again, and continues to read the connection. */
  public resume(): void {
    this._isPaused = false;
    while (this._hasBuffered && this._canDeliver()) {
      const chunk = this._bufferedChunks[this._nextChunk];
      this._nextChunk += 1;
      this._deliver(chunk);
    }
    if (!this._hasBuffered) {
      this._bufferedChunks = [];
      this._nextChunk = 0;
    }
    if (this._canDeliver() && this._end === undefined) {
      this._controller.resume();
    }
    this._reportEnd();
  }

  /** Discards the rest of the body and closes its connection; `read` rejects with the error. */
  public destroy(error: Error = new Error('the answer was dropped')): void {
    this.finish(error);
    this._controller.abort(error);
  }

  /** Called by the connection with each chunk: delivers it, or buffers it while there is no reader. */
  public push(chunk: Buffer): void {
    if (this._onData === undefined) {
      this._bufferedChunks.push(chunk);
      this._controller.pause();
    } else {
      this._deliver(chunk);
    }
  }

  /** Called by the connection at the end of the body, or with the error that ended it early. */
  public finish(error: Error | undefined): void {
    if (this._end === undefined || (this._end.error === undefined && !this._isEndReported)) {
      this._end = { error };
    }
    this._reportEnd();
  }

  /** Reports the end to the reader, that of a complete body once the reader has all chunks. */
  private _reportEnd(): void {
    const isDue = this._end?.error !== undefined || !this._hasBuffered;
    if (this._end !== undefined && this._onEnd !== undefined && isDue && !this._isEndReported) {
      this._isEndReported = true;
      this._onEnd(this._end.error);
    }
  }

  private get _hasBuffered(): boolean {
    return this._nextChunk < this._bufferedChunks.length;
  }

  private _canDeliver(): boolean {
    return !this._isPaused && this._end?.error === undefined;
  }

  private _deliver(chunk: Buffer | undefined): void {
    if (this._end?.error !== undefined || chunk === undefined) {
      return;
    }
    try {
      this._onData?.(chunk);
    } catch (error) {
      this.destroy(error instanceof Error ? error : new Error(String(error)));
    }
  }
}

/** False for a status that no version of HTTP has; bytes with one are no valid response. */
export function isValidStatus(status: number): boolean {
  return status >= 100 && status <= 599;
}

/** Thrown by `sendRequest` for a request that its observer held back when it had a connection. */
export class NotSentError extends Error {}

/** Observes a request whose connection may come long after it was handed to its dispatcher. */
export interface ISendObserver {
  /** Called when the request has a connection and nothing of it was sent; false if it must not be sent any more. */
  onSend(): boolean;
  /** Called when the answer is complete. */
  onComplete(status: number): void;
}

/** Largest answer that `readAnswer` buffers. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** Thrown by `readAnswer` when an answer exceeds `MAX_ANSWER_BYTES`. */
export class AnswerTooLargeError extends Error {}

/**
 * Reads the whole body. Rejects with `AnswerTooLargeError` when it exceeds 8 MiB, and in the cases in
 * which `AnswerBody.read` does.
 */
export async function readAnswer(body: AnswerBody): Promise<Buffer> {
  const bytes = new ByteBuffer();
  await body.read((chunk) => {
    if (bytes.size + chunk.length > MAX_ANSWER_BYTES) {
      throw new AnswerTooLargeError(`the answer exceeds ${MAX_ANSWER_BYTES} bytes`);
    }
    bytes.append(chunk);
  });
  return bytes.take();
}

/**
 * Receives undici's events for one request and forwards them to its answer. Aborting the signal ends the
 * request before and after the head of the answer.
 */
class ResponseHandler implements Dispatcher.DispatchHandler {
  private _controller: Dispatcher.DispatchController | undefined;
  private _body: AnswerBody | undefined;
  private _status = 0;
  /** Defined if only the close of its connection ends the answer. */
  /** Defined if only the close of its connection ends the answer. */
  private _wasReset: (() => boolean) | undefined;

  constructor(
    private readonly _options: IRequestOptions,
    private readonly _resets: ResetDetector,
    private readonly _signal: AbortSignal,
    private readonly _onHead: (answer: IHttpAnswer) => void,
    private readonly _onFailure: (error: Error) => void,
    private readonly _observer: ISendObserver | undefined,
  ) {
    _signal.addEventListener('abort', this._abort);
  }

  public onRequestStart(controller: Dispatcher.DispatchController): void {
    this._controller = controller;
    if (this._signal.aborted) {
      this._abort();
    } else if (this._observer?.onSend() === false) {
      const error = new NotSentError('the request may not be sent any more');
      this._finish(error);
      controller.abort(error);
    }
  }

  public onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (!isValidStatus(statusCode)) {
      const error = new Error(`status ${statusCode} is no valid response`);
      this._finish(error);
      controller.abort(error);
    } else if (statusCode >= 200) {
      this._resets.recordProgress();
      this._body = new AnswerBody(controller);
      this._status = statusCode;
      if (isCloseDelimited(this._options.method, statusCode, headers)) {
        this._wasReset = this._resets.watch(describeBody(this._options.body));
      }
      this._onHead({ statusCode, headers, body: this._body });
    }
  }

  public onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this._resets.recordProgress();
    // undici passes on an empty chunk when an answer is resumed.
    if (chunk.length > 0) {
      this._body?.push(chunk);
    }
  }

  public onResponseEnd(): void {
    if (this._wasReset === undefined) {
      this._finish(undefined);
    } else if (this._wasReset()) {
      this._finish(new Error('reset before the end of the answer'));
    } else {
      this._finishIfAccepting();
    }
  }

  public onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this._finish(error);
  }

  /** A server that has crashed closes its connections too. */
  private _finishIfAccepting(): void {
    this._resets.probe(String(this._options.origin), (isAccepting) => {
      const message = 'the server ended before the end of the answer';
      this._finish(isAccepting ? undefined : new Error(message));
    });
  }

  private readonly _abort = (): void => {
    const reason: unknown = this._signal.reason;
    const error = reason instanceof Error ? reason : new Error('the request was aborted');
    this._finish(error);
    this._controller?.abort(error);
  };

  private _finish(error: Error | undefined): void {
    this._signal.removeEventListener('abort', this._abort);
    if (this._body !== undefined) {
      if (error === undefined) {
        this._observer?.onComplete(this._status);
      }
      this._body.finish(error);
    } else if (error !== undefined) {
      this._onFailure(error);
    }
  }
}

/**
 * Sends a request and resolves once the head of the answer has arrived; 1xx answers are skipped. Rejects
 * with the connection's error or the reason of the signal.
 *
 * @param resets detector whose connector the dispatcher uses
 * @param observer decides whether the request is still sent when it has a connection; by default it is
 *
 * @example
 * const agent = new Agent({ connect: resets.connect });
 * const answer = await sendRequest(agent, resets, { origin, path: '/', method: 'GET' }, signal);
 * await answer.body.read((chunk) => parts.push(chunk));
 */
export async function sendRequest(
  dispatcher: Dispatcher,
  resets: ResetDetector,
  options: IRequestOptions,
  signal: AbortSignal,
  observer?: ISendObserver,
): Promise<IHttpAnswer> {
  signal.throwIfAborted();
  return new Promise((resolve, reject) => {
    const handler = new ResponseHandler(options, resets, signal, resolve, reject, observer);
    dispatcher.dispatch(options, handler);
  });
}

function describeBody(body: IRequestOptions['body']): ISentRequest {
  return body instanceof Readable
    ? { bodyBytes: Number.POSITIVE_INFINITY, isBodyWritten: () => body.readableEnded }
    : { bodyBytes: Buffer.isBuffer(body) ? body.length : 0, isBodyWritten: () => true };
}
