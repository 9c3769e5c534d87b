/** The entry role of a process. */
import { create } from '@bufbuild/protobuf';
import type { ConnectRouter } from '@connectrpc/connect';
import { Admitter } from '../admission/Admitter.js';
import {
  DispatchQueue,
  type IDispatchQueueOptions,
  type IReportedLoad,
} from '../admission/DispatchQueue.js';
import { GrantWallet } from '../admission/GrantWallet.js';
import { RetryBudget } from '../admission/RetryBudget.js';
import type { IClock } from '../common/Clock.js';
import { generateIdentifier } from '../common/Hashes.js';
import type { ILog } from '../common/Log.js';
import type { Metrics } from '../common/Metrics.js';
import type { RpcClients } from '../common/Rpc.js';
import { Shutdown } from '../common/Shutdown.js';
import { ControlClient } from '../control/ControlClient.js';
import { TargetChooser } from '../entry/TargetChooser.js';
import { ClaimDispatch } from '../entry/ClaimDispatch.js';
import { ClaimFlow } from '../entry/ClaimFlow.js';
import { ClaimSettlement } from '../entry/ClaimSettlement.js';
import { DecisionLog } from '../entry/DecisionLog.js';
import { ConfigurationIndex } from '../entry/ConfigurationIndex.js';
import { DispatchClient } from '../entry/DispatchClient.js';
import { Dispatcher } from '../entry/Dispatcher.js';
import { Entry, type IEntryLimits } from '../entry/Entry.js';
import { ModelFlow } from '../entry/ModelFlow.js';
import { OutcomeQuery } from '../entry/OutcomeQuery.js';
import { OpenRequests } from '../entry/OpenRequests.js';
import { PlainFlow } from '../entry/PlainFlow.js';
import { QueueStage } from '../entry/QueueStage.js';
import { AdmissionStage } from '../entry/AdmissionStage.js';
import type { IFeedSync, IFlowServices } from '../entry/Types.js';
import type { IFeed } from '../feed/Types.js';
import { ResponseTimes } from '../gateway/ResponseTimes.js';
import {
  AnnounceResponseSchema,
  DrainResponseSchema,
  ExplainResponseSchema,
  GetEntryStatusResponseSchema,
  RosterService,
  type GetEntryStatusResponse,
} from '../gen/redwingwharf/v1/control_pb.js';
import { createPolicy } from '../policy/CreatePolicy.js';
import { Roster, type IRosterTarget } from '../roster/Roster.js';
import type { ILoadedSettings, IEntryRoleSettings } from '../settings/Types.js';

/** Replaces default limits in tests. */
export interface IEntryTestLimits {
  readonly queue?: Partial<IDispatchQueueOptions>;
  readonly limits?: IEntryLimits;
}

/** Builds, runs and disposes of the modules of an entry, and serves the RPCs of its roster. */
export class EntryRole {
  public readonly entry: Entry;
  private readonly _roster = new Roster();
  private readonly _decisionLog: DecisionLog;
  private readonly _configuration: ConfigurationIndex;
  private readonly _openRequests: OpenRequests;
  private readonly _chooser: TargetChooser;
  private readonly _client: DispatchClient;
  private readonly _admitter: Admitter;
  private readonly _shutdown = new Shutdown();
  private readonly _disposal = new AbortController();

  constructor(
    private readonly _settings: ILoadedSettings,
    role: IEntryRoleSettings,
    private readonly _feed: IFeed,
    feedSync: IFeedSync,
    rpc: RpcClients,
    private readonly _clock: IClock,
    log: ILog,
    metrics: Metrics,
    private readonly _onDrainRequested: () => void,
    private readonly _overrides: IEntryTestLimits = {},
  ) {
    const control = new ControlClient(rpc, role.control, log);
    this._decisionLog = new DecisionLog(log);
    const services: IFlowServices = {
      clock: _clock,
      log,
      metrics,
      decisions: this._decisionLog,
      feed: _feed,
      feedSync,
      shutdown: this._shutdown,
    };
    this._configuration = new ConfigurationIndex(_feed);
    this._openRequests = new OpenRequests(this._configuration, _feed, this._shutdown);
    this._client = new DispatchClient(_settings.clusterSecret, {
      clock: _clock,
      log,
      shutdown: this._shutdown,
      responseTimes: new ResponseTimes(),
    });
    this._chooser = new TargetChooser(
      this._roster,
      () => createPolicy(role.policy, _settings.dataCentre),
      _settings.clusterSecret,
    );
    const wallet = new GrantWallet({
      instance: _settings.instance,
      incarnation: generateIdentifier(),
    });
    this._admitter = new Admitter(wallet, control, _clock, log, metrics);
    const admission = new AdmissionStage(this._admitter);
    const budget = new RetryBudget(_clock.now());
    const dispatcher = new Dispatcher(this._chooser, this._client, budget, services);
    const queue = this._createQueue();
    const queueStage = new QueueStage(queue, services);
    const outcomeQuery = new OutcomeQuery(this._roster, rpc, services);
    this.entry = new Entry(
      role.listen,
      this._configuration,
      this._openRequests,
      {
        model: new ModelFlow(
          admission,
          queueStage,
          this._chooser,
          dispatcher,
          this._client,
          this._openRequests,
          services,
        ),
        plain: new PlainFlow(
          admission,
          queueStage,
          this._chooser,
          dispatcher,
          this._openRequests,
          services,
        ),
        claim: new ClaimFlow(
          admission,
          queueStage,
          this._chooser,
          control,
          new ClaimDispatch(this._chooser, this._client, outcomeQuery, services),
          outcomeQuery,
          new ClaimSettlement(control, this._disposal.signal),
          this._openRequests,
          services,
        ),
      },
      services,
      _overrides.limits,
    );
    metrics.addGauge('queued_requests', () => queue.waitingCount);
    metrics.addGauge('dispatches_in_progress', () => queue.inProgressCount);
    metrics.addGauge('open_requests', () => this._openRequests.size);
    metrics.addGauge('feed_revision', () => _feed.revision);
  }

  public async run(signal: AbortSignal): Promise<void> {
    await this._admitter.run(signal);
  }

  public registerRpc(router: ConnectRouter): void {
    router.service(RosterService, {
      announce: (request) => {
        this._roster.announce(request, this._clock.now());
        return create(AnnounceResponseSchema, { instance: this._settings.instance });
      },
      getEntryStatus: () => this._describeStatus(),
      explain: ({ requestId }) =>
        create(ExplainResponseSchema, { records: this._decisionLog.explain(requestId) }),
      drain: () => {
        this._onDrainRequested();
        return create(DrainResponseSchema, { openRequests: this._openRequests.size });
      },
    });
  }

  public async dispose(): Promise<void> {
    this._disposal.abort();
    this.entry.dispose();
    this._chooser.dispose();
    this._configuration.dispose();
    await this._client.close();
  }

  private _createQueue(): DispatchQueue {
    const queue = new DispatchQueue(this._clock, {
      ...this._overrides.queue,
      listLoads: (service, now) => this._roster.listTargets(service, now).map(describeLoad),
    });
    this._roster.onChange(({ kind, target: { announcement } }) => {
      queue.handleTargetReport(announcement.service, announcement.target, kind === 'expired');
    });
    return queue;
  }

  private _describeStatus(): GetEntryStatusResponse {
    const now = this._clock.now();
    const confirmedAt = this._feed.getConfirmedAt();
    return create(GetEntryStatusResponseSchema, {
      instance: this._settings.instance,
      dataCentre: this._settings.dataCentre,
      ready: this.entry.isReady(now),
      draining: this.entry.isDraining,
      revision: BigInt(this._feed.revision),
      version: BigInt(this._feed.version),
      ...(confirmedAt === undefined ? {} : { confirmedAgeMs: Math.round(now - confirmedAt) }),
      openRequests: this._openRequests.size,
      targets: this._roster.listAll(now).map(({ announcement, announcedAt }) => ({
        announcement,
        ageMs: Math.round(now - announcedAt),
      })),
    });
  }
}

function describeLoad({ announcement: { target, load } }: IRosterTarget): IReportedLoad {
  return { target, load: load === undefined ? 0 : load.running + load.queued };
}
