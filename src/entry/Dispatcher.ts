/** Sixth stage: dispatches a repeatable request and retries it on other targets. */
import { Err, Ok, type Result } from '../common/Result.js';
import { addJitter, sleep } from '../common/Tasks.js';
import { RefusalReason, type Receipt } from '../gen/redwingwharf/v1/control_pb.js';
import type { RetryBudget } from '../admission/RetryBudget.js';
import type { Chooser, IChoice, IChooseInput } from './Chooser.js';
import type { DispatchClient, DispatchOutcome, IDispatch } from './DispatchClient.js';
import { createTicket } from './DispatchClient.js';
import { fail, refuse, type IHttpFailure, type Ran } from './Failures.js';
import type { IFlowServices, IRequestContext } from './Types.js';

/** Tries of one request, on different targets. */
const MAX_TRIES = 4;

const RETRY_PAUSE_MS = 20;

/** Hashes of the prefix chain in a ticket: bounds its header to about 600 bytes. */
const MAX_CHAIN_HASHES = 24;

/** Time in which a new target announces itself. */
const RETRY_NO_TARGET_MS = 1_000;

/** The answering target of a dispatch. */
export interface IDispatched {
  readonly choice: IChoice;
  readonly dispatch: IDispatch;
  readonly outcome: Extract<DispatchOutcome, { kind: 'answered' }>;
}

/** What goes to the target, built for the chosen one. */
export interface IOutgoing {
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | undefined;
}

/** Chooses, dispatches and retries within the retry budget. */
export class Dispatcher {
  constructor(
    private readonly _chooser: Chooser,
    private readonly _client: DispatchClient,
    private readonly _budget: RetryBudget,
    private readonly _services: IFlowServices,
  ) {}

  /** Returns the first answer, or the failure when no further try is allowed. */
  public async run(
    context: IRequestContext,
    input: IChooseInput,
    build: (choice: IChoice) => IOutgoing,
    tried: Set<string> = new Set<string>(),
  ): Promise<Result<IDispatched, IHttpFailure>> {
    const { clock } = this._services;
    this._budget.recordRequest(clock.now());
    let ran: Ran = 'no';
    for (let attempt = 1; ; attempt++) {
      const choice = this._chooser.choose(input, tried, clock.now());
      if (choice === undefined) {
        return Err(describeNoTarget(ran));
      }
      const dispatch = this._buildDispatch(context, choice, build(choice));
      this._recordRoute(context, choice, attempt);
      const outcome = await this._client.dispatch(dispatch);
      if (outcome.kind === 'answered') {
        return Ok({ choice, dispatch, outcome });
      }
      if (isBusy(outcome)) {
        this._chooser.recordBusy(choice, outcome.receipt, clock.now());
        this._services.metrics.increment('retries_total', { cause: 'busy' });
        if (attempt < MAX_TRIES) {
          continue;
        }
      } else {
        this._chooser.recordFailure(choice, clock.now());
      }
      ran = outcome.kind === 'unknown' ? 'unknown' : ran;
      const mayRetry = await this._prepareRetry(context, outcome, choice, tried, attempt);
      if (!mayRetry) {
        return Err(describeGivenUp(ran));
      }
    }
  }

  private _buildDispatch(
    context: IRequestContext,
    choice: IChoice,
    outgoing: IOutgoing,
  ): IDispatch {
    const { clock, feed } = this._services;
    const remainingMs = Math.max(1, Math.round(context.open.deadlineAt - clock.now()));
    return {
      ticket: createTicket(choice.target, {
        requestId: context.requestId,
        clientAccount: context.caller?.account.id ?? '',
        service: context.service.name,
        revision: BigInt(feed.revision),
        deadlineMs: remainingMs,
        cacheSalt: choice.cacheSalt,
        prefixChain: encodeChain(choice.routeRequest.chain),
        promptTokens: choice.routeRequest.promptTokens,
        maxTtftMs: encodeLimit(choice.decision.maxTtftMs),
        priority: context.caller?.account.priority ?? 0,
      }),
      target: choice.target,
      method: context.request.method ?? 'GET',
      path: context.path,
      headers: outgoing.headers,
      body: outgoing.body,
      signal: context.open.signal,
    };
  }

  private _recordRoute(context: IRequestContext, choice: IChoice, attempt: number): void {
    const { decisions, clock, metrics } = this._services;
    this._chooser.recordDispatch(choice, clock.now());
    metrics.increment('dispatches_total', { service: context.service.name });
    decisions.record(context.requestId, attempt === 1 ? 'routed' : 'retried', {
      clientAccount: context.caller?.account.id,
      service: context.service.name,
      target: choice.view.id,
      reason: choice.decision.reason,
      expectedCachedTokens: choice.decision.expectedCachedTokens,
      estimatedTtftMs: Math.round(choice.decision.estimatedTtftMs),
      promptTokens: choice.routeRequest.promptTokens,
      candidates: choice.decision.candidates,
      attempt,
    });
  }

  /** Waits before the next try; false when there is none. */
  private async _prepareRetry(
    context: IRequestContext,
    outcome: Exclude<DispatchOutcome, { kind: 'answered' }>,
    choice: IChoice,
    tried: Set<string>,
    attempt: number,
  ): Promise<boolean> {
    const { clock, feedSync, metrics } = this._services;
    const { signal } = context.open;
    if (signal.aborted || attempt >= MAX_TRIES || !this._budget.trySpend(clock.now())) {
      return false;
    }
    metrics.increment('retries_total', { cause: outcome.kind });
    if (outcome.kind === 'not_run' && outcome.reason === RefusalReason.OLD_REVISION) {
      await feedSync.syncOnce(signal).catch(() => undefined);
    } else {
      tried.add(choice.view.id);
    }
    await sleep(addJitter(RETRY_PAUSE_MS), signal);
    return !signal.aborted;
  }
}

/**
 * A refusal of a busy target costs one hop and no work, so it is not charged to the retry budget. The
 * policy sets no limit after two of them.
 */
function isBusy(
  outcome: DispatchOutcome,
): outcome is Extract<DispatchOutcome, { kind: 'not_run' }> & { readonly receipt: Receipt } {
  return (
    outcome.kind === 'not_run' &&
    outcome.reason === RefusalReason.BUSY &&
    outcome.receipt !== undefined
  );
}

/** Zero stands for no limit. */
function encodeLimit(maxTtftMs: number): number {
  return Number.isFinite(maxTtftMs) ? Math.max(1, Math.round(maxTtftMs)) : 0;
}

function encodeChain(chain: readonly string[]): Uint8Array[] {
  return chain.slice(0, MAX_CHAIN_HASHES).map((hash) => Buffer.from(hash, 'hex'));
}

function describeNoTarget(ran: Ran): IHttpFailure {
  const message = 'No target of this service is available; try again.';
  return ran === 'no'
    ? refuse('no_target', message, RETRY_NO_TARGET_MS)
    : fail('target_failed', message, ran, RETRY_NO_TARGET_MS);
}

function describeGivenUp(ran: Ran): IHttpFailure {
  const message = 'The targets did not answer; try again.';
  return ran === 'no'
    ? refuse('no_target', message, RETRY_NO_TARGET_MS)
    : fail('target_failed', message, ran, RETRY_NO_TARGET_MS);
}
