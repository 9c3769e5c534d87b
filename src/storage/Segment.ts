/**
 * Format of a segment file: a header, then records `length | crc32 | payload`.
 *
 * The top bit of `length` marks the first record of a batch. A batch is written only after the previous
 * one was synced, so a valid batch start proves that everything before it was synced. The checksum covers
 * a random salt of the segment, the offset, the length and the payload, so that neither bytes inside a
 * payload nor remains of a deleted file are taken for a record.
 */
import { crc32 } from 'node:zlib';

const MAGIC = 0x314c5752;

/** Layout of a segment header: magic (4), first index (8), salt (4), crc32 (4). */
export const SEGMENT_HEADER_BYTES = 20;

export const RECORD_HEADER_BYTES = 8;

const BATCH_START_BIT = 0x8000_0000;

/** Longest payload. A greater length in a file is treated as damage. */
export const MAX_PAYLOAD_BYTES = 64 * 1024 * 1024;

export interface ISegmentHeader {
  readonly firstIndex: number;
  readonly salt: number;
}

/** A valid record of a segment. */
export interface IRecord {
  readonly payload: Uint8Array;
  readonly isBatchStart: boolean;
  /** Offset of the byte after the record. */
  readonly end: number;
}

/** The records of a segment up to the first invalid one. */
export interface ISegmentContent {
  readonly payloads: readonly Uint8Array[];
  /** Start offset of each record. */
  readonly offsets: readonly number[];
  /** Offset of the byte after the last valid record. */
  readonly end: number;
}

export function encodeSegmentHeader(header: ISegmentHeader): Buffer {
  const bytes = Buffer.alloc(SEGMENT_HEADER_BYTES);
  bytes.writeUInt32LE(MAGIC, 0);
  bytes.writeBigUInt64LE(BigInt(header.firstIndex), 4);
  bytes.writeUInt32LE(header.salt, 12);
  bytes.writeUInt32LE(crc32(bytes.subarray(0, 16)), 16);
  return bytes;
}

/** Decodes a segment header; undefined if it is damaged. */
export function decodeSegmentHeader(bytes: Buffer): ISegmentHeader | undefined {
  if (
    bytes.length < SEGMENT_HEADER_BYTES ||
    bytes.readUInt32LE(0) !== MAGIC ||
    bytes.readUInt32LE(16) !== crc32(bytes.subarray(0, 16))
  ) {
    return undefined;
  }
  return { firstIndex: Number(bytes.readBigUInt64LE(4)), salt: bytes.readUInt32LE(12) };
}

function computeChecksum(
  salt: number,
  offset: number,
  lengthField: number,
  payload: Uint8Array,
): number {
  const prefix = Buffer.alloc(12);
  prefix.writeUInt32LE(salt, 0);
  prefix.writeUInt32LE(offset, 4);
  prefix.writeUInt32LE(lengthField, 8);
  return crc32(payload, crc32(prefix));
}

/** Encodes the header of the record at `offset`. */
export function encodeRecordHeader(
  salt: number,
  offset: number,
  payload: Uint8Array,
  isBatchStart: boolean,
): Buffer {
  const lengthField = isBatchStart ? payload.length + BATCH_START_BIT : payload.length;
  const header = Buffer.alloc(RECORD_HEADER_BYTES);
  header.writeUInt32LE(lengthField, 0);
  header.writeUInt32LE(computeChecksum(salt, offset, lengthField, payload), 4);
  return header;
}

/** Decodes the record at an offset; undefined if it is truncated, too long or fails its checksum. */
export function decodeRecord(bytes: Buffer, offset: number, salt: number): IRecord | undefined {
  const start = offset + RECORD_HEADER_BYTES;
  if (start > bytes.length) {
    return undefined;
  }
  const lengthField = bytes.readUInt32LE(offset);
  const isBatchStart = lengthField >= BATCH_START_BIT;
  const length = isBatchStart ? lengthField - BATCH_START_BIT : lengthField;
  const end = start + length;
  if (length > MAX_PAYLOAD_BYTES || end > bytes.length) {
    return undefined;
  }
  const payload = bytes.subarray(start, end);
  if (bytes.readUInt32LE(offset + 4) !== computeChecksum(salt, offset, lengthField, payload)) {
    return undefined;
  }
  return { payload, isBatchStart, end };
}

/** Decodes records up to the first invalid one. */
export function readRecords(bytes: Buffer, salt: number): ISegmentContent {
  const payloads: Uint8Array[] = [];
  const offsets: number[] = [];
  let end = SEGMENT_HEADER_BYTES;
  for (;;) {
    const record = decodeRecord(bytes, end, salt);
    if (record === undefined) {
      return { payloads, offsets, end };
    }
    payloads.push(record.payload);
    offsets.push(end);
    end = record.end;
  }
}

/**
 * Offset of the first valid batch start at or after `from`, or undefined. Every offset is tried, because
 * with a damaged length field the start of the next record is unknown.
 */
export function findBatchStart(bytes: Buffer, from: number, salt: number): number | undefined {
  for (let offset = from; offset + RECORD_HEADER_BYTES <= bytes.length; offset += 1) {
    if (decodeRecord(bytes, offset, salt)?.isBatchStart === true) {
      return offset;
    }
  }
  return undefined;
}
