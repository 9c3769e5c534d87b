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

/**
 * Creates a control leader that is unreachable at first. After that it grants the wanted tokens, or none
 * when `retryAfterMs` is not zero.
 */
function createControl(
  unavailableMs: number,
  retryAfterMs: number,
): Pick<ControlClient, 'execute'> {
  const availableAt = performance.now() + unavailableMs;
  const execute: Execute = async (body, signal) => {
    if (performance.now() < availableAt) {
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

  it('keeps requests waiting, not rate-limited, while the leader does not answer', async () => {
    const admitter = createAdmitter(createControl(1_200, 0));
    const first = admitter.admit('pag', 100, stop.signal);
    await sleep(400, stop.signal);
    // Begins to wait while the exchange for the first request is still unanswered.
    const second = admitter.admit('pag', 100, stop.signal);
    expect((await first).ok).toBe(true);
    expect((await second).ok).toBe(true);
  });

  it('refuses a request at once when its tokens would come after the longest wait', async () => {
    const admitter = createAdmitter(createControl(0, 5_000));
    const startedAt = performance.now();
    const admitted = await admitter.admit('pag', 100, stop.signal);
    expect(admitted.err && admitted.val.kind).toBe('rate_limited');
    expect(performance.now() - startedAt).toBeLessThan(400);
  });

  // Guards against a request that gets no answer because it comes while the process stops.
  it('refuses a request that must wait after the exchanges have ended', async () => {
    const admitter = createAdmitter(createControl(0, 0));
    stop.abort();
    await sleep(50);
    const { signal } = new AbortController();
    const ended = sleep(1_000).then(() => undefined);
    const admitted = await Promise.race([admitter.admit('pag', 100, signal), ended]);
    expect(admitted?.err && admitted.val.kind).toBe('control_unavailable');
  });
});
