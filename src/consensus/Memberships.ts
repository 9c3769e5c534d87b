/** Questions about a membership, and its single-step changes. A member is a pair of member and disk id. */
import { create } from '@bufbuild/protobuf';
import { encodeHex, hasSameBytes } from '../common/Hashes.js';
import {
  MembershipSchema,
  type Member,
  type Membership,
} from '../gen/redwingwharf/v1/consensus_pb.js';

/** The pair that identifies a member. */
export interface IMemberPair {
  readonly memberId: string;
  readonly diskId: Uint8Array;
}

/** Key of a pair in maps. */
export function formatPair(pair: IMemberPair): string {
  return `${pair.memberId}/${encodeHex(pair.diskId)}`;
}

export function toPair(member: Member): IMemberPair {
  return { memberId: member.id, diskId: member.diskId };
}

export function isSamePair(left: IMemberPair, right: IMemberPair): boolean {
  return left.memberId === right.memberId && hasSameBytes(left.diskId, right.diskId);
}

export function findMember(membership: Membership, pair: IMemberPair): Member | undefined {
  return membership.members.find((member) => isSamePair(toPair(member), pair));
}

export function listVoters(membership: Membership): Member[] {
  return membership.members.filter((member) => member.voter);
}

export function isVoter(membership: Membership, pair: IMemberPair): boolean {
  return findMember(membership, pair)?.voter === true;
}

/** Voters that form a majority. */
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

export function removePair(membership: Membership, pair: IMemberPair): Membership {
  const members = membership.members.filter((member) => !isSamePair(toPair(member), pair));
  return create(MembershipSchema, { members });
}

export function addLearner(membership: Membership, pair: IMemberPair, address: string): Membership {
  const learner = { id: pair.memberId, diskId: pair.diskId, address, voter: false };
  return create(MembershipSchema, { members: [...membership.members, learner] });
}

export function promoteLearner(membership: Membership, pair: IMemberPair): Membership {
  return replaceMember(membership, pair, { voter: true });
}

export function moveMember(membership: Membership, pair: IMemberPair, address: string): Membership {
  return replaceMember(membership, pair, { address });
}

function replaceMember(
  membership: Membership,
  pair: IMemberPair,
  change: { readonly voter?: boolean; readonly address?: string },
): Membership {
  const members = membership.members.map((member) =>
    isSamePair(toPair(member), pair) ? { ...member, ...change } : member,
  );
  return create(MembershipSchema, { members });
}
