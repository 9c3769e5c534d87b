/** One process of a deployment whose targets announce themselves. */
import { setMaxListeners } from 'node:events';
import type { Socket } from 'node:net';
import { ByteBudget } from '../common/ByteBudget.js';
import { MonotonicClock } from '../common/Clock.js';
import { Emitter } from '../common/Lifecycle.js';
import { describeError, type ILog } from '../common/Log.js';
import { LoopDelay } from '../common/LoopDelay.js';
import { Metrics } from '../common/Metrics.js';
import { RpcClients } from '../common/Rpc.js';
import { Shutdown } from '../common/Shutdown.js';
import { SuspensionDetector } from '../common/Suspension.js';
import { addJitter, isAborted, runPeriodically, sleep } from '../common/Tasks.js';
import { FleetNode, type IFleetMember } from '../fleet/FleetNode.js';
import { FleetView } from '../fleet/FleetView.js';
import { ProbeExchange } from '../fleet/ProbeExchange.js';
import type { IQuotaTerms } from '../fleet/QuotaRule.js';
import { QuotaWallet } from '../fleet/QuotaWallet.js';
import { ServiceModels } from '../fleet/ServiceModels.js';
import { DEFAULT_ROLLOUT_BOUNDS, type IRolloutBounds } from '../fleet/RolloutBudget.js';
import { RolloutClient } from '../fleet/RolloutClient.js';
import { RolloutController } from '../fleet/RolloutController.js';
import { getSoftwareVersion } from '../fleet/SoftwareVersions.js';
import { SharedRetryBudget, type IRetryLimits } from '../fleet/SharedRetryBudget.js';
import { SpendingRecorder } from '../fleet/SpendingRecorder.js';
import { StreamOrigins } from '../fleet/StreamOrigins.js';
import type { DocumentDecoder } from '../fleet/Types.js';
import { VersionRecorder } from '../fleet/VersionRecorder.js';
import { WeightsRollout, type IEngineClient } from '../fleet/WeightsRollout.js';
import { CallRunner } from '../gateway/CallRunner.js';
import { Hedging, type IHedgingLimits } from '../gateway/Hedging.js';
import { Placement } from '../gateway/Placement.js';
import { PromptHolders } from '../gateway/PromptHolders.js';
import { CrashQuarantine } from '../gateway/CrashQuarantine.js';
import { AdmissionQueue } from '../gateway/queue/AdmissionQueue.js';
import { QueueExchange } from '../gateway/queue/QueueExchange.js';
import { ResponseTimes } from '../gateway/ResponseTimes.js';
import { RolloutGate } from '../gateway/RolloutGate.js';
import { StoreIndex, type PollStore } from '../gateway/StoreIndex.js';
import { TargetModel } from '../gateway/TargetModel.js';
import { TargetLimits } from '../gateway/TargetLimits.js';
import { TargetStates } from '../gateway/TargetStates.js';
import type { ICall, ITargetClient } from '../gateway/Types.js';
import { create } from '@bufbuild/protobuf';
import { TargetWorkSchema } from '../gen/redwingwharf/v1/fleet_pb.js';
import { InternalServer } from './InternalServer.js';
import { MemberHost, type IMemberOptions } from './MemberHost.js';

/** Covers the time until a named version reaches the leader, and the cancellation of a request the engine. */
const WEIGHTS_LIMIT_MARGIN_MS = 600;

/** Mean interval at which the models of response times are logged. */
const MODEL_LOG_INTERVAL_MS = 10_000;

/** Mean delay before a task that failed starts again; jitter is added. */
const TASK_RESTART_DELAY_MS = 200;

export interface IFleetProcessOptions {
  readonly dataCentre: string;
  /** Address for calls between the processes; also identifies this process. */
  readonly internalAddress: string;
  readonly seeds: readonly string[];
  readonly clusterSecret: string;
  /** Whether this process serves requests of clients. */
  readonly takesRequests: boolean;
  /** Undefined on machines without a disk. */
  readonly member: Omit<IMemberOptions, 'address' | 'listPeers'> | undefined;
  readonly announceIntervalMs: number;
  readonly quota: IQuotaTerms;
  readonly leaseMs: number;
  /** Time for which requests may still begin on older weights after newer ones were named. */
  readonly weightsRolloutLimitMs: number;
  readonly retryBudget: IRetryLimits;
  /** Undefined: no request is hedged. */
  readonly hedging?: IHedgingLimits;
  /** Whether requests may wait for capacity; if not, one that is not expected on time is refused at once. */
  readonly mayQueue?: boolean;
  /** Limits of what a bad software version may get; the default ones if absent. */
  readonly rollouts?: IRolloutBounds;
  /** Bounds what is held of all responses before it is relayed; unbounded if absent. */
  readonly memory?: ByteBudget;
  /** Called with each connection of another process; may close it. */
  readonly onInternalConnection?: (socket: Socket) => void;
}

/** Implementations that the adapter to a platform supplies. */
export interface IFleetAdapters<T extends ICall> {
  readonly decodeDocument: DocumentDecoder;
  readonly targetClient: ITargetClient<T>;
  readonly engineClient: IEngineClient;
  readonly pollStore: PollStore;
}

/**
 * Builds and runs the modules of one process: the path of requests, the fleet node with its hub, the weights
 * rollout and, on machines with a disk, the consensus member.
 */
export class FleetProcess<T extends ICall> {
  public readonly clock = new MonotonicClock();
  public readonly metrics = new Metrics();
  public readonly view: FleetView;
  public readonly node: FleetNode;
  public readonly origins: StreamOrigins;
  public readonly rollouts: RolloutController;
  public readonly callRunner: CallRunner<T>;

  private readonly _models = new ServiceModels();
  private readonly _loopDelay = new LoopDelay(this.clock);
  private readonly _shutdown = new Shutdown();
  private readonly _stop = new AbortController();
  private readonly _rpc: RpcClients;
  private readonly _memberHost: MemberHost | undefined;
  private readonly _rollout: WeightsRollout;
  private readonly _spendingRecorder: SpendingRecorder;
  private readonly _versionRecorder: VersionRecorder;
  private readonly _storeIndex: StoreIndex;
  private readonly _server: InternalServer;
  private readonly _tasks: Promise<void>[] = [];
  private _member: IFleetMember | undefined;

  constructor(
    private readonly _options: IFleetProcessOptions,
    adapters: IFleetAdapters<T>,
    private readonly _log: ILog,
  ) {
    // Each call listens to this signal, and Node reports more than ten listeners as a leak.
    setMaxListeners(0, this._stop.signal);
    const { internalAddress, seeds, clusterSecret, dataCentre, member, takesRequests } = _options;
    const { clock, metrics } = this;
    const wallet = new QuotaWallet(_options.quota.windowMs);
    const states = new TargetStates();
    const holders = new PromptHolders();
    const placement = new Placement(dataCentre, holders, new TargetModel(this._models));
    const probes = new ProbeExchange(
      async (command) => (await this.node.submit(command, this._stop.signal)).kind === 'committed',
      () => {
        this.node.requestExchange();
      },
      _log,
    );
    const quarantine = new CrashQuarantine(probes);
    this._rpc = new RpcClients(clusterSecret);
    const suspensions = new SuspensionDetector();
    this.view = new FleetView(adapters.decodeDocument, _log, suspensions);
    const limits = new TargetLimits({
      countEntries: () => this.view.entryCount,
      findTarget: (id) => this.view.getTarget(id),
      random: Math.random,
    });
    const queueExchange: QueueExchange = new QueueExchange(() => admission.services);
    const mayWait = _options.mayQueue === true;
    const admission: AdmissionQueue = new AdmissionQueue(
      { mayWait, clock, metrics, log: _log },
      (service) => queueExchange.getOthers(service),
    );
    const gate = new RolloutGate({
      countOpenAtOthers: (service, version) => this._countOpenAtOthers(states, service, version),
      metrics,
    });
    const { rollouts: bounds = DEFAULT_ROLLOUT_BOUNDS } = _options;
    this.rollouts = new RolloutController({ bounds }, this.view, clock, metrics, _log);
    this.node = new FleetNode(
      {
        address: internalAddress,
        takesRequests,
        parts: [this._models, probes, ...(mayWait ? [queueExchange] : []), gate, this.rollouts],
        hub: {
          announceIntervalMs: _options.announceIntervalMs,
          quota: _options.quota,
          processStartedAt: clock.now(),
          log: _log,
        },
      },
      this.view,
      wallet,
      {
        listWork: () => states.listOpen().map((work) => create(TargetWorkSchema, work)),
        takeReadings: () => holders.takeUnreported(),
        applyReadings: (readings, now) => {
          holders.addReported(readings, now);
        },
      },
      quarantine,
      limits,
      this._rpc,
      clock,
      _log,
      seeds,
    );
    this.rollouts.attach(this.node);
    this.origins = new StreamOrigins(this.node, this.view);
    this.view.onTargetUnavailable(({ id }) => {
      states.remove(id);
      limits.remove(id);
      holders.removeTarget(id);
    });
    this._storeIndex = new StoreIndex(this.view, adapters.pollStore, clock, _log);
    this.callRunner = new CallRunner<T>({
      view: this.view,
      node: this.node,
      wallet,
      budget: new SharedRetryBudget(_options.retryBudget),
      states,
      limits,
      placement,
      hedging: new Hedging(_options.hedging ?? { maxShare: 0 }),
      quarantine,
      admission,
      store: this._storeIndex,
      origins: this.origins,
      client: adapters.targetClient,
      memory: _options.memory ?? new ByteBudget(Number.POSITIVE_INFINITY),
      clock,
      loopDelay: this._loopDelay,
      metrics,
      log: _log,
      weightsLimitMs: _options.weightsRolloutLimitMs - WEIGHTS_LIMIT_MARGIN_MS,
      shutdown: this._shutdown,
      responseTimes: new ResponseTimes(),
      rollouts: gate,
    });
    const changes = new Emitter<unknown>();
    quarantine.onChange((now) => {
      changes.fire(now);
    });
    this.view.onRateLimitChange((target) => {
      changes.fire(target);
    });
    this._memberHost =
      member &&
      new MemberHost(
        { ...member, address: internalAddress, listPeers: () => this.node.listKnownAddresses() },
        this._rpc,
        clock,
        _log,
        (opened) => {
          this._member = opened;
          this.node.setMember(opened);
        },
        {
          list: () => this.view.listRecords(),
          restore: (records) => {
            this.node.restoreTargets(records);
          },
          onChange: changes.onFire,
          listSuspects: () => quarantine.suspects,
          restoreSuspects: (suspects) => {
            quarantine.applySuspects(suspects, clock.now());
          },
        },
        suspensions,
      );
    this._rollout = this._createRollout(adapters.engineClient);
    this._spendingRecorder = new SpendingRecorder(this.node, () => this._member?.log, clock);
    this._versionRecorder = new VersionRecorder(
      this.node,
      this.view,
      () => this._member,
      clock,
      _log,
    );
    this._server = this._createServer();
  }

  /** Starts the tasks of this process. A task that fails is logged and starts again, with the state that it had. */
  public async start(): Promise<void> {
    await this._server.listen();
    this._loopDelay.start();
    const tasks = [
      (signal: AbortSignal) => this.node.run(signal),
      (signal: AbortSignal) => this.node.runMembershipNotices(signal),
      (signal: AbortSignal) => this._spendingRecorder.run(signal),
      (signal: AbortSignal) => this._versionRecorder.run(signal),
      (signal: AbortSignal) => this._rollout.run(signal),
      (signal: AbortSignal) => this.rollouts.run(signal),
    ];
    const { _memberHost: memberHost } = this;
    if (memberHost !== undefined) {
      tasks.push((signal) => memberHost.run(signal));
    }
    if (this._options.takesRequests) {
      tasks.push((signal) => this._storeIndex.run(signal));
      tasks.push((signal) => this._logModels(signal));
    }
    const { signal } = this._stop;
    for (const runTask of tasks) {
      this._tasks.push(
        runPeriodically(
          TASK_RESTART_DELAY_MS,
          signal,
          () => runTask(signal),
          (error) => {
            this._log.error('task failed', { reason: describeError(error) });
          },
        ),
      );
    }
  }

  /** Prepares for the end of this process while it still serves requests. `endCalls` has to follow at `endsAt`. */
  public prepareStop(endsAt: number, now: number): void {
    this._shutdown.begin(endsAt, now);
    this._memberHost?.withdraw();
  }

  /** Ends the calls that are still open, with an answer where none has begun. */
  public endCalls(now: number): void {
    this._shutdown.end(now);
  }

  public async stop(): Promise<void> {
    this._stop.abort();
    await Promise.allSettled(this._tasks);
    this._loopDelay.dispose();
    this._server.dispose();
    this._rpc.dispose();
  }

  /** Logs the models in force at a low rate, and sets their metrics. */
  private async _logModels(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      await sleep(addJitter(MODEL_LOG_INTERVAL_MS), signal);
      for (const model of this._models.describe(this.clock.now())) {
        this._log.info('time model', model);
      }
    }
  }

  /** Open requests of this process at targets of the service with another software version. */
  private _countOpenAtOthers(states: TargetStates, service: string, version: string): number {
    const others = states.listOpen().filter(({ id }) => {
      const target = this.view.getTarget(id);
      return target?.service === service && getSoftwareVersion(target) !== version;
    });
    return others.reduce((sum, { open }) => sum + open, 0);
  }

  /** Calls of operators that concern rollouts; any process forwards them to the leader. */
  public createRolloutClient(): RolloutClient {
    return new RolloutClient(this.node, this.rollouts, this._rpc, this.clock);
  }

  private _createRollout(engineClient: IEngineClient): WeightsRollout {
    const getMember = (): IFleetMember | undefined => this._member;
    const { node, view } = this;
    return new WeightsRollout(
      {
        getHub: (now) => node.getHub(now),
        getPropagationMs: () => node.getPropagationMs(),
        getConfirmationAgeMs: (now) => node.getConfirmationAgeMs(now),
        getUsableMs: (model, version, now) =>
          view.weights.getUsableMs(
            model,
            version,
            this._options.weightsRolloutLimitMs - WEIGHTS_LIMIT_MARGIN_MS,
            now,
          ),
        get term() {
          return getMember()?.log.status.term ?? 0;
        },
        get weights() {
          return getMember()?.state.weights ?? [];
        },
      },
      engineClient,
      { holder: this._options.internalAddress, leaseMs: this._options.leaseMs },
      this.clock,
      this._log,
    );
  }

  private _createServer(): InternalServer {
    return new InternalServer(this._options.internalAddress, this._options.clusterSecret, {
      registerRpc: (router) => {
        this.node.registerRpc(router);
        this.rollouts.registerRpc(router);
        this._memberHost?.registerRpc(router);
      },
      handleDispatch: undefined,
      metrics: this.metrics,
      onConnection: this._options.onInternalConnection,
    });
  }
}
