import { create } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { ChangeSchema, type Change } from '../gen/redwingwharf/v1/state_pb.js';
import { Changes, RETAINED_CHANGES, digestChange } from './Changes.js';

function buildChange(operationId: string, version: number, value = 'v'): Change {
  return create(ChangeSchema, {
    operationId,
    version: BigInt(version),
    operator: 'ada',
    items: [{ key: 'weights/m', value: Buffer.from(value) }],
  });
}

describe('Changes', () => {
  it('answers a resend with the recorded result, so that a lost answer causes no conflict', () => {
    const changes = new Changes();
    changes.accept(buildChange('op-1', 1), 10);
    changes.accept(buildChange('op-2', 2), 11);
    const result = changes.accept(buildChange('op-1', 1), 12);
    expect(result.outcome).toMatchObject({
      case: 'accepted',
      value: { version: 1n, revision: 10n, replayed: true },
    });
    expect(changes.version).toBe(2);
  });

  it('accepts one of two concurrent changes with the same version and returns both digests', () => {
    const changes = new Changes();
    const winner = buildChange('op-1', 1);
    const loser = buildChange('op-2', 1, 'w');
    changes.accept(winner, 10);
    expect(changes.accept(loser, 11).outcome).toMatchObject({
      case: 'conflict',
      value: {
        currentVersion: 1n,
        takenBy: { operationId: 'op-1', operator: 'ada', digest: digestChange(winner) },
        yourDigest: digestChange(loser),
      },
    });
  });

  it('refuses a reused operation id with other content instead of reporting success', () => {
    const changes = new Changes();
    changes.accept(buildChange('op-1', 1), 10);
    const outcome = changes.accept(buildChange('op-1', 2, 'w'), 11).outcome;
    expect(outcome).toMatchObject({ case: 'conflict', value: { takenBy: { version: 1n } } });
    expect(changes.version).toBe(1);
  });

  it('refuses a version beyond the next one, so that no version is skipped', () => {
    const outcome = new Changes().accept(buildChange('op-1', 2), 10).outcome;
    expect(outcome).toMatchObject({ case: 'conflict', value: { currentVersion: 0n } });
  });

  it('retains the last changes only, and refuses the resend of an evicted one', () => {
    const changes = new Changes();
    for (let version = 1; version <= RETAINED_CHANGES + 1; version += 1) {
      changes.accept(buildChange(`op-${version}`, version), version);
    }
    expect(changes.snapshot()).toHaveLength(RETAINED_CHANGES);
    expect(changes.accept(buildChange('op-1', 1), 20_000).outcome.case).toBe('conflict');
    expect(changes.accept(buildChange('op-2', 2), 20_000).outcome.case).toBe('accepted');
  });
});
