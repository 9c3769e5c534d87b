import { describe, expect, it } from 'vitest';
import { UsedChunks } from './UsedChunks.js';

function createHash(byte: number): Uint8Array {
  return new Uint8Array(16).fill(byte);
}

function listBytes(hashes: readonly Uint8Array[]): number[] {
  return hashes.map((hash) => hash[0] ?? -1);
}

describe('UsedChunks', () => {
  it('lists a chunk only after its second use, so that cold chunks do not fill the announcements', () => {
    const used = new UsedChunks();
    used.record([createHash(1), createHash(2)], 10);
    used.record([createHash(1)], 20);
    expect(listBytes(used.listSince(0, 8))).toEqual([1]);
  });

  it('lists the chunks used since the last announcement, the most recent ones within the limit', () => {
    const used = new UsedChunks();
    for (const now of [1, 2]) {
      used.record([createHash(1), createHash(2), createHash(3)], now);
    }
    used.record([createHash(2)], 30);
    expect(listBytes(used.listSince(10, 8))).toEqual([2]);
    expect(listBytes(used.listSince(0, 2))).toEqual([3, 2]);
  });

  it('does not count two uses so far apart that the engine has evicted the chunk in between', () => {
    const used = new UsedChunks();
    used.record([createHash(1)], 0);
    used.record([createHash(1)], 20_000);
    expect(used.listSince(0, 8)).toEqual([]);
  });

  it('stores a bounded number of chunks', () => {
    const used = new UsedChunks();
    for (let index = 0; index < 6_000; index++) {
      const hash = new Uint8Array(16);
      new DataView(hash.buffer).setUint32(0, index);
      used.record([hash, hash], index);
    }
    expect(used.listSince(-1, 10_000)).toHaveLength(4_096);
  });
});
