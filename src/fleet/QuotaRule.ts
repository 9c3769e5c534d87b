/** How the limits of a client account are applied over the fleet. */
import type { IClientAccount } from './Types.js';

/** Part of the limit that is used; the rest covers reports on their way. */
const USED_PART = 0.94;

/** Terms that a deployment sets for all client accounts. */
export interface IQuotaTerms {
  /** The limit holds for any span of this length. */
  readonly windowMs: number;
  /** Part by which the limit may be exceeded. */
  readonly excess: number;
  /** Tokens beyond the limit that are tolerated. */
  readonly tolerance: number;
}

/**
 * Most tokens that a client account may spend within the window. The tolerance is used: a request that
 * the terms allow is refused only to its client's harm.
 */
export function deriveWindowLimit(account: IClientAccount, terms: IQuotaTerms): number {
  const nominal = (account.tokensPerSecond * terms.windowMs) / 1_000 + account.burstTokens;
  return USED_PART * (nominal * (1 + terms.excess) + terms.tolerance);
}
