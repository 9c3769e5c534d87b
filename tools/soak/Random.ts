/**
 * Seeded random number generator. With the same seed a run repeats its choices, as far as timing
 * allows.
 */
export class Random {
  private _state: number;

  constructor(seed: number) {
    this._state = (seed >>> 0) + 0x9e3779b9;
  }

  /** Returns a uniformly distributed number in [0, 1); the generator is mulberry32. */
  public next(): number {
    this._state = (this._state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(this._state ^ (this._state >>> 15), 1 | this._state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  }

  /** Returns a uniformly distributed number in [low, high). */
  public nextBetween(low: number, high: number): number {
    return low + this.next() * (high - low);
  }

  /** Returns a random element; throws if there are none. */
  public pick<T>(choices: readonly T[]): T {
    const choice = choices[Math.floor(this.next() * choices.length)];
    if (choice === undefined) {
      throw new Error('cannot pick from an empty list');
    }
    return choice;
  }
}
