/** Check of the guarantee on rates and bursts, for tests of the ledger and of the wallet. */

/** Tokens finally used by one request, at the instant of its admission. */
export interface IAdmission {
  readonly atMs: number;
  /** Reserved tokens, less what a settlement found unused. */
  readonly usedTokens: number;
  /** Tokens that the rates of the time have added from the start up to this instant. */
  readonly refilledTokens: number;
  /** Burst at this instant, or tokens outstanding when it was lowered below them. */
  readonly burstTokens: number;
}

/**
 * Largest excess over rate x time + burst among all pairs of admissions, both included. At most zero
 * when the guarantee holds; minus infinity without admissions.
 */
export function measureExcess(admissions: readonly IAdmission[]): number {
  const ordered = [...admissions].sort((left, right) => left.atMs - right.atMs);
  let usedBefore = 0;
  let worst = -Infinity;
  // Largest (refill - tokens used before - burst) over all starts up to now.
  let best = -Infinity;
  for (const admission of ordered) {
    const { refilledTokens, burstTokens, usedTokens } = admission;
    best = Math.max(best, refilledTokens - usedBefore - burstTokens);
    usedBefore += usedTokens;
    worst = Math.max(worst, usedBefore - refilledTokens + best);
  }
  return worst;
}
