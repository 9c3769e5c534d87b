/** Load slots of the weight store, which limit how many engines load weights at the same time. */
import { create } from '@bufbuild/protobuf';
import { hasSameBytes } from '../common/Hashes.js';
import {
  LoadSlotResultSchema,
  LoadSlotSnapshotSchema,
  type LoadSlotCommand,
  type LoadSlotResult,
  type LoadSlotSnapshot,
} from '../gen/redwingwharf/v1/state_pb.js';

/** Number of slots. Loads take longer when more than two or three engines load at once. */
export const LOAD_SLOT_COUNT = 2;

/** Lease of a slot in logical time, after which the slot of a crashed sidecar is free again. */
export const LOAD_SLOT_LEASE_MS = 10_000;

function hasSameWeights(held: LoadSlotSnapshot, command: LoadSlotCommand): boolean {
  return (
    held.model === command.model &&
    held.version === command.version &&
    hasSameBytes(held.sidecarIncarnation, command.sidecarIncarnation)
  );
}

/** Assigns the slots to targets, at most one to each, with a lease and a fence. */
export class LoadSlots {
  private _slots = new Map<string, LoadSlotSnapshot>();

  /**
   * Acquires or releases a slot. A repeated request of the same holder for the same weights renews the
   * lease and keeps the fence; other weights or a new sidecar incarnation get a new fence.
   */
  public apply(command: LoadSlotCommand, index: number, timeMs: number): LoadSlotResult {
    this._expire(timeMs);
    return command.release ? this._release(command) : this._acquire(command, index, timeMs);
  }

  public snapshot(): LoadSlotSnapshot[] {
    return [...this._slots.values()];
  }

  public restore(slots: readonly LoadSlotSnapshot[]): void {
    this._slots = new Map(slots.map((slot) => [slot.target, slot]));
  }

  private _acquire(command: LoadSlotCommand, index: number, timeMs: number): LoadSlotResult {
    const held = this._slots.get(command.target);
    if (held === undefined && this._slots.size >= LOAD_SLOT_COUNT) {
      const earliestExpiryMs = Math.min(
        ...[...this._slots.values()].map((slot) => Number(slot.expiresAtMs)),
      );
      return create(LoadSlotResultSchema, { retryAfterMs: Math.ceil(earliestExpiryMs - timeMs) });
    }
    const isRepeat = held !== undefined && hasSameWeights(held, command);
    const fence = isRepeat ? held.fence : BigInt(index);
    const slot = create(LoadSlotSnapshotSchema, {
      target: command.target,
      sidecarIncarnation: command.sidecarIncarnation,
      model: command.model,
      version: command.version,
      fence,
      expiresAtMs: BigInt(timeMs + LOAD_SLOT_LEASE_MS),
    });
    this._slots.set(command.target, slot);
    return create(LoadSlotResultSchema, { granted: true, fence });
  }

  private _release(command: LoadSlotCommand): LoadSlotResult {
    const held = this._slots.get(command.target);
    // A delayed release from an older incarnation or for older weights must not free the current slot.
    const isHolder =
      held !== undefined &&
      hasSameBytes(held.sidecarIncarnation, command.sidecarIncarnation) &&
      (command.version === '' || command.version === held.version);
    if (isHolder) {
      this._slots.delete(command.target);
    }
    return create(LoadSlotResultSchema);
  }

  private _expire(timeMs: number): void {
    for (const slot of [...this._slots.values()]) {
      if (Number(slot.expiresAtMs) <= timeMs) {
        this._slots.delete(slot.target);
      }
    }
  }
}
