/** One request at one target, and the relay of its answer. */
import type { IClock } from '../common/Clock.js';
import type { Metrics } from '../common/Metrics.js';
import { isBroken } from '../common/TestSwitches.js';
import type { IRoute } from '../fleet/Types.js';
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import { EventFramer } from './EventFramer.js';
import { isSilent } from './Silence.js';
import { noteGood, noteLoad, noteUnreachable, type ITargetState } from './TargetStates.js';
import type {
  IAnswerSink,
  ICall,
  IDispatch,
  ITargetClient,
  ITargetExchange,
  ITargetHead,
  IToldLoad,
} from './Types.js';

/** How one attempt ended. */
export type AttemptOutcome =
  /** The answer was passed on in full. */
  | { readonly kind: 'answered' }
  /** The target proved that it did not run the request. */
  | {
      readonly kind: 'not_run';
      readonly reason: string;
      /** True if the target was not even reached. */
      readonly isUnreachable: boolean;
    }
  /** The target may have run the request. */
  | { readonly kind: 'failed'; readonly reason: string }
  /** The time limit was reached, or the client left. */
  | { readonly kind: 'ended'; readonly reason: string };

export interface IAttemptOptions {
  readonly target: TargetRecord;
  readonly state: ITargetState;
  readonly route: IRoute;
  /** Time at which the client's or the route's limit is reached. */
  readonly endsAt: number;
  readonly lastEventId: number | undefined;
  /** Prompt tokens that the target is expected to read. */
  readonly pendingTokens: number;
  /** Expected time to the first byte. */
  readonly expectedMs: number;
  /** True: a silent target may be left for another one. */
  readonly mayMove: boolean;
  /** True: the stream is expected to last. */
  readonly isLong: boolean;
  /** True: an error status of the target may be dropped in favour of another target's answer. */
  readonly mayReplaceError: boolean;
  /** Called with the time of the first byte of the answer's body. */
  readonly onFirstByte: (at: number) => void;
  readonly dispatch: Omit<IDispatch, 'deadlineMs' | 'resumeAfter'>;
}

export interface IAttemptContext<T extends ICall> {
  readonly client: ITargetClient<T>;
  readonly clock: IClock;
  readonly metrics: Metrics;
}

/** Between two looks whether the target has gone silent. */
const SILENCE_CHECK_MS = 250;

const FIRST_ERROR_STATUS = 500;

/** Longer answers to safe requests are passed on as they come. */
const MAX_HELD_BYTES = 64 * 1024;

export class Attempt<T extends ICall> {
  /** Number of the last event that was passed on, over all attempts. */
  public lastEventId: number | undefined;
  public status: number | undefined;
  public firstByteAt: number | undefined;

  /** Longest pause between two parts of the body in milliseconds. */
  public longestGapMs = 0;

  private _lastByteAt = 0;
  private _sentAt = 0;
  private readonly _held: Buffer[] = [];
  private _heldBytes = 0;
  private readonly _framer: EventFramer | undefined;
  private readonly _finished: Promise<AttemptOutcome>;
  private _finish: (outcome: AttemptOutcome) => void = () => undefined;
  private _exchange: ITargetExchange | undefined;
  private _head: ITargetHead | undefined;
  private _isOver = false;
  /** True: the answer is read and dropped, because it says "not run" or is replaced. */
  private _isDropped = false;
  private _isPaused = false;

  constructor(
    private readonly _context: IAttemptContext<T>,
    private readonly _call: T,
    private readonly _sink: IAnswerSink,
    private readonly _options: IAttemptOptions,
  ) {
    this.lastEventId = _options.lastEventId;
    this._framer = _options.route.kind === 'streaming' ? new EventFramer() : undefined;
    this._finished = new Promise((resolve) => {
      this._finish = resolve;
    });
  }

  /** Load that the target told with its answer. */
  public get load(): IToldLoad | undefined {
    return this._head?.load;
  }

  /** True once a part of the answer's body has come. */
  public get hasFirstByte(): boolean {
    return this.firstByteAt !== undefined;
  }

  public async run(): Promise<AttemptOutcome> {
    const { clock, client } = this._context;
    const { state, pendingTokens, isLong, endsAt, target, dispatch } = this._options;
    const { signal } = this._call;
    const leftMs = endsAt - clock.now();
    state.open += 1;
    state.pendingTokens += pendingTokens;
    state.longStreams += isLong ? 1 : 0;
    const timer = setTimeout(
      () => {
        this._end({ kind: 'ended', reason: 'time limit' });
      },
      Math.max(0, leftMs),
    );
    this._sentAt = clock.now();
    const watch = setInterval(() => {
      this._checkSilence();
    }, SILENCE_CHECK_MS);
    const leave = (): void => {
      this._end({ kind: 'ended', reason: 'client left' });
    };
    signal.addEventListener('abort', leave, { once: true });
    try {
      this._exchange = client.send(
        target,
        this._call,
        { ...dispatch, deadlineMs: Math.max(1, Math.floor(leftMs)), resumeAfter: this.lastEventId },
        {
          onHead: (head) => {
            this._handleHead(head);
          },
          onData: (chunk) => {
            this._handleData(chunk);
          },
          onEnd: () => {
            this._handleEnd();
          },
          onError: (reason, wasSent) => {
            this._handleError(reason, wasSent);
          },
        },
      );
      if (signal.aborted) {
        leave();
      }
      return await this._finished;
    } finally {
      clearTimeout(timer);
      clearInterval(watch);
      signal.removeEventListener('abort', leave);
      state.open -= 1;
      state.longStreams -= isLong ? 1 : 0;
      if (!this.hasFirstByte) {
        state.pendingTokens -= pendingTokens;
      }
    }
  }

  /** Ends the attempt and, if the target is still at it, the exchange. */
  private _end(outcome: AttemptOutcome): void {
    if (this._isOver) {
      return;
    }
    this._isOver = true;
    this._exchange?.abort();
    this._finish(outcome);
  }

  /** Leaves a target that has gone silent; others are warned of it in any case. */
  private _checkSilence(): void {
    const { state, expectedMs, mayMove } = this._options;
    const now = this._context.clock.now();
    const lastByteAt = this._lastByteAt > 0 ? this._lastByteAt : undefined;
    const view = { sentAt: this._sentAt, expectedMs, lastByteAt, aliveAt: state.aliveAt };
    if (this._isPaused || !isSilent(view, now)) {
      return;
    }
    if (mayMove) {
      this._end({ kind: 'failed', reason: 'the target is silent' });
    }
    noteUnreachable(state, now);
  }

  private _handleHead(head: ITargetHead): void {
    this._options.state.aliveAt = this._context.clock.now();
    if (this._isOver) {
      return;
    }
    if (!head.isOwn) {
      this._end({ kind: 'failed', reason: 'answer to another request' });
      return;
    }
    const { state, mayReplaceError } = this._options;
    const now = this._context.clock.now();
    this._head = head;
    this.status = head.status;
    if (head.load !== undefined) {
      noteLoad(state, head.load, now);
    }
    this._isDropped =
      head.isNotRun ||
      head.isOtherTarget ||
      (mayReplaceError && head.status >= FIRST_ERROR_STATUS && !this._sink.isStarted);
    // An answer that goes on where another target stopped must be one of the same kind.
    if (this._sink.isStarted && !this._isDropped && head.status !== 200) {
      this._end({ kind: 'failed', reason: `status ${head.status} to a resumed stream` });
    }
  }

  private _handleData(chunk: Buffer): void {
    this._options.state.aliveAt = this._context.clock.now();
    if (this._isOver || this._isDropped || chunk.length === 0) {
      return;
    }
    if (this._framer === undefined || !this._isSuccess()) {
      this._noteFirstByte();
      this._holdOrWrite(chunk);
      return;
    }
    const { bytes, lastId } = this._framer.push(chunk);
    if (bytes.length > 0) {
      this._noteFirstByte();
      this._startSink();
      this._write(bytes);
      TEST_ONLY: if (isBroken('event-number')) return;
      this.lastEventId = lastId ?? this.lastEventId;
    }
  }

  private _handleEnd(): void {
    if (this._isOver) {
      return;
    }
    this._isOver = true;
    if (this._isDropped) {
      this._finish(this._describeDropped());
      return;
    }
    this._startSink();
    for (const chunk of this._held) {
      this._sink.write(chunk);
    }
    const rest = this._framer?.rest;
    if (rest !== undefined && rest.length > 0) {
      this._sink.write(rest);
    }
    this._sink.end();
    if (this._isSuccess()) {
      noteGood(this._options.state);
    }
    this._finish({ kind: 'answered' });
  }

  private _handleError(reason: string, wasSent: boolean): void {
    if (this._isOver) {
      return;
    }
    this._isOver = true;
    if (this._isDropped) {
      this._finish(this._describeDropped());
    } else if (wasSent) {
      this._finish({ kind: 'failed', reason });
    } else {
      this._finish({ kind: 'not_run', reason, isUnreachable: true });
    }
  }

  private _describeDropped(): AttemptOutcome {
    const head = this._head;
    if (head?.isOtherTarget === true) {
      return { kind: 'not_run', reason: 'other target', isUnreachable: true };
    }
    return head?.isNotRun === true
      ? {
          kind: 'not_run',
          reason: `status ${head.status}, not run`,
          isUnreachable: false,
        }
      : { kind: 'failed', reason: `status ${head?.status ?? 0}` };
  }

  private _isSuccess(): boolean {
    return this._head !== undefined && this._head.status < 300;
  }

  private _noteFirstByte(): void {
    if (this.hasFirstByte) {
      return;
    }
    const { state, pendingTokens, route } = this._options;
    this.firstByteAt = this._context.clock.now();
    this._options.onFirstByte(this.firstByteAt);
    state.pendingTokens -= pendingTokens;
    this._context.metrics.observe(
      'gateway_first_byte_ms',
      this.firstByteAt - this._call.arrivedAt,
      {
        route: route.name,
      },
    );
  }

  private _startSink(): void {
    if (!this._sink.isStarted && this._head !== undefined) {
      this._sink.start(this._head.status, this._head.headers);
    }
  }

  /** Holds the answer to a safe request back until it is whole, so that another target may replace it. */
  private _holdOrWrite(chunk: Buffer): void {
    const { route } = this._options;
    this._heldBytes += chunk.length;
    if (route.kind === 'safe' && !this._sink.isStarted && this._heldBytes <= MAX_HELD_BYTES) {
      this._held.push(chunk);
      return;
    }
    this._startSink();
    for (const held of this._held.splice(0)) {
      this._write(held);
    }
    this._write(chunk);
  }

  /** Passes bytes on; a slow client pauses the target. */
  private _write(bytes: Uint8Array): void {
    const now = this._context.clock.now();
    if (this._lastByteAt > 0) {
      this.longestGapMs = Math.max(this.longestGapMs, now - this._lastByteAt);
    }
    this._lastByteAt = now;
    if (this._sink.write(bytes) || this._isPaused) {
      return;
    }
    this._isPaused = true;
    this._exchange?.pause();
    void this._sink.waitWritable().then(() => {
      this._isPaused = false;
      this._exchange?.resume();
    });
  }
}
