/** Guards against a process that no longer follows the others, or no longer acts as the leader, after an exception. */
import { create, toBinary } from '@bufbuild/protobuf';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { findFreePorts } from '../../tools/harness/Ports.js';
import { SILENT_LOG } from '../common/Log.js';
import { Ok } from '../common/Result.js';
import { waitUntil } from '../consensus/TestCluster.js';
import { buildConfiguration, buildTarget } from '../fleet/Fixtures.js';
import { FleetNode } from '../fleet/FleetNode.js';
import { SpendingRecorder } from '../fleet/SpendingRecorder.js';
import type { DocumentDecoder } from '../fleet/Types.js';
import { VersionRecorder } from '../fleet/VersionRecorder.js';
import { WeightsRollout } from '../fleet/WeightsRollout.js';
import { StoreIndex } from '../gateway/StoreIndex.js';
import type { ICall } from '../gateway/Types.js';
import { FleetCommandSchema, TargetListSchema } from '../gen/redwingwharf/v1/fleet_pb.js';
import { DataDirectory } from '../storage/DataDirectory.js';
import { FleetProcess } from './FleetProcess.js';
import { MemberHost } from './MemberHost.js';

let folder = '';
let fleetProcess: FleetProcess<ICall> | undefined;

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'redwingwharf-process-'));
});

afterEach(async () => {
  await fleetProcess?.stop();
  await rm(folder, { recursive: true, force: true });
});

async function findAddress(): Promise<string> {
  const [port] = await findFreePorts(1);
  return `127.0.0.1:${port}`;
}

/** Starts the only process of a deployment and waits until it leads. */
async function startProcess(
  decodeDocument: DocumentDecoder,
  address: string,
): Promise<FleetProcess<ICall>> {
  const started = new FleetProcess<ICall>(
    {
      dataCentre: 'zg-a',
      internalAddress: address,
      seeds: [address],
      clusterSecret: 'secret',
      takesRequests: true,
      member: { dataFolder: folder, mayBootstrap: true, toleratedLosses: 0 },
      announceIntervalMs: 1_200,
      quota: { windowMs: 8_000, excessRatio: 0, toleranceTokens: 0 },
      leaseMs: 3_000,
      weightsRolloutLimitMs: 10_000,
      retryBudget: { ratio: 0.2, slack: 60, windowMs: 10_000 },
    },
    {
      decodeDocument,
      targetClient: {
        send: () => {
          throw new Error('there is no target');
        },
        probe: () => Promise.resolve(true),
        canConnect: () => Promise.resolve(true),
      },
      engineClient: {
        fetchReport: () => Promise.reject(new Error('there is no target')),
        sendOrder: () => Promise.reject(new Error('there is no target')),
      },
      pollStore: () => Promise.reject(new Error('there is no store')),
    },
    SILENT_LOG,
  );
  fleetProcess = started;
  await started.start();
  await waitUntil('the process leads', () => started.view.epoch !== '');
  return started;
}

describe('FleetProcess', () => {
  it('goes on exchanging after an exception within an exchange', async () => {
    let failures = 0;
    const { node, view } = await startProcess(
      () => {
        failures += 1;
        if (failures === 1) {
          throw new RangeError('an exception of a listener');
        }
        return Ok(buildConfiguration());
      },
      await findAddress(),
    );
    const body = { case: 'putDocument', value: { version: 7n } } as const;
    await node.submit(create(FleetCommandSchema, { body }), new AbortController().signal);
    await waitUntil('the configuration is in force', () => view.documentVersion === 7);
    expect(failures).toBe(2);
  });

  // A task that is not restarted leaves its part undone until the process ends, for example base versions of streams.
  it.each([
    { name: 'FleetNode', prototype: FleetNode.prototype },
    { name: 'MemberHost', prototype: MemberHost.prototype },
    { name: 'SpendingRecorder', prototype: SpendingRecorder.prototype },
    { name: 'StoreIndex', prototype: StoreIndex.prototype },
    { name: 'VersionRecorder', prototype: VersionRecorder.prototype },
    { name: 'WeightsRollout', prototype: WeightsRollout.prototype },
  ])('starts the task of $name again that an exception ended', async ({ prototype }) => {
    const run = vi.spyOn(prototype, 'run').mockRejectedValueOnce(new RangeError('an exception'));
    try {
      await startProcess(() => Ok(buildConfiguration()), await findAddress());
      await waitUntil('the task runs again', () => run.mock.calls.length > 1);
    } finally {
      run.mockRestore();
    }
  });

  // A process of an earlier version accepted such records and saved them.
  it('restores the usable ones of the targets that were saved before a restart', async () => {
    const address = await findAddress();
    await (await startProcess(() => Ok(buildConfiguration()), address)).stop();
    const targets = [
      buildTarget({ id: 'i-port', address: '10.1.0.2:99999' }),
      buildTarget({ id: 'i-host', address: '300.1.0.2:8000' }),
      buildTarget({ id: 'i-late', address: '10.1.0.3:8000', born: Number.POSITIVE_INFINITY }),
      buildTarget({ id: 'i-\n', address: '10.1.0.4:8000' }),
      buildTarget({ id: 'i-phase', address: '10.1.0.5:8000', phase: 7 as never }),
      buildTarget({ id: 'i-sound' }),
    ];
    const list = create(TargetListSchema, { targets });
    const directory = await DataDirectory.open(folder, true);
    await directory.replace('targets', toBinary(TargetListSchema, list));
    await directory.close();
    const { view } = await startProcess(() => Ok(buildConfiguration()), address);
    expect(view.listTargets('lace').map(({ id }) => id)).toEqual(['i-sound']);
    await waitUntil('the leader knows the target', () => view.revision > 0);
    expect(view.listRecords().map(({ id }) => id)).toEqual(['i-phase', 'i-sound']);
  });
});
