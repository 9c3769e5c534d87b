/** Splits a server-sent event stream at event boundaries and checks the order of its events. */
import { ByteBuffer } from '../common/ByteBuffer.js';

const EVENT_END = Buffer.from('\n\n');
const ID_FIELD = Buffer.from('id: ');
const DONE_EVENT = Buffer.from('data: [DONE]\n\n');
const USAGE_FIELD = Buffer.from('"usage":{');
const NEWLINE = 10;

/** A stream with a larger event is treated as broken. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** Token counts of a completion. */
export interface IUsage {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly cachedPromptTokens: number;
}

/** Thrown when the bytes are not a valid continuation of the stream, such as an event out of order. */
export class StreamOrderError extends Error {}

/**
 * Splits the bytes of a stream into complete events and checks that their ids are consecutive. Bytes of an
 * incomplete event are buffered until it is complete, so that a broken stream can be resumed after the last
 * event that the caller got.
 *
 * @example
 * const events = scanner.push(chunk);
 * if (events.length > 0) response.write(events);
 */
export class SseScanner {
  private readonly _incompleteEvent = new ByteBuffer();
  private _lastEventId = 0;
  private _eventCount = 0;
  private _isDone = false;
  private _usage: IUsage | undefined;

  /** Id of the last complete event; zero before the first one. */
  public get lastEventId(): number {
    return this._lastEventId;
  }

  /** True if each event so far had an id, so that the stream can be resumed without a gap. */
  public get hasIds(): boolean {
    return this._lastEventId === this._eventCount;
  }

  /** Number of complete events so far. */
  public get eventCount(): number {
    return this._eventCount;
  }

  /** True after the final `[DONE]` event. */
  public get isDone(): boolean {
    return this._isDone;
  }

  /** Token counts; undefined until the event that holds them has arrived. */
  public get usage(): IUsage | undefined {
    return this._usage;
  }

  /** Adds bytes and returns those of the events that are now complete; throws `StreamOrderError`. */
  public push(chunk: Buffer): Buffer {
    const end = this._findEnd(chunk);
    if (end === 0) {
      this._incompleteEvent.append(chunk);
      if (this._incompleteEvent.size > MAX_EVENT_BYTES) {
        throw new StreamOrderError('an event exceeds the maximum size');
      }
      return Buffer.alloc(0);
    }
    const head = chunk.subarray(0, end);
    const complete =
      this._incompleteEvent.size === 0 ? head : Buffer.concat([this._incompleteEvent.bytes, head]);
    this._incompleteEvent.clear();
    this._incompleteEvent.append(chunk.subarray(end));
    this._checkEvents(complete);
    return complete;
  }

  /** Drops the bytes of an incomplete event; call it before the stream is resumed. */
  public dropIncompleteEvent(): void {
    this._incompleteEvent.clear();
  }

  /** Offset in the chunk after the end of its last event, or 0 without one; the end may begin before the chunk. */
  private _findEnd(chunk: Buffer): number {
    const lastEnd = chunk.lastIndexOf(EVENT_END);
    if (lastEnd >= 0) {
      return lastEnd + EVENT_END.length;
    }
    const isEndComplete = this._incompleteEvent.bytes.at(-1) === NEWLINE && chunk[0] === NEWLINE;
    return isEndComplete ? 1 : 0;
  }

  private _checkEvents(events: Buffer): void {
    if (this._isDone) {
      throw new StreamOrderError('the stream has events after its final event');
    }
    let start = 0;
    while (start < events.length) {
      const end = events.indexOf(EVENT_END, start) + EVENT_END.length;
      this._checkEvent(events, start, end);
      start = end;
    }
    if (events.subarray(-DONE_EVENT.length).equals(DONE_EVENT)) {
      this._isDone = true;
    }
    const usageAt = events.lastIndexOf(USAGE_FIELD);
    if (usageAt >= 0) {
      this._usage = parseUsage(events, usageAt) ?? this._usage;
    }
  }

  private _checkEvent(events: Buffer, start: number, end: number): void {
    this._eventCount += 1;
    if (events.compare(ID_FIELD, 0, ID_FIELD.length, start, start + ID_FIELD.length) !== 0) {
      return;
    }
    const id = parseDecimal(events, start + ID_FIELD.length, end);
    if (id !== this._lastEventId + 1) {
      throw new StreamOrderError(`event ${id} follows event ${this._lastEventId}`);
    }
    this._lastEventId = id;
  }
}

/** Parses a decimal number up to the end of the line, without creating a string for each event. */
function parseDecimal(bytes: Buffer, start: number, end: number): number {
  let value = 0;
  for (let index = start; index < end && bytes[index] !== NEWLINE; index++) {
    value = value * 10 + ((bytes[index] ?? 0) - 48);
  }
  return value;
}

function parseUsage(events: Buffer, usageAt: number): IUsage | undefined {
  const start = events.lastIndexOf('data: ', usageAt) + 'data: '.length;
  const end = events.indexOf('\n', usageAt);
  try {
    return readUsage(JSON.parse(events.toString('utf8', start, end)));
  } catch {
    return undefined;
  }
}

interface IUsageFields {
  readonly usage?: {
    readonly prompt_tokens?: unknown;
    readonly completion_tokens?: unknown;
    readonly prompt_tokens_details?: { readonly cached_tokens?: unknown };
  };
}

/** Reads the token counts of a completion or of a stream event; undefined if it has none. */
export function readUsage(answer: unknown): IUsage | undefined {
  const usage = (answer as IUsageFields | null)?.usage;
  if (typeof usage?.prompt_tokens !== 'number' || typeof usage.completion_tokens !== 'number') {
    return undefined;
  }
  const cached = usage.prompt_tokens_details?.cached_tokens;
  return {
    promptTokens: usage.prompt_tokens,
    outputTokens: usage.completion_tokens,
    cachedPromptTokens: typeof cached === 'number' ? cached : 0,
  };
}
