import { create } from '@bufbuild/protobuf';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { MonotonicClock } from '../common/Clock.js';
import { generateIdentifier } from '../common/Hashes.js';
import { SILENT_LOG } from '../common/Log.js';
import { Metrics } from '../common/Metrics.js';
import { Err, Ok } from '../common/Result.js';
import { sleep } from '../common/Tasks.js';
import type { ControlClient } from '../control/ControlClient.js';
import {
  CommandResultSchema,
  SyncGrantsResultSchema,
  type CommandResult,
} from '../gen/redwingwharf/v1/state_pb.js';
import { Admitter } from './Admitter.js';
import { GrantWallet } from './GrantWallet.js';

type Execute = ControlClient['execute'];

/** Leader that is away at first, then grants what is wanted or names a time to come back. */
function createControl(awayMs: number, retryAfterMs: number): Pick<ControlClient, 'execute'> {
  const backAt = performance.now() + awayMs;
  const execute: Execute = async (body, signal) => {
    if (performance.now() < backAt) {
      await sleep(100, signal);
      return Err({ kind: 'unreachable', message: 'no leader' });
    }
    const requests = body.case === 'syncGrants' ? (body.value.requests ?? []) : [];
    return Ok(createResult(requests, retryAfterMs));
  };
  return { execute };
}

function createResult(
  requests: readonly { clientAccount?: string; wantedTokens?: number }[],
  retryAfterMs: number,
): CommandResult {
  const grants = requests.map(({ clientAccount, wantedTokens }) => ({
    clientAccount: clientAccount ?? '',
    grantId: 1n,
    epoch: 1n,
    tokens: retryAfterMs === 0 ? (wantedTokens ?? 0) : 0,
    retryAfterMs,
  }));
  const value = create(SyncGrantsResultSchema, { grants });
  return create(CommandResultSchema, { body: { case: 'syncGrants', value } });
}

describe('Admitter', () => {
  let stop = new AbortController();

  beforeEach(() => {
    stop = new AbortController();
  });

  afterEach(() => {
    stop.abort();
  });

  function createAdmitter(control: Pick<ControlClient, 'execute'>): Admitter {
    const wallet = new GrantWallet({ instance: 'entry', incarnation: generateIdentifier() });
    const clock = new MonotonicClock();
    const admitter = new Admitter(wallet, control, clock, SILENT_LOG, new Metrics());
    void admitter.run(stop.signal);
    return admitter;
  }

  it('guards against refusing a request for its rate while the leader does not answer', async () => {
    const admitter = createAdmitter(createControl(1_200, 0));
    const first = admitter.admit('pag', 100, stop.signal);
    await sleep(400, stop.signal);
    // Joins while the exchange that the ledger has not answered yet is on its way.
    const second = admitter.admit('pag', 100, stop.signal);
    expect((await first).ok).toBe(true);
    expect((await second).ok).toBe(true);
  });

  it('guards against holding back a request that the ledger refuses', async () => {
    const admitter = createAdmitter(createControl(0, 5_000));
    const startedAt = performance.now();
    const admitted = await admitter.admit('pag', 100, stop.signal);
    expect(admitted.err && admitted.val.kind).toBe('rate_limited');
    expect(performance.now() - startedAt).toBeLessThan(400);
  });
});
