/** New work of the target while its engine loads weights. */
import type { ILog } from '../common/Log.js';
import { describeError } from '../common/Log.js';
import type { RpcClients } from '../common/Rpc.js';
import { isAborted, sleep } from '../common/Tasks.js';
import {
  RosterService,
  type AnnounceRequest,
  type TargetStatus,
} from '../gen/redwingwharf/v1/control_pb.js';
import type { ITargetRole } from '../settings/Types.js';
import type { Announcer } from './Announcer.js';
import type { Dispatches } from './Dispatches.js';
import type { TargetWatcher } from './TargetWatcher.js';

const ASK_TIMEOUT_MS = 500;
const REFRESH_PAUSE_MS = 100;

/** Entries asked for the peers before a load. */
const MAX_ASKED = 4;

/** Other engines of the same model, as an entry knows them. */
export interface IPeerCount {
  readonly known: number;
  /** Those that take new work. */
  readonly serving: number;
}

/** What a load of weights needs to know and to hold back. */
export interface ITargetWork {
  readonly isHealthy: boolean;
  /** Weights that the last poll of the target found. */
  readonly weightsVersion: string;
  /** True when the target is being taken out of service. */
  readonly isLeaving: boolean;
  /** Requests that the target has not answered completely. */
  readonly open: number;
  /** Refuses new work and tells the entries. */
  hold(): void;
  /** Reads the target's state and takes new work again. */
  resume(signal: AbortSignal): Promise<void>;
  /** Returns undefined when no entry answers. */
  countPeers(signal: AbortSignal): Promise<IPeerCount | undefined>;
}

/** Joins the watcher, the announcer and the dispatches of a sidecar. */
export class TargetWork implements ITargetWork {
  constructor(
    private readonly _target: ITargetRole,
    private readonly _entries: readonly string[],
    private readonly _watcher: TargetWatcher,
    private readonly _announcer: Announcer,
    private readonly _dispatches: Dispatches,
    private readonly _clients: RpcClients,
    private readonly _log: ILog,
  ) {}

  public get isHealthy(): boolean {
    return this._watcher.state.isHealthy;
  }

  public get weightsVersion(): string {
    return this._watcher.state.weightsVersion;
  }

  public get isLeaving(): boolean {
    return this._announcer.isLeaving;
  }

  public get open(): number {
    return this._dispatches.open;
  }

  public hold(): void {
    this._announcer.setLoading(true);
  }

  public async resume(signal: AbortSignal): Promise<void> {
    // A dispatch by the state before the load would run on weights that its ticket does not name.
    while (!isAborted(signal) && !(await this._refresh(signal))) {
      await sleep(REFRESH_PAUSE_MS, signal);
    }
    // The entries learn of the new weights and of the end of the load by the same announcement.
    this._announcer.setLoading(false);
  }

  public async countPeers(signal: AbortSignal): Promise<IPeerCount | undefined> {
    const rosters = await Promise.all(
      this._entries.slice(0, MAX_ASKED).map((entry) => this._readRoster(entry, signal)),
    );
    const counts = rosters.flatMap((targets) =>
      targets === undefined ? [] : [this._countPeers(targets)],
    );
    if (counts.length === 0) {
      return undefined;
    }
    // The entry that knows of the fewest serving engines decides: its callers would be refused.
    return {
      known: Math.max(...counts.map(({ known }) => known)),
      serving: Math.min(...counts.map(({ serving }) => serving)),
    };
  }

  private async _refresh(signal: AbortSignal): Promise<boolean> {
    try {
      await this._watcher.pollOnce(signal);
      return true;
    } catch (error) {
      this._log.debug('poll after a load failed', { error: describeError(error) });
      return false;
    }
  }

  /** Identifiers of the other engines of the model; empty when no entry answers. */
  public async listPeers(signal: AbortSignal): Promise<readonly string[]> {
    for (const entry of this._entries) {
      const targets = await this._readRoster(entry, signal);
      if (targets !== undefined) {
        return this._listPeers(targets).map(({ target }) => target);
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
      const status = await client.getEntryStatus({}, { signal, timeoutMs: ASK_TIMEOUT_MS });
      return status.targets;
    } catch (error) {
      this._log.debug('no roster', { entry, error: describeError(error) });
      return undefined;
    }
  }

  private _countPeers(targets: readonly TargetStatus[]): IPeerCount {
    const peers = this._listPeers(targets);
    const serving = peers.filter(({ healthy, draining }) => healthy && !draining);
    return { known: peers.length, serving: serving.length };
  }

  private _listPeers(targets: readonly TargetStatus[]): AnnounceRequest[] {
    return targets
      .flatMap(({ announcement }) => (announcement === undefined ? [] : [announcement]))
      .filter(({ target, model }) => model === this._target.model && target !== this._target.id);
  }
}
