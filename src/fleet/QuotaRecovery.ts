/** What a new hub assumes about the tokens that were spent and leased before it started. */

/** Time in which the entries that survived report to a new hub; before it, nothing is granted anew. */
const SURVIVOR_REPORT_MS = 500;

/** Longest time from a spending to its record, and from the last record to the stop of all processes. */
const MAX_UNRECORDED_MS = 3_000;

/** Tokens of one client account that all entries spent in one interval, as recorded durably. */
export interface ISpendingSlice {
  readonly tokens: number;
  /** Time between this record and the last one. */
  readonly ageMs: number;
}

/**
 * `nothing_spent`: no configuration was in force before, so no request was admitted.
 * `earlier_leases`: entries hold leases of an earlier hub. Until these have expired, the hub has only those to
 * divide that the entries report.
 * `spending_history`: all processes have just started, so no lease is left. What was spent within the window
 * is not known exactly, but never exceeds the limit; it is granted again as the recorded spending leaves the
 * window, so that each client account goes on at its earlier pace.
 */
export type QuotaRecovery =
  | { readonly kind: 'nothing_spent' }
  | { readonly kind: 'earlier_leases'; readonly startedAt: number }
  | {
      readonly kind: 'spending_history';
      readonly startedAt: number;
      /** Tokens of the recorded spending that have left the window. */
      readonly sumExpired: (now: number) => number;
    };

/**
 * Assumes that all processes have just started.
 *
 * @example
 * const recovery = recoverFromHistory(startedAt, [{ tokens: 900, ageMs: 0 }, { tokens: 400, ageMs: 1_000 }], 8_000);
 */
export function recoverFromHistory(
  startedAt: number,
  slices: readonly ISpendingSlice[],
  windowMs: number,
): QuotaRecovery {
  return {
    kind: 'spending_history',
    startedAt,
    sumExpired: (now) => {
      const elapsedMs = now - startedAt;
      if (elapsedMs < SURVIVOR_REPORT_MS) {
        return 0;
      }
      // Spending that may have left the window before the stop may have been granted again already.
      return slices
        .filter(({ ageMs }) => ageMs < windowMs - MAX_UNRECORDED_MS)
        .filter(({ ageMs }) => ageMs + elapsedMs >= windowMs)
        .reduce((sum, { tokens }) => sum + tokens, 0);
    },
  };
}
