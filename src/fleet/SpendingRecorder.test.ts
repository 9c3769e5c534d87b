/** Guards against a leader that no longer records spending, so that no lease can grow. */
import { fromBinary } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { Ok } from '../common/Result.js';
import type { IReplicatedLog } from '../consensus/Types.js';
import { FleetCommandSchema, type FleetCommand } from '../gen/redwingwharf/v1/fleet_pb.js';
import { waitUntil } from '../consensus/TestCluster.js';
import type { FleetHub } from './FleetHub.js';
import { SpendingRecorder } from './SpendingRecorder.js';

const DAY_MS = 24 * 3_600_000;

describe('SpendingRecorder', () => {
  it('goes on recording after 50 days in which nothing was spent', async () => {
    let now = 0;
    const commands: FleetCommand[] = [];
    const hub: Pick<FleetHub, 'takeRecords' | 'raiseCeilings'> = {
      takeRecords: () => [{ clientAccount: 'pag', tokens: 1, ceiling: 2 }],
      raiseCeilings: () => {
        now += 50 * DAY_MS;
      },
    };
    const log: Pick<IReplicatedLog, 'propose'> = {
      propose: (command) => {
        commands.push(fromBinary(FleetCommandSchema, command));
        return Promise.resolve(Ok({ index: 1, result: new Uint8Array() }));
      },
    };
    const stop = new AbortController();
    const recorder = new SpendingRecorder(
      { getHub: () => hub as FleetHub, getPropagationMs: () => 100 },
      () => log as IReplicatedLog,
      { now: () => now },
    );
    const running = recorder.run(stop.signal);
    await Promise.race([waitUntil('it has recorded twice', () => commands.length > 1), running]);
    stop.abort();
    await running;
    expect(commands[1]?.body.value).toMatchObject({ intervalMs: 2 ** 32 - 1 });
  });
});
