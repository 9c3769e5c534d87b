import { afterEach, describe, expect, it } from 'vitest';
import { describeError } from '../common/Log.js';
import { sleep } from '../common/Tasks.js';
import {
  createRandom,
  SHORT_TIMINGS,
  TestCluster,
  waitUntil,
  type ITestMember,
} from './TestCluster.js';

/** RWW_SEED sets the first seed, and without RWW_SEEDS the only one; RWW_SEEDS sets their number. */
const FIRST_SEED = Number(process.env.RWW_SEED ?? 1);
const SEED_COUNT = Number(process.env.RWW_SEEDS ?? (process.env.RWW_SEED ? 1 : 4));

const ROUNDS = 12;

/** Longer than the calls and the shortest election timeout of the group. */
const SLOW_DISK_MS = 300;

const MEMBER_IDS = ['m1', 'm2', 'm3'] as const;

const FOREVER = new AbortController().signal;

let cluster: TestCluster | undefined;

afterEach(async () => {
  await cluster?.dispose();
  cluster = undefined;
});

/** Proposes commands until the signal is aborted; returns the acknowledged ones with their index. */
async function runClient(
  group: TestCluster,
  name: string,
  signal: AbortSignal,
): Promise<Map<string, number>> {
  const acknowledged = new Map<string, number>();
  for (let n = 0; !signal.aborted; n += 1) {
    const command = `${name}-${n}`;
    const leader = group.findLeader();
    const timeout = AbortSignal.timeout(500);
    const result = await leader?.log.propose(Buffer.from(command), timeout);
    if (result?.ok === true) {
      acknowledged.set(command, result.val.index);
    } else {
      await sleep(10, signal);
    }
  }
  return acknowledged;
}

async function injectFault(group: TestCluster, random: () => number): Promise<string> {
  const id = MEMBER_IDS[Math.floor(random() * MEMBER_IDS.length)] ?? 'm1';
  const durationMs = random() * 400;
  switch (Math.floor(random() * 6)) {
    case 0:
      await group.kill(id);
      await sleep(durationMs, FOREVER);
      await group.startMember(id);
      return `restart ${id}`;
    case 1:
      await group.kill(id);
      await group.deleteDisk(id);
      await sleep(durationMs, FOREVER);
      await group.startMember(id);
      await group.waitForVoters(MEMBER_IDS.length);
      return `lost disk ${id}`;
    case 2:
      group.network.cut(group.get(id).address);
      await sleep(2 * durationMs, FOREVER);
      group.network.restore();
      return `partition ${id}`;
    case 3:
      group.network.lossRate = 0.2;
      group.network.maxDelayMs = 40;
      await sleep(durationMs, FOREVER);
      group.network.lossRate = 0;
      group.network.maxDelayMs = 0;
      return 'loss and delay';
    case 4:
      group.diskDelaysMs.set(id, SLOW_DISK_MS);
      await sleep(2 * durationMs, FOREVER);
      group.diskDelaysMs.delete(id);
      return `slow disk ${id}`;
    default:
      for (const each of MEMBER_IDS) {
        await group.kill(each);
      }
      for (const each of MEMBER_IDS) {
        await group.startMember(each);
      }
      return 'restart all';
  }
}

describe('Random faults', () => {
  const seeds = Array.from({ length: SEED_COUNT }, (_, n) => FIRST_SEED + n);

  it.each(seeds)(
    'keeps every acknowledged command in order on all members, seed %i',
    async (seed) => {
      const group = await TestCluster.create(MEMBER_IDS.length, seed, SHORT_TIMINGS);
      cluster = group;
      const random = createRandom(seed);
      const stopping = new AbortController();
      const clients = ['a', 'b', 'c'].map((name) => runClient(group, name, stopping.signal));
      const history: string[] = [];
      try {
        for (let round = 0; round < ROUNDS; round += 1) {
          history.push(await injectFault(group, random));
          // Losing another disk before the group is repaired may lose data by design.
          await group.waitForVoters(MEMBER_IDS.length);
        }
        stopping.abort();
        const acknowledged = (await Promise.all(clients)).flatMap((map) => [...map]);
        await group.commit('last');
        const commands = await group.waitForAgreement();
        checkOrder(acknowledged, commands);
        for (const member of group.members.values()) {
          await waitUntil('the member applied all commands', () =>
            member.machine.commands.includes('last'),
          );
          expect(member.machine.commands).toEqual(commands);
        }
        expect(group.safetyViolations).toEqual([]);
      } catch (error) {
        console.error(`Failed with RWW_SEED=${seed} after: ${history.join(', ')}`);
        console.error([...group.members.values()].map(describeMember).join('\n'));
        throw error;
      } finally {
        stopping.abort();
      }
    },
    60_000,
  );
});

function describeMember(member: ITestMember): string {
  const { role, term, commitIndex, appliedIndex, membership } = member.log.status;
  const voters = membership.members.map(
    (entry) => `${entry.id}:${entry.voter ? 'voter' : 'learner'}`,
  );
  const failure = member.log.failure === undefined ? 'none' : describeError(member.log.failure);
  return `${member.id} ${role} term ${term} commit ${commitIndex} applied ${appliedIndex} ${voters.join()} failure ${failure} commands ${member.machine.commands.length}`;
}

/** Expects every acknowledged command exactly once, in the order of the acknowledged indexes. */
function checkOrder(
  acknowledged: readonly (readonly [string, number])[],
  commands: readonly string[],
): void {
  const positionByCommand = new Map(commands.map((command, position) => [command, position]));
  expect(positionByCommand.size).toBe(commands.length);
  const sorted = [...acknowledged].sort((left, right) => left[1] - right[1]);
  const positions = sorted.map(([command]) => positionByCommand.get(command) ?? -1);
  expect(positions).not.toContain(-1);
  expect(positions).toEqual([...positions].sort((left, right) => left - right));
  expect(acknowledged.length).toBeGreaterThan(0);
}
