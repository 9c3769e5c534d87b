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
  it('guards against a restarted leader that follows its own old copy for good', async () => {
    const copy = new FeedCopy();
    const clock = { now: () => 10_000 };
    const clients = createClients({
      // The restarted process itself: it serves its copy.
      own: (request) => copy.sync(request, clock.now()),
      // Has not heard of the failover yet, so it names the restarted process as leader.
      lagging: answerWith({ revision: 5n, ageMs: 2_000, leaderAddress: 'own' }),
      leader: answerWith({ revision: 6n, ageMs: 0, leaderAddress: 'leader' }),
    });
    // The first pick is the lagging server; later picks take turns.
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

  it('guards against staying with a follower when the leader is known', async () => {
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

  it('guards against reporting a server that has no copy yet as foreign', () => {
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
