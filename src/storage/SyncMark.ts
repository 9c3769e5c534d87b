/**
 * Remembers up to where a log was synced. The mark is written after each sync and is not synced itself,
 * so after a power loss it may lag, but it never claims too much. Damage below the mark is therefore
 * never mistaken for a torn tail.
 */
import { open, type FileHandle } from 'node:fs/promises';
import { crc32 } from 'node:zlib';
import { isMissingFileError, replaceFile } from './Files.js';
import { createDamageError } from './StorageError.js';

/** One disk sector, so that a torn write of one slot leaves the other one alone. */
const SLOT_BYTES = 512;

const SLOT_COUNT = 2;

/** sequence (8), segment (8), offset (8), crc32 (4). */
const CHECKED_BYTES = 24;

/** A place in the log. Segment 0 means that nothing is known to be synced. */
export interface ISyncedPosition {
  /** First index of the segment. */
  readonly segment: number;
  /** Bytes of the segment that are synced. */
  readonly offset: number;
}

interface ISlot extends ISyncedPosition {
  readonly sequence: number;
}

function encodeSlot(slot: ISlot): Buffer {
  const bytes = Buffer.alloc(SLOT_BYTES);
  bytes.writeBigUInt64LE(BigInt(slot.sequence), 0);
  bytes.writeBigUInt64LE(BigInt(slot.segment), 8);
  bytes.writeBigUInt64LE(BigInt(slot.offset), 16);
  bytes.writeUInt32LE(crc32(bytes.subarray(0, CHECKED_BYTES)), CHECKED_BYTES);
  return bytes;
}

function decodeSlot(bytes: Buffer): ISlot | undefined {
  const isComplete = bytes.length === SLOT_BYTES;
  if (
    !isComplete ||
    bytes.readUInt32LE(CHECKED_BYTES) !== crc32(bytes.subarray(0, CHECKED_BYTES))
  ) {
    return undefined;
  }
  return {
    sequence: Number(bytes.readBigUInt64LE(0)),
    segment: Number(bytes.readBigUInt64LE(8)),
    offset: Number(bytes.readBigUInt64LE(16)),
  };
}

/** The open mark file of one log. */
export class SyncMark {
  private constructor(
    private readonly _handle: FileHandle,
    private _slot: ISlot,
  ) {}

  public get position(): ISyncedPosition {
    return this._slot;
  }

  /** Creates a mark that claims nothing. */
  public static async create(path: string): Promise<void> {
    const slot = encodeSlot({ sequence: 0, segment: 0, offset: 0 });
    await replaceFile(path, [slot, slot]);
  }

  /** Opens the mark; undefined if there is none. */
  public static async open(path: string): Promise<SyncMark | undefined> {
    let handle: FileHandle;
    try {
      handle = await open(path, 'r+');
    } catch (error) {
      if (isMissingFileError(error)) {
        return undefined;
      }
      throw error;
    }
    const bytes = await handle.readFile();
    const slots = [0, SLOT_BYTES]
      .map((start) => decodeSlot(bytes.subarray(start, start + SLOT_BYTES)))
      .filter((slot) => slot !== undefined)
      .sort((left, right) => right.sequence - left.sequence);
    const newest = slots[0];
    if (newest === undefined) {
      await handle.close();
      throw createDamageError(path, 0, 'both copies of the sync mark are damaged');
    }
    return new SyncMark(handle, newest);
  }

  /** Records that the log is synced up to a position. */
  public async advance(position: ISyncedPosition): Promise<void> {
    const sequence = this._slot.sequence + 1;
    this._slot = { ...position, sequence };
    const start = (sequence % SLOT_COUNT) * SLOT_BYTES;
    await this._handle.write(encodeSlot(this._slot), 0, SLOT_BYTES, start);
  }

  /**
   * Replaces the position durably in both slots. Needed before the log is shortened: an older and
   * higher position would make the shortened log look damaged.
   */
  public async replace(position: ISyncedPosition): Promise<void> {
    await this.advance(position);
    await this.advance(position);
    await this._handle.datasync();
  }

  public async close(): Promise<void> {
    await this._handle.close();
  }
}
