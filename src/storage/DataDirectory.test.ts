import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { DataDirectory } from './DataDirectory.js';

let folder: string;

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'redwingwharf-data-'));
});

afterEach(async () => {
  await rm(folder, { recursive: true, force: true });
});

describe('DataDirectory', () => {
  it('refuses to open a locked directory, so that two processes never write one log', async () => {
    const directory = await DataDirectory.open(folder);
    await expect(DataDirectory.open(folder)).rejects.toMatchObject({ kind: 'locked' });
    await directory.close();
    await (await DataDirectory.open(folder)).close();
  });

  it('takes over the lock of a killed process, even if its process id was reused', async () => {
    await writeFile(join(folder, 'lock'), `${process.pid} 1 00000000-0000-0000-0000-000000000000`);
    await (await DataDirectory.open(folder)).close();
    await writeFile(join(folder, 'lock'), '4194304000 1 x');
    await (await DataDirectory.open(folder)).close();
  });

  it('refuses a damaged file and ignores an interrupted replacement', async () => {
    const directory = await DataDirectory.open(folder);
    expect(await directory.read('state')).toBeUndefined();
    await directory.replace('state', Buffer.from('one'));
    await directory.replace('state', Buffer.from('two'));
    await directory.close();
    await writeFile(join(folder, 'state.tmp'), 'thr');
    const reopened = await DataDirectory.open(folder);
    expect(Buffer.from((await reopened.read('state')) ?? []).toString()).toBe('two');
    const bytes = await readFile(join(folder, 'state'));
    for (let position = 0; position < bytes.length; position += 1) {
      const damaged = Buffer.from(bytes);
      damaged.writeUInt8(damaged.readUInt8(position) ^ 1, position);
      await writeFile(join(folder, 'state'), damaged);
      await expect(reopened.read('state')).rejects.toMatchObject({ kind: 'damaged', offset: 0 });
    }
    await reopened.close();
  });
});
