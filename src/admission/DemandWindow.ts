/** Sliding window over the token demand of a client account. */

export const DEMAND_WINDOW_MS = 1_000;

const SLOT_COUNT = 10;
const SLOT_MS = DEMAND_WINDOW_MS / SLOT_COUNT;

/** Sums the tokens recorded within the last second, in slots of 100 ms. */
export class DemandWindow {
  private readonly _slots = new Float64Array(SLOT_COUNT);
  /** Number of the newest slot, counted from time zero; its array index is this modulo `SLOT_COUNT`. */
  private _newestSlot = 0;

  public record(tokens: number, now: number): void {
    this._advanceTo(now);
    const slot = this._newestSlot % SLOT_COUNT;
    this._slots[slot] = (this._slots[slot] ?? 0) + tokens;
  }

  public sum(now: number): number {
    this._advanceTo(now);
    return this._slots.reduce((total, tokens) => total + tokens, 0);
  }

  /** Clears the slots that began since the last call. */
  private _advanceTo(now: number): void {
    const newestSlot = Math.floor(now / SLOT_MS);
    const firstNewSlot = Math.max(this._newestSlot + 1, newestSlot - SLOT_COUNT + 1);
    for (let slot = firstNewSlot; slot <= newestSlot; slot += 1) {
      this._slots[slot % SLOT_COUNT] = 0;
    }
    this._newestSlot = Math.max(this._newestSlot, newestSlot);
  }
}
