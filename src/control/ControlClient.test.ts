import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { create } from '@bufbuild/protobuf';
import { afterEach, describe, expect, it } from 'vitest';
import { SILENT_LOG } from '../common/Log.js';
import {
  createRpcHandler,
  hasClusterSecret,
  refuseForeignRequest,
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
const allClients: RpcClients[] = [];
const never = new AbortController().signal;

interface IMember {
  readonly address: string;
  calls: number;
}

/** Starts a control member whose n-th answer is `answer(n)`; undefined breaks the connection. */
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
      refuseForeignRequest(response);
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
  const clients = new RpcClients(secret);
  allClients.push(clients);
  return new ControlClient(clients, addresses, SILENT_LOG);
}

/** An address at which nothing listens. */
async function reserveClosedAddress(): Promise<string> {
  const member = await startMember(() => GRANTED);
  const server = servers.pop();
  await new Promise((resolve) => server?.close(resolve));
  return member.address;
}

afterEach(() => {
  for (const clients of allClients.splice(0)) {
    clients.dispose();
  }
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

describe('ControlClient', () => {
  it('asks the leader that the feed names, also when no address of its list is a member', async () => {
    const outdated = await reserveClosedAddress();
    const leader = await startMember(() => GRANTED);
    const clients = new RpcClients(SECRET);
    allClients.push(clients);
    let hint = outdated;
    const client = new ControlClient(clients, [], SILENT_LOG, () => hint);
    const executing = client.execute(COMMAND, never);
    hint = leader.address;
    const executed = await executing;
    expect(executed.ok).toBe(true);
    expect(leader.calls).toBe(1);
  });

  it('follows a hint to a leader that is not in its list and remembers it', async () => {
    const leader = await startMember(() => GRANTED);
    const follower = await startMember(() => answerNotLeader(leader.address));
    const client = createClient([follower.address]);
    for (let round = 0; round < 3; round += 1) {
      expect((await client.execute(COMMAND, never)).ok).toBe(true);
    }
    expect([follower.calls, leader.calls]).toEqual([1, 3]);
  });

  it('skips members that are down, so that one lost instance stops no command', async () => {
    const leader = await startMember(() => GRANTED);
    const client = createClient([await reserveClosedAddress(), leader.address]);
    expect((await client.execute(COMMAND, never)).ok).toBe(true);
  });

  it('waits for an election, so that a failover fails no command', async () => {
    const member = await startMember((call) => (call < 4 ? answerNotLeader('') : GRANTED));
    const client = createClient([member.address]);
    expect((await client.execute(COMMAND, never)).ok).toBe(true);
    expect(member.calls).toBe(4);
  });

  it('reports "not run" when no member is leader', async () => {
    const member = await startMember(() => answerNotLeader(''));
    const client = createClient([member.address]);
    const done = await client.execute(COMMAND, never, { timeoutMs: 300 });
    expect(done.val).toMatchObject({ kind: 'not_run' });
  });

  it('does not loop between members that name each other', async () => {
    const addresses: string[] = [];
    const first = await startMember(() => answerNotLeader(addresses[1] ?? ''));
    const second = await startMember(() => answerNotLeader(addresses[0] ?? ''));
    addresses.push(first.address, second.address);
    const client = createClient(addresses);
    const done = await client.execute(COMMAND, never, { timeoutMs: 300 });
    expect(done.val).toMatchObject({ kind: 'not_run' });
    expect(first.calls).toBeLessThan(12);
  });

  it('reports "unreachable" when nothing was ever sent', async () => {
    const client = createClient([await reserveClosedAddress()]);
    const done = await client.execute(COMMAND, never, { timeoutMs: 300 });
    expect(done.val).toMatchObject({ kind: 'unreachable' });
  });

  it.each([
    ['a lost answer', undefined],
    ['an unknown outcome', UNKNOWN],
  ])('never repeats a command after %s unless it is idempotent', async (_name, answer) => {
    const member = await startMember((call) => (call === 1 ? answer : GRANTED));
    const client = createClient([member.address]);
    const done = await client.execute(COMMAND, never);
    expect(done.val).toMatchObject({ kind: 'indeterminate' });
    expect(member.calls).toBe(1);
  });

  it('repeats an idempotent command after a lost answer', async () => {
    const member = await startMember((call) => (call === 1 ? undefined : GRANTED));
    const client = createClient([member.address]);
    expect((await client.execute(COMMAND, never, { isIdempotent: true })).ok).toBe(true);
    expect(member.calls).toBe(2);
  });

  it('stays "indeterminate" when a refusal follows a lost answer', async () => {
    const member = await startMember((call) => (call === 1 ? undefined : answerNotLeader('')));
    const client = createClient([member.address]);
    const options = { isIdempotent: true, timeoutMs: 400 };
    const done = await client.execute(COMMAND, never, options);
    expect(done.val).toMatchObject({ kind: 'indeterminate' });
  });

  it('reports a wrong secret at once, so that the operator need not wait for the deadline', async () => {
    const member = await startMember(() => GRANTED);
    const client = createClient([member.address], 'another-secret-here');
    const done = await client.execute(COMMAND, never);
    expect(done.val).toMatchObject({ kind: 'forbidden' });
    expect(member.calls).toBe(0);
  });

  it('ends when the caller aborts, so that a shutdown does not wait for control', async () => {
    const member = await startMember(() => answerNotLeader(''));
    const client = createClient([member.address]);
    const startedAt = performance.now();
    const done = await client.execute(COMMAND, AbortSignal.timeout(100));
    expect(done.err).toBe(true);
    expect(performance.now() - startedAt).toBeLessThan(2_000);
  });
});
