/**
 * State shared by the tasks of one member: role, leader, commit index and applied index, and the callers
 * that wait for a commit. Every change of the hard state, and of the log of a follower, runs in `mutex`.
 */
import { create } from '@bufbuild/protobuf';
import type { IClock } from '../common/Clock.js';
import { hasSameBytes } from '../common/Hashes.js';
import { Emitter } from '../common/Lifecycle.js';
import { describeError, type ILog } from '../common/Log.js';
import { Err, Ok, type Result } from '../common/Result.js';
import {
  SenderSchema,
  type LogEntry,
  type Membership,
  type Sender,
} from '../gen/redwingwharf/v1/consensus_pb.js';
import type { ConsensusStore } from './ConsensusStore.js';
import { Mutex } from './Mutex.js';
import { InvariantError } from './InvariantError.js';
import { LostDisks } from './LostDisks.js';
import {
  findMember,
  formatMemberIdentity,
  getMajority,
  getQuorumWithout,
  isHalvable,
  isSameMember,
  isVoter,
  type IMemberIdentity,
  type IQuorum,
} from './Memberships.js';
import type {
  ConsensusFailure,
  ConsensusRole,
  ICommitted,
  IConsensusStatus,
  IStateMachine,
} from './Types.js';

/** A snapshot is taken after this many entries or bytes of commands, whichever comes first. */
const SNAPSHOT_INTERVAL_ENTRIES = 512;
const SNAPSHOT_INTERVAL_BYTES = 4 * 1024 * 1024;

/** Factor by which the remembered gap between messages of the leader falls with each message. */
const CONTACT_GAP_DECAY = 0.9;

const EMPTY_RESULT = new Uint8Array();

/** A caller that waits until the entry that it proposed in a term is applied. */
interface ICommitWaiter {
  readonly term: number;
  readonly resolve: (result: Result<ICommitted, ConsensusFailure>) => void;
}

/** The view of a `Leadership` that `MemberState` needs. */
export interface IActiveLeadership {
  readonly term: number;
  stop(): void;
}

/** Holds the shared state of one member, performs its role transitions and applies committed entries. */
export class MemberState {
  /** Serialises changes of the hard state and, on a follower, of the log. */
  public readonly mutex = new Mutex();
  public readonly roleChanges = new Emitter<IConsensusStatus>();
  /** Fires once, when the member stops because of an error. */
  public readonly failures = new Emitter<unknown>();
  public leadership: IActiveLeadership | undefined;
  public readonly lostDisks: LostDisks;

  private readonly _stopping = new AbortController();
  private readonly _commitWaiters = new Map<number, ICommitWaiter>();
  private _role: 'follower' | 'candidate' | 'leader' = 'follower';
  private _leader: IMemberIdentity | undefined;
  private _leaderAddress: string | undefined;
  private _lastContactAt: number;
  /** Longest recent time between two messages of the leader; it falls with each message that comes sooner. */
  private _contactGapMs = 0;
  private _commitIndex: number;
  private _appliedIndex: number;
  private _bytesSinceSnapshot = 0;
  private _isSnapshotting = false;
  private _hasHadContact = false;
  private _failure: unknown;

  constructor(
    public readonly store: ConsensusStore,
    public readonly address: string,
    public readonly clock: IClock,
    public readonly log: ILog,
    private readonly _machine: IStateMachine,
    /** Fewest voters of the group; infinite if only an operator changes its voters. */
    private readonly _minVoters = Number.POSITIVE_INFINITY,
  ) {
    this.lostDisks = new LostDisks(store.identity);
    this._lastContactAt = clock.now();
    this._commitIndex = store.snapshot.index;
    this._appliedIndex = store.snapshot.index;
  }

  /** Aborted when the member stops. */
  public get signal(): AbortSignal {
    return this._stopping.signal;
  }

  /** The error that stopped the member, if one did. */
  public get failure(): unknown {
    return this._failure;
  }

  public get identity(): IMemberIdentity {
    return this.store.identity;
  }

  public get term(): number {
    return this.store.term;
  }

  public get role(): 'follower' | 'candidate' | 'leader' {
    return this._role;
  }

  public get commitIndex(): number {
    return this._commitIndex;
  }

  public get membership(): Membership {
    return this.store.membership.membership;
  }

  /** The quorum of elections, and of contact with the group. */
  public get quorum(): IQuorum {
    const { membership, index } = this.store.membership;
    return index <= this._commitIndex
      ? this._getCommittedQuorum(membership)
      : getMajority(membership);
  }

  /**
   * The quorums that must all store an entry before it is committed. While a change that leaves an even group is not
   * committed, that group is one of them: a quorum of it without a lost disk need not overlap with a majority of the next group.
   */
  public get commitQuorums(): readonly IQuorum[] {
    const { index } = this.store.membership;
    if (index <= this._commitIndex) {
      return [this.quorum];
    }
    // A change is proposed only once the one before it is committed.
    const { membership: previous } = this.store.getMembershipAt(index - 1);
    return isHalvable(previous, this._minVoters)
      ? [this.quorum, this._getCommittedQuorum(previous)]
      : [this.quorum];
  }

  /** True if half of the current group may decide once a voter has lost its disk. */
  public get isHalvable(): boolean {
    return isHalvable(this.membership, this._minVoters);
  }

  public get isVoter(): boolean {
    return isVoter(this.membership, this.identity);
  }

  public get leaderAddress(): string | undefined {
    return this._leaderAddress;
  }

  /** True once this member accepted a leader or voted for a candidate since its start. */
  public get hasHadContact(): boolean {
    return this._hasHadContact;
  }

  /** Longest recent time between two messages of the leader. */
  public get contactGapMs(): number {
    return this._contactGapMs;
  }

  /** Time of the last contact with a leader or candidate, or of the start. */
  public get lastContactAt(): number {
    return this._lastContactAt;
  }

  public get status(): IConsensusStatus {
    const role: ConsensusRole = this._role === 'follower' && !this.isVoter ? 'learner' : this._role;
    return {
      role,
      term: this.term,
      commitIndex: this._commitIndex,
      appliedIndex: this._appliedIndex,
      memberId: this.identity.memberId,
      diskId: this.identity.diskId,
      clusterId: this.store.clusterId,
      leaderAddress: this._leaderAddress,
      // An uncommitted membership change may still be rolled back.
      membership: this.store.getMembershipAt(this._commitIndex).membership,
    };
  }

  public createSender(): Sender {
    return create(SenderSchema, {
      clusterId: this.store.clusterId,
      memberId: this.identity.memberId,
      diskId: this.identity.diskId,
      term: BigInt(this.term),
    });
  }

  /** True if a message is from the same group. A disk that belongs to no group accepts no message. */
  public isSameGroup(sender: Sender | undefined): sender is Sender {
    const { clusterId } = this.store;
    return (
      sender !== undefined && clusterId.length > 0 && hasSameBytes(sender.clusterId, clusterId)
    );
  }

  /** True if a message is from a member of the same group. */
  public isFromMember(sender: Sender | undefined): sender is Sender {
    return this.isSameGroup(sender) && findMember(this.membership, sender) !== undefined;
  }

  /** True if a response is from the expected member and that member is still in the membership. */
  public isExpectedResponse(
    sender: Sender | undefined,
    expected: IMemberIdentity,
  ): sender is Sender {
    return this.isFromMember(sender) && isSameMember(sender, expected);
  }

  /** Adopts a higher term that a member reported. */
  public observeTerm(term: number): Promise<void> {
    return this.mutex.run(async () => {
      if (term > this.term) {
        await this.enterTerm(term);
      }
    });
  }

  /** Becomes a follower in a higher term, and casts its vote there if one is given. Call only within `mutex`. */
  public async enterTerm(term: number, vote?: IMemberIdentity): Promise<void> {
    this.stepDown();
    this._leader = undefined;
    this._leaderAddress = undefined;
    await this.store.saveTerm(term, vote);
    this._emitRoleChange();
  }

  /** Becomes a follower without changing the term. Callers that wait for a commit fail. */
  public stepDown(): void {
    if (this._role === 'follower') {
      return;
    }
    this._role = 'follower';
    this._leaderAddress = undefined;
    this.leadership?.stop();
    this.leadership = undefined;
    this._rejectCommitWaiters({
      kind: 'indeterminate',
      message: 'The leader stepped down; look up the outcome at the new leader.',
    });
    this._emitRoleChange();
  }

  /** Becomes a candidate in the next term and votes for itself. Call only within `mutex`. */
  public async startCandidacy(): Promise<void> {
    this._role = 'candidate';
    this._leader = undefined;
    this._leaderAddress = undefined;
    await this.store.saveTerm(this.term + 1, this.identity);
    this._emitRoleChange();
  }

  public startLeadership(leadership: IActiveLeadership): void {
    this._setLeader(this.identity);
    this._role = 'leader';
    this._leaderAddress = this.address;
    this.leadership = leadership;
    this._emitRoleChange();
  }

  /** Follows the leader of the current term. Call only within `mutex`. */
  public acceptLeader(leader: IMemberIdentity, address: string | undefined): void {
    if (this._role === 'leader') {
      const problem = `${formatMemberIdentity(leader)} also leads term ${this.term}`;
      throw new InvariantError(problem);
    }
    this._setLeader(leader);
    const hasChanged =
      this._role !== 'follower' || (address !== undefined && address !== this._leaderAddress);
    this._role = 'follower';
    this._leaderAddress = address ?? this._leaderAddress;
    if (hasChanged) {
      this._emitRoleChange();
    }
  }

  /** Restarts the election timeout. */
  public recordContact(): void {
    const now = this.clock.now();
    if (this._leaderAddress !== undefined) {
      const gapMs = now - this._lastContactAt;
      this._contactGapMs = Math.max(gapMs, this._contactGapMs * CONTACT_GAP_DECAY);
    }
    this._hasHadContact = true;
    this._lastContactAt = now;
  }

  /** Marks the entries up to an index as committed and applies them. */
  public advanceCommit(index: number): void {
    if (index < this._commitIndex || index > this.store.lastIndex) {
      throw new InvariantError(
        `the committed index would go from ${this._commitIndex} to ${index} of ${this.store.lastIndex}`,
      );
    }
    this._commitIndex = index;
    while (this._appliedIndex < index) {
      this._applyNext();
    }
    this._snapshotIfDue();
  }

  /** Applies the entries that are known to be committed since before a restart. */
  public applyRecordedCommits(): void {
    this.advanceCommit(this.store.recordedCommitIndex);
  }

  /** Replaces the state by a snapshot from the leader. Call only within `mutex`. */
  public restore(data: Uint8Array, index: number): void {
    if (index < this._commitIndex) {
      throw new InvariantError(`a snapshot at ${index} would undo entry ${this._commitIndex}`);
    }
    this._machine.restore(data);
    this._commitIndex = index;
    this._appliedIndex = index;
    this._bytesSinceSnapshot = 0;
  }

  /**
   * Resolves when the entry at an index is applied, or with a failure if the signal is aborted, the member
   * stops, or it steps down, after which another leader may replace the entry.
   */
  public async waitForCommit(
    index: number,
    signal: AbortSignal,
  ): Promise<Result<ICommitted, ConsensusFailure>> {
    const { term } = this;
    return new Promise((resolve) => {
      const abort = (): void => {
        this._commitWaiters.delete(index);
        const message = 'The call ended before the command was committed; look up its outcome.';
        resolve(Err({ kind: 'indeterminate', message }));
      };
      const settle = (result: Result<ICommitted, ConsensusFailure>): void => {
        signal.removeEventListener('abort', abort);
        resolve(result);
      };
      this._commitWaiters.set(index, { term, resolve: settle });
      signal.addEventListener('abort', abort, { once: true });
      if (signal.aborted) {
        abort();
      }
    });
  }

  /** Stops the member after an unrecoverable error. */
  public fail(error: unknown): void {
    if (this.signal.aborted) {
      return;
    }
    this._failure = error;
    this.log.error('consensus member stopped', { reason: describeError(error) });
    this.stop();
    this.failures.fire(error);
  }

  /** Aborts all tasks and fails the callers that wait for a commit. */
  public stop(): void {
    this._stopping.abort();
    this.stepDown();
    this._rejectCommitWaiters({
      kind: 'stopped',
      message: 'This member is stopping; ask another one.',
    });
  }

  private _getCommittedQuorum(membership: Membership): IQuorum {
    return getQuorumWithout(membership, this._minVoters, (identity) =>
      this.lostDisks.has(identity),
    );
  }

  private _setLeader(leader: IMemberIdentity): void {
    if (this._leader !== undefined && !isSameMember(this._leader, leader)) {
      throw new InvariantError(
        `term ${this.term} has two leaders, ${formatMemberIdentity(this._leader)} and ${formatMemberIdentity(leader)}`,
      );
    }
    this._leader = { memberId: leader.memberId, diskId: leader.diskId };
  }

  private _applyNext(): void {
    const index = this._appliedIndex + 1;
    const entry = this.store.getEntry(index);
    if (entry === undefined || Number(entry.index) !== index) {
      throw new InvariantError(`entry ${index} is missing where it would be applied`);
    }
    const result = this._applyEntry(entry, index);
    this._appliedIndex = index;
    const waiter = this._commitWaiters.get(index);
    this._commitWaiters.delete(index);
    if (waiter === undefined) {
      return;
    }
    if (waiter.term !== Number(entry.term)) {
      throw new InvariantError(`entry ${index} was replaced while a caller waited for it`);
    }
    waiter.resolve(Ok({ index, result }));
  }

  private _applyEntry(entry: LogEntry, index: number): Uint8Array {
    if (entry.body.case !== 'command') {
      return EMPTY_RESULT;
    }
    this._bytesSinceSnapshot += entry.body.value.length;
    return this._machine.apply(entry.body.value, index);
  }

  private _snapshotIfDue(): void {
    const count = this._appliedIndex - this.store.snapshot.index;
    const isDue =
      count >= SNAPSHOT_INTERVAL_ENTRIES || this._bytesSinceSnapshot >= SNAPSHOT_INTERVAL_BYTES;
    if (!isDue || this._isSnapshotting) {
      return;
    }
    this._isSnapshotting = true;
    this._bytesSinceSnapshot = 0;
    const index = this._appliedIndex;
    const { membership } = this.store.getMembershipAt(index);
    const position = { index, term: this.store.getTerm(index) ?? 0, membership };
    this.store
      .saveSnapshot(position, this._machine.snapshot())
      .catch((error: unknown) => {
        this.fail(error);
      })
      .finally(() => {
        this._isSnapshotting = false;
      });
  }

  private _rejectCommitWaiters(failure: ConsensusFailure): void {
    const waiters = [...this._commitWaiters.values()];
    this._commitWaiters.clear();
    for (const waiter of waiters) {
      waiter.resolve(Err(failure));
    }
  }

  private _emitRoleChange(): void {
    this.roleChanges.fire(this.status);
  }
}
