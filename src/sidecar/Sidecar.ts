/** Sidecar role: announces one target to the entries and handles the dispatches to it. */
import { create } from '@bufbuild/protobuf';
import type { ConnectRouter } from '@connectrpc/connect';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Agent } from 'undici';
import type { IClock } from '../common/Clock.js';
import { generateIdentifier, hasSameBytes } from '../common/Hashes.js';
import type { ILog } from '../common/Log.js';
import { createConnector } from '../common/OrderedSocket.js';
import { ResetDetector } from '../common/ResetDetector.js';
import type { RpcClients } from '../common/Rpc.js';
import { Shutdown } from '../common/Shutdown.js';
import { isAborted, sleep } from '../common/Tasks.js';
import type { ControlClient } from '../control/ControlClient.js';
import { isMechanismDisabled } from '../common/TestSwitches.js';
import type { IFeed } from '../feed/Types.js';
import {
  ClaimProgress,
  DrainResponseSchema,
  QueryClaimResponseSchema,
  SidecarService,
  type DrainResponse,
  type QueryClaimRequest,
  type QueryClaimResponse,
} from '../gen/redwingwharf/v1/control_pb.js';
import type { ISidecarRoleSettings } from '../settings/Types.js';
import { Announcer } from './Announcer.js';
import { ClaimTable } from './ClaimTable.js';
import { DispatchHandler } from './DispatchHandler.js';
import { EngineClient } from './EngineClient.js';
import type { IGateState } from './Gate.js';
import { KvCacheExchange } from './KvCacheExchange.js';
import { KvCacheStore } from './KvCacheStore.js';
import { LoadSlotClient } from './LoadSlotClient.js';
import { PromptQueue } from './PromptQueue.js';
import { TargetWatcher } from './TargetWatcher.js';
import { TargetAdmission } from './TargetAdmission.js';
import { UsedChunks } from './UsedChunks.js';
import { WeightsReconciler } from './WeightsReconciler.js';

/** Time limit of a connection attempt to the target. */
const CONNECT_TIMEOUT_MS = 10_000;

const DRAIN_POLL_INTERVAL_MS = 50;

/** Part of the drain timeout in which the answers to the dispatches that it ended are sent. */
const END_MARGIN_MS = 300;

/** Covers one announcement to each entry, after which the entries know that the target is draining. */
const DRAIN_NOTICE_PERIOD_MS = 700;

/**
 * Creates and connects the parts of the sidecar role: watcher, announcer, dispatch handler and, beside an
 * engine, prompt queue, weights reconciler and KV-cache exchange.
 */
export class Sidecar {
  private readonly _incarnation = generateIdentifier();
  private readonly _http = new Agent({
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: createConnector(CONNECT_TIMEOUT_MS),
  });
  private readonly _resets = new ResetDetector(CONNECT_TIMEOUT_MS);
  /** Connections for dispatches, so that the resets of others do not count. */
  private readonly _dispatchHttp = new Agent({
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: this._resets.connect,
  });
  private readonly _shutdown = new Shutdown();
  private readonly _claims = new ClaimTable();
  private readonly _usedChunks = new UsedChunks();
  private readonly _watcher: TargetWatcher;
  private readonly _prompts: PromptQueue | undefined;
  private readonly _announcer: Announcer;
  private readonly _dispatchHandler: DispatchHandler;
  private readonly _weightsReconciler: WeightsReconciler | undefined;
  private readonly _kvCacheExchange: KvCacheExchange | undefined;

  constructor(
    private readonly _settings: ISidecarRoleSettings,
    dataCentre: string,
    address: string,
    feed: IFeed,
    clients: RpcClients,
    control: ControlClient,
    private readonly _clock: IClock,
    private readonly _log: ILog,
  ) {
    const clock = _clock;
    const { target, announceTo } = _settings;
    const watcher = new TargetWatcher(target, this._http, clock, _log);
    this._watcher = watcher;
    this._prompts =
      target.kind === 'engine' ? new PromptQueue((hash) => watcher.hasChunk(hash)) : undefined;
    this._announcer = new Announcer(
      { target, dataCentre, address, sidecarIncarnation: this._incarnation, announceTo },
      this._watcher,
      this._usedChunks,
      this._prompts,
      clients,
      clock,
      _log,
    );
    this._dispatchHandler = new DispatchHandler(
      {
        targetAddress: target.address,
        getGateState: () => this._getGateState(),
        prompts: this._prompts,
        clock,
        shutdown: this._shutdown,
        onAccepted: (ticket) => {
          this._usedChunks.record(ticket.prefixChain, clock.now());
        },
      },
      this._watcher,
      this._claims,
      feed,
      { dispatcher: this._dispatchHttp, resets: this._resets },
      _log,
    );
    const admission = new TargetAdmission(
      target,
      announceTo,
      this._watcher,
      this._announcer,
      this._dispatchHandler,
      clients,
      _log,
    );
    this._weightsReconciler = this._createReconciler(feed, control, admission, clock);
    this._kvCacheExchange = this._createExchange(admission, clock);
    this._watcher.onChange((state) => {
      this._log.info('target state changed', {
        target: target.id,
        isHealthy: state.isHealthy,
        incarnation: state.incarnation,
        weightsVersion: state.weightsVersion,
      });
      this._usedChunks.clear();
      this._prompts?.clear();
      this._announcer.announceNow();
    });
  }

  /** Runs all tasks of the sidecar until the signal is aborted. */
  public async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this._watcher.run(signal),
      this._announcer.run(signal),
      this._weightsReconciler?.run(signal),
      this._kvCacheExchange?.run(signal),
    ]);
  }

  /** Handles a dispatch from an entry. */
  public async handleDispatch(request: IncomingMessage, response: ServerResponse): Promise<void> {
    await this._dispatchHandler.handle(request, response);
  }

  public registerRpc(router: ConnectRouter): void {
    router.service(SidecarService, {
      queryClaim: (request) => this._queryClaim(request),
      drainTarget: () => this._startDraining(),
    });
  }

  /**
   * Refuses new requests and waits until the running ones have ended. Those that still run `END_MARGIN_MS` before the end
   * of `timeoutMs`, or when the signal is aborted, are answered as unknown.
   */
  public async drain(timeoutMs: number, signal: AbortSignal): Promise<void> {
    this._startDraining();
    const now = this._clock.now();
    const endsAt = now + Math.max(0, timeoutMs - END_MARGIN_MS);
    this._shutdown.begin(endsAt, now);
    await sleep(Math.min(DRAIN_NOTICE_PERIOD_MS, endsAt - now), signal);
    await this._waitIdle(endsAt, signal);
    const endedAt = this._clock.now();
    this._shutdown.end(endedAt);
    await this._waitIdle(endedAt + END_MARGIN_MS, new AbortController().signal);
  }

  private async _waitIdle(deadlineAt: number, signal: AbortSignal): Promise<void> {
    while (
      this._dispatchHandler.openCount > 0 &&
      this._clock.now() < deadlineAt &&
      !isAborted(signal)
    ) {
      await sleep(DRAIN_POLL_INTERVAL_MS, signal);
    }
  }

  public async dispose(): Promise<void> {
    await Promise.all([this._http.destroy(), this._dispatchHttp.destroy()]);
  }

  /** Returns undefined when the target has no model: only engines have weights. */
  private _createReconciler(
    feed: IFeed,
    control: ControlClient,
    admission: TargetAdmission,
    clock: IClock,
  ): WeightsReconciler | undefined {
    const { target } = this._settings;
    if (target.model === undefined) {
      return undefined;
    }
    const { id, model, address, healthPath } = target;
    const holder = { target: id, model, sidecarIncarnation: this._incarnation };
    return new WeightsReconciler(model, {
      feed,
      slots: new LoadSlotClient(control, holder),
      engine: new EngineClient(address, healthPath),
      admission,
      clock,
      log: this._log,
    });
  }

  /** Returns undefined when the target has no model or no KV-cache store is configured. */
  private _createExchange(admission: TargetAdmission, clock: IClock): KvCacheExchange | undefined {
    const { target, kvCacheStore } = this._settings;
    if (target.model === undefined || kvCacheStore === undefined) {
      return undefined;
    }
    const { id, model, address, healthPath } = target;
    return new KvCacheExchange(
      { id, address, listPeers: (signal) => admission.listPeers(signal) },
      {
        store: new KvCacheStore(kvCacheStore, model, this._http),
        engine: new EngineClient(address, healthPath),
        hotChunks: this._watcher.hotChunks,
        http: this._http,
        clock,
        log: this._log,
      },
    );
  }

  private _startDraining(): DrainResponse {
    this._announcer.startDraining();
    return create(DrainResponseSchema, { openRequests: this._dispatchHandler.openCount });
  }

  private _queryClaim(request: QueryClaimRequest): QueryClaimResponse {
    TEST_ONLY: if (isMechanismDisabled('sidecar-incarnation'))
      request.sidecarIncarnation = this._incarnation;
    if (!hasSameBytes(request.sidecarIncarnation, this._incarnation)) {
      return create(QueryClaimResponseSchema, { progress: ClaimProgress.OTHER_INCARNATION });
    }
    return this._claims.query(request.claimId, request.attempt);
  }

  private _getGateState(): IGateState {
    const { state } = this._watcher;
    return {
      target: this._settings.target.id,
      sidecarIncarnation: this._incarnation,
      targetIncarnation: state.incarnation,
      weightsVersion: state.weightsVersion,
      isHealthy: state.isHealthy,
      isDraining: this._announcer.isDraining,
    };
  }
}
