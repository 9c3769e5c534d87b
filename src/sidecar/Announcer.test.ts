import { create } from '@bufbuild/protobuf';
import { afterEach, expect, it, vi } from 'vitest';
import { ManualClock } from '../common/Clock.js';
import { SILENT_LOG } from '../common/Log.js';
import type { RpcClients } from '../common/Rpc.js';
import { TargetLoadSchema, type AnnounceRequest } from '../gen/redwingwharf/v1/control_pb.js';
import { Announcer } from './Announcer.js';
import { UsedChunks } from './UsedChunks.js';
import { TestGate } from './WeightsFixtures.js';

afterEach(() => {
  vi.useRealTimers();
});

it('announces a change that occurs during an announcement at once, not an interval later', async () => {
  // With fake timers the interval between two announcements never ends.
  vi.useFakeTimers({ toFake: ['setTimeout'] });
  const gate = new TestGate();
  const announced: boolean[] = [];
  const stop = new AbortController();
  const announce = async (request: AnnounceRequest): Promise<void> => {
    announced.push(request.draining);
    if (announced.length === 2) {
      stop.abort();
    }
    await gate.opened;
  };
  const clients = { get: () => ({ announce }) } as unknown as RpcClients;
  const watcher = {
    state: { isHealthy: true, incarnation: '', weightsVersion: '', load: create(TargetLoadSchema) },
    hasChunk: () => false,
    takeEvicted: () => [],
  };
  const announcer = new Announcer(
    {
      target: {
        id: 't',
        service: 's',
        kind: 'plain',
        address: '',
        model: undefined,
        healthPath: '',
      },
      dataCentre: 'd',
      address: '',
      sidecarIncarnation: new Uint8Array(),
      announceTo: ['entry'],
    },
    watcher,
    new UsedChunks(),
    undefined,
    clients,
    new ManualClock(),
    SILENT_LOG,
  );
  const running = announcer.run(stop.signal);
  announcer.setLoading(true);
  gate.open();
  await running;
  expect(announced).toEqual([false, true]);
});
