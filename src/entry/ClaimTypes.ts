/** Types that the modules for non-repeatable calls share. */
import type { Answer, ClaimBinding } from '../gen/redwingwharf/v1/state_pb.js';
import { createFailure, type IHttpFailure } from './Failures.js';

/** Outcome of an attempt that is bound to a sidecar, as far as it is known. */
export type ClaimOutcome =
  | { readonly kind: 'answered'; readonly answer: Answer }
  | { readonly kind: 'not_run'; readonly isOldRevision: boolean }
  | { readonly kind: 'running' }
  /** The process stops, so the attempt was not sent. */
  | { readonly kind: 'stopping' }
  /** The sidecar does not answer; the outcome may still become known. */
  | { readonly kind: 'unreachable' }
  /** The sidecar no longer knows the outcome, so it can never become known. */
  | { readonly kind: 'lost' };

/** One attempt of a claim, bound to one sidecar incarnation. */
export interface IClaimAttempt {
  readonly claimId: bigint;
  readonly attempt: number;
  readonly binding: ClaimBinding;
}

/** Failure of a call whose outcome is unknown. */
export function describeUnknownOutcome(): IHttpFailure {
  const message =
    'It is not known whether the call ran. It will not be run again under this Idempotency-Key; ' +
    'check with the service.';
  return createFailure('outcome_unknown', message, 'unknown');
}
