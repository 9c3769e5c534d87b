/** Rendezvous hashing over a list of targets, and the hash functions that it uses. */
import type { ITargetView } from './Types.js';

/** Hashes a 32-bit integer so that each input bit affects each output bit. */
export function hashBits(value: number): number {
  let mixed = value ^ (value >>> 16);
  mixed = Math.imul(mixed, 0x7feb352d);
  mixed ^= mixed >>> 15;
  mixed = Math.imul(mixed, 0x846ca68b);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** 32-bit FNV-1a hash of a text, mixed by `hashBits`. */
export function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  }
  return hashBits(hash);
}

/**
 * Ranks the targets of a list by rendezvous hashing. The hashes of the target ids are computed only when the
 * list changes; the check for a change is one pass of pointer comparisons.
 */
export class TargetTable {
  private _ids: string[] = [];
  private _hashes = new Uint32Array(0);
  private _positions = new Map<string, number>();
  /** Incremented whenever the list changes. */
  public version = 0;

  public get count(): number {
    return this._ids.length;
  }

  /** Replaces the list of targets if it has changed. */
  public refresh(targets: readonly ITargetView[]): void {
    if (this._isSame(targets)) {
      return;
    }
    this._ids = targets.map((target) => target.id);
    this._hashes = Uint32Array.from(this._ids, hashText);
    this._positions = new Map(this._ids.map((id, position) => [id, position]));
    this.version += 1;
  }

  /** Position of a target in the list; undefined if it is not in the list. */
  public find(targetId: string): number | undefined {
    return this._positions.get(targetId);
  }

  /** The `count` positions with the highest score for the key, best first. */
  public rankAll(key: number, count: number): number[] {
    const best: number[] = [];
    const scores: number[] = [];
    const hashes = this._hashes;
    for (let position = 0; position < hashes.length; position += 1) {
      const score = hashBits((hashes[position] ?? 0) ^ key);
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
      const score = hashBits((this._hashes[position] ?? 0) ^ key);
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

/** Inserts a position in order of descending score and keeps at most `count` of them. */
function insertRanked(
  best: number[],
  scores: number[],
  position: number,
  score: number,
  count: number,
): void {
  let rank = best.length;
  while (rank > 0 && (scores[rank - 1] ?? 0) < score) {
    rank -= 1;
  }
  best.splice(rank, 0, position);
  scores.splice(rank, 0, score);
  if (best.length > count) {
    best.pop();
    scores.pop();
  }
}
