/** What a new hub assumes about the tokens that were spent and leased before it started. */

import { FORGET_WINDOWS } from './QuotaRule.js';

/** Time in which the entries that survived report to a new hub. */
const SURVIVOR_REPORT_MS = 500;

/** Tokens of one client account that all entries spent in one interval, as recorded durably. */
export interface ISpendingSlice {
  readonly tokens: number;
  /** Time between this record and the last one. */
  readonly ageMs: number;
}

/** What the records say of one client account. */
export interface ISpendingHistory {
  /** Most tokens that may have been leased, and so spent within any window, when the records ended. */
  readonly ceiling: number;
  readonly slices: readonly ISpendingSlice[];
  /** Longest time from a spending to its record, and from the last record to the stop of all processes. */
  readonly maxLagMs: number;
}

/**
 * `nothing_spent`: no configuration was in force before, so no request was admitted.
 * `earlier_leases`: entries hold leases of an earlier hub. Until these have expired, what exceeds the ceiling
 * and what the entries report is all that the hub may divide.
 * `all_stopped`: all processes have just started, so no lease is left. What was spent within the window is not
 * known exactly, but not above the ceiling; it is granted again as the recorded spending leaves the window, so
 * that each client account goes on at its earlier pace.
 */
export type QuotaRecovery =
  | { readonly kind: 'nothing_spent' }
  | { readonly kind: 'earlier_leases'; readonly startedAt: number; readonly ceiling: number }
  | {
      readonly kind: 'all_stopped';
      readonly startedAt: number;
      /** Start of the process, by which all others had stopped. */
      readonly stoppedAt: number;
      readonly history: ISpendingHistory;
    };

/**
 * What a hub assumes once a process has reported a lease of an earlier hub: not all processes had stopped, so others
 * may hold such leases too.
 */
export function applySurvivors(recovery: QuotaRecovery): QuotaRecovery {
  switch (recovery.kind) {
    case 'nothing_spent':
    case 'earlier_leases':
      return recovery;
    case 'all_stopped': {
      const { startedAt, history } = recovery;
      return { kind: 'earlier_leases', startedAt, ceiling: history.ceiling };
    }
  }
}

/** What a hub knows of a client account besides its records. */
export interface IWithheldTerms {
  /** Most tokens within the window, by the configuration in force. */
  readonly limit: number;
  /** Sum of the earlier leases that entries have reported to the hub. */
  readonly brought: number;
  readonly windowMs: number;
}

/**
 * Tokens that processes unknown to the hub may have spent within the window or may still spend. What was leased under
 * a higher limit than the present one counts as if it had been lowered in proportion: it ends within two windows, and
 * nothing could be granted until then.
 *
 * @example
 * const recovery = { kind: 'earlier_leases', startedAt: 0, ceiling: 9_000 };
 * const withheld = computeWithheld(recovery, { limit: 9_000, brought: 4_000, windowMs: 8_000 }, now);
 */
export function computeWithheld(
  recovery: QuotaRecovery,
  { limit, brought, windowMs }: IWithheldTerms,
  now: number,
): number {
  switch (recovery.kind) {
    case 'nothing_spent':
      return 0;
    case 'earlier_leases':
      return now - recovery.startedAt >= FORGET_WINDOWS * windowMs
        ? 0
        : scaleToLimit(recovery.ceiling - brought, recovery.ceiling, limit);
    case 'all_stopped': {
      const { startedAt, stoppedAt, history } = recovery;
      if (now - stoppedAt >= windowMs) {
        return 0;
      }
      const expired =
        now - startedAt < SURVIVOR_REPORT_MS ? 0 : sumExpired(history, windowMs, now - stoppedAt);
      return scaleToLimit(history.ceiling - expired, history.ceiling, limit);
    }
  }
}

function scaleToLimit(tokens: number, ceiling: number, limit: number): number {
  return Math.max(0, ceiling > limit ? (tokens * limit) / ceiling : tokens);
}

/** Recorded spending that was within the window at the stop and has left it since. */
function sumExpired(
  { slices, maxLagMs }: ISpendingHistory,
  windowMs: number,
  elapsedMs: number,
): number {
  return slices
    .filter(({ ageMs }) => ageMs < windowMs - 2 * maxLagMs && ageMs + elapsedMs >= windowMs)
    .reduce((sum, { tokens }) => sum + tokens, 0);
}
