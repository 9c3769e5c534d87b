/** Guards against a group that large entries keep without a leader, as their transfer takes longer than an election timeout. */
import { afterEach, describe, expect, it } from 'vitest';
import { TEST_TIMINGS, TestCluster, waitUntil } from './TestCluster.js';

const LINK_BYTES_PER_MS = 2_000;

/** Takes longer to transfer than three election timeouts, and than a call without entries may take. */
const LARGE_ENTRY = 'x'.repeat(3 * TEST_TIMINGS.maxElectionTimeoutMs * LINK_BYTES_PER_MS);

let cluster: TestCluster | undefined;

afterEach(async () => {
  await cluster?.dispose();
  cluster = undefined;
});

describe('A large entry', () => {
  it('is committed while the leader stays in place', async () => {
    const group = await TestCluster.create(3);
    cluster = group;
    const leader = await group.waitForLeader();
    const { term } = leader.log.status;
    group.network.bytesPerMs = LINK_BYTES_PER_MS;
    expect(await group.tryPropose(LARGE_ENTRY, 15_000)).toBe(true);
    expect(await group.tryPropose('small', 1_000)).toBe(true);
    expect(leader.log.status).toMatchObject({ role: 'leader', term });
    await waitUntil('all members have applied it', () =>
      [...group.members.values()].every(({ machine }) => machine.commands.length === 2),
    );
    expect(group.safetyViolations).toEqual([]);
  });

  it('is transferred once to each member', async () => {
    const group = await TestCluster.create(3);
    cluster = group;
    await group.waitForLeader();
    group.network.bytesPerMs = LINK_BYTES_PER_MS;
    const before = group.network.transferredBytes;
    expect(await group.tryPropose(LARGE_ENTRY, 15_000)).toBe(true);
    await waitUntil('all members have applied it', () =>
      [...group.members.values()].every(({ machine }) => machine.commands.length === 1),
    );
    expect(group.network.transferredBytes - before).toBeLessThan(2.5 * LARGE_ENTRY.length);
  });
});
