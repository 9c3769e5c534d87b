/** Files that are replaced as a whole: a reader sees the old or the new content, never a mixture. */
import { open, readFile, rename } from 'node:fs/promises';
import { dirname } from 'node:path';
import { crc32 } from 'node:zlib';
import { createDamageError } from './StorageError.js';

/** Suffix of files that are not complete yet; recovery deletes them. */
export const TEMPORARY_SUFFIX = '.tmp';

const CHECKSUM_BYTES = 4;

/** True for the error of a missing file. */
export function isMissingFileError(error: unknown): boolean {
  return error instanceof Error && (error as NodeJS.ErrnoException).code === 'ENOENT';
}

/** Makes created, renamed and deleted names in a directory durable. */
export async function syncDirectory(path: string): Promise<void> {
  const handle = await open(path, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Replaces a file; it is durable when the promise resolves. */
export async function replaceFile(path: string, parts: readonly Uint8Array[]): Promise<void> {
  const temporary = path + TEMPORARY_SUFFIX;
  const handle = await open(temporary, 'w');
  try {
    for (const part of parts) {
      await handle.writeFile(part);
    }
    await handle.sync();
  } finally {
    await handle.close();
  }
  await rename(temporary, path);
  await syncDirectory(dirname(path));
}

/** Replaces a file with `crc32 | content`. */
export async function replaceCheckedFile(path: string, content: Uint8Array): Promise<void> {
  const checksum = Buffer.alloc(CHECKSUM_BYTES);
  checksum.writeUInt32LE(crc32(content));
  await replaceFile(path, [checksum, content]);
}

/** Reads a file of `crc32 | content`; undefined if there is none. Throws on damage. */
export async function readCheckedFile(path: string): Promise<Uint8Array | undefined> {
  let bytes: Buffer;
  try {
    bytes = await readFile(path);
  } catch (error) {
    if (isMissingFileError(error)) {
      return undefined;
    }
    throw error;
  }
  const content = bytes.subarray(CHECKSUM_BYTES);
  if (bytes.length < CHECKSUM_BYTES || bytes.readUInt32LE(0) !== crc32(content)) {
    throw createDamageError(path, 0, 'the checksum does not match the content');
  }
  return content;
}
