/** Guards against a stop of all processes that loses what they have just learned. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { MonotonicClock } from '../common/Clock.js';
import { Emitter } from '../common/Lifecycle.js';
import { SILENT_LOG } from '../common/Log.js';
import { RpcClients } from '../common/Rpc.js';
import { waitUntil } from '../consensus/TestCluster.js';
import type { ISuspectParts } from '../fleet/CrashEvidence.js';
import { buildTarget } from '../fleet/Fixtures.js';
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import { MemberHost, type ITargetCache } from './MemberHost.js';

class RecordingCache implements ITargetCache {
  public targets: readonly TargetRecord[] = [];
  public suspects: readonly ISuspectParts[] = [];
  private readonly _changes = new Emitter<number>();
  public readonly onChange = this._changes.onFire;

  public list(): readonly TargetRecord[] {
    return this.targets;
  }

  public restore(records: readonly TargetRecord[]): void {
    this.targets = records;
  }

  public listSuspects(): readonly ISuspectParts[] {
    return this.suspects;
  }

  public restoreSuspects(suspects: readonly ISuspectParts[]): void {
    this.suspects = suspects;
  }

  public fireChange(): void {
    this._changes.fire(0);
  }
}

let folder = '';

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'redwingwharf-member-'));
});

afterEach(async () => {
  await rm(folder, { recursive: true, force: true });
});

/** Runs a member on the folder until the task has ended. Returns how often it was opened. */
async function runMember(cache: RecordingCache, task: () => Promise<void>): Promise<number> {
  const stop = new AbortController();
  let isOpen = false;
  let openCount = 0;
  const host = new MemberHost(
    {
      dataFolder: folder,
      address: '127.0.0.1:1',
      listPeers: () => [],
      toleratedLosses: 1,
      mayBootstrap: true,
    },
    new RpcClients('secret'),
    new MonotonicClock(),
    SILENT_LOG,
    (member) => {
      isOpen = member !== undefined;
      openCount += isOpen ? 1 : 0;
    },
    cache,
  );
  const running = host.run(stop.signal);
  await waitUntil('the log is open', () => isOpen);
  await task();
  stop.abort();
  await running;
  return openCount;
}

describe('MemberHost', () => {
  it('saves a quarantine, and the limits of targets with it, at once', async () => {
    const cache = new RecordingCache();
    await runMember(cache, async () => {
      cache.targets = [buildTarget({ rateLimit: 2, softwareVersion: 'v1' })];
      cache.suspects = [{ parts: [7], quarantined: true }];
      cache.fireChange();
      await delay(500);
    });
    const restored = new RecordingCache();
    await runMember(restored, () => Promise.resolve());
    expect(restored.suspects).toMatchObject([{ parts: [7], quarantined: true }]);
    expect(restored.targets).toMatchObject([{ id: 'i-1', rateLimit: 2, softwareVersion: 'v1' }]);
  });

  // The member was opened a second time beside the first one, whose log still ran on the same files.
  it('stays open when a record cannot be saved, and saves the records after it', async () => {
    const cache = new RecordingCache();
    const openCount = await runMember(cache, async () => {
      cache.targets = [buildTarget({ sequence: 1.5 as never })];
      cache.fireChange();
      await delay(500);
      cache.targets = [buildTarget({ rateLimit: 2 })];
      cache.fireChange();
      await delay(1_500);
    });
    expect(openCount).toBe(1);
    const restored = new RecordingCache();
    await runMember(restored, () => Promise.resolve());
    expect(restored.targets).toMatchObject([{ rateLimit: 2 }]);
  });
});
