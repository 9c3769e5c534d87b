/** The directory that holds a member's durable state: a lock file, replaceable files, slot files and one record log. */
import { mkdir, readdir, unlink } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import {
  prepareFile,
  parseCheckedFile,
  readFileIfPresent,
  replaceCheckedFile,
  replaceFile,
  syncDirectory,
  TEMPORARY_SUFFIX,
} from './Files.js';
import { LockFile } from './LockFile.js';
import { formatSlotFile, isSlotFile, parseSlotFile, SlotFile } from './SlotFile.js';
import { RecordLog, type IOpenedLog, type IRecordLogOptions } from './RecordLog.js';

const LOCK_FILE = 'lock';

const LOG_DIRECTORY = 'log';

/** The operations on a data directory that the consensus module uses. */
export interface IDataDirectory {
  readonly path: string;
  /** Content of a file; undefined if it does not exist. Throws `StorageError` on damage. */
  read(name: string): Promise<Uint8Array | undefined>;
  /** Atomically replaces a file; durable when the promise resolves. */
  replace(name: string, content: Uint8Array): Promise<void>;
  /** Writes a file for `update` under a temporary name; the returned function gives it its name. */
  prepare(name: string, content: Uint8Array): Promise<() => Promise<void>>;
  /**
   * Atomically replaces a file of at most `MAX_SLOT_CONTENT_BYTES` in place, with a single sync; durable when the promise
   * resolves. Not for concurrent calls.
   */
  update(name: string, content: Uint8Array): Promise<void>;
  hasLog(): Promise<boolean>;
  openLog(options?: IRecordLogOptions): Promise<IOpenedLog>;
  close(): Promise<void>;
}

/**
 * A data directory, locked against other processes unless it was opened with `skipsLock`.
 *
 * @example
 * const directory = await DataDirectory.open('/data');
 * await directory.replace('hard-state', bytes);
 */
export class DataDirectory implements IDataDirectory {
  private readonly _slotFiles = new Map<string, SlotFile>();

  private constructor(
    public readonly path: string,
    private readonly _lock: LockFile | undefined,
  ) {}

  /**
   * Creates the directory if needed and locks it. Throws a `StorageError` of kind `locked` if another
   * process holds the lock. `skipsLock` opens it without a lock, for file systems without hard links;
   * whoever starts the process must then give the directory to no other process.
   */
  public static async open(path: string, skipsLock = false): Promise<DataDirectory> {
    const created = await mkdir(path, { recursive: true });
    if (created !== undefined) {
      const parents = new Set([dirname(path), dirname(created)]);
      await Promise.all([...parents].map(syncDirectory));
    }
    const lock = skipsLock ? undefined : await LockFile.acquire(join(path, LOCK_FILE));
    for (const name of await readdir(path)) {
      if (name.endsWith(TEMPORARY_SUFFIX)) {
        await unlink(join(path, name));
      }
    }
    return new DataDirectory(path, lock);
  }

  public async read(name: string): Promise<Uint8Array | undefined> {
    const path = join(this.path, name);
    const bytes = await readFileIfPresent(path);
    if (bytes === undefined) {
      return undefined;
    }
    return isSlotFile(bytes) ? parseSlotFile(path, bytes) : parseCheckedFile(path, bytes);
  }

  public replace(name: string, content: Uint8Array): Promise<void> {
    return replaceCheckedFile(join(this.path, name), content);
  }

  public prepare(name: string, content: Uint8Array): Promise<() => Promise<void>> {
    return prepareFile(join(this.path, name), [formatSlotFile(content)]);
  }

  public async update(name: string, content: Uint8Array): Promise<void> {
    const slots = this._slotFiles.get(name) ?? (await this._openSlots(name));
    if (slots === undefined) {
      // The file does not exist yet, or an older process wrote it.
      await replaceFile(join(this.path, name), [formatSlotFile(content)]);
      return;
    }
    try {
      await slots.replace(content);
    } catch (error) {
      this._slotFiles.delete(name);
      await slots.close();
      throw error;
    }
  }

  public hasLog(): Promise<boolean> {
    return RecordLog.isPresent(join(this.path, LOG_DIRECTORY));
  }

  public openLog(options?: IRecordLogOptions): Promise<IOpenedLog> {
    return RecordLog.open(join(this.path, LOG_DIRECTORY), options);
  }

  /** Releases the lock. The caller closes the log first. */
  public async close(): Promise<void> {
    const files = [...this._slotFiles.values()];
    this._slotFiles.clear();
    await Promise.all(files.map((file) => file.close()));
    await this._lock?.release();
  }

  private async _openSlots(name: string): Promise<SlotFile | undefined> {
    const file = await SlotFile.open(join(this.path, name));
    if (file !== undefined) {
      this._slotFiles.set(name, file);
    }
    return file;
  }
}
