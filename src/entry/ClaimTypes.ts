/** Types of the flow of non-repeatable calls. */
import type { Answer, ClaimBinding } from '../gen/redwingwharf/v1/state_pb.js';
import { fail, type IHttpFailure } from './Failures.js';

/** What is known of a bound attempt. */
export type ClaimOutcome =
  | { readonly kind: 'answered'; readonly answer: Answer }
  | { readonly kind: 'not_run'; readonly isOldRevision: boolean }
  | { readonly kind: 'running' }
  /** The outcome may still become known. */
  | { readonly kind: 'unreachable' }
  /** The outcome can never become known. */
  | { readonly kind: 'lost' };

/** Attempt of a claim at one sidecar. */
export interface IClaimAttempt {
  readonly claimId: bigint;
  readonly attempt: number;
  readonly binding: ClaimBinding;
}

/** Failure of a call whose outcome cannot be told. */
export function describeUnknown(): IHttpFailure {
  const message =
    'It is not known whether the call ran. It will not be run again under this Idempotency-Key; ' +
    'check with the service.';
  return fail('outcome_unknown', message, 'unknown');
}
