/** The follower's side of replication: stores entries and snapshots that a leader sends. */
import { create } from '@bufbuild/protobuf';
import { crc32 } from 'node:zlib';
import { isSettledWithin } from '../common/Tasks.js';
import {
  AppendResponseSchema,
  SnapshotResponseSchema,
  type AppendRequest,
  type AppendResponse,
  type LogEntry,
  type Sender,
  type SnapshotRequest,
  type SnapshotResponse,
} from '../gen/redwingwharf/v1/consensus_pb.js';
import type { ISnapshotPosition } from './ConsensusStore.js';
import { InvariantError } from './InvariantError.js';
import type { MemberState } from './MemberState.js';
import type { IConsensusTimings } from './Timings.js';

/** Chunks of a snapshot received so far. */
interface IPartialSnapshot {
  readonly index: number;
  readonly term: number;
  readonly leaderTerm: number;
  readonly chunks: Uint8Array[];
  size: number;
}

/** Answers a leader's appends and snapshot chunks, and checks them against the log and the term. */
export class Follower {
  private _partialSnapshot: IPartialSnapshot | undefined;
  /** The step of a leader that is running, and the term of that leader. */
  private _running: { readonly term: number; readonly step: Promise<unknown> } | undefined;
  /** Last index that was stored for the leader of a term. */
  private _stored = { term: 0, index: 0 };

  constructor(
    private readonly _state: MemberState,
    private readonly _timings: IConsensusTimings,
  ) {}

  /** Answers an append, which is a heartbeat if it has no entries. */
  public handleAppend(request: AppendRequest): Promise<AppendResponse> {
    const { sender } = request;
    const previousIndex = Number(request.previousIndex);
    return this._runStep(
      sender,
      async () => {
        if (!(await this._acceptLeader(sender, request.leaderAddress))) {
          return this._respondToAppend(false, 0);
        }
        const retryIndex = this._findRetryIndex(request);
        if (retryIndex !== undefined) {
          return this._respondToAppend(false, retryIndex);
        }
        return this._storeEntries(request);
      },
      () => this._respondToAppend(false, previousIndex, true),
    );
  }

  /** Answers one chunk of a snapshot. While the whole snapshot is being stored, the last chunk is asked for again. */
  public handleSnapshot(request: SnapshotRequest): Promise<SnapshotResponse> {
    return this._runStep(
      request.sender,
      async () => {
        if (!(await this._acceptLeader(request.sender, undefined))) {
          return this._respondToSnapshot(0);
        }
        if (Number(request.lastIndex) <= this._state.commitIndex) {
          this._partialSnapshot = undefined;
          return this._respondToSnapshot(Number(request.totalSize));
        }
        return this._receiveChunk(request);
      },
      () => this._respondToSnapshot(Number(request.offset)),
    );
  }

  /**
   * Runs a step of the leader's. If the disk takes longer than a heartbeat interval, the step goes on and the leader
   * gets the response of a busy member meanwhile, so that it does not take the member for lost.
   */
  private async _runStep<T>(
    sender: Sender | undefined,
    step: () => Promise<T>,
    createBusyResponse: () => T,
  ): Promise<T> {
    this._recordContact(sender);
    const { heartbeatIntervalMs } = this._timings;
    if (!this._state.isSameGroup(sender) || Number(sender.term) < this._state.term) {
      return this._state.mutex.run(step);
    }
    const term = Number(sender.term);
    const earlier = this._running?.term === term ? this._running.step : undefined;
    if (earlier !== undefined && !(await isSettledWithin(earlier, heartbeatIntervalMs))) {
      return createBusyResponse();
    }
    const result = this._state.mutex.run(step);
    const running = { term, step: result };
    this._running = running;
    const isDone = await isSettledWithin(result, heartbeatIntervalMs);
    if (isDone) {
      this._running = this._running === running ? undefined : this._running;
      return result;
    }
    result.catch((error: unknown) => {
      this._state.fail(error);
    });
    return createBusyResponse();
  }

  /** Restarts the election timer before the message waits for the disk: a slow disk causes no election. */
  private _recordContact(sender: Sender | undefined): void {
    if (this._state.isSameGroup(sender) && Number(sender.term) === this._state.term) {
      this._state.recordContact();
    }
  }

  /**
   * Follows the sender unless its term is old. The sender need not be in this member's membership, which
   * may be older than the election: a leader needs the votes of a majority, and voters refuse candidates
   * outside the membership.
   */
  private async _acceptLeader(
    sender: Sender | undefined,
    address: string | undefined,
  ): Promise<boolean> {
    const state = this._state;
    if (!state.isSameGroup(sender) || Number(sender.term) < state.term) {
      return false;
    }
    if (Number(sender.term) > state.term) {
      await state.enterTerm(Number(sender.term));
    }
    state.lostDisks.recordContact(sender);
    state.acceptLeader(sender, address);
    state.recordContact();
    return true;
  }

  /** Undefined if the entries continue the log; otherwise the index after which the leader retries. */
  private _findRetryIndex(request: AppendRequest): number | undefined {
    const { store, commitIndex } = this._state;
    const previous = Number(request.previousIndex);
    if (previous <= commitIndex) {
      return undefined;
    }
    if (previous > store.lastIndex) {
      return store.lastIndex;
    }
    const term = store.getTerm(previous);
    if (term === Number(request.previousTerm)) {
      return undefined;
    }
    let index = previous - 1;
    while (index > commitIndex && store.getTerm(index) === term) {
      index -= 1;
    }
    return index;
  }

  private async _storeEntries(request: AppendRequest): Promise<AppendResponse> {
    const state = this._state;
    const last = Number(request.previousIndex) + request.entries.length;
    const missing = this._selectMissing(request.entries);
    const first = missing[0];
    if (first !== undefined && Number(first.index) <= state.store.lastIndex) {
      await this._truncate(Number(first.index));
    }
    // Also waits for entries that this member appended as leader and that are not synced yet.
    await state.store.append(missing);
    this._recordStored(last);
    const commitIndex = Math.min(Number(request.commitIndex), last);
    if (commitIndex > state.commitIndex) {
      state.advanceCommit(commitIndex);
    }
    return this._respondToAppend(true, last);
  }

  /** The entries from the first one on that this log lacks or holds with another term. */
  private _selectMissing(entries: readonly LogEntry[]): readonly LogEntry[] {
    const { store, commitIndex } = this._state;
    const start = entries.findIndex((entry) => {
      const index = Number(entry.index);
      const term = store.getTerm(index);
      const conflicts = term !== undefined && term !== Number(entry.term);
      if (conflicts && index <= commitIndex) {
        throw new InvariantError(`the leader would overwrite the committed entry ${index}`);
      }
      return index > commitIndex && term !== Number(entry.term);
    });
    return start === -1 ? [] : entries.slice(start);
  }

  private async _truncate(index: number): Promise<void> {
    if (index <= this._state.commitIndex) {
      throw new InvariantError(`the committed entry ${index} would be removed`);
    }
    await this._state.store.truncateSuffix(index);
  }

  private async _receiveChunk(request: SnapshotRequest): Promise<SnapshotResponse> {
    const partial = this._ensurePartialSnapshot(request);
    if (Number(request.offset) !== partial.size) {
      return this._respondToSnapshot(partial.size);
    }
    partial.chunks.push(request.data);
    partial.size += request.data.length;
    if (!request.done) {
      return this._respondToSnapshot(partial.size);
    }
    this._partialSnapshot = undefined;
    const data = Buffer.concat(partial.chunks);
    if (data.length !== Number(request.totalSize) || crc32(data) !== request.crc32) {
      this._state.log.warn('snapshot damaged in transfer', { index: partial.index });
      return this._respondToSnapshot(0);
    }
    await this._install(request, data);
    return this._respondToSnapshot(data.length);
  }

  private _ensurePartialSnapshot(request: SnapshotRequest): IPartialSnapshot {
    const index = Number(request.lastIndex);
    const term = Number(request.lastTerm);
    const leaderTerm = this._state.term;
    const current = this._partialSnapshot;
    if (current?.index === index && current.term === term && current.leaderTerm === leaderTerm) {
      return current;
    }
    this._partialSnapshot = { index, term, leaderTerm, chunks: [], size: 0 };
    return this._partialSnapshot;
  }

  private async _install(request: SnapshotRequest, data: Uint8Array): Promise<void> {
    const { membership } = request;
    if (membership === undefined) {
      throw new InvariantError('the snapshot of the leader has no membership');
    }
    const index = Number(request.lastIndex);
    const position: ISnapshotPosition = { index, term: Number(request.lastTerm), membership };
    await this._state.store.installSnapshot(position, data);
    this._state.restore(data, index);
    this._recordStored(index);
    this._state.log.info('snapshot installed', { index, bytes: data.length });
  }

  /** Records that the entries of the leader of this term are stored up to an index. */
  private _recordStored(index: number): void {
    const { term } = this._state;
    const previous = this._stored.term === term ? this._stored.index : 0;
    this._stored = { term, index: Math.max(previous, index) };
  }

  private _respondToAppend(success: boolean, matchIndex: number, pending = false): AppendResponse {
    const sender = this._state.createSender();
    return create(AppendResponseSchema, {
      sender,
      success,
      matchIndex: BigInt(matchIndex),
      pending,
      storedIndex: BigInt(this._stored.term === this._state.term ? this._stored.index : 0),
    });
  }

  private _respondToSnapshot(nextOffset: number): SnapshotResponse {
    const sender = this._state.createSender();
    return create(SnapshotResponseSchema, { sender, nextOffset: BigInt(nextOffset) });
  }
}
