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

/**
 * Tokens that processes unknown to the hub may have spent within the window or may still spend.
 *
 * @param brought sum of the earlier leases that entries have reported to the hub
 *
 * @example
 * const withheld = computeWithheld({ kind: 'earlier_leases', startedAt: 0, ceiling: 9_000 }, 4_000, 8_000, now);
 */
export function computeWithheld(
  recovery: QuotaRecovery,
  brought: number,
  windowMs: number,
  now: number,
): number {
  switch (recovery.kind) {
    case 'nothing_spent':
      return 0;
    case 'earlier_leases':
      return now - recovery.startedAt >= FORGET_WINDOWS * windowMs
        ? 0
        : Math.max(0, recovery.ceiling - brought);
    case 'all_stopped': {
      const { startedAt, stoppedAt, history } = recovery;
      if (now - stoppedAt >= windowMs) {
        return 0;
      }
      const expired =
        now - startedAt < SURVIVOR_REPORT_MS ? 0 : sumExpired(history, windowMs, now - stoppedAt);
      return Math.max(0, history.ceiling - expired);
    }
  }
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
