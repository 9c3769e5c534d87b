/** Checks the guarantee on rates and bursts in tests of the ledger and of the wallet. */

/** Tokens finally used by one request, counted at the instant of its admission. */
export interface IAdmittedRequest {
  readonly atMs: number;
  /** Reserved tokens, less those that the settlement found unused. */
  readonly usedTokens: number;
  /** Refill from the start up to this instant, at the rates in force. */
  readonly refilledTokens: number;
  /** Burst at this instant, or the outstanding tokens if the burst was lowered below them. */
  readonly burstTokens: number;
}

/**
 * Largest excess over rate x time + burst among all pairs of admissions, both included. At most zero
 * when the guarantee holds; minus infinity without admissions.
 */
export function measureExcess(admissions: readonly IAdmittedRequest[]): number {
  const ordered = [...admissions].sort((left, right) => left.atMs - right.atMs);
  let usedBefore = 0;
  let maxExcess = -Infinity;
  // Largest (refill - tokens used before - burst) over all admissions so far, as the start of an interval.
  let maxStartTerm = -Infinity;
  for (const admission of ordered) {
    const { refilledTokens, burstTokens, usedTokens } = admission;
    maxStartTerm = Math.max(maxStartTerm, refilledTokens - usedBefore - burstTokens);
    usedBefore += usedTokens;
    maxExcess = Math.max(maxExcess, usedBefore - refilledTokens + maxStartTerm);
  }
  return maxExcess;
}
