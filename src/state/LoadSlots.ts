/** Slots of the weight store: only so many engines load weights at the same time. */
import { create } from '@bufbuild/protobuf';
import { hasSameBytes } from '../common/Hashes.js';
import {
  LoadSlotResultSchema,
  LoadSlotSnapshotSchema,
  type LoadSlotCommand,
  type LoadSlotResult,
  type LoadSlotSnapshot,
} from '../gen/redwingwharf/v1/state_pb.js';

/** Loads take longer when more than two or three engines load at once. */
export const LOAD_SLOTS = 2;

/** Logical time after which the slot of a crashed sidecar is free again. */
export const LOAD_SLOT_LEASE_MS = 10_000;

function hasSameWeights(held: LoadSlotSnapshot, command: LoadSlotCommand): boolean {
  return (
    held.model === command.model &&
    held.version === command.version &&
    hasSameBytes(held.sidecarIncarnation, command.sidecarIncarnation)
  );
}

/** Holders of the slots by target. A target has at most one slot. */
export class LoadSlots {
  private _slots = new Map<string, LoadSlotSnapshot>();

  /**
   * Acquires or releases a slot. A repeated request of the same holder for the same weights keeps its
   * fence and renews the lease; other weights or a new sidecar incarnation get a new fence.
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
    if (held === undefined && this._slots.size >= LOAD_SLOTS) {
      const expiry = Math.min(...[...this._slots.values()].map((slot) => Number(slot.expiresAtMs)));
      return create(LoadSlotResultSchema, { retryAfterMs: Math.ceil(expiry - timeMs) });
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
    // A late release for an older incarnation or older weights must not free the newer slot.
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
