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

/** Number of voters that form a majority. */
export function countMajority(membership: Membership): number {
  return Math.floor(listVoters(membership).length / 2) + 1;
}

/** The highest value that a majority of voters has reached; `-Infinity` without voters. */
export function selectMajorityValue(
  membership: Membership,
  getValue: (voter: Member) => number,
): number {
  const values = listVoters(membership)
    .map(getValue)
    .sort((left, right) => right - left);
  return values[countMajority(membership) - 1] ?? Number.NEGATIVE_INFINITY;
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
