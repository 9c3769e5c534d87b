/** Full disks for tests: the files in a folder refuse writes, as those of a full file system do. */
import fsPromises, { type FileHandle } from 'node:fs/promises';
import { syncBuiltinESMExports } from 'node:module';
import { sep } from 'node:path';

interface IFullDisk {
  readonly folder: string;
  /** Writes that still succeed. */
  remaining: number;
  /** Part of the data of a refused write that is written nevertheless, between 0 and 1. */
  readonly tornShare: number;
  refused: number;
}

interface IWriter {
  write: (
    data: Uint8Array,
    offset: number,
    length: number,
    position: number | null,
  ) => Promise<{ readonly bytesWritten: number }>;
  writeFile: (data: Uint8Array) => Promise<void>;
  close: () => Promise<void>;
}

/**
 * Replaces `open` of `node:fs/promises` for the whole process.
 *
 * @example
 * const disks = new FullDisks();
 * disks.refuseWrites('/tmp/member', { afterWrites: 3, tornShare: 0.5 });
 * disks.restore('/tmp/member');
 * disks.dispose();
 */
export class FullDisks {
  private readonly _originalOpen = fsPromises.open;
  private readonly _openHandles = new Set<FileHandle>();
  private _disks: IFullDisk[] = [];

  constructor() {
    const open = this._originalOpen;
    fsPromises.open = async (path, ...rest) => {
      const handle = await open(path, ...rest);
      this._attach(handle, path.toString());
      return handle;
    };
    syncBuiltinESMExports();
  }

  /** Refuses the writes to files in a folder, after some that still succeed. */
  public refuseWrites(folder: string, { afterWrites = 0, tornShare = 0 } = {}): void {
    this.restore(folder);
    this._disks.push({ folder, remaining: afterWrites, tornShare, refused: 0 });
  }

  public restore(folder: string): void {
    this._disks = this._disks.filter((disk) => disk.folder !== folder);
  }

  /** Number of writes that were refused since the disk was filled. */
  public countRefused(folder: string): number {
    return this._disks.find((disk) => disk.folder === folder)?.refused ?? 0;
  }

  /** Number of files that were opened since this object was created and are not closed. */
  public get openCount(): number {
    return this._openHandles.size;
  }

  public dispose(): void {
    fsPromises.open = this._originalOpen;
    syncBuiltinESMExports();
  }

  private _attach(handle: FileHandle, path: string): void {
    this._openHandles.add(handle);
    const writer = handle as IWriter;
    const close = writer.close.bind(handle);
    writer.close = async () => {
      this._openHandles.delete(handle);
      await close();
    };
    const write = writer.write.bind(handle);
    const writeFile = writer.writeFile.bind(handle);
    writer.write = (data, offset, length, position) => {
      const tornLength = this._admit(path, length);
      if (tornLength === 0 && length > 0) {
        return Promise.reject(createFullDiskError());
      }
      return write(data, offset, tornLength, position);
    };
    writer.writeFile = async (data) => {
      const tornLength = this._admit(path, data.length);
      await writeFile(data.subarray(0, tornLength));
      if (tornLength < data.length) {
        throw createFullDiskError();
      }
    };
  }

  /** Number of bytes that a write to a file writes. */
  private _admit(path: string, length: number): number {
    const disk = this._disks.find(({ folder }) => path.startsWith(folder + sep));
    if (disk === undefined) {
      return length;
    }
    if (disk.remaining > 0) {
      disk.remaining -= 1;
      return length;
    }
    disk.refused += 1;
    return Math.floor(length * disk.tornShare);
  }
}

function createFullDiskError(): Error {
  return Object.assign(new Error('ENOSPC: no space left on device, write'), { code: 'ENOSPC' });
}
