/** Timings of the replicated log. */

/**
 * Between two appends to a member that has nothing to receive. Three fit into the shortest election
 * timeout; each costs a call, and calls are what an idle leader spends its time on.
 */
const HEARTBEAT_MS = 200;

/** Bounds of the randomised time without leader after which a member starts an election. */
const ELECTION_MIN_MS = 600;
const ELECTION_MAX_MS = 1_200;

/**
 * The same for a member that has heard of no leader since its start: after a common stop there is none,
 * and where there is one, its members refuse the trial round.
 */
const FIRST_ELECTION_MIN_MS = 100;
const FIRST_ELECTION_MAX_MS = 400;

/** Limit of one call to a member. */
const CALL_MS = 600;

/** Between two attempts of an empty disk to join. */
const JOIN_RETRY_MS = 500;

/** Limit of a membership change that a joining member waits for. */
const JOIN_MS = 5_000;

export interface IConsensusTimings {
  readonly heartbeatMs: number;
  readonly electionMinMs: number;
  readonly electionMaxMs: number;
  readonly firstElectionMinMs: number;
  readonly firstElectionMaxMs: number;
  readonly callMs: number;
  readonly joinRetryMs: number;
  readonly joinMs: number;
}

export const DEFAULT_TIMINGS: IConsensusTimings = {
  heartbeatMs: HEARTBEAT_MS,
  electionMinMs: ELECTION_MIN_MS,
  electionMaxMs: ELECTION_MAX_MS,
  firstElectionMinMs: FIRST_ELECTION_MIN_MS,
  firstElectionMaxMs: FIRST_ELECTION_MAX_MS,
  callMs: CALL_MS,
  joinRetryMs: JOIN_RETRY_MS,
  joinMs: JOIN_MS,
};
