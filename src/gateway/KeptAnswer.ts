/** Keeps the error of a target while another target is tried, for the case that this one brings no response at all. */
import type { IAnswerSink, ITargetHead } from './Types.js';

/** To a client these state that its request was not run and will not be, so none is relayed without a target's proof. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** A complete error as its target sent it. */
export interface IKeptAnswer {
  readonly head: ITargetHead;
  readonly body: Uint8Array;
}

/**
 * Bound of a body that is not relayed at once. Its end lets the connection be used again, but a faulty target may send it
 * without end, and the request can go on elsewhere.
 */
const MAX_BODY_BYTES = 64 * 1024;

/**
 * Collects the body of a response that is not relayed at once.
 *
 * @example
 * if (!body.add(chunk)) { exchange.abort(); }
 */
export class DeferredBody {
  private readonly _chunks: Uint8Array[] = [];
  private _bytes = 0;

  public get size(): number {
    return this._bytes;
  }

  /** False if the body is too long to be read to its end. */
  public add(chunk: Uint8Array): boolean {
    this._chunks.push(chunk);
    this._bytes += chunk.length;
    return this._bytes <= MAX_BODY_BYTES;
  }

  /** The response as it can be relayed later. */
  public createAnswer(head: ITargetHead): IKeptAnswer {
    return { head, body: Buffer.concat(this._chunks) };
  }
}

/** False for a response that would promise the client more than is known, or that comes from another target. */
export function mayRelay({ status, isNotRun, isOtherTarget }: ITargetHead): boolean {
  return !isNotRun && !isOtherTarget && !NOT_RUN_STATUSES.has(status);
}

/** Relays a kept error unless the client has received a part of another response; false if there is none. */
export function relayKept(sink: IAnswerSink, kept: IKeptAnswer | undefined): boolean {
  if (kept === undefined || sink.isStarted) {
    return false;
  }
  sink.start(kept.head.status, kept.head.headers);
  if (kept.body.length > 0) {
    sink.write(kept.body);
  }
  sink.end();
  return true;
}
