/** Splits a server-sent event stream at event boundaries and checks the order of its events. */

const EVENT_END = Buffer.from('\n\n');
const ID_FIELD = Buffer.from('id: ');
const DONE_EVENT = Buffer.from('data: [DONE]\n\n');
const USAGE_FIELD = Buffer.from('"usage":{');
const NEWLINE = 10;

/** An event larger than this is taken for a broken stream. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** Token counts of the final event. */
export interface IUsage {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly cachedPromptTokens: number;
}

/** Raised when the events are not the next ones of this stream. */
export class StreamOrderError extends Error {}

/**
 * Passes whole events on. Bytes of an incomplete event are kept until it is complete, so that a broken
 * stream can be resumed after the last event that the caller got.
 *
 * @example
 * const events = scanner.push(chunk);
 * if (events.length > 0) response.write(events);
 */
export class SseScanner {
  private _rest: Buffer = Buffer.alloc(0);
  private _lastId = 0;
  private _events = 0;
  private _isDone = false;
  private _usage: IUsage | undefined;

  /** Id of the last complete event; zero before the first one. */
  public get lastId(): number {
    return this._lastId;
  }

  /** True when each event so far had an id, so that the stream can be resumed without a gap. */
  public get hasIds(): boolean {
    return this._lastId === this._events;
  }

  /** Complete events seen. */
  public get events(): number {
    return this._events;
  }

  /** True after the final `[DONE]` event. */
  public get isDone(): boolean {
    return this._isDone;
  }

  public get usage(): IUsage | undefined {
    return this._usage;
  }

  /** Adds bytes and returns the events that are now complete. */
  public push(chunk: Buffer): Buffer {
    const bytes = this._rest.length === 0 ? chunk : Buffer.concat([this._rest, chunk]);
    const lastEnd = bytes.lastIndexOf(EVENT_END);
    if (lastEnd < 0) {
      if (bytes.length > MAX_EVENT_BYTES) {
        throw new StreamOrderError('an event is too large');
      }
      this._rest = bytes;
      return Buffer.alloc(0);
    }
    const end = lastEnd + EVENT_END.length;
    const complete = bytes.subarray(0, end);
    // The rest is copied because it would keep the whole chunk in memory.
    this._rest = Buffer.from(bytes.subarray(end));
    this._checkEvents(complete);
    return complete;
  }

  /** Drops the bytes of an incomplete event before the stream is resumed. */
  public dropRest(): void {
    this._rest = Buffer.alloc(0);
  }

  private _checkEvents(events: Buffer): void {
    if (this._isDone) {
      throw new StreamOrderError('events after the end of the stream');
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
    this._events += 1;
    if (events.compare(ID_FIELD, 0, ID_FIELD.length, start, start + ID_FIELD.length) !== 0) {
      return;
    }
    const id = parseNumber(events, start + ID_FIELD.length, end);
    if (id !== this._lastId + 1) {
      throw new StreamOrderError(`event ${id} follows event ${this._lastId}`);
    }
    this._lastId = id;
  }
}

/** Reads decimal digits without making a string for each event. */
function parseNumber(bytes: Buffer, start: number, end: number): number {
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

/** Reads the token counts of a completion or of a final stream event. */
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
