/** Part of every process that exchanges knowledge with the leader, and serves as hub while it leads. */
import { create, toBinary } from '@bufbuild/protobuf';
import { randomUUID } from 'node:crypto';
import type { Client, ConnectRouter } from '@connectrpc/connect';
import type { IClock } from '../common/Clock.js';
import { describeError, type ILog } from '../common/Log.js';
import type { RpcClients } from '../common/Rpc.js';
import { addJitter, isAborted, runWithLimit, sleep } from '../common/Tasks.js';
import type { IConsensusStatus, IReplicatedLog } from '../consensus/Types.js';
import {
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  FleetCommandSchema,
  FleetService,
  QuotaGrantSchema,
  QuotaReportSchema,
  ReadDocumentResponseSchema,
  SubmitResponseSchema,
  type ExchangeRequest,
  type ExchangeResponse,
  type FleetCommand,
  type FleetDocument,
  type PromptReading,
  type ReadDocumentResponse,
  type SubmitResponse,
  type TargetRecord,
  type TargetWork,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { FleetHub, type IHubOptions } from './FleetHub.js';
import { findLeader, type ILeaderHint } from './LeaderSearch.js';
import type { FleetState } from './FleetState.js';
import type { FleetView } from './FleetView.js';
import type { QuotaWallet } from './QuotaWallet.js';
import { hasNews } from './TargetOrder.js';
import type { RouteTable } from './RouteTable.js';
import { deriveWindowLimit } from './QuotaRule.js';

/**
 * Between two exchanges; a change reaches every process within this time and a round trip. Each process
 * more makes the interval longer, so that the leader answers at most about 100 a second.
 */
const EXCHANGE_MS = 100;
const EXCHANGE_PER_ENTRY_MS = 10;

/** Limit of one exchange; a leader that does not answer is given up. */
const EXCHANGE_LIMIT_MS = 700;

/** Shortest time between two exchanges that a request asked for. */
const URGENT_GAP_MS = 15;

/** Limit of a change or a read, so that its caller can turn to another process within a second. */
const COMMAND_LIMIT_MS = 900;

/** Between two attempts of a change or a read. */
const COMMAND_PAUSE_MS = 50;

const NOT_CONFIRMED = 'the leader is not confirmed';

/** A leader whose majority has been silent for this long acts as no hub. */
const LEADER_STALE_MS = 1_500;

/** Between two times that a member tells the seeds of the group. */
const HELLO_MS = 500;

/** Limit of one hello, and of a search for the leader. */
const HELLO_LIMIT_MS = 300;

/** Processes that are asked at once who leads; more would be a herd towards the members after a common stop. */
const MAX_ASKED = 4;

/** Between two looks at the confirmation that a read waits for. */
const CONFIRM_POLL_MS = 15;

/** The replicated log of a process with a disk. */
export interface IFleetMember {
  readonly log: IReplicatedLog;
  readonly state: FleetState;
}

export interface IFleetNodeOptions {
  /** Identity of this process in exchanges: its internal address. */
  readonly address: string;
  readonly takesRequests: boolean;
  readonly hub: IHubOptions;
}

/** What the data path of this process adds to an exchange. */
export interface IWorkSource {
  listWork(): readonly TargetWork[];
  /** Readings of prompt parts since the last call. */
  takeReadings(): readonly PromptReading[];
  /** Takes readings that other processes have reported. */
  noteReadings(readings: readonly PromptReading[], now: number): void;
}

export type SubmitOutcome =
  { readonly kind: 'committed' } | { readonly kind: 'unknown'; readonly reason: string };

export type ReadOutcome =
  | { readonly kind: 'read'; readonly document: FleetDocument | undefined }
  | { readonly kind: 'unsure'; readonly reason: string };

/** Announcements, changes, reads and exchanges of one process. */
export class FleetNode {
  private _member: IFleetMember | undefined;
  private _hub: { readonly hub: FleetHub; readonly term: number } | undefined;
  private _leader: string | undefined;
  private _members: readonly string[] = [];
  /** Announcements to pass on with the next exchange. */
  private readonly _pending = new Map<string, TargetRecord>();
  private readonly _pendingSince = new Map<string, number>();
  private _woken = new AbortController();
  private _waiters: (() => void)[] = [];
  private _isInTouch = false;
  private readonly _incarnation = randomUUID().slice(0, 8);
  /** Up to where readings of others are known, at the hub of the view's epoch. */
  private _readingRevision = 0n;

  constructor(
    private readonly _options: IFleetNodeOptions,
    private readonly _view: FleetView,
    private readonly _wallet: QuotaWallet,
    private readonly _work: IWorkSource,
    private readonly _rpc: Pick<RpcClients, 'get'>,
    private readonly _clock: IClock,
    private readonly _log: ILog,
    private _seeds: readonly string[],
  ) {
    _view.onTableChange((table) => {
      this._hub?.hub.setLimits(this._deriveLimits(table));
    });
  }

  /** Sets the replicated log of this process; undefined while its disk is not open. */
  public setMember(member: IFleetMember | undefined): void {
    this._member = member;
    this._hub = undefined;
    if (member !== undefined) {
      // The own state may lack what a majority has; the view takes it from the confirmed leader.
      member.state.onChange(() => {
        this._woken.abort();
      });
    }
  }

  /** Addresses to ask first; replaces those given before. True if they differ. */
  public setSeeds(seeds: readonly string[]): boolean {
    const hasChanged = seeds.join() !== this._seeds.join();
    this._seeds = seeds;
    return hasChanged;
  }

  /** Address of the leader as far as it is known. */
  public get leader(): string | undefined {
    return this._leader;
  }

  /** The hub, while this process leads; for decisions that only the leader makes. */
  public getHub(now: number): FleetHub | undefined {
    const log = this._member?.log;
    const confirmedAt = log?.getConfirmedAt();
    if (log === undefined || confirmedAt === undefined || now - confirmedAt > LEADER_STALE_MS) {
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
      exchange: (request) => this.answerExchange(request, this._clock.now()),
      submit: (request, context) =>
        request.command === undefined
          ? create(SubmitResponseSchema, { reason: 'the command is missing' })
          : this._commit(request.command, context.signal),
      readDocument: (_request, context) => this._readConfirmed(context.signal),
    });
  }

  /** Takes targets that were known before a restart; they are silent unless they announce themselves. */
  public restoreTargets(records: readonly TargetRecord[]): void {
    for (const record of records) {
      this._view.applyTarget(record);
    }
  }

  /** Takes an announcement that a target sent to this process. */
  public announce(record: TargetRecord, now: number): void {
    const known = this._view.getTarget(record.id);
    this._view.applyAnnouncement(record);
    this._pending.set(record.id, record);
    this._pendingSince.set(record.id, now);
    if (known === undefined || hasNews(record, known)) {
      this._woken.abort();
    }
  }

  /** Waits until the next exchange with the hub has ended; false after the limit. */
  public async awaitExchange(limitMs: number, signal: AbortSignal): Promise<boolean> {
    if (this.getHub(this._clock.now()) !== undefined) {
      this._exchangeLocally(this._clock.now());
      return true;
    }
    const controller = new AbortController();
    let isDone = false;
    this._waiters.push(() => {
      isDone = true;
      controller.abort();
    });
    this._woken.abort();
    await sleep(limitMs, controller.signal, signal);
    return isDone;
  }

  /** Brings a change to the leader; its outcome is known only if it was committed. */
  public async submit(command: FleetCommand, signal: AbortSignal): Promise<SubmitOutcome> {
    const answer = await this._repeatCommand(signal, async (limited) => {
      const done = this._isLeading()
        ? await this._commit(command, limited)
        : await this._queryLeader(limited, async (client, callLimit) => {
            const reply = await client.submit({ command }, { signal: callLimit });
            return reply.committed ? reply : reply.reason;
          });
      return typeof done === 'string' || done.committed ? done : done.reason;
    });
    return typeof answer === 'string' ? { kind: 'unknown', reason: answer } : { kind: 'committed' };
  }

  /** Reads the newest document; unsure unless a majority confirmed the leader after the call began. */
  public async readDocument(signal: AbortSignal): Promise<ReadOutcome> {
    const answer = await this._repeatCommand(signal, async (limited) => {
      const read = this._isLeading()
        ? await this._readConfirmed(limited)
        : await this._queryLeader(limited, async (client, callLimit) => {
            const reply = await client.readDocument({}, { signal: callLimit });
            return reply.confirmed ? reply : NOT_CONFIRMED;
          });
      return typeof read === 'string' || read.confirmed ? read : NOT_CONFIRMED;
    });
    return typeof answer === 'string'
      ? { kind: 'unsure', reason: answer }
      : { kind: 'read', document: answer.document };
  }

  /** Exchanges with the leader until the signal is aborted. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      const startedAt = this._clock.now();
      await this._exchangeOnce(signal);
      if (this._woken.signal.aborted) {
        this._woken = new AbortController();
      } else {
        await sleep(
          addJitter(this._pickInterval(), () => 0.25 + Math.random() / 2),
          this._woken.signal,
          signal,
        );
      }
      const gapMs = URGENT_GAP_MS - (this._clock.now() - startedAt);
      if (gapMs > 0) {
        await sleep(gapMs, signal);
      }
    }
  }

  /**
   * Tells the seeds which members there are, until the signal is aborted. Seeds may be exchanged for
   * processes without disk; after a common stop these know only each other, and nobody would find the group.
   */
  public async runHellos(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      const members = this._listMembers();
      const isMember = members.includes(this._options.address);
      const others = isMember ? this._seeds.filter((seed) => !members.includes(seed)) : [];
      await runWithLimit(signal, HELLO_LIMIT_MS, (limited) =>
        Promise.all(others.map((seed) => this._sendHello(seed, members, limited))),
      );
      await sleep(addJitter(HELLO_MS), signal);
    }
  }

  /** Addresses of all processes that may know the group. */
  public listKnown(): readonly string[] {
    const leader = this._leader === undefined ? [] : [this._leader];
    return [...new Set([...leader, ...this._members, ...this._seeds])];
  }

  /** Answers another process; only a leader has news. */
  public answerExchange(request: ExchangeRequest, now: number): ExchangeResponse {
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
    hub.takeReport(request, now);
    const news = hub.listNews(request.epoch, Number(request.revision));
    const { state } = this._member;
    response.epoch = hub.epoch;
    response.revision = BigInt(news.revision);
    response.targets = [...news.targets];
    const board = hub.listReadings(request.node, request.epoch, Number(request.readingRevision));
    response.readings = [...board.readings];
    response.readingRevision = BigInt(board.revision);
    response.weights = [...state.weights];
    response.work = hub.sumWork(request.node);
    response.entries = hub.countEntries();
    response.grants = hub.grantQuotas(request, now).map((grant) => create(QuotaGrantSchema, grant));
    if (state.document !== undefined && state.document.version > request.documentVersion) {
      response.document = state.document;
    }
    return response;
  }

  private _isLeading(): boolean {
    return this.getHub(this._clock.now()) !== undefined;
  }

  /** Repeats a command until it has an answer other than a reason, or the limit is reached. */
  private _repeatCommand<T>(
    signal: AbortSignal,
    attempt: (limited: AbortSignal) => Promise<T | string>,
  ): Promise<T | string> {
    return runWithLimit(signal, COMMAND_LIMIT_MS, async (limited) => {
      let reason = 'no leader is known';
      while (!isAborted(limited)) {
        const answer = await attempt(limited);
        if (typeof answer !== 'string') {
          return answer;
        }
        reason = answer;
        await sleep(addJitter(COMMAND_PAUSE_MS), limited);
      }
      return reason;
    });
  }

  private _startHub(term: number, now: number): void {
    const hub = new FleetHub(`${this._options.address}/${term}`, this._options.hub, now);
    this._hub = { hub, term };
    for (const record of this._view.listRecords()) {
      hub.announce(record, now);
    }
    if (this._view.table !== undefined) {
      hub.setLimits(this._deriveLimits(this._view.table));
    }
    this._log.info('hub started', { term, targets: this._view.listRecords().length });
  }

  private _deriveLimits(table: RouteTable): Map<string, number> {
    const limits = new Map<string, number>();
    for (const account of table.configuration.clientAccounts ?? []) {
      if (account.tokensPerSecond > 0) {
        limits.set(account.name, deriveWindowLimit(account, this._options.hub.quota));
      }
    }
    return limits;
  }

  private _buildRequest(now: number): ExchangeRequest {
    const isKnownEpoch = this._view.epoch !== '';
    const announced = isKnownEpoch ? [...this._pending.values()] : this._view.listRecords();
    return create(ExchangeRequestSchema, {
      node: this._options.address,
      epoch: this._view.epoch,
      revision: BigInt(this._view.revision),
      documentVersion: BigInt(this._view.documentVersion),
      announced: announced.map((record) => ({
        ...record,
        ageMs: Math.round(now - (this._pendingSince.get(record.id) ?? now)),
      })),
      work: [...this._work.listWork()],
      quotas: this._wallet.report(now).map((line) => create(QuotaReportSchema, line)),
      takesRequests: this._options.takesRequests,
      readings: [...this._work.takeReadings()],
      readingRevision: this._readingRevision,
      incarnation: this._incarnation,
    });
  }

  private _exchangeLocally(now: number): void {
    const request = this._buildRequest(now);
    const waiters = this._waiters;
    this._waiters = [];
    this._applyAnswer(this.answerExchange(request, now), request.announced, waiters, now);
  }

  private async _exchangeOnce(signal: AbortSignal): Promise<void> {
    const now = this._clock.now();
    if (this.getHub(now) !== undefined) {
      this._exchangeLocally(now);
      return;
    }
    const known = this._getKnownLeader();
    const isOther = known !== undefined && known !== this._options.address;
    if (isOther && (await this._exchangeWith(known, signal))) {
      return;
    }
    const found = await this._findLeader(signal);
    if (found !== undefined && (await this._exchangeWith(found, signal))) {
      return;
    }
    this._noteTouch(false, 'no leader answered');
  }

  /** Undefined if no process that was asked knows another one that leads. */
  private async _findLeader(signal: AbortSignal): Promise<string | undefined> {
    const asked = this._listLeaderCandidates().slice(0, MAX_ASKED);
    const ask = async (address: string, limited: AbortSignal): Promise<ILeaderHint | undefined> => {
      const answer = await this._sendHello(address, [], limited);
      this._members = answer?.members.length ? answer.members : this._members;
      return answer;
    };
    const leader = await runWithLimit(signal, HELLO_LIMIT_MS, (limited) =>
      findLeader(asked, ask, limited),
    );
    return leader === this._options.address ? undefined : leader;
  }

  /** Tells a process which members there are, and hears what it knows; undefined if it does not answer. */
  private async _sendHello(
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
      this._log.debug('hello failed', { address, reason: describeError(error) });
      return undefined;
    }
  }

  private _pickInterval(): number {
    return Math.max(EXCHANGE_MS, this._view.entries * EXCHANGE_PER_ENTRY_MS);
  }

  /** True if the process at the address answered as leader. */
  private async _exchangeWith(address: string, signal: AbortSignal): Promise<boolean> {
    const waiters = this._waiters;
    this._waiters = [];
    const request = this._buildRequest(this._clock.now());
    try {
      const answer = await runWithLimit(signal, EXCHANGE_LIMIT_MS, (limited) =>
        this._rpc.get(FleetService, address).exchange(request, { signal: limited }),
      );
      this._members = answer.members.length > 0 ? answer.members : this._members;
      if (answer.leads) {
        this._leader = address;
        this._applyAnswer(answer, request.announced, waiters, this._clock.now());
        return true;
      }
      this._leader = answer.leaderAddress === '' ? undefined : answer.leaderAddress;
    } catch (error) {
      this._log.debug('exchange failed', { address, reason: describeError(error) });
      this._leader = this._leader === address ? undefined : this._leader;
    }
    this._waiters.push(...waiters);
    return false;
  }

  private _applyAnswer(
    answer: ExchangeResponse,
    announced: readonly TargetRecord[],
    waiters: readonly (() => void)[],
    now: number,
  ): void {
    const isNewEpoch = answer.epoch !== this._view.epoch;
    this._view.applyAnswer(answer, now);
    this._readingRevision = answer.readingRevision;
    this._work.noteReadings(answer.readings, now);
    for (const record of announced) {
      const pending = this._pending.get(record.id);
      if (pending?.sequence === record.sequence && pending.born === record.born) {
        this._pending.delete(record.id);
        this._pendingSince.delete(record.id);
      }
    }
    if (isNewEpoch) {
      // The new hub may not know what this process was told before.
      for (const record of this._view.listRecords()) {
        this._pending.set(record.id, this._pending.get(record.id) ?? record);
      }
    }
    this._wallet.noteAnswer(now);
    for (const { clientAccount, tokens, waitMs } of answer.grants) {
      this._wallet.addGrant(clientAccount, tokens, waitMs, now);
    }
    for (const finish of waiters) {
      finish();
    }
    this._noteTouch(true, answer.epoch);
  }

  private _noteTouch(isInTouch: boolean, detail: string): void {
    if (isInTouch !== this._isInTouch) {
      this._isInTouch = isInTouch;
      this._log.info(isInTouch ? 'leader regained' : 'leader lost', {
        detail,
        lastAnswerAgeMs: Math.round(this._clock.now() - this._view.answeredAt),
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
    const status: IConsensusStatus | undefined = this._member?.log.status;
    const own = status?.membership.members.map((member) => member.address) ?? [];
    return own.length > 0 ? own : [...this._members];
  }

  /** Asks one process after the other until one answers as leader; else the last reason. */
  private async _queryLeader<T>(
    signal: AbortSignal,
    ask: (client: Client<typeof FleetService>, limited: AbortSignal) => Promise<T | string>,
  ): Promise<T | string> {
    let reason = 'no leader is known';
    for (const address of this._listLeaderCandidates()) {
      try {
        const answer = await runWithLimit(signal, EXCHANGE_LIMIT_MS, (limited) =>
          ask(this._rpc.get(FleetService, address), limited),
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

  /** Commits a command on this leader, unless the state shows that it would change nothing. */
  private async _commit(command: FleetCommand, signal: AbortSignal): Promise<SubmitResponse> {
    const member = this._member;
    if (member === undefined || this.getHub(this._clock.now()) === undefined) {
      return create(SubmitResponseSchema, { reason: 'this process does not lead' });
    }
    if (isSettled(command, member.state)) {
      const confirmed = await this._waitConfirmed(signal);
      return create(SubmitResponseSchema, {
        committed: confirmed,
        reason: confirmed ? '' : NOT_CONFIRMED,
      });
    }
    const done = await runWithLimit(signal, COMMAND_LIMIT_MS, (limited) =>
      member.log.propose(toBinary(FleetCommandSchema, command), limited),
    );
    return done.ok
      ? create(SubmitResponseSchema, { committed: true })
      : create(SubmitResponseSchema, { reason: done.val.message });
  }

  private async _readConfirmed(signal: AbortSignal): Promise<ReadDocumentResponse> {
    const isConfirmed = await this._waitConfirmed(signal);
    const response = create(ReadDocumentResponseSchema, { confirmed: isConfirmed });
    const document = this._member?.state.document;
    if (document !== undefined) {
      response.document = document;
    }
    return response;
  }

  /** True once a majority has confirmed this leader after the call began. */
  private async _waitConfirmed(signal: AbortSignal): Promise<boolean> {
    const calledAt = this._clock.now();
    return runWithLimit(signal, EXCHANGE_LIMIT_MS, async (limited) => {
      while (!isAborted(limited)) {
        const confirmedAt = this._member?.log.getConfirmedAt();
        if (confirmedAt === undefined) {
          return false;
        }
        if (confirmedAt >= calledAt) {
          return true;
        }
        await sleep(CONFIRM_POLL_MS, limited);
      }
      return false;
    });
  }
}

/** True if the committed state already holds the command or something newer. */
function isSettled(command: FleetCommand, state: FleetState): boolean {
  switch (command.body.case) {
    case 'putDocument': {
      const { version } = command.body.value;
      return state.document !== undefined && version <= state.document.version;
    }
    case 'nameWeights': {
      const { model, version } = command.body.value;
      return state.weights.some((known) => known.model === model && version <= known.version);
    }
    case undefined:
      return true;
  }
}
