/** Memory for bytes of others that is used again and again, so that neither garbage nor fragments of the heap add to it. */

/** Size of one block. */
export const BLOCK_BYTES = 16 * 1024;

/** Blocks are allocated this many at a time. */
const BLOCKS_PER_SLAB = 64;

/**
 * Hands out blocks of `BLOCK_BYTES`. Their memory stays with the pool, which therefore takes as much as was ever in use at
 * the same time; a `ByteBudget` bounds that.
 *
 * @example
 * const block = pool.take();
 * pool.give(block);
 */
export class BlockPool {
  private readonly _free: Buffer[] = [];
  private _allocatedBytes = 0;

  /** Memory of the blocks, in use or not. */
  public get allocatedBytes(): number {
    return this._allocatedBytes;
  }

  /** Returns a block with any content. */
  public take(): Buffer {
    return this._free.pop() ?? this._addSlab();
  }

  /** Takes a block back; the caller must not use it any more. */
  public give(block: Buffer): void {
    this._free.push(block);
  }

  private _addSlab(): Buffer {
    const slab = Buffer.allocUnsafeSlow(BLOCKS_PER_SLAB * BLOCK_BYTES);
    this._allocatedBytes += slab.length;
    // The first blocks are handed out first, so that the pages of the last ones stay untouched.
    for (let i = BLOCKS_PER_SLAB - 1; i > 0; i -= 1) {
      this._free.push(slab.subarray(i * BLOCK_BYTES, (i + 1) * BLOCK_BYTES));
    }
    return slab.subarray(0, BLOCK_BYTES);
  }
}

/**
 * Collects bytes in blocks of a pool.
 *
 * @example
 * const body = new BlockBuffer(pool);
 * body.append(chunk);
 * for (const piece of body.copyPieces()) { socket.write(piece); }
 * body.release();
 */
export class BlockBuffer {
  private readonly _blocks: Buffer[] = [];
  private _length = 0;
  private _isReleased = false;

  constructor(private readonly _pool: BlockPool) {}

  /** Number of bytes. */
  public get length(): number {
    return this._length;
  }

  /** Bytes of memory that the blocks take. */
  public get capacity(): number {
    return this._blocks.length * BLOCK_BYTES;
  }

  public append(chunk: Buffer): void {
    this._assertUsable();
    for (let start = 0; start < chunk.length;) {
      if (this._length === this.capacity) {
        this._blocks.push(this._pool.take());
      }
      const offset = this._length % BLOCK_BYTES;
      const copied = chunk.copy(this._blocks.at(-1) ?? chunk, offset, start);
      start += copied;
      this._length += copied;
    }
  }

  /** Yields the bytes in pieces that are valid until `release`. */
  public *listPieces(): Generator<Buffer, void> {
    for (let start = 0; start < this._length; start += BLOCK_BYTES) {
      this._assertUsable();
      const block = this._blocks[start / BLOCK_BYTES];
      if (block !== undefined) {
        yield block.subarray(0, Math.min(BLOCK_BYTES, this._length - start));
      }
    }
  }

  /** Yields the bytes in pieces that stay valid after `release`, as a socket may send them later. */
  public *copyPieces(): Generator<Buffer, void> {
    for (const piece of this.listPieces()) {
      yield Buffer.from(piece);
    }
  }

  /** Returns all bytes in one buffer, and releases the blocks. */
  public take(): Buffer {
    const bytes = Buffer.concat([...this.listPieces()], this._length);
    this.release();
    return bytes;
  }

  /** Gives the blocks back. Pieces are no longer yielded: others use their memory. May be called more than once. */
  public release(): void {
    this._isReleased = true;
    for (const block of this._blocks.splice(0)) {
      this._pool.give(block);
    }
  }

  private _assertUsable(): void {
    if (this._isReleased) {
      throw new Error('the buffer has been released');
    }
  }
}
