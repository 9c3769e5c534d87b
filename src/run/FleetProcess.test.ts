/** Guards against a process that serves requests on without one of its tasks. */
import { afterEach, expect, it, vi } from 'vitest';
import { SILENT_LOG } from '../common/Log.js';
import { Ok } from '../common/Result.js';
import { buildConfiguration } from '../fleet/Fixtures.js';
import type { IEngineClient } from '../fleet/WeightsRollout.js';
import { ScriptedTargetClient } from '../gateway/Fixtures.js';
import type { ICall } from '../gateway/Types.js';
import { FleetProcess } from './FleetProcess.js';

const { exitCode } = process;

afterEach(() => {
  process.exitCode = exitCode;
});

function createProcess(): FleetProcess<ICall> {
  return new FleetProcess<ICall>(
    {
      dataCentre: 'zg-a',
      internalAddress: '127.0.0.1:0',
      seeds: [],
      clusterSecret: 'secret',
      takesRequests: true,
      member: undefined,
      announceIntervalMs: 1_200,
      quota: { windowMs: 8_000, excessRatio: 0, toleranceTokens: 0 },
      leaseMs: 3_000,
      weightsRolloutLimitMs: 10_000,
      retryBudget: { ratio: 0.2, slack: 60, windowMs: 10_000 },
    },
    {
      decodeDocument: () => Ok(buildConfiguration()),
      targetClient: new ScriptedTargetClient([]),
      engineClient: {} as IEngineClient,
      pollStore: () => Promise.reject(new Error('no store')),
    },
    SILENT_LOG,
  );
}

// Guards against a process that keeps an old configuration because its exchanges with the leader have ended.
it('exchanges with the leader again after an exchange has thrown', async () => {
  const fleet = createProcess();
  const run = vi.spyOn(fleet.node, 'run').mockRejectedValueOnce(new Error('cannot apply'));
  await fleet.start();
  await vi.waitFor(
    () => {
      expect(run).toHaveBeenCalledTimes(2);
    },
    { timeout: 5_000 },
  );
  expect(process.exitCode).toBe(1);
  await fleet.stop();
});
