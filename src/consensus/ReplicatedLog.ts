/** A replicated log with terms, elections, snapshots and single-step membership changes. */
import { Code, ConnectError } from '@connectrpc/connect';
import { create } from '@bufbuild/protobuf';
import type { IClock } from '../common/Clock.js';
import { hasSameBytes } from '../common/Hashes.js';
import type { IEvent } from '../common/Lifecycle.js';
import { describeError, type ILog } from '../common/Log.js';
import { Err, Ok, type Result } from '../common/Result.js';
import { addJitter, isAborted, runWithLimit, sleep } from '../common/Tasks.js';
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
} from '../gen/redwingwharf/v1/consensus_pb.js';
import { DataDirectory, type IDataDirectory } from '../storage/DataDirectory.js';
import { StorageError } from '../storage/StorageError.js';
import { ConsensusStore, initialiseStore, type IFoundedGroup } from './ConsensusStore.js';
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

/** What a member is made of. */
export interface IReplicatedLogOptions {
  readonly memberId: string;
  /** Address under which other members reach this one. */
  readonly address: string;
  /** Addresses to ask for admission while the disk is empty; they may change meanwhile. */
  readonly listPeers: () => readonly string[];
  /**
   * Replaces lost voters by learners, and lets a member that was replaced while it was cut off join again.
   * Without it only an operator changes the voters of a group, and removed members stay removed.
   */
  readonly policy?: IMembershipPolicy;
  readonly machine: IStateMachine;
  readonly transport: IConsensusTransport;
  readonly clock: IClock;
  readonly log: ILog;
  readonly timings: IConsensusTimings;
  /** Numbers from 0 to 1, for election timeouts. */
  readonly random: () => number;
}

/** Implementation of the Connect service `ConsensusService`. */
export interface IConsensusHandlers {
  requestVote(request: VoteRequest): Promise<VoteResponse>;
  appendEntries(request: AppendRequest): Promise<AppendResponse>;
  installSnapshot(request: SnapshotRequest): Promise<SnapshotResponse>;
  join(request: JoinRequest, context: { readonly signal: AbortSignal }): Promise<JoinResponse>;
}

/**
 * Makes an empty directory the founding member of a new group.
 *
 * @example
 * const founded = await initialiseDataFolder('/data', 'control-1', '10.0.0.1:7000');
 */
export async function initialiseDataFolder(
  path: string,
  memberId: string,
  address: string,
  isExclusive = false,
): Promise<Result<IFoundedGroup, StorageError>> {
  return runStorageStep(async () => {
    const directory = await DataDirectory.open(path, isExclusive);
    try {
      return await initialiseStore(directory, memberId, address);
    } finally {
      await directory.close();
    }
  });
}

async function runStorageStep<T>(run: () => Promise<T>): Promise<Result<T, StorageError>> {
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
 * One member of the group.
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
  private readonly _changes: MembershipChanges;
  private _tasks: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly _store: ConsensusStore,
    private readonly _options: IReplicatedLogOptions,
  ) {
    const { address, clock, log, machine, transport, timings, random } = _options;
    const state = new MemberState(_store, address, clock, log, machine);
    this._state = state;
    this._changes = new MembershipChanges(state, timings, _options.policy);
    this._elections = new Elections(state, transport, timings, random, () => {
      this._startLeadership();
    });
    const follower = new Follower(state);
    this.onRoleChange = state.roleChanges.onFire;
    this.onFailure = state.failures.onFire;
    this.handlers = {
      requestVote: (request) => this._serve(() => this._elections.handleVote(request)),
      appendEntries: (request) => this._serve(() => follower.handleAppend(request)),
      installSnapshot: (request) => this._serve(() => follower.handleSnapshot(request)),
      join: (request, context) => this._serve(() => this._handleJoin(request, context.signal)),
    };
  }

  /** Opens the durable state and restores the last snapshot. Refuses damaged or foreign state. */
  public static open(
    directory: IDataDirectory,
    options: IReplicatedLogOptions,
  ): Promise<Result<ReplicatedLog, StorageError>> {
    return runStorageStep(async () => {
      const store = await ConsensusStore.open(directory, options.memberId);
      const file = await store.readSnapshot();
      if (file !== undefined) {
        options.machine.restore(file.data);
      }
      return new ReplicatedLog(store, options);
    });
  }

  public get status(): IConsensusStatus {
    return this._state.status;
  }

  /** The error that stopped this member, if one did. */
  public get failure(): unknown {
    return this._state.failure;
  }

  /** Starts the tasks of this member. */
  public start(): void {
    const { signal } = this._state;
    const tasks = [this._elections.run(signal), this._joinWhileUnknown(signal)];
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
    const { leadership } = this._state;
    return leadership instanceof Leadership
      ? leadership.getConfirmedAt(this._state.clock.now())
      : undefined;
  }

  /**
   * Removes a member for good; leader only. Stop its process first: an empty disk that still runs asks
   * to join again.
   */
  public async removeMember(
    memberId: string,
    signal: AbortSignal,
  ): Promise<Result<void, MembershipFailure>> {
    const leadership = this._requireLeadership();
    return leadership.ok ? this._changes.remove(leadership.val, memberId, signal) : leadership;
  }

  /** Ends the tasks and closes the log. The data directory is closed by its owner. */
  public async stop(): Promise<void> {
    this._state.stop();
    await this._tasks;
    await this._state.exclusive.run(() => this._store.close());
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
      this._changes.promoteIfReady(active);
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
    return this._changes.handleJoin(active, request, signal);
  }

  /**
   * Asks for admission while the disk is empty, and for a new address when the membership has another
   * one. A disk with entries that is not in the membership was removed and does not ask.
   */
  private async _joinWhileUnknown(signal: AbortSignal): Promise<void> {
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
      await sleep(addJitter(this._options.timings.joinRetryMs, this._options.random), signal);
    }
  }

  private _needsJoin(): boolean {
    if (this._store.lastIndex === 0) {
      return true;
    }
    const self = findMember(this._state.membership, this._state.pair);
    if (self?.address === this._options.address) {
      return this._mayBeReplaced();
    }
    return self !== undefined || this._options.policy !== undefined;
  }

  /** True if no leader was heard of for so long that another member may have this one's place. */
  private _mayBeReplaced(): boolean {
    const { policy, clock } = this._options;
    const { role, lastContactAt } = this._state;
    const silentMs = clock.now() - lastContactAt;
    return policy !== undefined && role !== 'leader' && silentMs > policy.lostVoterMs;
  }

  private _listJoinAddresses(leaderAddress: string | undefined): string[] {
    const known = this._state.membership.members.map((member) => member.address);
    const first = leaderAddress ?? this._state.leaderAddress;
    const addresses = [
      ...(first === undefined ? [] : [first]),
      ...this._options.listPeers(),
      ...known,
    ];
    return [...new Set(addresses)].filter((address) => address !== this._options.address);
  }

  /** Returns the address of the leader if the member at the address knows it. */
  private async _tryJoin(address: string, signal: AbortSignal): Promise<string | undefined> {
    const { transport, timings, log } = this._options;
    const request = create(JoinRequestSchema, {
      memberId: this._state.pair.memberId,
      diskId: this._state.pair.diskId,
      address: this._options.address,
      clusterId: this._store.clusterId,
    });
    try {
      const response = await runWithLimit(signal, timings.joinMs, (limited) =>
        transport.join(address, request, limited),
      );
      if (response.accepted) {
        await this._enterGroup(response.clusterId);
      } else {
        log.info('not admitted yet', { address, reason: response.reason });
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

  private _enterGroup(clusterId: Uint8Array): Promise<void> {
    return this._state.exclusive.run(async () => {
      const known = this._store.clusterId;
      if (known.length === 0) {
        await this._store.saveClusterId(clusterId);
      } else if (!hasSameBytes(known, clusterId)) {
        this._options.log.error('a member of another group admitted this disk');
      }
    });
  }
}
