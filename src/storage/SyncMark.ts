/**
 * Records the position up to which a log is synced to disk. The mark is written after each sync of the log
 * and is not synced itself, so after a power loss it may be behind the log, but never ahead of it. An
 * invalid record before the mark is therefore damage and never a torn tail.
 */
import { open, type FileHandle } from 'node:fs/promises';
import { crc32 } from 'node:zlib';
import { isMissingFileError, replaceFile, writeFully } from './Files.js';
import { createDamageError } from './StorageError.js';

/** One disk sector, so that a torn write of one slot leaves the other one intact. */
const SLOT_BYTES = 512;

/** Written without a sync, so that a power loss may tear it. */
const LATEST_START = 0;

/** Changed only after the other slot has been synced, and synced itself, so that a power loss leaves one of them intact. */
const SYNCED_START = SLOT_BYTES;

/** Layout of a slot: sequence (8), segment (8), offset (8), crc32 (4) over the bytes before it. */
const CHECKSUMMED_BYTES = 24;

/** A position in the log. Segment 0 means that nothing is known to be synced. */
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
  bytes.writeUInt32LE(crc32(bytes.subarray(0, CHECKSUMMED_BYTES)), CHECKSUMMED_BYTES);
  return bytes;
}

function decodeSlot(bytes: Buffer): ISlot | undefined {
  const isComplete = bytes.length === SLOT_BYTES;
  if (
    !isComplete ||
    bytes.readUInt32LE(CHECKSUMMED_BYTES) !== crc32(bytes.subarray(0, CHECKSUMMED_BYTES))
  ) {
    return undefined;
  }
  return {
    sequence: Number(bytes.readBigUInt64LE(0)),
    segment: Number(bytes.readBigUInt64LE(8)),
    offset: Number(bytes.readBigUInt64LE(16)),
  };
}

/**
 * The open mark file of one log. Of its two slots the valid one with the higher sequence counts. One of them is always
 * synced; its position may be far behind.
 */
export class SyncMark {
  private constructor(
    private readonly _handle: FileHandle,
    private _slot: ISlot,
  ) {}

  public get position(): ISyncedPosition {
    return this._slot;
  }

  /** Creates and opens a mark for a log of which nothing is synced yet. */
  public static async create(path: string): Promise<SyncMark> {
    const slot: ISlot = { sequence: 0, segment: 0, offset: 0 };
    const bytes = encodeSlot(slot);
    await replaceFile(path, [bytes, bytes]);
    return new SyncMark(await open(path, 'r+'), slot);
  }

  /** Opens the mark; undefined if the file does not exist. Throws `StorageError` if both slots are damaged. */
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
    // What an earlier process wrote may not be synced yet.
    await handle.datasync();
    return new SyncMark(handle, newest);
  }

  /** Records that the log is synced up to a position. */
  public async advance(position: ISyncedPosition): Promise<void> {
    await this._write(position, LATEST_START);
  }

  /**
   * Replaces the position durably in both slots. Must precede any shortening of the log: a remaining higher
   * position would make the shortened log look damaged.
   */
  public async replace(position: ISyncedPosition): Promise<void> {
    for (const start of [LATEST_START, SYNCED_START]) {
      await this._write(position, start);
      await this._handle.datasync();
    }
  }

  public async close(): Promise<void> {
    await this._handle.close();
  }

  private async _write(position: ISyncedPosition, start: number): Promise<void> {
    const slot = { ...position, sequence: this._slot.sequence + 1 };
    await writeFully(this._handle, encodeSlot(slot), start);
    this._slot = slot;
  }
}
