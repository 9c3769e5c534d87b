import fc from 'fast-check';
import { mkdtemp, readdir, readFile, rm, truncate, unlink, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { RecordLog } from './RecordLog.js';
import { StorageError } from './StorageError.js';

let directory: string;

beforeEach(async () => {
  directory = await mkdtemp(join(tmpdir(), 'redwingwharf-log-'));
});

afterEach(async () => {
  await rm(directory, { recursive: true, force: true });
});

function encode(text: string): Uint8Array {
  return new Uint8Array(Buffer.from(text));
}

async function readAll(): Promise<string[]> {
  const { log, records } = await RecordLog.open(directory);
  await log.close();
  return records.map((record) => Buffer.from(record).toString());
}

/** Paths of the segment files in order. */
async function listSegments(): Promise<string[]> {
  const names = await readdir(directory);
  return names
    .filter((name) => name.endsWith('.segment'))
    .sort()
    .map((name) => join(directory, name));
}

async function writeBatches(batches: readonly (readonly string[])[]): Promise<void> {
  const { log } = await RecordLog.open(directory, { segmentBytes: 128 });
  for (const batch of batches) {
    await log.append(batch.map(encode));
  }
  await log.close();
}

async function replaceByte(path: string, position: number, xor: number): Promise<void> {
  const bytes = await readFile(path);
  bytes.writeUInt8(bytes.readUInt8(position) ^ xor, position);
  await writeFile(path, bytes);
}

async function tryReadAll(): Promise<string[] | StorageError> {
  try {
    return await readAll();
  } catch (error) {
    if (error instanceof StorageError) {
      return error;
    }
    throw error;
  }
}

/** Appends a batch as if a crash interrupted it before its sync: the sync mark is before it. */
async function appendUnsynced(texts: readonly string[]): Promise<{ path: string; start: number }> {
  const markPath = join(directory, 'synced');
  const mark = await readFile(markPath);
  const path = (await listSegments()).at(-1) ?? '';
  const start = (await readFile(path)).length;
  const { log } = await RecordLog.open(directory);
  await log.append(texts.map(encode));
  await log.close();
  await writeFile(markPath, mark);
  return { path, start };
}

const batchesArbitrary = fc.array(
  fc.array(fc.string({ maxLength: 24 }), { minLength: 1, maxLength: 4 }),
  { minLength: 1, maxLength: 8 },
);

async function runInFreshDirectory(body: () => Promise<void>): Promise<void> {
  const parent = directory;
  directory = await mkdtemp(join(parent, 'run-'));
  try {
    await body();
  } finally {
    directory = parent;
  }
}

describe('RecordLog', () => {
  // Guards against a log that counts as missing, so that the operator is told to empty the disk, as its directory cannot be read.
  it('is not taken as missing if its directory cannot be read', async () => {
    const path = join(directory, 'log');
    await expect(RecordLog.isPresent(path)).resolves.toBe(false);
    await writeFile(path, '');
    await expect(RecordLog.isPresent(path)).rejects.toThrow('ENOTDIR');
  });

  it('returns the appended records in order after a restart, across segments', async () => {
    await writeBatches([['a', 'b'], ['c'.repeat(200)], ['d']]);
    expect(await readAll()).toEqual(['a', 'b', 'c'.repeat(200), 'd']);
    expect((await listSegments()).length).toBeGreaterThan(1);
  });

  it('writes concurrent appends in batches, so that throughput is not limited to one append per sync', async () => {
    const { log } = await RecordLog.open(directory);
    const appends = Array.from({ length: 500 }, (_, n) => log.append([encode(String(n))]));
    await Promise.all(appends);
    await log.close();
    const bytes = await readFile((await listSegments())[0] ?? '');
    const recordCount = (await readAll()).length;
    expect(recordCount).toBe(500);
    // The top bit of the length field marks a batch start; 500 appends in one turn of the event loop
    // should form a single batch.
    let batchCount = 0;
    for (let offset = 20; offset < bytes.length;) {
      const field = bytes.readUInt32LE(offset);
      batchCount += field >= 0x8000_0000 ? 1 : 0;
      offset += 8 + (field % 0x8000_0000);
    }
    expect(batchCount).toBeLessThan(5);
  });

  it('refuses a change of any byte of synced data, so that no synced record is dropped or altered', async () => {
    await fc.assert(
      fc.asyncProperty(
        batchesArbitrary,
        fc.nat(),
        fc.nat(),
        fc.integer({ min: 1, max: 255 }),
        async (batches, fileSeed, byteSeed, xor) => {
          await runInFreshDirectory(async () => {
            await writeBatches(batches);
            const segments = await listSegments();
            const path = segments[fileSeed % segments.length] ?? '';
            const size = (await readFile(path)).length;
            await replaceByte(path, byteSeed % size, xor);
            const result = await tryReadAll();
            expect(result).toBeInstanceOf(StorageError);
            expect(result).toMatchObject({ kind: 'damaged', file: path });
          });
        },
      ),
      { numRuns: 60 },
    );
  });

  it('refuses a segment truncated within synced data instead of taking it for a torn tail', async () => {
    await fc.assert(
      fc.asyncProperty(batchesArbitrary, fc.nat(), fc.nat(), async (batches, fileSeed, cut) => {
        await runInFreshDirectory(async () => {
          await writeBatches(batches);
          const segments = await listSegments();
          const path = segments[fileSeed % segments.length] ?? '';
          await truncate(path, cut % (await readFile(path)).length);
          expect(await tryReadAll()).toBeInstanceOf(StorageError);
        });
      }),
      { numRuns: 40 },
    );
  });

  it('recovers all synced records when the unsynced batch is torn or damaged at any offset', async () => {
    await fc.assert(
      fc.asyncProperty(
        batchesArbitrary,
        fc.array(fc.string({ maxLength: 24 }), { minLength: 1, maxLength: 4 }),
        fc.nat(),
        fc.integer({ min: 0, max: 255 }),
        async (batches, unsynced, position, xor) => {
          await runInFreshDirectory(async () => {
            await writeBatches(batches);
            const synced = batches.flat();
            const { path, start } = await appendUnsynced(unsynced);
            const size = (await readFile(path)).length;
            const damageOffset = start + (position % (size - start));
            // The mask 0 changes no byte and stands for a torn write.
            await (xor === 0 ? truncate(path, damageOffset) : replaceByte(path, damageOffset, xor));
            const result = await tryReadAll();
            if (result instanceof StorageError) {
              throw result;
            }
            expect(result.slice(0, synced.length)).toEqual(synced);
            const recoveredUnsynced = result.slice(synced.length);
            expect(recoveredUnsynced).toEqual(unsynced.slice(0, recoveredUnsynced.length));
            expect(recoveredUnsynced.length).toBeLessThan(unsynced.length);
            expect(await readAll()).toEqual(result);
          });
        },
      ),
      { numRuns: 60 },
    );
  });

  it('refuses damage before a later batch even if the sync mark is behind, as after a power loss', async () => {
    await writeBatches([['first']]);
    const mark = await readFile(join(directory, 'synced'));
    await writeBatches([['second'], ['third']]);
    await writeFile(join(directory, 'synced'), mark);
    const path = (await listSegments())[0] ?? '';
    const offset = (await readFile(path)).indexOf('second');
    await replaceByte(path, offset, 1);
    const result = await tryReadAll();
    expect(result).toMatchObject({ kind: 'damaged', file: path, offset: offset - 8 });
    expect(String(result)).toContain('start this member with an empty data directory');
  });

  it('refuses a missing segment in the middle and at the end, but not at the start', async () => {
    for (const position of [0, 1, -1]) {
      await runInFreshDirectory(async () => {
        await writeBatches([['a'.repeat(150)], ['b'.repeat(150)], ['c'.repeat(150)], ['d']]);
        const path = (await listSegments()).at(position) ?? '';
        await unlink(path);
        const result = await tryReadAll();
        // Without its first segment the log looks compacted; the caller checks it against its snapshot.
        expect(result instanceof StorageError).toBe(position !== 0);
      });
    }
  });

  it('opens with one damaged copy of the sync mark, but refuses if both are damaged or the file is missing', async () => {
    await writeBatches([['first'], ['second']]);
    const path = join(directory, 'synced');
    const mark = await readFile(path);
    for (const start of [0, 512]) {
      await replaceByte(path, start + 16, 1);
      expect(await readAll()).toEqual(['first', 'second']);
      await writeFile(path, mark);
    }
    await replaceByte(path, 16, 1);
    await replaceByte(path, 512 + 16, 1);
    expect(await tryReadAll()).toMatchObject({ kind: 'damaged', file: path });
    await unlink(path);
    expect(await tryReadAll()).toMatchObject({ kind: 'damaged', file: path });
  });

  it('keeps indexes consistent after truncation, prefix deletion and reset', async () => {
    const { log } = await RecordLog.open(directory, { segmentBytes: 64 });
    for (let n = 1; n <= 20; n += 1) {
      await log.append([encode(`record ${n}`)]);
    }
    await log.truncateSuffix(15);
    expect(log.nextIndex).toBe(15);
    await log.append([encode('replaced 15')]);
    await log.dropPrefix(8);
    expect(log.firstIndex).toBeGreaterThan(1);
    expect(log.firstIndex).toBeLessThanOrEqual(8);
    const first = log.firstIndex;
    await log.close();
    const records = await readAll();
    expect(records[0]).toBe(`record ${first}`);
    expect(records.at(-1)).toBe('replaced 15');

    const opened = await RecordLog.open(directory);
    await opened.log.reset(100);
    await opened.log.append([encode('record 100')]);
    await opened.log.close();
    expect(await readAll()).toEqual(['record 100']);
  });

  it('rejects appends after the log was closed', async () => {
    const { log } = await RecordLog.open(directory);
    await log.close();
    await expect(log.append([encode('late')])).rejects.toMatchObject({ kind: 'io_failed' });
  });
});
