/** Guards against a log that is never opened again after a power loss. */
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SyncMark } from './SyncMark.js';

const SLOT_BYTES = 512;

let folder = '';
let path = '';

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'redwingwharf-mark-'));
  path = join(folder, 'mark');
  await SyncMark.create(path);
});

afterEach(async () => {
  await rm(folder, { recursive: true, force: true });
});

async function openMark(): Promise<SyncMark> {
  const mark = await SyncMark.open(path);
  if (mark === undefined) {
    throw new Error('the mark is missing');
  }
  return mark;
}

/** Tears each slot that has changed since the file had the given content, as a power loss may. */
async function replaceChangedSlots(synced: Buffer): Promise<void> {
  const bytes = await readFile(path);
  for (const start of [0, SLOT_BYTES]) {
    if (
      !bytes.subarray(start, start + SLOT_BYTES).equals(synced.subarray(start, start + SLOT_BYTES))
    ) {
      bytes.fill(0xa5, start + 4, start + 20);
    }
  }
  await writeFile(path, bytes);
}

describe('SyncMark', () => {
  // Both slots were written in turn without a sync, so that a power loss could tear both.
  it.each([1, 2, 3, 8])('can be opened after a power loss that tears %d writes', async (count) => {
    const mark = await openMark();
    await mark.advance({ segment: 1, offset: 100 });
    await mark.replace({ segment: 1, offset: 40 });
    const synced = await readFile(path);
    for (let i = 1; i <= count; i += 1) {
      await mark.advance({ segment: 1, offset: 40 + i });
    }
    await mark.close();
    await replaceChangedSlots(synced);
    const reopened = await openMark();
    expect(reopened.position).toMatchObject({ segment: 1, offset: 40 });
    await reopened.close();
  });

  it('has the latest position after the process has ended', async () => {
    const mark = await openMark();
    for (const offset of [10, 20, 30]) {
      await mark.advance({ segment: 1, offset });
    }
    await mark.close();
    const reopened = await openMark();
    await reopened.advance({ segment: 1, offset: 40 });
    await reopened.replace({ segment: 1, offset: 5 });
    await reopened.close();
    const last = await openMark();
    expect(last.position).toMatchObject({ segment: 1, offset: 5 });
    await last.close();
  });
});
