/** The voters that are known to have lost their disks, as their members have returned with others. */
import type { Membership } from '../gen/redwingwharf/v1/consensus_pb.js';
import {
  findMember,
  formatMemberIdentity,
  getMemberIdentity,
  isSameMember,
  listVoters,
  type IMemberIdentity,
} from './Memberships.js';

/**
 * Remembers which disks were lost until the process ends; members that have not been admitted with their new disks repeat
 * their join requests. A lost disk is assumed never to vote again. A single wrong report does no harm: half of an even group
 * without one member overlaps with every majority of the group.
 *
 * @example
 * lostDisks.recordJoin(membership, request);
 * const isReduced = voters.some((voter) => lostDisks.has(getMemberIdentity(voter)));
 */
export class LostDisks {
  private readonly _lost = new Map<string, IMemberIdentity>();

  /** @param _self the disk of this member, which is never lost */
  constructor(private readonly _self: IMemberIdentity) {}

  /** Records that a member asks to join with another disk than that with which it votes. */
  public recordJoin(
    membership: Membership,
    { memberId, diskId, address }: IMemberIdentity & { readonly address: string },
  ): void {
    for (const voter of listVoters(membership)) {
      const identity = getMemberIdentity(voter);
      const isOtherDisk =
        voter.id === memberId &&
        voter.address === address &&
        !isSameMember(identity, { memberId, diskId });
      if (isOtherDisk) {
        this._lost.set(formatMemberIdentity(identity), identity);
      }
    }
  }

  /** Records what another member knows. */
  public recordReported(membership: Membership, reported: readonly IMemberIdentity[]): void {
    for (const identity of reported) {
      if (findMember(membership, identity) !== undefined) {
        this._lost.set(formatMemberIdentity(identity), identity);
      }
    }
  }

  /** Records a message from a member, which shows that it has its disk. */
  public recordContact(identity: IMemberIdentity): void {
    this._lost.delete(formatMemberIdentity(identity));
  }

  public has(identity: IMemberIdentity): boolean {
    return !isSameMember(identity, this._self) && this._lost.has(formatMemberIdentity(identity));
  }

  /** The lost disks of a membership. */
  public list(membership: Membership): readonly IMemberIdentity[] {
    return listVoters(membership)
      .map(getMemberIdentity)
      .filter((identity) => this.has(identity));
  }
}
