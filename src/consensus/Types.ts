/** Interfaces between the replicated log, its callers and the state machine that it drives. */
import type { Membership } from '../gen/redwingwharf/v1/consensus_pb.js';
import type { IEvent } from '../common/Lifecycle.js';
import type { IFailure, Result } from '../common/Result.js';

/**
 * Deterministic state that the log replicates: applying the same commands in the same order gives the
 * same state on every member.
 */
export interface IStateMachine {
  /** Applies a committed command and returns the encoded result. */
  apply(command: Uint8Array, index: number): Uint8Array;
  snapshot(): Uint8Array;
  restore(snapshot: Uint8Array): void;
}

export type ConsensusRole = 'follower' | 'candidate' | 'leader' | 'learner';

/** Role, log position and committed membership as this member sees them. */
export interface IConsensusStatus {
  readonly role: ConsensusRole;
  readonly term: number;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  readonly memberId: string;
  readonly diskId: Uint8Array;
  readonly clusterId: Uint8Array;
  readonly leaderAddress: string | undefined;
  readonly membership: Membership;
}

/** A command that was committed and applied on this member. */
export interface ICommitted {
  readonly index: number;
  readonly result: Uint8Array;
}

/** Why `propose` could not report a command as committed. */
export type ConsensusFailure =
  | (IFailure<'not_leader'> & { readonly leaderAddress: string | undefined })
  /** The outcome is unknown: the command may still be committed later. */
  | IFailure<'indeterminate'>
  | IFailure<'stopped'>;

/** Rules by which the leader replaces or removes lost voters without an operator. */
export interface IMembershipPolicy {
  /**
   * A voter that has not answered for this long is replaced by a learner that has caught up. A learner that has not is
   * removed.
   */
  readonly lostVoterTimeoutMs: number;
  /**
   * A lost voter is removed without a replacement only while there are more voters than this: 2f + 1, where
   * f is the number of failures to be tolerated.
   */
  readonly minVoters: number;
  /** With this many voters, learners are promoted only to replace a lost voter. */
  readonly maxVoters: number;
}

/** A log of commands. A command is committed once a majority of voters has it on disk. */
export interface IReplicatedLog {
  readonly status: IConsensusStatus;
  /** Commits a command; resolves after it was applied on this member. */
  propose(command: Uint8Array, signal: AbortSignal): Promise<Result<ICommitted, ConsensusFailure>>;
  /**
   * Latest time, by the clock passed to the log, at which this leader was certainly the leader and its
   * state current: the start of the last heartbeat round that a majority acknowledged. Undefined on other
   * members and on a leader that has not yet committed an entry of its own term.
   */
  getConfirmedAt(): number | undefined;
  readonly onRoleChange: IEvent<IConsensusStatus>;
}
