/** Atomic file replacement: a reader sees the old or the new content, never a mixture of both. */
import { open, readFile, rename, type FileHandle } from 'node:fs/promises';
import { dirname } from 'node:path';
import { crc32 } from 'node:zlib';
import { createDamageError } from './StorageError.js';

/** Suffix of files that are still being written; opening their directory deletes those left by a crash. */
export const TEMPORARY_SUFFIX = '.tmp';

const CHECKSUM_BYTES = 4;

/** True for the error `ENOENT`. */
export function isMissingFileError(error: unknown): boolean {
  return error instanceof Error && (error as NodeJS.ErrnoException).code === 'ENOENT';
}

/** Makes the creation, renaming and deletion of files in a directory durable. */
export async function syncDirectory(path: string): Promise<void> {
  const handle = await open(path, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/**
 * Writes all bytes at a position. A single write may end in its middle without an error, for example where the disk
 * becomes full; the next one then fails.
 */
export async function writeFully(
  handle: FileHandle,
  bytes: Uint8Array,
  position: number,
): Promise<void> {
  let written = 0;
  while (written < bytes.length) {
    const length = bytes.length - written;
    const { bytesWritten } = await handle.write(bytes, written, length, position + written);
    if (bytesWritten === 0) {
      throw new Error(`none of ${length} bytes were written at position ${position + written}`);
    }
    written += bytesWritten;
  }
}

/**
 * Writes the concatenated parts to a temporary file and syncs it. The returned function atomically replaces the file at the
 * path by it; durable when its promise resolves.
 *
 * @example
 * const [replace] = await Promise.all([prepareFile(path, [bytes]), createOtherFiles()]);
 * await replace();
 */
export async function prepareFile(
  path: string,
  parts: readonly Uint8Array[],
): Promise<() => Promise<void>> {
  const temporaryPath = path + TEMPORARY_SUFFIX;
  const handle = await open(temporaryPath, 'w');
  try {
    for (const part of parts) {
      await handle.writeFile(part);
    }
    await handle.sync();
  } finally {
    await handle.close();
  }
  return async () => {
    await rename(temporaryPath, path);
    await syncDirectory(dirname(path));
  };
}

/** Atomically replaces a file by the concatenated parts; durable when the promise resolves. */
export async function replaceFile(path: string, parts: readonly Uint8Array[]): Promise<void> {
  const replace = await prepareFile(path, parts);
  await replace();
}

/** Atomically replaces a file by `crc32 | content`; durable when the promise resolves. */
export async function replaceCheckedFile(path: string, content: Uint8Array): Promise<void> {
  const checksum = Buffer.alloc(CHECKSUM_BYTES);
  checksum.writeUInt32LE(crc32(content));
  await replaceFile(path, [checksum, content]);
}

/** Reads a whole file; undefined if it does not exist. */
export async function readFileIfPresent(path: string): Promise<Buffer | undefined> {
  try {
    return await readFile(path);
  } catch (error) {
    if (isMissingFileError(error)) {
      return undefined;
    }
    throw error;
  }
}

/** Returns the content of a file of `crc32 | content`. Throws `StorageError` on damage. */
export function parseCheckedFile(path: string, bytes: Buffer): Uint8Array {
  const content = bytes.subarray(CHECKSUM_BYTES);
  if (bytes.length < CHECKSUM_BYTES || bytes.readUInt32LE(0) !== crc32(content)) {
    throw createDamageError(path, 0, 'the checksum does not match the content');
  }
  return content;
}
