import { create } from '@bufbuild/protobuf';
import { appendFile, readdir, rm } from 'node:fs/promises';
import { join } from 'node:path';
import { afterEach, describe, expect, it } from 'vitest';
import { SuspensionDetector } from '../common/Suspension.js';
import { sleep } from '../common/Tasks.js';
import {
  AppendRequestSchema,
  LogEntrySchema,
  VoteRequestSchema,
  type Sender,
  type VoteRequest,
} from '../gen/redwingwharf/v1/consensus_pb.js';
import { createRandom, TEST_TIMINGS, TestCluster, waitUntil } from './TestCluster.js';

let cluster: TestCluster | undefined;

/** Substrings of the safety violations that a test provokes; any other violation fails it. */
let expectedViolations: string[] = [];

afterEach(async () => {
  const violations = cluster?.safetyViolations ?? [];
  await cluster?.dispose();
  cluster = undefined;
  expect(
    violations.filter((violation) => !expectedViolations.some((text) => violation.includes(text))),
  ).toEqual([]);
  expectedViolations = [];
});

const FOREVER = new AbortController().signal;

async function commitMany(group: TestCluster, prefix: string, count: number): Promise<string[]> {
  await group.waitForLeader();
  const names = Array.from({ length: count }, (_, n) => `${prefix}-${n}`);
  return Promise.all(names.map((name) => group.commit(name)));
}

/**
 * Expects every acknowledged command, none twice, and none that was not proposed. On a busy machine an
 * attempt may time out with an unknown outcome and be committed later, next to its retry under another
 * name.
 */
function expectCommitted(commands: readonly string[], acknowledged: readonly string[]): void {
  expect(commands).toEqual(expect.arrayContaining([...acknowledged]));
  expect(new Set(commands).size).toBe(commands.length);
  const proposed = new Set(acknowledged.map((name) => name.replace(/#\d+$/, '')));
  expect(commands.filter((name) => !proposed.has(name.replace(/#\d+$/, '')))).toEqual([]);
}

/** Members other than the leader. */
function listFollowers(group: TestCluster, leaderId: string): string[] {
  return [...group.members.keys()].filter((id) => id !== leaderId);
}

function listVoterIds(group: TestCluster): string[] {
  const members = group.findLeader()?.log.status.membership.members ?? [];
  return members.filter((member) => member.voter).map((member) => member.id);
}

describe('ReplicatedLog', () => {
  it('applies commands in the same order on all members and returns the state machine result', async () => {
    cluster = await TestCluster.create(3);
    const leader = await cluster.waitForLeader();
    const result = await leader.log.propose(Buffer.from('first'), FOREVER);
    expect(result.ok && Buffer.from(result.val.result).toString()).toBe(
      result.ok && `first@${result.val.index}`,
    );
    const names = await commitMany(cluster, 'many', 50);
    expectCommitted(await cluster.waitForAgreement(), ['first', ...names]);
  });

  it('rejects a proposal to a follower and names the leader', async () => {
    cluster = await TestCluster.create(3);
    const leader = await cluster.waitForLeader();
    const follower = cluster.get(listFollowers(cluster, leader.id)[0] ?? '');
    await waitUntil(
      'the follower knows the leader',
      () => follower.log.status.leaderAddress === leader.address,
    );
    const result = await follower.log.propose(Buffer.from('x'), FOREVER);
    expect(result.val).toMatchObject({ kind: 'not_leader', leaderAddress: leader.address });
    expect(follower.log.getConfirmedAt()).toBeUndefined();
  });

  it('elects another leader when the leader is killed, and keeps every acknowledged command', async () => {
    cluster = await TestCluster.create(3);
    const names = await commitMany(cluster, 'before', 20);
    const leader = await cluster.waitForLeader();
    await cluster.kill(leader.id);
    names.push(await cluster.commit('after'));
    await cluster.startMember(leader.id);
    expect(await cluster.waitForAgreement()).toEqual(expect.arrayContaining(names));
  });

  it('commits and confirms nothing on a leader that stays isolated', async () => {
    cluster = await TestCluster.create(3);
    const old = await cluster.waitForLeader();
    const cutAt = performance.now();
    cluster.network.cut(old.address);
    const lost = old.log.propose(Buffer.from('lost'), FOREVER);
    const next = await cluster.waitForLeader(old.id);
    const kept = await cluster.commit('kept');
    expect((await lost).val).toMatchObject({ kind: 'indeterminate' });
    // For several election timeouts the old leader must neither confirm its lead nor raise its term.
    const { term } = old.log.status;
    await sleep(3 * TEST_TIMINGS.maxElectionTimeoutMs, FOREVER);
    expect(old.log.getConfirmedAt()).toBeUndefined();
    expect(old.log.status.role).not.toBe('leader');
    expect(old.log.status.term).toBe(term);
    expect(old.machine.commands).not.toContain('lost');
    expect(next.log.getConfirmedAt()).toBeGreaterThan(cutAt);
    const nextTerm = next.log.status.term;
    cluster.network.restore();
    expectCommitted(await cluster.waitForAgreement(), [kept]);
    expect(next.log.status).toMatchObject({ role: 'leader', term: nextTerm });
  });

  it('confirms no time after the partition while the old leader has not stepped down yet', async () => {
    cluster = await TestCluster.create(3);
    const old = await cluster.waitForLeader();
    cluster.network.cut(old.address);
    const cutAt = performance.now();
    while (old.log.status.role === 'leader') {
      expect(old.log.getConfirmedAt() ?? 0).toBeLessThanOrEqual(cutAt);
      await sleep(2, FOREVER);
    }
    expect(performance.now() - cutAt).toBeGreaterThan(0);
  });

  it('keeps its leader when the link to one member is cut in one direction', async () => {
    cluster = await TestCluster.create(3);
    const leader = await cluster.waitForLeader();
    const [isolated] = listFollowers(cluster, leader.id);
    cluster.network.cutLink(leader.address, cluster.get(isolated ?? '').address);
    await sleep(3 * TEST_TIMINGS.maxElectionTimeoutMs, FOREVER);
    // The isolated member requests pre-votes; the others must refuse them and keep their leader.
    expect(leader.log.status.role).toBe('leader');
    await cluster.commit('still committed');
  });
});

describe('Membership', () => {
  it('keeps every acknowledged command when two disks are lost one after the other, with a repair between', async () => {
    cluster = await TestCluster.create(3);
    const names: string[] = [];
    for (const round of [1, 2]) {
      names.push(...(await commitMany(cluster, `round-${round}`, 20)));
      const leader = await cluster.waitForLeader();
      const id = round === 1 ? (listFollowers(cluster, leader.id)[0] ?? '') : leader.id;
      const oldDisk = cluster.get(id).log.status.diskId;
      await cluster.kill(id);
      await cluster.deleteDisk(id);
      const returned = await cluster.startMember(id);
      await cluster.waitForVoters(3);
      expect(returned.log.status.diskId).not.toEqual(oldDisk);
    }
    names.push(await cluster.commit('after'));
    expect(await cluster.waitForAgreement()).toEqual(expect.arrayContaining(names));
  });

  it('needs both surviving voters until a lost disk is replaced, so that no commit is on a single disk', async () => {
    cluster = await TestCluster.create(3);
    await commitMany(cluster, 'before', 5);
    const leader = await cluster.waitForLeader();
    const [lost = '', survivor = ''] = listFollowers(cluster, leader.id);
    const oldDisk = cluster.get(lost).log.status.diskId;
    await cluster.kill(lost);
    await cluster.deleteDisk(lost);
    // The empty disk can send its join request but receives no entries, whoever leads, so it stays a learner.
    for (const { address } of [leader, cluster.get(survivor)]) {
      cluster.network.cutLink(address, 'node-' + lost.slice(1));
    }
    await cluster.startMember(lost);
    await waitUntil('the old disk is replaced', () => {
      const { members } = leader.log.status.membership;
      return members.some((member) => member.id === lost && !member.voter);
    });
    const { members } = leader.log.status.membership;
    expect(members.some((member) => Buffer.compare(member.diskId, oldDisk) === 0)).toBe(false);
    await cluster.commit('on both survivors');
    await sleep(10 * TEST_TIMINGS.heartbeatIntervalMs, FOREVER);
    const learner = leader.log.status.membership.members.find((member) => member.id === lost);
    expect(learner?.voter).toBe(false);
    cluster.network.cut(cluster.get(survivor).address);
    expect(await cluster.tryPropose('on one disk', 100)).toBe(false);
    expect(leader.machine.commands).not.toContain('on one disk');
  });

  it('replaces a lost voter by a new member, and makes it a voter again when it returns', async () => {
    const policy = { lostVoterTimeoutMs: 1_000, minVoters: 3, maxVoters: 3 };
    const group = await TestCluster.create(3, 1, TEST_TIMINGS, undefined, policy);
    cluster = group;
    const names = await commitMany(cluster, 'before', 5);
    const leader = await cluster.waitForLeader();
    const [lost = '', survivor = ''] = listFollowers(cluster, leader.id);
    await cluster.kill(lost);
    await cluster.startMember('m4');
    await waitUntil('the new member votes in place of the lost voter', () => {
      const members = group.findLeader()?.log.status.membership.members ?? [];
      const voters = members.filter((member) => member.voter).map((member) => member.id);
      return voters.length === 3 && voters.includes('m4') && !voters.includes(lost);
    });
    // If the lost voter still counted, a majority would be three of four.
    await cluster.kill(survivor === leader.id ? leader.id : survivor);
    names.push(await cluster.commit('after the next loss'));
    await cluster.startMember(lost);
    await waitUntil('the lost voter votes again', () => {
      const members = group.findLeader()?.log.status.membership.members ?? [];
      return members.some((member) => member.id === lost && member.voter);
    });
    expect(await cluster.waitForAgreement()).toEqual(expect.arrayContaining(names));
  });

  it('replaces a leader that was lost for good and never answered its successor', async () => {
    const policy = { lostVoterTimeoutMs: 1_000, minVoters: 3, maxVoters: 3 };
    const group = await TestCluster.create(3, 1, TEST_TIMINGS, undefined, policy);
    cluster = group;
    const name = await group.commit('before');
    const { id: lost } = await group.waitForLeader();
    await group.kill(lost);
    await group.startMember('m4');
    await waitUntil('the new member votes in place of the lost leader', () => {
      const voters = listVoterIds(group);
      return voters.length === 3 && voters.includes('m4') && !voters.includes(lost);
    });
    // With the lost leader among the voters, the next loss would leave no majority.
    await group.kill((await group.waitForLeader()).id);
    const after = await group.commit('after the next loss');
    expect(await group.waitForAgreement()).toEqual(expect.arrayContaining([name, after]));
  });

  it.each([1, 2, 3])(
    'keeps a majority while two of five voters at once, the leader among them, are replaced (seed %i)',
    async (seed) => {
      const policy = { lostVoterTimeoutMs: 1_000, minVoters: 5, maxVoters: 5 };
      const group = await TestCluster.create(5, seed, TEST_TIMINGS, undefined, policy);
      cluster = group;
      const random = createRandom(seed);
      const names = await commitMany(group, 'before', 10);
      for (const replacements of [
        ['m6', 'm7'],
        ['m8', 'm9'],
      ]) {
        const leader = await group.waitForLeader();
        const followers = listFollowers(group, leader.id);
        const follower = followers[Math.floor(random() * followers.length)] ?? '';
        const lost = random() < 0.5 ? [leader.id, follower] : [follower, leader.id];
        for (const id of lost) {
          await group.kill(id);
        }
        for (const id of replacements) {
          await group.startMember(id);
          names.push(await group.commit(`with ${id}`));
        }
        await group.waitForVoters(5);
      }
      expectCommitted(await group.waitForAgreement(), names);
    },
    20_000,
  );

  it('removes a lost voter while three others remain, so that the group tolerates the next loss', async () => {
    const policy = { lostVoterTimeoutMs: 1_000, minVoters: 3, maxVoters: 7 };
    const group = await TestCluster.create(4, 1, TEST_TIMINGS, undefined, policy);
    cluster = group;
    const leader = await group.waitForLeader();
    const [lost = '', next = ''] = listFollowers(group, leader.id);
    await group.kill(lost);
    await waitUntil('the lost voter is removed', () => {
      const members = group.findLeader()?.log.status.membership.members ?? [];
      return members.length === 3 && !members.some((member) => member.id === lost);
    });
    await group.kill(next);
    const name = await group.commit('after the next loss');
    await group.startMember(lost);
    await group.startMember(next);
    await group.waitForVoters(4);
    expect(await group.waitForAgreement()).toContain(name);
  });

  it('keeps every acknowledged command when a second disk is lost right after a repair', async () => {
    cluster = await TestCluster.create(3);
    const names = await commitMany(cluster, 'before', 20);
    const first = await cluster.waitForLeader();
    const [one = '', two = ''] = listFollowers(cluster, first.id);
    await cluster.kill(one);
    await cluster.deleteDisk(one);
    await cluster.startMember(one);
    names.push(await cluster.commit('between'));
    await cluster.waitForVoters(3);
    await cluster.kill(two);
    await cluster.deleteDisk(two);
    names.push(await cluster.commit('after'));
    await cluster.startMember(two);
    await cluster.waitForVoters(3);
    await cluster.kill(first.id);
    names.push(await cluster.commit('last'));
    expect(await cluster.waitForAgreement()).toEqual(expect.arrayContaining(names));
  });

  it('grants no vote to a member id and disk id outside the membership', async () => {
    cluster = await TestCluster.create(3);
    const leader = await cluster.waitForLeader();
    const [id = ''] = listFollowers(cluster, leader.id);
    const follower = cluster.get(id);
    // Isolated from the leader, the follower would vote for a member: only the identity of the sender can
    // be the reason to refuse.
    cluster.network.cut(follower.address);
    await sleep(2 * TEST_TIMINGS.minElectionTimeoutMs, FOREVER);
    const before = follower.log.status;
    const createVote = (sender: Partial<Sender>, preVote: boolean): VoteRequest =>
      create(VoteRequestSchema, {
        sender: {
          clusterId: before.clusterId,
          term: BigInt(before.term + 50),
          ...sender,
        } as Sender,
        lastIndex: 1_000_000n,
        lastTerm: BigInt(before.term + 49),
        preVote,
      });
    const nonMembers: Partial<Sender>[] = [
      { memberId: leader.id, diskId: new Uint8Array(16) },
      { memberId: 'stranger', diskId: before.diskId },
      { memberId: before.memberId, diskId: before.diskId, clusterId: new Uint8Array(16) },
    ];
    for (const sender of nonMembers) {
      for (const preVote of [true, false]) {
        const response = await follower.log.handlers.requestVote(createVote(sender, preVote));
        expect(response.granted).toBe(false);
      }
    }
    expect(follower.log.status.term).toBe(before.term);
    const { diskId } = leader.log.status;
    const member = createVote({ memberId: leader.id, diskId }, true);
    expect(await follower.log.handlers.requestVote(member)).toMatchObject({ granted: true });
    cluster.network.restore();
    await cluster.commit('undisturbed');
    expect(leader.log.status).toMatchObject({ role: 'leader', term: before.term });
  });

  it('refuses to admit a second process with the member id of a running member', async () => {
    cluster = await TestCluster.create(3);
    const leader = await cluster.waitForLeader();
    const [id = ''] = listFollowers(cluster, leader.id);
    const response = await leader.log.handlers.join(
      {
        $typeName: 'redwingwharf.v1.JoinRequest',
        memberId: id,
        diskId: new Uint8Array(16),
        address: 'node-9',
        clusterId: new Uint8Array(),
      },
      { signal: FOREVER },
    );
    expect(response.accepted).toBe(false);
    expect(response.reason).toContain('is running with another disk');
    expect(leader.log.status.membership.members).toHaveLength(3);
  });

  it('removes a member for good: its disk neither votes nor joins again', async () => {
    cluster = await TestCluster.create(3);
    await cluster.commit('before');
    const leader = await cluster.waitForLeader();
    const [id = ''] = listFollowers(cluster, leader.id);
    await cluster.kill(id);
    const unknown = await leader.log.removeMember('m9', FOREVER);
    expect(unknown.val).toMatchObject({ kind: 'refused' });
    (await leader.log.removeMember(id, FOREVER)).unwrap();
    await cluster.startMember(id);
    await sleep(2 * TEST_TIMINGS.maxElectionTimeoutMs, FOREVER);
    expect(leader.log.status).toMatchObject({ role: 'leader' });
    expect(leader.log.status.membership.members.map((member) => member.id)).not.toContain(id);
    await cluster.commit('after');
    expect(cluster.get(id).machine.commands).not.toContain('after');
  });

  it('elects another leader when the leader removes itself', async () => {
    cluster = await TestCluster.create(3);
    const leader = await cluster.waitForLeader();
    (await leader.log.removeMember(leader.id, FOREVER)).unwrap();
    const next = await cluster.waitForLeader(leader.id);
    expect(next.log.status.membership.members).toHaveLength(2);
    await cluster.commit('after');
  });
});

describe('Suspension', () => {
  // The monotonic clock does not count the time, so a leader that was replaced meanwhile seemed to be confirmed.
  it('confirms nothing on a leader that was suspended before it has heard from a majority again', async () => {
    cluster = await TestCluster.create(3);
    const { log, address } = await cluster.waitForLeader();
    let stepMs = 0;
    cluster.suspensions = new SuspensionDetector(() => performance.now() + stepMs);
    expect(log.getConfirmedAt()).toBeDefined();
    cluster.network.cut(address);
    stepMs = 3_000;
    expect(log.getConfirmedAt()).toBeUndefined();
    cluster.network.restore();
    await waitUntil('the leader is confirmed', () => log.getConfirmedAt() !== undefined);
  });
});

describe('Restart', () => {
  it('restarts from the snapshot after hundreds of commands and sends it to members that are behind', async () => {
    cluster = await TestCluster.create(3);
    const leader = await cluster.waitForLeader();
    const [behind = ''] = listFollowers(cluster, leader.id);
    await cluster.kill(behind);
    const names: string[] = [];
    for (let round = 0; round < 6; round += 1) {
      names.push(...(await commitMany(cluster, `round-${round}`, 300)));
    }
    const returned = await cluster.startMember(behind);
    await cluster.waitForAgreement();
    expect(returned.machine.restoreCount).toBeGreaterThan(0);
    for (const id of ['m1', 'm2', 'm3']) {
      await cluster.kill(id);
    }
    for (const id of ['m1', 'm2', 'm3']) {
      const member = await cluster.startMember(id);
      expect(member.machine.restoreCount).toBe(1);
      expect(member.machine.commands.length).toBeGreaterThanOrEqual(512);
    }
    await cluster.waitForLeader();
    const commands = await cluster.waitForAgreement();
    expectCommitted(commands, names);
  });

  it('truncates a torn log tail and keeps every acknowledged command', async () => {
    cluster = await TestCluster.create(3);
    const names = await commitMany(cluster, 'before', 20);
    await cluster.waitForAgreement();
    for (const id of ['m1', 'm2', 'm3']) {
      await cluster.kill(id);
      const directory = join(cluster.getPath(id), 'log');
      const segments = (await readdir(directory))
        .filter((name) => name.endsWith('.segment'))
        .sort();
      await appendFile(join(directory, segments.at(-1) ?? ''), Buffer.from([9, 0, 0, 0, 1, 2, 3]));
    }
    for (const id of ['m1', 'm2', 'm3']) {
      await cluster.startMember(id);
    }
    names.push(await cluster.commit('after'));
    expect(await cluster.waitForAgreement()).toEqual(expect.arrayContaining(names));
  });

  it('refuses log files without hard state, and hard state without log files', async () => {
    cluster = await TestCluster.create(1);
    await cluster.commit('x');
    const path = cluster.getPath('m1');
    await cluster.kill('m1');
    await rm(join(path, 'hard-state'));
    await expect(cluster.startMember('m1')).rejects.toMatchObject({ kind: 'hard_state_missing' });

    const other = await cluster.startMember('m2');
    expect(other.log.status.role).toBe('learner');
    await cluster.kill('m2');
    await rm(join(cluster.getPath('m2'), 'log'), { recursive: true });
    await expect(cluster.startMember('m2')).rejects.toMatchObject({ kind: 'log_missing' });
  });
});

describe('Invariants', () => {
  it('stops a member whose leader would overwrite a committed entry', async () => {
    cluster = await TestCluster.create(3);
    await cluster.commit('committed');
    await cluster.waitForAgreement();
    const leader = await cluster.waitForLeader();
    const follower = cluster.get(listFollowers(cluster, leader.id)[0] ?? '');
    const { commitIndex, term, clusterId } = follower.log.status;
    const index = BigInt(commitIndex);
    const request = create(AppendRequestSchema, {
      sender: {
        clusterId,
        term: BigInt(term + 1),
        memberId: leader.id,
        diskId: leader.log.status.diskId,
      },
      previousIndex: index - 1n,
      previousTerm: BigInt(term),
      commitIndex: index,
      entries: [
        create(LogEntrySchema, {
          index,
          term: BigInt(term + 1),
          body: { case: 'noOp', value: true },
        }),
      ],
      leaderAddress: leader.address,
    });
    expectedViolations = ['would overwrite'];
    await expect(follower.log.handlers.appendEntries(request)).rejects.toThrow('overwrite');
    expect(follower.log.failure).toMatchObject({ name: 'InvariantError' });
    const result = await follower.log.propose(Buffer.from('x'), FOREVER);
    expect(result.val).toMatchObject({ kind: 'stopped' });
  });

  it('stops a member that receives appends from two leaders of one term', async () => {
    cluster = await TestCluster.create(3);
    const leader = await cluster.waitForLeader();
    const [one = '', two = ''] = listFollowers(cluster, leader.id);
    const follower = cluster.get(one);
    await waitUntil(
      'the follower knows the leader',
      () => follower.log.status.leaderAddress === leader.address,
    );
    const { term, clusterId } = follower.log.status;
    const { diskId } = cluster.get(two).log.status;
    const sender = { clusterId, term: BigInt(term), memberId: two, diskId };
    const request = create(AppendRequestSchema, { sender, leaderAddress: 'node-9' });
    expectedViolations = ['two leaders'];
    await expect(follower.log.handlers.appendEntries(request)).rejects.toThrow('two leaders');
    expect(follower.log.failure).toMatchObject({ name: 'InvariantError' });
  });
});
