/** Changes of the membership, made by the leader one step at a time. */
import { create } from '@bufbuild/protobuf';
import { hasSameBytes } from '../common/Hashes.js';
import { Err, Ok, type IFailure, type Result } from '../common/Result.js';
import { isAborted, runWithLimit, sleep } from '../common/Tasks.js';
import {
  JoinResponseSchema,
  type JoinRequest,
  type JoinResponse,
  type Member,
  type Membership,
} from '../gen/redwingwharf/v1/consensus_pb.js';
import { Exclusive } from './Exclusive.js';
import type { Leadership } from './Leadership.js';
import type { MemberState } from './MemberState.js';
import {
  addLearner,
  findMember,
  formatPair,
  isSamePair,
  listVoters,
  moveMember,
  promoteLearner,
  removePair,
  toPair,
  type IMemberPair,
} from './Memberships.js';
import type { IConsensusTimings } from './Timings.js';
import type { ConsensusFailure, IMembershipPolicy } from './Types.js';

/** Why a membership change was not made. */
export type MembershipFailure = ConsensusFailure | IFailure<'refused'>;

type ChangeResult = Result<void, MembershipFailure>;

export class MembershipChanges {
  private readonly _changes = new Exclusive();
  private _isPromoting = false;

  constructor(
    private readonly _state: MemberState,
    private readonly _timings: IConsensusTimings,
    private readonly _policy: IMembershipPolicy | undefined,
  ) {}

  /** Answers a disk that asks to be added. */
  public async handleJoin(
    leadership: Leadership | undefined,
    request: JoinRequest,
    signal: AbortSignal,
  ): Promise<JoinResponse> {
    const { clusterId } = this._state.store;
    if (request.clusterId.length > 0 && !hasSameBytes(request.clusterId, clusterId)) {
      return this._respond('The disk belongs to another group; start it with an empty directory.');
    }
    if (leadership === undefined) {
      return this._respond('This member does not lead; ask the leader.');
    }
    const result = await runWithLimit(signal, this._timings.joinMs, (limited) =>
      this._changes.run(() => this._admit(leadership, request, limited)),
    );
    return this._respond(result.ok ? undefined : result.val.message);
  }

  /** Removes all pairs with a member id. */
  public remove(
    leadership: Leadership,
    memberId: string,
    signal: AbortSignal,
  ): Promise<ChangeResult> {
    return this._changes.run(async () => {
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
   * Promotes a learner that holds everything committed. Voters that answer must know the learner
   * first: they ignore vote requests from pairs outside the membership they know.
   */
  public promoteIfReady(leadership: Leadership): void {
    if (this._isPromoting) {
      return;
    }
    const learner = this._findReadyLearner(leadership);
    const lost = this._findLostVoter(leadership);
    const minVoters = this._policy?.minVoters ?? Number.POSITIVE_INFINITY;
    const canShrink = listVoters(this._state.membership).length > minVoters;
    if (learner !== undefined && (lost !== undefined || !this._isFull())) {
      this._runChange('learner promoted', learner, () =>
        this._promote(leadership, toPair(learner), lost),
      );
    } else if (lost !== undefined && canShrink) {
      this._runChange('lost voter removed', lost, () =>
        this._removeMember(leadership, lost, leadership.signal),
      );
    }
  }

  /** Makes a change that no caller waits for, one at a time. */
  private _runChange(what: string, member: Member, change: () => Promise<ChangeResult>): void {
    this._isPromoting = true;
    this._changes
      .run(change)
      .then((result) => {
        this._state.log.info(what, { member: member.id, ok: result.ok });
      })
      .catch((error: unknown) => {
        this._state.fail(error);
      })
      .finally(() => {
        this._isPromoting = false;
      });
  }

  /** The lost voter goes first: with it among them, the other voters would all be needed. */
  private async _promote(
    leadership: Leadership,
    pair: IMemberPair,
    lost: Member | undefined,
  ): Promise<ChangeResult> {
    if (lost !== undefined) {
      const removed = await this._removeMember(leadership, lost, leadership.signal);
      if (!removed.ok) {
        return removed;
      }
    }
    const promote = (membership: Membership): Membership | undefined =>
      this._isReady(leadership, pair) ? promoteLearner(membership, pair) : undefined;
    return this._applyChange(leadership, promote, leadership.signal);
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
    const pair: IMemberPair = request;
    const known = findMember(this._state.membership, pair);
    if (known?.address === request.address) {
      return this._settleChange(leadership, signal);
    }
    if (known !== undefined) {
      const move = (membership: Membership): Membership =>
        moveMember(membership, pair, request.address);
      return this._applyChange(leadership, move, signal);
    }
    const removal = await this._removeOldDisks(leadership, pair, signal);
    if (!removal.ok) {
      return removal;
    }
    const add = (membership: Membership): Membership =>
      addLearner(membership, pair, request.address);
    return this._applyChange(leadership, add, signal);
  }

  /** Removes the pairs of the same member id; refuses if one of them is still alive. */
  private async _removeOldDisks(
    leadership: Leadership,
    pair: IMemberPair,
    signal: AbortSignal,
  ): Promise<ChangeResult> {
    for (const member of this._listByMemberId(pair.memberId)) {
      if (this._isAlive(leadership, member)) {
        return refuse(
          `Member ${pair.memberId} is running with another disk; stop it, or choose another member id.`,
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
    if (isSamePair(toPair(member), this._state.pair)) {
      return true;
    }
    const contactAt = leadership.getContact(toPair(member)) ?? Number.NEGATIVE_INFINITY;
    return this._state.clock.now() - contactAt < this._timings.electionMaxMs;
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
    const remove = (membership: Membership): Membership => removePair(membership, toPair(member));
    return this._applyChange(leadership, remove, signal);
  }

  /** Waits until the change before is committed, then commits the next one. */
  private async _applyChange(
    leadership: Leadership,
    edit: (membership: Membership) => Membership | undefined,
    signal: AbortSignal,
  ): Promise<ChangeResult> {
    const settled = await this._settleChange(leadership, signal);
    if (!settled.ok) {
      return settled;
    }
    const membership = edit(this._state.membership);
    if (membership === undefined) {
      return refuse('The membership changed meanwhile; try again.');
    }
    const members = membership.members.map((member) => formatPair(toPair(member)));
    this._state.log.info('membership change', { members });
    const result = await leadership.propose({ case: 'membership', value: membership }, signal);
    return result.ok ? Ok(undefined) : Err(result.val);
  }

  private async _settleChange(leadership: Leadership, signal: AbortSignal): Promise<ChangeResult> {
    while (!leadership.canChangeMembership) {
      if (isAborted(leadership.signal) || isAborted(signal)) {
        return refuse('An earlier membership change is not committed yet; try again.');
      }
      await sleep(this._timings.heartbeatMs, signal);
    }
    return Ok(undefined);
  }

  private _findReadyLearner(leadership: Leadership): Member | undefined {
    return this._state.membership.members.find(
      (member) => !member.voter && this._isReady(leadership, toPair(member)),
    );
  }

  private _isFull(): boolean {
    const { maxVoters } = this._policy ?? { maxVoters: Number.POSITIVE_INFINITY };
    return listVoters(this._state.membership).length >= maxVoters;
  }

  /** A voter that has been silent for so long that a learner takes its place. */
  private _findLostVoter(leadership: Leadership): Member | undefined {
    const policy = this._policy;
    if (policy === undefined) {
      return undefined;
    }
    const now = this._state.clock.now();
    return listVoters(this._state.membership).find((voter) => {
      const pair = toPair(voter);
      const contactAt = leadership.getContact(pair) ?? now;
      return !isSamePair(pair, this._state.pair) && now - contactAt > policy.lostVoterMs;
    });
  }

  private _isReady(leadership: Leadership, pair: IMemberPair): boolean {
    const { commitIndex, store, membership } = this._state;
    const isCaughtUp = leadership.getMatchIndex(pair) >= commitIndex;
    const isKnown = listVoters(membership).every((voter) => {
      const isBehind = leadership.getMatchIndex(toPair(voter)) < store.membership.index;
      const isSelf = isSamePair(toPair(voter), this._state.pair);
      return isSelf || !this._isAlive(leadership, voter) || !isBehind;
    });
    return leadership.canChangeMembership && isCaughtUp && isKnown;
  }
}

function refuse(message: string): ChangeResult {
  return Err({ kind: 'refused', message });
}
