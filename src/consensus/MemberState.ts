/**
 * State that the tasks of one member share: role, leader, committed and applied index, and the callers
 * that wait for a commit. Steps that change the hard state or the log as a follower run in `exclusive`.
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
import { Exclusive } from './Exclusive.js';
import { InvariantError } from './InvariantError.js';
import { findMember, formatPair, isSamePair, isVoter, type IMemberPair } from './Memberships.js';
import type {
  ConsensusFailure,
  ConsensusRole,
  ICommitted,
  IConsensusStatus,
  IStateMachine,
} from './Types.js';

/** A snapshot is taken after this many entries or bytes of commands. */
const SNAPSHOT_ENTRIES = 512;
const SNAPSHOT_BYTES = 4 * 1024 * 1024;

const EMPTY_RESULT = new Uint8Array();

interface IWaiter {
  readonly term: number;
  readonly resolve: (result: Result<ICommitted, ConsensusFailure>) => void;
}

/** The part of a leadership that the other tasks use. */
export interface IActiveLeadership {
  readonly term: number;
  stop(): void;
}

export class MemberState {
  public readonly exclusive = new Exclusive();
  public readonly roleChanges = new Emitter<IConsensusStatus>();
  /** Fires once, when the member stops because of an error. */
  public readonly failures = new Emitter<unknown>();
  public leadership: IActiveLeadership | undefined;

  private readonly _stopping = new AbortController();
  private readonly _waiters = new Map<number, IWaiter>();
  private _role: 'follower' | 'candidate' | 'leader' = 'follower';
  private _leader: IMemberPair | undefined;
  private _leaderAddress: string | undefined;
  private _lastContactAt: number;
  private _commitIndex: number;
  private _appliedIndex: number;
  private _bytesSinceSnapshot = 0;
  private _isSnapshotting = false;
  private _hasHeardLeader = false;
  private _failure: unknown;

  constructor(
    public readonly store: ConsensusStore,
    public readonly address: string,
    public readonly clock: IClock,
    public readonly log: ILog,
    private readonly _machine: IStateMachine,
  ) {
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

  public get pair(): IMemberPair {
    return this.store.pair;
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

  public get isVoter(): boolean {
    return isVoter(this.membership, this.pair);
  }

  public get leaderAddress(): string | undefined {
    return this._leaderAddress;
  }

  /** True once a leader or a candidate was heard of since the start. */
  public get hasHeardLeader(): boolean {
    return this._hasHeardLeader;
  }

  /** Time of the last message from the leader, or of the start. */
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
      memberId: this.pair.memberId,
      diskId: this.pair.diskId,
      clusterId: this.store.clusterId,
      leaderAddress: this._leaderAddress,
      // A change that isn't committed yet may be undone, so nobody may rely on it.
      membership: this.store.getMembershipAt(this._commitIndex).membership,
    };
  }

  public createSender(): Sender {
    return create(SenderSchema, {
      clusterId: this.store.clusterId,
      memberId: this.pair.memberId,
      diskId: this.pair.diskId,
      term: BigInt(this.term),
    });
  }

  /** True if a message is from the same group. A disk without a group accepts none. */
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

  /** True if a response is from the expected member, which still is in the membership. */
  public isExpectedResponse(sender: Sender | undefined, expected: IMemberPair): sender is Sender {
    return this.isFromMember(sender) && isSamePair(sender, expected);
  }

  /** Adopts a higher term that a member reported. */
  public observeTerm(term: number): Promise<void> {
    return this.exclusive.run(async () => {
      if (term > this.term) {
        await this.enterTerm(term);
      }
    });
  }

  /** Becomes a follower in a higher term. Only within `exclusive`. */
  public async enterTerm(term: number): Promise<void> {
    this.stepDown();
    this._leader = undefined;
    this._leaderAddress = undefined;
    await this.store.saveTerm(term);
    this._announce();
  }

  /** Gives up leadership or candidacy in the current term. */
  public stepDown(): void {
    if (this._role === 'follower') {
      return;
    }
    this._role = 'follower';
    this._leaderAddress = undefined;
    this.leadership?.stop();
    this.leadership = undefined;
    this._rejectWaiters({
      kind: 'indeterminate',
      message: 'The leader stepped down; look up the outcome at the new leader.',
    });
    this._announce();
  }

  /** Votes for itself in a new term. Only within `exclusive`. */
  public async startCandidacy(): Promise<void> {
    this._role = 'candidate';
    this._leader = undefined;
    this._leaderAddress = undefined;
    await this.store.saveTerm(this.term + 1, this.pair);
    this._announce();
  }

  public startLeadership(leadership: IActiveLeadership): void {
    this._setLeader(this.pair);
    this._role = 'leader';
    this._leaderAddress = this.address;
    this.leadership = leadership;
    this._announce();
  }

  /** Follows the leader of the current term. Only within `exclusive`. */
  public acceptLeader(leader: IMemberPair, address: string | undefined): void {
    if (this._role === 'leader') {
      const problem = `${formatPair(leader)} also leads term ${this.term}`;
      throw new InvariantError(problem);
    }
    this._setLeader(leader);
    const hasChanged =
      this._role !== 'follower' || (address !== undefined && address !== this._leaderAddress);
    this._role = 'follower';
    this._leaderAddress = address ?? this._leaderAddress;
    if (hasChanged) {
      this._announce();
    }
  }

  /** Notes that the leader is alive. */
  public noteContact(): void {
    this._hasHeardLeader = true;
    this._lastContactAt = this.clock.now();
  }

  /** Marks entries as committed and applies them. */
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

  /** Replaces the state by a snapshot of the leader. Only within `exclusive`. */
  public restore(data: Uint8Array, index: number): void {
    if (index < this._commitIndex) {
      throw new InvariantError(`a snapshot at ${index} would undo entry ${this._commitIndex}`);
    }
    this._machine.restore(data);
    this._commitIndex = index;
    this._appliedIndex = index;
    this._bytesSinceSnapshot = 0;
  }

  /** Waits until the entry at an index is applied; fails if it may be replaced. */
  public async waitForCommit(
    index: number,
    signal: AbortSignal,
  ): Promise<Result<ICommitted, ConsensusFailure>> {
    const { term } = this;
    return new Promise((resolve) => {
      const abort = (): void => {
        this._waiters.delete(index);
        const message = 'The call ended before the command was committed; look up its outcome.';
        resolve(Err({ kind: 'indeterminate', message }));
      };
      const settle = (result: Result<ICommitted, ConsensusFailure>): void => {
        signal.removeEventListener('abort', abort);
        resolve(result);
      };
      this._waiters.set(index, { term, resolve: settle });
      signal.addEventListener('abort', abort, { once: true });
      if (signal.aborted) {
        abort();
      }
    });
  }

  /** Stops the member because of an error that it must not continue after. */
  public fail(error: unknown): void {
    if (this.signal.aborted) {
      return;
    }
    this._failure = error;
    this.log.error('consensus member stopped', { reason: describeError(error) });
    this.stop();
    this.failures.fire(error);
  }

  /** Ends all tasks. */
  public stop(): void {
    this._stopping.abort();
    this.stepDown();
    this._rejectWaiters({ kind: 'stopped', message: 'This member is stopping; ask another one.' });
  }

  private _setLeader(leader: IMemberPair): void {
    if (this._leader !== undefined && !isSamePair(this._leader, leader)) {
      throw new InvariantError(
        `term ${this.term} has two leaders, ${formatPair(this._leader)} and ${formatPair(leader)}`,
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
    const waiter = this._waiters.get(index);
    this._waiters.delete(index);
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
    const isDue = count >= SNAPSHOT_ENTRIES || this._bytesSinceSnapshot >= SNAPSHOT_BYTES;
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

  private _rejectWaiters(failure: ConsensusFailure): void {
    const waiters = [...this._waiters.values()];
    this._waiters.clear();
    for (const waiter of waiters) {
      waiter.resolve(Err(failure));
    }
  }

  private _announce(): void {
    this.roleChanges.fire(this.status);
  }
}
