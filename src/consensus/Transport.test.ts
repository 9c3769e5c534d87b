import { createServer, type Server } from 'node:http';
import { mkdtemp, rm } from 'node:fs/promises';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, describe, expect, it } from 'vitest';
import { MonotonicClock } from '../common/Clock.js';
import { SILENT_LOG } from '../common/Log.js';
import { createRpcHandler, RpcClients } from '../common/Rpc.js';
import { ConsensusService } from '../gen/redwingwharf/v1/consensus_pb.js';
import { DataDirectory } from '../storage/DataDirectory.js';
import { bootstrapDataDirectory, ReplicatedLog, type IConsensusHandlers } from './ReplicatedLog.js';
import { ListMachine, TEST_TIMINGS, waitUntil } from './TestCluster.js';
import { RpcConsensusTransport } from './Transport.js';

/** Longer than the in-memory timings, because calls go through HTTP. */
const TIMINGS = {
  ...TEST_TIMINGS,
  minElectionTimeoutMs: 400,
  maxElectionTimeoutMs: 800,
  callTimeoutMs: 400,
};

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) {
    await cleanup();
  }
});

/** Listens before the member exists, because the member needs its address to start. */
async function listen(getHandlers: () => IConsensusHandlers): Promise<string> {
  const handler = createRpcHandler((router) => {
    router.service(ConsensusService, {
      requestVote: (request) => getHandlers().requestVote(request),
      appendEntries: (request) => getHandlers().appendEntries(request),
      installSnapshot: (request) => getHandlers().installSnapshot(request),
      join: (request, context) => getHandlers().join(request, context),
    });
  });
  const server: Server = createServer(handler);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  cleanups.push(() => {
    server.closeAllConnections();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function startMember(
  root: string,
  id: string,
  peers: readonly string[],
  isFirstMember: boolean,
): Promise<{ log: ReplicatedLog; machine: ListMachine; address: string }> {
  const running: { log?: ReplicatedLog } = {};
  const address = await listen(() => {
    if (running.log === undefined) {
      throw new Error('not started');
    }
    return running.log.handlers;
  });
  if (isFirstMember) {
    (await bootstrapDataDirectory(join(root, id), id, address)).unwrap();
  }
  const clients = new RpcClients('secret');
  cleanups.push(() => {
    clients.dispose();
  });
  const directory = await DataDirectory.open(join(root, id));
  const machine = new ListMachine(() => undefined);
  const opened = await ReplicatedLog.open(directory, {
    memberId: id,
    address,
    listPeers: () => peers,
    machine,
    transport: new RpcConsensusTransport(clients),
    clock: new MonotonicClock(),
    log: SILENT_LOG,
    timings: TIMINGS,
    random: Math.random,
  });
  const started = opened.unwrap();
  running.log = started;
  cleanups.push(async () => {
    await started.stop();
    await directory.close();
  });
  started.start();
  return { log: started, machine, address };
}

describe('RpcConsensusTransport', () => {
  it('carries join requests, entries and a snapshot of several chunks over HTTP', async () => {
    const root = await mkdtemp(join(tmpdir(), 'redwingwharf-rpc-'));
    cleanups.push(() => rm(root, { recursive: true, force: true }));
    const first = await startMember(root, 'm1', [], true);
    await waitUntil('m1 leads', () => first.log.getConfirmedAt() !== undefined);
    const { signal } = new AbortController();
    const large = 'x'.repeat(1_500_000);
    for (let n = 0; n < 4; n += 1) {
      (await first.log.propose(Buffer.from(large + String(n)), signal)).unwrap();
    }
    const others = ['m2', 'm3'].map((id) => startMember(root, id, [first.address], false));
    const members = await Promise.all(others);
    await waitUntil('all members are voters', () => {
      const { members: current } = first.log.status.membership;
      return current.length === 3 && current.every((member) => member.voter);
    });
    (await first.log.propose(Buffer.from('small'), signal)).unwrap();
    for (const { machine } of members) {
      await waitUntil('the member applied all commands', () => machine.commands.at(-1) === 'small');
      expect(machine.commands).toEqual(first.machine.commands);
      expect(machine.restoreCount).toBeGreaterThan(0);
    }
  });
});
