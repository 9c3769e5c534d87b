/** Runs the consensus member of a process whose targets announce themselves. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { ConnectRouter } from '@connectrpc/connect';
import { Code, ConnectError } from '@connectrpc/connect';
import type { IClock } from '../common/Clock.js';
import type { IEvent } from '../common/Lifecycle.js';
import { describeError, type ILog } from '../common/Log.js';
import type { RpcClients } from '../common/Rpc.js';
import { NO_SUSPENSIONS, type ISuspensions } from '../common/Suspension.js';
import { isAborted, sleep } from '../common/Tasks.js';
import {
  bootstrapDataDirectory,
  ReplicatedLog,
  type IConsensusHandlers,
} from '../consensus/ReplicatedLog.js';
import { DEFAULT_TIMINGS } from '../consensus/Timings.js';
import { RpcConsensusTransport } from '../consensus/Transport.js';
import type { ISuspectParts } from '../fleet/CrashEvidence.js';
import type { IFleetMember } from '../fleet/FleetNode.js';
import { FleetState } from '../fleet/FleetState.js';
import { ConsensusService } from '../gen/redwingwharf/v1/consensus_pb.js';
import { TargetListSchema, type TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import { DataDirectory } from '../storage/DataDirectory.js';
import { StorageError } from '../storage/StorageError.js';

/** Delay before the data directory is opened again after a failure. */
const REOPEN_DELAY_MS = 1_000;

/** Interval of the checks whether the targets have changed and must be saved. */
const TARGETS_SAVE_INTERVAL_MS = 2_000;

/** Shortest time between two saves. */
const MIN_SAVE_INTERVAL_MS = 100;

/** File with the targets that were saved last. */
const TARGETS_FILE = 'targets';

/** Longer than any election timeout, so that a change of the leader does not make voters look lost. */
const LOST_VOTER_TIMEOUT_MS = 1_500;

/** Consensus groups don't shrink below this size, which still tolerates the loss of one member. */
const MIN_VOTERS = 3;

/** Tolerates the loss of three members. With more voters, each change would only wait for more disks. */
const MAX_VOTERS = 7;

/**
 * What this process saves and restores for a restart of all processes: the targets, so that requests are served
 * sooner and within their limits, and the quarantine, so that it loses no further target. All of it is soft state.
 */
export interface ITargetCache {
  list(): readonly TargetRecord[];
  restore(records: readonly TargetRecord[]): void;
  listSuspects(): readonly ISuspectParts[];
  restoreSuspects(suspects: readonly ISuspectParts[]): void;
  /** Fires when the suspects or the limit of a target have changed, which are then saved without delay. */
  readonly onChange: IEvent<unknown>;
}

export interface IMemberOptions {
  readonly dataFolder: string;
  /** Internal address. It is also the member's id, so that a new disk at this address replaces the old one. */
  readonly address: string;
  /** Returns the currently known addresses of processes that can admit this member to the consensus group. */
  readonly listPeers: () => readonly string[];
  /** Number of members that may be lost at the same time, with their disks. */
  readonly toleratedLosses: number;
  /** Whether this process bootstraps the consensus group if its data directory is empty. */
  readonly mayBootstrap: boolean;
}

/**
 * Opens the data directory and the replicated log, serves the consensus RPCs, and reopens both after a disk
 * failure, so that the process stays in service. Also saves the targets of the process in the data directory.
 */
export class MemberHost {
  private _handlers: IConsensusHandlers | undefined;
  /** Aborted when this process begins to stop. */
  private readonly _withdrawal = new AbortController();

  constructor(
    private readonly _options: IMemberOptions,
    private readonly _rpc: RpcClients,
    private readonly _clock: IClock,
    private readonly _log: ILog,
    private readonly _setMember: (member: IFleetMember | undefined) => void,
    private readonly _targetCache: ITargetCache,
    private readonly _suspensions: ISuspensions = NO_SUSPENSIONS,
  ) {}

  public registerRpc(router: ConnectRouter): void {
    router.service(ConsensusService, {
      requestVote: (request) => this._requireHandlers().requestVote(request),
      appendEntries: (request) => this._requireHandlers().appendEntries(request),
      installSnapshot: (request) => this._requireHandlers().installSnapshot(request),
      join: (request, context) => this._requireHandlers().join(request, context),
      withdraw: (request, context) => this._requireHandlers().withdraw(request, context),
    });
  }

  /**
   * Gives up the vote of this member if the group has one to spare, because this process is about to stop. It
   * goes on as a learner until then.
   */
  public withdraw(): void {
    this._withdrawal.abort();
  }

  /** Takes part in the consensus group until the signal is aborted; reopens the data directory after a failure. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      try {
        await this._runOnce(signal);
      } catch (error) {
        this._log.error('member failed', { reason: describeError(error) });
      }
      this._handlers = undefined;
      this._setMember(undefined);
      await sleep(REOPEN_DELAY_MS, signal);
    }
  }

  private async _runOnce(signal: AbortSignal): Promise<void> {
    await this._bootstrapIfEmpty();
    const directory = await DataDirectory.open(this._options.dataFolder, true);
    const state = new FleetState();
    const opened = await ReplicatedLog.open(directory, {
      memberId: this._options.address,
      address: this._options.address,
      listPeers: this._options.listPeers,
      policy: {
        lostVoterTimeoutMs: LOST_VOTER_TIMEOUT_MS,
        minVoters: Math.max(MIN_VOTERS, 2 * this._options.toleratedLosses + 1),
        maxVoters: MAX_VOTERS,
      },
      machine: state,
      transport: new RpcConsensusTransport(this._rpc),
      clock: this._clock,
      suspensions: this._suspensions,
      log: this._log,
      timings: DEFAULT_TIMINGS,
      random: Math.random,
    });
    if (opened.err) {
      await directory.close();
      throw opened.val;
    }
    const replicatedLog = opened.val;
    const memberFailed = new AbortController();
    replicatedLog.onFailure((error) => {
      this._log.error('member stopped', { reason: describeError(error) });
      memberFailed.abort();
    });
    replicatedLog.onRoleChange(({ role, term, leaderAddress }) => {
      this._log.info('control role changed', { role, term, leaderAddress });
    });
    await this._restoreTargets(directory);
    this._handlers = replicatedLog.handlers;
    this._setMember({ log: replicatedLog, state });
    replicatedLog.start();
    const stopSignal = AbortSignal.any([signal, memberFailed.signal]);
    try {
      await Promise.all([
        this._saveTargets(directory, stopSignal),
        this._withdrawOnRequest(replicatedLog, stopSignal),
      ]);
    } finally {
      // A log that still runs would write to the files that the next one opens.
      await replicatedLog.stop();
      await directory.close();
    }
  }

  private async _withdrawOnRequest(log: ReplicatedLog, signal: AbortSignal): Promise<void> {
    while (!isAborted(signal) && !isAborted(this._withdrawal.signal)) {
      await sleep(Number.POSITIVE_INFINITY, signal, this._withdrawal.signal);
    }
    await log.withdraw(signal);
  }

  private async _restoreTargets(directory: DataDirectory): Promise<void> {
    try {
      const content = await directory.read(TARGETS_FILE);
      if (content !== undefined) {
        const { targets, suspects } = fromBinary(TargetListSchema, content);
        this._targetCache.restore(targets);
        this._targetCache.restoreSuspects(suspects);
        this._log.info('targets restored', { targets: targets.length, suspects: suspects.length });
      }
    } catch (error) {
      // Not fatal: targets announce themselves again within one or two seconds.
      this._log.warn('saved targets cannot be read', { reason: describeError(error) });
    }
  }

  /** Saves the targets and the quarantine whenever they have changed, until the signal is aborted. */
  private async _saveTargets(directory: DataDirectory, signal: AbortSignal): Promise<void> {
    let savedFingerprint = '';
    let changed = new AbortController();
    const subscription = this._targetCache.onChange(() => {
      changed.abort();
    });
    while (!isAborted(signal)) {
      await sleep(MIN_SAVE_INTERVAL_MS, signal);
      await sleep(TARGETS_SAVE_INTERVAL_MS - MIN_SAVE_INTERVAL_MS, changed.signal, signal);
      changed = new AbortController();
      const targets = this._targetCache.list();
      const suspects = this._targetCache.listSuspects().filter((entry) => entry.quarantined);
      const fingerprint = buildFingerprint(targets, suspects);
      if (fingerprint !== savedFingerprint && !isAborted(signal)) {
        const list = create(TargetListSchema, {
          targets: [...targets],
          suspects: suspects.map(({ parts }) => ({ parts: [...parts], quarantined: true })),
        });
        try {
          await directory.replace(TARGETS_FILE, toBinary(TargetListSchema, list));
          savedFingerprint = fingerprint;
        } catch (error) {
          // Not fatal: the list is soft state. A disk that fails shows in the replicated log.
          this._log.warn('targets not saved', { reason: describeError(error) });
        }
      }
    }
    subscription.dispose();
  }

  private async _bootstrapIfEmpty(): Promise<void> {
    const { mayBootstrap, dataFolder, address } = this._options;
    if (!mayBootstrap) {
      return;
    }
    const result = await bootstrapDataDirectory(dataFolder, address, address, true);
    if (result.ok) {
      this._log.info('consensus group bootstrapped', { member: address });
    } else if (!(result.val instanceof StorageError && result.val.kind === 'not_empty')) {
      throw result.val;
    }
  }

  private _requireHandlers(): IConsensusHandlers {
    if (this._handlers === undefined) {
      throw new ConnectError('The disk of this member is not open; ask another.', Code.Unavailable);
    }
    return this._handlers;
  }
}

/** Covers the fields that matter after a restart; the sequence number of announcements is not one of them. */
function buildFingerprint(
  targets: readonly TargetRecord[],
  suspects: readonly ISuspectParts[],
): string {
  return [
    ...targets.map(
      ({ id, born, phase, models, rateLimit, softwareVersion }) =>
        `${id} ${born} ${phase} ${models[0]?.version ?? ''} ${rateLimit ?? ''} ${softwareVersion}`,
    ),
    ...suspects.map(({ parts }) => parts.join('+')),
  ].join();
}
