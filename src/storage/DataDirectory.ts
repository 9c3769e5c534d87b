/** The one directory that holds a member's durable state. */
import { mkdir, readdir, unlink } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { readCheckedFile, replaceCheckedFile, syncDirectory, TEMPORARY_SUFFIX } from './Files.js';
import { LockFile } from './LockFile.js';
import { RecordLog, type IOpenedLog, type IRecordLogOptions } from './RecordLog.js';

const LOCK_FILE = 'lock';

const LOG_FOLDER = 'log';

/** What the consensus module needs of the directory. */
export interface IDataDirectory {
  readonly path: string;
  /** Content of a replaced file; undefined if there is none. Throws `StorageError` on damage. */
  read(name: string): Promise<Uint8Array | undefined>;
  /** Replaces a file as a whole; durable when it resolves. */
  replace(name: string, content: Uint8Array): Promise<void>;
  hasLog(): Promise<boolean>;
  openLog(options?: IRecordLogOptions): Promise<IOpenedLog>;
  close(): Promise<void>;
}

/**
 * A locked data directory.
 *
 * @example
 * const directory = await DataDirectory.open('/data');
 * await directory.replace('hard-state', bytes);
 */
export class DataDirectory implements IDataDirectory {
  private constructor(
    public readonly path: string,
    private readonly _lock: LockFile | undefined,
  ) {}

  /**
   * Creates the directory if needed and locks it. Throws `StorageError` of kind `locked`.
   * `isExclusive` skips the lock: for file systems without hard links, where whoever starts the process
   * gives the directory to no other one.
   */
  public static async open(path: string, isExclusive = false): Promise<DataDirectory> {
    const created = await mkdir(path, { recursive: true });
    if (created !== undefined) {
      await syncDirectory(dirname(path));
      await syncDirectory(dirname(created));
    }
    const lock = isExclusive ? undefined : await LockFile.acquire(join(path, LOCK_FILE));
    for (const name of await readdir(path)) {
      if (name.endsWith(TEMPORARY_SUFFIX)) {
        await unlink(join(path, name));
      }
    }
    return new DataDirectory(path, lock);
  }

  public read(name: string): Promise<Uint8Array | undefined> {
    return readCheckedFile(join(this.path, name));
  }

  public replace(name: string, content: Uint8Array): Promise<void> {
    return replaceCheckedFile(join(this.path, name), content);
  }

  public hasLog(): Promise<boolean> {
    return RecordLog.isPresent(join(this.path, LOG_FOLDER));
  }

  public openLog(options?: IRecordLogOptions): Promise<IOpenedLog> {
    return RecordLog.open(join(this.path, LOG_FOLDER), options);
  }

  /** Releases the lock. The log is closed by its owner. */
  public async close(): Promise<void> {
    await this._lock?.release();
  }
}
