/**
 * Lock file that prevents two processes from using one data directory. It holds the owner's process id,
 * start time and boot id, so that the lock of a killed process is recognised as stale even if its process
 * id was reused. It does not protect against processes in other pid namespaces.
 */
import { randomBytes } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { link, readFile, rename, unlink, writeFile } from 'node:fs/promises';
import { isMissingFileError } from './Files.js';
import { StorageError } from './StorageError.js';

/** Attempts to acquire the lock while other processes remove the same stale lock. */
const MAX_ATTEMPTS = 5;

/** Index of the start time in /proc/<pid>/stat, counted from the field after the command name. */
const START_TIME_FIELD = 19;

function tryRead(path: string): string | undefined {
  try {
    return readFileSync(path, 'utf8');
  } catch {
    return undefined;
  }
}

/**
 * Identity of a running process; undefined if it does not run. Without /proc it is the process id alone.
 */
function describeProcess(pid: number): string | undefined {
  const stat = tryRead(`/proc/${pid}/stat`);
  if (stat !== undefined) {
    const startTime = stat.slice(stat.lastIndexOf(')') + 2).split(' ')[START_TIME_FIELD];
    const bootId = tryRead('/proc/sys/kernel/random/boot_id')?.trim();
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

/** Atomically creates the lock file with its content; false if it exists. */
async function tryCreate(path: string, owner: string): Promise<boolean> {
  const temporaryPath = `${path}.${randomBytes(8).toString('hex')}`;
  await writeFile(temporaryPath, owner);
  try {
    await link(temporaryPath, path);
    return true;
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'EEXIST') {
      return false;
    }
    throw error;
  } finally {
    await unlink(temporaryPath);
  }
}

/** Removes a stale lock by renaming it; restores it if a running process acquired it meanwhile. */
async function clearStaleLock(path: string): Promise<void> {
  const movedPath = `${path}.${randomBytes(8).toString('hex')}`;
  try {
    await rename(path, movedPath);
  } catch (error) {
    if (isMissingFileError(error)) {
      return;
    }
    throw error;
  }
  if (isOwnerAlive(await readFile(movedPath, 'utf8'))) {
    await link(movedPath, path);
  }
  await unlink(movedPath);
}

/** A lock file held by this process. */
export class LockFile {
  private constructor(private readonly _path: string) {}

  /** Acquires the lock. Throws a `StorageError` of kind `locked` if another process holds it. */
  public static async acquire(path: string): Promise<LockFile> {
    const ownIdentity = describeProcess(process.pid) ?? String(process.pid);
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      if (await tryCreate(path, ownIdentity)) {
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
