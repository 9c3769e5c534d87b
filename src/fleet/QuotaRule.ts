/** Computes the fleet-wide token limit of a client account. */
import type { IClientAccount } from './Types.js';

/** A lease is valid for this many windows after the entry sent the report that it answers. */
export const LEASE_WINDOWS = 1;

/** After this many windows a process that is not heard of no longer counts: its spending has left the window. */
export const FORGET_WINDOWS = LEASE_WINDOWS + 1;

/** Fraction of the limit that is used; the remainder covers reports in transit. */
const SAFETY_FACTOR = 0.94;

/** Settings of a deployment for the limits of all client accounts. */
export interface IQuotaTerms {
  /** The limit holds in any time span of this many milliseconds. */
  readonly windowMs: number;
  /** Fraction by which the limit may be exceeded. */
  readonly excessRatio: number;
  /** Tokens by which the limit may be exceeded in addition. */
  readonly toleranceTokens: number;
}

/**
 * Most tokens that a client account may spend within the window. Includes the excess and tolerance, since
 * refusing a request that the terms allow would only harm its client.
 */
export function computeWindowLimit(account: IClientAccount, terms: IQuotaTerms): number {
  const nominal = (account.tokensPerSecond * terms.windowMs) / 1_000 + account.burstTokens;
  return SAFETY_FACTOR * (nominal * (1 + terms.excessRatio) + terms.toleranceTokens);
}
