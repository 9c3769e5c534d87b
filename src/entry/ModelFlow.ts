/** Completion requests: admit, choose, dispatch, relay and settle. */
import { readAnswer } from '../common/HttpAnswer.js';
import { readUsage } from './SseScanner.js';
import { pickAnswerHeaders, pickRequestHeaders } from './ForwardHeaders.js';
import { convertLoad, type Chooser, type IChoice, type IChooseInput } from './Chooser.js';
import type { DispatchClient } from './DispatchClient.js';
import type { Dispatcher, IDispatched, IOutgoing } from './Dispatcher.js';
import { fail, sendFailure, type IHttpFailure } from './Failures.js';
import type { OpenRequests } from './OpenRequests.js';
import type { IModelRequest } from './Parse.js';
import type { QueueStage } from './QueueStage.js';
import { StreamRelay } from './StreamRelay.js';
import { describeEnd, describeNotRun, recordRefusal } from './Outcomes.js';
import type { IAdmitter, IFlowServices, IRequestContext } from './Types.js';
import { sendAnswer } from './WholeAnswer.js';

/** Fresh starts of one request after a target broke off before anything was relayed. */
const MAX_STARTS = 3;

/** What was served, for settlement and the log. */
interface IServed {
  readonly result: 'complete' | 'failed' | 'ended';
  readonly outputTokens: number;
  readonly cachedPromptTokens: number;
  readonly target: string | undefined;
  /** True when a target may have computed the prompt. */
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

/** Serves completion requests of authenticated callers. */
export class ModelFlow {
  constructor(
    private readonly _admitter: IAdmitter,
    private readonly _queue: QueueStage,
    private readonly _chooser: Chooser,
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
    const place = await this._queue.enter(context, tokens);
    if (place.err) {
      admitted.val.settle(0);
      this._refuse(context, place.val);
      return;
    }
    let served = NOTHING_SERVED;
    try {
      served = await this._serve(context, model, outputLimit);
    } finally {
      place.val.dispose();
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
    const tried = new Set<string>();
    for (let start = 1; start <= MAX_STARTS; start++) {
      const dispatched = await this._dispatcher.run(
        context,
        input,
        (choice) => buildOutgoing(context, model, choice, outputLimit),
        tried,
      );
      if (dispatched.err) {
        return this._endUnanswered(context, dispatched.val);
      }
      const served = await this._relay(context, model, dispatched.val);
      if (served !== undefined) {
        return served;
      }
      tried.add(dispatched.val.choice.view.id);
    }
    const message = 'Several targets broke off; try again.';
    this._refuse(context, fail('target_failed', message, 'unknown'));
    return NOTHING_SERVED;
  }

  /** No target answered. A request that was ended from inside may be running until it is cancelled. */
  private _endUnanswered(context: IRequestContext, failure: IHttpFailure): IServed {
    if (context.open.signal.aborted && failure.ran !== 'no') {
      return this._endEarly(context, undefined);
    }
    this._refuse(context, describeNotRun(context, failure));
    return NOTHING_SERVED;
  }

  /** Returns undefined when the target broke off and nothing reached the caller. */
  private async _relay(
    context: IRequestContext,
    model: IModelRequest,
    dispatched: IDispatched,
  ): Promise<IServed | undefined> {
    const isStream = model.isStream && dispatched.outcome.response.statusCode === 200;
    const served = isStream
      ? await this._relayStream(context, dispatched)
      : await this._relayWhole(context, dispatched);
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
    dispatched: IDispatched,
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
    const common = {
      target: choice.view.id,
      mayHaveRun: true,
      ttftMs: firstEventAt === undefined ? undefined : firstEventAt - context.startedAt,
    };
    switch (end.kind) {
      case 'complete':
        return {
          ...common,
          result: 'complete',
          outputTokens: end.usage?.outputTokens ?? 0,
          cachedPromptTokens: end.usage?.cachedPromptTokens ?? 0,
        };
      case 'nothing_relayed':
        return undefined;
      case 'ended':
        return { ...common, result: 'ended', outputTokens: end.events, cachedPromptTokens: 0 };
    }
  }

  private async _relayWhole(
    context: IRequestContext,
    dispatched: IDispatched,
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
   * The request was ended from inside before its answer was complete. The target may have generated
   * up to the limit, so nothing of the reservation is refunded.
   */
  private _endEarly(context: IRequestContext, dispatched: IDispatched | undefined): IServed {
    const failure = describeEnd(context);
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

function buildOutgoing(
  context: IRequestContext,
  model: IModelRequest,
  choice: IChoice,
  outputLimit: number,
): IOutgoing {
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
  };
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}
