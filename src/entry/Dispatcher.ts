/** Sixth stage of the request pipeline: dispatches a repeatable request and retries it. */
import { Err, Ok, type Result } from '../common/Result.js';
import { addJitter, sleep } from '../common/Tasks.js';
import { RefusalReason, type Receipt } from '../gen/redwingwharf/v1/control_pb.js';
import type { RetryBudget } from '../admission/RetryBudget.js';
import type { TargetChooser, IChoice, IChooseInput } from './TargetChooser.js';
import type { DispatchClient, DispatchOutcome, IDispatch } from './DispatchClient.js';
import { createTicket } from './DispatchClient.js';
import { createFailure, createRefusal, type IHttpFailure, type Ran } from './Failures.js';
import { describeRunRoute, describeStop } from './RequestOutcomes.js';
import type { IFlowServices, IRequestContext } from './Types.js';

/** Maximum number of dispatches in one `run`, the first one included. */
const MAX_ATTEMPTS = 4;

const RETRY_DELAY_MS = 20;

/** Maximum number of prefix chain hashes in a ticket; bounds its header to about 600 bytes. */
const MAX_CHAIN_HASHES = 24;

/** By this time a new target has announced itself. */
const NO_TARGET_RETRY_AFTER_MS = 1_000;

/** A dispatch whose answer has begun, with the target that answers. */
export interface IAnsweredDispatch {
  readonly choice: IChoice;
  readonly dispatch: IDispatch;
  readonly outcome: Extract<DispatchOutcome, { kind: 'answered' }>;
}

/** Headers and body for the chosen target. */
export interface IOutgoingRequest {
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | undefined;
  /** Tokens that the answer may have; 0 for a plain call. */
  readonly outputTokens: number;
}

/**
 * Chooses a target for a repeatable request, dispatches it and retries on other targets within the retry
 * budget.
 */
export class Dispatcher {
  constructor(
    private readonly _chooser: TargetChooser,
    private readonly _client: DispatchClient,
    private readonly _budget: RetryBudget,
    private readonly _services: IFlowServices,
  ) {}

  /**
   * Returns the first answer, or the failure if no further attempt is allowed. Targets that fail are added
   * to `triedTargets`, and targets in it are not chosen.
   */
  public async run(
    context: IRequestContext,
    input: IChooseInput,
    build: (choice: IChoice) => IOutgoingRequest,
    triedTargets: Set<string> = new Set<string>(),
  ): Promise<Result<IAnsweredDispatch, IHttpFailure>> {
    const { clock } = this._services;
    this._budget.recordRequest(clock.now());
    let ran: Ran = 'no';
    for (let attempt = 1; ; attempt++) {
      const choice = this._chooser.choose(input, triedTargets, clock.now());
      if (choice === undefined) {
        return Err(describeNoTarget(ran));
      }
      const dispatch = this._buildDispatch(context, choice, build(choice));
      this._recordRoute(context, choice, attempt);
      const outcome = await this._client.dispatch(dispatch);
      if (outcome.kind === 'answered') {
        return Ok({ choice, dispatch, outcome });
      }
      if (outcome.kind === 'stopping') {
        return Err(describeStop(context.open));
      }
      if (isBusy(outcome)) {
        this._chooser.recordBusy(choice, outcome.receipt, clock.now());
        this._services.metrics.increment('retries_total', { cause: 'busy' });
        if (attempt < MAX_ATTEMPTS) {
          continue;
        }
      } else {
        this._chooser.recordFailure(choice, clock.now());
      }
      ran = outcome.kind === 'unknown' ? 'unknown' : ran;
      const mayRetry = await this._prepareRetry(context, outcome, choice, triedTargets, attempt);
      if (!mayRetry) {
        return Err(describeRetriesExhausted(ran));
      }
    }
  }

  private _buildDispatch(
    context: IRequestContext,
    choice: IChoice,
    outgoing: IOutgoingRequest,
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
        prefixChain: encodePrefixChain(choice.routeRequest.chain),
        promptTokens: choice.routeRequest.promptTokens,
        maxTtftMs: encodeMaxTtft(choice.decision.maxTtftMs),
        priority: context.caller?.account.priority ?? 0,
      }),
      target: choice.target,
      method: context.request.method ?? 'GET',
      path: context.path,
      headers: outgoing.headers,
      body: outgoing.body,
      signal: context.open.signal,
      open: context.open,
      run: {
        route: describeRunRoute(context),
        outputTokens: outgoing.outputTokens,
        expectedFirstMs: outgoing.outputTokens > 0 ? choice.decision.estimatedTtftMs : 0,
        isRepeatable: true,
        deadlineAt: context.open.deadlineAt,
      },
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

  /** Charges the retry budget and waits before the next attempt; false if none is allowed. */
  private async _prepareRetry(
    context: IRequestContext,
    outcome: Extract<DispatchOutcome, { kind: 'not_run' | 'unknown' }>,
    choice: IChoice,
    triedTargets: Set<string>,
    attempt: number,
  ): Promise<boolean> {
    const { clock, feedSync, metrics } = this._services;
    const { signal } = context.open;
    if (signal.aborted || attempt >= MAX_ATTEMPTS || !this._budget.trySpend(clock.now())) {
      return false;
    }
    metrics.increment('retries_total', { cause: outcome.kind });
    if (outcome.kind === 'not_run' && outcome.reason === RefusalReason.OLD_REVISION) {
      await feedSync.syncOnce(signal).catch(() => undefined);
    } else {
      triedTargets.add(choice.view.id);
    }
    await sleep(addJitter(RETRY_DELAY_MS), signal);
    return !signal.aborted;
  }
}

/**
 * True if the target refused because it is busy. Such a refusal costs one round trip and no work of the
 * target, so it is not charged to the retry budget. After two of them the policy sets no `maxTtftMs`.
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

/** Encodes the limit for a ticket, in which zero means no limit. */
function encodeMaxTtft(maxTtftMs: number): number {
  return Number.isFinite(maxTtftMs) ? Math.max(1, Math.round(maxTtftMs)) : 0;
}

function encodePrefixChain(chain: readonly string[]): Uint8Array[] {
  return chain.slice(0, MAX_CHAIN_HASHES).map((hash) => Buffer.from(hash, 'hex'));
}

function describeNoTarget(ran: Ran): IHttpFailure {
  const message = 'No target of this service is available; try again.';
  return ran === 'no'
    ? createRefusal('no_target', message, NO_TARGET_RETRY_AFTER_MS)
    : createFailure('target_failed', message, ran, NO_TARGET_RETRY_AFTER_MS);
}

function describeRetriesExhausted(ran: Ran): IHttpFailure {
  const message = 'The targets did not answer; try again.';
  return ran === 'no'
    ? createRefusal('no_target', message, NO_TARGET_RETRY_AFTER_MS)
    : createFailure('target_failed', message, ran, NO_TARGET_RETRY_AFTER_MS);
}
