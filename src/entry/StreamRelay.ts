/** Last stage of the request pipeline for streams: relays the events and resumes a broken stream. */
import { create } from '@bufbuild/protobuf';
import type { ServerResponse } from 'node:http';
import type { AnswerBody } from '../common/HttpAnswer.js';
import { addJitter, sleep } from '../common/Tasks.js';
import { isMechanismDisabled } from '../common/TestSwitches.js';
import { RefusalReason, TicketSchema } from '../gen/redwingwharf/v1/control_pb.js';
import type { DispatchClient, DispatchOutcome, IDispatch } from './DispatchClient.js';
import type { IAnsweredDispatch } from './Dispatcher.js';
import { createFailure, formatFailure, type IHttpFailure } from './Failures.js';
import type { OpenRequests } from './OpenRequests.js';
import { SseScanner, StreamOrderError, type IUsage } from './SseScanner.js';
import type { IFlowServices, IRequestContext } from './Types.js';

/** Attempts to resume a stream after one break. */
const MAX_RESUME_ATTEMPTS = 5;
/** The backoff before each attempt to resume grows by this step. */
const RESUME_BACKOFF_STEP_MS = 100;

/** Result of relaying a stream. */
export type RelayResult =
  | { readonly kind: 'complete'; readonly usage: IUsage | undefined }
  /** The stream broke before anything reached the caller, so another target may be tried. */
  | { readonly kind: 'nothing_relayed' }
  /** The stream ended early; `eventCount` complete events had arrived. */
  | { readonly kind: 'ended'; readonly eventCount: number };

type ForwardResult = 'done' | 'broken' | 'misordered' | 'aborted';

/**
 * Relays one stream to its caller, in order and with back-pressure. Holds events back while the key cannot
 * be confirmed, and resumes a broken stream at the same sidecar after the last complete event.
 */
export class StreamRelay {
  private readonly _scanner = new SseScanner();
  private _firstEventAt: number | undefined;
  private _pendingWrite: Promise<void> | undefined;

  constructor(
    private readonly _context: IRequestContext,
    private readonly _client: DispatchClient,
    private readonly _openRequests: OpenRequests,
    private readonly _services: IFlowServices,
    private readonly _onFirstEvent: () => void,
  ) {}

  /** Time of the first relayed event by the entry's clock; undefined before it. */
  public get firstEventAt(): number | undefined {
    return this._firstEventAt;
  }

  public async relay(dispatched: IAnsweredDispatch): Promise<RelayResult> {
    let outcome: DispatchOutcome | undefined = dispatched.outcome;
    while (outcome?.kind === 'answered') {
      let end = await this._forwardEvents(outcome.response.body);
      TEST_ONLY: if (isMechanismDisabled('stream-end') && end === 'broken') end = 'done';
      switch (end) {
        case 'done':
          this._context.response.end();
          return { kind: 'complete', usage: this._scanner.usage };
        case 'aborted':
          return this._endEarly(this._describeAbort());
        case 'misordered':
          return this._endEarly(
            describeBrokenStream('The events of the stream came out of order.'),
          );
        case 'broken':
          outcome = await this._resume(dispatched, outcome.streamId);
      }
    }
    if (this._context.open.signal.aborted) {
      return this._endEarly(this._describeAbort());
    }
    if (this._firstEventAt === undefined) {
      return { kind: 'nothing_relayed' };
    }
    return this._endEarly(describeBrokenStream('The stream broke off and could not be resumed.'));
  }

  private async _forwardEvents(body: AnswerBody): Promise<ForwardResult> {
    try {
      await body.read((chunk) => {
        const events = this._scanner.push(chunk);
        if (events.length > 0) {
          this._forward(events, body);
        }
      });
      return this._scanner.isDone ? 'done' : 'broken';
    } catch (error) {
      body.destroy();
      // Events that are held back have to be written before anything that follows the break.
      await this._pendingWrite;
      if (this._context.open.signal.aborted) {
        return 'aborted';
      }
      return error instanceof StreamOrderError ? 'misordered' : 'broken';
    }
  }

  /** Writes events synchronously, to avoid a promise for each one, unless the answer is held back. */
  private _forward(events: Buffer, body: AnswerBody): void {
    const { open } = this._context;
    this._openRequests.checkRequest(open, this._services.clock.now());
    if (open.isHeld) {
      body.pause();
      this._pendingWrite = this._forwardWhenReleased(events, body);
    } else if (!this._write(events)) {
      this._pauseUntilDrained(body);
    }
  }

  private async _forwardWhenReleased(events: Buffer, body: AnswerBody): Promise<void> {
    await this._context.open.waitReleased();
    try {
      if (this._write(events)) {
        body.resume();
      } else {
        this._pauseUntilDrained(body);
      }
    } catch (error) {
      body.destroy(error as Error);
    }
  }

  /** Stops reading from the sidecar until the caller has read what was written. */
  private _pauseUntilDrained(body: AnswerBody): void {
    body.pause();
    this._context.response.once('drain', () => {
      body.resume();
    });
  }

  /** Writes events; throws if the request has ended. False if the caller reads too slowly. */
  private _write(events: Buffer): boolean {
    const { response, open } = this._context;
    open.signal.throwIfAborted();
    if (this._firstEventAt === undefined) {
      this._firstEventAt = this._services.clock.now();
      this._onFirstEvent();
      startStream(response, this._context.requestId);
    }
    return response.write(events);
  }

  /**
   * Requests the events of the same generation after the last complete one. Undefined if the stream cannot
   * be resumed.
   */
  private async _resume(
    dispatched: IAnsweredDispatch,
    streamId: string | undefined,
  ): Promise<DispatchOutcome | undefined> {
    const { open, requestId } = this._context;
    this._scanner.dropIncompleteEvent();
    if (streamId === undefined || !this._scanner.hasIds) {
      return undefined;
    }
    for (let attempt = 1; attempt <= MAX_RESUME_ATTEMPTS; attempt++) {
      await sleep(addJitter(RESUME_BACKOFF_STEP_MS * attempt), open.signal);
      if (open.signal.aborted) {
        return undefined;
      }
      const lastId = this._scanner.lastEventId;
      const dispatch = this._renewTicket(dispatched.dispatch);
      const outcome = await this._client.resume(dispatch, streamId, lastId);
      this._services.decisions.record(requestId, 'resumed', {
        target: dispatched.choice.view.id,
        lastEventId: lastId,
        outcome: outcome.kind,
        attempt,
      });
      if (outcome.kind === 'answered') {
        if (outcome.response.statusCode === 200) {
          return { ...outcome, streamId };
        }
        outcome.response.body.destroy();
        return undefined;
      }
      if (outcome.kind === 'stopping') {
        return undefined;
      }
      if (outcome.kind === 'not_run' && !(await this._mayResumeLater(outcome.reason))) {
        return undefined;
      }
    }
    return undefined;
  }

  /** The configuration may have changed since the stream began, which is no reason to refuse the rest of it. */
  private _renewTicket(dispatch: IDispatch): IDispatch {
    const { clock, feed } = this._services;
    const deadlineMs = Math.max(1, Math.round(this._context.open.deadlineAt - clock.now()));
    const revision = BigInt(feed.revision);
    return {
      ...dispatch,
      ticket: create(TicketSchema, { ...dispatch.ticket, revision, deadlineMs }),
    };
  }

  /** Whether a stream may be resumed after a refusal for this reason. */
  private async _mayResumeLater(reason: RefusalReason): Promise<boolean> {
    if (reason === RefusalReason.OLD_REVISION) {
      await this._services.feedSync.syncOnce(this._context.open.signal).catch(() => undefined);
      return true;
    }
    return reason === RefusalReason.TARGET_DOWN;
  }

  /** Ends the response with an error event; without a failure, it leaves the response as it is. */
  private _endEarly(failure: IHttpFailure | undefined): RelayResult {
    const { response, requestId } = this._context;
    if (failure !== undefined && !response.destroyed) {
      if (this._firstEventAt === undefined) {
        startStream(response, requestId);
      }
      response.end(`event: error\ndata: ${formatFailure(failure, requestId)}\n\n`);
      this._services.metrics.increment('streams_ended_early_total', { code: failure.code });
    }
    return { kind: 'ended', eventCount: this._scanner.eventCount };
  }

  private _describeAbort(): IHttpFailure | undefined {
    switch (this._context.open.endReason) {
      case 'key_withdrawn':
        return createFailure(
          'key_withdrawn',
          'The key was withdrawn; ask the operator for a new one.',
          'yes',
        );
      case 'deadline_exceeded':
        return createFailure(
          'deadline_exceeded',
          'The time limit of the service has passed.',
          'yes',
        );
      case 'stopping':
        return describeBrokenStream('The instance that served the stream stops.');
      case 'client_gone':
      case undefined:
        return undefined;
    }
  }
}

function startStream(response: ServerResponse, requestId: string): void {
  response.writeHead(200, {
    'content-type': 'text/event-stream; charset=utf-8',
    'cache-control': 'no-store',
    'x-request-id': requestId,
  });
}

function describeBrokenStream(message: string): IHttpFailure {
  return createFailure('stream_broken', `${message} Send the request again.`, 'yes');
}
