/** Connects a process to the leader: exchanges, changes and confirmed reads. Runs the hub while it leads. */
import { create } from '@bufbuild/protobuf';
import { randomUUID } from 'node:crypto';
import type { Client, ConnectRouter } from '@connectrpc/connect';
import type { IClock } from '../common/Clock.js';
import { describeError, type ILog } from '../common/Log.js';
import type { RpcClients } from '../common/Rpc.js';
import { addJitter, isAborted, runWithTimeout, sleep } from '../common/Tasks.js';
import { clampToUint32 } from '../common/Uint32.js';
import type { IReplicatedLog } from '../consensus/Types.js';
import {
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  FleetCommandSchema,
  FleetService,
  LeaseResponseSchema,
  NamedWeightsSchema,
  PermitGrantSchema,
  QuotaGrantSchema,
  QuotaReportSchema,
  ReadDocumentResponseSchema,
  SubmitResponseSchema,
  SuspectPartsSchema,
  type ExchangeRequest,
  type ExchangeResponse,
  type FleetCommand,
  type FindStreamOriginsResponse,
  type FleetDocument,
  type LeaseRequest,
  type LeaseResponse,
  type ReadDocumentResponse,
  type RecordStreamsResponse,
  type StreamRecords,
  type SubmitResponse,
  type TargetRecord,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { addDocument } from './CompressedDocument.js';
import { DepartureRecorder, isLeaving } from './Departures.js';
import type { IExchangePart, IHubPart } from './ExchangePart.js';
import type { IQuarantineSource, IRateLimitSource, IWorkSource } from './ExchangeSources.js';
import { FleetHub, type IEarlierSpending, type IHubOptions } from './FleetHub.js';
import { findLeader, type ILeaderHint } from './LeaderSearch.js';
import type { FleetState } from './FleetState.js';
import type { FleetView } from './FleetView.js';
import { LeaseReporter, type IQuotaReportInFlight } from './LeaseReporter.js';
import { OriginCalls, type ILeading } from './OriginCalls.js';
import { PendingAnnouncements } from './PendingAnnouncements.js';
import { PendingCommands } from './PendingCommands.js';
import type { QuotaWallet } from './QuotaWallet.js';
import { needsPropagation } from './TargetOrder.js';
import type { RouteTable } from './RouteTable.js';
import { computeWindowLimit } from './QuotaRule.js';
import { computeRebaseDelay } from './SoftwareVersions.js';

/**
 * Interval between two exchanges; a change reaches every process within the interval and a round trip. It
 * grows with the number of entries, so that the leader answers at most about 200 exchanges a second.
 */
const EXCHANGE_INTERVAL_MS = 100;
const EXCHANGE_INTERVAL_PER_ENTRY_MS = 5;

/** Bounds of the random factor of the interval. */
const MIN_JITTER = 0.75;
const MAX_JITTER = 1.25;

/** Usual time of one exchange, with the wait for processor time at both ends. */
const EXCHANGE_ROUND_TRIP_MS = 60;

/**
 * Timeout of one exchange, after which the leader is searched for again. Also of one call that forwards a
 * command, and of the wait for a majority's confirmation.
 */
const EXCHANGE_TIMEOUT_MS = 700;

/** Shortest time between the starts of two exchanges, also of those that were requested at once. */
const MIN_EXCHANGE_INTERVAL_MS = 15;

/** Timeout of a change or a read, so that its caller can try another process within a second. */
const COMMAND_TIMEOUT_MS = 900;

/** Mean delay between two attempts of a change or a read; jitter is added. */
const COMMAND_RETRY_DELAY_MS = 50;

const NOT_CONFIRMED_REASON = 'the leader is not confirmed';

/** A leader that no majority has confirmed for this long stops acting as the hub. */
const MAX_CONFIRMATION_AGE_MS = 1_500;

/** Mean interval at which a control member sends membership notices to the seeds; jitter is added. */
const MEMBERSHIP_NOTICE_INTERVAL_MS = 500;

/** Timeout of the membership notices of one round, and of a search for the leader. */
const DISCOVERY_TIMEOUT_MS = 300;

/**
 * Processes that one search for the leader asks in parallel. More would let a thundering herd hit the control
 * members after a simultaneous stop of all processes.
 */
const MAX_DISCOVERY_CALLS = 4;

/** Interval at which a read checks whether a majority has confirmed the leader. */
const CONFIRMATION_POLL_INTERVAL_MS = 15;

/** The replicated log of a process with a disk, and the state machine that it applies commands to. */
export interface IFleetMember {
  readonly log: IReplicatedLog;
  readonly state: FleetState;
}

export interface IFleetNodeOptions {
  /** Identity of this process in exchanges: its internal address. */
  readonly address: string;
  readonly takesRequests: boolean;
  readonly hub: IHubOptions;
  /** Subsystems that take part in the exchanges. */
  readonly parts?: readonly IExchangePart[];
}

export type SubmitOutcome =
  { readonly kind: 'committed' } | { readonly kind: 'unknown'; readonly reason: string };

export type ReadOutcome =
  | { readonly kind: 'read'; readonly document: FleetDocument | undefined }
  | { readonly kind: 'unsure'; readonly reason: string };

/**
 * Keeps one process in sync with the fleet: exchanges reports with the leader, forwards announcements and
 * changes to it, reads the document with a majority's confirmation, and answers other processes.
 */
export class FleetNode {
  private _member: IFleetMember | undefined;
  private _hub:
    | { readonly hub: FleetHub; readonly term: number; readonly parts: readonly IHubPart[] }
    | undefined;
  private _leader: string | undefined;
  private _members: readonly string[] = [];
  /** Announcements that no hub has acknowledged yet; sent with the next exchange. */
  private readonly _pendingAnnouncements = new PendingAnnouncements();
  /** Aborted to start the next exchange without waiting for the interval. */
  private _exchangeRequested = new AbortController();
  /** Called when the next exchange has ended. */
  private _exchangeWaiters: (() => void)[] = [];
  private _isLeaderReachable = false;
  /** Why the last exchange brought no answer of the leader, for the log. */
  private _exchangeFailure = '';
  private readonly _incarnation = randomUUID().slice(0, 8);
  private readonly _leases: LeaseReporter;
  private readonly _origins: OriginCalls;
  private _pendingCommands: PendingCommands | undefined;
  private readonly _departures = new DepartureRecorder(async (record, signal) => {
    const body = { case: 'recordDeparture', value: record } as const;
    const outcome = await this.submit(create(FleetCommandSchema, { body }), signal);
    return outcome.kind === 'committed';
  });
  /** Revision up to which this process has the others' readings, at the hub of the view's epoch. */
  private _readingRevision = 0n;
  /** Revision of the suspects that this process has, at the same hub. */
  private _suspectRevision = 0n;

  constructor(
    private readonly _options: IFleetNodeOptions,
    private readonly _view: FleetView,
    private readonly _wallet: QuotaWallet,
    private readonly _workSource: IWorkSource,
    private readonly _quarantine: IQuarantineSource,
    private readonly _rateLimits: IRateLimitSource,
    private readonly _rpc: Pick<RpcClients, 'get'>,
    private readonly _clock: IClock,
    private readonly _log: ILog,
    private _seeds: readonly string[],
  ) {
    this._leases = new LeaseReporter(
      _wallet,
      { node: _options.address, incarnation: this._incarnation },
      (request) => this._callHubForLeases(request),
      _clock,
      _log,
    );
    this._origins = new OriginCalls(
      {
        getLeading: (now) => this._getLeading(now),
        getConfirmationAgeMs: (now) => this.getConfirmationAgeMs(now),
        getRebaseDelayMs: () => this.getRebaseDelayMs(),
        commit: (command, signal) => this._commit(command, signal),
        waitForConfirmation: (signal) => this._waitForConfirmation(signal),
      },
      _clock,
    );
    _view.onTableChange((table) => {
      const limits = this._deriveLimits(table);
      this._hub?.hub.setLimits(limits, this._clock.now());
      this._wallet.pruneAccounts(new Set(limits.keys()), this._clock.now());
    });
  }

  /** Sets the replicated log of this process; undefined while its disk is not open. */
  public setMember(member: IFleetMember | undefined): void {
    this._member = member;
    this._pendingCommands =
      member === undefined
        ? undefined
        : new PendingCommands((command, signal) => member.log.propose(command, signal));
    this._hub = undefined;
    if (member !== undefined) {
      // The local state may lag behind the majority, so the view is updated from the confirmed leader only.
      member.state.onChange(() => {
        this._exchangeRequested.abort();
      });
    }
  }

  /** Replaces the addresses at which the leader is searched for; true if they changed. */
  public setSeeds(seeds: readonly string[]): boolean {
    const hasChanged = seeds.join() !== this._seeds.join();
    this._seeds = seeds;
    return hasChanged;
  }

  /** Address of the leader, as last reported; undefined if unknown. */
  public get leader(): string | undefined {
    return this._leader;
  }

  /** Time within which every entry exchanges with the hub and so learns of a change there. */
  public getPropagationMs(): number {
    return Math.ceil(MAX_JITTER * this._computeEntryInterval() + EXCHANGE_ROUND_TRIP_MS);
  }

  /** Time since a majority last confirmed this process as the leader; infinite if none has. */
  public getConfirmationAgeMs(now: number): number {
    return now - (this._member?.log.getConfirmedAt() ?? Number.NEGATIVE_INFINITY);
  }

  /** The hub; undefined unless this process leads and a majority confirmed it lately. */
  public getHub(now: number): FleetHub | undefined {
    const log = this._member?.log;
    if (log === undefined || this.getConfirmationAgeMs(now) > MAX_CONFIRMATION_AGE_MS) {
      return undefined;
    }
    const { term } = log.status;
    if (this._hub?.term !== term) {
      this._startHub(term, now);
    }
    return this._hub?.hub;
  }

  public registerRpc(router: ConnectRouter): void {
    router.service(FleetService, {
      exchange: (request) => this.handleExchange(request, this._clock.now()),
      requestLeases: (request) => this.handleLeaseRequest(request, this._clock.now()),
      submit: (request, context) =>
        request.command === undefined
          ? create(SubmitResponseSchema, { reason: 'the command is missing' })
          : this._commit(request.command, context.signal),
      readDocument: (_request, context) => this._readConfirmed(context.signal),
      recordStreams: (request) => this._origins.recordStreams(request),
      findStreamOrigins: (request, context) =>
        this._origins.findStreamOrigins(request, context.signal),
    });
  }

  /** Restores targets saved before a restart; the hub marks those silent that don't announce themselves. */
  public restoreTargets(records: readonly TargetRecord[]): void {
    for (const record of records) {
      this._view.applyTarget(record);
    }
  }

  /**
   * Commits the record of a target that leaves, so that it outlives a stop of all processes. Resolves with false at
   * the timeout or if aborted; the record may then be committed or not.
   */
  public recordDeparture(
    record: TargetRecord,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    return runWithTimeout(signal, timeoutMs, (limited) => this._departures.record(record, limited));
  }

  /** Applies an announcement that a target sent to this process, and queues it for the hub. */
  public announce(record: TargetRecord, now: number): void {
    if (!isLeaving(record)) {
      this._departures.forget(record.id);
    }
    const existing = this._view.getTarget(record.id);
    this._view.applyAnnouncement(record);
    this._pendingAnnouncements.add(record, now);
    if (existing === undefined || needsPropagation(record, existing)) {
      this._exchangeRequested.abort();
    }
  }

  /** Starts the next exchange without waiting for the interval. */
  public requestExchange(): void {
    this._exchangeRequested.abort();
  }

  /** Requests an exchange with the hub at once and waits for its end; false at the timeout or if aborted. */
  public async awaitExchange(timeoutMs: number, signal: AbortSignal): Promise<boolean> {
    if (this.getHub(this._clock.now()) !== undefined) {
      this._exchangeLocally(this._clock.now());
      return true;
    }
    const controller = new AbortController();
    let hasEnded = false;
    this._exchangeWaiters.push(() => {
      hasEnded = true;
      controller.abort();
    });
    this._exchangeRequested.abort();
    await sleep(timeoutMs, controller.signal, signal);
    return hasEnded;
  }

  /**
   * Asks the hub for larger leases for the requests that lack tokens, and waits for its answer. Returns at the
   * timeout or if aborted.
   */
  public async requestLeases(timeoutMs: number, signal: AbortSignal): Promise<void> {
    await this._leases.requestLeases(timeoutMs, signal);
  }

  /** Sends a change to the leader. If the outcome is `unknown`, the change may have been committed or not. */
  public async submit(command: FleetCommand, signal: AbortSignal): Promise<SubmitOutcome> {
    const answer = await this._retryCommand(signal, async (limited) => {
      const result = this._isLeading()
        ? await this._commit(command, limited)
        : await this._queryLeader(limited, async (client, callLimit) => {
            const reply = await client.submit({ command }, { signal: callLimit });
            return reply.committed ? reply : reply.reason;
          });
      return typeof result === 'string' || result.committed ? result : result.reason;
    });
    return typeof answer === 'string' ? { kind: 'unknown', reason: answer } : { kind: 'committed' };
  }

  /** Reads the newest document; `unsure` unless a majority confirmed the leader after the call began. */
  public async readDocument(signal: AbortSignal): Promise<ReadOutcome> {
    const answer = await this._retryCommand(signal, async (limited) => {
      const read = this._isLeading()
        ? await this._readConfirmed(limited)
        : await this._queryLeader(limited, async (client, callLimit) => {
            const reply = await client.readDocument({}, { signal: callLimit });
            return reply.confirmed ? reply : NOT_CONFIRMED_REASON;
          });
      return typeof read === 'string' || read.confirmed ? read : NOT_CONFIRMED_REASON;
    });
    return typeof answer === 'string'
      ? { kind: 'unsure', reason: answer }
      : { kind: 'read', document: answer.document };
  }

  /** Has the leader record streams; returns the reason if it is unknown whether they are recorded. */
  public async recordStreams(
    records: StreamRecords,
    signal: AbortSignal,
  ): Promise<RecordStreamsResponse | string> {
    return this._callLeader(signal, async (client, limited) => {
      const reply =
        client === undefined
          ? await this._origins.recordStreams(records)
          : await client.recordStreams(records, { signal: limited });
      return reply.committed ? reply : reply.reason;
    });
  }

  /** Asks the leader for the software versions of streams; returns the reason if it cannot tell. */
  public async findStreamOrigins(
    keys: readonly bigint[],
    signal: AbortSignal,
  ): Promise<FindStreamOriginsResponse | string> {
    return this._callLeader(signal, async (client, limited) => {
      const request = { keys: [...keys] };
      const reply =
        client === undefined
          ? await this._origins.findStreamOrigins(request, limited)
          : await client.findStreamOrigins(request, { signal: limited });
      return reply.confirmed ? reply : reply.reason;
    });
  }

  /** Time for which records of streams are kept, and a base version without targets stays in force. */
  public getRebaseDelayMs(): number {
    const routes = this._view.table?.configuration.routes ?? [];
    return computeRebaseDelay(Math.max(0, ...routes.map(({ timeoutMs }) => timeoutMs)));
  }

  /** Exchanges with the leader at intervals until the signal is aborted; searches for it when it fails. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      const startedAt = this._clock.now();
      await this._exchangeOnce(signal);
      if (this._exchangeRequested.signal.aborted) {
        this._exchangeRequested = new AbortController();
      } else {
        await sleep(
          this._computeExchangeInterval() *
            (MIN_JITTER + Math.random() * (MAX_JITTER - MIN_JITTER)),
          this._exchangeRequested.signal,
          signal,
        );
      }
      const remainingMs = MIN_EXCHANGE_INTERVAL_MS - (this._clock.now() - startedAt);
      if (remainingMs > 0) {
        await sleep(remainingMs, signal);
      }
    }
  }

  /**
   * Sends membership notices to the seeds while this process is a control member, until the signal is
   * aborted. Seeds may have been replaced by diskless processes; after a simultaneous stop of all processes
   * these know only each other, so nobody would find the consensus group without the notices.
   */
  public async runMembershipNotices(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      const members = this._listMembers();
      const isMember = members.includes(this._options.address);
      const recipients = isMember ? this._seeds.filter((seed) => !members.includes(seed)) : [];
      await runWithTimeout(signal, DISCOVERY_TIMEOUT_MS, (limited) =>
        Promise.all(recipients.map((seed) => this._sendMembershipNotice(seed, members, limited))),
      );
      await sleep(addJitter(MEMBERSHIP_NOTICE_INTERVAL_MS), signal);
    }
  }

  /** Addresses of all processes that may know the consensus group. */
  public listKnownAddresses(): readonly string[] {
    const leader = this._leader === undefined ? [] : [this._leader];
    return [...new Set([...leader, ...this._members, ...this._seeds])];
  }

  /**
   * Answers an exchange. Only the leader returns fleet data, and none for a membership notice; every process
   * returns the leader's address and the control members that it knows.
   */
  public handleExchange(request: ExchangeRequest, now: number): ExchangeResponse {
    const hub = this.getHub(now);
    if (request.members.length > 0) {
      this._members = request.members;
    }
    const response = create(ExchangeResponseSchema, {
      leads: hub !== undefined,
      leaderAddress: hub === undefined ? (this._leader ?? '') : this._options.address,
      members: this._listMembers(),
    });
    if (hub === undefined || this._member === undefined || request.isHello) {
      return response;
    }
    hub.applyReport(request, now);
    for (const part of this._hub?.parts ?? []) {
      part.exchange(request, response, now);
    }
    const targetDelta = hub.listTargetsSince(request.epoch, Number(request.revision));
    const { state } = this._member;
    response.epoch = hub.epoch;
    response.revision = BigInt(targetDelta.revision);
    response.targets = [...targetDelta.targets];
    const readingDelta = hub.listReadings(
      request.node,
      request.epoch,
      Number(request.readingRevision),
    );
    response.readings = [...readingDelta.readings];
    response.readingRevision = BigInt(readingDelta.revision);
    const suspectDelta = hub.listSuspects(request.epoch, Number(request.suspectRevision), now);
    response.suspects = suspectDelta.suspects.map(({ parts, quarantined }) =>
      create(SuspectPartsSchema, { parts: [...parts], quarantined }),
    );
    response.suspectRevision = BigInt(suspectDelta.revision);
    response.weights = state.weights.map(({ model, version }) => {
      const learnedAt = this._view.weights.getNewestLearnedAt(model) ?? now;
      const isKnown = this._view.weights.getNewest(model) === Number(version);
      const ageMs = clampToUint32(isKnown ? now - learnedAt : 0);
      return create(NamedWeightsSchema, { model, version, ageMs });
    });
    this._origins.addReports(response, request, { hub, state }, now);
    response.work = hub.sumWorkOfOthers(request.node);
    response.entries = hub.countEntries();
    response.permits = hub
      .grantPermits(request.node, request.demands, now)
      .map((grant) => create(PermitGrantSchema, grant));
    response.grants = hub.grantLeases(request, now).map((grant) => create(QuotaGrantSchema, grant));
    addDocument(response, request, state.document);
    return response;
  }

  /** Grants leases if this process is the hub. */
  public handleLeaseRequest(request: LeaseRequest, now: number): LeaseResponse {
    const hub = this.getHub(now);
    const grants = hub?.grantLeases(request, now) ?? [];
    return create(LeaseResponseSchema, {
      leads: hub !== undefined,
      grants: grants.map((grant) => create(QuotaGrantSchema, grant)),
    });
  }

  private get _parts(): readonly IExchangePart[] {
    return this._options.parts ?? [];
  }

  private _isLeading(): boolean {
    return this.getHub(this._clock.now()) !== undefined;
  }

  private _getLeading(now: number): ILeading | undefined {
    const hub = this.getHub(now);
    const state = this._member?.state;
    return hub === undefined || state === undefined ? undefined : { hub, state };
  }

  /** Calls the leader once. The client is undefined if this process leads. */
  private _callLeader<T>(
    signal: AbortSignal,
    call: (
      client: Client<typeof FleetService> | undefined,
      limited: AbortSignal,
    ) => Promise<T | string>,
  ): Promise<T | string> {
    return runWithTimeout(signal, COMMAND_TIMEOUT_MS, (limited) =>
      this._isLeading() ? call(undefined, limited) : this._queryLeader(limited, call),
    );
  }

  /** Retries until an attempt returns a result; returns the last failure's reason if it times out. */
  private _retryCommand<T>(
    signal: AbortSignal,
    attempt: (limited: AbortSignal) => Promise<T | string>,
  ): Promise<T | string> {
    return runWithTimeout(signal, COMMAND_TIMEOUT_MS, async (limited) => {
      let reason = 'no leader is known';
      while (!isAborted(limited)) {
        const answer = await attempt(limited);
        if (typeof answer !== 'string') {
          return answer;
        }
        reason = answer;
        await sleep(addJitter(COMMAND_RETRY_DELAY_MS), limited);
      }
      return reason;
    });
  }

  private _startHub(term: number, now: number): void {
    const state = this._member?.state;
    const earlier: IEarlierSpending = {
      isConfigured: state?.document !== undefined,
      records: state?.spending ?? [],
      getCeiling: (clientAccount) => state?.getCeiling(clientAccount) ?? 0,
    };
    const hub = new FleetHub(
      `${this._options.address}/${term}`,
      this._options.hub,
      now,
      earlier,
      (record) => state?.departures.resolve(record) ?? record,
    );
    hub.restoreSuspects(this._quarantine.suspects, now);
    for (const record of this._view.listRecords()) {
      hub.announce(record, now);
    }
    if (this._view.table !== undefined) {
      hub.setLimits(this._deriveLimits(this._view.table), now);
    }
    const parts =
      state === undefined
        ? []
        : this._parts.flatMap((part) => part.createHubPart?.({ hub, state, startedAt: now }) ?? []);
    this._hub = { hub, term, parts };
    this._log.info('hub started', { term, targets: this._view.listRecords().length });
  }

  private _deriveLimits(table: RouteTable): Map<string, number> {
    const limits = new Map<string, number>();
    for (const account of table.configuration.clientAccounts ?? []) {
      if (account.tokensPerSecond > 0) {
        limits.set(account.name, computeWindowLimit(account, this._options.hub.quota));
      }
    }
    return limits;
  }

  /** Accounts with a limit in the configuration in force. */
  private _listLimitedAccounts(): readonly string[] {
    const accounts = this._view.table?.configuration.clientAccounts ?? [];
    return accounts.filter((account) => account.tokensPerSecond > 0).map(({ name }) => name);
  }

  /** Sends a lease request to the hub, which may be this process; undefined if none is known. */
  private async _callHubForLeases(request: LeaseRequest): Promise<LeaseResponse | undefined> {
    if (this._isLeading()) {
      return this.handleLeaseRequest(request, this._clock.now());
    }
    const leader = this._getKnownLeader();
    return leader === undefined || leader === this._options.address
      ? undefined
      : runWithTimeout(new AbortController().signal, EXCHANGE_TIMEOUT_MS, (signal) =>
          this._rpc.get(FleetService, leader).requestLeases(request, { signal }),
        );
  }

  private _buildRequest(now: number, quotas: IQuotaReportInFlight): ExchangeRequest {
    if (this._view.epoch === '') {
      this._pendingAnnouncements.repeat(this._view.listRecords());
    }
    const { crashes, clearedParts } = this._quarantine.listUnreported();
    const { observations, demands } = this._rateLimits.listReports(now);
    const request = create(ExchangeRequestSchema, {
      node: this._options.address,
      epoch: this._view.epoch,
      revision: BigInt(this._view.revision),
      documentVersion: BigInt(this._view.documentVersion),
      announced: [...this._pendingAnnouncements.list(now)],
      work: [...this._workSource.listWork()],
      quotas: quotas.lines.map((line) => create(QuotaReportSchema, line)),
      reportSequence: quotas.sequence,
      takesRequests: this._options.takesRequests,
      readings: [...this._workSource.takeReadings()],
      readingRevision: this._readingRevision,
      incarnation: this._incarnation,
      suspectRevision: this._suspectRevision,
      crashes: [...crashes],
      clearedParts: [...clearedParts],
      rateLimits: [...observations],
      demands: [...demands],
      versionRevision: this._view.versions.getRevision(this._view.epoch),
      recordsStreams: true,
      acceptsCompressedDocument: true,
    });
    for (const part of this._parts) {
      part.addReport(request, now);
    }
    return request;
  }

  private _exchangeLocally(now: number): void {
    const quotas = this._leases.beginReport(this._listLimitedAccounts(), now);
    const waiters = this._exchangeWaiters;
    this._exchangeWaiters = [];
    try {
      const request = this._buildRequest(now, quotas);
      this._applyResponse(this.handleExchange(request, now), request, waiters, now, now);
    } finally {
      quotas.end();
    }
  }

  private async _exchangeOnce(signal: AbortSignal): Promise<void> {
    const now = this._clock.now();
    if (this.getHub(now) !== undefined) {
      this._exchangeLocally(now);
      return;
    }
    this._exchangeFailure = 'no leader is known';
    const knownLeader = this._getKnownLeader();
    const isRemote = knownLeader !== undefined && knownLeader !== this._options.address;
    if (isRemote && (await this._exchangeWith(knownLeader, signal))) {
      return;
    }
    const foundLeader = await this._findLeader(signal);
    if (foundLeader !== undefined && (await this._exchangeWith(foundLeader, signal))) {
      return;
    }
    this._updateLeaderReachability(false, this._exchangeFailure);
  }

  /** Searches for the leader; undefined if no asked process knows a leader other than this process. */
  private async _findLeader(signal: AbortSignal): Promise<string | undefined> {
    const candidates = this._listLeaderCandidates().slice(0, MAX_DISCOVERY_CALLS);
    const queryProcess = async (
      address: string,
      limited: AbortSignal,
    ): Promise<ILeaderHint | undefined> => {
      const answer = await this._sendMembershipNotice(address, [], limited);
      this._members = answer?.members.length ? answer.members : this._members;
      return answer;
    };
    const leader = await runWithTimeout(signal, DISCOVERY_TIMEOUT_MS, (limited) =>
      findLeader(candidates, queryProcess, limited),
    );
    return leader === this._options.address ? undefined : leader;
  }

  /** Sends the member list, which may be empty; returns the answer, or undefined if the call failed. */
  private async _sendMembershipNotice(
    address: string,
    members: readonly string[],
    signal: AbortSignal,
  ): Promise<ExchangeResponse | undefined> {
    const request = create(ExchangeRequestSchema, {
      node: this._options.address,
      members: [...members],
      isHello: true,
    });
    try {
      return await this._rpc.get(FleetService, address).exchange(request, { signal });
    } catch (error) {
      this._log.debug('membership notice failed', { address, reason: describeError(error) });
      return undefined;
    }
  }

  private _computeExchangeInterval(): number {
    // A control member may become the next hub, so it keeps up with this one however many entries there are.
    return this._member !== undefined ? EXCHANGE_INTERVAL_MS : this._computeEntryInterval();
  }

  /** Interval of the exchanges of processes that are not control members. */
  private _computeEntryInterval(): number {
    return Math.max(EXCHANGE_INTERVAL_MS, this._view.entryCount * EXCHANGE_INTERVAL_PER_ENTRY_MS);
  }

  /** Exchanges with the process at an address; true if it answered as the leader. */
  private async _exchangeWith(address: string, signal: AbortSignal): Promise<boolean> {
    const waiters = this._exchangeWaiters;
    this._exchangeWaiters = [];
    const sentAt = this._clock.now();
    const quotas = this._leases.beginReport(this._listLimitedAccounts(), sentAt);
    try {
      const request = this._buildRequest(sentAt, quotas);
      const answer = await runWithTimeout(signal, EXCHANGE_TIMEOUT_MS, (limited) =>
        this._rpc.get(FleetService, address).exchange(request, { signal: limited }),
      );
      this._members = answer.members.length > 0 ? answer.members : this._members;
      if (answer.leads) {
        this._leader = address;
        this._applyResponse(answer, request, waiters, sentAt, this._clock.now());
        return true;
      }
      this._leader = answer.leaderAddress === '' ? undefined : answer.leaderAddress;
      this._exchangeFailure = `${address} does not lead`;
    } catch (error) {
      this._exchangeFailure = `${address}: ${describeError(error)}`;
      this._log.debug('exchange failed', { address, reason: describeError(error) });
      this._leader = this._leader === address ? undefined : this._leader;
    } finally {
      quotas.end();
    }
    this._exchangeWaiters.push(...waiters);
    return false;
  }

  private _applyResponse(
    answer: ExchangeResponse,
    request: ExchangeRequest,
    waiters: readonly (() => void)[],
    sentAt: number,
    now: number,
  ): void {
    const isNewEpoch = answer.epoch !== this._view.epoch;
    this._view.applyResponse(answer, now);
    for (const { id } of answer.targets.filter((record) => !isLeaving(record))) {
      this._departures.forget(id);
    }
    this._view.versions.apply(answer, sentAt);
    this._readingRevision = answer.readingRevision;
    this._workSource.applyReadings(answer.readings, now);
    this._pendingAnnouncements.removeReported(request.announced);
    if (isNewEpoch) {
      // A new hub starts without the earlier announcements, so all known ones are sent again.
      this._pendingAnnouncements.repeat(this._view.listRecords());
    }
    this._applySuspects(answer, request, isNewEpoch, now);
    this._rateLimits.removeReported({ observations: request.rateLimits });
    if (isNewEpoch) {
      this._rateLimits.repeatReports();
    }
    this._rateLimits.applyGrants(answer.permits, sentAt, now);
    this._leases.applyGrants(answer.grants, sentAt, now);
    for (const part of this._parts) {
      part.applyResponse(answer, { request, isNewEpoch, sentAt, now });
    }
    for (const finish of waiters) {
      finish();
    }
    this._updateLeaderReachability(true, answer.epoch);
  }

  private _applySuspects(
    answer: ExchangeResponse,
    request: ExchangeRequest,
    isNewEpoch: boolean,
    now: number,
  ): void {
    this._quarantine.removeReported(request);
    if (isNewEpoch) {
      this._quarantine.repeatReports();
    }
    if (isNewEpoch || answer.suspectRevision !== this._suspectRevision) {
      this._suspectRevision = answer.suspectRevision;
      this._quarantine.applySuspects(answer.suspects, now);
    }
  }

  private _updateLeaderReachability(isReachable: boolean, detail: string): void {
    this._wallet.setHubReachable(isReachable);
    this._quarantine.setHubReachable(isReachable);
    this._rateLimits.setHubReachable(isReachable, this._clock.now());
    for (const part of this._parts) {
      part.setHubReachable?.(isReachable, this._clock.now());
    }
    if (isReachable !== this._isLeaderReachable) {
      this._isLeaderReachable = isReachable;
      this._log.info(isReachable ? 'leader regained' : 'leader lost', {
        detail,
        lastAnswerAgeMs: Math.round(this._clock.now() - this._view.hubAnsweredAt),
      });
    }
  }

  private _getKnownLeader(): string | undefined {
    return this._member?.log.status.leaderAddress ?? this._leader;
  }

  private _listLeaderCandidates(): string[] {
    const first = this._getKnownLeader();
    const others = [...this._members, ...this._seeds].sort(() => Math.random() - 0.5);
    const all = first === undefined ? others : [first, ...others];
    return [...new Set(all)].filter((address) => address !== this._options.address);
  }

  private _listMembers(): string[] {
    const own = this._member?.log.status.membership.members.map(({ address }) => address) ?? [];
    return own.length > 0 ? own : [...this._members];
  }

  /** Calls one process after the other until one answers as the leader; else returns the last reason. */
  private async _queryLeader<T>(
    signal: AbortSignal,
    callProcess: (client: Client<typeof FleetService>, limited: AbortSignal) => Promise<T | string>,
  ): Promise<T | string> {
    let reason = 'no leader is known';
    for (const address of this._listLeaderCandidates()) {
      try {
        const answer = await runWithTimeout(signal, EXCHANGE_TIMEOUT_MS, (limited) =>
          callProcess(this._rpc.get(FleetService, address), limited),
        );
        if (typeof answer !== 'string') {
          return answer;
        }
        reason = answer;
      } catch (error) {
        reason = describeError(error);
      }
      if (isAborted(signal)) {
        break;
      }
    }
    return reason;
  }

  /** Commits a command if this process leads. A command that is already applied needs only a confirmation. */
  private async _commit(command: FleetCommand, signal: AbortSignal): Promise<SubmitResponse> {
    const member = this._member;
    const pending = this._pendingCommands;
    if (!member || !pending || this.getHub(this._clock.now()) === undefined) {
      return create(SubmitResponseSchema, { reason: 'this process does not lead' });
    }
    if (isAlreadyApplied(command, member.state)) {
      const confirmed = await this._waitForConfirmation(signal);
      return create(SubmitResponseSchema, {
        committed: confirmed,
        reason: confirmed ? '' : NOT_CONFIRMED_REASON,
      });
    }
    const result = await runWithTimeout(signal, COMMAND_TIMEOUT_MS, (limited) =>
      pending.commit(command, limited),
    );
    return result.ok
      ? create(SubmitResponseSchema, { committed: true })
      : create(SubmitResponseSchema, { reason: result.val.message });
  }

  private async _readConfirmed(signal: AbortSignal): Promise<ReadDocumentResponse> {
    const isConfirmed = await this._waitForConfirmation(signal);
    const response = create(ReadDocumentResponseSchema, { confirmed: isConfirmed });
    const document = this._member?.state.document;
    if (document !== undefined) {
      response.document = document;
    }
    return response;
  }

  /** Waits until a majority has confirmed this leader after the call began; false if that fails. */
  private async _waitForConfirmation(signal: AbortSignal): Promise<boolean> {
    const calledAt = this._clock.now();
    return runWithTimeout(signal, EXCHANGE_TIMEOUT_MS, async (limited) => {
      while (!isAborted(limited)) {
        const confirmedAt = this._member?.log.getConfirmedAt();
        if (confirmedAt === undefined) {
          return false;
        }
        if (confirmedAt >= calledAt) {
          return true;
        }
        await sleep(CONFIRMATION_POLL_INTERVAL_MS, limited);
      }
      return false;
    });
  }
}

/** True if the state already has the command's version or a newer one. */
function isAlreadyApplied(command: FleetCommand, state: FleetState): boolean {
  switch (command.body.case) {
    case 'putDocument': {
      const { version } = command.body.value;
      return state.document !== undefined && version <= state.document.version;
    }
    case 'nameWeights': {
      const { model, version } = command.body.value;
      return state.weights.some((named) => named.model === model && version <= named.version);
    }
    case 'recordDeparture':
      return state.departures.isCovered(command.body.value);
    case 'recordSpending':
    case 'recordStreams':
    case 'setVersionBase':
    case 'forgetStreams':
    case 'recordProbe':
    case 'startRollout':
    case 'recordRollout':
    case 'endRollout':
      return false;
    case undefined:
      return true;
  }
}
