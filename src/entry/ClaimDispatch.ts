/** Sends a claimed call to the sidecar that it is bound to and determines its outcome. */
import { create } from '@bufbuild/protobuf';
import { readAnswer, type IHttpAnswer } from '../common/HttpAnswer.js';
import { createTimeoutSignal } from '../common/Tasks.js';
import { RefusalReason } from '../gen/redwingwharf/v1/control_pb.js';
import { AnswerSchema } from '../gen/redwingwharf/v1/state_pb.js';
import type { TargetChooser, IChoice } from './TargetChooser.js';
import type { ClaimOutcome, IClaimAttempt } from './ClaimTypes.js';
import { createTicket, type DispatchClient } from './DispatchClient.js';
import { pickAnswerHeaders } from './ForwardHeaders.js';
import type { OutcomeQuery } from './OutcomeQuery.js';
import { buildOutgoingRequest } from './PlainFlow.js';
import { describeRunRoute } from './RequestOutcomes.js';
import type { IFlowServices, IRequestContext } from './Types.js';

/**
 * Dispatches one attempt of a claimed call. If the answer does not arrive completely, it queries the
 * sidecar for the outcome.
 */
export class ClaimDispatch {
  constructor(
    private readonly _chooser: TargetChooser,
    private readonly _client: DispatchClient,
    private readonly _outcomeQuery: OutcomeQuery,
    private readonly _services: IFlowServices,
  ) {}

  public async dispatch(
    context: IRequestContext,
    body: Buffer,
    choice: IChoice,
    attempt: IClaimAttempt,
  ): Promise<ClaimOutcome> {
    const { clock, feed } = this._services;
    this._chooser.recordDispatch(choice, clock.now());
    const outgoing = buildOutgoingRequest(context, body);
    const outcome = await this._client.dispatch({
      ticket: createTicket(choice.target, {
        requestId: context.requestId,
        clientAccount: context.caller?.account.id ?? '',
        service: context.service.name,
        revision: BigInt(feed.revision),
        deadlineMs: Math.max(1, Math.round(context.open.deadlineAt - clock.now())),
        claimId: attempt.claimId,
        claimAttempt: attempt.attempt,
        nonRepeatable: true,
      }),
      target: choice.target,
      method: context.request.method ?? 'POST',
      path: context.path,
      headers: outgoing.headers,
      body: outgoing.body,
      // Not aborted when the caller disconnects, because the outcome of the call has to be recorded.
      signal: createTimeoutSignal(context.open.deadlineAt - clock.now()),
      open: context.open,
      run: {
        route: `${describeRunRoute(context)} claimed`,
        outputTokens: 0,
        expectedFirstMs: 0,
        isRepeatable: false,
        deadlineAt: context.open.deadlineAt,
      },
    });
    switch (outcome.kind) {
      case 'stopping':
        return outcome;
      case 'not_run':
        this._chooser.recordFailure(choice, clock.now());
        return outcome.reason === RefusalReason.CLAIM_SEEN
          ? this._outcomeQuery.query(context, attempt)
          : {
              kind: 'not_run',
              isOldRevision: outcome.reason === RefusalReason.OLD_REVISION,
            };
      case 'unknown':
        this._chooser.recordFailure(choice, clock.now());
        return this._outcomeQuery.query(context, attempt);
      case 'answered':
        return this._readAnswer(context, choice, attempt, outcome.response);
    }
  }

  private async _readAnswer(
    context: IRequestContext,
    choice: IChoice,
    attempt: IClaimAttempt,
    response: IHttpAnswer,
  ): Promise<ClaimOutcome> {
    const { clock } = this._services;
    try {
      const body = await readAnswer(response.body);
      this._chooser.recordAnswer(
        choice,
        { cachedPromptTokens: 0, ttftMs: clock.now() - context.startedAt, load: undefined },
        clock.now(),
      );
      const headers = flattenHeaders(pickAnswerHeaders(response.headers));
      return {
        kind: 'answered',
        answer: create(AnswerSchema, { status: response.statusCode, headers, body }),
      };
    } catch {
      this._chooser.recordFailure(choice, clock.now());
      return this._outcomeQuery.query(context, attempt);
    }
  }
}

function flattenHeaders(headers: Record<string, string | string[]>): Record<string, string> {
  const entries = Object.entries(headers).map(([name, value]): [string, string] => [
    name,
    Array.isArray(value) ? value.join(', ') : value,
  ]);
  return Object.fromEntries(entries);
}
