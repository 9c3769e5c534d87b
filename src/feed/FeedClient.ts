/** Keeps a copy of the configuration items in sync with a feed server. */
import type { IClock } from '../common/Clock.js';
import { describeError, type ILog } from '../common/Log.js';
import type { RpcClients } from '../common/Rpc.js';
import { runPeriodically } from '../common/Tasks.js';
import { FeedService } from '../gen/redwingwharf/v1/control_pb.js';
import type { FeedCopy } from './FeedCopy.js';

/** Interval of sync requests. Three hops take less than the 4 s within which a change must be in force. */
export const SYNC_INTERVAL_MS = 500;

/** Timeout of a sync request, after which another server is used. */
const SYNC_TIMEOUT_MS = 700;

/** A server lags if its copy was last confirmed longer ago than this; another server is used then. */
const MAX_SERVER_CONFIRMATION_AGE_MS = 1_000;

/**
 * Polls one server of a list; switches to another one when it fails or lags, and to the leader when
 * reported.
 */
export class FeedClient {
  private _server: string;
  private _runningSync: Promise<void> | undefined;
  /** The sync that starts when the running one has ended. */
  private _queuedSync: Promise<void> | undefined;

  constructor(
    private readonly _copy: FeedCopy,
    private readonly _servers: readonly string[],
    /** Instance name of this process, sent with each request. */
    private readonly _instance: string,
    /** Prefixes of the keys to copy; all keys if empty. */
    private readonly _prefixes: readonly string[],
    private readonly _clients: RpcClients,
    private readonly _clock: IClock,
    private readonly _log: ILog,
    private readonly _random: () => number = Math.random,
  ) {
    this._server = this._pickServer();
  }

  /** Syncs until the signal is aborted. */
  public async run(signal: AbortSignal): Promise<void> {
    await runPeriodically(
      SYNC_INTERVAL_MS,
      signal,
      () => this.syncOnce(signal),
      (error) => {
        this._log.debug('feed sync failed', { server: this._server, error: describeError(error) });
      },
    );
  }

  /**
   * Sends one sync request and resolves with its end; rejects if it fails. A request that was in flight before
   * the call may be answered from before a change that the caller has learned of, so the call waits for the
   * next one, which all concurrent callers share.
   */
  public syncOnce(signal: AbortSignal): Promise<void> {
    this._queuedSync ??= this._syncAfterRunning(signal);
    return this._queuedSync;
  }

  private async _syncAfterRunning(signal: AbortSignal): Promise<void> {
    await this._runningSync?.catch(() => undefined);
    this._queuedSync = undefined;
    this._runningSync = this._sync(signal);
    await this._runningSync;
  }

  private async _sync(signal: AbortSignal): Promise<void> {
    const server = this._server;
    const sentAt = this._clock.now();
    try {
      const response = await this._clients.get(FeedService, server).sync(
        {
          haveRevision: BigInt(this._copy.revision),
          clusterId: this._copy.clusterId,
          instance: this._instance,
          prefixes: [...this._prefixes],
        },
        { signal, timeoutMs: SYNC_TIMEOUT_MS },
      );
      const outcome = this._copy.applyResponse(response, sentAt);
      const isLagging =
        response.ageMs === undefined || response.ageMs > MAX_SERVER_CONFIRMATION_AGE_MS;
      if (outcome !== 'applied' || isLagging) {
        // The leader that a lagging server reports may be a former one, even this process.
        this._server = this._pickServer();
      } else {
        this._followLeader(response.leaderAddress);
      }
      if (outcome === 'other_cluster') {
        this._log.error('feed server belongs to another deployment; check the feed addresses', {
          server,
        });
      }
    } catch (error) {
      this._server = this._pickServer();
      throw error;
    }
  }

  /** Switches to the leader, whose answers are the most recent, if it is one of the configured servers. */
  private _followLeader(leaderAddress: string): void {
    if (this._servers.includes(leaderAddress)) {
      this._server = leaderAddress;
    }
  }

  private _pickServer(): string {
    const others = this._servers.filter((server) => server !== this._server);
    const candidates = others.length > 0 ? others : this._servers;
    return candidates[Math.floor(this._random() * candidates.length)] ?? '';
  }
}
