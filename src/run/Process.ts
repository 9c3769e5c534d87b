/** Runs the roles that the settings name in this process. */
import type { ConnectRouter } from '@connectrpc/connect';
import { setMaxListeners } from 'node:events';
import { MonotonicClock, type IClock } from '../common/Clock.js';
import { watchFatalErrors } from '../common/FatalErrors.js';
import { createLog, describeError, type ILog } from '../common/Log.js';
import { Metrics } from '../common/Metrics.js';
import { RpcClients } from '../common/Rpc.js';
import { SuspensionDetector } from '../common/Suspension.js';
import { ControlClient } from '../control/ControlClient.js';
import { FeedClient } from '../feed/FeedClient.js';
import { FeedCopy } from '../feed/FeedCopy.js';
import { FeedService } from '../gen/redwingwharf/v1/control_pb.js';
import type { ILoadedSettings } from '../settings/Types.js';
import { Sidecar } from '../sidecar/Sidecar.js';
import { ControlRole } from './ControlRole.js';
import { EntryRole } from './EntryRole.js';
import { InternalServer } from './InternalServer.js';

/** A sidecar validates no API keys, so it copies none. Its feed copy is incomplete and isn't served to others. */
const SIDECAR_ITEM_PREFIXES: readonly string[] = ['service/', 'clientAccount/', 'weights/'];

/** Exit codes of `run`. */
const EXIT_OK = 0;
const EXIT_FAILED = 1;

/** Longest time that a stopping sidecar waits for its open dispatches. */
const SIDECAR_DRAIN_TIMEOUT_MS = 600_000;

/** Time for closing after the drain, within which a process that stops after an error has to end. */
const DISPOSE_TIMEOUT_MS = 5_000;

/** Builds the roles of one process and the modules that they share, runs them, and drains them before it stops. */
export class Process {
  private readonly _clock: IClock = new MonotonicClock();
  private readonly _metrics = new Metrics();
  private readonly _stop = new AbortController();
  private readonly _drainRequested = new AbortController();
  private readonly _rpc: RpcClients;
  private readonly _feedCopy = new FeedCopy(this._clock, new SuspensionDetector());
  private readonly _feedClient: FeedClient;
  private _control: ControlRole | undefined;
  private readonly _entry: EntryRole | undefined;
  private readonly _sidecar: Sidecar | undefined;
  private _server: InternalServer | undefined;
  private _hasFailed = false;

  constructor(
    private readonly _settings: ILoadedSettings,
    private readonly _log: ILog,
  ) {
    // Each task listens to this signal, and Node reports more than ten listeners as a leak.
    setMaxListeners(0, this._stop.signal);
    const { entry, sidecar, internal, clusterSecret } = _settings;
    this._rpc = new RpcClients(clusterSecret);
    this._feedClient = new FeedClient(
      this._feedCopy,
      listFeedServers(_settings),
      _settings.instance,
      sidecar === undefined ? [] : SIDECAR_ITEM_PREFIXES,
      this._rpc,
      this._clock,
      _log,
    );
    this._entry =
      entry &&
      new EntryRole(
        _settings,
        entry,
        this._feedCopy,
        this._feedClient,
        this._rpc,
        this._clock,
        _log,
        this._metrics,
        () => {
          this._drainRequested.abort();
        },
      );
    this._sidecar =
      sidecar &&
      new Sidecar(
        sidecar,
        _settings.dataCentre,
        internal,
        this._feedCopy,
        this._rpc,
        new ControlClient(this._rpc, _settings.feed, _log, () => this._feedCopy.leaderAddress),
        this._clock,
        _log,
      );
  }

  /**
   * Runs until `signal` is aborted, a drain is requested or a task fails, then drains and stops. Returns the
   * exit code.
   */
  public async run(signal: AbortSignal): Promise<number> {
    const failed = new AbortController();
    const tasks: Promise<void>[] = [];
    try {
      this._control = await this._openControl();
      this._server = this._createServer();
      await this._server.listen();
      tasks.push(...this._startTasks(failed));
      await this._entry?.entry.listen();
      this._log.info('started', { internal: this._settings.internal });
      await waitForAbort(signal, failed.signal, this._drainRequested.signal);
      await this._drain(failed.signal);
    } catch (error) {
      this._log.error('process failed', { error: describeError(error) });
      failed.abort();
    }
    await this._dispose();
    await Promise.allSettled(tasks);
    this._log.info('stopped', {});
    return failed.signal.aborted || this._hasFailed ? EXIT_FAILED : EXIT_OK;
  }

  /** Drains and stops after an error that may have left the process in a wrong state. */
  public stopAfterError(): void {
    this._hasFailed = true;
    this._drainRequested.abort();
  }

  private _createServer(): InternalServer {
    const { internal, clusterSecret } = this._settings;
    const sidecar = this._sidecar;
    return new InternalServer(internal, clusterSecret, {
      registerRpc: (router) => {
        this._registerRpc(router);
      },
      handleDispatch: sidecar && ((request, response) => sidecar.handleDispatch(request, response)),
      metrics: this._metrics,
    });
  }

  private async _openControl(): Promise<ControlRole | undefined> {
    const { control, internal } = this._settings;
    return control && ControlRole.open(control, internal, this._rpc, this._clock, this._log);
  }

  private _startTasks(failed: AbortController): Promise<void>[] {
    const { signal } = this._stop;
    const tasks = [this._feedClient.run(signal)];
    if (this._control !== undefined) {
      tasks.push(this._control.run(signal));
    }
    if (this._entry !== undefined) {
      tasks.push(this._entry.run(signal));
    }
    if (this._sidecar !== undefined) {
      tasks.push(this._sidecar.run(signal));
    }
    return tasks.map((task) =>
      task.catch((error: unknown) => {
        this._log.error('task failed', { error: describeError(error) });
        failed.abort();
      }),
    );
  }

  private async _drain(signal: AbortSignal): Promise<void> {
    this._log.info('draining', {});
    const entryTimeoutMs = this._settings.entry?.drainTimeoutMs ?? 0;
    await Promise.all([
      this._entry?.entry.drain(entryTimeoutMs, signal),
      this._sidecar?.drain(SIDECAR_DRAIN_TIMEOUT_MS, signal),
    ]);
  }

  private async _dispose(): Promise<void> {
    this._stop.abort();
    await this._entry?.dispose();
    await this._sidecar?.dispose();
    await this._control?.dispose();
    this._server?.dispose();
    this._rpc.dispose();
  }

  private _registerRpc(router: ConnectRouter): void {
    this._control?.registerRpc(router);
    this._entry?.registerRpc(router);
    this._sidecar?.registerRpc(router);
    if (this._sidecar === undefined) {
      this._registerFeed(router);
    }
  }

  private _registerFeed(router: ConnectRouter): void {
    router.service(FeedService, {
      sync: (request) => {
        const node = this._control?.node;
        const source = node?.isEstablishedLeader === true ? node : this._feedCopy;
        return source.sync(request, this._clock.now());
      },
    });
  }
}

/** A control role in this process serves the feed over the same interface as those of other processes. */
function listFeedServers(settings: ILoadedSettings): readonly string[] {
  const ownAddress = settings.control === undefined ? [] : [settings.internal];
  return [...new Set([...settings.feed, ...ownAddress])];
}

/** Waits until one of the signals is aborted. */
async function waitForAbort(...signals: readonly AbortSignal[]): Promise<void> {
  await new Promise<void>((resolve) => {
    const finish = (): void => {
      resolve();
    };
    for (const signal of signals) {
      if (signal.aborted) {
        finish();
      }
      signal.addEventListener('abort', finish, { once: true });
    }
  });
}

/** Time in which a process with these roles has drained and ended, in milliseconds. */
export function computeStopTimeout({ entry, sidecar }: ILoadedSettings): number {
  const entryMs = entry?.drainTimeoutMs ?? 0;
  const sidecarMs = sidecar === undefined ? 0 : SIDECAR_DRAIN_TIMEOUT_MS;
  return Math.max(entryMs, sidecarMs) + DISPOSE_TIMEOUT_MS;
}

/** Runs one process that logs to standard output. Returns the exit code. */
export async function runProcess(settings: ILoadedSettings, signal: AbortSignal): Promise<number> {
  const log = createLog(settings.instance, settings.logLevel, (line) => {
    process.stdout.write(`${line}\n`);
  });
  const instance = new Process(settings, log);
  watchFatalErrors(
    process,
    computeStopTimeout(settings),
    (error) => {
      log.error('uncaught exception', { error: describeError(error) });
    },
    () => {
      instance.stopAfterError();
    },
  );
  return instance.run(signal);
}
