/** Calls that may run at most once: claim, dispatch, settle. */
import { create } from '@bufbuild/protobuf';
import { digestSha256, hasSameBytes } from '../common/Hashes.js';
import { describeError } from '../common/Log.js';
import { Err, Ok, type Result } from '../common/Result.js';
import type { RpcClients } from '../common/Rpc.js';
import { addJitter, createTimeoutSignal, sleep } from '../common/Tasks.js';
import {
  ClaimProgress,
  RefusalReason,
  SidecarService,
  type QueryClaimResponse,
} from '../gen/redwingwharf/v1/control_pb.js';
import {
  AnswerSchema,
  ClaimState,
  type Answer,
  type ClaimBinding,
  type ClaimResult,
} from '../gen/redwingwharf/v1/state_pb.js';
import type { Roster } from '../roster/Roster.js';
import type { Chooser, IChoice } from './Chooser.js';
import { createTicket, type DispatchClient } from './DispatchClient.js';
import { fail, refuse, sendFailure, type IHttpFailure } from './Failures.js';
import { pickAnswerHeaders } from './ForwardHeaders.js';
import { describeEnd, recordPlainEnd, recordRefusal } from './Outcomes.js';
import { buildOutgoing, buildPlainInput, countPlainTokens } from './PlainFlow.js';
import type { IAdmitter, IControl, IFlowServices, IRequestContext } from './Types.js';
import { readAnswer, sendAnswer } from './WholeAnswer.js';

/** Header by which a resend is recognised. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
const MAX_IDEMPOTENCY_KEY_LENGTH = 255;
const REPLAYED_HEADER = 'x-rww-replayed';

/** Targets on which one request may be tried after proofs of "not run". */
const MAX_BINDINGS = 4;

const QUERY_TIMEOUT_MS = 1_000;
const QUERY_PAUSE_MS = 200;

/** Tries to ask a sidecar that does not answer. */
const MAX_QUERIES = 3;

/** Longest wait of a caller for the record of its answer. */
const SETTLE_TIMEOUT_MS = 2_000;

/** Time for which the record is tried after the caller got its answer. */
const BACKGROUND_SETTLE_TIMEOUT_MS = 60_000;

const RETRY_IN_PROGRESS_MS = 1_000;
const RETRY_CONTROL_MS = 2_000;

/** What is known of a bound attempt. */
type Outcome =
  | { readonly kind: 'answered'; readonly answer: Answer }
  | { readonly kind: 'not_run' }
  | { readonly kind: 'running' }
  /** The outcome may still become known. */
  | { readonly kind: 'unreachable' }
  /** The outcome can never become known. */
  | { readonly kind: 'lost' };

/** Attempt of a claim at one sidecar. */
interface IAttempt {
  readonly claimId: bigint;
  readonly attempt: number;
  readonly binding: ClaimBinding;
}

/** Serves calls of non-repeatable routes. */
export class ClaimFlow {
  constructor(
    private readonly _admitter: IAdmitter,
    private readonly _chooser: Chooser,
    private readonly _client: DispatchClient,
    private readonly _control: IControl,
    private readonly _roster: Roster,
    private readonly _rpc: RpcClients,
    private readonly _services: IFlowServices,
    private readonly _shutdown: AbortSignal,
  ) {}

  public async run(context: IRequestContext, body: Buffer): Promise<void> {
    const result = await this._serve(context, body);
    if (result.ok) {
      return;
    }
    recordRefusal(this._services, context, result.val);
    sendFailure(context.response, result.val, context.requestId);
  }

  private async _serve(
    context: IRequestContext,
    body: Buffer,
  ): Promise<Result<void, IHttpFailure>> {
    const key = context.request.headers[IDEMPOTENCY_KEY_HEADER] ?? '';
    if (typeof key !== 'string' || key.length > MAX_IDEMPOTENCY_KEY_LENGTH) {
      const message = `Send an Idempotency-Key of at most ${MAX_IDEMPOTENCY_KEY_LENGTH} characters.`;
      return Err(refuse('bad_request', message));
    }
    const failure = await this._admit(context, body);
    if (failure !== undefined) {
      return Err(failure);
    }
    const tried = new Set<string>();
    let replacesAttempt = 0;
    for (let count = 1; count <= MAX_BINDINGS; count++) {
      const choice = this._chooser.choose(
        buildPlainInput(context, body),
        tried,
        this._services.clock.now(),
      );
      if (choice === undefined) {
        return Err(
          refuse('no_target', 'No target of this service is available; try again.', 1_000),
        );
      }
      const claimed = await this._claim(context, key, body, choice, replacesAttempt);
      if (claimed.err) {
        return Err(claimed.val);
      }
      const step = await this._handleClaim(context, body, choice, claimed.val);
      if (step.kind !== 'rebind') {
        return step.kind === 'served' ? Ok(undefined) : Err(step.failure);
      }
      replacesAttempt = step.attempt;
      tried.add(step.target);
    }
    return Err(refuse('no_target', 'The targets refused the call; try again.', 1_000));
  }

  private async _admit(context: IRequestContext, body: Buffer): Promise<IHttpFailure | undefined> {
    const account = context.caller?.account;
    if (account === undefined) {
      return refuse('key_missing', 'Non-repeatable calls need a key.');
    }
    const tokens = countPlainTokens(body);
    const admitted = await this._admitter.admit(account, tokens, context.open.signal);
    if (admitted.err) {
      return admitted.val;
    }
    admitted.val.settle(tokens);
    return undefined;
  }

  /** Commits the claim before anything is dispatched. */
  private async _claim(
    context: IRequestContext,
    idempotencyKey: string,
    body: Buffer,
    choice: IChoice,
    replacesAttempt: number,
  ): Promise<Result<ClaimResult, IHttpFailure>> {
    const { announcement } = choice.target;
    const method = context.request.method ?? 'POST';
    const result = await this._control.execute(
      {
        case: 'claim',
        value: {
          key: {
            clientAccount: context.caller?.account.id ?? '',
            service: context.service.name,
            idempotencyKey,
          },
          bodyDigest: digestSha256(method, '\0', context.path, '\0', body),
          binding: {
            target: announcement.target,
            sidecarIncarnation: announcement.sidecarIncarnation,
            sidecarAddress: announcement.address,
          },
          replacesAttempt,
          requestId: context.requestId,
        },
      },
      context.open.signal,
      // The leader recognises this request by its id, so an unknown outcome may be asked for again.
      { isIdempotent: true },
    );
    if (result.err) {
      // Whatever became of the claim, this entry does not dispatch it.
      const message = 'The call could not be recorded and did not run; send it again.';
      return Err(refuse('control_unavailable', message, RETRY_CONTROL_MS));
    }
    const claim = result.val.body.case === 'claim' ? result.val.body.value : undefined;
    return claim === undefined
      ? Err(refuse('internal', 'The control member gave an unexpected answer; report this.'))
      : Ok(claim);
  }

  private async _handleClaim(
    context: IRequestContext,
    body: Buffer,
    choice: IChoice,
    claim: ClaimResult,
  ): Promise<
    | { kind: 'served' }
    | { kind: 'failed'; failure: IHttpFailure }
    | { kind: 'rebind'; attempt: number; target: string }
  > {
    this._services.decisions.record(context.requestId, 'claimed', {
      claimId: String(claim.claimId),
      state: ClaimState[claim.state],
      attempt: claim.attempt,
      target: claim.binding?.target,
    });
    switch (claim.state) {
      case ClaimState.GRANTED: {
        const attempt = buildAttempt(claim, choice);
        const outcome = await this._dispatch(context, body, choice, attempt);
        return this._handleOutcome(context, attempt, outcome, false);
      }
      case ClaimState.BOUND: {
        const attempt = buildAttempt(claim, choice);
        const outcome = await this._query(context, attempt);
        return this._handleOutcome(context, attempt, outcome, true);
      }
      case ClaimState.SETTLED:
        return this._replay(context, claim.answer);
      case ClaimState.UNKNOWN:
        return { kind: 'failed', failure: describeUnknown() };
      case ClaimState.BODY_MISMATCH: {
        const message = 'The Idempotency-Key was used with another request; send a new key.';
        return { kind: 'failed', failure: refuse('idempotency_key_reused', message) };
      }
      case ClaimState.TABLE_FULL: {
        const message = 'The table of non-repeatable calls is full; try again later.';
        return { kind: 'failed', failure: refuse('claims_full', message, RETRY_CONTROL_MS) };
      }
      case ClaimState.UNSPECIFIED: {
        const message = 'The control member gave an unexpected answer; report this.';
        return { kind: 'failed', failure: refuse('internal', message) };
      }
    }
  }

  private async _dispatch(
    context: IRequestContext,
    body: Buffer,
    choice: IChoice,
    attempt: IAttempt,
  ): Promise<Outcome> {
    const { clock, feed } = this._services;
    this._chooser.recordDispatch(choice, clock.now());
    const outgoing = buildOutgoing(context, body);
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
      // The caller's leaving does not break off a call whose outcome is to be recorded.
      signal: createTimeoutSignal(context.open.deadlineAt - clock.now()),
    });
    switch (outcome.kind) {
      case 'not_run':
        this._chooser.recordFailure(choice, clock.now());
        return outcome.reason === RefusalReason.CLAIM_SEEN
          ? this._query(context, attempt)
          : { kind: 'not_run' };
      case 'unknown':
        this._chooser.recordFailure(choice, clock.now());
        return this._query(context, attempt);
      case 'answered':
        return this._readAnswer(context, choice, attempt, outcome.response);
    }
  }

  private async _readAnswer(
    context: IRequestContext,
    choice: IChoice,
    attempt: IAttempt,
    response: Parameters<typeof pickAnswerHeaders>[0] extends infer H
      ? { statusCode: number; headers: H; body: Parameters<typeof readAnswer>[0] }
      : never,
  ): Promise<Outcome> {
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
      return this._query(context, attempt);
    }
  }

  /** Asks the bound sidecar until it knows the outcome, does not answer, or time is up. */
  private async _query(context: IRequestContext, attempt: IAttempt): Promise<Outcome> {
    const { clock } = this._services;
    let failures = 0;
    while (failures < MAX_QUERIES && clock.now() < context.open.deadlineAt) {
      const outcome = await this._queryOnce(attempt);
      if (outcome.kind === 'unreachable') {
        failures += 1;
      } else if (outcome.kind !== 'running' || context.open.signal.aborted) {
        return outcome;
      }
      await sleep(addJitter(QUERY_PAUSE_MS), context.open.signal);
    }
    return failures < MAX_QUERIES ? { kind: 'running' } : { kind: 'unreachable' };
  }

  private async _queryOnce(attempt: IAttempt): Promise<Outcome> {
    if (this._isSidecarGone(attempt)) {
      return { kind: 'lost' };
    }
    try {
      const client = this._rpc.get(SidecarService, attempt.binding.sidecarAddress);
      const response = await client.queryClaim(
        {
          claimId: attempt.claimId,
          attempt: attempt.attempt,
          sidecarIncarnation: attempt.binding.sidecarIncarnation,
        },
        { timeoutMs: QUERY_TIMEOUT_MS },
      );
      return describeProgress(response);
    } catch (error) {
      this._services.log.debug('claim query failed', { error: describeError(error) });
      return { kind: 'unreachable' };
    }
  }

  /** True when another life of the sidecar has announced the target. */
  private _isSidecarGone(attempt: IAttempt): boolean {
    const target = this._roster.getTarget(attempt.binding.target, this._services.clock.now());
    return (
      target !== undefined &&
      !hasSameBytes(target.announcement.sidecarIncarnation, attempt.binding.sidecarIncarnation)
    );
  }

  private async _handleOutcome(
    context: IRequestContext,
    attempt: IAttempt,
    outcome: Outcome,
    isReplay: boolean,
  ): Promise<
    | { kind: 'served' }
    | { kind: 'failed'; failure: IHttpFailure }
    | { kind: 'rebind'; attempt: number; target: string }
  > {
    switch (outcome.kind) {
      case 'answered':
        await this._settle(attempt, outcome.answer);
        return this._respond(context, outcome.answer, isReplay);
      case 'not_run':
        return { kind: 'rebind', attempt: attempt.attempt, target: attempt.binding.target };
      case 'running': {
        const message = 'The call is in progress; send it again with the same Idempotency-Key.';
        const failure = fail('in_progress', message, 'unknown', RETRY_IN_PROGRESS_MS);
        return { kind: 'failed', failure };
      }
      case 'unreachable':
        return { kind: 'failed', failure: describeUnknown() };
      case 'lost':
        await this._settle(attempt, undefined);
        return { kind: 'failed', failure: describeUnknown() };
    }
  }

  /** Records the outcome; goes on in the background when control does not answer in time. */
  private async _settle(attempt: IAttempt, answer: Answer | undefined): Promise<void> {
    const settle = async (timeoutMs: number): Promise<boolean> => {
      const result = await this._control.execute(
        {
          case: 'settleClaim',
          value: {
            claimId: attempt.claimId,
            attempt: attempt.attempt,
            ...(answer === undefined ? { unknown: true } : { answer }),
          },
        },
        this._shutdown,
        { isIdempotent: true, timeoutMs },
      );
      return result.ok;
    };
    if (!(await settle(SETTLE_TIMEOUT_MS))) {
      void settle(BACKGROUND_SETTLE_TIMEOUT_MS);
    }
  }

  private _replay(
    context: IRequestContext,
    answer: Answer | undefined,
  ): { kind: 'served' } | { kind: 'failed'; failure: IHttpFailure } {
    if (answer === undefined || answer.bodyOmitted) {
      const message = 'The call ran; its answer is no longer on record.';
      return { kind: 'failed', failure: fail('answer_not_kept', message, 'yes') };
    }
    return this._respond(context, answer, true);
  }

  private _respond(
    context: IRequestContext,
    answer: Answer,
    isReplay: boolean,
  ): { kind: 'served' } | { kind: 'failed'; failure: IHttpFailure } {
    const end = describeEnd(context);
    if (end !== undefined) {
      return { kind: 'failed', failure: { ...end, ran: 'yes' } };
    }
    const headers = isReplay ? { ...answer.headers, [REPLAYED_HEADER]: 'true' } : answer.headers;
    sendAnswer(context.response, answer.status, headers, answer.body, context.requestId);
    recordPlainEnd(this._services, context, { status: answer.status, isReplay });
    return { kind: 'served' };
  }
}

function buildAttempt(claim: ClaimResult, choice: IChoice): IAttempt {
  const { announcement } = choice.target;
  const chosen = {
    $typeName: 'redwingwharf.v1.ClaimBinding' as const,
    target: announcement.target,
    sidecarIncarnation: announcement.sidecarIncarnation,
    sidecarAddress: announcement.address,
  };
  return {
    claimId: claim.claimId,
    attempt: claim.attempt,
    binding: claim.binding ?? chosen,
  };
}

function describeProgress(response: QueryClaimResponse): Outcome {
  switch (response.progress) {
    case ClaimProgress.NOT_RUN:
      return { kind: 'not_run' };
    case ClaimProgress.RUNNING:
      return { kind: 'running' };
    case ClaimProgress.FINISHED:
      return response.answer === undefined
        ? { kind: 'lost' }
        : { kind: 'answered', answer: response.answer };
    case ClaimProgress.UNKNOWN:
    case ClaimProgress.OTHER_INCARNATION:
    case ClaimProgress.UNSPECIFIED:
      return { kind: 'lost' };
  }
}

function describeUnknown(): IHttpFailure {
  const message =
    'It is not known whether the call ran. It will not be run again under this Idempotency-Key; ' +
    'check with the service.';
  return fail('outcome_unknown', message, 'unknown');
}

function flattenHeaders(headers: Record<string, string | string[]>): Record<string, string> {
  const entries = Object.entries(headers).map(([name, value]): [string, string] => [
    name,
    Array.isArray(value) ? value.join(', ') : value,
  ]);
  return Object.fromEntries(entries);
}
