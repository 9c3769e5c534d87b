/**
 * A member's durable state: the hard state, the log entries since the last snapshot, and the snapshot.
 * Entries are also kept in memory, where they are visible before they are durable.
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { join } from 'node:path';
import { generateIdentifier } from '../common/Hashes.js';
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
import type { RecordLog } from '../storage/RecordLog.js';
import { createDamageError, StorageError } from '../storage/StorageError.js';
import { Exclusive } from './Exclusive.js';
import { InvariantError } from './InvariantError.js';
import type { IMemberPair } from './Memberships.js';

const HARD_STATE_FILE = 'hard-state';

const SNAPSHOT_FILE = 'snapshot';

/** Limits of the entries kept before the snapshot, so that a member slightly behind needs none. */
const TRAILING_ENTRIES = 512;
const TRAILING_BYTES = 1024 * 1024;

/** Place and membership of a snapshot. */
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

/** Identity of a founded group. */
export interface IFoundedGroup {
  readonly clusterId: Uint8Array;
  readonly diskId: Uint8Array;
}

const NO_SNAPSHOT: ISnapshotPosition = {
  index: 0,
  term: 0,
  membership: create(MembershipSchema),
};

/** Makes an empty data directory a group with this member as its only voter. */
export async function initialiseStore(
  directory: IDataDirectory,
  memberId: string,
  address: string,
): Promise<IFoundedGroup> {
  await requireEmpty(directory);
  const clusterId = generateIdentifier();
  const diskId = generateIdentifier();
  const members = [{ id: memberId, diskId, address, voter: true }];
  const entry = create(LogEntrySchema, {
    index: 1n,
    term: 1n,
    body: { case: 'membership', value: create(MembershipSchema, { members }) },
  });
  const { log } = await directory.openLog();
  await log.append([toBinary(LogEntrySchema, entry)]);
  await log.close();
  // Written last: a directory without it is refused, so an interrupted initialisation isn't used.
  await saveHardState(
    directory,
    create(HardStateSchema, { clusterId, memberId, diskId, term: 1n }),
  );
  return { clusterId, diskId };
}

async function requireEmpty(directory: IDataDirectory): Promise<void> {
  const hasFile =
    (await directory.read(HARD_STATE_FILE)) !== undefined ||
    (await directory.read(SNAPSHOT_FILE)) !== undefined ||
    (await directory.hasLog());
  if (hasFile) {
    throw new StorageError(
      'not_empty',
      directory.path,
      undefined,
      'the data directory holds the state of a member',
      'Use an empty directory to found a group.',
    );
  }
}

async function saveHardState(directory: IDataDirectory, state: HardState): Promise<void> {
  await directory.replace(HARD_STATE_FILE, toBinary(HardStateSchema, state));
}

/** Durable state of one member. */
export class ConsensusStore {
  private readonly _snapshotting = new Exclusive();
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

  /** Opens the state, or gives an empty directory a new disk id. Throws `StorageError`. */
  public static async open(directory: IDataDirectory, memberId: string): Promise<ConsensusStore> {
    const hardState = await openHardState(directory, memberId);
    const snapshot = describeSnapshot(await readSnapshotFile(directory));
    const { log, records } = await directory.openLog();
    try {
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

  public get pair(): IMemberPair {
    return this._hardState;
  }

  public get clusterId(): Uint8Array {
    return this._hardState.clusterId;
  }

  public get term(): number {
    return Number(this._hardState.term);
  }

  /** The pair voted for in the current term. */
  public get votedFor(): IMemberPair | undefined {
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

  /** The last membership in the log, committed or not. */
  public get membership(): IIndexedMembership {
    return this.getMembershipAt(this.lastIndex);
  }

  /** The membership that was in force at an index not before the snapshot. */
  public getMembershipAt(index: number): IIndexedMembership {
    return this._memberships.findLast((change) => change.index <= index) ?? this._snapshot;
  }

  public getEntry(index: number): LogEntry | undefined {
    return this._entries[index - this._firstIndex];
  }

  /** Term of the entry at an index; undefined if it is not known any more or not yet. */
  public getTerm(index: number): number | undefined {
    if (index === this._snapshot.index) {
      return this._snapshot.term;
    }
    const entry = this.getEntry(index);
    return entry === undefined ? undefined : Number(entry.term);
  }

  /** Entries from an index on, up to a number of entries and about a number of bytes. */
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

  /** Saves a new term, with a vote if one is given in the same step. */
  public async saveTerm(term: number, vote?: IMemberPair): Promise<void> {
    if (term <= this.term) {
      throw new InvariantError(`term ${term} does not follow term ${this.term}`);
    }
    this._hardState.term = BigInt(term);
    this._hardState.votedFor = vote?.memberId ?? '';
    this._hardState.votedForDiskId = vote?.diskId ?? new Uint8Array();
    await saveHardState(this._directory, this._hardState);
  }

  /** Saves the vote of the current term. */
  public async saveVote(pair: IMemberPair): Promise<void> {
    this._hardState.votedFor = pair.memberId;
    this._hardState.votedForDiskId = pair.diskId;
    await saveHardState(this._directory, this._hardState);
  }

  /** Saves the group that a new disk belongs to. */
  public async saveClusterId(clusterId: Uint8Array): Promise<void> {
    if (this._hardState.clusterId.length > 0) {
      throw new InvariantError('this disk already belongs to a group');
    }
    this._hardState.clusterId = clusterId;
    await saveHardState(this._directory, this._hardState);
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

  /** Saves a snapshot of applied entries and drops the entries that are no longer needed. */
  public saveSnapshot(position: ISnapshotPosition, data: Uint8Array): Promise<void> {
    return this._snapshotting.run(async () => {
      if (position.index <= this._snapshot.index) {
        return;
      }
      await this._writeSnapshot(position, data);
      const oldest = this._findOldestKept(position.index);
      if (oldest > this._firstIndex) {
        this._entries.splice(0, oldest - this._firstIndex);
        this._firstIndex = oldest;
        await this._log.dropPrefix(oldest);
      }
    });
  }

  /** Saves a snapshot from the leader; entries that don't follow it are removed. */
  public installSnapshot(position: ISnapshotPosition, data: Uint8Array): Promise<void> {
    return this._snapshotting.run(async () => {
      const knownTerm = this.getTerm(position.index);
      await this._writeSnapshot(position, data);
      if (knownTerm !== position.term) {
        await this._startAfterSnapshot();
      }
    });
  }

  public readSnapshot(): Promise<SnapshotFile | undefined> {
    return this._snapshotting.run(() => readSnapshotFile(this._directory));
  }

  public async close(): Promise<void> {
    await this._snapshotting.run(() => this._log.close());
  }

  private _findOldestKept(snapshotIndex: number): number {
    let oldest = snapshotIndex + 1;
    let bytes = 0;
    while (oldest > this._firstIndex && snapshotIndex - oldest + 1 < TRAILING_ENTRIES) {
      bytes += measureCommand(this.getEntry(oldest - 1));
      if (bytes > TRAILING_BYTES) {
        break;
      }
      oldest -= 1;
    }
    return oldest;
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

  private async _startAfterSnapshot(): Promise<void> {
    this._entries = [];
    this._memberships = [];
    this._firstIndex = this._snapshot.index + 1;
    await this._log.reset(this._firstIndex);
  }

  /** Completes the installation of a snapshot that a crash interrupted. */
  private async _reconcileWithSnapshot(): Promise<void> {
    const { index, term } = this._snapshot;
    const entry = this.getEntry(index);
    const conflicts = entry !== undefined && Number(entry.term) !== term;
    if (this.lastIndex < index || conflicts) {
      await this._startAfterSnapshot();
    }
  }
}

async function openHardState(directory: IDataDirectory, memberId: string): Promise<HardState> {
  const bytes = await directory.read(HARD_STATE_FILE);
  if (bytes === undefined) {
    return createIdentity(directory, memberId);
  }
  const file = join(directory.path, HARD_STATE_FILE);
  if (!(await directory.hasLog())) {
    const remedy = 'Start this member with an empty data directory so that it joins again.';
    throw new StorageError('log_missing', file, undefined, 'the log files are missing', remedy);
  }
  const state = fromBinary(HardStateSchema, bytes);
  if (state.memberId !== memberId) {
    const problem = `the directory belongs to member ${state.memberId}, not to ${memberId}`;
    const remedy = 'Correct the member id or the data directory in the settings.';
    throw new StorageError('wrong_member', file, undefined, problem, remedy);
  }
  return state;
}

/** Gives an empty directory a new disk id. */
async function createIdentity(directory: IDataDirectory, memberId: string): Promise<HardState> {
  const { log, records } = await directory.openLog();
  const isEmpty = records.length === 0 && log.firstIndex === 1;
  await log.close();
  if (!isEmpty || (await directory.read(SNAPSHOT_FILE)) !== undefined) {
    const file = join(directory.path, HARD_STATE_FILE);
    const problem = 'the hard state is missing although log or snapshot files exist';
    const remedy = 'Start this member with an empty data directory so that it joins again.';
    throw new StorageError('hard_state_missing', file, undefined, problem, remedy);
  }
  const state = create(HardStateSchema, { memberId, diskId: generateIdentifier() });
  await saveHardState(directory, state);
  return state;
}

async function readSnapshotFile(directory: IDataDirectory): Promise<SnapshotFile | undefined> {
  const bytes = await directory.read(SNAPSHOT_FILE);
  return bytes === undefined ? undefined : fromBinary(SnapshotFileSchema, bytes);
}

function describeSnapshot(file: SnapshotFile | undefined): ISnapshotPosition {
  if (file?.membership === undefined) {
    return NO_SNAPSHOT;
  }
  const { membership } = file;
  return { index: Number(file.lastIndex), term: Number(file.lastTerm), membership };
}

function measureCommand(entry: LogEntry | undefined): number {
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
