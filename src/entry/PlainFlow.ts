/** Flow of repeatable calls of plain services, on routes with and without a key. */
import { AnswerTooLargeError, readAnswer } from '../common/HttpAnswer.js';
import type { IDisposable } from '../common/Lifecycle.js';
import { Err, type Result } from '../common/Result.js';
import { estimateTokens } from '../policy/PrefixChain.js';
import type { TargetChooser, IChooseInput } from './TargetChooser.js';
import type { Dispatcher, IAnsweredDispatch, IOutgoingRequest } from './Dispatcher.js';
import { createFailure, sendFailure, type IHttpFailure } from './Failures.js';
import { pickAnswerHeaders, pickRequestHeaders } from './ForwardHeaders.js';
import type { OpenRequests } from './OpenRequests.js';
import {
  describeEndReason,
  describeNotRun,
  recordPlainEnd,
  recordRefusal,
} from './RequestOutcomes.js';
import type { QueueStage } from './QueueStage.js';
import type { IAdmitter, IFlowServices, IRequestContext } from './Types.js';
import { sendAnswer } from './BufferedAnswer.js';

/** Rounds of dispatch for one call, the first one included; repeated after an incomplete answer. */
const MAX_DISPATCH_ROUNDS = 2;

/** Number of tokens that a plain call is charged, estimated from its body; at least one. */
export function countPlainTokens(body: Buffer): number {
  return Math.max(1, estimateTokens(body.length));
}

/** Builds the input for the choice of a plain target. */
export function buildPlainInput(context: IRequestContext, body: Buffer): IChooseInput {
  return {
    requestId: context.requestId,
    clientAccount: context.caller?.account.id ?? '',
    service: context.service.name,
    model: '',
    prompt: Buffer.alloc(0),
    promptTokens: countPlainTokens(body),
    priority: context.caller?.account.priority ?? 0,
    deadlineMs: context.open.deadlineAt,
  };
}

/**
 * Charges a plain call to its client account and waits for a dispatch slot. The slot has to be disposed of.
 * A call that gets no slot is refunded.
 */
export async function admitPlainCall(
  admitter: IAdmitter,
  queue: QueueStage,
  context: IRequestContext,
  body: Buffer,
): Promise<Result<IDisposable, IHttpFailure>> {
  const account = context.caller?.account;
  const tokens = countPlainTokens(body);
  if (account === undefined) {
    return queue.acquire(context, tokens);
  }
  const admitted = await admitter.admit(account, tokens, context.open.signal);
  if (admitted.err) {
    return Err(describeNotRun(context, admitted.val));
  }
  const slot = await queue.acquire(context, tokens);
  admitted.val.settle(slot.ok ? tokens : 0);
  return slot;
}

/** Serves repeatable calls of plain services: admits, dispatches and relays them, with retries. */
export class PlainFlow {
  constructor(
    private readonly _admitter: IAdmitter,
    private readonly _queue: QueueStage,
    private readonly _chooser: TargetChooser,
    private readonly _dispatcher: Dispatcher,
    private readonly _openRequests: OpenRequests,
    private readonly _services: IFlowServices,
  ) {}

  public async run(context: IRequestContext, body: Buffer): Promise<void> {
    const slot = await admitPlainCall(this._admitter, this._queue, context, body);
    if (slot.err) {
      this._refuse(context, slot.val);
      return;
    }
    try {
      await this._serve(context, body);
    } finally {
      slot.val.dispose();
    }
  }

  private async _serve(context: IRequestContext, body: Buffer): Promise<void> {
    const triedTargets = new Set<string>();
    for (let round = 1; round <= MAX_DISPATCH_ROUNDS; round++) {
      const dispatched = await this._dispatcher.run(
        context,
        buildPlainInput(context, body),
        () => buildOutgoingRequest(context, body),
        triedTargets,
      );
      if (dispatched.err) {
        this._refuse(context, describeEndReason(context) ?? dispatched.val);
        return;
      }
      if (await this._relay(context, dispatched.val)) {
        return;
      }
      triedTargets.add(dispatched.val.choice.view.id);
    }
    this._refuse(
      context,
      createFailure('target_failed', 'The targets broke off; try again.', 'unknown'),
    );
  }

  /** Relays the answer. False if it was incomplete and the call may be dispatched again. */
  private async _relay(context: IRequestContext, dispatched: IAnsweredDispatch): Promise<boolean> {
    const { response: answer } = dispatched.outcome;
    const { clock } = this._services;
    let body: Buffer;
    try {
      body = await readAnswer(answer.body);
    } catch (error) {
      answer.body.destroy();
      this._chooser.recordFailure(dispatched.choice, clock.now());
      return this._handleReadError(context, error);
    }
    this._chooser.recordAnswer(
      dispatched.choice,
      { cachedPromptTokens: 0, ttftMs: clock.now() - context.startedAt, load: undefined },
      clock.now(),
    );
    this._openRequests.checkRequest(context.open, clock.now());
    await context.open.waitReleased();
    const end = describeEndReason(context);
    if (end !== undefined) {
      this._refuse(context, end);
      return true;
    }
    const headers = pickAnswerHeaders(answer.headers);
    sendAnswer(context.response, answer.statusCode, headers, body, context.requestId);
    recordPlainEnd(this._services, context, {
      status: answer.statusCode,
      target: dispatched.choice.view.id,
    });
    return true;
  }

  /** Handles an answer that could not be read. False if the call may be dispatched again. */
  private _handleReadError(context: IRequestContext, error: unknown): boolean {
    if (error instanceof AnswerTooLargeError) {
      const message = `The answer of the service is too large: ${error.message}.`;
      this._refuse(context, createFailure('target_failed', message, 'yes'));
      return true;
    }
    if (!context.open.signal.aborted) {
      return false;
    }
    const failure = describeEndReason(context);
    if (failure !== undefined) {
      this._refuse(context, failure);
    }
    return true;
  }

  private _refuse(context: IRequestContext, failure: IHttpFailure): void {
    recordRefusal(this._services, context, failure);
    sendFailure(context.response, failure, context.requestId);
  }
}

/** Builds the headers and body for the target. */
export function buildOutgoingRequest(context: IRequestContext, body: Buffer): IOutgoingRequest {
  const { method, headers } = context.request;
  const hasBody = method !== 'GET' && method !== 'HEAD';
  return {
    headers: pickRequestHeaders(headers),
    body: hasBody ? body : undefined,
    outputTokens: 0,
  };
}
