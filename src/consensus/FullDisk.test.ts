/** Guards against a group that accepts no changes after the disks of its members were full, one after another. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { sleep } from '../common/Tasks.js';
import { FullDisks } from '../storage/FullDisks.js';
import { TEST_TIMINGS, TestCluster, waitUntil } from './TestCluster.js';

/** Longer than the longest election timeout, as for the members of a process. */
const POLICY = { lostVoterTimeoutMs: 900, minVoters: 3, maxVoters: 7 };

/** Longer than the time after which a silent voter counts as lost. */
const FULL_MS = 2_000;

/** Time after which a member whose disk failed opens it again, as a part of the election timeout of a process. */
const REOPEN_DELAY_MS = 500;

/** Time in which a change is committed once the last disk has room: as 3 s and 4 s on the platform. */
const COMMIT_LIMIT_MS = (7_000 / 1_200) * TEST_TIMINGS.maxElectionTimeoutMs;

const FOREVER = new AbortController().signal;

let cluster: TestCluster | undefined;
let disks: FullDisks;
let stop: AbortController;
let tasks: Promise<void>[] = [];

beforeEach(() => {
  disks = new FullDisks();
  stop = new AbortController();
  tasks = [];
});

afterEach(async () => {
  stop.abort();
  await Promise.all(tasks);
  disks.dispose();
  await cluster?.dispose();
  cluster = undefined;
});

/** Opens a member again after each failure of its disk, as a process does. */
async function keepOpen(group: TestCluster, id: string): Promise<void> {
  while (!stop.signal.aborted) {
    const member = group.members.get(id);
    if (member === undefined) {
      await group.startMember(id).catch(() => undefined);
    } else if (member.log.failure !== undefined) {
      await group.kill(id);
    }
    await sleep(member === undefined ? REOPEN_DELAY_MS : 20, stop.signal);
  }
}

async function createGroup(size: number, seed: number): Promise<TestCluster> {
  const group = await TestCluster.create(size, seed, TEST_TIMINGS, undefined, POLICY);
  cluster = group;
  await group.commit('before');
  tasks = [...group.members.keys()].map((id) => keepOpen(group, id));
  return group;
}

/** Sends changes all the time; returns those that were committed. */
function sendChanges(group: TestCluster, signal: AbortSignal): string[] {
  const committed: string[] = [];
  const send = async (): Promise<void> => {
    for (let n = 0; !signal.aborted; n += 1) {
      if (await group.tryPropose(`change-${n}`)) {
        committed.push(`change-${n}`);
      }
      await sleep(30, signal);
    }
  };
  tasks.push(send());
  return committed;
}

/** Members that stopped because their disk was full are no violations of safety. */
function listViolations(group: TestCluster): string[] {
  return group.safetyViolations.filter((violation) => !violation.includes('stopped: '));
}

async function expectWorking(group: TestCluster, committed: readonly string[]): Promise<void> {
  const startedAt = performance.now();
  const name = await group.commit('after');
  expect(performance.now() - startedAt).toBeLessThan(COMMIT_LIMIT_MS);
  await waitUntil('all members run', () => {
    const members = [...group.members.values()];
    return (
      members.length === tasks.length - 1 && members.every(({ log }) => log.failure === undefined)
    );
  });
  stop.abort();
  await Promise.all(tasks);
  const commands = await group.waitForAgreement();
  expect(commands).toEqual(expect.arrayContaining(['before', name, ...committed]));
  expect(listViolations(group)).toEqual([]);
}

describe('Disks that are full one after another', () => {
  // A disk that is full for so long costs its machine the vote where the group has one to spare.
  it.each([
    { size: 3, tornShare: 0 },
    { size: 3, tornShare: 0.5 },
    { size: 4, tornShare: 0 },
    { size: 5, tornShare: 0.02 },
  ])(
    'keep a group of $size that accepts changes (torn share $tornShare)',
    async ({ size, tornShare }) => {
      const group = await createGroup(size, size);
      const committed = sendChanges(group, stop.signal);
      for (const id of [...group.members.keys()]) {
        disks.refuseWrites(group.getPath(id), { tornShare });
        await sleep(FULL_MS, FOREVER);
        disks.restore(group.getPath(id));
      }
      await expectWorking(group, committed);
    },
    60_000,
  );

  // The first disk is back as a learner, without a vote, when the next one fills.
  it.each([3, 4, 5])(
    'keep a group of %i when the next one fills as soon as the former is open again',
    async (size) => {
      const group = await createGroup(size, size + 10);
      const committed = sendChanges(group, stop.signal);
      for (const id of [...group.members.keys()]) {
        disks.refuseWrites(group.getPath(id));
        await waitUntil('the member has failed', () => !group.members.has(id));
        await sleep(FULL_MS, FOREVER);
        disks.restore(group.getPath(id));
        await waitUntil('the member is open again', () => group.members.has(id));
      }
      await expectWorking(group, committed);
    },
    60_000,
  );

  it('keep a group when one fills while its link to another member is cut one way', async () => {
    const group = await createGroup(3, 31);
    const committed = sendChanges(group, stop.signal);
    const leader = await group.waitForLeader();
    const [full = '', other = ''] = ['m1', 'm2', 'm3'].filter((id) => id !== leader.id);
    group.network.cutLink(group.get(other).address, leader.address);
    disks.refuseWrites(group.getPath(full));
    await sleep(FULL_MS, FOREVER);
    group.network.restore();
    disks.restore(group.getPath(full));
    await expectWorking(group, committed);
  }, 60_000);

  it('keep a group when one fills beside a slow one', async () => {
    const group = await createGroup(3, 32);
    const committed = sendChanges(group, stop.signal);
    group.diskDelaysMs.set('m2', 2 * TEST_TIMINGS.callTimeoutMs);
    disks.refuseWrites(group.getPath('m1'), { tornShare: 0.5 });
    await sleep(FULL_MS, FOREVER);
    disks.restore(group.getPath('m1'));
    group.diskDelaysMs.clear();
    await expectWorking(group, committed);
  }, 60_000);

  it('keep a group when a member joins with a full disk and another one withdraws', async () => {
    const group = await createGroup(3, 33);
    const committed = sendChanges(group, stop.signal);
    disks.refuseWrites(group.getPath('m4'), { afterWrites: 6, tornShare: 0.5 });
    tasks.push(keepOpen(group, 'm4'));
    void group.get('m1').log.withdraw(stop.signal);
    await sleep(FULL_MS, FOREVER);
    disks.restore(group.getPath('m4'));
    await waitUntil('the new member votes', () => {
      const members = group.findLeader()?.log.status.membership.members ?? [];
      return members.some(({ id, voter }) => id === 'm4' && voter);
    });
    await expectWorking(group, committed);
  }, 60_000);
});
