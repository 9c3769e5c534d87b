import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { create } from '@bufbuild/protobuf';
import { afterEach, describe, expect, it } from 'vitest';
import { SILENT_LOG } from '../common/Log.js';
import {
  createRpcHandler,
  hasClusterSecret,
  refuseUnauthenticatedRequest,
  RpcClients,
} from '../common/Rpc.js';
import {
  ControlService,
  ExecuteResponseSchema,
  type ExecuteResponse,
} from '../gen/redwingwharf/v1/control_pb.js';
import { ControlClient, type ICommandBody } from './ControlClient.js';

const SECRET = 'a-secret-for-this-test';
const COMMAND: ICommandBody = { case: 'loadSlot', value: { target: 't1' } };
const GRANTED = create(ExecuteResponseSchema, {
  outcome: {
    case: 'result',
    value: { body: { case: 'loadSlot', value: { granted: true, fence: 7n } } },
  },
});
const UNKNOWN = create(ExecuteResponseSchema, {
  outcome: { case: 'indeterminate', value: { reason: 'leader stepped down' } },
});

const servers: Server[] = [];
const openClients: RpcClients[] = [];
const NEVER_ABORTED = new AbortController().signal;

interface IMember {
  readonly address: string;
  calls: number;
}

/** Starts a control member whose nth answer is `answer(n)`; undefined closes the connection instead. */
async function startMember(
  answer: (call: number) => ExecuteResponse | undefined,
): Promise<IMember> {
  const member = { address: '', calls: 0 };
  const handler = createRpcHandler((router) => {
    router.service(ControlService, {
      execute: () => answer(member.calls) ?? new Promise<never>(() => undefined),
    });
  });
  const server = createServer((request, response) => {
    if (!hasClusterSecret(request, SECRET)) {
      refuseUnauthenticatedRequest(response);
      return;
    }
    member.calls += 1;
    if (answer(member.calls) === undefined) {
      request.socket.destroy();
      return;
    }
    handler(request, response);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  servers.push(server);
  member.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return member;
}

function answerNotLeader(leaderAddress: string): ExecuteResponse {
  return create(ExecuteResponseSchema, {
    outcome: { case: 'notLeader', value: { leaderAddress } },
  });
}

function createClient(addresses: readonly string[], secret = SECRET): ControlClient {
  const rpcClients = new RpcClients(secret);
  openClients.push(rpcClients);
  return new ControlClient(rpcClients, addresses, SILENT_LOG);
}

/** Returns an address at which nothing listens. */
async function reserveClosedAddress(): Promise<string> {
  const member = await startMember(() => GRANTED);
  const server = servers.pop();
  await new Promise((resolve) => server?.close(resolve));
  return member.address;
}

afterEach(() => {
  for (const clients of openClients.splice(0)) {
    clients.dispose();
  }
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

describe('ControlClient', () => {
  it('calls the leader that the feed names, even if its address list is empty', async () => {
    const outdated = await reserveClosedAddress();
    const leader = await startMember(() => GRANTED);
    const clients = new RpcClients(SECRET);
    openClients.push(clients);
    let hint = outdated;
    const client = new ControlClient(clients, [], SILENT_LOG, () => hint);
    const executing = client.execute(COMMAND, NEVER_ABORTED);
    hint = leader.address;
    const executed = await executing;
    expect(executed.ok).toBe(true);
    expect(leader.calls).toBe(1);
  });

  it('follows a redirect to a leader that is not in its list, and remembers it', async () => {
    const leader = await startMember(() => GRANTED);
    const follower = await startMember(() => answerNotLeader(leader.address));
    const client = createClient([follower.address]);
    for (let round = 0; round < 3; round += 1) {
      expect((await client.execute(COMMAND, NEVER_ABORTED)).ok).toBe(true);
    }
    expect([follower.calls, leader.calls]).toEqual([1, 3]);
  });

  it('tries the next address if a member is down, so that one lost instance blocks no command', async () => {
    const leader = await startMember(() => GRANTED);
    const client = createClient([await reserveClosedAddress(), leader.address]);
    expect((await client.execute(COMMAND, NEVER_ABORTED)).ok).toBe(true);
  });

  it('retries during an election, so that a failover fails no command', async () => {
    const member = await startMember((call) => (call < 4 ? answerNotLeader('') : GRANTED));
    const client = createClient([member.address]);
    expect((await client.execute(COMMAND, NEVER_ABORTED)).ok).toBe(true);
    expect(member.calls).toBe(4);
  });

  it('reports "not run" when no member is leader', async () => {
    const member = await startMember(() => answerNotLeader(''));
    const client = createClient([member.address]);
    const result = await client.execute(COMMAND, NEVER_ABORTED, { timeoutMs: 300 });
    expect(result.val).toMatchObject({ kind: 'not_run' });
  });

  it('does not loop between members that name each other as leader', async () => {
    const addresses: string[] = [];
    const first = await startMember(() => answerNotLeader(addresses[1] ?? ''));
    const second = await startMember(() => answerNotLeader(addresses[0] ?? ''));
    addresses.push(first.address, second.address);
    const client = createClient(addresses);
    const result = await client.execute(COMMAND, NEVER_ABORTED, { timeoutMs: 300 });
    expect(result.val).toMatchObject({ kind: 'not_run' });
    expect(first.calls).toBeLessThan(12);
  });

  it('reports "unreachable" when no member could be connected to', async () => {
    const client = createClient([await reserveClosedAddress()]);
    const result = await client.execute(COMMAND, NEVER_ABORTED, { timeoutMs: 300 });
    expect(result.val).toMatchObject({ kind: 'unreachable' });
  });

  it.each([
    ['a lost answer', undefined],
    ['an unknown outcome', UNKNOWN],
  ])('never repeats a command after %s unless it is idempotent', async (_name, answer) => {
    const member = await startMember((call) => (call === 1 ? answer : GRANTED));
    const client = createClient([member.address]);
    const result = await client.execute(COMMAND, NEVER_ABORTED);
    expect(result.val).toMatchObject({ kind: 'indeterminate' });
    expect(member.calls).toBe(1);
  });

  it('repeats an idempotent command after a lost answer', async () => {
    const member = await startMember((call) => (call === 1 ? undefined : GRANTED));
    const client = createClient([member.address]);
    expect((await client.execute(COMMAND, NEVER_ABORTED, { isIdempotent: true })).ok).toBe(true);
    expect(member.calls).toBe(2);
  });

  it('reports "indeterminate" when a "not leader" answer follows a lost one', async () => {
    const member = await startMember((call) => (call === 1 ? undefined : answerNotLeader('')));
    const client = createClient([member.address]);
    const options = { isIdempotent: true, timeoutMs: 400 };
    const result = await client.execute(COMMAND, NEVER_ABORTED, options);
    expect(result.val).toMatchObject({ kind: 'indeterminate' });
  });

  it('reports a wrong secret immediately instead of retrying until the deadline', async () => {
    const member = await startMember(() => GRANTED);
    const client = createClient([member.address], 'another-secret-here');
    const result = await client.execute(COMMAND, NEVER_ABORTED);
    expect(result.val).toMatchObject({ kind: 'forbidden' });
    expect(member.calls).toBe(0);
  });

  it('ends when the caller aborts, so that a shutdown does not wait for the control members', async () => {
    const member = await startMember(() => answerNotLeader(''));
    const client = createClient([member.address]);
    const startedAt = performance.now();
    const result = await client.execute(COMMAND, AbortSignal.timeout(100));
    expect(result.err).toBe(true);
    expect(performance.now() - startedAt).toBeLessThan(2_000);
  });
});
