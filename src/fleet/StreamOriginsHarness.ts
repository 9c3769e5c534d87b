/** Leaders, entries and targets of one service in memory, for tests of the software versions of streams. */
import { create, toBinary } from '@bufbuild/protobuf';
import type { IClock } from '../common/Clock.js';
import { SILENT_LOG } from '../common/Log.js';
import { InMemoryLog } from '../consensus/InMemoryLog.js';
import {
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  FleetCommandSchema,
  StreamRecordsSchema,
  SubmitResponseSchema,
  TargetPhase,
  type FindStreamOriginsResponse,
  type FleetCommand,
  type RecordStreamsResponse,
  type StreamRecords,
  type SubmitResponse,
  type TargetRecord,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { buildConfiguration, buildRoute, buildTarget, NO_SPENDING } from './Fixtures.js';
import { FleetHub } from './FleetHub.js';
import { FleetState } from './FleetState.js';
import { KnownVersions, type IVersionBase } from './KnownVersions.js';
import { OriginCalls, type ILeading } from './OriginCalls.js';
import { RouteTable } from './RouteTable.js';
import { computeRebaseDelay, getSoftwareVersion } from './SoftwareVersions.js';
import { hashAttemptId, StreamOrigins } from './StreamOrigins.js';
import { VersionRecorder } from './VersionRecorder.js';

export const SERVICE = 'lace';

/** Longest time limit of a request. */
export const TIMEOUT_MS = 15_000;

/** Time for which a leader goes on that no majority confirms any more. */
const MAX_CONFIRMATION_AGE_MS = 1_500;

/** Usual time since the last confirmation of a leader. */
const CONFIRMATION_AGE_MS = 200;

const ANNOUNCE_INTERVAL_MS = 1_200;

/** Time after which a request is repeated at another target. */
const REPEAT_DELAY_MS = 100;

const NEVER = new AbortController().signal;

/** What becomes of a call that records streams. `late`: it arrives after a time, and its caller gets no answer. */
export type CallFate = 'answered' | 'answer_lost' | 'late';

/** A leader with its replicated state. Once deposed, it commits nothing and is confirmed by nobody. */
export class Leader {
  public readonly hub: FleetHub;
  public readonly calls: OriginCalls;
  private readonly _recorder: VersionRecorder;
  private readonly _log: InMemoryLog;
  private _deposedAt: number | undefined;

  constructor(
    term: number,
    public readonly state: FleetState,
    clock: IClock,
  ) {
    this._log = new InMemoryLog(state, clock, 'leader');
    this.hub = new FleetHub(
      `leader/${term}`,
      {
        announceIntervalMs: ANNOUNCE_INTERVAL_MS,
        quota: { windowMs: 8_000, excessRatio: 0, toleranceTokens: 0 },
        processStartedAt: 0,
        log: SILENT_LOG,
      },
      clock.now(),
      NO_SPENDING,
    );
    const getRebaseDelayMs = (): number => computeRebaseDelay(TIMEOUT_MS);
    this.calls = new OriginCalls(
      {
        getLeading: (now) => this.getLeading(now),
        getConfirmationAgeMs: (now) => this._getConfirmationAgeMs(now),
        getRebaseDelayMs,
        commit: (command) => Promise.resolve(this.commit(command)),
        waitForConfirmation: () => Promise.resolve(this._deposedAt === undefined),
      },
      clock,
    );
    const configuration = buildConfiguration({ routes: [buildRoute({ timeoutMs: TIMEOUT_MS })] });
    this._recorder = new VersionRecorder(
      { getHub: (now) => this.getLeading(now)?.hub, getRebaseDelayMs },
      { table: new RouteTable(configuration) },
      () => ({ log: this._log, state }),
      clock,
      SILENT_LOG,
    );
  }

  public get base(): string | undefined {
    return this.state.versionBases.get(SERVICE);
  }

  public getLeading(now: number): ILeading | undefined {
    return this._getConfirmationAgeMs(now) > MAX_CONFIRMATION_AGE_MS
      ? undefined
      : { hub: this.hub, state: this.state };
  }

  public commit(command: FleetCommand): SubmitResponse {
    if (this._deposedAt !== undefined) {
      return create(SubmitResponseSchema, { reason: 'not the leader' });
    }
    this.state.apply(toBinary(FleetCommandSchema, command));
    return create(SubmitResponseSchema, { committed: true });
  }

  public async runRecorder(now: number): Promise<void> {
    if (this._deposedAt === undefined) {
      await this._recorder.executeStep(now, NEVER);
    }
  }

  /** Ends the leadership; returns a copy of the state for the next leader. */
  public stop(now: number): FleetState {
    this._deposedAt = now;
    const copy = new FleetState();
    copy.restore(this.state.snapshot());
    return copy;
  }

  private _getConfirmationAgeMs(now: number): number {
    return CONFIRMATION_AGE_MS + now - (this._deposedAt ?? now);
  }
}

/** A process that takes requests. It loses everything when it is replaced by a new one. */
export class Entry {
  public readonly versions = new KnownVersions();
  public readonly origins: StreamOrigins;
  public readonly targets = new Map<string, TargetRecord>();
  /** The leader that the process calls; undefined while it reaches none. */
  public leader: Leader | undefined;
  private _epoch = '';
  private readonly _pending = new Map<string, TargetRecord>();

  constructor(
    private readonly _name: string,
    private readonly _clock: IClock,
    private readonly _takeFate: () => CallFate,
  ) {
    this.origins = new StreamOrigins(
      {
        recordStreams: (records) => this._recordStreams(records),
        findStreamOrigins: (keys) => this._findStreamOrigins(keys),
      },
      {
        versions: this.versions,
        getVersionBase: (service, now) => this.versions.get(service, now),
      },
    );
  }

  public get known(): IVersionBase | undefined {
    return this.versions.get(SERVICE, this._clock.now());
  }

  public announce(record: TargetRecord): void {
    this.targets.set(record.id, record);
    this._pending.set(record.id, record);
  }

  /** Exchanges once with the leader, if it answers. */
  public exchange(): void {
    const now = this._clock.now();
    const leading = this.leader?.getLeading(now);
    if (this.leader === undefined || leading === undefined) {
      return;
    }
    const request = create(ExchangeRequestSchema, {
      node: this._name,
      epoch: this._epoch,
      announced: [...this._pending.values()],
      takesRequests: true,
      versionRevision: this.versions.getRevision(this._epoch),
      recordsStreams: true,
    });
    leading.hub.applyReport(request, now);
    const response = create(ExchangeResponseSchema, { leads: true, epoch: leading.hub.epoch });
    this.leader.calls.addReports(response, request, leading, now);
    this.versions.apply(response, now);
    this._pending.clear();
    if (this._epoch !== leading.hub.epoch) {
      this._epoch = leading.hub.epoch;
      for (const record of this.targets.values()) {
        this._pending.set(record.id, record);
      }
    }
  }

  private async _recordStreams(records: StreamRecords): Promise<RecordStreamsResponse | string> {
    const fate = this._takeFate();
    if (fate === 'late') {
      const copy = create(StreamRecordsSchema, records);
      setTimeout(() => void this.leader?.calls.recordStreams(copy), 700);
      return 'timeout';
    }
    const reply = await this.leader?.calls.recordStreams(records);
    if (reply === undefined || fate === 'answer_lost') {
      return 'timeout';
    }
    return reply.committed ? reply : reply.reason;
  }

  private async _findStreamOrigins(
    keys: readonly bigint[],
  ): Promise<FindStreamOriginsResponse | string> {
    const reply = await this.leader?.calls.findStreamOrigins({ keys: [...keys] }, NEVER);
    return reply?.confirmed === true ? reply : (reply?.reason ?? 'no leader is known');
  }
}

/** A target that announces itself to one entry. */
export interface ISimulatedTarget {
  record: TargetRecord;
  readonly entry: number;
  isAlive: boolean;
}

/** A stream of which a client has received the first event. */
export interface IStream {
  readonly id: string;
  readonly version: string;
  /** Time at which the request was sent to the target. */
  readonly sentAt: number;
}

export class StreamFleet {
  public readonly entries: Entry[];
  public readonly targets: ISimulatedTarget[] = [];
  public readonly streams: IStream[] = [];
  public leader: Leader;
  private _term = 1;
  private _attemptIds = 0;
  private _ticks = 0;

  constructor(
    size: number,
    private readonly _clock: IClock,
    private readonly _takeFate: () => CallFate = () => 'answered',
  ) {
    this.leader = new Leader(this._term, new FleetState(), _clock);
    this.entries = Array.from({ length: size }, (_, i) => this._createEntry(i));
  }

  /** Starts a target that announces itself to one entry. */
  public startTarget(softwareVersion: string, entry = 0): ISimulatedTarget {
    const number = this.targets.length;
    const record = buildTarget({
      id: `i-${number}`,
      address: `10.1.0.${number}:8000`,
      born: 1_000 + number,
      softwareVersion,
    });
    const target = { record, entry, isAlive: true };
    this.targets.push(target);
    this._announce(target);
    return target;
  }

  /** Ends a target. If it does not announce its end, it remains known for a while. */
  public stopTarget(target: ISimulatedTarget, isAnnounced = true): void {
    if (isAnnounced && target.isAlive) {
      target.record = buildTarget({ ...target.record, phase: TargetPhase.GONE });
      this._announce(target);
    }
    target.isAlive = false;
  }

  /**
   * Sends a request to the targets one after the other; the last one answers. The stream begins once its record
   * is durable, if it needs one, and not before the time that the target takes.
   */
  public async sendRequest(
    entry: Entry,
    targets: readonly ISimulatedTarget[],
    computeMs = 0,
  ): Promise<void> {
    this._attemptIds += 1;
    const id = `a${this._attemptIds}`;
    const sentAt = this._clock.now();
    const timeout = new AbortController();
    setTimeout(() => {
      timeout.abort();
    }, TIMEOUT_MS / 3);
    let isRecorded = Promise.resolve(true);
    let version = '';
    for (const [attempt, target] of targets.entries()) {
      if (attempt > 0) {
        await new Promise((resolve) => setTimeout(resolve, REPEAT_DELAY_MS));
      }
      version = getSoftwareVersion(target.record);
      isRecorded = entry.origins.needsRecord(id, SERVICE, version, sentAt)
        ? entry.origins.record(id, attempt, SERVICE, version, timeout.signal)
        : Promise.resolve(true);
    }
    await new Promise((resolve) => setTimeout(resolve, computeMs));
    if ((await isRecorded) && this.entries.includes(entry)) {
      this.streams.push({ id, version, sentAt });
    }
  }

  /** Replaces the leader. Entries listed in `followers` stay with the former one until it gives up. */
  public replaceLeader(followers: ReadonlySet<number> = new Set()): void {
    const former = this.leader;
    const state = former.stop(this._clock.now());
    this._term += 1;
    this.leader = new Leader(this._term, state, this._clock);
    for (const [i, entry] of this.entries.entries()) {
      if (entry.leader === former && !followers.has(i)) {
        entry.leader = this.leader;
      }
    }
  }

  /** Stops all processes at once; only committed commands survive, and the targets that members saved. */
  public restartAll(hasSavedTargets: boolean): void {
    const saved = [...this.entries.flatMap(({ targets }) => [...targets.values()])];
    this.replaceLeader();
    for (const i of this.entries.keys()) {
      this.entries[i] = this._createEntry(i);
    }
    for (const record of hasSavedTargets ? saved : []) {
      this.leader.hub.announce(record, this._clock.now());
    }
  }

  /** Separates an entry from every leader, or connects it again. */
  public setReachable(entry: Entry, isReachable: boolean): void {
    entry.leader = isReachable ? this.leader : undefined;
  }

  /** One round of announcements, exchanges and the leader's decisions. */
  public async tick(): Promise<void> {
    const now = this._clock.now();
    this._ticks += 1;
    for (const [i, target] of this.targets.entries()) {
      if (target.isAlive && (this._ticks + i) % 10 === 0) {
        this._announce(target);
      }
    }
    for (const [i, entry] of this.entries.entries()) {
      if (entry.leader !== undefined && entry.leader.getLeading(now) === undefined) {
        entry.leader = this.leader;
      }
      if ((this._ticks + i) % 2 === 0) {
        entry.exchange();
      }
    }
    if (this._ticks % 4 === 0) {
      await this.leader.runRecorder(now);
    }
  }

  /** Versions that the leader finds for streams, by attempt id; those of which it is unsure are absent. */
  public async findVersions(streams: readonly IStream[]): Promise<ReadonlyMap<string, string>> {
    const keys = streams.map(({ id }) => hashAttemptId(id));
    const response = await this.leader.calls.findStreamOrigins({ keys }, NEVER);
    const base = response.bases.find(({ service }) => service === SERVICE)?.version;
    const found = new Map<string, string>();
    for (const [i, { id }] of streams.entries()) {
      const version = response.versions[(response.origins[i] ?? 0) - 1]?.version ?? base;
      if (response.confirmed && version !== undefined) {
        found.set(id, version);
      }
    }
    return found;
  }

  private _createEntry(i: number): Entry {
    const entry = new Entry(`entry-${i}`, this._clock, this._takeFate);
    entry.leader = this.leader;
    return entry;
  }

  private _announce(target: ISimulatedTarget): void {
    target.record = buildTarget({ ...target.record, sequence: target.record.sequence + 1n });
    this.entries[target.entry % this.entries.length]?.announce(buildTarget(target.record));
  }
}
