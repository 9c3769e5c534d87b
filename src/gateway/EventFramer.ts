/** Splits a stream of server-sent events so that only whole events are passed on. */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const EMPTY = Buffer.alloc(0);
const ID_FIELD = /(?:^|\n)id:[ ]?(\d+)/g;

/** Whole events of one chunk. */
export interface IFramed {
  readonly bytes: Buffer;
  /** Number of the last event among them; undefined if none has a number. */
  readonly lastId: number | undefined;
}

/**
 * Keeps the bytes after the last blank line until the event that they belong to is complete.
 *
 * @example
 * const framer = new EventFramer();
 * const { bytes, lastId } = framer.push(chunk);
 */
export class EventFramer {
  private _rest: Buffer = EMPTY;

  /** Bytes of an event that is not complete. */
  public get rest(): Buffer {
    return this._rest;
  }

  public push(chunk: Buffer): IFramed {
    const all = this._rest.length === 0 ? chunk : Buffer.concat([this._rest, chunk]);
    const end = findLastEventEnd(all);
    this._rest = end === all.length ? EMPTY : all.subarray(end);
    const bytes = all.subarray(0, end);
    return { bytes, lastId: findLastId(bytes) };
  }
}

/** Position after the last blank line; lines end with LF or CR LF. */
function findLastEventEnd(bytes: Buffer): number {
  for (let at = bytes.lastIndexOf(LINE_FEED); at > 0; at = bytes.lastIndexOf(LINE_FEED, at - 1)) {
    const before = bytes[at - 1];
    if (before === LINE_FEED || (before === CARRIAGE_RETURN && bytes[at - 2] === LINE_FEED)) {
      return at + 1;
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
