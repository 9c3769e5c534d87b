/** Slow disks for tests: each sync of a file or folder in a folder takes longer. */
import fsPromises, { type FileHandle } from 'node:fs/promises';
import { syncBuiltinESMExports } from 'node:module';
import { sleep } from '../common/Tasks.js';

const FOREVER = new AbortController().signal;

/**
 * Replaces `open` of `node:fs/promises` for the whole process.
 *
 * @example
 * const syncs = new SlowSyncs('/tmp/group', 300);
 * syncs.dispose();
 */
export class SlowSyncs {
  private readonly _originalOpen = fsPromises.open;

  /** @param _delayMs milliseconds that each sync takes longer */
  constructor(
    folder: string,
    private readonly _delayMs: number,
  ) {
    const open = this._originalOpen;
    fsPromises.open = async (path, ...rest) => {
      const handle = await open(path, ...rest);
      if (path.toString().startsWith(folder)) {
        this._attach(handle);
      }
      return handle;
    };
    syncBuiltinESMExports();
  }

  public dispose(): void {
    fsPromises.open = this._originalOpen;
    syncBuiltinESMExports();
  }

  private _attach(handle: FileHandle): void {
    const sync = handle.sync.bind(handle);
    const datasync = handle.datasync.bind(handle);
    handle.sync = async () => {
      await sleep(this._delayMs, FOREVER);
      await sync();
    };
    handle.datasync = async () => {
      await sleep(this._delayMs, FOREVER);
      await datasync();
    };
  }
}
