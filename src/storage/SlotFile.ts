/**
 * A small file whose content is replaced in place with a single sync. It has two slots: the content is written to the one
 * that does not hold the latest content, so that an interrupted write leaves the latest content in the other one. A
 * replacement by a new file would need a sync of the file and of its directory, and new metadata, which takes much longer
 * on a busy disk.
 */
import { open, type FileHandle } from 'node:fs/promises';
import { crc32 } from 'node:zlib';
import { isMissingFileError, writeFully } from './Files.js';
import { createDamageError } from './StorageError.js';

const MAGIC = 0x52575346;

/** One page, so that a write touches no part of the other slot. */
const SLOT_BYTES = 4_096;

/** Layout of a slot: magic (4), crc32 of what follows (4), sequence (8), length of the content (4), content. */
const CHECKSUM_START = 4;
const SEQUENCE_START = 8;
const LENGTH_START = 16;
const CONTENT_START = 20;

export const MAX_SLOT_CONTENT_BYTES = SLOT_BYTES - CONTENT_START;

interface ISlot {
  readonly sequence: number;
  readonly content: Uint8Array;
}

function encodeSlot({ sequence, content }: ISlot): Buffer {
  if (content.length > MAX_SLOT_CONTENT_BYTES) {
    throw new Error(`a slot holds ${MAX_SLOT_CONTENT_BYTES} bytes, not ${content.length}`);
  }
  const bytes = Buffer.alloc(SLOT_BYTES);
  bytes.writeUInt32LE(MAGIC, 0);
  bytes.writeBigUInt64LE(BigInt(sequence), SEQUENCE_START);
  bytes.writeUInt32LE(content.length, LENGTH_START);
  bytes.set(content, CONTENT_START);
  bytes.writeUInt32LE(crc32(bytes.subarray(SEQUENCE_START)), CHECKSUM_START);
  return bytes;
}

/** Undefined if the slot is damaged, as after an interrupted write. */
function decodeSlot(bytes: Buffer): ISlot | undefined {
  const isValid =
    bytes.length === SLOT_BYTES &&
    bytes.readUInt32LE(0) === MAGIC &&
    bytes.readUInt32LE(CHECKSUM_START) === crc32(bytes.subarray(SEQUENCE_START));
  if (!isValid) {
    return undefined;
  }
  const end = CONTENT_START + bytes.readUInt32LE(LENGTH_START);
  return {
    sequence: Number(bytes.readBigUInt64LE(SEQUENCE_START)),
    content: bytes.subarray(CONTENT_START, end),
  };
}

function selectLatest(file: Buffer): ISlot | undefined {
  const slots = [0, SLOT_BYTES]
    .map((start) => decodeSlot(file.subarray(start, start + SLOT_BYTES)))
    .filter((slot) => slot !== undefined);
  return slots.sort((left, right) => right.sequence - left.sequence)[0];
}

/** Formats a new file with a first content, to be written as a whole. */
export function formatSlotFile(content: Uint8Array): Buffer {
  return Buffer.concat([
    encodeSlot({ sequence: 2, content }),
    encodeSlot({ sequence: 1, content }),
  ]);
}

/** True for the bytes of a slot file, damaged or not, and not for those of a file of `crc32 | content`. */
export function isSlotFile(file: Buffer): boolean {
  return (
    file.length === 2 * SLOT_BYTES &&
    [0, SLOT_BYTES].some((start) => file.readUInt32LE(start) === MAGIC)
  );
}

/** Returns the latest content of a slot file. Throws `StorageError` if both slots are damaged. */
export function parseSlotFile(path: string, file: Buffer): Uint8Array {
  const latest = selectLatest(file);
  if (latest === undefined) {
    throw createDamageError(path, 0, 'both slots are damaged');
  }
  return latest.content;
}

/** An open slot file. Not for concurrent replacements. */
export class SlotFile {
  private constructor(
    private readonly _handle: FileHandle,
    private _sequence: number,
  ) {}

  /** Opens a file that `formatSlotFile` has formatted; undefined if there is none, or one of another format. */
  public static async open(path: string): Promise<SlotFile | undefined> {
    let handle: FileHandle;
    try {
      handle = await open(path, 'r+');
    } catch (error) {
      if (isMissingFileError(error)) {
        return undefined;
      }
      throw error;
    }
    try {
      const file = await handle.readFile();
      const latest = isSlotFile(file) ? selectLatest(file) : undefined;
      if (latest !== undefined) {
        // The other slot may be overwritten only once this one is durable, which an earlier process may not have waited for.
        await handle.datasync();
        return new SlotFile(handle, latest.sequence);
      }
    } catch (error) {
      await handle.close();
      throw error;
    }
    await handle.close();
    return undefined;
  }

  /** Replaces the content; durable when the promise resolves. After a failure the file must be opened anew. */
  public async replace(content: Uint8Array): Promise<void> {
    const sequence = this._sequence + 1;
    const start = sequence % 2 === 0 ? 0 : SLOT_BYTES;
    await writeFully(this._handle, encodeSlot({ sequence, content }), start);
    await this._handle.datasync();
    this._sequence = sequence;
  }

  public async close(): Promise<void> {
    await this._handle.close();
  }
}
