/** Intervals and timeouts of the replicated log. */

/**
 * Interval of heartbeats (empty appends) to a member that is up to date. Three fit into the shortest
 * election timeout. Each costs a call, and these calls are most of an idle leader's work.
 */
const HEARTBEAT_INTERVAL_MS = 200;

/** Bounds of the random election timeout: the time without a leader after which a voter campaigns. */
const MIN_ELECTION_TIMEOUT_MS = 600;
const MAX_ELECTION_TIMEOUT_MS = 1_200;

/**
 * Bounds of the election timeout of a member that has had no contact with a leader since its start. It
 * is short because after a restart of the whole group there is no leader; if there is one, the members
 * that follow it refuse the pre-vote.
 */
const MIN_FIRST_ELECTION_TIMEOUT_MS = 100;
const MAX_FIRST_ELECTION_TIMEOUT_MS = 400;

/** Timeout of one call to a member. */
const CALL_TIMEOUT_MS = 600;

/** Interval between two rounds of join requests. */
const JOIN_RETRY_INTERVAL_MS = 500;

/** Timeout of a join request, which includes the membership change. */
const JOIN_TIMEOUT_MS = 5_000;

export interface IConsensusTimings {
  readonly heartbeatIntervalMs: number;
  readonly minElectionTimeoutMs: number;
  readonly maxElectionTimeoutMs: number;
  readonly minFirstElectionTimeoutMs: number;
  readonly maxFirstElectionTimeoutMs: number;
  readonly callTimeoutMs: number;
  readonly joinRetryIntervalMs: number;
  readonly joinTimeoutMs: number;
}

export const DEFAULT_TIMINGS: IConsensusTimings = {
  heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
  minElectionTimeoutMs: MIN_ELECTION_TIMEOUT_MS,
  maxElectionTimeoutMs: MAX_ELECTION_TIMEOUT_MS,
  minFirstElectionTimeoutMs: MIN_FIRST_ELECTION_TIMEOUT_MS,
  maxFirstElectionTimeoutMs: MAX_FIRST_ELECTION_TIMEOUT_MS,
  callTimeoutMs: CALL_TIMEOUT_MS,
  joinRetryIntervalMs: JOIN_RETRY_INTERVAL_MS,
  joinTimeoutMs: JOIN_TIMEOUT_MS,
};
