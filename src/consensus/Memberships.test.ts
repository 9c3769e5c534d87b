/** Guards against two groups of members that decide without each other. */
import { create } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { MembershipSchema, type Membership } from '../gen/redwingwharf/v1/consensus_pb.js';
import {
  getMajority,
  getQuorumWithout,
  listVoters,
  removeMember,
  getMemberIdentity,
  type IQuorum,
} from './Memberships.js';

const MIN_VOTERS = 3;

function buildGroup(size: number): Membership {
  const members = Array.from({ length: size }, (_, i) => ({
    id: `m${i}`,
    diskId: Uint8Array.of(i),
    address: `node-${i}`,
    voter: true,
  }));
  return create(MembershipSchema, { members });
}

function getQuorum(group: Membership, ...lost: readonly string[]): IQuorum {
  return getQuorumWithout(group, MIN_VOTERS, ({ memberId }) => lost.includes(memberId));
}

/** Fewest voters that two quorums have in common, of those that can still vote. */
function countOverlap(group: Membership, left: IQuorum, right: IQuorum): number {
  const ids = new Set([...left.voters, ...right.voters].map(({ id }) => id));
  return left.size + right.size - Math.min(ids.size, listVoters(group).length);
}

describe('the quorum of a group with a lost disk', () => {
  // Guards against a group of four that stops once one member is removed and another has lost its disk (review/7).
  it.each([4, 6])('is half of %i voters, without the lost one', (size) => {
    const { voters, size: required } = getQuorum(buildGroup(size), 'm1');
    expect(required).toBe(size / 2);
    expect(voters.map(({ id }) => id)).not.toContain('m1');
  });

  it.each([1, 2, 3, 5, 7])('is a majority of %i voters', (size) => {
    const group = buildGroup(size);
    expect(getQuorum(group, 'm1')).toStrictEqual(getMajority(group));
  });

  it('is a majority of an even group below the size that bears the tolerated losses', () => {
    const group = buildGroup(4);
    expect(getQuorumWithout(group, 5, ({ memberId }) => memberId === 'm1')).toStrictEqual(
      getMajority(group),
    );
  });

  it.each([4, 6])('overlaps with each other quorum of %i voters', (size) => {
    const group = buildGroup(size);
    const half = getQuorum(group, 'm1');
    expect(countOverlap(group, half, getMajority(group))).toBeGreaterThan(0);
    expect(countOverlap(group, half, half)).toBeGreaterThan(0);
    // The first lost disk does not vote, whichever loss a member knows of.
    const left = half.voters.length;
    expect(half.size + getQuorum(group, 'm2').size - left).toBeGreaterThan(0);
  });

  // Guards against half of a group that decides without a change which has been committed.
  it.each([4, 6])('overlaps with what commits the removal of one of %i voters', (size) => {
    const group = buildGroup(size);
    const full = getMajority(group);
    expect(countOverlap(group, getQuorum(group, 'm1'), full)).toBeGreaterThan(0);
    for (const member of listVoters(group)) {
      const next = removeMember(group, getMemberIdentity(member));
      expect(countOverlap(group, getMajority(next), full)).toBeGreaterThan(0);
    }
  });
});
