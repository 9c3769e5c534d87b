/**
 * The leader's side of replication for one term: a task per other member sends entries, heartbeats and
 * snapshots, and another task steps down when contact with a majority is lost.
 */
import { create } from '@bufbuild/protobuf';
import { crc32 } from 'node:zlib';
import { Err, type Result } from '../common/Result.js';
import { isAborted, isSettledWithin, runWithTimeout, sleep } from '../common/Tasks.js';
import {
  AppendRequestSchema,
  LogEntrySchema,
  SnapshotRequestSchema,
  type AppendRequest,
  type AppendResponse,
  type LogEntry,
  type Member,
  type Sender,
  type SnapshotFile,
} from '../gen/redwingwharf/v1/consensus_pb.js';
import { measureCommand } from './ConsensusStore.js';
import type { IActiveLeadership, MemberState } from './MemberState.js';
import {
  findMember,
  formatMemberIdentity,
  isSameMember,
  isVoter,
  selectQuorumValue,
  getMemberIdentity,
  type IMemberIdentity,
} from './Memberships.js';
import type { IConsensusTimings } from './Timings.js';
import type { IConsensusTransport } from './Transport.js';
import type { ConsensusFailure, ICommitted } from './Types.js';

/** Limits of one append request. */
const MAX_APPEND_ENTRIES = 1_024;
const MAX_APPEND_BYTES = 1024 * 1024;

/** Commits that take longer are logged. */
const SLOW_COMMIT_MS = 500;

/** After the timeout of a call the next one is sent, and the answer of the first one is awaited for this many in all. */
const MAX_CALL_TIMEOUTS = 2;

/** Slowest link to a member for which the time limit of a call leaves room. */
const MIN_TRANSFER_BYTES_PER_MS = 1_000;

/** Bytes of a snapshot in one call; transferred in less than an election timeout, as no heartbeats are sent meanwhile. */
const SNAPSHOT_CHUNK_BYTES = 256 * 1024;

type EntryBody = LogEntry['body'];

/** Replication progress of another member. */
interface IPeer {
  readonly member: Member;
  readonly controller: AbortController;
  nextIndex: number;
  matchIndex: number;
  /** Start of the last call that the member acknowledged. */
  confirmedAt: number | undefined;
  /** When the last answer arrived; before the first one, when replication started. */
  contactAt: number;
  /** Milliseconds that the last answer took. */
  answerMs: number;
  /** True while the member's disk stores what it got last; it gets heartbeats only. */
  isStoring: boolean;
  /** True while entries are on their way to the member; it gets heartbeats only, since these must not wait for large entries. */
  isTransferring: boolean;
  wake: () => void;
}

/** When an entry that is not committed yet was appended here, and when it was durable here. */
interface IPendingEntry {
  readonly appendedAt: number;
  durableAt?: number;
}

/** Leads the group for one term, from the election until it steps down. Proposals go through it. */
export class Leadership implements IActiveLeadership {
  public readonly term: number;
  private readonly _controller = new AbortController();
  private readonly _peers = new Map<string, IPeer>();
  /** The entries of this term that are not committed yet, by index. */
  private readonly _pendingEntries = new Map<number, IPendingEntry>();
  private _noOpIndex = 0;
  private _durableIndex = 0;

  constructor(
    private readonly _state: MemberState,
    private readonly _transport: IConsensusTransport,
    private readonly _timings: IConsensusTimings,
    private readonly _onTick: (leadership: Leadership) => void,
  ) {
    this.term = _state.term;
  }

  public get signal(): AbortSignal {
    return this._controller.signal;
  }

  /** True once an entry of this term is committed, and with it all entries of earlier terms. */
  public get isEstablished(): boolean {
    return this._noOpIndex > 0 && this._state.commitIndex >= this._noOpIndex;
  }

  /** True if a membership change may be proposed: the previous one must be committed. */
  public get canChangeMembership(): boolean {
    return this.isEstablished && this._state.store.membership.index <= this._state.commitIndex;
  }

  public start(): void {
    this._noOpIndex = this._append({ case: 'noOp', value: true });
    this._runTask(this._watchQuorum());
  }

  public stop(): void {
    this._controller.abort();
    for (const peer of this._peers.values()) {
      stopPeer(peer);
    }
    this._peers.clear();
  }

  /** Appends an entry and waits until it is committed and applied. */
  public async propose(
    body: EntryBody,
    signal: AbortSignal,
  ): Promise<Result<ICommitted, ConsensusFailure>> {
    if (isAborted(this.signal)) {
      const message = 'This member no longer leads; ask the new leader.';
      return Err({ kind: 'not_leader', message, leaderAddress: this._state.leaderAddress });
    }
    const index = this._append(body);
    return this._state.waitForCommit(index, signal);
  }

  /** Start of the last heartbeat round that a majority acknowledged; undefined before there is one. */
  public getConfirmedAt(now: number): number | undefined {
    if (!this.isEstablished) {
      return undefined;
    }
    const time = this._selectQuorumTime(now, (peer) => peer.confirmedAt);
    return Number.isFinite(time) ? time : undefined;
  }

  /** Start of the last call that a member acknowledged; undefined if it acknowledged none. */
  public getMemberConfirmedAt(identity: IMemberIdentity): number | undefined {
    return this._peers.get(formatMemberIdentity(identity))?.confirmedAt;
  }

  /**
   * Like `getMemberConfirmedAt`, but for a member that has not acknowledged any call yet the time when this
   * leader began to replicate to it; undefined for identities that it does not replicate to.
   */
  public getMemberContactAt(identity: IMemberIdentity): number | undefined {
    return this._peers.get(formatMemberIdentity(identity))?.contactAt;
  }

  /** Last log index known to be durable on a member. */
  public getMatchIndex(identity: IMemberIdentity): number {
    return this._peers.get(formatMemberIdentity(identity))?.matchIndex ?? 0;
  }

  private _append(body: EntryBody): number {
    const { store, commitIndex } = this._state;
    const index = store.lastIndex + 1;
    const entry = create(LogEntrySchema, {
      index: BigInt(index),
      term: BigInt(this.term),
      body,
      commitIndex: BigInt(commitIndex),
    });
    this._pendingEntries.set(index, { appendedAt: this._state.clock.now() });
    this._runTask(this._persistEntry(entry));
    if (body.case !== 'command') {
      this._reconcilePeers();
    }
    this._resumeReplication();
    return index;
  }

  private _resumeReplication(): void {
    for (const peer of this._peers.values()) {
      peer.wake();
    }
  }

  private async _persistEntry(entry: LogEntry): Promise<void> {
    await this._state.store.append([entry]);
    const index = Number(entry.index);
    this._durableIndex = Math.max(this._durableIndex, index);
    const pending = this._pendingEntries.get(index);
    if (pending !== undefined) {
      pending.durableAt = this._state.clock.now();
    }
    this._advanceCommit();
  }

  private _runTask(task: Promise<void>): void {
    task.catch((error: unknown) => {
      this._state.fail(error);
    });
  }

  /** Starts and stops replication tasks to match the current membership. */
  private _reconcilePeers(): void {
    const { membership, identity } = this._state;
    for (const [key, peer] of this._peers) {
      const member = findMember(membership, getMemberIdentity(peer.member));
      if (member?.address !== peer.member.address) {
        stopPeer(peer);
        this._peers.delete(key);
      }
    }
    for (const member of membership.members) {
      const key = formatMemberIdentity(getMemberIdentity(member));
      if (!isSameMember(getMemberIdentity(member), identity) && !this._peers.has(key)) {
        const peer = this._createPeer(member);
        this._peers.set(key, peer);
        this._runTask(this._replicateTo(peer));
      }
    }
  }

  private _createPeer(member: Member): IPeer {
    return {
      member,
      controller: new AbortController(),
      nextIndex: this._state.store.lastIndex + 1,
      matchIndex: 0,
      confirmedAt: undefined,
      contactAt: this._state.clock.now(),
      answerMs: 0,
      isStoring: false,
      isTransferring: false,
      wake: () => undefined,
    };
  }

  /** Replicates to one member until its signal is aborted. */
  private async _replicateTo(peer: IPeer): Promise<void> {
    const { signal } = peer.controller;
    while (!isAborted(signal)) {
      const startedAt = this._state.clock.now();
      const isAnswered = await this._sendNext(peer, startedAt, signal);
      if (!isAnswered) {
        await sleep(this._timings.heartbeatIntervalMs, signal);
      } else if (peer.isTransferring || peer.nextIndex > this._state.store.lastIndex) {
        await this._waitForEntryOrHeartbeat(peer, startedAt);
      }
    }
  }

  /** Waits until there is a new entry, a transfer has ended, or the next heartbeat is due. */
  private async _waitForEntryOrHeartbeat(peer: IPeer, startedAt: number): Promise<void> {
    const wakeUp = new AbortController();
    peer.wake = () => {
      wakeUp.abort();
    };
    const remainingMs = startedAt + this._timings.heartbeatIntervalMs - this._state.clock.now();
    await sleep(Math.max(0, remainingMs), wakeUp.signal);
  }

  /** Sends the next entries, or the snapshot if they were compacted; false without a valid response. */
  private async _sendNext(peer: IPeer, startedAt: number, signal: AbortSignal): Promise<boolean> {
    const { store } = this._state;
    const previousTerm = store.getTerm(peer.nextIndex - 1);
    try {
      if (previousTerm === undefined || !this._hasEntry(peer.nextIndex)) {
        return await this._sendSnapshot(peer, signal);
      }
      return await this._sendAppend(peer, this._createAppendRequest(peer, previousTerm), startedAt);
    } catch (error) {
      this._state.log.debug('append failed', { address: peer.member.address, error });
      return false;
    }
  }

  /**
   * Sends entries or a heartbeat; false without an answer in time. One that comes later still counts. Entries that take longer
   * than a heartbeat interval are left to their transfer.
   */
  private async _sendAppend(
    peer: IPeer,
    request: AppendRequest,
    startedAt: number,
  ): Promise<boolean> {
    const { callTimeoutMs, heartbeatIntervalMs } = this._timings;
    const { signal } = peer.controller;
    const hasEntries = request.entries.length > 0;
    const timeoutMs = MAX_CALL_TIMEOUTS * callTimeoutMs + computeTransferMs(request.entries);
    peer.isTransferring ||= hasEntries;
    const answer = runWithTimeout(signal, timeoutMs, async (limited) => {
      const { address } = peer.member;
      const response = await this._transport.appendEntries(address, request, limited);
      return this._handleAppendResponse(peer, request, response, startedAt);
    }).finally(() => {
      if (hasEntries) {
        peer.isTransferring = false;
        peer.wake();
      }
    });
    if (await isSettledWithin(answer, hasEntries ? heartbeatIntervalMs : callTimeoutMs)) {
      return answer;
    }
    answer.catch((error: unknown) => {
      this._state.log.debug('append failed', { address: peer.member.address, error });
    });
    return hasEntries;
  }

  private _hasEntry(index: number): boolean {
    const { store } = this._state;
    return index > store.lastIndex || store.getEntry(index) !== undefined;
  }

  private _createAppendRequest(peer: IPeer, previousTerm: number): AppendRequest {
    const { store, commitIndex, address } = this._state;
    const { nextIndex } = peer;
    const isBusy = peer.isStoring || peer.isTransferring;
    return create(AppendRequestSchema, {
      sender: this._state.createSender(),
      previousIndex: BigInt(nextIndex - 1),
      previousTerm: BigInt(previousTerm),
      commitIndex: BigInt(commitIndex),
      entries: isBusy ? [] : store.listEntries(nextIndex, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES),
      leaderAddress: address,
    });
  }

  private async _handleAppendResponse(
    peer: IPeer,
    request: AppendRequest,
    response: AppendResponse,
    startedAt: number,
  ): Promise<boolean> {
    const { sender } = response;
    if (sender === undefined || !(await this._acceptResponse(peer, sender, startedAt))) {
      return false;
    }
    peer.isStoring = response.pending;
    const storedIndex = Number(sender.term) === this.term ? Number(response.storedIndex) : 0;
    if (response.pending) {
      if (storedIndex > peer.matchIndex) {
        this._recordMatch(peer, storedIndex);
      }
      return true;
    }
    const matchIndex = Number(response.matchIndex);
    if (response.success) {
      const sent = Number(request.previousIndex) + request.entries.length;
      // A member that has just stored earlier entries reports more than this request had.
      this._recordMatch(peer, Math.max(Math.min(matchIndex, sent), storedIndex));
      return true;
    }
    peer.nextIndex = Math.max(1, Math.min(peer.nextIndex - 1, matchIndex + 1));
    return true;
  }

  /** Records the contact; false if the response is not from the expected member in this term. */
  private async _acceptResponse(
    peer: IPeer,
    sender: AppendResponse['sender'],
    startedAt: number,
  ): Promise<boolean> {
    if (isAborted(peer.controller.signal)) {
      return false;
    }
    const identity = getMemberIdentity(peer.member);
    const now = this._state.clock.now();
    if (sender !== undefined && isJoining(sender, identity)) {
      peer.contactAt = now;
      return false;
    }
    if (!this._state.isExpectedResponse(sender, identity)) {
      return false;
    }
    if (Number(sender.term) > this.term) {
      await this._state.observeTerm(Number(sender.term));
      return false;
    }
    this._state.lostDisks.recordContact(sender);
    peer.confirmedAt = Math.max(peer.confirmedAt ?? startedAt, startedAt);
    peer.contactAt = now;
    peer.answerMs = now - startedAt;
    return true;
  }

  private _recordMatch(peer: IPeer, matchIndex: number): void {
    peer.matchIndex = Math.max(peer.matchIndex, matchIndex);
    // The answer to a heartbeat may follow that to entries that were sent before it.
    peer.nextIndex = peer.matchIndex + 1;
    this._advanceCommit();
  }

  private async _sendSnapshot(peer: IPeer, signal: AbortSignal): Promise<boolean> {
    const file = await this._state.store.readSnapshot();
    if (file?.membership === undefined) {
      return false;
    }
    let offset = 0;
    do {
      const startedAt = this._state.clock.now();
      const request = this._createSnapshotRequest(file, offset);
      const timeoutMs =
        this._timings.callTimeoutMs + request.data.length / MIN_TRANSFER_BYTES_PER_MS;
      const response = await runWithTimeout(signal, timeoutMs, (limited) =>
        this._transport.installSnapshot(peer.member.address, request, limited),
      );
      if (!(await this._acceptResponse(peer, response.sender, startedAt))) {
        return false;
      }
      const nextOffset = Number(response.nextOffset);
      if (nextOffset < offset || (nextOffset === offset && !request.done)) {
        return false;
      }
      offset = nextOffset;
    } while (offset < file.data.length);
    this._recordMatch(peer, Number(file.lastIndex));
    return true;
  }

  private _createSnapshotRequest(
    file: SnapshotFile,
    offset: number,
  ): ReturnType<typeof create<typeof SnapshotRequestSchema>> {
    const end = Math.min(offset + SNAPSHOT_CHUNK_BYTES, file.data.length);
    return create(SnapshotRequestSchema, {
      sender: this._state.createSender(),
      lastIndex: file.lastIndex,
      lastTerm: file.lastTerm,
      ...(file.membership === undefined ? {} : { membership: file.membership }),
      offset: BigInt(offset),
      data: file.data.subarray(offset, end),
      done: end === file.data.length,
      totalSize: BigInt(file.data.length),
      crc32: crc32(file.data),
    });
  }

  /** Commits up to the index that each quorum holds, if that entry is of this term. */
  private _advanceCommit(): void {
    const state = this._state;
    if (isAborted(this.signal)) {
      return;
    }
    const getStoredIndex = (voter: Member): number =>
      isSameMember(getMemberIdentity(voter), state.identity)
        ? this._durableIndex
        : this.getMatchIndex(getMemberIdentity(voter));
    const index = Math.min(
      ...state.commitQuorums.map((quorum) => selectQuorumValue(quorum, getStoredIndex)),
    );
    if (index > state.commitIndex && state.store.getTerm(index) === this.term) {
      const { index: membershipIndex } = state.store.membership;
      const isChangeCommitted = state.commitIndex < membershipIndex && membershipIndex <= index;
      this._logSlowCommit(index);
      state.advanceCommit(index);
      if (isChangeCommitted) {
        // Until the others know of the commit, an election may need votes of the group before the change.
        this._resumeReplication();
      }
      this._stepDownIfRemoved();
      if (isChangeCommitted && state.isHalvable && !isAborted(this.signal)) {
        // Half of this group may have to elect a leader after a restart, and only if it is known to be committed.
        this._append({ case: 'noOp', value: true });
      }
    }
  }

  /** Logs the oldest of the entries that are committed now if it took long, with the part of this member's own disk. */
  private _logSlowCommit(index: number): void {
    const now = this._state.clock.now();
    const committed = [...this._pendingEntries].filter(([pending]) => pending <= index);
    const [oldest] = committed;
    for (const [committedIndex] of committed) {
      this._pendingEntries.delete(committedIndex);
    }
    if (oldest !== undefined && now - oldest[1].appendedAt > SLOW_COMMIT_MS) {
      const [firstIndex, { appendedAt, durableAt = now }] = oldest;
      this._state.log.info('slow commit', {
        index: firstIndex,
        entries: committed.length,
        content: this._state.store.getEntry(firstIndex)?.body.case,
        tookMs: Math.round(now - appendedAt),
        ownDiskMs: Math.round(durableAt - appendedAt),
      });
    }
  }

  /** Steps down once its own removal, or the withdrawal of its vote, is committed. */
  private _stepDownIfRemoved(): void {
    const { membership, index } = this._state.store.membership;
    if (!isVoter(membership, this._state.identity) && index <= this._state.commitIndex) {
      this._state.log.info('this member is no longer a voter');
      this._state.stepDown();
    }
  }

  /**
   * Steps down when no majority has answered for the minimum election timeout, and for as long as the answers took before:
   * where processes are short of processor time, a new leader would be no faster.
   */
  private async _watchQuorum(): Promise<void> {
    while (!isAborted(this.signal)) {
      await sleep(this._timings.heartbeatIntervalMs, this.signal);
      const now = this._state.clock.now();
      const { minElectionTimeoutMs, maxElectionTimeoutMs } = this._timings;
      const contactAt = this._selectQuorumTime(
        now,
        (peer) => peer.contactAt + Math.min(peer.answerMs, maxElectionTimeoutMs),
      );
      if (!isAborted(this.signal) && now - contactAt > minElectionTimeoutMs) {
        this._state.log.warn('contact with a majority lost, stepping down', {
          term: this.term,
        });
        this._state.stepDown();
        return;
      }
      this._onTick(this);
    }
  }

  private _selectQuorumTime(now: number, getTime: (peer: IPeer) => number | undefined): number {
    const { quorum, identity } = this._state;
    return selectQuorumValue(quorum, (voter) => {
      if (isSameMember(getMemberIdentity(voter), identity)) {
        return now;
      }
      const peer = this._peers.get(formatMemberIdentity(getMemberIdentity(voter)));
      return (peer === undefined ? undefined : getTime(peer)) ?? Number.NEGATIVE_INFINITY;
    });
  }
}

/** Time in milliseconds that entries take over the slowest link. */
function computeTransferMs(entries: readonly LogEntry[]): number {
  const bytes = entries.reduce((sum, entry) => sum + measureCommand(entry), 0);
  return bytes / MIN_TRANSFER_BYTES_PER_MS;
}

/** True if a disk that was admitted does not know yet to which group it belongs, as its join request is unanswered. */
function isJoining(sender: Sender, identity: IMemberIdentity): boolean {
  return sender.clusterId.length === 0 && isSameMember(sender, identity);
}

function stopPeer(peer: IPeer): void {
  peer.controller.abort();
  peer.wake();
}
