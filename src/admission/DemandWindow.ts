/** Demand of the last second. */

/** Length of the window. */
export const DEMAND_WINDOW_MS = 1_000;

const SLOTS = 10;
const SLOT_MS = DEMAND_WINDOW_MS / SLOTS;

/** Sum of the tokens recorded within the last second, in slots of a tenth of a second. */
export class DemandWindow {
  private readonly _slots = new Float64Array(SLOTS);
  private _newest = 0;

  public record(tokens: number, now: number): void {
    this._moveTo(now);
    const slot = this._newest % SLOTS;
    this._slots[slot] = (this._slots[slot] ?? 0) + tokens;
  }

  public sum(now: number): number {
    this._moveTo(now);
    return this._slots.reduce((total, tokens) => total + tokens, 0);
  }

  private _moveTo(now: number): void {
    const newest = Math.floor(now / SLOT_MS);
    const first = Math.max(this._newest + 1, newest - SLOTS + 1);
    for (let position = first; position <= newest; position += 1) {
      this._slots[position % SLOTS] = 0;
    }
    this._newest = Math.max(this._newest, newest);
  }
}
