/** Guards against requests at a version that is rolled out without a permit, or at one that must get nothing any more. */
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { Metrics } from '../common/Metrics.js';
import { buildTarget } from '../fleet/Fixtures.js';
import {
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  RolloutState,
  type TargetRecord,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { answerOk, runCall } from './Fixtures.js';
import { RolloutGate } from './RolloutGate.js';

const OLD = buildTarget({ id: 'old', softwareVersion: 'v1' });
const NEW = buildTarget({ id: 'new', address: '10.1.0.2:8000', softwareVersion: 'v2' });
const ROLLOUT = {
  id: 'r',
  service: 'lace',
  to: 'v2',
  durationMs: 12_000,
  state: RolloutState.RUNNING,
};
const GRANT = { id: 'r', permits: 2, share: 1, leaseMs: 1_000, step: 0 };

function createGate(): RolloutGate {
  return new RolloutGate({ countOpenAtOthers: () => 0, metrics: new Metrics() });
}

function applyAnswer(
  gate: RolloutGate,
  answer: MessageInitShape<typeof ExchangeResponseSchema>,
  now = 0,
): void {
  const request = create(ExchangeRequestSchema);
  gate.addReport(request, now);
  const context = { request, isNewEpoch: false, sentAt: now, now };
  gate.applyResponse(create(ExchangeResponseSchema, answer), context);
}

function listAllowed(gate: RolloutGate, now = 0): string[] {
  const versions = gate.open('lace', 'assist', 's', [OLD, NEW], now);
  const isAllowed = (target: TargetRecord): boolean => versions?.isAllowed(target) ?? true;
  return [OLD, NEW].filter(isAllowed).map(({ id }) => id);
}

describe('RolloutGate', () => {
  it('changes nothing without a rollout', () => {
    const gate = createGate();
    applyAnswer(gate, { targets: [OLD, NEW] });
    expect(gate.open('lace', 'assist', 's', [OLD, NEW], 0)).toBeUndefined();
  });

  it('leaves out a version of which only its target has told, until the hub has answered', () => {
    const gate = createGate();
    applyAnswer(gate, { targets: [OLD] });
    expect(listAllowed(gate)).toEqual(['old']);
    // It is better than none.
    expect(gate.open('lace', 'assist', 's', [NEW], 0)).toBeUndefined();
    applyAnswer(gate, { targets: [NEW] });
    expect(listAllowed(gate)).toEqual(['old', 'new']);
  });

  it('sends nothing to the new version without a permit, and no more than there are permits', () => {
    const gate = createGate();
    applyAnswer(gate, { targets: [OLD, NEW], rollouts: [ROLLOUT], rolloutRevision: 1n });
    expect(listAllowed(gate)).toEqual(['old']);
    applyAnswer(gate, { rolloutGrants: [GRANT], rolloutRevision: 1n }, 100);
    expect(listAllowed(gate, 100)).toEqual(['old', 'new']);
    gate.recordSent(NEW);
    gate.recordSent(NEW);
    expect(listAllowed(gate, 100)).toEqual(['old']);
  });

  it('sends nothing to the new version once the lease has ended', () => {
    const gate = createGate();
    applyAnswer(gate, { targets: [OLD, NEW], rollouts: [ROLLOUT], rolloutRevision: 1n });
    applyAnswer(gate, { rolloutGrants: [GRANT], rolloutRevision: 1n }, 100);
    expect(listAllowed(gate, 1_099)).toEqual(['old', 'new']);
    expect(listAllowed(gate, 1_100)).toEqual(['old']);
  });

  it('does not go back to the rollouts of a hub that lags behind', () => {
    const gate = createGate();
    applyAnswer(gate, { targets: [OLD, NEW], rollouts: [ROLLOUT], rolloutRevision: 2n });
    applyAnswer(gate, { rollouts: [], rolloutRevision: 1n });
    expect(listAllowed(gate)).toEqual(['old']);
  });

  it('sends nothing to a version that was rolled back', () => {
    const gate = createGate();
    const ended = { ...ROLLOUT, state: RolloutState.ROLLED_BACK, barredVersions: ['v2'] };
    applyAnswer(gate, { targets: [OLD, NEW], rollouts: [ended], rolloutRevision: 1n });
    expect(listAllowed(gate)).toEqual(['old']);
  });
});

describe('a call during a rollout', () => {
  it('goes to the old version without a permit, and to the new one at its turn', async () => {
    const gate = createGate();
    const targets = [OLD, NEW];
    applyAnswer(gate, { targets, rollouts: [ROLLOUT], rolloutRevision: 1n });
    const setup = { targets: 2, software: ['v1', 'v2'], rollouts: gate };
    const first = await runCall([answerOk], setup);
    expect(first.targets.sent.map(({ target }) => target)).toEqual(['i-0']);
    const now = performance.now();
    // The report of the first call is answered with the permits.
    applyAnswer(gate, { rolloutGrants: [GRANT], rolloutRevision: 1n }, now);
    const second = await runCall([answerOk], setup);
    expect(second.targets.sent.map(({ target }) => target)).toEqual(['i-1']);
    const request = create(ExchangeRequestSchema);
    gate.addReport(request, now);
    expect(request.rollouts).toMatchObject([{ requests: 1, sent: 1, held: 1 }]);
    const good = request.rollouts[0]?.evidence.map((item) => [item.isNew, item.good, item.times]);
    expect(good).toEqual([[true, 1, 1]]);
  });
});
