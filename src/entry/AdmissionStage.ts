/** Third stage: turns failures of the admitter into errors that the caller understands. */
import type { Admitter, AdmitFailure } from '../admission/Admitter.js';
import { Err, Ok, type Result } from '../common/Result.js';
import type { ClientAccount } from '../gen/redwingwharf/v1/state_pb.js';
import { refuse, type IHttpFailure } from './Failures.js';
import type { IAdmission, IAdmitter } from './Types.js';

/** Admits requests through the wallet of this entry. */
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
  return refuse('request_too_costly', message);
}

function describeFailure(
  failure: AdmitFailure,
  tokens: number,
  account: ClientAccount,
): IHttpFailure {
  switch (failure.kind) {
    case 'rate_limited': {
      const message = 'Your client account has used up its rate; try again after Retry-After.';
      return refuse('rate_limited', message, failure.retryAfterMs);
    }
    case 'too_costly':
      return describeTooCostly(tokens, account);
    case 'control_unavailable': {
      const message = 'The rate of your client account cannot be checked now; try again.';
      return refuse('control_unavailable', message, failure.retryAfterMs);
    }
    case 'aborted':
      return refuse('request_timeout', 'The request ended before it was admitted.');
  }
}
