/** Task that keeps a copy of the items in step with another process. */
import type { IClock } from '../common/Clock.js';
import { describeError, type ILog } from '../common/Log.js';
import type { RpcClients } from '../common/Rpc.js';
import { runPeriodically } from '../common/Tasks.js';
import { FeedService } from '../gen/redwingwharf/v1/control_pb.js';
import type { FeedCopy } from './FeedCopy.js';

/** Interval of sync requests. Three hops of it stay below the 4 s in which a change is in force. */
export const SYNC_INTERVAL_MS = 500;

/** Time after which an unanswered request is given up and another server is asked. */
const SYNC_TIMEOUT_MS = 700;

/** A server whose own confirmation is older than this is left for another one. */
const MAX_SERVER_AGE_MS = 1_000;

/** Polls one server of a list and moves to another when it fails or lags. */
export class FeedClient {
  private _server: string;
  private _running: Promise<void> | undefined;

  constructor(
    private readonly _copy: FeedCopy,
    private readonly _servers: readonly string[],
    private readonly _instance: string,
    /** Keys to copy; all of them when empty. */
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

  /** Syncs now. Concurrent callers share one request. */
  public async syncOnce(signal: AbortSignal): Promise<void> {
    this._running ??= this._sync(signal).finally(() => {
      this._running = undefined;
    });
    await this._running;
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
      const isLagging = response.ageMs === undefined || response.ageMs > MAX_SERVER_AGE_MS;
      if (outcome !== 'applied' || isLagging) {
        // What a lagging server takes for the leader may be a former one, even this process.
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

  /** The leader's own answer is the freshest; it is used when the settings list it. */
  private _followLeader(leaderAddress: string): void {
    if (this._servers.includes(leaderAddress)) {
      this._server = leaderAddress;
    }
  }

  private _pickServer(): string {
    const others = this._servers.filter((server) => server !== this._server);
    const choices = others.length > 0 ? others : this._servers;
    return choices[Math.floor(this._random() * choices.length)] ?? '';
  }
}
