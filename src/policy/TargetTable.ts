/** Fixed numbers of the targets, kept while the list of targets stays the same. */
import type { ITargetView } from './Types.js';

/** Mixes 32 bits so that each input bit affects each output bit. */
export function hashBits(value: number): number {
  let mixed = value ^ (value >>> 16);
  mixed = Math.imul(mixed, 0x7feb352d);
  mixed ^= mixed >>> 15;
  mixed = Math.imul(mixed, 0x846ca68b);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** 32-bit FNV-1a hash of a text. */
export function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  }
  return hashBits(hash);
}

/**
 * Rendezvous hashing over the list of targets. The codes of the targets are computed only when the
 * list changes; checking for a change is one pass of pointer comparisons.
 */
export class TargetTable {
  private _ids: string[] = [];
  private _codes = new Uint32Array(0);
  private _positions = new Map<string, number>();
  /** Changes with the list. */
  public version = 0;

  public get count(): number {
    return this._ids.length;
  }

  /** Takes over the list of targets. */
  public refresh(targets: readonly ITargetView[]): void {
    if (this._isSame(targets)) {
      return;
    }
    this._ids = targets.map((target) => target.id);
    this._codes = Uint32Array.from(this._ids, hashText);
    this._positions = new Map(this._ids.map((id, position) => [id, position]));
    this.version += 1;
  }

  /** Position of a target in the list. */
  public find(targetId: string): number | undefined {
    return this._positions.get(targetId);
  }

  /** The `count` positions with the highest score for the key, best first. */
  public rankAll(key: number, count: number): number[] {
    const best: number[] = [];
    const scores: number[] = [];
    const codes = this._codes;
    for (let position = 0; position < codes.length; position += 1) {
      const score = hashBits((codes[position] ?? 0) ^ key);
      if (best.length < count || score > (scores[scores.length - 1] ?? 0)) {
        insertRanked(best, scores, position, score, count);
      }
    }
    return best;
  }

  /** The `count` of the given positions with the highest score for the key, best first. */
  public rankSome(positions: readonly number[], key: number, count: number): number[] {
    const best: number[] = [];
    const scores: number[] = [];
    for (const position of positions) {
      const score = hashBits((this._codes[position] ?? 0) ^ key);
      if (best.length < count || score > (scores[scores.length - 1] ?? 0)) {
        insertRanked(best, scores, position, score, count);
      }
    }
    return best;
  }

  private _isSame(targets: readonly ITargetView[]): boolean {
    if (targets.length !== this._ids.length) {
      return false;
    }
    for (let i = 0; i < targets.length; i += 1) {
      if (targets[i]?.id !== this._ids[i]) {
        return false;
      }
    }
    return true;
  }
}

function insertRanked(
  best: number[],
  scores: number[],
  position: number,
  score: number,
  count: number,
): void {
  let place = best.length;
  while (place > 0 && (scores[place - 1] ?? 0) < score) {
    place -= 1;
  }
  best.splice(place, 0, position);
  scores.splice(place, 0, score);
  if (best.length > count) {
    best.pop();
    scores.pop();
  }
}
