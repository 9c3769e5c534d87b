/** Splits a stream of server-sent events at event boundaries. */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const EMPTY = Buffer.alloc(0);

/** An event with more bytes is none: a faulty target may send bytes without end. */
export const MAX_EVENT_BYTES = 256 * 1024;

/** Blank lines and comments, which belong to no event. */
const NO_EVENT = /^(?:(?::[^\n]*)?\r?\n)*$/;

const ID_FIELD = /(?:^|\n)id:[ ]?(\d+)/g;

/** Complete events, as raw bytes. */
export interface IFramedEvents {
  readonly bytes: Buffer;
  /** Id of the last event that has a numeric id; undefined if none has one. */
  readonly lastId: number | undefined;
}

/**
 * Buffers the bytes of an incomplete event until the blank line that ends it arrives, so that only complete
 * events are relayed and a broken stream can be resumed after the last of them.
 *
 * @example
 * const framer = new EventFramer();
 * const { bytes, lastId } = framer.push(chunk);
 */
export class EventFramer {
  private _incomplete: Buffer = EMPTY;

  /** Buffered bytes of an incomplete event. */
  public get incomplete(): Buffer {
    return this._incomplete;
  }

  /** True if a stream that ended here would have been broken off. */
  public get isInsideEvent(): boolean {
    return !NO_EVENT.test(this._incomplete.toString('latin1'));
  }

  /** True if more bytes than any event has arrived without the end of one. */
  public get isOverlong(): boolean {
    return this._incomplete.length > MAX_EVENT_BYTES;
  }

  /** Returns the events that this chunk completes. */
  public push(chunk: Buffer): IFramedEvents {
    const all = this._incomplete.length === 0 ? chunk : Buffer.concat([this._incomplete, chunk]);
    const end = findLastEventEnd(all);
    this._incomplete = end === all.length ? EMPTY : all.subarray(end);
    const bytes = all.subarray(0, end);
    return { bytes, lastId: findLastId(bytes) };
  }
}

/** Offset after the last blank line, or 0 without one. Lines end with LF or CR LF. */
function findLastEventEnd(bytes: Buffer): number {
  for (
    let lineEnd = bytes.lastIndexOf(LINE_FEED);
    lineEnd > 0;
    lineEnd = bytes.lastIndexOf(LINE_FEED, lineEnd - 1)
  ) {
    const before = bytes[lineEnd - 1];
    if (before === LINE_FEED || (before === CARRIAGE_RETURN && bytes[lineEnd - 2] === LINE_FEED)) {
      return lineEnd + 1;
    }
  }
  return 0;
}

function findLastId(bytes: Buffer): number | undefined {
  let last: number | undefined;
  for (const match of bytes.toString('latin1').matchAll(ID_FIELD)) {
    last = Number(match[1]);
  }
  return last;
}
