/**
 * HTTP requests whose answers go to a callback chunk by chunk. A stream object with an async iterator
 * costs several promises for each token event.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';

/** Answer whose head has arrived. */
export interface IHttpAnswer {
  readonly statusCode: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: AnswerBody;
}

/** Options of a request. */
export type IRequestOptions = Dispatcher.DispatchOptions;

/** Body of an answer. It has one reader; until that is attached the connection is paused. */
export class AnswerBody {
  /** Chunks that arrived while the body was paused. */
  private readonly _early: Buffer[] = [];
  private _onData: ((chunk: Buffer) => void) | undefined;
  private _onEnd: ((error: Error | undefined) => void) | undefined;
  private _end: { readonly error: Error | undefined } | undefined;
  private _isPaused = false;

  constructor(private readonly _controller: Dispatcher.DispatchController) {}

  /**
   * Passes each chunk to the callback and resolves at the end of the body. Rejects when the answer
   * breaks off, when the request is aborted and when the callback throws.
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
      if (this._end === undefined) {
        this.resume();
        return;
      }
      if (this._end.error === undefined) {
        this._deliverEarly();
      }
      this._onEnd(this._end.error);
    });
  }

  /** Stops reading from the connection after the current chunk. */
  public pause(): void {
    this._isPaused = true;
    this._controller.pause();
  }

  /** Goes on after `pause`. */
  public resume(): void {
    this._isPaused = false;
    while (this._early.length > 0 && this._mayDeliver()) {
      this._deliver(this._early.shift());
    }
    if (this._mayDeliver()) {
      this._controller.resume();
    }
  }

  /** Drops the rest of the body and its connection; a reader is rejected. */
  public destroy(error: Error = new Error('the answer was dropped')): void {
    this.finish(error);
    this._controller.abort(error);
  }

  /** Takes a chunk from the connection. */
  public push(chunk: Buffer): void {
    if (this._onData === undefined) {
      this._early.push(chunk);
      this._controller.pause();
    } else {
      this._deliver(chunk);
    }
  }

  /** Takes the end of the body, or the error that broke it off. */
  public finish(error: Error | undefined): void {
    if (this._end === undefined) {
      this._end = { error };
      this._onEnd?.(error);
    }
  }

  /** Chunks of an answer that was complete before it had a reader. */
  private _deliverEarly(): void {
    for (const chunk of this._early.splice(0)) {
      this._onData?.(chunk);
    }
  }

  private _mayDeliver(): boolean {
    return !this._isPaused && this._end === undefined;
  }

  private _deliver(chunk: Buffer | undefined): void {
    if (this._end !== undefined || chunk === undefined) {
      return;
    }
    try {
      this._onData?.(chunk);
    } catch (error) {
      this.destroy(error instanceof Error ? error : new Error(String(error)));
    }
  }
}

/** Largest buffered answer. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** Raised when an answer exceeds the limit. */
export class AnswerTooLargeError extends Error {}

/** Reads the body to its end; throws when it breaks off. */
export async function readAnswer(body: AnswerBody): Promise<Buffer> {
  const parts: Buffer[] = [];
  let size = 0;
  await body.read((part) => {
    size += part.length;
    if (size > MAX_ANSWER_BYTES) {
      throw new AnswerTooLargeError(`the answer exceeds ${MAX_ANSWER_BYTES} bytes`);
    }
    parts.push(part);
  });
  return Buffer.concat(parts);
}

/** One request on its way. */
class Exchange implements Dispatcher.DispatchHandler {
  private _controller: Dispatcher.DispatchController | undefined;
  private _body: AnswerBody | undefined;

  constructor(
    private readonly _signal: AbortSignal,
    private readonly _onHead: (answer: IHttpAnswer) => void,
    private readonly _onFailure: (error: Error) => void,
  ) {
    _signal.addEventListener('abort', this._abort);
  }

  public onRequestStart(controller: Dispatcher.DispatchController): void {
    this._controller = controller;
    if (this._signal.aborted) {
      this._abort();
    }
  }

  public onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (statusCode >= 200) {
      this._body = new AnswerBody(controller);
      this._onHead({ statusCode, headers, body: this._body });
    }
  }

  public onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this._body?.push(chunk);
  }

  public onResponseEnd(): void {
    this._finish(undefined);
  }

  public onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this._finish(error);
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
      this._body.finish(error);
    } else if (error !== undefined) {
      this._onFailure(error);
    }
  }
}

/**
 * Sends a request and resolves once the head of the answer is there. Rejects with the connection's
 * error or the reason of the signal.
 *
 * @example
 * const answer = await sendRequest(agent, { origin, path: '/', method: 'GET' }, signal);
 * await answer.body.read((chunk) => parts.push(chunk));
 */
export async function sendRequest(
  dispatcher: Dispatcher,
  options: IRequestOptions,
  signal: AbortSignal,
): Promise<IHttpAnswer> {
  signal.throwIfAborted();
  return new Promise((resolve, reject) => {
    dispatcher.dispatch(options, new Exchange(signal, resolve, reject));
  });
}
