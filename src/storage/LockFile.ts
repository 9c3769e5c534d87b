/**
 * Keeps two processes from using one data directory. The file names its owner (process id, start time
 * and boot id), so that the lock of a process that was killed is recognised as stale even when its
 * process id is in use again. Processes in different pid namespaces are not told apart.
 */
import { randomBytes } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { link, readFile, rename, unlink, writeFile } from 'node:fs/promises';
import { isMissingFileError } from './Files.js';
import { StorageError } from './StorageError.js';

/** Attempts against processes that clear the same stale lock. */
const MAX_ATTEMPTS = 5;

/** Position of the start time in /proc/<pid>/stat, counted after the command name. */
const START_TIME_FIELD = 19;

function readOptional(path: string): string | undefined {
  try {
    return readFileSync(path, 'utf8');
  } catch {
    return undefined;
  }
}

/** Identifies a running process; undefined if there is none. */
function describeProcess(pid: number): string | undefined {
  const stat = readOptional(`/proc/${pid}/stat`);
  if (stat !== undefined) {
    const startTime = stat.slice(stat.lastIndexOf(')') + 2).split(' ')[START_TIME_FIELD];
    const bootId = readOptional('/proc/sys/kernel/random/boot_id')?.trim();
    return `${pid} ${startTime ?? ''} ${bootId ?? ''}`;
  }
  try {
    process.kill(pid, 0);
    return String(pid);
  } catch {
    return undefined;
  }
}

function isOwnerAlive(owner: string): boolean {
  return describeProcess(Number.parseInt(owner, 10)) === owner.trim();
}

async function readOwner(path: string): Promise<string | undefined> {
  try {
    return await readFile(path, 'utf8');
  } catch (error) {
    if (isMissingFileError(error)) {
      return undefined;
    }
    throw error;
  }
}

/** Creates the lock with its content in one step; false if it exists. */
async function tryCreate(path: string, owner: string): Promise<boolean> {
  const temporary = `${path}.${randomBytes(8).toString('hex')}`;
  await writeFile(temporary, owner);
  try {
    await link(temporary, path);
    return true;
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'EEXIST') {
      return false;
    }
    throw error;
  } finally {
    await unlink(temporary);
  }
}

/** Moves a stale lock away; puts it back if a live process has taken it meanwhile. */
async function clearStaleLock(path: string): Promise<void> {
  const moved = `${path}.${randomBytes(8).toString('hex')}`;
  try {
    await rename(path, moved);
  } catch (error) {
    if (isMissingFileError(error)) {
      return;
    }
    throw error;
  }
  if (isOwnerAlive(await readFile(moved, 'utf8'))) {
    await link(moved, path);
  }
  await unlink(moved);
}

/** A held lock. */
export class LockFile {
  private constructor(private readonly _path: string) {}

  /** Takes the lock or throws a `StorageError` of kind `locked`. */
  public static async acquire(path: string): Promise<LockFile> {
    const self = describeProcess(process.pid) ?? String(process.pid);
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      if (await tryCreate(path, self)) {
        return new LockFile(path);
      }
      const owner = await readOwner(path);
      if (owner !== undefined && isOwnerAlive(owner)) {
        break;
      }
      await clearStaleLock(path);
    }
    throw new StorageError(
      'locked',
      path,
      undefined,
      'another process uses this data directory',
      'Stop that process, or give each process its own data directory.',
    );
  }

  public async release(): Promise<void> {
    await unlink(this._path);
  }
}
