/**
 * Handles dispatches from entries: checks the ticket and the claim, forwards the request, relays the
 * answer.
 */
import { create } from '@bufbuild/protobuf';
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  decodeHeader,
  encodeHeader,
  RECEIPT_HEADER,
  REQUEST_ID_HEADER,
  STREAM_HEADER,
  TICKET_HEADER,
} from '../common/Headers.js';
import { ByteBuffer } from '../common/ByteBuffer.js';
import { readAnswer, type AnswerBody, type IHttpAnswer } from '../common/HttpAnswer.js';
import type { IClock } from '../common/Clock.js';
import type { ILog } from '../common/Log.js';
import type { Shutdown } from '../common/Shutdown.js';
import { runWithTimeout } from '../common/Tasks.js';
import type { IFeed } from '../feed/Types.js';
import {
  ReceiptSchema,
  RefusalReason,
  TicketSchema,
  type Ticket,
} from '../gen/redwingwharf/v1/control_pb.js';
import { AnswerSchema, type Answer } from '../gen/redwingwharf/v1/state_pb.js';
import type { ClaimTable } from './ClaimTable.js';
import {
  copyForwardHeaders,
  forwardOnNewConnection,
  forwardRequest,
  HOP_BY_HOP_HEADERS,
  type ForwardFailure,
  type IForwardRequest,
  type ITargetConnections,
} from './Forwarder.js';
import { checkTicket, type IGateState } from './Gate.js';
import { addWaitEstimate, type PromptQueue } from './PromptQueue.js';
import type { ITargetWatcher } from './Types.js';

/** HTTP status of a refusal. The entry reads the reason from the receipt. */
const REFUSED_STATUS = 409;

/** HTTP status of a call that may have reached the target and got no complete answer. */
const OUTCOME_UNKNOWN_STATUS = 502;

const REASONS: Readonly<Record<ForwardFailure['kind'], RefusalReason>> = {
  not_connected: RefusalReason.TARGET_DOWN,
  not_sent: RefusalReason.DRAINING,
  broken: RefusalReason.OUTCOME_UNKNOWN,
};

export interface IDispatchHandlerOptions {
  readonly targetAddress: string;
  readonly getGateState: () => IGateState;
  /** Called for each dispatch that passes the checks of its ticket, claim and expected TTFT. */
  readonly onAccepted?: (ticket: Ticket) => void;
  /** Undefined when the target is not an engine. */
  readonly prompts?: PromptQueue | undefined;
  readonly clock: IClock;
  readonly shutdown: Shutdown;
}

/**
 * Handles all dispatches to the target beside this sidecar. Refuses those whose ticket or claim does not
 * allow them, forwards the others and answers with a receipt that says whether the target ran the request. Of a
 * process that stops, nothing new is sent to the target, and what it still runs at the end is answered as unknown.
 */
export class DispatchHandler {
  private _openCount = 0;

  constructor(
    private readonly _options: IDispatchHandlerOptions,
    private readonly _watcher: ITargetWatcher,
    private readonly _claims: ClaimTable,
    private readonly _feed: IFeed,
    private readonly _connections: ITargetConnections,
    private readonly _log: ILog,
  ) {}

  /** Number of dispatches that have not ended yet. */
  public get openCount(): number {
    return this._openCount;
  }

  public async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const ticket = decodeHeader(TicketSchema, request.headers[TICKET_HEADER]);
    if (ticket === undefined) {
      this._refuse(request, response, create(TicketSchema), RefusalReason.BAD_TICKET);
      return;
    }
    const isResume = request.headers[STREAM_HEADER] !== undefined;
    const refusal =
      this._checkTicket(ticket, isResume) ?? this._checkExpectedTtft(ticket, isResume);
    if (refusal !== undefined) {
      this._refuse(request, response, ticket, refusal);
      return;
    }
    this._options.onAccepted?.(ticket);
    this._openCount += 1;
    if (!isResume) {
      this._options.prompts?.begin(ticket, this._options.clock.now());
    }
    try {
      await this._forward(request, response, ticket);
    } finally {
      this._openCount -= 1;
      this._options.prompts?.end(ticket.requestId, false, this._options.clock.now());
    }
  }

  /**
   * Refuses a dispatch whose expected TTFT exceeds its limit, so that the entry can choose another
   * target.
   */
  private _checkExpectedTtft(ticket: Ticket, isResume: boolean): RefusalReason | undefined {
    const { prompts, clock } = this._options;
    if (prompts === undefined || isResume || ticket.maxTtftMs === 0) {
      return undefined;
    }
    const { ttftMs } = prompts.estimate(ticket, clock.now());
    return ttftMs > ticket.maxTtftMs ? RefusalReason.BUSY : undefined;
  }

  /** A draining target still resumes a running stream, as that is no new request. */
  private _checkTicket(ticket: Ticket, isResume: boolean): RefusalReason | undefined {
    const { claimId, claimAttempt } = ticket;
    const hasClaim = claimId > 0n;
    if (hasClaim && this._claims.has(claimId, claimAttempt)) {
      return RefusalReason.CLAIM_SEEN;
    }
    if (ticket.nonRepeatable && !hasClaim) {
      return RefusalReason.BAD_TICKET;
    }
    const state = this._options.getGateState();
    const isDraining = state.isDraining && !isResume;
    const refusal = checkTicket(ticket, { ...state, isDraining }, this._feed);
    if (refusal !== undefined && hasClaim) {
      this._claims.refuse(claimId, claimAttempt);
    }
    return refusal;
  }

  private async _forward(
    request: IncomingMessage,
    response: ServerResponse,
    ticket: Ticket,
  ): Promise<void> {
    const controller = new AbortController();
    const subscription = this._options.shutdown.onEnd(() => {
      controller.abort();
    });
    try {
      // A claimed call continues when its entry disconnects, so that its answer can be queried later.
      await (ticket.claimId > 0n
        ? this._forwardClaimed(request, response, ticket, controller.signal)
        : this._forwardRepeatable(request, response, ticket, controller));
    } finally {
      subscription.dispose();
    }
  }

  private async _forwardRepeatable(
    request: IncomingMessage,
    response: ServerResponse,
    ticket: Ticket,
    controller: AbortController,
  ): Promise<void> {
    response.once('close', () => {
      if (!response.writableFinished) {
        controller.abort();
      }
    });
    const resumeId = request.headers[STREAM_HEADER];
    const forward = this._buildForward(request, ticket, request);
    const result = await forwardRequest(
      this._connections,
      this._options.targetAddress,
      typeof resumeId === 'string' ? buildResume(forward, resumeId) : forward,
      controller.signal,
    );
    if (result.err) {
      this._answerFailure(response, ticket, result.val);
      return;
    }
    await this._relay(result.val, response, ticket);
  }

  private _buildForward(
    request: IncomingMessage,
    ticket: Ticket,
    body: Buffer | IncomingMessage,
  ): IForwardRequest {
    const hasBody = request.method !== 'GET' && request.method !== 'HEAD';
    const { shutdown } = this._options;
    // The rest of a running stream is no new work.
    const isResume = request.headers[STREAM_HEADER] !== undefined;
    return {
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: copyForwardHeaders(request, ticket.requestId),
      body: hasBody ? body : undefined,
      timeoutMs: ticket.deadlineMs,
      mayBegin: () => (isResume ? !shutdown.hasEnded : !shutdown.hasBegun),
    };
  }

  private async _forwardClaimed(
    request: IncomingMessage,
    response: ServerResponse,
    ticket: Ticket,
    signal: AbortSignal,
  ): Promise<void> {
    // The body must be complete before the claim is accepted: if the caller disconnects, nothing has run.
    const body = await readRequestBody(request);
    if (body === undefined || !this._claims.accept(ticket.claimId, ticket.claimAttempt)) {
      this._refuse(request, response, ticket, RefusalReason.CLAIM_SEEN);
      return;
    }
    let answer: Answer | undefined;
    const result = await runWithTimeout(signal, ticket.deadlineMs, async (limited) =>
      forwardOnNewConnection(
        this._options.targetAddress,
        this._buildForward(request, ticket, body),
        limited,
        async (reply) => {
          answer = await convertAnswer(reply);
        },
      ),
    );
    this._recordOutcome(
      ticket,
      result.ok ? answer : undefined,
      result.err ? result.val : undefined,
    );
    if (answer === undefined) {
      const failure = result.err ? result.val : undefined;
      this._answerFailure(response, ticket, failure ?? { kind: 'broken', message: 'no answer' });
      return;
    }
    response.writeHead(answer.status, {
      ...answer.headers,
      [RECEIPT_HEADER]: this._formatReceipt(ticket, true, RefusalReason.UNSPECIFIED),
    });
    response.end(answer.body);
  }

  private _recordOutcome(
    ticket: Ticket,
    answer: Answer | undefined,
    failure: ForwardFailure | undefined,
  ): void {
    if (answer !== undefined) {
      this._claims.finish(ticket.claimId, ticket.claimAttempt, answer);
    } else if (failure !== undefined && failure.kind !== 'broken') {
      this._claims.markNotRun(ticket.claimId, ticket.claimAttempt);
    } else {
      this._claims.markUnknown(ticket.claimId, ticket.claimAttempt);
    }
  }

  private async _relay(
    reply: IHttpAnswer,
    response: ServerResponse,
    ticket: Ticket,
  ): Promise<void> {
    const echoedId = reply.headers[REQUEST_ID_HEADER];
    if (typeof echoedId === 'string' && echoedId !== ticket.requestId) {
      reply.body.destroy();
      this._log.error('target answered with the id of another request', {
        requestId: ticket.requestId,
      });
      const message = 'the target answered with the id of another request';
      this._answerFailure(response, ticket, { kind: 'broken', message });
      return;
    }
    const headers = copyAnswerHeaders(reply.headers);
    headers[RECEIPT_HEADER] = this._formatReceipt(ticket, true, RefusalReason.UNSPECIFIED);
    const streamId = reply.headers['x-stream-id'];
    if (typeof streamId === 'string') {
      headers[STREAM_HEADER] = streamId;
    }
    response.writeHead(reply.statusCode, headers);
    response.flushHeaders();
    await relayBody(reply.body, response, () => {
      this._options.prompts?.end(ticket.requestId, true, this._options.clock.now());
    });
  }

  private _refuse(
    request: IncomingMessage,
    response: ServerResponse,
    ticket: Ticket,
    reason: RefusalReason,
  ): void {
    request.resume();
    response.writeHead(REFUSED_STATUS, {
      [RECEIPT_HEADER]: this._formatReceipt(ticket, false, reason),
    });
    response.end();
  }

  private _answerFailure(response: ServerResponse, ticket: Ticket, failure: ForwardFailure): void {
    if (response.headersSent || response.destroyed) {
      response.destroy();
      return;
    }
    const isNotRun = failure.kind !== 'broken';
    const reason = REASONS[failure.kind];
    response.writeHead(isNotRun ? REFUSED_STATUS : OUTCOME_UNKNOWN_STATUS, {
      [RECEIPT_HEADER]: this._formatReceipt(ticket, !isNotRun, reason),
    });
    response.end();
  }

  private _formatReceipt(ticket: Ticket, ran: boolean, refusal: RefusalReason): string {
    const state = this._watcher.state;
    const { prompts, clock } = this._options;
    const isBusy = refusal === RefusalReason.BUSY;
    const estimate = isBusy ? prompts?.estimate(ticket, clock.now()) : undefined;
    return encodeHeader(
      ReceiptSchema,
      create(ReceiptSchema, {
        cachedPromptTokens: estimate?.cachedTokens ?? 0,
        requestId: ticket.requestId,
        ran,
        refusal,
        sidecarIncarnation: this._options.getGateState().sidecarIncarnation,
        targetIncarnation: state.incarnation,
        load: addWaitEstimate(state.load, prompts, clock.now()),
      }),
    );
  }
}

function buildResume(forward: IForwardRequest, streamId: string): IForwardRequest {
  const path = `/v1/streams/${encodeURIComponent(streamId)}`;
  return { ...forward, method: 'GET', path, body: undefined };
}

function copyAnswerHeaders(headers: IHttpAnswer['headers']): Record<string, string> {
  const copy: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (typeof value === 'string' && !HOP_BY_HOP_HEADERS.has(name) && !name.startsWith('x-rww-')) {
      copy[name] = value;
    }
  }
  return copy;
}

/** Returns undefined when the connection broke before the body was complete. */
async function readRequestBody(request: IncomingMessage): Promise<Buffer | undefined> {
  const body = new ByteBuffer();
  try {
    for await (const part of request) {
      body.append(part as Buffer);
    }
    return body.take();
  } catch {
    return undefined;
  }
}

/**
 * When the connection breaks on one side, the other one is destroyed, so the entry sees an incomplete
 * answer.
 */
async function relayBody(
  body: AnswerBody,
  response: ServerResponse,
  onFirstChunk: () => void,
): Promise<void> {
  let isFirst = true;
  try {
    await body.read((chunk) => {
      if (isFirst) {
        isFirst = false;
        onFirstChunk();
      }
      if (!response.write(chunk)) {
        body.pause();
        response.once('drain', () => {
          body.resume();
        });
      }
    });
    response.end();
  } catch {
    body.destroy();
    response.destroy();
  }
}

async function convertAnswer(reply: IHttpAnswer): Promise<Answer> {
  const body = await readAnswer(reply.body);
  const headers = copyAnswerHeaders(reply.headers);
  delete headers['content-length'];
  return create(AnswerSchema, { status: reply.statusCode, headers, body });
}
