/** Guards against bytes of one request that reach another one, and against memory that grows with each request. */
import { describe, expect, it } from 'vitest';
import { BLOCK_BYTES, BlockBuffer, BlockPool } from './BlockPool.js';

function buildBuffer(pool: BlockPool, text: string, length: number): BlockBuffer {
  const buffer = new BlockBuffer(pool);
  buffer.append(Buffer.alloc(length, text));
  return buffer;
}

describe('BlockBuffer', () => {
  it('returns what was appended in pieces of any size', () => {
    const pool = new BlockPool();
    for (const size of [1, 1_000, BLOCK_BYTES, BLOCK_BYTES + 1]) {
      const bytes = Buffer.from(Array.from({ length: 3 * BLOCK_BYTES + 7 }, (_, i) => i % 251));
      const buffer = new BlockBuffer(pool);
      for (let start = 0; start < bytes.length; start += size) {
        buffer.append(bytes.subarray(start, start + size));
      }
      expect(buffer).toHaveLength(bytes.length);
      expect(Buffer.concat([...buffer.copyPieces()]).equals(bytes)).toBe(true);
      expect(buffer.take().equals(bytes)).toBe(true);
    }
  });

  // A socket that sends late would send the bytes of the next request in place of those that it was given.
  it('yields pieces that keep their bytes when the blocks are used again', () => {
    const pool = new BlockPool();
    const first = buildBuffer(pool, 'a', 3 * BLOCK_BYTES);
    const pieces = [...first.copyPieces()];
    first.release();
    buildBuffer(pool, 'b', 3 * BLOCK_BYTES);
    expect(Buffer.concat(pieces).equals(Buffer.alloc(3 * BLOCK_BYTES, 'a'))).toBe(true);
  });

  it('yields nothing once it is released, also where it was begun before', () => {
    const pool = new BlockPool();
    const buffer = buildBuffer(pool, 'a', 2 * BLOCK_BYTES);
    const pieces = buffer.copyPieces();
    pieces.next();
    buffer.release();
    expect(() => pieces.next()).toThrow('released');
    expect(() => [...buffer.copyPieces()]).toThrow('released');
    expect(() => {
      buffer.append(Buffer.from('x'));
    }).toThrow('released');
  });

  // Freed memory that is not used again made an entry grow to twice what its bodies took.
  it('takes memory for as many bytes as are held at the same time', () => {
    const pool = new BlockPool();
    for (let i = 0; i < 50; i += 1) {
      const buffer = buildBuffer(pool, 'x', 1_000_000);
      buffer.release();
      buffer.release();
    }
    expect(pool.allocatedBytes).toBeLessThanOrEqual(1024 * 1024);
    expect(pool.take()).not.toBe(pool.take());
  });
});
