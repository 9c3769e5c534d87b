import { create } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { LoadSlotCommandSchema, type LoadSlotCommand } from '../gen/redwingwharf/v1/state_pb.js';
import { LOAD_SLOT_LEASE_MS, LoadSlots } from './LoadSlots.js';

function buildCommand(
  target: string,
  incarnation = 1,
  version = '1',
  release = false,
): LoadSlotCommand {
  const sidecarIncarnation = Uint8Array.of(incarnation);
  return create(LoadSlotCommandSchema, { target, sidecarIncarnation, version, release });
}

describe('LoadSlots', () => {
  it('grants only two slots, so that loads stay fast, and returns the wait to a third target', () => {
    const slots = new LoadSlots();
    expect(slots.apply(buildCommand('a'), 1, 0)).toMatchObject({ granted: true, fence: 1n });
    expect(slots.apply(buildCommand('b'), 2, 500)).toMatchObject({ granted: true, fence: 2n });
    expect(slots.apply(buildCommand('c'), 3, 1_000)).toMatchObject({
      granted: false,
      retryAfterMs: 9_000,
    });
    expect(slots.apply(buildCommand('c'), 4, LOAD_SLOT_LEASE_MS)).toMatchObject({ granted: true });
  });

  it('keeps the fence for a repeated request, so that a lost answer does not use a second slot', () => {
    const slots = new LoadSlots();
    slots.apply(buildCommand('a'), 1, 0);
    expect(slots.apply(buildCommand('a'), 2, 100).fence).toBe(1n);
    expect(slots.apply(buildCommand('b'), 3, 100).granted).toBe(true);
  });

  it('gives other weights and a restarted sidecar a higher fence', () => {
    const slots = new LoadSlots();
    slots.apply(buildCommand('a'), 1, 0);
    expect(slots.apply(buildCommand('a', 1, '2'), 2, 0).fence).toBe(2n);
    expect(slots.apply(buildCommand('a', 2, '2'), 3, 0).fence).toBe(3n);
  });

  it('ignores a delayed release from an older holder', () => {
    const slots = new LoadSlots();
    slots.apply(buildCommand('a', 2, '2'), 1, 0);
    slots.apply(buildCommand('b'), 2, 0);
    slots.apply(buildCommand('a', 1, '2', true), 3, 0);
    slots.apply(buildCommand('a', 2, '1', true), 4, 0);
    expect(slots.apply(buildCommand('c'), 5, 0).granted).toBe(false);
    slots.apply(buildCommand('a', 2, '2', true), 6, 0);
    expect(slots.apply(buildCommand('c'), 7, 0).granted).toBe(true);
  });
});
