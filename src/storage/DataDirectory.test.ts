import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { DataDirectory } from './DataDirectory.js';

let path: string;

beforeEach(async () => {
  path = await mkdtemp(join(tmpdir(), 'redwingwharf-data-'));
});

afterEach(async () => {
  await rm(path, { recursive: true, force: true });
});

describe('DataDirectory', () => {
  it('refuses to open a locked directory, so that two processes never write one log', async () => {
    const directory = await DataDirectory.open(path);
    await expect(DataDirectory.open(path)).rejects.toMatchObject({ kind: 'locked' });
    await directory.close();
    await (await DataDirectory.open(path)).close();
  });

  it('takes over the lock of a killed process, even if its process id was reused', async () => {
    await writeFile(join(path, 'lock'), `${process.pid} 1 00000000-0000-0000-0000-000000000000`);
    await (await DataDirectory.open(path)).close();
    await writeFile(join(path, 'lock'), '4194304000 1 x');
    await (await DataDirectory.open(path)).close();
  });

  it('refuses a damaged file and ignores an interrupted replacement', async () => {
    const directory = await DataDirectory.open(path);
    expect(await directory.read('state')).toBeUndefined();
    await directory.replace('state', Buffer.from('one'));
    await directory.replace('state', Buffer.from('two'));
    await directory.close();
    await writeFile(join(path, 'state.tmp'), 'thr');
    const reopened = await DataDirectory.open(path);
    expect(Buffer.from((await reopened.read('state')) ?? []).toString()).toBe('two');
    const bytes = await readFile(join(path, 'state'));
    for (let position = 0; position < bytes.length; position += 1) {
      const damaged = Buffer.from(bytes);
      damaged.writeUInt8(damaged.readUInt8(position) ^ 1, position);
      await writeFile(join(path, 'state'), damaged);
      await expect(reopened.read('state')).rejects.toMatchObject({ kind: 'damaged', offset: 0 });
    }
    await reopened.close();
  });
});
