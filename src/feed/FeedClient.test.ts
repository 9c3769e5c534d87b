/**
 * Guards against a copy of the configuration that stays out of date because of the server that it syncs
 * with.
 */
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import { describe, expect, it, vi } from 'vitest';
import { createLog } from '../common/Log.js';
import type { RpcClients } from '../common/Rpc.js';
import {
  SyncResponseSchema,
  type SyncRequest,
  type SyncResponse,
} from '../gen/redwingwharf/v1/control_pb.js';
import { FeedClient } from './FeedClient.js';
import { FeedCopy } from './FeedCopy.js';

type Answer = (request: SyncRequest) => SyncResponse;

function createClients(servers: Readonly<Record<string, Answer>>): RpcClients {
  const get = (_service: unknown, address: string): unknown => ({
    sync: (request: SyncRequest) => {
      const answer = servers[address];
      return answer === undefined
        ? Promise.reject(new Error('no connection'))
        : Promise.resolve(answer(request));
    },
  });
  return { get } as unknown as RpcClients;
}

function answerWith(response: MessageInitShape<typeof SyncResponseSchema>): Answer {
  return () => create(SyncResponseSchema, { clusterId: new Uint8Array([1]), ...response });
}

describe('FeedClient', () => {
  it('does not sync with its own outdated copy forever after a restart of the former leader', async () => {
    const copy = new FeedCopy();
    const clock = { now: () => 10_000 };
    const clients = createClients({
      // The restarted process itself, which serves its own copy.
      own: (request) => copy.sync(request, clock.now()),
      // Has not learned of the failover yet, so it reports the restarted process as leader.
      lagging: answerWith({ revision: 5n, ageMs: 2_000, leaderAddress: 'own' }),
      leader: answerWith({ revision: 6n, ageMs: 0, leaderAddress: 'leader' }),
    });
    // The first server picked is the lagging one; later picks alternate.
    const random = vi.fn(() => 0.99).mockReturnValueOnce(0.5);
    const log = createLog('test', 'error', () => undefined);
    const servers = ['own', 'lagging', 'leader'];
    const client = new FeedClient(copy, servers, 'own', [], clients, clock, log, random);
    for (let round = 0; round < 10; round++) {
      await client.syncOnce(new AbortController().signal);
    }
    expect(copy.revision).toBe(6);
    expect(copy.getConfirmedAt()).toBe(10_000);
  });

  it('does not answer a caller with a request that was sent before the call', async () => {
    // A withdrawal between the two calls would not be in force when the second one resolves.
    const copy = new FeedCopy();
    const answers: ((response: SyncResponse) => void)[] = [];
    const sync = (): Promise<SyncResponse> =>
      new Promise((resolve) => {
        answers.push(resolve);
      });
    const clients = { get: () => ({ sync }) } as unknown as RpcClients;
    const log = createLog('test', 'error', () => undefined);
    const client = new FeedClient(copy, ['leader'], 'entry', [], clients, { now: () => 0 }, log);
    const { signal } = new AbortController();
    const respond = (revision: bigint): void => {
      const clusterId = new Uint8Array([1]);
      answers.shift()?.(create(SyncResponseSchema, { clusterId, revision, ageMs: 0 }));
    };
    const early = client.syncOnce(signal);
    await vi.waitUntil(() => answers.length === 1);
    const late = [client.syncOnce(signal), client.syncOnce(signal)];
    respond(5n);
    await early;
    expect(copy.revision).toBe(5);
    await vi.waitUntil(() => answers.length === 1);
    respond(6n);
    await Promise.all(late);
    expect(copy.revision).toBe(6);
    expect(answers).toHaveLength(0);
  });

  it('switches from a follower to the leader that the follower reports', async () => {
    const copy = new FeedCopy();
    const follower = vi.fn(answerWith({ revision: 6n, ageMs: 400, leaderAddress: 'leader' }));
    const leader = vi.fn(answerWith({ revision: 6n, ageMs: 0, leaderAddress: 'leader' }));
    const clients = createClients({ follower, leader });
    const log = createLog('test', 'error', () => undefined);
    const servers = ['follower', 'leader'];
    const client = new FeedClient(
      copy,
      servers,
      'entry',
      [],
      clients,
      { now: () => 0 },
      log,
      () => 0,
    );
    for (let round = 0; round < 4; round++) {
      await client.syncOnce(new AbortController().signal);
    }
    expect(follower).toHaveBeenCalledTimes(1);
    expect(leader).toHaveBeenCalledTimes(3);
  });

  it('does not report a server without a copy as one of another deployment', () => {
    const copy = new FeedCopy();
    copy.applyResponse(
      create(SyncResponseSchema, { clusterId: new Uint8Array([1]), revision: 5n }),
      0,
    );
    const empty = create(SyncResponseSchema, {});
    expect(copy.applyResponse(empty, 0)).toBe('behind');
    const foreign = create(SyncResponseSchema, { clusterId: new Uint8Array([2]), revision: 9n });
    expect(copy.applyResponse(foreign, 0)).toBe('other_cluster');
  });
});
