/** Flow of completion requests: admit, queue, dispatch, relay and settle. */
import { readAnswer } from '../common/HttpAnswer.js';
import { readUsage } from './SseScanner.js';
import { pickAnswerHeaders, pickRequestHeaders } from './ForwardHeaders.js';
import {
  convertLoad,
  type TargetChooser,
  type IChoice,
  type IChooseInput,
} from './TargetChooser.js';
import type { DispatchClient } from './DispatchClient.js';
import type { Dispatcher, IAnsweredDispatch, IOutgoingRequest } from './Dispatcher.js';
import { createFailure, sendFailure, type IHttpFailure } from './Failures.js';
import type { OpenRequests } from './OpenRequests.js';
import type { IModelRequest } from './Parse.js';
import type { QueueStage } from './QueueStage.js';
import { StreamRelay } from './StreamRelay.js';
import { describeEndReason, describeNotRun, recordRefusal } from './RequestOutcomes.js';
import type { IAdmitter, IFlowServices, IRequestContext } from './Types.js';
import { sendAnswer } from './BufferedAnswer.js';

/**
 * Rounds of dispatch for one request, the first one included. A round is repeated when the connection to
 * the target broke before anything was relayed.
 */
const MAX_DISPATCH_ROUNDS = 3;

/** How a request was served, for the settlement of its tokens and for the log. */
interface IServed {
  readonly result: 'complete' | 'failed' | 'ended';
  readonly outputTokens: number;
  readonly cachedPromptTokens: number;
  readonly target: string | undefined;
  /** True if a target may have processed the prompt. */
  readonly mayHaveRun: boolean;
  readonly ttftMs: number | undefined;
}

const NOTHING_SERVED: IServed = {
  result: 'failed',
  outputTokens: 0,
  cachedPromptTokens: 0,
  target: undefined,
  mayHaveRun: false,
  ttftMs: undefined,
};

/**
 * Serves completion requests of authenticated callers: reserves their tokens, waits for a dispatch slot,
 * relays the answer, and refunds the tokens that were not used.
 */
export class ModelFlow {
  constructor(
    private readonly _admitter: IAdmitter,
    private readonly _queue: QueueStage,
    private readonly _chooser: TargetChooser,
    private readonly _dispatcher: Dispatcher,
    private readonly _client: DispatchClient,
    private readonly _openRequests: OpenRequests,
    private readonly _services: IFlowServices,
  ) {}

  public async run(context: IRequestContext, model: IModelRequest): Promise<void> {
    const account = context.caller?.account;
    if (account === undefined) {
      return;
    }
    const outputLimit = model.maxTokens ?? context.service.defaultOutputTokens;
    const tokens = model.promptTokens + outputLimit;
    const admitted = await this._admitter.admit(account, tokens, context.open.signal);
    if (admitted.err) {
      this._refuse(context, describeNotRun(context, admitted.val));
      return;
    }
    const slot = await this._queue.acquire(context, tokens);
    if (slot.err) {
      admitted.val.settle(0);
      this._refuse(context, slot.val);
      return;
    }
    let served = NOTHING_SERVED;
    try {
      served = await this._serve(context, model, outputLimit);
    } finally {
      slot.val.dispose();
      const promptTokens = served.mayHaveRun ? model.promptTokens : 0;
      admitted.val.settle(promptTokens + Math.min(outputLimit, served.outputTokens));
      this._recordEnd(context, served);
    }
  }

  private async _serve(
    context: IRequestContext,
    model: IModelRequest,
    outputLimit: number,
  ): Promise<IServed> {
    const input = buildInput(context, model);
    const triedTargets = new Set<string>();
    for (let round = 1; round <= MAX_DISPATCH_ROUNDS; round++) {
      const dispatched = await this._dispatcher.run(
        context,
        input,
        (choice) => buildOutgoingRequest(context, model, choice, outputLimit),
        triedTargets,
      );
      if (dispatched.err) {
        return this._endUnanswered(context, dispatched.val);
      }
      const served = await this._relay(context, model, dispatched.val);
      if (served !== undefined) {
        return served;
      }
      triedTargets.add(dispatched.val.choice.view.id);
    }
    const message = 'Several targets broke off; try again.';
    this._refuse(context, createFailure('target_failed', message, 'unknown'));
    return NOTHING_SERVED;
  }

  /**
   * Ends a request that no target answered. If the request was ended early after a dispatch, a target may
   * still be running it.
   */
  private _endUnanswered(context: IRequestContext, failure: IHttpFailure): IServed {
    if (context.open.signal.aborted && failure.ran !== 'no') {
      return this._endEarly(context, undefined);
    }
    this._refuse(context, describeNotRun(context, failure));
    return NOTHING_SERVED;
  }

  /** Relays the answer. Undefined if the target's connection broke before anything reached the caller. */
  private async _relay(
    context: IRequestContext,
    model: IModelRequest,
    dispatched: IAnsweredDispatch,
  ): Promise<IServed | undefined> {
    const isStream = model.isStream && dispatched.outcome.response.statusCode === 200;
    const served = isStream
      ? await this._relayStream(context, dispatched)
      : await this._relayBuffered(context, dispatched);
    const now = this._services.clock.now();
    if (served?.result === 'complete') {
      const { receipt } = dispatched.outcome;
      this._chooser.recordAnswer(
        dispatched.choice,
        {
          cachedPromptTokens: served.cachedPromptTokens,
          ttftMs: served.ttftMs ?? now - context.startedAt,
          load: convertLoad(receipt.load, now),
        },
        now,
      );
    } else {
      this._chooser.recordFailure(dispatched.choice, now);
    }
    return served;
  }

  private async _relayStream(
    context: IRequestContext,
    dispatched: IAnsweredDispatch,
  ): Promise<IServed | undefined> {
    const { choice } = dispatched;
    const { clock, metrics } = this._services;
    const relay = new StreamRelay(context, this._client, this._openRequests, this._services, () => {
      metrics.observe('ttft_ms', clock.now() - context.startedAt, {
        service: context.service.name,
      });
      this._chooser.recordFirstToken(choice, clock.now());
    });
    const end = await relay.relay(dispatched);
    const firstEventAt = relay.firstEventAt;
    const commonFields = {
      target: choice.view.id,
      mayHaveRun: true,
      ttftMs: firstEventAt === undefined ? undefined : firstEventAt - context.startedAt,
    };
    switch (end.kind) {
      case 'complete':
        return {
          ...commonFields,
          result: 'complete',
          outputTokens: end.usage?.outputTokens ?? 0,
          cachedPromptTokens: end.usage?.cachedPromptTokens ?? 0,
        };
      case 'nothing_relayed':
        return undefined;
      case 'ended':
        return {
          ...commonFields,
          result: 'ended',
          outputTokens: end.eventCount,
          cachedPromptTokens: 0,
        };
    }
  }

  private async _relayBuffered(
    context: IRequestContext,
    dispatched: IAnsweredDispatch,
  ): Promise<IServed | undefined> {
    const { response: answer } = dispatched.outcome;
    const { open, response, requestId } = context;
    let body: Buffer;
    try {
      body = await readAnswer(answer.body);
    } catch {
      answer.body.destroy();
      return open.signal.aborted ? this._endEarly(context, dispatched) : undefined;
    }
    this._openRequests.checkRequest(open, this._services.clock.now());
    await open.waitReleased();
    if (open.signal.aborted) {
      return this._endEarly(context, dispatched);
    }
    sendAnswer(response, answer.statusCode, pickAnswerHeaders(answer.headers), body, requestId);
    const usage = readUsage(parseJson(body));
    return {
      result: answer.statusCode < 400 ? 'complete' : 'failed',
      outputTokens: usage?.outputTokens ?? 0,
      cachedPromptTokens: usage?.cachedPromptTokens ?? 0,
      target: dispatched.choice.view.id,
      mayHaveRun: true,
      ttftMs: undefined,
    };
  }

  /**
   * Ends a request whose key, deadline or caller ended it before its answer was complete. The target may
   * have generated tokens up to the limit, so nothing of the reservation is refunded.
   */
  private _endEarly(context: IRequestContext, dispatched: IAnsweredDispatch | undefined): IServed {
    const failure = describeEndReason(context);
    if (failure !== undefined) {
      this._refuse(context, failure);
    }
    return {
      ...NOTHING_SERVED,
      result: 'ended',
      outputTokens: Number.MAX_SAFE_INTEGER,
      target: dispatched?.choice.view.id,
      mayHaveRun: true,
    };
  }

  private _refuse(context: IRequestContext, failure: IHttpFailure): void {
    recordRefusal(this._services, context, failure);
    sendFailure(context.response, failure, context.requestId);
  }

  private _recordEnd(context: IRequestContext, served: IServed): void {
    const { clock, decisions, metrics } = this._services;
    const durationMs = clock.now() - context.startedAt;
    metrics.observe('request_ms', durationMs, { service: context.service.name });
    metrics.increment('requests_total', { service: context.service.name, result: served.result });
    metrics.increment('cached_prompt_tokens_total', {}, served.cachedPromptTokens);
    decisions.record(context.requestId, 'finished', {
      ...served,
      endReason: context.open.endReason,
      ttftMs: served.ttftMs === undefined ? undefined : Math.round(served.ttftMs),
      durationMs: Math.round(durationMs),
    });
  }
}

function buildInput(context: IRequestContext, model: IModelRequest): IChooseInput {
  return {
    requestId: context.requestId,
    clientAccount: context.caller?.account.id ?? '',
    service: context.service.name,
    model: model.model,
    prompt: Buffer.from(model.prompt),
    promptTokens: model.promptTokens,
    priority: context.caller?.account.priority ?? 0,
    deadlineMs: context.open.deadlineAt,
  };
}

/** Builds the request for the engine, with the cache salt, priority and output limit that the entry sets. */
function buildOutgoingRequest(
  context: IRequestContext,
  model: IModelRequest,
  choice: IChoice,
  outputLimit: number,
): IOutgoingRequest {
  const body = {
    ...model.body,
    max_tokens: outputLimit,
    max_completion_tokens: undefined,
    cache_salt: choice.cacheSalt,
    priority: context.caller?.account.priority ?? 0,
    ...(model.isStream ? { stream_options: { include_usage: true } } : {}),
  };
  return {
    headers: {
      ...pickRequestHeaders(context.request.headers),
      'content-type': 'application/json',
    },
    body: Buffer.from(JSON.stringify(body)),
    outputTokens: outputLimit,
  };
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}
