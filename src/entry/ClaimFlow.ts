/** Flow of calls that must run at most once: claim, dispatch, settle. */
import { digestSha256 } from '../common/Hashes.js';
import { Err, Ok, type Result } from '../common/Result.js';
import { createUnrecordedClaim, isMechanismDisabled } from '../common/TestSwitches.js';
import { ClaimState, type Answer, type ClaimResult } from '../gen/redwingwharf/v1/state_pb.js';
import type { TargetChooser, IChoice } from './TargetChooser.js';
import type { ClaimDispatch } from './ClaimDispatch.js';
import type { ClaimSettlement } from './ClaimSettlement.js';
import { describeUnknownOutcome, type ClaimOutcome, type IClaimAttempt } from './ClaimTypes.js';
import {
  describeUncheckedClaim,
  createFailure,
  createRefusal,
  sendFailure,
  type IHttpFailure,
} from './Failures.js';
import type { OpenRequests } from './OpenRequests.js';
import { describeEndReason, recordPlainEnd, recordRefusal } from './RequestOutcomes.js';
import type { OutcomeQuery } from './OutcomeQuery.js';
import { buildPlainInput, admitPlainCall } from './PlainFlow.js';
import type { QueueStage } from './QueueStage.js';
import type { IAdmitter, IControl, IFlowServices, IRequestContext } from './Types.js';
import { sendAnswer } from './BufferedAnswer.js';

/** Header by which a repeated request is recognised. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
const MAX_IDEMPOTENCY_KEY_LENGTH = 255;
const REPLAYED_HEADER = 'x-rww-replayed';

/** Bindings of one request to a target; each one after the first needs a proof of "not run". */
const MAX_BINDINGS = 4;

const IN_PROGRESS_RETRY_AFTER_MS = 1_000;
const CONTROL_RETRY_AFTER_MS = 2_000;
const NO_TARGET_RETRY_AFTER_MS = 1_000;

/** Result of one round of claim and dispatch. */
type ClaimRoundResult =
  | { readonly kind: 'served' }
  | { readonly kind: 'failed'; readonly failure: IHttpFailure }
  /** The attempt is proven "not run", so the claim may be bound to another target. */
  | {
      readonly kind: 'rebind';
      readonly attempt: number;
      readonly target: string;
      readonly isOldRevision: boolean;
    };

/**
 * Serves calls of non-repeatable routes. Each call is recorded as a claim at the control leader before it
 * is dispatched, and the claim is settled when the outcome is known. A repeated request gets the recorded
 * answer.
 */
export class ClaimFlow {
  constructor(
    private readonly _admitter: IAdmitter,
    private readonly _queue: QueueStage,
    private readonly _chooser: TargetChooser,
    private readonly _control: IControl,
    private readonly _claimDispatch: ClaimDispatch,
    private readonly _outcomeQuery: OutcomeQuery,
    private readonly _settlement: ClaimSettlement,
    private readonly _openRequests: OpenRequests,
    private readonly _services: IFlowServices,
  ) {}

  public async run(context: IRequestContext, body: Buffer): Promise<void> {
    const { signal } = context.open;
    // Answers the caller at once; the call itself continues, so that its outcome is recorded.
    const answerEarlyEnd = (): void => {
      this._refuse(context, describeCallEnd(context));
    };
    signal.addEventListener('abort', answerEarlyEnd, { once: true });
    try {
      const result = await this._serve(context, body);
      this._refuse(context, result.err ? result.val : undefined);
    } finally {
      signal.removeEventListener('abort', answerEarlyEnd);
    }
  }

  /** Answers with a failure unless the response has already begun. */
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
      return Err(createRefusal('key_missing', 'Non-repeatable calls need a key.'));
    }
    const key = context.request.headers[IDEMPOTENCY_KEY_HEADER] ?? '';
    if (typeof key !== 'string' || key.length > MAX_IDEMPOTENCY_KEY_LENGTH) {
      const message = `Send an Idempotency-Key of at most ${MAX_IDEMPOTENCY_KEY_LENGTH} characters.`;
      return Err(createRefusal('bad_request', message));
    }
    const slot = await admitPlainCall(this._admitter, this._queue, context, body);
    if (slot.err) {
      return Err(key === '' ? slot.val : describeUncheckedClaim(slot.val));
    }
    try {
      return await this._claimAndDispatch(context, key, body);
    } finally {
      slot.val.dispose();
    }
  }

  /** Claims and dispatches until the outcome is known or no further binding is allowed. */
  private async _claimAndDispatch(
    context: IRequestContext,
    key: string,
    body: Buffer,
  ): Promise<Result<void, IHttpFailure>> {
    const triedTargets = new Set<string>();
    let replacesAttempt = 0;
    // A proof that one attempt did not run covers all earlier attempts.
    const describeRefusal = (failure: IHttpFailure): IHttpFailure =>
      key === '' || replacesAttempt > 0 ? failure : describeUncheckedClaim(failure);
    for (let binding = 1; binding <= MAX_BINDINGS; binding++) {
      const input = buildPlainInput(context, body);
      const choice = this._chooser.choose(input, triedTargets, this._services.clock.now());
      if (choice === undefined) {
        const message = 'No target of this service is available; try again.';
        return Err(describeRefusal(createRefusal('no_target', message, NO_TARGET_RETRY_AFTER_MS)));
      }
      const claimed = await this._claim(context, key, body, choice, replacesAttempt);
      if (claimed.err) {
        return Err(describeRefusal(claimed.val));
      }
      const round = await this._handleClaim(context, body, choice, claimed.val);
      if (round.kind !== 'rebind') {
        return round.kind === 'served' ? Ok(undefined) : Err(round.failure);
      }
      replacesAttempt = round.attempt;
      await this._prepareRebind(context, round, triedTargets);
    }
    const message = 'The targets refused the call; try again.';
    return Err(createRefusal('no_target', message, NO_TARGET_RETRY_AFTER_MS));
  }

  /**
   * Prepares the next round. A target that refused the ticket's revision as old is not excluded: it may
   * accept the call after this entry has synchronised its configuration.
   */
  private async _prepareRebind(
    context: IRequestContext,
    round: Extract<ClaimRoundResult, { kind: 'rebind' }>,
    triedTargets: Set<string>,
  ): Promise<void> {
    if (round.isOldRevision) {
      await this._services.feedSync.syncOnce(context.open.signal).catch(() => undefined);
    } else {
      triedTargets.add(round.target);
    }
  }

  /** Commits the claim at the control leader; nothing is dispatched before. */
  private async _claim(
    context: IRequestContext,
    idempotencyKey: string,
    body: Buffer,
    choice: IChoice,
    replacesAttempt: number,
  ): Promise<Result<ClaimResult, IHttpFailure>> {
    const { announcement } = choice.target;
    TEST_ONLY: if (isMechanismDisabled('claim')) return Ok(createUnrecordedClaim());
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
      // The leader recognises a repeated command by the request id, so it may be sent again.
      { isIdempotent: true },
    );
    if (result.err) {
      // Even if the claim was committed, this entry does not dispatch it.
      const message = 'The call could not be recorded and was not dispatched; send it again.';
      return Err(createRefusal('control_unavailable', message, CONTROL_RETRY_AFTER_MS));
    }
    const claim = result.val.body.case === 'claim' ? result.val.body.value : undefined;
    return claim === undefined
      ? Err(createRefusal('internal', 'The control member gave an unexpected answer; report this.'))
      : Ok(claim);
  }

  private async _handleClaim(
    context: IRequestContext,
    body: Buffer,
    choice: IChoice,
    claim: ClaimResult,
  ): Promise<ClaimRoundResult> {
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
          return {
            kind: 'failed',
            failure: describeCallEnd(context) ?? describeUnknownOutcome(),
          };
        }
        const outcome = await this._claimDispatch.dispatch(context, body, choice, attempt);
        return this._handleOutcome(context, attempt, outcome, false);
      }
      case ClaimState.BOUND: {
        const attempt = buildAttempt(claim, choice);
        const outcome = await this._outcomeQuery.query(context, attempt);
        return this._handleOutcome(context, attempt, outcome, true);
      }
      case ClaimState.SETTLED:
        return this._replay(context, claim.answer);
      case ClaimState.UNKNOWN:
        return { kind: 'failed', failure: describeUnknownOutcome() };
      case ClaimState.BODY_MISMATCH: {
        const message = 'The Idempotency-Key was used with another request; send a new key.';
        return { kind: 'failed', failure: createRefusal('idempotency_key_reused', message) };
      }
      case ClaimState.TABLE_FULL: {
        const message = 'The table of non-repeatable calls is full; try again later.';
        return {
          kind: 'failed',
          failure: createRefusal('claims_full', message, CONTROL_RETRY_AFTER_MS),
        };
      }
      case ClaimState.UNSPECIFIED: {
        const message = 'The control member gave an unexpected answer; report this.';
        return { kind: 'failed', failure: createFailure('internal', message, 'unknown') };
      }
    }
  }

  private async _handleOutcome(
    context: IRequestContext,
    attempt: IClaimAttempt,
    outcome: ClaimOutcome,
    isReplay: boolean,
  ): Promise<ClaimRoundResult> {
    TEST_ONLY: if (isMechanismDisabled('rebind-proof') && outcome.kind !== 'answered')
      outcome = { kind: 'not_run', isOldRevision: false };
    switch (outcome.kind) {
      case 'answered':
        await this._settlement.settle(attempt, outcome.answer);
        return this._respond(context, outcome.answer, isReplay);
      case 'not_run':
        // An earlier attempt of the call is replaced only with the same proof.
        context.open.recordNotRun(false);
        return {
          ...{ kind: 'rebind', attempt: attempt.attempt, target: attempt.binding.target },
          isOldRevision: outcome.isOldRevision,
        };
      case 'running': {
        const message = 'The call is in progress; send it again with the same Idempotency-Key.';
        const failure = createFailure(
          'in_progress',
          message,
          'unknown',
          IN_PROGRESS_RETRY_AFTER_MS,
        );
        return { kind: 'failed', failure };
      }
      case 'stopping':
        return { kind: 'failed', failure: describeCallEnd(context) ?? describeUnknownOutcome() };
      case 'unreachable':
        return { kind: 'failed', failure: describeUnknownOutcome() };
      case 'lost':
        await this._settlement.settle(attempt, undefined);
        return { kind: 'failed', failure: describeUnknownOutcome() };
    }
  }

  /** Answers a repeated request with the recorded answer. */
  private async _replay(
    context: IRequestContext,
    answer: Answer | undefined,
  ): Promise<ClaimRoundResult> {
    if (answer === undefined || answer.bodyOmitted) {
      const message = 'The call ran; its answer is no longer on record.';
      return { kind: 'failed', failure: createFailure('answer_not_kept', message, 'yes') };
    }
    return this._respond(context, answer, true);
  }

  private async _respond(
    context: IRequestContext,
    answer: Answer,
    isReplay: boolean,
  ): Promise<ClaimRoundResult> {
    this._openRequests.checkRequest(context.open, this._services.clock.now());
    await context.open.waitReleased();
    const end = describeEndReason(context);
    if (end !== undefined) {
      return { kind: 'failed', failure: { ...end, ran: 'yes' } };
    }
    const headers = isReplay ? { ...answer.headers, [REPLAYED_HEADER]: 'true' } : answer.headers;
    sendAnswer(context.response, answer.status, headers, answer.body, context.requestId);
    recordPlainEnd(this._services, context, { status: answer.status, isReplay });
    return { kind: 'served' };
  }
}

/** Failure of a call that was ended early; undefined if it was not, or if the caller disconnected. */
function describeCallEnd(context: IRequestContext): IHttpFailure | undefined {
  const failure = describeEndReason(context);
  if (failure === undefined || context.open.endReason !== 'stopping') {
    return failure;
  }
  if (context.open.mayHaveRun) {
    return describeUnknownOutcome();
  }
  const hasKey = context.request.headers[IDEMPOTENCY_KEY_HEADER] !== undefined;
  return hasKey ? describeUncheckedClaim(failure) : failure;
}

/** The attempt to dispatch or query: the recorded binding, or the chosen target if there is none. */
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
