/** Interfaces between the replicated log and its users. */
import type { Membership } from '../gen/redwingwharf/v1/consensus_pb.js';
import type { IEvent } from '../common/Lifecycle.js';
import type { IFailure, Result } from '../common/Result.js';

/** The state that the log replicates. Applying the same commands gives the same state everywhere. */
export interface IStateMachine {
  /** Applies a committed command and returns the encoded result. */
  apply(command: Uint8Array, index: number): Uint8Array;
  snapshot(): Uint8Array;
  restore(snapshot: Uint8Array): void;
}

export type ConsensusRole = 'follower' | 'candidate' | 'leader' | 'learner';

/** What this member knows of the group. */
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

/** Why a command was not known to be committed. */
export type ConsensusFailure =
  | (IFailure<'not_leader'> & { readonly leaderAddress: string | undefined })
  /** The command may still be committed later. */
  | IFailure<'indeterminate'>
  | IFailure<'stopped'>;

/** How a group replaces members that are lost, where no operator does it. */
export interface IMembershipPolicy {
  /** A voter that has been silent for this long gives its place to a learner that is ready. */
  readonly lostVoterMs: number;
  /** The group does not shrink below this number of voters: twice the losses to be borne and one. */
  readonly minVoters: number;
  /** Learners beyond this number of voters wait until a voter is lost. */
  readonly maxVoters: number;
}

/** A log that a majority of members keeps on disk. */
export interface IReplicatedLog {
  readonly status: IConsensusStatus;
  /** Commits a command; returns after it was applied on this member. */
  propose(command: Uint8Array, signal: AbortSignal): Promise<Result<ICommitted, ConsensusFailure>>;
  /**
   * Time (of the clock passed to the log) at which this leader's state was known to be current: the
   * start of the last heartbeat round that a majority acknowledged. Undefined on other members and
   * on a leader that has not committed an entry of its own term.
   */
  getConfirmedAt(): number | undefined;
  readonly onRoleChange: IEvent<IConsensusStatus>;
}
