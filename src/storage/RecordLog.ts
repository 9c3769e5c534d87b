/**
 * Append-only log of records in segment files.
 *
 * Recovery distinguishes a torn tail from damage as follows. A batch of appends is written only after the
 * previous batch was synced, so a crash can damage only the last batch. An invalid record is a torn tail
 * if and only if it is in the last segment, at or after the sync mark, and no valid batch start follows
 * it. A torn tail is removed; anything else is damage to synced data, and opening fails.
 */
import { randomBytes } from 'node:crypto';
import { mkdir, open, readdir, readFile, unlink, type FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import { settleBoth } from '../common/Tasks.js';
import {
  isMissingFileError,
  prepareFile,
  replaceFile,
  syncDirectory,
  TEMPORARY_SUFFIX,
  writeFully,
} from './Files.js';
import {
  decodeSegmentHeader,
  encodeRecordHeader,
  encodeSegmentHeader,
  findBatchStart,
  MAX_PAYLOAD_BYTES,
  readRecords,
  SEGMENT_HEADER_BYTES,
  type ISegmentHeader,
} from './Segment.js';
import { createDamageError, StorageError } from './StorageError.js';
import { SyncMark, type ISyncedPosition } from './SyncMark.js';

const SYNC_MARK_FILE = 'synced';

const SEGMENT_SUFFIX = '.segment';

/** A new segment is started when the last one has at least this size. */
const DEFAULT_SEGMENT_BYTES = 1024 * 1024;

/** Digits of the first index in a file name, so that names sort in index order. */
const INDEX_DIGITS = 16;

interface ISegment extends ISegmentHeader {
  readonly path: string;
  /** Start offset of each record. */
  readonly offsets: number[];
  size: number;
}

interface IRecoveredSegment {
  readonly segment: ISegment;
  readonly bytes: Buffer;
  readonly payloads: readonly Uint8Array[];
}

interface IWaiter {
  readonly resolve: () => void;
  readonly reject: (error: unknown) => void;
}

/** Consecutive appends are merged into one operation with one sync; other operations run alone. */
type Operation =
  | { readonly kind: 'append'; readonly payloads: Uint8Array[]; readonly waiters: IWaiter[] }
  | { readonly kind: 'exclusive'; readonly run: () => Promise<void>; readonly waiters: IWaiter[] };

export interface IRecordLogOptions {
  readonly segmentBytes?: number;
}

/** An open log and the records that it held when it was opened. */
export interface IOpenedLog {
  readonly log: RecordLog;
  readonly records: readonly Uint8Array[];
}

/**
 * Appends records with consecutive indexes, batches concurrent appends, and drops records at either end.
 * Operations run one after another; after a failed one the log fails all later ones, so that no append is
 * acknowledged on a faulty disk.
 *
 * @example
 * const { log, records } = await RecordLog.open('/data/log');
 * await log.append([payload]); // durable when it resolves
 */
export class RecordLog {
  private readonly _queue: Operation[] = [];
  private _isQueueRunning = false;
  private _failure: StorageError | undefined;
  private _handle: FileHandle | undefined;

  private constructor(
    private readonly _directory: string,
    private readonly _segmentBytes: number,
    private readonly _syncMark: SyncMark,
    private readonly _segments: ISegment[],
  ) {}

  /** True if a log was ever created in the directory. Rejects if the directory exists and cannot be read. */
  public static async isPresent(directory: string): Promise<boolean> {
    let names: string[];
    try {
      names = await readdir(directory);
    } catch (error) {
      if (isMissingFileError(error)) {
        return false;
      }
      throw error;
    }
    return names.some((name) => name === SYNC_MARK_FILE || name.endsWith(SEGMENT_SUFFIX));
  }

  /** Opens or creates a log. Throws a `StorageError` on damage to synced data. */
  public static async open(
    directory: string,
    options: IRecordLogOptions = {},
  ): Promise<IOpenedLog> {
    await mkdir(directory, { recursive: true });
    const names = await listSegmentFiles(directory);
    const segmentBytes = options.segmentBytes ?? DEFAULT_SEGMENT_BYTES;
    const mark = await openSyncMark(directory, names);
    if (mark === undefined) {
      return { log: await RecordLog._create(directory, segmentBytes), records: [] };
    }
    try {
      const recovered = await recoverSegments(directory, names, mark.position);
      const segments = recovered.map((entry) => entry.segment);
      const log = new RecordLog(directory, segmentBytes, mark, segments);
      try {
        await log._openLastSegment();
      } catch (error) {
        await log._handle?.close();
        throw error;
      }
      return { log, records: recovered.flatMap((entry) => entry.payloads) };
    } catch (error) {
      await mark.close();
      throw error;
    }
  }

  /** Creates the files of a new log. A segment without a mark would look damaged, so the mark is durable first. */
  private static async _create(directory: string, segmentBytes: number): Promise<RecordLog> {
    const segment = createSegmentInfo(directory, 1);
    const [mark, finishSegment] = await settleBoth(
      SyncMark.create(join(directory, SYNC_MARK_FILE)),
      prepareFile(segment.path, [encodeSegmentHeader(segment)]),
      (created) => created.close(),
    );
    const log = new RecordLog(directory, segmentBytes, mark, []);
    try {
      await finishSegment();
      await log._addSegment(segment);
    } catch (error) {
      await log._handle?.close();
      await mark.close();
      throw error;
    }
    return log;
  }

  /** Index of the oldest record, or of the next one if the log is empty. */
  public get firstIndex(): number {
    return this._segments[0]?.firstIndex ?? 1;
  }

  /** Index of the next record, counting only completed appends. */
  public get nextIndex(): number {
    const last = this._segments.at(-1);
    return last === undefined ? 1 : last.firstIndex + last.offsets.length;
  }

  /**
   * Appends records. When the promise resolves, they and all earlier appends are durable; an empty list
   * waits for the earlier appends.
   */
  public append(payloads: readonly Uint8Array[]): Promise<void> {
    const last = this._queue.at(-1);
    if (last?.kind === 'append') {
      last.payloads.push(...payloads);
      return this._wait(last);
    }
    return this._enqueue({ kind: 'append', payloads: [...payloads], waiters: [] });
  }

  /** Removes the records from `index` on. */
  public truncateSuffix(index: number): Promise<void> {
    return this._runExclusively(() => this._truncate(index));
  }

  /** Deletes the segments that hold only records before `index`. */
  public dropPrefix(index: number): Promise<void> {
    return this._runExclusively(() => this._dropSegmentsBefore(index));
  }

  /** Removes all records; the next record gets the index `nextIndex`. */
  public reset(nextIndex: number): Promise<void> {
    return this._runExclusively(() => this._resetTo(nextIndex));
  }

  /** Finishes the queued operations and closes the files. */
  public async close(): Promise<void> {
    await this._runExclusively(() => Promise.resolve()).catch(() => undefined);
    this._failure ??= this._createFailure('the log was closed');
    await this._handle?.close();
    this._handle = undefined;
    await this._syncMark.close();
  }

  private _runExclusively(run: () => Promise<void>): Promise<void> {
    return this._enqueue({ kind: 'exclusive', run, waiters: [] });
  }

  private _wait(operation: Operation): Promise<void> {
    return new Promise((resolve, reject) => {
      operation.waiters.push({ resolve, reject });
    });
  }

  private _enqueue(operation: Operation): Promise<void> {
    this._queue.push(operation);
    const completion = this._wait(operation);
    if (!this._isQueueRunning) {
      void this._runQueue();
    }
    return completion;
  }

  private async _runQueue(): Promise<void> {
    this._isQueueRunning = true;
    // Lets further appends of this turn of the event loop join the first operation.
    await Promise.resolve();
    for (let next = this._queue.shift(); next !== undefined; next = this._queue.shift()) {
      await this._execute(next);
    }
    this._isQueueRunning = false;
  }

  private async _execute(operation: Operation): Promise<void> {
    try {
      if (this._failure !== undefined) {
        throw this._failure;
      }
      await (operation.kind === 'append' ? this._writeBatch(operation.payloads) : operation.run());
    } catch (error) {
      // After a failed write or sync the content of the file is unknown until the log is reopened.
      this._failure ??= error instanceof StorageError ? error : this._createFailure(String(error));
      const failure = this._failure;
      operation.waiters.forEach((waiter) => {
        waiter.reject(failure);
      });
      return;
    }
    operation.waiters.forEach((waiter) => {
      waiter.resolve();
    });
  }

  private _createFailure(problem: string): StorageError {
    const remedy = 'Check the disk and restart this member.';
    return new StorageError('io_failed', this._directory, undefined, problem, remedy);
  }

  private async _writeBatch(payloads: readonly Uint8Array[]): Promise<void> {
    if (payloads.length === 0) {
      return;
    }
    if (payloads.some((payload) => payload.length > MAX_PAYLOAD_BYTES)) {
      throw this._createFailure('a record is longer than the limit');
    }
    const segment = await this._prepareSegment();
    const parts: Uint8Array[] = [];
    const offsets: number[] = [];
    let end = segment.size;
    for (const payload of payloads) {
      const header = encodeRecordHeader(segment.salt, end, payload, offsets.length === 0);
      parts.push(header, payload);
      offsets.push(end);
      end += header.length + payload.length;
    }
    const bytes = Buffer.concat(parts);
    const handle = this._requireHandle();
    await writeFully(handle, bytes, segment.size);
    await handle.datasync();
    segment.offsets.push(...offsets);
    segment.size = end;
    await this._syncMark.advance(getEndPosition(segment));
  }

  private _requireHandle(): FileHandle {
    if (this._handle === undefined) {
      throw this._createFailure('the last segment is not open');
    }
    return this._handle;
  }

  /** The last segment, or a new one if it is full. */
  private async _prepareSegment(): Promise<ISegment> {
    const last = this._segments.at(-1);
    if (last === undefined || last.size >= this._segmentBytes) {
      return this._createSegment(this.nextIndex);
    }
    return last;
  }

  private async _createSegment(firstIndex: number): Promise<ISegment> {
    const segment = createSegmentInfo(this._directory, firstIndex);
    await replaceFile(segment.path, [encodeSegmentHeader(segment)]);
    await this._addSegment(segment);
    return segment;
  }

  /** Opens a segment whose file has just been created, and appends to it from now on. */
  private async _addSegment(segment: ISegment): Promise<void> {
    await this._handle?.close();
    this._handle = await open(segment.path, 'r+');
    this._segments.push(segment);
    await this._syncMark.advance(getEndPosition(segment));
  }

  /** Removes a torn tail and syncs records that an earlier process wrote but did not sync. */
  private async _openLastSegment(): Promise<void> {
    const last = this._segments.at(-1);
    if (last === undefined) {
      await this._createSegment(1);
      return;
    }
    this._handle = await open(last.path, 'r+');
    await this._handle.truncate(last.size);
    await this._handle.sync();
    await this._syncMark.advance(getEndPosition(last));
  }

  private async _truncate(index: number): Promise<void> {
    if (index >= this.nextIndex) {
      return;
    }
    if (index < this.firstIndex) {
      throw this._createFailure(`records before index ${index} were dropped`);
    }
    const lastKept = this._segments.findLast((segment) => segment.firstIndex <= index);
    if (lastKept === undefined) {
      return;
    }
    const count = index - lastKept.firstIndex;
    const size = lastKept.offsets[count] ?? lastKept.size;
    await this._syncMark.replace({ segment: lastKept.firstIndex, offset: size });
    while (this._segments.at(-1) !== lastKept) {
      await this._deleteSegment(this._segments.pop());
    }
    await this._handle?.close();
    this._handle = await open(lastKept.path, 'r+');
    await this._handle.truncate(size);
    await this._handle.sync();
    lastKept.offsets.length = count;
    lastKept.size = size;
  }

  private async _dropSegmentsBefore(index: number): Promise<void> {
    for (let next = this._segments[1]; next !== undefined; next = this._segments[1]) {
      if (next.firstIndex > index) {
        return;
      }
      await this._deleteSegment(this._segments.shift());
    }
  }

  private async _resetTo(nextIndex: number): Promise<void> {
    await this._syncMark.replace({ segment: 0, offset: 0 });
    while (this._segments.length > 0) {
      await this._deleteSegment(this._segments.pop());
    }
    await this._createSegment(nextIndex);
  }

  /** Syncs the directory after each deletion, so that a crash leaves no gap between segments. */
  private async _deleteSegment(segment: ISegment | undefined): Promise<void> {
    if (segment !== undefined) {
      await unlink(segment.path);
      await syncDirectory(this._directory);
    }
  }
}

/** Describes a segment without records, with a new salt. */
function createSegmentInfo(directory: string, firstIndex: number): ISegment {
  const name = String(firstIndex).padStart(INDEX_DIGITS, '0') + SEGMENT_SUFFIX;
  const salt = randomBytes(4).readUInt32LE();
  const path = join(directory, name);
  return { firstIndex, salt, path, offsets: [], size: SEGMENT_HEADER_BYTES };
}

function getEndPosition(segment: ISegment): ISyncedPosition {
  return { segment: segment.firstIndex, offset: segment.size };
}

/** Names of the segment files in index order. Deletes files whose creation a crash interrupted. */
async function listSegmentFiles(directory: string): Promise<string[]> {
  const names = await readdir(directory);
  for (const name of names.filter((candidate) => candidate.endsWith(TEMPORARY_SUFFIX))) {
    await unlink(join(directory, name));
  }
  return names.filter((name) => name.endsWith(SEGMENT_SUFFIX)).sort();
}

/** Opens the sync mark; undefined if there are no files of a log yet. */
async function openSyncMark(
  directory: string,
  segmentNames: readonly string[],
): Promise<SyncMark | undefined> {
  const path = join(directory, SYNC_MARK_FILE);
  const mark = await SyncMark.open(path);
  if (mark === undefined && segmentNames.length > 0) {
    throw createDamageError(path, undefined, 'the sync mark is missing');
  }
  return mark;
}

async function recoverSegments(
  directory: string,
  names: readonly string[],
  synced: ISyncedPosition,
): Promise<IRecoveredSegment[]> {
  const recovered: IRecoveredSegment[] = [];
  for (const name of names) {
    const next = await recoverSegment(join(directory, name));
    const previous = recovered.at(-1)?.segment;
    if (previous !== undefined) {
      checkSequence(previous, next.segment);
    }
    recovered.push(next);
  }
  recovered.forEach((entry, position) => {
    checkTail(entry, position === recovered.length - 1, synced);
  });
  const last = recovered.at(-1)?.segment;
  if (synced.segment > (last?.firstIndex ?? 0)) {
    const path = join(
      directory,
      String(synced.segment).padStart(INDEX_DIGITS, '0') + SEGMENT_SUFFIX,
    );
    throw createDamageError(path, undefined, 'a synced segment file is missing');
  }
  return recovered;
}

async function recoverSegment(path: string): Promise<IRecoveredSegment> {
  const bytes = await readFile(path);
  const header = decodeSegmentHeader(bytes);
  const nameIndex = Number.parseInt(path.slice(path.lastIndexOf('/') + 1), 10);
  // A segment file is renamed to its name only after its header was synced, so an invalid header is never
  // a torn write.
  if (header?.firstIndex !== nameIndex) {
    throw createDamageError(path, 0, 'the segment header is damaged');
  }
  const content = readRecords(bytes, header.salt);
  const segment = { ...header, path, offsets: [...content.offsets], size: content.end };
  return { segment, bytes, payloads: content.payloads };
}

function checkSequence(previous: ISegment, next: ISegment): void {
  const expected = previous.firstIndex + previous.offsets.length;
  if (next.firstIndex !== expected) {
    const problem = `index ${expected} is damaged or missing; the next segment begins at ${next.firstIndex}`;
    throw createDamageError(previous.path, previous.size, problem);
  }
}

/** Throws unless the bytes after the valid records, if any, are a torn tail. */
function checkTail(recovered: IRecoveredSegment, isLast: boolean, synced: ISyncedPosition): void {
  const { segment, bytes } = recovered;
  const syncedSize = segment.firstIndex === synced.segment ? synced.offset : 0;
  if (segment.size < syncedSize) {
    throw createDamageError(segment.path, segment.size, 'a synced record is damaged or missing');
  }
  if (segment.size === bytes.length) {
    return;
  }
  if (!isLast) {
    throw createDamageError(segment.path, segment.size, 'a record is damaged');
  }
  const laterBatchStart = findBatchStart(bytes, segment.size, segment.salt);
  if (laterBatchStart !== undefined) {
    const problem = `a record is damaged; the batch at offset ${laterBatchStart} proves that it was synced`;
    throw createDamageError(segment.path, segment.size, problem);
  }
}
