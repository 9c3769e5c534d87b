/** A replicated log with leader election, snapshots and single-member membership changes. */
import { Code, ConnectError } from '@connectrpc/connect';
import { create } from '@bufbuild/protobuf';
import type { IClock } from '../common/Clock.js';
import { hasSameBytes } from '../common/Hashes.js';
import type { IEvent } from '../common/Lifecycle.js';
import { describeError, type ILog } from '../common/Log.js';
import { Err, Ok, type Result } from '../common/Result.js';
import type { ISuspensions } from '../common/Suspension.js';
import { addJitter, isAborted, runWithTimeout, sleep } from '../common/Tasks.js';
import {
  JoinRequestSchema,
  type AppendRequest,
  type AppendResponse,
  type JoinRequest,
  type JoinResponse,
  type SnapshotRequest,
  type SnapshotResponse,
  type VoteRequest,
  type VoteResponse,
  type WithdrawRequest,
  type WithdrawResponse,
  WithdrawRequestSchema,
} from '../gen/redwingwharf/v1/consensus_pb.js';
import { DataDirectory, type IDataDirectory } from '../storage/DataDirectory.js';
import { StorageError } from '../storage/StorageError.js';
import { ConsensusStore, bootstrapStore, type IGroupIdentity } from './ConsensusStore.js';
import { Elections } from './Elections.js';
import { Follower } from './Follower.js';
import { Leadership } from './Leadership.js';
import { MembershipChanges, type MembershipFailure } from './MembershipChanges.js';
import { findMember } from './Memberships.js';
import { MemberState } from './MemberState.js';
import type { IConsensusTimings } from './Timings.js';
import type { IConsensusTransport } from './Transport.js';
import type {
  ConsensusFailure,
  ICommitted,
  IConsensusStatus,
  IMembershipPolicy,
  IReplicatedLog,
  IStateMachine,
} from './Types.js';

/** Configuration and dependencies of a member. */
export interface IReplicatedLogOptions {
  readonly memberId: string;
  /** Address at which other members reach this one. */
  readonly address: string;
  /** Addresses to which join requests are sent; read again for each round. */
  readonly listPeers: () => readonly string[];
  /**
   * Lets the leader replace lost voters by learners, and a member that was replaced while it was
   * unreachable join again. Without a policy only an operator changes the voters of a group, and removed
   * members stay removed.
   */
  readonly policy?: IMembershipPolicy;
  readonly machine: IStateMachine;
  readonly transport: IConsensusTransport;
  readonly clock: IClock;
  /** Suspensions of the machine, which the clock does not count; none without it. */
  readonly suspensions?: ISuspensions;
  readonly log: ILog;
  readonly timings: IConsensusTimings;
  /** Returns numbers from 0 to 1 that randomise election timeouts and join intervals. */
  readonly random: () => number;
}

/** Implementation of the Connect service `ConsensusService`. */
export interface IConsensusHandlers {
  requestVote(request: VoteRequest): Promise<VoteResponse>;
  appendEntries(request: AppendRequest): Promise<AppendResponse>;
  installSnapshot(request: SnapshotRequest): Promise<SnapshotResponse>;
  join(request: JoinRequest, context: { readonly signal: AbortSignal }): Promise<JoinResponse>;
  withdraw(
    request: WithdrawRequest,
    context: { readonly signal: AbortSignal },
  ): Promise<WithdrawResponse>;
}

/**
 * Bootstraps a new group in an empty directory, with this member as its only voter. `skipsLock` opens the
 * directory without its lock file, see `DataDirectory.open`.
 *
 * @example
 * const bootstrapped = await bootstrapDataDirectory('/data', 'control-1', '10.0.0.1:7000');
 */
export async function bootstrapDataDirectory(
  path: string,
  memberId: string,
  address: string,
  skipsLock = false,
): Promise<Result<IGroupIdentity, StorageError>> {
  return tryStorageOperation(async () => {
    const directory = await DataDirectory.open(path, skipsLock);
    try {
      return await bootstrapStore(directory, memberId, address);
    } finally {
      await directory.close();
    }
  });
}

/** Returns a thrown `StorageError` as a failure; other errors propagate. */
async function tryStorageOperation<T>(run: () => Promise<T>): Promise<Result<T, StorageError>> {
  try {
    return Ok(await run());
  } catch (error) {
    if (error instanceof StorageError) {
      return Err(error);
    }
    throw error;
  }
}

/**
 * One member of the group: opens its durable state, runs its tasks and serves the calls of other members.
 *
 * @example
 * const directory = await DataDirectory.open('/data');
 * const opened = await ReplicatedLog.open(directory, options);
 * if (opened.ok) {
 *   router.service(ConsensusService, opened.val.handlers);
 *   opened.val.start();
 * }
 */
export class ReplicatedLog implements IReplicatedLog {
  public readonly onRoleChange: IEvent<IConsensusStatus>;
  /** Fires once if the member stops because of an error. */
  public readonly onFailure: IEvent<unknown>;
  public readonly handlers: IConsensusHandlers;

  private readonly _state: MemberState;
  private readonly _elections: Elections;
  private readonly _membershipChanges: MembershipChanges;
  private _tasks: Promise<unknown> = Promise.resolve();
  private _isWithdrawing = false;

  constructor(
    private readonly _store: ConsensusStore,
    private readonly _options: IReplicatedLogOptions,
  ) {
    const { address, clock, log, machine, transport, timings, random } = _options;
    const state = new MemberState(_store, address, clock, log, machine, _options.policy?.minVoters);
    this._state = state;
    this._membershipChanges = new MembershipChanges(state, timings, _options.policy);
    this._elections = new Elections(state, transport, timings, random, () => {
      this._startLeadership();
    });
    const follower = new Follower(state, timings);
    this.onRoleChange = state.roleChanges.onFire;
    this.onFailure = state.failures.onFire;
    this.handlers = {
      requestVote: (request) => this._serve(() => this._elections.handleVote(request)),
      appendEntries: (request) => this._serve(() => follower.handleAppend(request)),
      installSnapshot: (request) => this._serve(() => follower.handleSnapshot(request)),
      join: (request, context) => this._serve(() => this._handleJoin(request, context.signal)),
      withdraw: (request, context) =>
        this._serve(() => this._handleWithdraw(request, context.signal)),
    };
  }

  /**
   * Opens the durable state and restores the last snapshot. Fails if the state is damaged or belongs to
   * another member.
   */
  public static open(
    directory: IDataDirectory,
    options: IReplicatedLogOptions,
  ): Promise<Result<ReplicatedLog, StorageError>> {
    return tryStorageOperation(async () => {
      const store = await ConsensusStore.open(directory, options.memberId);
      const file = await store.readSnapshot();
      if (file !== undefined) {
        options.machine.restore(file.data);
      }
      const log = new ReplicatedLog(store, options);
      log._state.applyRecordedCommits();
      return log;
    });
  }

  public get status(): IConsensusStatus {
    return this._state.status;
  }

  /** The error that stopped this member, if one did. */
  public get failure(): unknown {
    return this._state.failure;
  }

  /** Starts the election and join tasks. */
  public start(): void {
    const { signal } = this._state;
    const tasks = [this._elections.run(signal), this._joinWhenNeeded(signal)];
    this._tasks = Promise.all(tasks).catch((error: unknown) => {
      this._state.fail(error);
    });
  }

  public async propose(
    command: Uint8Array,
    signal: AbortSignal,
  ): Promise<Result<ICommitted, ConsensusFailure>> {
    const leadership = this._requireLeadership();
    return leadership.ok
      ? leadership.val.propose({ case: 'command', value: command }, signal)
      : leadership;
  }

  public getConfirmedAt(): number | undefined {
    const { leadership, clock } = this._state;
    const now = clock.now();
    const confirmedAt =
      leadership instanceof Leadership ? leadership.getConfirmedAt(now) : undefined;
    const resumedAt = this._options.suspensions?.getResumedAt(now) ?? Number.NEGATIVE_INFINITY;
    // Another leader may have been elected while this machine was suspended.
    return confirmedAt !== undefined && confirmedAt >= resumedAt ? confirmedAt : undefined;
  }

  /**
   * Removes a member for good; leader only. Stop its process first: a running member whose disk is empty
   * would send join requests again.
   */
  public async removeMember(
    memberId: string,
    signal: AbortSignal,
  ): Promise<Result<void, MembershipFailure>> {
    const leadership = this._requireLeadership();
    return leadership.ok
      ? this._membershipChanges.remove(leadership.val, memberId, signal)
      : leadership;
  }

  /**
   * Asks the leader to take the vote of this member, which is about to stop, until this member knows that it
   * did, or until the signal is aborted. Meanwhile the member does not join again. The leader refuses while
   * the group has no voter to spare, for example until a successor has caught up.
   */
  public async withdraw(signal: AbortSignal): Promise<void> {
    this._isWithdrawing = true;
    const limited = AbortSignal.any([signal, this._state.signal]);
    let outcome: string | undefined;
    while (!isAborted(limited) && !this._hasWithdrawn()) {
      const previous = outcome;
      outcome = await this._tryWithdraw(limited);
      if (outcome !== previous) {
        this._options.log.info('withdrawal requested', { outcome });
      }
      await sleep(this._options.timings.heartbeatIntervalMs, limited);
    }
  }

  /** Stops the tasks and closes the log. The caller closes the data directory. */
  public async stop(): Promise<void> {
    this._state.stop();
    await this._tasks;
    await this._state.mutex.run(() => this._store.close());
    this._state.roleChanges.dispose();
  }

  private _requireLeadership(): Result<Leadership, ConsensusFailure> {
    if (isAborted(this._state.signal)) {
      return Err({ kind: 'stopped', message: 'This member is stopping; ask another one.' });
    }
    const { leadership, leaderAddress } = this._state;
    if (!(leadership instanceof Leadership)) {
      const message = 'This member does not lead; ask the leader.';
      return Err({ kind: 'not_leader', message, leaderAddress });
    }
    return Ok(leadership);
  }

  private _startLeadership(): void {
    const { transport, timings } = this._options;
    const leadership = new Leadership(this._state, transport, timings, (active) => {
      this._membershipChanges.reconcileVoters(active);
    });
    this._state.startLeadership(leadership);
    leadership.start();
  }

  /** Runs a handler. An unexpected error stops the member, because its state may be wrong. */
  private async _serve<T>(run: () => Promise<T>): Promise<T> {
    if (isAborted(this._state.signal)) {
      throw new ConnectError('This member is stopping; ask another one.', Code.Unavailable);
    }
    try {
      return await run();
    } catch (error) {
      this._state.fail(error);
      throw new ConnectError(describeError(error), Code.Unavailable);
    }
  }

  private _handleJoin(request: JoinRequest, signal: AbortSignal): Promise<JoinResponse> {
    const { leadership } = this._state;
    const active = leadership instanceof Leadership ? leadership : undefined;
    return this._membershipChanges.handleJoin(active, request, signal);
  }

  private _handleWithdraw(
    request: WithdrawRequest,
    signal: AbortSignal,
  ): Promise<WithdrawResponse> {
    const { leadership } = this._state;
    const active = leadership instanceof Leadership ? leadership : undefined;
    return this._membershipChanges.handleWithdraw(active, request, signal);
  }

  private _hasWithdrawn(): boolean {
    const self = findMember(this._state.membership, this._state.identity);
    return self === undefined || self.withdrawn;
  }

  /** Sends one withdrawal request; returns its outcome, for the log. */
  private async _tryWithdraw(signal: AbortSignal): Promise<string> {
    const { transport, timings, address } = this._options;
    const { leaderAddress, identity } = this._state;
    const { memberId, diskId } = identity;
    const request = create(WithdrawRequestSchema, {
      memberId,
      diskId,
      clusterId: this._store.clusterId,
    });
    if (leaderAddress === undefined) {
      return 'no leader is known';
    }
    try {
      const response = await runWithTimeout(signal, timings.callTimeoutMs, (limited) =>
        leaderAddress === address
          ? this._handleWithdraw(request, limited)
          : transport.withdraw(leaderAddress, request, limited),
      );
      return response.accepted ? 'accepted' : response.reason;
    } catch (error) {
      return describeError(error);
    }
  }

  /**
   * Sends join requests while the disk is empty, and when the membership has an outdated address of this
   * member. A disk with entries that is not in the membership was removed, or replaced under a policy; only
   * with a policy does it ask to join again.
   */
  private async _joinWhenNeeded(signal: AbortSignal): Promise<void> {
    let leaderAddress: string | undefined;
    while (!isAborted(signal)) {
      if (this._needsJoin()) {
        for (const address of this._listJoinAddresses(leaderAddress)) {
          leaderAddress = await this._tryJoin(address, signal);
          if (leaderAddress !== undefined || !this._needsJoin()) {
            break;
          }
        }
      }
      await sleep(
        addJitter(this._options.timings.joinRetryIntervalMs, this._options.random),
        signal,
      );
    }
  }

  private _needsJoin(): boolean {
    if (this._isWithdrawing) {
      return false;
    }
    if (this._store.lastIndex === 0) {
      return true;
    }
    const self = findMember(this._state.membership, this._state.identity);
    if (self?.address === this._options.address && !self.withdrawn) {
      return this._mayHaveBeenReplaced();
    }
    return self !== undefined || this._options.policy !== undefined;
  }

  /** True if no leader was heard from for so long that another member may have replaced this one. */
  private _mayHaveBeenReplaced(): boolean {
    const { policy, clock } = this._options;
    const { role, lastContactAt } = this._state;
    const silentMs = clock.now() - lastContactAt;
    return policy !== undefined && role !== 'leader' && silentMs > policy.lostVoterTimeoutMs;
  }

  private _listJoinAddresses(leaderAddress: string | undefined): string[] {
    const memberAddresses = this._state.membership.members.map((member) => member.address);
    const preferred = leaderAddress ?? this._state.leaderAddress;
    const addresses = [
      ...(preferred === undefined ? [] : [preferred]),
      ...this._options.listPeers(),
      ...memberAddresses,
    ];
    return [...new Set(addresses)].filter((address) => address !== this._options.address);
  }

  /** Sends one join request; returns the leader's address if the response names it. */
  private async _tryJoin(address: string, signal: AbortSignal): Promise<string | undefined> {
    const { transport, timings, log } = this._options;
    const request = create(JoinRequestSchema, {
      memberId: this._state.identity.memberId,
      diskId: this._state.identity.diskId,
      address: this._options.address,
      clusterId: this._store.clusterId,
    });
    try {
      const response = await runWithTimeout(signal, timings.joinTimeoutMs, (limited) =>
        transport.join(address, request, limited),
      );
      if (response.accepted) {
        await this._joinGroup(response.clusterId);
      } else {
        log.info('join request refused', { address, reason: response.reason });
      }
      return response.leaderAddress === '' ? undefined : response.leaderAddress;
    } catch (error) {
      if (error instanceof StorageError) {
        throw error;
      }
      log.debug('join request failed', { address, error });
      return undefined;
    }
  }

  private _joinGroup(clusterId: Uint8Array): Promise<void> {
    return this._state.mutex.run(() => {
      const currentClusterId = this._store.clusterId;
      if (currentClusterId.length === 0) {
        this._store.joinGroup(clusterId);
      } else if (!hasSameBytes(currentClusterId, clusterId)) {
        this._options.log.error('a member of another group admitted this disk');
      }
      return Promise.resolve();
    });
  }
}
