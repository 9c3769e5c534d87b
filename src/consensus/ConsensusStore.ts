/**
 * Durable state of one consensus member: the hard state (identity, term and vote), the snapshot, and the
 * log entries after it. Entries are also held in memory, where they are readable before they are durable.
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { join } from 'node:path';
import { generateIdentifier } from '../common/Hashes.js';
import { settleBoth } from '../common/Tasks.js';
import {
  HardStateSchema,
  LogEntrySchema,
  MembershipSchema,
  SnapshotFileSchema,
  type HardState,
  type LogEntry,
  type Membership,
  type SnapshotFile,
} from '../gen/redwingwharf/v1/consensus_pb.js';
import type { IDataDirectory } from '../storage/DataDirectory.js';
import type { IOpenedLog, RecordLog } from '../storage/RecordLog.js';
import { createDamageError, StorageError } from '../storage/StorageError.js';
import { Mutex } from './Mutex.js';
import { InvariantError } from './InvariantError.js';
import type { IMemberIdentity } from './Memberships.js';

const HARD_STATE_FILE = 'hard-state';

const SNAPSHOT_FILE = 'snapshot';

/** Entries kept before the snapshot, so that a member slightly behind needs no snapshot transfer. */
const MAX_TRAILING_ENTRIES = 512;
const MAX_TRAILING_BYTES = 1024 * 1024;

/** Log position of a snapshot and the membership in force there. */
export interface ISnapshotPosition {
  readonly index: number;
  readonly term: number;
  readonly membership: Membership;
}

/** A membership and the index of the entry that set it. */
export interface IIndexedMembership {
  readonly index: number;
  readonly membership: Membership;
}

/** Ids of a new group and of the disk of its first member. */
export interface IGroupIdentity {
  readonly clusterId: Uint8Array;
  readonly diskId: Uint8Array;
}

const NO_SNAPSHOT: ISnapshotPosition = {
  index: 0,
  term: 0,
  membership: create(MembershipSchema),
};

/**
 * Bootstraps a new group in an empty data directory, with this member as its only voter. Also completes an earlier
 * attempt that was interrupted, for example because the disk was full.
 */
export async function bootstrapStore(
  directory: IDataDirectory,
  memberId: string,
  address: string,
): Promise<IGroupIdentity> {
  await requireNoState(directory);
  const clusterId = generateIdentifier();
  const diskId = generateIdentifier();
  const members = [{ id: memberId, diskId, address, voter: true }];
  const entry = create(LogEntrySchema, {
    index: 1n,
    term: 1n,
    body: { case: 'membership', value: create(MembershipSchema, { members }) },
  });
  const { log, records } = await directory.openLog();
  try {
    if (log.firstIndex > 1 || !records.every((record) => isFirstEntry(record, memberId))) {
      throw createNotEmptyError(directory);
    }
    if (records.length > 0) {
      await log.reset(1);
    }
    await log.append([toBinary(LogEntrySchema, entry)]);
  } finally {
    await log.close();
  }
  // Written last: a directory with a log but no hard state is refused, so an interrupted bootstrap is
  // never used.
  await saveHardState(
    directory,
    create(HardStateSchema, { clusterId, memberId, diskId, term: 1n }),
  );
  return { clusterId, diskId };
}

async function requireNoState(directory: IDataDirectory): Promise<void> {
  const hasState =
    (await directory.read(HARD_STATE_FILE)) !== undefined ||
    (await directory.read(SNAPSHOT_FILE)) !== undefined;
  if (hasState) {
    throw createNotEmptyError(directory);
  }
}

function createNotEmptyError(directory: IDataDirectory): StorageError {
  return new StorageError(
    'not_empty',
    directory.path,
    undefined,
    'the data directory holds the state of a member',
    'Use an empty directory to bootstrap a group.',
  );
}

/**
 * True for the entry that bootstraps a group with one member. Without a hard state nobody has used it: a member appends
 * its next entry, and acknowledges anything, only after it has opened its hard state.
 */
function isFirstEntry(record: Uint8Array, memberId: string): boolean {
  const { index, body } = fromBinary(LogEntrySchema, record);
  const [first, ...others] = body.case === 'membership' ? body.value.members : [];
  return index === 1n && first?.id === memberId && others.length === 0;
}

async function saveHardState(directory: IDataDirectory, state: HardState): Promise<void> {
  await directory.update(HARD_STATE_FILE, toBinary(HardStateSchema, state));
}

/** Reads and writes the durable state of one member. */
export class ConsensusStore {
  /** Serialises reads and writes of the snapshot file. */
  private readonly _snapshotMutex = new Mutex();
  /** Memberships set by the entries after the snapshot, in order. */
  private _memberships: IIndexedMembership[];

  private constructor(
    private readonly _directory: IDataDirectory,
    private readonly _log: RecordLog,
    private readonly _hardState: HardState,
    private _snapshot: ISnapshotPosition,
    private _entries: LogEntry[],
    private _firstIndex: number,
  ) {
    this._memberships = listMemberships(_entries, _snapshot.index);
  }

  /** Opens the state; an empty directory gets a new disk id. Throws `StorageError`. */
  public static async open(directory: IDataDirectory, memberId: string): Promise<ConsensusStore> {
    const { hardState, log, records } = await openHardStateAndLog(directory, memberId);
    try {
      const snapshot = getSnapshotPosition(await readSnapshotFile(directory));
      const entries = records.map((record) => fromBinary(LogEntrySchema, record));
      checkEntries(directory, log.firstIndex, entries, snapshot);
      const first = log.firstIndex;
      const store = new ConsensusStore(directory, log, hardState, snapshot, entries, first);
      await store._reconcileWithSnapshot();
      return store;
    } catch (error) {
      await log.close();
      throw error;
    }
  }

  public get identity(): IMemberIdentity {
    return this._hardState;
  }

  public get clusterId(): Uint8Array {
    return this._hardState.clusterId;
  }

  public get term(): number {
    return Number(this._hardState.term);
  }

  /** The candidate voted for in the current term. */
  public get votedFor(): IMemberIdentity | undefined {
    const { votedFor, votedForDiskId } = this._hardState;
    return votedFor === '' ? undefined : { memberId: votedFor, diskId: votedForDiskId };
  }

  public get snapshot(): ISnapshotPosition {
    return this._snapshot;
  }

  public get lastIndex(): number {
    return this._firstIndex + this._entries.length - 1;
  }

  public get lastTerm(): number {
    return this.getTerm(this.lastIndex) ?? 0;
  }

  /** Highest index that the stored entries and the snapshot show to be committed. */
  public get recordedCommitIndex(): number {
    return this._entries.reduce(
      (index, entry) => Math.max(index, Number(entry.commitIndex)),
      this._snapshot.index,
    );
  }

  /** The latest membership in the log, committed or not. */
  public get membership(): IIndexedMembership {
    return this.getMembershipAt(this.lastIndex);
  }

  /** The membership in force at an index, which must not precede the snapshot. */
  public getMembershipAt(index: number): IIndexedMembership {
    return this._memberships.findLast((change) => change.index <= index) ?? this._snapshot;
  }

  public getEntry(index: number): LogEntry | undefined {
    return this._entries[index - this._firstIndex];
  }

  /** Term of the entry at an index; undefined if the entry was compacted or is not appended yet. */
  public getTerm(index: number): number | undefined {
    if (index === this._snapshot.index) {
      return this._snapshot.term;
    }
    const entry = this.getEntry(index);
    return entry === undefined ? undefined : Number(entry.term);
  }

  /**
   * Entries from an index on, at most `maxCount`. The list ends with the entry that reaches `maxBytes`, so
   * it may exceed that size by one entry.
   */
  public listEntries(from: number, maxCount: number, maxBytes: number): LogEntry[] {
    const start = from - this._firstIndex;
    const entries: LogEntry[] = [];
    let bytes = 0;
    for (const entry of this._entries.slice(start, start + maxCount)) {
      if (bytes >= maxBytes) {
        break;
      }
      bytes += measureCommand(entry);
      entries.push(entry);
    }
    return entries;
  }

  /** Saves a higher term together with the vote cast in it, if any. */
  public async saveTerm(term: number, vote?: IMemberIdentity): Promise<void> {
    if (term <= this.term) {
      throw new InvariantError(`term ${term} does not follow term ${this.term}`);
    }
    this._hardState.term = BigInt(term);
    this._hardState.votedFor = vote?.memberId ?? '';
    this._hardState.votedForDiskId = vote?.diskId ?? new Uint8Array();
    await saveHardState(this._directory, this._hardState);
  }

  /** Saves the vote of the current term. */
  public async saveVote(candidate: IMemberIdentity): Promise<void> {
    this._hardState.votedFor = candidate.memberId;
    this._hardState.votedForDiskId = candidate.diskId;
    await saveHardState(this._directory, this._hardState);
  }

  /**
   * Assigns a new disk to a group. Saved with the first term, before which the disk acknowledges nothing; one that
   * restarts earlier asks to join again.
   */
  public joinGroup(clusterId: Uint8Array): void {
    if (this._hardState.clusterId.length > 0 || this.term > 0) {
      throw new InvariantError('this disk already belongs to a group');
    }
    this._hardState.clusterId = clusterId;
  }

  /** Appends entries; they are durable, with all earlier ones, when the promise resolves. */
  public append(entries: readonly LogEntry[]): Promise<void> {
    for (const entry of entries) {
      if (Number(entry.index) !== this.lastIndex + 1) {
        throw new InvariantError(`entry ${entry.index} does not follow entry ${this.lastIndex}`);
      }
      this._entries.push(entry);
    }
    this._memberships.push(...listMemberships(entries, this._snapshot.index));
    return this._log.append(entries.map((entry) => toBinary(LogEntrySchema, entry)));
  }

  /** Removes the entries from an index on. */
  public async truncateSuffix(index: number): Promise<void> {
    this._entries.length = Math.max(0, index - this._firstIndex);
    this._memberships = this._memberships.filter((change) => change.index < index);
    await this._log.truncateSuffix(index);
  }

  /** Saves a snapshot of the applied state and compacts the log before it. */
  public saveSnapshot(position: ISnapshotPosition, data: Uint8Array): Promise<void> {
    return this._snapshotMutex.run(async () => {
      if (position.index <= this._snapshot.index) {
        return;
      }
      await this._writeSnapshot(position, data);
      const firstRetained = this._findFirstRetainedIndex(position.index);
      if (firstRetained > this._firstIndex) {
        this._entries.splice(0, firstRetained - this._firstIndex);
        this._firstIndex = firstRetained;
        await this._log.dropPrefix(firstRetained);
      }
    });
  }

  /** Saves a snapshot received from the leader; the log is discarded unless it contains that position. */
  public installSnapshot(position: ISnapshotPosition, data: Uint8Array): Promise<void> {
    return this._snapshotMutex.run(async () => {
      const localTerm = this.getTerm(position.index);
      await this._writeSnapshot(position, data);
      if (localTerm !== position.term) {
        await this._resetToSnapshot();
      }
    });
  }

  public readSnapshot(): Promise<SnapshotFile | undefined> {
    return this._snapshotMutex.run(() => readSnapshotFile(this._directory));
  }

  public async close(): Promise<void> {
    await this._snapshotMutex.run(() => this._log.close());
  }

  private _findFirstRetainedIndex(snapshotIndex: number): number {
    let firstRetained = snapshotIndex + 1;
    let bytes = 0;
    while (
      firstRetained > this._firstIndex &&
      snapshotIndex - firstRetained + 1 < MAX_TRAILING_ENTRIES
    ) {
      bytes += measureCommand(this.getEntry(firstRetained - 1));
      if (bytes > MAX_TRAILING_BYTES) {
        break;
      }
      firstRetained -= 1;
    }
    return firstRetained;
  }

  private async _writeSnapshot(position: ISnapshotPosition, data: Uint8Array): Promise<void> {
    const file = create(SnapshotFileSchema, {
      lastIndex: BigInt(position.index),
      lastTerm: BigInt(position.term),
      membership: position.membership,
      data,
    });
    await this._directory.replace(SNAPSHOT_FILE, toBinary(SnapshotFileSchema, file));
    this._snapshot = position;
    this._memberships = this._memberships.filter((change) => change.index > position.index);
  }

  private async _resetToSnapshot(): Promise<void> {
    this._entries = [];
    this._memberships = [];
    this._firstIndex = this._snapshot.index + 1;
    await this._log.reset(this._firstIndex);
  }

  /** Discards the log if a crash interrupted `installSnapshot` before it did so. */
  private async _reconcileWithSnapshot(): Promise<void> {
    const { index, term } = this._snapshot;
    const entry = this.getEntry(index);
    const conflicts = entry !== undefined && Number(entry.term) !== term;
    if (this.lastIndex < index || conflicts) {
      await this._resetToSnapshot();
    }
  }
}

/** The hard state of a member, with its log open. */
interface IOpenedState extends IOpenedLog {
  readonly hardState: HardState;
}

async function openHardStateAndLog(
  directory: IDataDirectory,
  memberId: string,
): Promise<IOpenedState> {
  const bytes = await directory.read(HARD_STATE_FILE);
  if (bytes === undefined) {
    return createIdentity(directory, memberId);
  }
  const file = join(directory.path, HARD_STATE_FILE);
  if (!(await directory.hasLog())) {
    const remedy = 'Start this member with an empty data directory so that it joins again.';
    throw new StorageError('log_missing', file, undefined, 'the log files are missing', remedy);
  }
  const hardState = fromBinary(HardStateSchema, bytes);
  if (hardState.memberId !== memberId) {
    const problem = `the directory belongs to member ${hardState.memberId}, not to ${memberId}`;
    const remedy = 'Correct the member id or the data directory in the settings.';
    throw new StorageError('wrong_member', file, undefined, problem, remedy);
  }
  return { hardState, ...(await directory.openLog()) };
}

/** Gives an empty directory a new disk id. The log is durable before the hard state, without which it counts as unused. */
async function createIdentity(directory: IDataDirectory, memberId: string): Promise<IOpenedState> {
  const hardState = create(HardStateSchema, { memberId, diskId: generateIdentifier() });
  const [opened, finishHardState] = await settleBoth(
    directory.openLog(),
    directory.prepare(HARD_STATE_FILE, toBinary(HardStateSchema, hardState)),
    ({ log }) => log.close(),
  );
  const { log, records } = opened;
  try {
    const isEmpty = records.length === 0 && log.firstIndex === 1;
    if (!isEmpty || (await directory.read(SNAPSHOT_FILE)) !== undefined) {
      const file = join(directory.path, HARD_STATE_FILE);
      const problem = 'the hard state is missing although log or snapshot files exist';
      const remedy = 'Start this member with an empty data directory so that it joins again.';
      throw new StorageError('hard_state_missing', file, undefined, problem, remedy);
    }
    await finishHardState();
  } catch (error) {
    await log.close();
    throw error;
  }
  return { hardState, log, records };
}

async function readSnapshotFile(directory: IDataDirectory): Promise<SnapshotFile | undefined> {
  const bytes = await directory.read(SNAPSHOT_FILE);
  return bytes === undefined ? undefined : fromBinary(SnapshotFileSchema, bytes);
}

function getSnapshotPosition(file: SnapshotFile | undefined): ISnapshotPosition {
  if (file?.membership === undefined) {
    return NO_SNAPSHOT;
  }
  const { membership } = file;
  return { index: Number(file.lastIndex), term: Number(file.lastTerm), membership };
}

/** Bytes of the command of an entry; 0 if it has none. */
export function measureCommand(entry: LogEntry | undefined): number {
  return entry?.body.case === 'command' ? entry.body.value.length : 0;
}

function listMemberships(
  entries: readonly LogEntry[],
  snapshotIndex: number,
): IIndexedMembership[] {
  return entries.flatMap(({ index, body }) =>
    body.case === 'membership' && Number(index) > snapshotIndex
      ? [{ index: Number(index), membership: body.value }]
      : [],
  );
}

/** Throws unless the entries have consecutive indexes and reach back to the snapshot. */
function checkEntries(
  directory: IDataDirectory,
  firstIndex: number,
  entries: readonly LogEntry[],
  snapshot: ISnapshotPosition,
): void {
  if (firstIndex > snapshot.index + 1) {
    const file = join(directory.path, SNAPSHOT_FILE);
    const problem = `the log begins at ${firstIndex}, after the snapshot at ${snapshot.index}`;
    throw createDamageError(file, undefined, problem);
  }
  entries.forEach((entry, position) => {
    if (Number(entry.index) !== firstIndex + position) {
      const problem = `record ${firstIndex + position} holds entry ${entry.index}`;
      throw createDamageError(directory.path, undefined, problem);
    }
  });
}
