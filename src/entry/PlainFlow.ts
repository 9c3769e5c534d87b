/** Repeatable calls of plain services and of routes that are open to all. */
import { AnswerTooLargeError, readAnswer } from '../common/HttpAnswer.js';
import type { IDisposable } from '../common/Lifecycle.js';
import { Err, type Result } from '../common/Result.js';
import { estimateTokens } from '../policy/PrefixChain.js';
import type { Chooser, IChooseInput } from './Chooser.js';
import type { Dispatcher, IDispatched } from './Dispatcher.js';
import { fail, sendFailure, type IHttpFailure } from './Failures.js';
import { pickAnswerHeaders, pickRequestHeaders } from './ForwardHeaders.js';
import type { OpenRequests } from './OpenRequests.js';
import { describeEnd, describeNotRun, recordPlainEnd, recordRefusal } from './Outcomes.js';
import type { QueueStage } from './QueueStage.js';
import type { IAdmitter, IFlowServices, IRequestContext } from './Types.js';
import { sendAnswer } from './WholeAnswer.js';

/** Fresh starts after an answer broke off. */
const MAX_STARTS = 2;

/** Tokens that a plain call is charged by its body: at least one. */
export function countPlainTokens(body: Buffer): number {
  return Math.max(1, estimateTokens(body.length));
}

/** What the choice of a plain target depends on. */
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

/** Charges a plain call and waits for its place; a call without a place is not charged. */
export async function enterPlain(
  admitter: IAdmitter,
  queue: QueueStage,
  context: IRequestContext,
  body: Buffer,
): Promise<Result<IDisposable, IHttpFailure>> {
  const account = context.caller?.account;
  const tokens = countPlainTokens(body);
  if (account === undefined) {
    return queue.enter(context, tokens);
  }
  const admitted = await admitter.admit(account, tokens, context.open.signal);
  if (admitted.err) {
    return Err(describeNotRun(context, admitted.val));
  }
  const place = await queue.enter(context, tokens);
  admitted.val.settle(place.ok ? tokens : 0);
  return place;
}

/** Serves calls that may be repeated. */
export class PlainFlow {
  constructor(
    private readonly _admitter: IAdmitter,
    private readonly _queue: QueueStage,
    private readonly _chooser: Chooser,
    private readonly _dispatcher: Dispatcher,
    private readonly _openRequests: OpenRequests,
    private readonly _services: IFlowServices,
  ) {}

  public async run(context: IRequestContext, body: Buffer): Promise<void> {
    const place = await enterPlain(this._admitter, this._queue, context, body);
    if (place.err) {
      this._refuse(context, place.val);
      return;
    }
    try {
      await this._serve(context, body);
    } finally {
      place.val.dispose();
    }
  }

  private async _serve(context: IRequestContext, body: Buffer): Promise<void> {
    const tried = new Set<string>();
    for (let start = 1; start <= MAX_STARTS; start++) {
      const dispatched = await this._dispatcher.run(
        context,
        buildPlainInput(context, body),
        () => buildOutgoing(context, body),
        tried,
      );
      if (dispatched.err) {
        this._refuse(context, describeEnd(context) ?? dispatched.val);
        return;
      }
      if (await this._relay(context, dispatched.val)) {
        return;
      }
      tried.add(dispatched.val.choice.view.id);
    }
    this._refuse(context, fail('target_failed', 'The targets broke off; try again.', 'unknown'));
  }

  /** False when the answer broke off and the call may be repeated. */
  private async _relay(context: IRequestContext, dispatched: IDispatched): Promise<boolean> {
    const { response: answer } = dispatched.outcome;
    const { clock } = this._services;
    let body: Buffer;
    try {
      body = await readAnswer(answer.body);
    } catch (error) {
      answer.body.destroy();
      this._chooser.recordFailure(dispatched.choice, clock.now());
      return this._handleBreak(context, error);
    }
    this._chooser.recordAnswer(
      dispatched.choice,
      { cachedPromptTokens: 0, ttftMs: clock.now() - context.startedAt, load: undefined },
      clock.now(),
    );
    this._openRequests.checkRequest(context.open, clock.now());
    await context.open.waitReleased();
    const end = describeEnd(context);
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

  private _handleBreak(context: IRequestContext, error: unknown): boolean {
    if (error instanceof AnswerTooLargeError) {
      const message = `The answer of the service is too large: ${error.message}.`;
      this._refuse(context, fail('target_failed', message, 'yes'));
      return true;
    }
    if (!context.open.signal.aborted) {
      return false;
    }
    const failure = describeEnd(context);
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

/** Headers and body for the target. */
export function buildOutgoing(
  context: IRequestContext,
  body: Buffer,
): { headers: Record<string, string>; body: Buffer | undefined } {
  const { method, headers } = context.request;
  const hasBody = method !== 'GET' && method !== 'HEAD';
  return { headers: pickRequestHeaders(headers), body: hasBody ? body : undefined };
}
