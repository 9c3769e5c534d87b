/** Admission of new requests to the target while its engine loads weights. */
import type { ILog } from '../common/Log.js';
import { describeError } from '../common/Log.js';
import type { RpcClients } from '../common/Rpc.js';
import { isAborted, sleep } from '../common/Tasks.js';
import {
  RosterService,
  type AnnounceRequest,
  type TargetStatus,
} from '../gen/redwingwharf/v1/control_pb.js';
import type { ITargetSettings } from '../settings/Types.js';
import type { Announcer } from './Announcer.js';
import type { DispatchHandler } from './DispatchHandler.js';
import type { TargetWatcher } from './TargetWatcher.js';

const ROSTER_READ_TIMEOUT_MS = 500;
const POLL_RETRY_INTERVAL_MS = 100;

/** Entries whose rosters are read to count the peers before a load. */
const MAX_QUERIED_ENTRIES = 4;

/** Number of other engines of the same model, according to the entries' rosters. */
export interface IPeerCount {
  readonly total: number;
  /** Engines that are healthy and not draining, so that they accept new requests. */
  readonly serving: number;
}

/** Lets the weights reconciler check the target and stop new requests to it during a load of weights. */
export interface ITargetAdmission {
  readonly isHealthy: boolean;
  /** Weights version that the last successful poll of the target returned. */
  readonly weightsVersion: string;
  /** True when the target is being taken out of service, as opposed to loading weights. */
  readonly isDrainRequested: boolean;
  /** Number of requests that the target has not answered completely. */
  readonly openCount: number;
  /** Refuses new requests and announces the target as draining. */
  pauseAdmission(): void;
  /** Polls the target until a poll succeeds or the signal is aborted, then accepts new requests again. */
  resumeAdmission(signal: AbortSignal): Promise<void>;
  /** Returns undefined when no entry answers. */
  countPeers(signal: AbortSignal): Promise<IPeerCount | undefined>;
}

/**
 * Controls the admission by means of the watcher, the announcer and the dispatch handler of a sidecar.
 */
export class TargetAdmission implements ITargetAdmission {
  constructor(
    private readonly _target: ITargetSettings,
    private readonly _entries: readonly string[],
    private readonly _watcher: TargetWatcher,
    private readonly _announcer: Announcer,
    private readonly _dispatchHandler: DispatchHandler,
    private readonly _clients: RpcClients,
    private readonly _log: ILog,
  ) {}

  public get isHealthy(): boolean {
    return this._watcher.state.isHealthy;
  }

  public get weightsVersion(): string {
    return this._watcher.state.weightsVersion;
  }

  public get isDrainRequested(): boolean {
    return this._announcer.isDrainRequested;
  }

  public get openCount(): number {
    return this._dispatchHandler.openCount;
  }

  public pauseAdmission(): void {
    this._announcer.setLoading(true);
  }

  public async resumeAdmission(signal: AbortSignal): Promise<void> {
    // With the state from before the load, a dispatch would run on other weights than its ticket names.
    while (!isAborted(signal) && !(await this._pollTarget(signal))) {
      await sleep(POLL_RETRY_INTERVAL_MS, signal);
    }
    // One announcement reports both the new weights and the end of the load to the entries.
    this._announcer.setLoading(false);
  }

  public async countPeers(signal: AbortSignal): Promise<IPeerCount | undefined> {
    const rosters = await Promise.all(
      this._entries.slice(0, MAX_QUERIED_ENTRIES).map((entry) => this._readRoster(entry, signal)),
    );
    const counts = rosters.flatMap((targets) =>
      targets === undefined ? [] : [this._countPeers(targets)],
    );
    if (counts.length === 0) {
      return undefined;
    }
    // The entry with the fewest serving engines decides: it would refuse requests of its clients.
    return {
      total: Math.max(...counts.map(({ total }) => total)),
      serving: Math.min(...counts.map(({ serving }) => serving)),
    };
  }

  private async _pollTarget(signal: AbortSignal): Promise<boolean> {
    try {
      await this._watcher.pollOnce(signal);
      return true;
    } catch (error) {
      this._log.debug('poll of the target after a load failed', { error: describeError(error) });
      return false;
    }
  }

  /** Identifiers of the other engines of the model; empty when no entry answers. */
  public async listPeers(signal: AbortSignal): Promise<readonly string[]> {
    for (const entry of this._entries) {
      const targets = await this._readRoster(entry, signal);
      if (targets !== undefined) {
        return this._filterPeers(targets).map(({ target }) => target);
      }
    }
    return [];
  }

  private async _readRoster(
    entry: string,
    signal: AbortSignal,
  ): Promise<readonly TargetStatus[] | undefined> {
    try {
      const client = this._clients.get(RosterService, entry);
      const status = await client.getEntryStatus({}, { signal, timeoutMs: ROSTER_READ_TIMEOUT_MS });
      return status.targets;
    } catch (error) {
      this._log.debug('reading the roster of an entry failed', {
        entry,
        error: describeError(error),
      });
      return undefined;
    }
  }

  private _countPeers(targets: readonly TargetStatus[]): IPeerCount {
    const peers = this._filterPeers(targets);
    const serving = peers.filter(({ healthy, draining }) => healthy && !draining);
    return { total: peers.length, serving: serving.length };
  }

  private _filterPeers(targets: readonly TargetStatus[]): AnnounceRequest[] {
    return targets
      .flatMap(({ announcement }) => (announcement === undefined ? [] : [announcement]))
      .filter(({ target, model }) => model === this._target.model && target !== this._target.id);
  }
}
