/** Membership changes. The leader commits one single-member change before it proposes the next. */
import { create } from '@bufbuild/protobuf';
import { hasSameBytes } from '../common/Hashes.js';
import { Err, Ok, type IFailure, type Result } from '../common/Result.js';
import { isAborted, runWithTimeout, sleep } from '../common/Tasks.js';
import {
  JoinResponseSchema,
  type JoinRequest,
  type JoinResponse,
  type Member,
  type Membership,
  type WithdrawRequest,
  type WithdrawResponse,
  WithdrawResponseSchema,
} from '../gen/redwingwharf/v1/consensus_pb.js';
import { Mutex } from './Mutex.js';
import type { Leadership } from './Leadership.js';
import type { MemberState } from './MemberState.js';
import {
  addLearner,
  findMember,
  formatMemberIdentity,
  isSameMember,
  listVoters,
  restoreMember,
  promoteLearner,
  removeMember,
  withdrawMember,
  getMemberIdentity,
  type IMemberIdentity,
} from './Memberships.js';
import type { IConsensusTimings } from './Timings.js';
import type { ConsensusFailure, IMembershipPolicy } from './Types.js';

/** Why a membership change was not made. */
export type MembershipFailure = ConsensusFailure | IFailure<'refused'>;

type ChangeResult = Result<void, MembershipFailure>;

/** Admits, promotes, replaces and removes members on behalf of the leader. */
export class MembershipChanges {
  /** Serialises the changes. */
  private readonly _mutex = new Mutex();
  private _isReconciling = false;

  constructor(
    private readonly _state: MemberState,
    private readonly _timings: IConsensusTimings,
    private readonly _policy: IMembershipPolicy | undefined,
  ) {}

  /** Answers the join request of a disk that is not a member, or of a member with a new address. */
  public async handleJoin(
    leadership: Leadership | undefined,
    request: JoinRequest,
    signal: AbortSignal,
  ): Promise<JoinResponse> {
    if (!this._isSameGroup(request.clusterId)) {
      return this._respond('The disk belongs to another group; start it with an empty directory.');
    }
    this._state.lostDisks.recordJoin(this._state.membership, request);
    if (leadership === undefined) {
      return this._respond('This member does not lead; ask the leader.');
    }
    const result = await runWithTimeout(signal, this._timings.joinTimeoutMs, (limited) =>
      this._mutex.run(() => this._admit(leadership, request, limited)),
    );
    return this._respond(result.ok ? undefined : result.val.message);
  }

  /**
   * Takes the vote of a member whose process is stopping, so that the majority does not depend on it when it
   * has ended. Refuses while the group has no voter to spare: most members that stop return with their disk.
   */
  public async handleWithdraw(
    leadership: Leadership | undefined,
    request: WithdrawRequest,
    signal: AbortSignal,
  ): Promise<WithdrawResponse> {
    const result =
      leadership === undefined || !this._isSameGroup(request.clusterId)
        ? refuse('This member does not lead the group; ask the leader.')
        : await runWithTimeout(signal, this._timings.joinTimeoutMs, (limited) =>
            this._mutex.run(() => this._withdraw(leadership, request, limited)),
          );
    return create(WithdrawResponseSchema, {
      accepted: result.ok,
      reason: result.ok ? '' : result.val.message,
    });
  }

  /** Removes all members with a member id, whatever their disk. */
  public remove(
    leadership: Leadership,
    memberId: string,
    signal: AbortSignal,
  ): Promise<ChangeResult> {
    return this._mutex.run(async () => {
      const members = this._listByMemberId(memberId);
      if (members.length === 0) {
        return refuse(`There is no member ${memberId}; check the member id.`);
      }
      for (const member of members) {
        const result = await this._removeMember(leadership, member, signal);
        if (!result.ok) {
          return result;
        }
      }
      return Ok(undefined);
    });
  }

  /**
   * Promotes a learner that has caught up, replaces or removes a lost voter as the policy allows, and removes
   * lost learners. While a voter is silent and not yet lost, nothing is promoted: the group would grow by a
   * voter, and its majority with it, while it may be about to shrink. Reachable voters must have received the
   * entry that added the learner first, because they ignore vote requests from members outside their
   * membership.
   */
  public reconcileVoters(leadership: Leadership): void {
    if (this._isReconciling) {
      return;
    }
    const learner = this._findReadyLearner(leadership);
    const lost = this._findLostMember(leadership, true);
    const canGrow = !this._hasMaxVoters() && !this._hasSilentVoter(leadership);
    if (learner !== undefined && (lost !== undefined || canGrow)) {
      this._runBackgroundChange('learner promoted', learner, () =>
        this._promote(leadership, getMemberIdentity(learner), lost),
      );
    } else if (lost !== undefined && this._canShrink()) {
      this._runBackgroundChange('lost voter removed', lost, () =>
        this._removeMember(leadership, lost, leadership.signal),
      );
    } else {
      const lostLearner = this._findLostMember(leadership, false);
      if (lostLearner !== undefined) {
        this._runBackgroundChange('lost learner removed', lostLearner, () =>
          this._removeMember(leadership, lostLearner, leadership.signal),
        );
      }
    }
  }

  /** Starts a change that no caller waits for; at most one runs at a time. */
  private _runBackgroundChange(
    event: string,
    member: Member,
    change: () => Promise<ChangeResult>,
  ): void {
    this._isReconciling = true;
    this._mutex
      .run(change)
      .then((result) => {
        this._state.log.info(event, { member: member.id, ok: result.ok });
      })
      .catch((error: unknown) => {
        this._state.fail(error);
      })
      .finally(() => {
        this._isReconciling = false;
      });
  }

  /**
   * Removes the lost voter before it promotes the learner. In the other order a group of three would have
   * four voters, one of them lost, and a majority would need all the other three.
   */
  private async _promote(
    leadership: Leadership,
    identity: IMemberIdentity,
    lost: Member | undefined,
  ): Promise<ChangeResult> {
    if (lost !== undefined) {
      const removed = await this._removeMember(leadership, lost, leadership.signal);
      if (!removed.ok) {
        return removed;
      }
    }
    const promote = (membership: Membership): Membership | undefined =>
      this._isReadyForPromotion(leadership, identity)
        ? promoteLearner(membership, identity)
        : undefined;
    return this._applyChange(leadership, promote, leadership.signal);
  }

  /** A disk that belongs to no group yet may join any. */
  private _isSameGroup(clusterId: Uint8Array): boolean {
    return clusterId.length === 0 || hasSameBytes(clusterId, this._state.store.clusterId);
  }

  private _respond(reason: string | undefined): JoinResponse {
    return create(JoinResponseSchema, {
      accepted: reason === undefined,
      clusterId: this._state.store.clusterId,
      leaderAddress: this._state.leaderAddress ?? '',
      reason: reason ?? '',
    });
  }

  private async _admit(
    leadership: Leadership,
    request: JoinRequest,
    signal: AbortSignal,
  ): Promise<ChangeResult> {
    const identity: IMemberIdentity = request;
    const existing = findMember(this._state.membership, identity);
    if (existing?.address === request.address && !existing.withdrawn) {
      return this._waitForPendingChange(leadership, signal);
    }
    if (existing !== undefined) {
      const restore = (membership: Membership): Membership =>
        restoreMember(membership, identity, request.address);
      return this._applyChange(leadership, restore, signal);
    }
    const removal = await this._removeOldDisks(leadership, identity, signal);
    if (!removal.ok) {
      return removal;
    }
    const add = (membership: Membership): Membership =>
      addLearner(membership, identity, request.address);
    return this._applyChange(leadership, add, signal);
  }

  private async _withdraw(
    leadership: Leadership,
    identity: IMemberIdentity,
    signal: AbortSignal,
  ): Promise<ChangeResult> {
    const settled = await this._waitForPendingChange(leadership, signal);
    const member = findMember(this._state.membership, identity);
    if (!settled.ok || member === undefined || member.withdrawn) {
      return settled;
    }
    if (member.voter && !this._canSpare(leadership, member)) {
      return refuse(`The group has no voter to spare; ${member.id} keeps its vote.`);
    }
    return this._applyChange(
      leadership,
      (membership) => withdrawMember(membership, identity),
      signal,
    );
  }

  /** True if the group may lose this voter, and those of the others that answer are a majority without it. */
  private _canSpare(leadership: Leadership, voter: Member): boolean {
    const others = listVoters(this._state.membership).filter((other) => other !== voter);
    const alive = others.filter((other) => this._isAlive(leadership, other));
    return this._canShrink() && 2 * alive.length > others.length;
  }

  /** Removes earlier disks with the same member id; refuses if a process with one of them still answers. */
  private async _removeOldDisks(
    leadership: Leadership,
    identity: IMemberIdentity,
    signal: AbortSignal,
  ): Promise<ChangeResult> {
    for (const member of this._listByMemberId(identity.memberId)) {
      if (this._isAlive(leadership, member)) {
        return refuse(
          `Member ${identity.memberId} is running with another disk; stop it, or choose another member id.`,
        );
      }
      const result = await this._removeMember(leadership, member, signal);
      if (!result.ok) {
        return result;
      }
    }
    return Ok(undefined);
  }

  private _listByMemberId(memberId: string): Member[] {
    return this._state.membership.members.filter((member) => member.id === memberId);
  }

  private _isAlive(leadership: Leadership, member: Member): boolean {
    if (isSameMember(getMemberIdentity(member), this._state.identity)) {
      return true;
    }
    const confirmedAt =
      leadership.getMemberConfirmedAt(getMemberIdentity(member)) ?? Number.NEGATIVE_INFINITY;
    return this._state.clock.now() - confirmedAt < this._timings.maxElectionTimeoutMs;
  }

  private _removeMember(
    leadership: Leadership,
    member: Member,
    signal: AbortSignal,
  ): Promise<ChangeResult> {
    const voters = listVoters(this._state.membership);
    if (voters.length === 1 && member.voter) {
      return Promise.resolve(refuse(`Member ${member.id} is the only voter; add another first.`));
    }
    const remove = (membership: Membership): Membership =>
      removeMember(membership, getMemberIdentity(member));
    return this._applyChange(leadership, remove, signal);
  }

  /** Waits until the previous change is committed, then commits the next one. */
  private async _applyChange(
    leadership: Leadership,
    edit: (membership: Membership) => Membership | undefined,
    signal: AbortSignal,
  ): Promise<ChangeResult> {
    const settled = await this._waitForPendingChange(leadership, signal);
    if (!settled.ok) {
      return settled;
    }
    const membership = edit(this._state.membership);
    if (membership === undefined) {
      return refuse('The membership changed meanwhile; try again.');
    }
    const members = membership.members.map((member) =>
      formatMemberIdentity(getMemberIdentity(member)),
    );
    this._state.log.info('membership change', { members });
    const result = await leadership.propose({ case: 'membership', value: membership }, signal);
    return result.ok ? Ok(undefined) : Err(result.val);
  }

  private async _waitForPendingChange(
    leadership: Leadership,
    signal: AbortSignal,
  ): Promise<ChangeResult> {
    while (!leadership.canChangeMembership) {
      if (isAborted(leadership.signal) || isAborted(signal)) {
        return refuse('An earlier membership change is not committed yet; try again.');
      }
      await sleep(this._timings.heartbeatIntervalMs, signal);
    }
    return Ok(undefined);
  }

  private _findReadyLearner(leadership: Leadership): Member | undefined {
    return this._state.membership.members.find(
      (member) =>
        !member.voter &&
        !member.withdrawn &&
        this._isReadyForPromotion(leadership, getMemberIdentity(member)),
    );
  }

  private _canShrink(): boolean {
    const { minVoters } = this._policy ?? { minVoters: Number.POSITIVE_INFINITY };
    return listVoters(this._state.membership).length > minVoters;
  }

  private _hasSilentVoter(leadership: Leadership): boolean {
    const voters = listVoters(this._state.membership);
    return this._policy !== undefined && voters.some((voter) => !this._isAlive(leadership, voter));
  }

  private _hasMaxVoters(): boolean {
    const { maxVoters } = this._policy ?? { maxVoters: Number.POSITIVE_INFINITY };
    return listVoters(this._state.membership).length >= maxVoters;
  }

  /**
   * A voter, or else a learner, that has not answered for `lostVoterTimeoutMs`; undefined without a policy. A
   * member that never answered this leader, such as the leader before it, counts from the beginning of the leadership.
   */
  private _findLostMember(leadership: Leadership, isVoter: boolean): Member | undefined {
    const policy = this._policy;
    if (policy === undefined) {
      return undefined;
    }
    const now = this._state.clock.now();
    return this._state.membership.members.find((member) => {
      const identity = getMemberIdentity(member);
      const contactAt = leadership.getMemberContactAt(identity) ?? now;
      const isOther = !isSameMember(identity, this._state.identity);
      return member.voter === isVoter && isOther && now - contactAt > policy.lostVoterTimeoutMs;
    });
  }

  private _isReadyForPromotion(leadership: Leadership, identity: IMemberIdentity): boolean {
    const { commitIndex, store, membership } = this._state;
    const isCaughtUp = leadership.getMatchIndex(identity) >= commitIndex;
    const isKnownToVoters = listVoters(membership).every((voter) => {
      const isBehind = leadership.getMatchIndex(getMemberIdentity(voter)) < store.membership.index;
      const isSelf = isSameMember(getMemberIdentity(voter), this._state.identity);
      return isSelf || !this._isAlive(leadership, voter) || !isBehind;
    });
    return leadership.canChangeMembership && isCaughtUp && isKnownToVoters;
  }
}

function refuse(message: string): ChangeResult {
  return Err({ kind: 'refused', message });
}
