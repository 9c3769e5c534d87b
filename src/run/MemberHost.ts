/** Keeps the member of the replicated log of one process open, also after its disk failed. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { ConnectRouter } from '@connectrpc/connect';
import { Code, ConnectError } from '@connectrpc/connect';
import type { IClock } from '../common/Clock.js';
import { describeError, type ILog } from '../common/Log.js';
import type { RpcClients } from '../common/Rpc.js';
import { isAborted, sleep } from '../common/Tasks.js';
import {
  initialiseDataFolder,
  ReplicatedLog,
  type IConsensusHandlers,
} from '../consensus/ReplicatedLog.js';
import { DEFAULT_TIMINGS } from '../consensus/Timings.js';
import { RpcConsensusTransport } from '../consensus/Transport.js';
import type { IFleetMember } from '../fleet/FleetNode.js';
import { FleetState } from '../fleet/FleetState.js';
import { ConsensusService } from '../gen/redwingwharf/v1/consensus_pb.js';
import { TargetListSchema, type TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import { DataDirectory } from '../storage/DataDirectory.js';
import { StorageError } from '../storage/StorageError.js';

/** Pause before a disk that failed is opened again. */
const REOPEN_MS = 1_000;

/** Between two looks whether the kept targets have changed. */
const KEEP_TARGETS_MS = 2_000;

/** File with the targets that were known last. */
const TARGETS_FILE = 'targets';

/** Longer than a planned restart (2 s), and than a machine counts as lost after its return (4 s). */
const LOST_VOTER_MS = 6_000;

/** A group that has shrunk to this still bears the loss of one. */
const MIN_VOTERS = 3;

/** Bears the loss of three; more voters would only make each change wait for more disks. */
const MAX_VOTERS = 7;

/** Soft state that shortens the time to the first answer after a restart of all processes. */
export interface IKeptTargets {
  list(): readonly TargetRecord[];
  restore(records: readonly TargetRecord[]): void;
}

export interface IMemberOptions {
  readonly dataFolder: string;
  /** Internal address; also the member's id, so that a new disk at the address replaces the old one. */
  readonly address: string;
  /** Addresses of processes to ask for admission, as known now. */
  readonly listPeers: () => readonly string[];
  /** Members that may be lost at once, with their disks. */
  readonly toleratedLosses: number;
  /** True: this process founds the group if its disk is empty. */
  readonly isFounder: boolean;
}

export class MemberHost {
  private _handlers: IConsensusHandlers | undefined;

  constructor(
    private readonly _options: IMemberOptions,
    private readonly _rpc: RpcClients,
    private readonly _clock: IClock,
    private readonly _log: ILog,
    private readonly _setMember: (member: IFleetMember | undefined) => void,
    private readonly _targets: IKeptTargets,
  ) {}

  public registerRpc(router: ConnectRouter): void {
    router.service(ConsensusService, {
      requestVote: (request) => this._requireHandlers().requestVote(request),
      appendEntries: (request) => this._requireHandlers().appendEntries(request),
      installSnapshot: (request) => this._requireHandlers().installSnapshot(request),
      join: (request, context) => this._requireHandlers().join(request, context),
    });
  }

  /** Takes part in the group until the signal is aborted; opens the disk anew after a failure. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      try {
        await this._runOnce(signal);
      } catch (error) {
        this._log.error('member failed', { reason: describeError(error) });
      }
      this._handlers = undefined;
      this._setMember(undefined);
      await sleep(REOPEN_MS, signal);
    }
  }

  private async _runOnce(signal: AbortSignal): Promise<void> {
    await this._initialiseIfEmpty();
    const directory = await DataDirectory.open(this._options.dataFolder, true);
    const state = new FleetState();
    const opened = await ReplicatedLog.open(directory, {
      memberId: this._options.address,
      address: this._options.address,
      listPeers: this._options.listPeers,
      policy: {
        lostVoterMs: LOST_VOTER_MS,
        minVoters: Math.max(MIN_VOTERS, 2 * this._options.toleratedLosses + 1),
        maxVoters: MAX_VOTERS,
      },
      machine: state,
      transport: new RpcConsensusTransport(this._rpc),
      clock: this._clock,
      log: this._log,
      timings: DEFAULT_TIMINGS,
      random: Math.random,
    });
    if (opened.err) {
      await directory.close();
      throw opened.val;
    }
    const log = opened.val;
    const failed = new AbortController();
    log.onFailure((error) => {
      this._log.error('member stopped', { reason: describeError(error) });
      failed.abort();
    });
    log.onRoleChange(({ role, term, leaderAddress }) => {
      this._log.info('control role changed', { role, term, leaderAddress });
    });
    await this._restoreTargets(directory);
    this._handlers = log.handlers;
    this._setMember({ log, state });
    log.start();
    const ended = AbortSignal.any([signal, failed.signal]);
    await this._keepTargets(directory, ended);
    await log.stop();
    await directory.close();
  }

  private async _restoreTargets(directory: DataDirectory): Promise<void> {
    try {
      const content = await directory.read(TARGETS_FILE);
      if (content !== undefined) {
        const { targets } = fromBinary(TargetListSchema, content);
        this._targets.restore(targets);
        this._log.info('targets restored', { targets: targets.length });
      }
    } catch (error) {
      // They announce themselves anew within a second or two.
      this._log.warn('kept targets cannot be read', { reason: describeError(error) });
    }
  }

  /** Writes the targets down when they change, until the signal is aborted. */
  private async _keepTargets(directory: DataDirectory, signal: AbortSignal): Promise<void> {
    let written = '';
    while (!isAborted(signal)) {
      await sleep(KEEP_TARGETS_MS, signal);
      const targets = this._targets.list();
      const current = describeTargets(targets);
      if (current !== written && !isAborted(signal)) {
        await directory.replace(
          TARGETS_FILE,
          toBinary(TargetListSchema, create(TargetListSchema, { targets: [...targets] })),
        );
        written = current;
      }
    }
  }

  private async _initialiseIfEmpty(): Promise<void> {
    const { isFounder, dataFolder, address } = this._options;
    if (!isFounder) {
      return;
    }
    const founded = await initialiseDataFolder(dataFolder, address, address, true);
    if (founded.ok) {
      this._log.info('group founded', { member: address });
    } else if (!(founded.val instanceof StorageError && founded.val.kind === 'not_empty')) {
      throw founded.val;
    }
  }

  private _requireHandlers(): IConsensusHandlers {
    if (this._handlers === undefined) {
      throw new ConnectError('The disk of this member is not open; ask another.', Code.Unavailable);
    }
    return this._handlers;
  }
}

/** Changes with whatever matters after a restart; the sequence of announcements does not. */
function describeTargets(targets: readonly TargetRecord[]): string {
  return targets
    .map(({ id, born, phase, models }) => `${id} ${born} ${phase} ${models[0]?.version ?? ''}`)
    .join();
}
