/** Calls that may run at most once: claim, dispatch, settle. */
import { digestSha256 } from '../common/Hashes.js';
import { Err, Ok, type Result } from '../common/Result.js';
import { createUnrecordedClaim, isBroken } from '../common/TestSwitches.js';
import { ClaimState, type Answer, type ClaimResult } from '../gen/redwingwharf/v1/state_pb.js';
import type { Chooser, IChoice } from './Chooser.js';
import type { ClaimDispatch } from './ClaimDispatch.js';
import type { ClaimSettlement } from './ClaimSettlement.js';
import { describeUnknown, type ClaimOutcome, type IClaimAttempt } from './ClaimTypes.js';
import { describeUnlooked, fail, refuse, sendFailure, type IHttpFailure } from './Failures.js';
import type { OpenRequests } from './OpenRequests.js';
import { describeEnd, recordPlainEnd, recordRefusal } from './Outcomes.js';
import type { OutcomeQuery } from './OutcomeQuery.js';
import { buildPlainInput, enterPlain } from './PlainFlow.js';
import type { QueueStage } from './QueueStage.js';
import type { IAdmitter, IControl, IFlowServices, IRequestContext } from './Types.js';
import { sendAnswer } from './WholeAnswer.js';

/** Header by which a resend is recognised. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
const MAX_IDEMPOTENCY_KEY_LENGTH = 255;
const REPLAYED_HEADER = 'x-rww-replayed';

/** Targets on which one request may be tried after proofs of "not run". */
const MAX_BINDINGS = 4;

const RETRY_IN_PROGRESS_MS = 1_000;
const RETRY_CONTROL_MS = 2_000;
const RETRY_NO_TARGET_MS = 1_000;

/** What one round of claim and dispatch led to. */
type Step =
  | { readonly kind: 'served' }
  | { readonly kind: 'failed'; readonly failure: IHttpFailure }
  /** The attempt is proven "not run", so another target may be bound. */
  | {
      readonly kind: 'rebind';
      readonly attempt: number;
      readonly target: string;
      readonly isOldRevision: boolean;
    };

/** Serves calls of non-repeatable routes. */
export class ClaimFlow {
  constructor(
    private readonly _admitter: IAdmitter,
    private readonly _queue: QueueStage,
    private readonly _chooser: Chooser,
    private readonly _control: IControl,
    private readonly _dispatches: ClaimDispatch,
    private readonly _outcomes: OutcomeQuery,
    private readonly _settlement: ClaimSettlement,
    private readonly _openRequests: OpenRequests,
    private readonly _services: IFlowServices,
  ) {}

  public async run(context: IRequestContext, body: Buffer): Promise<void> {
    const { signal } = context.open;
    // The call itself goes on, so that its outcome is recorded.
    const answerEnd = (): void => {
      this._refuse(context, describeEnd(context));
    };
    signal.addEventListener('abort', answerEnd, { once: true });
    try {
      const result = await this._serve(context, body);
      this._refuse(context, result.err ? result.val : undefined);
    } finally {
      signal.removeEventListener('abort', answerEnd);
    }
  }

  /** Answers with a failure unless the caller has an answer already. */
  private _refuse(context: IRequestContext, failure: IHttpFailure | undefined): void {
    if (failure !== undefined && !context.response.headersSent) {
      recordRefusal(this._services, context, failure);
      sendFailure(context.response, failure, context.requestId);
    }
  }

  private async _serve(
    context: IRequestContext,
    body: Buffer,
  ): Promise<Result<void, IHttpFailure>> {
    if (context.caller === undefined) {
      return Err(refuse('key_missing', 'Non-repeatable calls need a key.'));
    }
    const key = context.request.headers[IDEMPOTENCY_KEY_HEADER] ?? '';
    if (typeof key !== 'string' || key.length > MAX_IDEMPOTENCY_KEY_LENGTH) {
      const message = `Send an Idempotency-Key of at most ${MAX_IDEMPOTENCY_KEY_LENGTH} characters.`;
      return Err(refuse('bad_request', message));
    }
    const place = await enterPlain(this._admitter, this._queue, context, body);
    if (place.err) {
      return Err(key === '' ? place.val : describeUnlooked(place.val));
    }
    try {
      return await this._runClaims(context, key, body);
    } finally {
      place.val.dispose();
    }
  }

  /** Claims and dispatches until the outcome is known or the targets are used up. */
  private async _runClaims(
    context: IRequestContext,
    key: string,
    body: Buffer,
  ): Promise<Result<void, IHttpFailure>> {
    const tried = new Set<string>();
    let replacesAttempt = 0;
    // Once an attempt is proven "not run", so is every earlier one.
    const describe = (failure: IHttpFailure): IHttpFailure =>
      key === '' || replacesAttempt > 0 ? failure : describeUnlooked(failure);
    for (let count = 1; count <= MAX_BINDINGS; count++) {
      const input = buildPlainInput(context, body);
      const choice = this._chooser.choose(input, tried, this._services.clock.now());
      if (choice === undefined) {
        const message = 'No target of this service is available; try again.';
        return Err(describe(refuse('no_target', message, RETRY_NO_TARGET_MS)));
      }
      const claimed = await this._claim(context, key, body, choice, replacesAttempt);
      if (claimed.err) {
        return Err(describe(claimed.val));
      }
      const step = await this._handleClaim(context, body, choice, claimed.val);
      if (step.kind !== 'rebind') {
        return step.kind === 'served' ? Ok(undefined) : Err(step.failure);
      }
      replacesAttempt = step.attempt;
      await this._prepareRebind(context, step, tried);
    }
    const message = 'The targets refused the call; try again.';
    return Err(refuse('no_target', message, RETRY_NO_TARGET_MS));
  }

  /** A target that knows a newer configuration may take the call once this entry knows it too. */
  private async _prepareRebind(
    context: IRequestContext,
    step: Extract<Step, { kind: 'rebind' }>,
    tried: Set<string>,
  ): Promise<void> {
    if (step.isOldRevision) {
      await this._services.feedSync.syncOnce(context.open.signal).catch(() => undefined);
    } else {
      tried.add(step.target);
    }
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
    TEST_ONLY: if (isBroken('claim')) return Ok(createUnrecordedClaim());
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
      const message = 'The call could not be recorded and was not dispatched; send it again.';
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
  ): Promise<Step> {
    this._services.decisions.record(context.requestId, 'claimed', {
      claimId: String(claim.claimId),
      state: ClaimState[claim.state],
      attempt: claim.attempt,
      target: claim.binding?.target,
    });
    switch (claim.state) {
      case ClaimState.GRANTED: {
        const attempt = buildAttempt(claim, choice);
        if (context.open.signal.aborted) {
          return { kind: 'failed', failure: describeEnd(context) ?? describeUnknown() };
        }
        const outcome = await this._dispatches.dispatch(context, body, choice, attempt);
        return this._handleOutcome(context, attempt, outcome, false);
      }
      case ClaimState.BOUND: {
        const attempt = buildAttempt(claim, choice);
        const outcome = await this._outcomes.query(context, attempt);
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
        return { kind: 'failed', failure: fail('internal', message, 'unknown') };
      }
    }
  }

  private async _handleOutcome(
    context: IRequestContext,
    attempt: IClaimAttempt,
    outcome: ClaimOutcome,
    isReplay: boolean,
  ): Promise<Step> {
    TEST_ONLY: if (isBroken('rebind-proof') && outcome.kind !== 'answered')
      outcome = { kind: 'not_run', isOldRevision: false };
    switch (outcome.kind) {
      case 'answered':
        await this._settlement.settle(attempt, outcome.answer);
        return this._respond(context, outcome.answer, isReplay);
      case 'not_run':
        return {
          ...{ kind: 'rebind', attempt: attempt.attempt, target: attempt.binding.target },
          isOldRevision: outcome.isOldRevision,
        };
      case 'running': {
        const message = 'The call is in progress; send it again with the same Idempotency-Key.';
        const failure = fail('in_progress', message, 'unknown', RETRY_IN_PROGRESS_MS);
        return { kind: 'failed', failure };
      }
      case 'unreachable':
        return { kind: 'failed', failure: describeUnknown() };
      case 'lost':
        await this._settlement.settle(attempt, undefined);
        return { kind: 'failed', failure: describeUnknown() };
    }
  }

  private async _replay(context: IRequestContext, answer: Answer | undefined): Promise<Step> {
    if (answer === undefined || answer.bodyOmitted) {
      const message = 'The call ran; its answer is no longer on record.';
      return { kind: 'failed', failure: fail('answer_not_kept', message, 'yes') };
    }
    return this._respond(context, answer, true);
  }

  private async _respond(
    context: IRequestContext,
    answer: Answer,
    isReplay: boolean,
  ): Promise<Step> {
    this._openRequests.checkRequest(context.open, this._services.clock.now());
    await context.open.waitReleased();
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

function buildAttempt(claim: ClaimResult, choice: IChoice): IClaimAttempt {
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
