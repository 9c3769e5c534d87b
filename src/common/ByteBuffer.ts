/** Collects bytes that arrive in pieces of any size, in time and memory linear in their number. */

const EMPTY = Buffer.alloc(0);

/**
 * A buffer that grows by doubling. A list of the pieces would take some hundred bytes for each, and joining them anew for
 * each piece takes quadratic time.
 *
 * @example
 * const buffer = new ByteBuffer();
 * buffer.append(chunk);
 * const body = buffer.take();
 */
export class ByteBuffer {
  /** The first `_size` bytes are those that were appended. */
  private _buffer: Buffer = EMPTY;
  private _size = 0;

  /** Number of bytes. */
  public get size(): number {
    return this._size;
  }

  /** Bytes of memory that the buffer takes. */
  public get capacity(): number {
    return this._buffer.length;
  }

  /** A view of the bytes; valid until the next change. */
  public get bytes(): Buffer {
    return this._buffer.subarray(0, this._size);
  }

  public append(chunk: Uint8Array): void {
    const size = this._size + chunk.length;
    if (size > this._buffer.length) {
      const grown = Buffer.allocUnsafe(Math.max(size, this._buffer.length * 2));
      this._buffer.copy(grown, 0, 0, this._size);
      this._buffer = grown;
    }
    this._buffer.set(chunk, this._size);
    this._size = size;
  }

  /** Removes all bytes; keeps the memory for the next ones. */
  public clear(): void {
    this._size = 0;
  }

  /** Returns the bytes and gives up their memory. */
  public take(): Buffer {
    const bytes = this.bytes;
    this._buffer = EMPTY;
    this._size = 0;
    return bytes;
  }
}
