/** One process of a deployment whose targets announce themselves: entry, hub and member of the log. */
import { setMaxListeners } from 'node:events';
import { MonotonicClock } from '../common/Clock.js';
import { describeError, type ILog } from '../common/Log.js';
import { Metrics } from '../common/Metrics.js';
import { RpcClients } from '../common/Rpc.js';
import { FleetNode, type IFleetMember } from '../fleet/FleetNode.js';
import { FleetView } from '../fleet/FleetView.js';
import type { IQuotaTerms } from '../fleet/QuotaRule.js';
import { QuotaWallet } from '../fleet/QuotaWallet.js';
import { SharedRetryBudget, type IRetryLimits } from '../fleet/SharedRetryBudget.js';
import type { DocumentDecoder } from '../fleet/Types.js';
import { WeightsRollout, type IEngineOrders } from '../fleet/WeightsRollout.js';
import { CallRunner } from '../gateway/CallRunner.js';
import { Placement } from '../gateway/Placement.js';
import { PromptHolders } from '../gateway/PromptHolders.js';
import { StoreIndex, type StoreQuestion } from '../gateway/StoreIndex.js';
import { TargetStates } from '../gateway/TargetStates.js';
import type { ICall, ITargetClient } from '../gateway/Types.js';
import { create } from '@bufbuild/protobuf';
import { TargetWorkSchema } from '../gen/redwingwharf/v1/fleet_pb.js';
import { InternalServer } from './InternalServer.js';
import { MemberHost, type IMemberOptions } from './MemberHost.js';

/** Covers the wait of a request in an engine's queue. */
const WEIGHTS_SOFT_MARGIN_MS = 3_500;

/** Covers the way of a version to this process and of a request to an idle engine. */
const WEIGHTS_HARD_MARGIN_MS = 1_200;

export interface IFleetProcessOptions {
  readonly dataCentre: string;
  /** Address for calls between the processes, also the identity of this one. */
  readonly internal: string;
  readonly seeds: readonly string[];
  readonly clusterSecret: string;
  readonly takesRequests: boolean;
  /** Undefined on machines without a disk. */
  readonly member: Omit<IMemberOptions, 'address' | 'listPeers'> | undefined;
  readonly announceMs: number;
  readonly quota: IQuotaTerms;
  readonly leaseMs: number;
  /** A request may begin on older weights for this long after newer ones were named. */
  readonly weightsLimitMs: number;
  readonly retry: IRetryLimits;
}

/** What the platform supplies. */
export interface IFleetAdapters<T extends ICall> {
  readonly decode: DocumentDecoder;
  readonly client: ITargetClient<T>;
  readonly orders: IEngineOrders;
  readonly askStore: StoreQuestion;
}

export class FleetProcess<T extends ICall> {
  public readonly clock = new MonotonicClock();
  public readonly metrics = new Metrics();
  public readonly view: FleetView;
  public readonly node: FleetNode;
  public readonly calls: CallRunner<T>;

  private readonly _stop = new AbortController();
  private readonly _rpc: RpcClients;
  private readonly _member: MemberHost | undefined;
  private readonly _rollout: WeightsRollout;
  private readonly _store: StoreIndex;
  private readonly _server: InternalServer;
  private readonly _tasks: Promise<void>[] = [];
  private _log: IFleetMember | undefined;

  constructor(
    private readonly _options: IFleetProcessOptions,
    adapters: IFleetAdapters<T>,
    private readonly _logger: ILog,
  ) {
    // Each call listens to this signal; Node takes more than ten listeners for a leak.
    setMaxListeners(0, this._stop.signal);
    const { internal, seeds, clusterSecret, dataCentre, member, takesRequests } = _options;
    const { clock, metrics } = this;
    const wallet = new QuotaWallet(_options.quota.windowMs);
    const states = new TargetStates();
    const holders = new PromptHolders();
    const placement = new Placement(dataCentre, holders);
    this._rpc = new RpcClients(clusterSecret);
    this.view = new FleetView(adapters.decode, _logger);
    this.node = new FleetNode(
      {
        address: internal,
        takesRequests,
        hub: {
          announceMs: _options.announceMs,
          quota: _options.quota,
          processStartedAt: clock.now(),
          log: _logger,
        },
      },
      this.view,
      wallet,
      {
        listWork: () => states.listOpen().map((work) => create(TargetWorkSchema, work)),
        takeReadings: () => holders.takeUntold(),
        noteReadings: (readings, now) => {
          holders.noteTold(readings, now);
        },
      },
      this._rpc,
      clock,
      _logger,
      seeds,
    );
    this.view.onTargetLoss(({ id }) => {
      states.forget(id);
      holders.forgetTarget(id);
    });
    this._store = new StoreIndex(this.view, adapters.askStore, clock, _logger);
    this.calls = new CallRunner<T>({
      view: this.view,
      node: this.node,
      wallet,
      budget: new SharedRetryBudget(_options.retry),
      states,
      placement,
      store: this._store,
      client: adapters.client,
      clock,
      metrics,
      log: _logger,
      quota: _options.quota,
      weights: {
        softMs: _options.weightsLimitMs - WEIGHTS_SOFT_MARGIN_MS,
        hardMs: _options.weightsLimitMs - WEIGHTS_HARD_MARGIN_MS,
      },
    });
    this._member =
      member &&
      new MemberHost(
        { ...member, address: internal, listPeers: () => this.node.listKnown() },
        this._rpc,
        clock,
        _logger,
        (opened) => {
          this._log = opened;
          this.node.setMember(opened);
        },
        {
          list: () => this.view.listRecords(),
          restore: (records) => {
            this.node.restoreTargets(records);
          },
        },
      );
    this._rollout = this._createRollout(adapters.orders);
    this._server = this._createServer();
  }

  public async start(): Promise<void> {
    await this._server.listen();
    const { signal } = this._stop;
    const tasks = [this.node.run(signal), this.node.runHellos(signal), this._rollout.run(signal)];
    if (this._member !== undefined) {
      tasks.push(this._member.run(signal));
    }
    if (this._options.takesRequests) {
      tasks.push(this._store.run(signal));
    }
    for (const task of tasks) {
      this._tasks.push(
        task.catch((error: unknown) => {
          this._logger.error('task failed', { reason: describeError(error) });
          process.exitCode = 1;
        }),
      );
    }
  }

  public async stop(): Promise<void> {
    this._stop.abort();
    await Promise.allSettled(this._tasks);
    this._server.dispose();
    this._rpc.dispose();
  }

  private _createRollout(orders: IEngineOrders): WeightsRollout {
    const readLog = (): IFleetMember | undefined => this._log;
    const { node, view } = this;
    return new WeightsRollout(
      {
        getHub: (now) => node.getHub(now),
        getDueVersion: (model, now) =>
          view.weights.getDue(model, this._options.weightsLimitMs - WEIGHTS_SOFT_MARGIN_MS, now),
        get term() {
          return readLog()?.log.status.term ?? 0;
        },
        get weights() {
          return readLog()?.state.weights ?? [];
        },
      },
      orders,
      { holder: this._options.internal, leaseMs: this._options.leaseMs },
      this.clock,
      this._logger,
    );
  }

  private _createServer(): InternalServer {
    return new InternalServer(this._options.internal, this._options.clusterSecret, {
      registerRpc: (router) => {
        this.node.registerRpc(router);
        this._member?.registerRpc(router);
      },
      handleDispatch: undefined,
      metrics: this.metrics,
    });
  }
}
