/** Answers calls about the software versions of streams; acts on the leader only. */
import { create } from '@bufbuild/protobuf';
import type { IClock } from '../common/Clock.js';
import { sleep } from '../common/Tasks.js';
import { clampToUint32 } from '../common/Uint32.js';
import {
  FindStreamOriginsResponseSchema,
  FleetCommandSchema,
  RecordStreamsResponseSchema,
  ServiceVersionSchema,
  StreamRecordSchema,
  StreamRecordsSchema,
  VersionReportSchema,
  type ExchangeRequest,
  type ExchangeResponse,
  type FindStreamOriginsRequest,
  type FindStreamOriginsResponse,
  type FleetCommand,
  type RecordStreamsResponse,
  type StreamRecords,
  type SubmitResponse,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import type { FleetHub } from './FleetHub.js';
import type { FleetState } from './FleetState.js';
import { UNIFORMITY_TRUST_MS } from './SoftwareVersions.js';

/** Time in which records of several processes gather for one command. */
const JOIN_MS = 4;

/** Records of one command, but for those of the call that exceeds this. */
const MAX_JOINED_STREAMS = 4_000;

const NOT_LEADING_REASON = 'this process does not lead';

/** The hub of a leader and its replicated state. */
export interface ILeading {
  readonly hub: FleetHub;
  readonly state: FleetState;
}

/** What the calls need of the process; all of it fails on a process that does not lead. */
export interface ILeader {
  getLeading(now: number): ILeading | undefined;
  getConfirmationAgeMs(now: number): number;
  /** Time for which records of streams are kept. */
  getRebaseDelayMs(): number;
  commit(command: FleetCommand, signal: AbortSignal): Promise<SubmitResponse>;
  /** Waits until a majority has confirmed the leader after the call began; false if that fails. */
  waitForConfirmation(signal: AbortSignal): Promise<boolean>;
}

/** The leader's part of recording streams and of finding their versions. */
export class OriginCalls {
  /** Records of calls that wait for their common command. */
  private _joined:
    { readonly records: StreamRecords; readonly response: Promise<SubmitResponse> } | undefined;
  private _observed: { readonly hub: FleetHub; readonly revision: string } | undefined;

  constructor(
    private readonly _leader: ILeader,
    private readonly _clock: IClock,
  ) {}

  /** Adds to the answer to an exchange what the hub knows of software versions. */
  public addReports(
    response: ExchangeResponse,
    request: Pick<ExchangeRequest, 'epoch' | 'versionRevision'>,
    { hub, state }: ILeading,
    now: number,
  ): void {
    this._observe({ hub, state }, now);
    const { revision, reports } = hub.versions;
    const isKnown = request.epoch === hub.epoch && request.versionRevision === BigInt(revision);
    response.tracksVersions = true;
    response.versionRevision = BigInt(revision);
    response.versions = isKnown ? [] : reports.map((report) => create(VersionReportSchema, report));
    const ageMs = this._leader.getConfirmationAgeMs(now);
    // A later confirmation than `now` is possible where the leader is the only voter.
    response.confirmationAgeMs = clampToUint32(Math.ceil(ageMs));
  }

  /** Records streams, and tells how long their first events must wait beyond the commit. */
  public async recordStreams(records: StreamRecords): Promise<RecordStreamsResponse> {
    const { committed, reason } = await this._commitJoined(records);
    if (!committed) {
      return create(RecordStreamsResponseSchema, { reason });
    }
    const now = this._clock.now();
    const leading = this._leader.getLeading(now);
    if (leading === undefined) {
      const waitMs = records.versions.map(() => UNIFORMITY_TRUST_MS);
      return create(RecordStreamsResponseSchema, { committed, waitMs });
    }
    this._observe(leading, now);
    const waitMs = records.versions.map((origin) => leading.hub.versions.getWaitMs(origin, now));
    return create(RecordStreamsResponseSchema, { committed, waitMs });
  }

  /** Looks up streams once a majority has confirmed that this process leads and its records are complete. */
  public async findStreamOrigins(
    { keys }: Pick<FindStreamOriginsRequest, 'keys'>,
    signal: AbortSignal,
  ): Promise<FindStreamOriginsResponse> {
    const isConfirmed = await this._leader.waitForConfirmation(signal);
    const now = this._clock.now();
    const leading = this._leader.getLeading(now);
    if (!isConfirmed || leading === undefined) {
      return create(FindStreamOriginsResponseSchema, { reason: NOT_LEADING_REASON });
    }
    this._observe(leading, now);
    const { hub, state } = leading;
    const response = create(FindStreamOriginsResponseSchema, { confirmed: true });
    for (const key of keys) {
      const origin = state.streams.find(key);
      if (origin !== undefined) {
        const { service, version } = origin;
        response.versions.push(create(ServiceVersionSchema, { service, version }));
      }
      response.origins.push(origin === undefined ? 0 : response.versions.length);
    }
    for (const [service, version] of state.streams.isComplete ? state.versionBases : []) {
      if (hub.versions.canAttribute(service, this._leader.getRebaseDelayMs(), now)) {
        response.bases.push(create(ServiceVersionSchema, { service, version }));
      }
    }
    return response;
  }

  /** Commits records of several calls with one command, since each command brings the next snapshot closer. */
  private async _commitJoined({ versions, streams }: StreamRecords): Promise<SubmitResponse> {
    if (this._joined === undefined || this._joined.records.streams.length >= MAX_JOINED_STREAMS) {
      const records = create(StreamRecordsSchema);
      this._joined = { records, response: this._commitLater(records) };
    }
    const { records, response } = this._joined;
    const indexes = versions.map((origin) => {
      const index = records.versions.findIndex(
        ({ service, version }) => service === origin.service && version === origin.version,
      );
      return index >= 0 ? index : records.versions.push(origin) - 1;
    });
    for (const stream of streams) {
      const version = indexes[stream.version];
      if (version !== undefined) {
        records.streams.push(create(StreamRecordSchema, { ...stream, version }));
      }
    }
    return response;
  }

  private async _commitLater(records: StreamRecords): Promise<SubmitResponse> {
    const unlimited = new AbortController().signal;
    await sleep(JOIN_MS, unlimited);
    this._joined = this._joined?.records === records ? undefined : this._joined;
    const body = { case: 'recordStreams', value: records } as const;
    return this._leader.commit(create(FleetCommandSchema, { body }), unlimited);
  }

  /** Compares targets and state, unless neither has changed since the last time. */
  private _observe({ hub, state }: ILeading, now: number): void {
    const revision = `${hub.targetRevision} ${state.streams.revision} ${JSON.stringify([...state.versionBases, ...state.unsettledBases])}`;
    if (this._observed?.hub !== hub || this._observed.revision !== revision) {
      hub.versions.observe(hub.listTargets(), state, now);
      this._observed = { hub, revision };
    }
  }
}
