/** Seventh stage for streams: passes events on in order and resumes a broken stream. */
import type { ServerResponse } from 'node:http';
import type { AnswerBody } from '../common/HttpAnswer.js';
import { addJitter, sleep } from '../common/Tasks.js';
import { isBroken } from '../common/TestSwitches.js';
import { RefusalReason } from '../gen/redwingwharf/v1/control_pb.js';
import type { DispatchClient, DispatchOutcome } from './DispatchClient.js';
import type { IDispatched } from './Dispatcher.js';
import { fail, formatFailure, type IHttpFailure } from './Failures.js';
import type { OpenRequests } from './OpenRequests.js';
import { SseScanner, StreamOrderError, type IUsage } from './SseScanner.js';
import type { IFlowServices, IRequestContext } from './Types.js';

/** Tries to resume one break of a stream. */
const MAX_RESUMES = 5;
const RESUME_PAUSE_MS = 100;

/** How the relay of a stream ended. */
export type RelayEnd =
  | { readonly kind: 'complete'; readonly usage: IUsage | undefined }
  /** Nothing reached the caller, so another target may be tried. */
  | { readonly kind: 'nothing_relayed' }
  | { readonly kind: 'ended'; readonly events: number };

type ForwardEnd = 'done' | 'broken' | 'misordered' | 'aborted';

/** Relays one stream to its caller. */
export class StreamRelay {
  private readonly _scanner = new SseScanner();
  private _firstEventAt: number | undefined;
  private _heldWrite: Promise<void> | undefined;

  constructor(
    private readonly _context: IRequestContext,
    private readonly _client: DispatchClient,
    private readonly _openRequests: OpenRequests,
    private readonly _services: IFlowServices,
    private readonly _onFirstEvent: () => void,
  ) {}

  /** Time of the first event by this process's clock. */
  public get firstEventAt(): number | undefined {
    return this._firstEventAt;
  }

  public async relay(dispatched: IDispatched): Promise<RelayEnd> {
    let outcome: DispatchOutcome | undefined = dispatched.outcome;
    while (outcome?.kind === 'answered') {
      let end = await this._forwardEvents(outcome.response.body);
      TEST_ONLY: if (isBroken('stream-end') && end === 'broken') end = 'done';
      switch (end) {
        case 'done':
          this._context.response.end();
          return { kind: 'complete', usage: this._scanner.usage };
        case 'aborted':
          return this._endWith(this._describeAbort());
        case 'misordered':
          return this._endWith(describeBreak('The events of the stream came out of order.'));
        case 'broken':
          outcome = await this._resume(dispatched, outcome.streamId);
      }
    }
    if (this._context.open.signal.aborted) {
      return this._endWith(this._describeAbort());
    }
    if (this._firstEventAt === undefined) {
      return { kind: 'nothing_relayed' };
    }
    return this._endWith(describeBreak('The stream broke off and could not be resumed.'));
  }

  private async _forwardEvents(body: AnswerBody): Promise<ForwardEnd> {
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
      // Events that are held back go out before anything that follows the break.
      await this._heldWrite;
      if (this._context.open.signal.aborted) {
        return 'aborted';
      }
      return error instanceof StreamOrderError ? 'misordered' : 'broken';
    }
  }

  /** Writes at once unless the answer is held back; no promise is made for an event. */
  private _forward(events: Buffer, body: AnswerBody): void {
    const { open } = this._context;
    this._openRequests.checkRequest(open, this._services.clock.now());
    if (open.isHeld) {
      body.pause();
      this._heldWrite = this._forwardReleased(events, body);
    } else if (!this._write(events)) {
      this._waitDrained(body);
    }
  }

  private async _forwardReleased(events: Buffer, body: AnswerBody): Promise<void> {
    await this._context.open.waitReleased();
    try {
      if (this._write(events)) {
        body.resume();
      } else {
        this._waitDrained(body);
      }
    } catch (error) {
      body.destroy(error as Error);
    }
  }

  /** Stops reading until the caller has taken what was written. */
  private _waitDrained(body: AnswerBody): void {
    body.pause();
    this._context.response.once('drain', () => {
      body.resume();
    });
  }

  /** Returns false when the caller reads more slowly than the events arrive. */
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

  /** Asks the same generation for the events after the last complete one. */
  private async _resume(
    dispatched: IDispatched,
    streamId: string | undefined,
  ): Promise<DispatchOutcome | undefined> {
    const { open, requestId } = this._context;
    this._scanner.dropRest();
    if (streamId === undefined || !this._scanner.hasIds) {
      return undefined;
    }
    for (let attempt = 1; attempt <= MAX_RESUMES; attempt++) {
      await sleep(addJitter(RESUME_PAUSE_MS * attempt), open.signal);
      if (open.signal.aborted) {
        return undefined;
      }
      const lastId = this._scanner.lastId;
      const outcome = await this._client.resume(dispatched.dispatch, streamId, lastId);
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
      if (outcome.kind === 'not_run' && outcome.reason !== RefusalReason.TARGET_DOWN) {
        return undefined;
      }
    }
    return undefined;
  }

  private _endWith(failure: IHttpFailure | undefined): RelayEnd {
    const { response, requestId } = this._context;
    if (failure !== undefined && !response.destroyed) {
      if (this._firstEventAt === undefined) {
        startStream(response, requestId);
      }
      response.end(`event: error\ndata: ${formatFailure(failure, requestId)}\n\n`);
      this._services.metrics.increment('streams_ended_early_total', { code: failure.code });
    }
    return { kind: 'ended', events: this._scanner.events };
  }

  private _describeAbort(): IHttpFailure | undefined {
    switch (this._context.open.endReason) {
      case 'key_withdrawn':
        return fail(
          'key_withdrawn',
          'The key was withdrawn; ask the operator for a new one.',
          'yes',
        );
      case 'deadline_exceeded':
        return fail('deadline_exceeded', 'The time limit of the service has passed.', 'yes');
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

function describeBreak(message: string): IHttpFailure {
  return fail('stream_broken', `${message} Send the request again.`, 'yes');
}
