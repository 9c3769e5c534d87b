/** Sends a request to one target and relays the response to the client. */
import type { BudgetShare, ByteBudget } from '../common/ByteBudget.js';
import type { IClock } from '../common/Clock.js';
import type { Metrics } from '../common/Metrics.js';
import type { Shutdown } from '../common/Shutdown.js';
import { limitTimerMs } from '../common/Tasks.js';
import { isMechanismDisabled } from '../common/TestSwitches.js';
import type { IRoute } from '../fleet/Types.js';
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import {
  EventFramer,
  findFirstEvent,
  hasStatusLine,
  hasUnnumberedEnd,
  MAX_EVENT_BYTES,
} from './EventFramer.js';
import { DeferredBody, mayRelay, type IKeptAnswer } from './KeptAnswer.js';
import type { UnsentReason } from './SendCheck.js';
import { isSilent } from './Silence.js';
import { computeLatestStart } from './StopPolicy.js';
import {
  recordActivity,
  recordLoad,
  recordSilence,
  recordSuccess,
  type ITargetState,
} from './TargetStates.js';
import {
  BodyFraming,
  type IAnswerSink,
  type ICall,
  type IDispatch,
  type ITargetClient,
  type ITargetExchange,
  type ITargetHead,
  type IReportedLoad,
  type RateLimitNotice,
  type RawHeaders,
} from './Types.js';

/** Result of one attempt. */
export type AttemptOutcome =
  /** The whole response was relayed. */
  | { readonly kind: 'answered' }
  /** The target proved that it did not run the request. */
  | {
      readonly kind: 'not_run';
      readonly reason: string;
      /** True if the target could not be reached or another target has its address. */
      readonly isUnreachable: boolean;
    }
  /** The request waited for a connection, and nothing of it was sent, as its target may not take it any more. */
  | { readonly kind: 'unsent'; readonly reason: UnsentReason }
  /** The target may have run the request. */
  | {
      readonly kind: 'failed';
      readonly reason: string;
      /** True if the target ended the connection before the end of the response, as one that crashes does. */
      readonly isBroken?: boolean;
      /** The error of the target if it is complete. */
      readonly answer?: IKeptAnswer;
    }
  /** The deadline passed, or the client disconnected. */
  | { readonly kind: 'ended'; readonly reason: string }
  /** The process stops before the response would end, so nothing was sent. */
  | { readonly kind: 'stopping'; readonly reason: string }
  /** Another attempt of the same call brings the response. */
  | { readonly kind: 'withdrawn'; readonly reason: string };

/** How far the client has received a stream, over all attempts of a call. */
export interface IStreamPosition {
  /** Status of the response that the client receives; undefined before its start. */
  status: number | undefined;
  /** Id of the last event relayed to the client. */
  lastEventId: number | undefined;
  /** True if the last event relayed has no id, so that the stream cannot go on after it. */
  isUnnumbered: boolean;
}

/** Events of a stream whose version is not recorded yet. */
interface IHeldEvents {
  readonly chunks: Uint8Array[];
  lastId: number | undefined;
  /** True once the whole response has been received. */
  hasEnded: boolean;
}

export interface IAttemptOptions {
  readonly target: TargetRecord;
  readonly state: ITargetState;
  readonly route: IRoute;
  /** Time by which the target must have begun, as its weights expire then; may be infinite. */
  readonly beginBy: number;
  /** Expected duration of the response. */
  readonly runMs: number;
  /** Deadline of the call: the earlier of the client's and the route's, on the monotonic clock. */
  readonly deadlineAt: number;
  readonly position: IStreamPosition;
  /** Explains why the request may not be sent to the target any more; undefined if it may. */
  readonly explainUnsent: (now: number) => UnsentReason | undefined;
  /** Whether another target could begin with the request now; asked while it waits for a connection. */
  readonly hasFreeTarget: (now: number) => boolean;
  /** Prompt tokens that the target is expected to compute, that is, that are not in its cache. */
  readonly pendingTokens: number;
  /** Expected time to the first byte of the response body. */
  readonly expectedMs: number;
  /** Whether the response is expected to generate more than `LONG_STREAM_TOKENS` tokens. */
  readonly isLongStream: boolean;
  /** Whether a response with this error status may be discarded, as another target may bring a better one. */
  readonly mayReplaceError: (status: number) => boolean;
  /** Resolves with true once the first event of the stream may be relayed; undefined if it may be at once. */
  readonly recorded: Promise<boolean> | undefined;
  /** Whether another attempt may bring the response too, so that an error waits for its end. */
  readonly isContested: () => boolean;
  /** Called once an error is complete that waits for the end of the other attempts. */
  readonly onDeferred: () => void;
  /** Called before each write to the client. */
  readonly onRelay: () => void;
  /** Called at intervals while the target sends nothing, though it should. */
  readonly onSilent: () => void;
  /** Called with what the head of the response says of the target, and when the request was sent. */
  readonly onNotice: (notice: ITargetNotice, sentAt: number) => void;
  /** Called once the response has lasted long enough that its prompt cannot have crashed the target. */
  readonly onSettled: (at: number) => void;
  /** Called with the time at which the first byte of the response body arrived. */
  readonly onFirstByte: (at: number) => void;
  readonly dispatch: Omit<IDispatch, 'deadlineMs' | 'resumeAfter'>;
}

export interface IAttemptContext<T extends ICall> {
  readonly client: ITargetClient<T>;
  readonly clock: IClock;
  readonly metrics: Metrics;
  readonly shutdown: Shutdown;
  /** Bounds what is held of all responses before it is relayed. */
  readonly memory: ByteBudget;
}

/** What the head of a response says of its target beside the response itself. */
export type ITargetNotice = Pick<ITargetHead, 'rateLimit' | 'isLeaving' | 'pauseMs'>;

/** A target that crashes by a prompt does so when it begins to answer. */
const SETTLE_TIME_MS = 250;

/** Interval at which an attempt checks whether its target is silent, or may not be sent the request any more. */
const CHECK_INTERVAL_MS = 250;

const MIN_ERROR_STATUS = 300;

/** Responses to safe requests and errors that wait are buffered up to this size. Larger ones are streamed, or fail. */
const MAX_BUFFERED_BYTES = 64 * 1024;

/** Less than this is held of an ordinary response, and is not counted. */
const MIN_COUNTED_BYTES = 8 * 1024;

/** A body that is discarded and takes longer than this is not read to its end. */
const MAX_DISCARD_MS = 100;

/**
 * One attempt of a call at one target. Counts the request in the state of the target while it runs, ends
 * it at the deadline, when the client disconnects or when the target falls silent, and relays the
 * response with backpressure. `run` may be called once.
 */
export class Attempt<T extends ICall> {
  public status: number | undefined;
  public firstByteAt: number | undefined;

  /** Longest time between two writes of the body to the client, in milliseconds. */
  public longestGapMs = 0;

  /** Time from the start of the attempt until its request was sent, in milliseconds; undefined if it was not. */
  public waitMs: number | undefined;

  /** True if the response goes on after events that another attempt has relayed, or that the client has. */
  public readonly hasResumed: boolean;

  private _lastByteAt = 0;
  private _sentAt = 0;
  private readonly _buffered: Buffer[] = [];
  private _bufferedBytes = 0;
  private readonly _framer: EventFramer | undefined;
  private readonly _finished: Promise<AttemptOutcome>;
  private _finish: (outcome: AttemptOutcome) => void = () => undefined;
  private _exchange: ITargetExchange | undefined;
  private _head: ITargetHead | undefined;
  private _hasEnded = false;
  /** True if the response is not relayed and its body is discarded. */
  private _isDiscarded = false;
  /** True if the response is an error that the client gets only if no other attempt brings a better one. */
  private _isDeferred = false;
  private _isComplete = false;
  private readonly _discarded = new DeferredBody();
  private _discardTimer: NodeJS.Timeout | undefined;
  private _isPaused = false;
  /** True once the first event of this response has been checked. */
  private _hasFirstEvent = false;
  /** When the target was last resumed after a pause or after events of it were held. */
  private _resumedAt = Number.NEGATIVE_INFINITY;
  private _settleTimer: NodeJS.Timeout | undefined;
  private _stopTimer: NodeJS.Timeout | undefined;
  private _isSettled = false;
  /** Counts what is held, once it is more than `MIN_COUNTED_BYTES`. */
  private _memoryShare: BudgetShare | undefined;
  /** Events that may not be relayed yet; undefined once they may. */
  private _held: IHeldEvents | undefined;

  constructor(
    private readonly _context: IAttemptContext<T>,
    private readonly _call: T,
    private readonly _sink: IAnswerSink,
    private readonly _options: IAttemptOptions,
  ) {
    this.hasResumed = _options.position.lastEventId !== undefined;
    this._framer = _options.route.kind === 'streaming' ? new EventFramer() : undefined;
    this._finished = new Promise((resolve) => {
      this._finish = resolve;
    });
    if (_options.recorded !== undefined) {
      this._held = { chunks: [], lastId: undefined, hasEnded: false };
      void this._relayHeld(_options.recorded);
    }
  }

  /** Load that the target reported in the head of its response. */
  public get load(): IReportedLoad | undefined {
    return this._head?.load;
  }

  /** What the head of the response says about the target's limit. */
  public get rateLimit(): RateLimitNotice | undefined {
    return this._head?.rateLimit;
  }

  public get framing(): BodyFraming | undefined {
    return this._head?.framing;
  }

  /** Bytes that were received of an event whose end has not arrived. */
  public get incompleteBytes(): number {
    return this._framer?.incomplete.length ?? 0;
  }

  /** True once the response shows that its prompt does not crash the target. */
  public get isSettled(): boolean {
    return this._isSettled;
  }

  /** True once the request has been passed on to its target, or may have been. */
  public get wasSent(): boolean {
    return this.waitMs !== undefined;
  }

  /** True once part of the response body has been received. */
  public get hasFirstByte(): boolean {
    return this.firstByteAt !== undefined;
  }

  /** True while the target sends nothing, though it should. */
  public get isSilent(): boolean {
    const { state, expectedMs } = this._options;
    const view = {
      sentAt: this._sentAt,
      expectedMs,
      lastByteAt: this._lastByteAt > 0 ? this._lastByteAt : undefined,
      // While nothing was read, the target could send nothing.
      lastActivityAt: Math.max(state.lastActivityAt, this._resumedAt),
    };
    return (
      !this._hasEnded &&
      !this._isPaused &&
      !this._isDeferred &&
      !this._isHolding &&
      isSilent(view, this._context.clock.now())
    );
  }

  /** True while the target has sent what may not be relayed yet, and is paused or has ended its response. */
  private get _isHolding(): boolean {
    return this._held !== undefined && (this._held.chunks.length > 0 || this._held.hasEnded);
  }

  public get isDeferred(): boolean {
    return this._isDeferred;
  }

  /** Sends the request and waits until the attempt has ended. */
  public async run(): Promise<AttemptOutcome> {
    const { clock, client, shutdown } = this._context;
    const { state, pendingTokens, isLongStream, deadlineAt, target, dispatch, position } =
      this._options;
    const { signal } = this._call;
    const remainingMs = deadlineAt - clock.now();
    state.open += 1;
    state.pendingTokens += pendingTokens;
    state.longStreams += isLongStream ? 1 : 0;
    const deadlineTimer = setTimeout(
      () => {
        this.release();
        this._end({ kind: 'ended', reason: 'time limit' });
      },
      Math.max(0, limitTimerMs(remainingMs)),
    );
    const beginTimer = this._startBeginTimer();
    this._sentAt = clock.now();
    const checkTimer = setInterval(() => {
      this._checkWaiting();
      this._checkSilence();
    }, CHECK_INTERVAL_MS);
    const stopBegins = shutdown.onBegin(() => {
      this._startStopTimer();
    });
    const stopEnds = shutdown.onEnd(() => {
      this._handleStop();
    });
    if (shutdown.hasBegun) {
      this._startStopTimer();
    }
    const handleAbort = (): void => {
      this._end({ kind: 'ended', reason: describeAbort(signal) });
    };
    signal.addEventListener('abort', handleAbort, { once: true });
    try {
      this._exchange = client.send(
        target,
        this._call,
        {
          ...dispatch,
          deadlineMs: Math.max(1, Math.floor(remainingMs)),
          resumeAfter: position.lastEventId,
        },
        {
          onSend: () => this._handleSend(),
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
        handleAbort();
      }
      return await this._finished;
    } finally {
      clearTimeout(deadlineTimer);
      clearTimeout(beginTimer);
      clearTimeout(this._discardTimer);
      clearTimeout(this._settleTimer);
      clearTimeout(this._stopTimer);
      stopBegins.dispose();
      stopEnds.dispose();
      this._memoryShare?.close();
      clearInterval(checkTimer);
      signal.removeEventListener('abort', handleAbort);
      state.open -= 1;
      state.longStreams -= isLongStream ? 1 : 0;
      if (!this.hasFirstByte) {
        state.pendingTokens -= pendingTokens;
      }
    }
  }

  /** Cancels the request at the target; the attempt then counts as failed. */
  public cancel(reason: string): void {
    this._end({ kind: 'failed', reason });
  }

  /** Cancels a request that is quarantined. */
  public cancelQuarantined(): void {
    if (this.wasSent) {
      this.cancel('the request is quarantined');
    } else {
      this._end({ kind: 'unsent', reason: 'quarantined' });
    }
  }

  /** Cancels the request at the target, as another attempt of the call brings the response. */
  public withdraw(): void {
    this._end({ kind: 'withdrawn', reason: 'another attempt answers' });
  }

  /** Relays the error that was held back; does nothing if there is none. */
  public release(): void {
    if (this._hasEnded || !this._isDeferred) {
      return;
    }
    this._isDeferred = false;
    if (this._isComplete) {
      this._relayEnd();
    }
  }

  /** Cancels the request when the weights of the target expire before its first byte. */
  private _startBeginTimer(): NodeJS.Timeout | undefined {
    const remainingMs = this._options.beginBy - this._context.clock.now();
    if (!Number.isFinite(remainingMs)) {
      return undefined;
    }
    return setTimeout(() => {
      if (!this.wasSent) {
        this._end({ kind: 'unsent', reason: 'weights_changed' });
      } else if (!this.hasFirstByte) {
        this._end({ kind: 'failed', reason: 'the weights expired before the first byte' });
      }
    }, limitTimerMs(remainingMs));
  }

  private get _latestStart(): number {
    const { shutdown } = this._context;
    const { deadlineAt, runMs } = this._options;
    // The end of the process cannot cut a response whose deadline is earlier, however long it was expected to take.
    const requiredMs = deadlineAt <= shutdown.endsAt ? 0 : runMs;
    return computeLatestStart(shutdown, requiredMs, this._sentAt);
  }

  /** Last decision before each request is sent: it waits for a connection after its target was chosen. */
  private _handleSend(): boolean {
    const now = this._context.clock.now();
    if (now > this._latestStart) {
      this._end({ kind: 'stopping', reason: 'the process stops before the response would end' });
    } else if (now >= this._options.deadlineAt) {
      this._end({ kind: 'ended', reason: 'time limit' });
    } else {
      this._checkUnsent();
    }
    if (this._hasEnded || this._call.signal.aborted) {
      return false;
    }
    this.waitMs = now - this._sentAt;
    return true;
  }

  /** Ends the attempt if its request still waits for a connection and may not be sent to the target any more. */
  private _checkUnsent(): void {
    if (this.wasSent || this._hasEnded) {
      return;
    }
    const reason = this._options.explainUnsent(this._context.clock.now());
    if (reason !== undefined) {
      this._end({ kind: 'unsent', reason });
    }
  }

  /** Ends the attempt if its request waits for a connection although another target could begin with it. */
  private _checkWaiting(): void {
    const { clock, shutdown } = this._context;
    this._checkUnsent();
    const isWaiting = !this.wasSent && !this._hasEnded;
    // A process that stops refuses the request soon, so that another process serves it.
    if (isWaiting && !shutdown.hasBegun && this._options.hasFreeTarget(clock.now())) {
      this._end({ kind: 'unsent', reason: 'no_connection' });
    }
  }

  /** Ends the attempt if its request still waits for a connection at the latest time at which it may be sent. */
  private _startStopTimer(): void {
    const waitMs = this._latestStart - this._context.clock.now();
    this._stopTimer = setTimeout(
      () => {
        if (!this.wasSent) {
          this._end({ kind: 'stopping', reason: 'the process stops' });
        }
      },
      Math.max(0, limitTimerMs(waitMs)),
    );
  }

  /** Ends the attempt as the process ends. */
  private _handleStop(): void {
    this.release();
    if (this._isDiscarded) {
      // The head tells whether the target ran the request, though the rest of its response has not arrived.
      this._end(this._describeDiscarded());
      return;
    }
    const kind = this.wasSent ? 'ended' : 'stopping';
    this._end({ kind, reason: 'the process stops' });
  }

  /** Ends the attempt and aborts the exchange with the target. */
  private _end(outcome: AttemptOutcome): void {
    if (this._hasEnded) {
      return;
    }
    this._hasEnded = true;
    this._exchange?.abort();
    this._finish(outcome);
  }

  /**
   * Starts a cooldown of a silent target. The attempt goes on: a sound target may send nothing for a second or more, and
   * another one may not take the request.
   */
  private _checkSilence(): void {
    const { state, onSilent } = this._options;
    if (!this.isSilent) {
      return;
    }
    TEST_ONLY: if (isMechanismDisabled('silence-failover')) this.cancel('the target is silent');
    recordSilence(state, this._context.clock.now());
    onSilent();
  }

  private _handleHead(head: ITargetHead): void {
    recordActivity(this._options.state, this._context.clock.now());
    // An answer to another request may be old, so it says nothing of the target now.
    if (head.isForThisRequest) {
      this._handleNotice(head);
    }
    if (this._hasEnded) {
      return;
    }
    if (!head.isForThisRequest) {
      this._end({ kind: 'failed', reason: 'the response belongs to another request' });
      return;
    }
    const { state, mayReplaceError, isContested } = this._options;
    const now = this._context.clock.now();
    const isError = head.status >= MIN_ERROR_STATUS && !this._sink.isStarted;
    this._head = head;
    this.status = head.status;
    if (head.load !== undefined) {
      recordLoad(state, head.load, now);
    }
    this._isDiscarded = !mayRelay(head) || (isError && mayReplaceError(head.status));
    this._isDeferred = isError && !this._isDiscarded && isContested();
    if (this._isDiscarded) {
      this._discardTimer = setTimeout(() => {
        this._end(this._describeDiscarded());
      }, MAX_DISCARD_MS);
    }
    // The client has already received the head of a stream with status 200, so only such a response can resume it.
    if (this._sink.isStarted && !this._isDiscarded) {
      if (head.status !== 200) {
        this._end({ kind: 'failed', reason: `status ${head.status} when resuming a stream` });
      } else if (!isEventStream(head.headers)) {
        this._end({ kind: 'failed', reason: 'no event stream when resuming a stream' });
      }
    }
  }

  /** A refusal or a failure may come from something in front of the target, so it does not tell of a limit's end. */
  private _handleNotice(head: ITargetHead): void {
    const { isLeaving, pauseMs } = head;
    if (head.isOtherTarget) {
      // The target itself refuses like this if it holds other weights; if it is another one, the target has ended.
      const unknown = { rateLimit: { kind: 'unreadable' }, pauseMs: undefined } as const;
      this._options.onNotice({ ...unknown, isLeaving }, this._sentAt);
      return;
    }
    const isSuccess = head.status < MIN_ERROR_STATUS;
    const rateLimit: RateLimitNotice =
      head.rateLimit.kind === 'unlimited' && !isSuccess ? { kind: 'unreadable' } : head.rateLimit;
    this._options.onNotice({ rateLimit, isLeaving, pauseMs }, this._sentAt);
  }

  private _handleData(chunk: Buffer): void {
    recordActivity(this._options.state, this._context.clock.now());
    if (this._hasEnded || chunk.length === 0) {
      return;
    }
    this._processData(chunk);
    this._countHeld();
  }

  /** Ends the attempt if all attempts together hold too much of their responses, and this one holds most. */
  private _countHeld(): void {
    const held = this._held?.chunks ?? [];
    const heldBytes = held.reduce((sum, { length }) => sum + length, this.incompleteBytes);
    const bytes =
      heldBytes + this._discarded.size + (this._sink.isStarted ? 0 : this._bufferedBytes);
    if (this._hasEnded || (this._memoryShare === undefined && bytes < MIN_COUNTED_BYTES)) {
      return;
    }
    this._memoryShare ??= this._openMemoryShare();
    this._memoryShare.extend(bytes - this._memoryShare.bytes, this._context.clock.now());
  }

  private _openMemoryShare(): BudgetShare {
    const share = this._context.memory.openShare();
    share.onEvict = () => {
      this._end({ kind: 'failed', reason: 'the memory for responses is exceeded' });
    };
    return share;
  }

  private _processData(chunk: Buffer): void {
    if (this._isDiscarded) {
      this._discard(chunk);
      return;
    }
    if (this._framer === undefined || !this._isSuccess()) {
      this._recordFirstByte();
      this._enqueueOrWrite(chunk);
      return;
    }
    const { bytes, firstId, lastId } = this._framer.push(chunk);
    if (bytes.length > 0) {
      const problem = this._checkEvents(bytes, firstId);
      if (problem !== undefined) {
        this._end({ kind: 'failed', reason: problem });
        return;
      }
      this._recordFirstByte();
      this._relayOrHold(bytes, lastId);
    }
    if (this._framer.isOverlong) {
      this._end({ kind: 'failed', reason: `an event exceeds ${MAX_EVENT_BYTES} bytes` });
    }
  }

  /**
   * Explains why events may not be relayed; undefined if they may. A response that resumes a stream must begin with an
   * event whose id is above that of the last event relayed. Ids increase, but need not be consecutive.
   */
  private _checkEvents(bytes: Buffer, firstId: number | undefined): string | undefined {
    if (hasStatusLine(bytes)) {
      return 'another answer begins in the body';
    }
    if (this._hasFirstEvent) {
      return undefined;
    }
    const first = findFirstEvent(bytes);
    this._hasFirstEvent = first.kind !== 'none';
    const { lastEventId } = this._options.position;
    if (lastEventId === undefined) {
      return undefined;
    }
    const isUnnumbered = first.kind === 'unnumbered' && this._sink.isStarted;
    const isRelayed = firstId !== undefined && firstId <= lastEventId;
    return isUnnumbered || isRelayed ? 'the target did not go on after the last event' : undefined;
  }

  private _relayOrHold(bytes: Buffer, lastId: number | undefined): void {
    if (this._held !== undefined) {
      this._held.chunks.push(bytes);
      this._held.lastId = lastId ?? this._held.lastId;
      this._exchange?.pause();
      return;
    }
    this._startSink();
    this._write(bytes);
    TEST_ONLY: if (isMechanismDisabled('event-number')) return;
    const { position } = this._options;
    position.lastEventId = lastId ?? position.lastEventId;
    position.isUnnumbered =
      hasUnnumberedEnd(bytes) || (position.isUnnumbered && lastId === undefined);
  }

  /** Relays what was held once the version of the stream is recorded. */
  private async _relayHeld(recorded: Promise<boolean>): Promise<void> {
    const isRecorded = await recorded;
    const held = this._held;
    if (this._isHolding) {
      this._resumedAt = this._context.clock.now();
    }
    this._held = undefined;
    if (!isRecorded || held === undefined || this._hasEnded) {
      return;
    }
    if (held.chunks.length > 0) {
      this._relayOrHold(Buffer.concat(held.chunks), held.lastId);
      if (!this._isPaused) {
        this._exchange?.resume();
      }
    }
    if (held.hasEnded) {
      this._handleEnd();
    }
  }

  private _discard(chunk: Buffer): void {
    if (!this._discarded.add(chunk)) {
      this._end(this._describeDiscarded());
    }
  }

  private _handleEnd(): void {
    if (this._hasEnded) {
      return;
    }
    if (this._held !== undefined && this._isSuccess() && !this._isDiscarded) {
      this._held.hasEnded = true;
      return;
    }
    if (this._isDiscarded) {
      this._hasEnded = true;
      this._finish(this._describeDiscarded(true));
    } else if (this._isDeferred) {
      this._isComplete = true;
      this._options.onDeferred();
    } else if (this._isBrokenOff()) {
      this._hasEnded = true;
      const reason = this.hasFirstByte
        ? 'the stream ended inside an event'
        : 'the connection ended before the body';
      this._finish({ kind: 'failed', reason, isBroken: true });
    } else if (this._head?.framing === BodyFraming.Close && this._isSuccess()) {
      void this._relayEndIfListening();
    } else {
      this._relayEnd();
    }
  }

  /** The close of a connection may also be the crash of the target, which then refuses the next one. */
  private async _relayEndIfListening(): Promise<void> {
    TEST_ONLY: if (isMechanismDisabled('stream-end')) {
      this._relayEnd();
      return;
    }
    const isListening = await this._context.client.probe(this._options.target);
    if (this._hasEnded) {
      return;
    }
    if (isListening) {
      this._relayEnd();
    } else {
      this._hasEnded = true;
      this._finish({ kind: 'failed', reason: 'the target ended', isBroken: true });
    }
  }

  /** Relays what is left of a complete response, and its end. */
  private _relayEnd(): void {
    this._hasEnded = true;
    this._startSink();
    for (const chunk of this._buffered) {
      this._sink.write(chunk);
    }
    const incomplete = this._framer?.incomplete;
    if (incomplete !== undefined && incomplete.length > 0) {
      this._sink.write(incomplete);
    }
    this._sink.end();
    if (this._isSuccess()) {
      recordSuccess(this._options.state);
    }
    this._settle();
    this._finish({ kind: 'answered' });
  }

  private _handleError(reason: string, wasSent: boolean): void {
    if (this._hasEnded) {
      return;
    }
    this._hasEnded = true;
    if (this._isDiscarded) {
      this._finish(this._describeDiscarded());
    } else if (wasSent) {
      this._finish({ kind: 'failed', reason, isBroken: true });
    } else {
      this._finish({ kind: 'not_run', reason, isUnreachable: true });
    }
  }

  private _describeDiscarded(isComplete = false): AttemptOutcome {
    const head = this._head;
    if (isComplete && head !== undefined && mayRelay(head)) {
      const answer = this._discarded.createAnswer(head);
      return { kind: 'failed', reason: `status ${head.status}`, answer };
    }
    if (head?.isOtherTarget === true) {
      return { kind: 'not_run', reason: 'another target has this address', isUnreachable: true };
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
    return this._head !== undefined && this._head.status < MIN_ERROR_STATUS;
  }

  /**
   * True if the end of the response shows that the engine had not finished it. A stream that ends inside an event is
   * broken off however its body is framed: a proxy in front of the engine may have completed the framing. So is a body
   * without length and bytes: an engine that has nothing to say states a length of 0.
   */
  private _isBrokenOff(): boolean {
    const head = this._head;
    if (head === undefined || !this._isSuccess()) {
      return false;
    }
    TEST_ONLY: if (isMechanismDisabled('stream-end')) return false;
    const isCloseDelimited = head.framing === BodyFraming.Close;
    return this._framer?.isInsideEvent === true
      ? isCloseDelimited || isEventStream(head.headers)
      : isCloseDelimited && !this.hasFirstByte;
  }

  private _recordFirstByte(): void {
    if (this.hasFirstByte) {
      return;
    }
    const { state, pendingTokens, route } = this._options;
    this.firstByteAt = this._context.clock.now();
    this._options.onFirstByte(this.firstByteAt);
    this._settleTimer = setTimeout(() => {
      this._settle();
    }, SETTLE_TIME_MS);
    state.pendingTokens -= pendingTokens;
    this._context.metrics.observe(
      'gateway_first_byte_ms',
      this.firstByteAt - this._call.arrivedAt,
      {
        route: route.name,
      },
    );
  }

  private _settle(): void {
    if (!this._isSettled && this._isSuccess()) {
      this._isSettled = true;
      this._options.onSettled(this._context.clock.now());
    }
  }

  private _startSink(): void {
    this._options.onRelay();
    if (!this._sink.isStarted && this._head !== undefined) {
      this._options.position.status = this._head.status;
      this._sink.start(this._head.status, this._head.headers);
    }
  }

  /**
   * Buffers the response to a safe request until it is complete, so that the request can be retried at
   * another target. Responses that exceed the buffer are streamed. Errors that are held back are buffered too.
   */
  private _enqueueOrWrite(chunk: Buffer): void {
    const { route } = this._options;
    this._bufferedBytes += chunk.length;
    const mayBuffer = this._isDeferred || (route.kind === 'safe' && !this._sink.isStarted);
    if (mayBuffer && this._bufferedBytes <= MAX_BUFFERED_BYTES) {
      this._buffered.push(chunk);
      return;
    }
    if (this._isDeferred) {
      this._end({ kind: 'failed', reason: `status ${this.status ?? 0} with a long body` });
      return;
    }
    this._startSink();
    for (const buffered of this._buffered.splice(0)) {
      this._write(buffered);
    }
    this._write(chunk);
  }

  /** Writes to the client. Pauses the target while the client reads too slowly. */
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
    this._exchange?.pause(() => {
      this._sink.cut();
    });
    void this._sink.waitWritable().then(() => {
      this._isPaused = false;
      this._resumedAt = this._context.clock.now();
      this._exchange?.resume();
    });
  }
}

/** Explains why the connection of the client has ended: the client has left, unless the signal has another reason. */
export function describeAbort({ reason }: AbortSignal): string {
  return typeof reason === 'string' ? reason : 'client left';
}

/** False if the headers name another media type. */
function isEventStream(headers: RawHeaders): boolean {
  const nameAt = headers.findIndex(
    (item, index) => index % 2 === 0 && item.toLowerCase() === 'content-type',
  );
  return nameAt < 0 || /^\s*text\/event-stream\b/i.test(headers[nameAt + 1] ?? '');
}
