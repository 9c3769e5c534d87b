/** Admits requests by tokens that the control leader granted to this entry. */
import { describeError, type ILog } from '../common/Log.js';
import type { IClock } from '../common/Clock.js';
import type { Metrics } from '../common/Metrics.js';
import { Err, Ok, type IFailure, type Result } from '../common/Result.js';
import { addJitter, isAborted, sleep } from '../common/Tasks.js';
import type { CommandResult, SyncGrantsCommand } from '../gen/redwingwharf/v1/state_pb.js';
import type { GrantWallet, IReservation } from './GrantWallet.js';

/** Interval of grant exchanges while accounts are in use. */
export const GRANT_SYNC_INTERVAL_MS = 200;

/** A request waits this long for tokens; beyond it the caller is told when to come back. */
const MAX_TOKEN_WAIT_MS = 500;

/** Longest wait for an answer of the leader before a request is refused. */
const MAX_CONTROL_WAIT_MS = 2_000;

const RETRY_CONTROL_MS = 1_000;

/** The leader's answer to an amount that it can never grant. */
const NEVER_GRANTABLE_MS = 4_294_967_295;

/** Why a request was not admitted. */
export type AdmitFailure =
  | (IFailure<'rate_limited'> & { readonly retryAfterMs: number })
  | IFailure<'too_costly'>
  | (IFailure<'control_unavailable'> & { readonly retryAfterMs: number })
  | IFailure<'aborted'>;

/** Exchanges grants with the leader; undefined when the outcome is not known. */
export type IGrantExchange = (
  command: SyncGrantsCommand,
  signal: AbortSignal,
) => Promise<CommandResult | undefined>;

interface IWaiter {
  readonly account: string;
  readonly tokens: number;
  readonly since: number;
  readonly finish: (result: Result<IReservation, AdmitFailure>) => void;
}
