/** Pure functions that query a membership or derive the next one by changing a single member. */
import { create } from '@bufbuild/protobuf';
import { encodeHex, hasSameBytes } from '../common/Hashes.js';
import {
  MembershipSchema,
  type Member,
  type Membership,
} from '../gen/redwingwharf/v1/consensus_pb.js';

/** Identifies a member. A member whose disk is replaced keeps its member id but gets a new disk id. */
export interface IMemberIdentity {
  readonly memberId: string;
  readonly diskId: Uint8Array;
}

/** Formats an identity for use as a map key and in messages. */
export function formatMemberIdentity(identity: IMemberIdentity): string {
  return `${identity.memberId}/${encodeHex(identity.diskId)}`;
}

export function getMemberIdentity(member: Member): IMemberIdentity {
  return { memberId: member.id, diskId: member.diskId };
}

export function isSameMember(left: IMemberIdentity, right: IMemberIdentity): boolean {
  return left.memberId === right.memberId && hasSameBytes(left.diskId, right.diskId);
}

export function findMember(membership: Membership, identity: IMemberIdentity): Member | undefined {
  return membership.members.find((member) => isSameMember(getMemberIdentity(member), identity));
}

export function listVoters(membership: Membership): Member[] {
  return membership.members.filter((member) => member.voter);
}

export function isVoter(membership: Membership, identity: IMemberIdentity): boolean {
  return findMember(membership, identity)?.voter === true;
}

/** Voters whose acknowledgements or votes count, and how many of them decide. */
export interface IQuorum {
  readonly voters: readonly Member[];
  readonly size: number;
}

/** A majority of all voters. */
export function getMajority(membership: Membership): IQuorum {
  const voters = listVoters(membership);
  return { voters, size: Math.floor(voters.length / 2) + 1 };
}

/**
 * True if half of a group may decide once one of its voters has lost its disk: an even group with a voter to spare, as it has
 * while a member is replaced.
 *
 * @param minVoters size that bears the tolerated losses without a spare voter
 */
export function isHalvable(membership: Membership, minVoters: number): boolean {
  const { length } = listVoters(membership);
  return length > minVoters && length % 2 === 0;
}

/**
 * A majority of the group without the voters that have lost their disks, if the group is even. It overlaps with every majority
 * of the whole group, and with every one without a lost disk, as a lost disk never votes again. The membership must be
 * committed: a voter of an older one may otherwise decide without this group.
 */
export function getQuorumWithout(
  membership: Membership,
  minVoters: number,
  isLost: (identity: IMemberIdentity) => boolean,
): IQuorum {
  const majority = getMajority(membership);
  const left = majority.voters.filter((voter) => !isLost(getMemberIdentity(voter)));
  const mayHalve = isHalvable(membership, minVoters) && left.length < majority.voters.length;
  return mayHalve ? { voters: left, size: majority.voters.length / 2 } : majority;
}

/** The highest value that a quorum has reached; `-Infinity` if it has too few voters. */
export function selectQuorumValue(
  { voters, size }: IQuorum,
  getValue: (voter: Member) => number,
): number {
  const values = voters.map(getValue).sort((left, right) => right - left);
  return values[size - 1] ?? Number.NEGATIVE_INFINITY;
}

export function removeMember(membership: Membership, identity: IMemberIdentity): Membership {
  const members = membership.members.filter(
    (member) => !isSameMember(getMemberIdentity(member), identity),
  );
  return create(MembershipSchema, { members });
}

export function addLearner(
  membership: Membership,
  identity: IMemberIdentity,
  address: string,
): Membership {
  const learner = {
    id: identity.memberId,
    diskId: identity.diskId,
    address,
    voter: false,
    withdrawn: false,
  };
  return create(MembershipSchema, { members: [...membership.members, learner] });
}

export function promoteLearner(membership: Membership, identity: IMemberIdentity): Membership {
  return replaceMember(membership, identity, { voter: true });
}

/** Takes the vote of a member whose process is stopping; it receives the log until it ends. */
export function withdrawMember(membership: Membership, identity: IMemberIdentity): Membership {
  return replaceMember(membership, identity, { voter: false, withdrawn: true });
}

/** Lets a member that has joined again be promoted, and updates its address. */
export function restoreMember(
  membership: Membership,
  identity: IMemberIdentity,
  address: string,
): Membership {
  return replaceMember(membership, identity, { address, withdrawn: false });
}

function replaceMember(
  membership: Membership,
  identity: IMemberIdentity,
  change: Partial<Pick<Member, 'voter' | 'address' | 'withdrawn'>>,
): Membership {
  const members = membership.members.map((member) =>
    isSameMember(getMemberIdentity(member), identity) ? { ...member, ...change } : member,
  );
  return create(MembershipSchema, { members });
}
