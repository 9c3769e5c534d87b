/** Splits a stream of server-sent events at event boundaries. */
import { ByteBuffer } from '../common/ByteBuffer.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
const PROTOCOL = Buffer.from('HTTP/1.');
const EMPTY = Buffer.alloc(0);

/** Bytes of the end of an event that may come before a chunk: all but the last one of LF CR LF. */
const EVENT_END_BYTES = 2;

/** An event with more bytes is none: a faulty target may send bytes without end. */
export const MAX_EVENT_BYTES = 256 * 1024;

const ID_FIELD = /(?:^|\n)id:[ ]?(\d+)/g;

/** Complete events, as raw bytes. */
export interface IFramedEvents {
  readonly bytes: Buffer;
  /** Ids of the first and the last event that have a numeric id; undefined if none has one. */
  readonly firstId: number | undefined;
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
  private readonly _incomplete = new ByteBuffer();

  /** Buffered bytes of an incomplete event; valid until the next call of `push`. */
  public get incomplete(): Buffer {
    return this._incomplete.bytes;
  }

  /** True if a stream that ended here would have been broken off. */
  public get isInsideEvent(): boolean {
    return hasEvent(this.incomplete, 0);
  }

  /** True if more bytes than any event has arrived without the end of one. */
  public get isOverlong(): boolean {
    return this._incomplete.size > MAX_EVENT_BYTES;
  }

  /** Returns the events that this chunk completes. */
  public push(chunk: Buffer): IFramedEvents {
    const end = this._findEnd(chunk);
    if (end === 0) {
      this._incomplete.append(chunk);
      return { bytes: EMPTY, firstId: undefined, lastId: undefined };
    }
    const head = chunk.subarray(0, end);
    const bytes = this._incomplete.size === 0 ? head : Buffer.concat([this.incomplete, head]);
    this._incomplete.clear();
    this._incomplete.append(chunk.subarray(end));
    const ids = listIds(bytes);
    return { bytes, firstId: ids[0], lastId: ids.at(-1) };
  }

  /** Offset in the chunk after the end of its last event, or 0 without one; the end may begin before the chunk. */
  private _findEnd(chunk: Buffer): number {
    const before = this.incomplete.subarray(-EVENT_END_BYTES);
    const joined = before.length === 0 ? chunk : Buffer.concat([before, chunk]);
    return Math.max(0, findLastEventEnd(joined) - before.length);
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

/** What the first event among complete events is; comments and blank lines before it do not count. */
export type FirstEvent =
  | { readonly kind: 'none' }
  | { readonly kind: 'numbered'; readonly id: number }
  | { readonly kind: 'unnumbered' };

export function findFirstEvent(events: Buffer): FirstEvent {
  const start = findEventStart(events, 0);
  if (start === undefined) {
    return { kind: 'none' };
  }
  const rest = events.toString('latin1', start);
  const end = /\n\r?\n/.exec(rest);
  const [, id] = /(?:^|\n)id:[ ]?(\d+)/.exec(rest.slice(0, end?.index)) ?? [];
  return id === undefined ? { kind: 'unnumbered' } : { kind: 'numbered', id: Number(id) };
}

/** True if a line is the first one of an answer. A faulty engine may write a second answer into the body of the first. */
export function hasStatusLine(events: Buffer): boolean {
  for (let at = events.indexOf(PROTOCOL); at >= 0; at = events.indexOf(PROTOCOL, at + 1)) {
    if (at === 0 || events[at - 1] === LINE_FEED) {
      return true;
    }
  }
  return false;
}

/** True if the last of these complete events has no numeric id, so that a stream cannot be resumed after it. */
export function hasUnnumberedEnd(events: Buffer): boolean {
  const text = events.toString('latin1');
  let idAt = -1;
  for (const match of text.matchAll(ID_FIELD)) {
    idAt = match.index;
  }
  if (idAt < 0) {
    return hasEvent(events, 0);
  }
  const end = /\n\r?\n/.exec(text.slice(idAt + 1));
  return end !== null && hasEvent(events, idAt + 1 + end.index + end[0].length);
}

function hasEvent(bytes: Buffer, offset: number): boolean {
  return findEventStart(bytes, offset) !== undefined;
}

/** Undefined if there are only blank lines and comments from an offset on, which belong to no event. */
function findEventStart(bytes: Buffer, offset: number): number | undefined {
  let lineStart = offset;
  while (lineStart < bytes.length) {
    const lineEnd = bytes.indexOf(LINE_FEED, lineStart);
    const isBlank =
      lineEnd === lineStart || (lineEnd === lineStart + 1 && bytes[lineStart] === CARRIAGE_RETURN);
    if (lineEnd < 0 || !(isBlank || bytes[lineStart] === COLON)) {
      return lineStart;
    }
    lineStart = lineEnd + 1;
  }
  return undefined;
}

function listIds(bytes: Buffer): readonly number[] {
  return Array.from(bytes.toString('latin1').matchAll(ID_FIELD), ([, id]) => Number(id));
}
