/** Third stage of the request pipeline: checks the rate and burst of the client account. */
import type { Admitter, AdmitFailure } from '../admission/Admitter.js';
import { Err, Ok, type Result } from '../common/Result.js';
import type { ClientAccount } from '../gen/redwingwharf/v1/state_pb.js';
import { createRefusal, type IHttpFailure } from './Failures.js';
import type { IAdmission, IAdmitter } from './Types.js';

/**
 * Reserves the tokens of a request with the `Admitter` of this entry and converts its failures to HTTP
 * errors for the caller.
 */
export class AdmissionStage implements IAdmitter {
  constructor(private readonly _admitter: Admitter) {}

  public async admit(
    account: ClientAccount,
    tokens: number,
    signal: AbortSignal,
  ): Promise<Result<IAdmission, IHttpFailure>> {
    if (tokens > account.burstTokens) {
      return Err(describeTooCostly(tokens, account));
    }
    const admitted = await this._admitter.admit(account.id, tokens, signal);
    if (admitted.err) {
      return Err(describeFailure(admitted.val, tokens, account));
    }
    const reservation = admitted.val;
    return Ok({
      settle: (usedTokens) => {
        this._admitter.settle(reservation, usedTokens);
      },
    });
  }
}

function describeTooCostly(tokens: number, account: ClientAccount): IHttpFailure {
  const message =
    `The request may take ${tokens} tokens and the burst of your client account is ` +
    `${account.burstTokens}; lower "max_tokens" or ask the operator for a larger burst.`;
  return createRefusal('request_too_costly', message);
}

function describeFailure(
  failure: AdmitFailure,
  tokens: number,
  account: ClientAccount,
): IHttpFailure {
  switch (failure.kind) {
    case 'rate_limited': {
      const message = 'Your client account has used up its rate; try again after Retry-After.';
      return createRefusal('rate_limited', message, failure.retryAfterMs);
    }
    case 'too_costly':
      return describeTooCostly(tokens, account);
    case 'control_unavailable': {
      const message = 'The rate of your client account cannot be checked now; try again.';
      return createRefusal('control_unavailable', message, failure.retryAfterMs);
    }
    case 'aborted':
      return createRefusal('request_timeout', 'The request ended before it was admitted.');
  }
}
