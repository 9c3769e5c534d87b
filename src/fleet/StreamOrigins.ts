/** Records and finds the software versions that began streams, for the requests of this process. */
import { create } from '@bufbuild/protobuf';
import { digestSha256 } from '../common/Hashes.js';
import { isAborted, runWithTimeout, sleep } from '../common/Tasks.js';
import { StreamRecordsSchema, type ServiceVersion } from '../gen/redwingwharf/v1/fleet_pb.js';
import { CallBatcher } from './CallBatcher.js';
import type { FleetNode } from './FleetNode.js';
import type { FleetView } from './FleetView.js';

/** Time in which records or look-ups gather for one call. */
const RECORD_BATCH_MS = 8;
const FIND_BATCH_MS = 3;

/** Records or look-ups of one call at most. */
const MAX_BATCH_ITEMS = 1_000;

/** Streams of this process that are remembered, and for how long. */
const MAX_REMEMBERED_STREAMS = 8_192;
const REMEMBER_MS = 60_000;

/** Stands for a version that no target has. */
const NO_VERSION = '';

/** The software version that began a stream; `NO_VERSION` if none of the service did. */
export type OriginOutcome =
  | { readonly kind: 'version'; readonly version: string }
  | { readonly kind: 'unsure'; readonly reason: string };

interface IRecordInput {
  readonly attemptId: string;
  readonly attempt: number;
  readonly service: string;
  readonly version: string;
}

interface IFindInput {
  readonly attemptId: string;
  readonly service: string;
}

interface IRememberedStream {
  readonly service: string;
  readonly version: string;
  readonly at: number;
}

/** Key of a stream in the replicated records: the first 64 bits of the SHA-256 of its attempt id. */
export function hashAttemptId(attemptId: string): bigint {
  return Buffer.from(digestSha256(attemptId)).readBigUInt64BE();
}

/** What a process knows of the origins of streams, its own memory first and else by the leader. */
export class StreamOrigins {
  private readonly _records: CallBatcher<IRecordInput, number>;
  private readonly _lookups: CallBatcher<IFindInput, OriginOutcome>;
  private readonly _remembered = new Map<string, IRememberedStream>();
  /** Streams of which this process has submitted a record, oldest first. */
  private readonly _recorded = new Set<string>();

  constructor(
    node: Pick<FleetNode, 'recordStreams' | 'findStreamOrigins'>,
    private readonly _view: Pick<FleetView, 'getVersionBase' | 'versions'>,
  ) {
    const stop = new AbortController();
    this._records = new CallBatcher(RECORD_BATCH_MS, MAX_BATCH_ITEMS, (inputs) =>
      sendRecords(node, inputs, stop.signal),
    );
    this._lookups = new CallBatcher(FIND_BATCH_MS, MAX_BATCH_ITEMS, (inputs) =>
      sendLookups(node, inputs, stop.signal),
    );
  }

  /**
   * True if an attempt of a call at a target of this version must be recorded before its first event is sent to
   * the client: unless the version is surely the base version and no earlier attempt of the call was recorded.
   * False under a leader of an older build, which keeps no records.
   */
  public needsRecord(attemptId: string, service: string, version: string, now: number): boolean {
    if (!this._view.versions.isTracked) {
      return false;
    }
    const known = this._view.getVersionBase(service, now);
    return known?.base !== version || !known.isCurrent || this._recorded.has(attemptId);
  }

  /**
   * Records the version at which a stream begins. `attempt` is the number of the attempt within the call; the
   * highest one of a stream counts, in whatever order the records arrive. Repeats until the record is durable and
   * no process can take the service for uniform any more, then resolves true; false if aborted.
   */
  public async record(
    attemptId: string,
    attempt: number,
    service: string,
    version: string,
    signal: AbortSignal,
  ): Promise<boolean> {
    this._recorded.add(attemptId);
    dropOldest(this._recorded, MAX_REMEMBERED_STREAMS);
    const outcome = await this._records.call({ attemptId, attempt, service, version }, signal);
    if (outcome.kind === 'aborted') {
      return false;
    }
    if (outcome.result > 0) {
      await sleep(outcome.result, signal);
    }
    return !isAborted(signal);
  }

  /**
   * Asks the leader which software version of the service began a stream. Repeats until the leader can tell, until
   * the timeout, or until aborted.
   */
  public async find(
    attemptId: string,
    service: string,
    signal: AbortSignal,
    timeoutMs: number,
  ): Promise<OriginOutcome> {
    const outcome = await runWithTimeout(signal, timeoutMs, (limited) =>
      this._lookups.call({ attemptId, service }, limited),
    );
    return outcome.kind === 'done' ? outcome.result : { kind: 'unsure', reason: outcome.reason };
  }

  /** Remembers the version of a stream of which this process has sent the first event to its client. */
  public keepServed(attemptId: string, service: string, version: string, now: number): void {
    this._remembered.delete(attemptId);
    this._remembered.set(attemptId, { service, version, at: now });
    dropOldest(this._remembered, MAX_REMEMBERED_STREAMS);
  }

  /**
   * The version of a stream that this process has served lately, `NO_VERSION` if another service did; undefined if
   * it knows of none.
   */
  public getServed(attemptId: string, service: string, now: number): string | undefined {
    const stream = this._remembered.get(attemptId);
    if (stream === undefined || now - stream.at > REMEMBER_MS) {
      return undefined;
    }
    return stream.service === service ? stream.version : NO_VERSION;
  }
}

/** Returns the wait in milliseconds after the commit of each record. */
async function sendRecords(
  node: Pick<FleetNode, 'recordStreams'>,
  inputs: readonly IRecordInput[],
  signal: AbortSignal,
): Promise<readonly number[] | string> {
  const indexes = new Map<string, number>();
  const versions: Pick<ServiceVersion, 'service' | 'version'>[] = [];
  const streams = inputs.map(({ attemptId, attempt, service, version }) => {
    const name = JSON.stringify([service, version]);
    const index = indexes.get(name) ?? versions.push({ service, version }) - 1;
    indexes.set(name, index);
    return { key: hashAttemptId(attemptId), version: index, attempt };
  });
  const reply = await node.recordStreams(
    create(StreamRecordsSchema, { versions, streams }),
    signal,
  );
  return typeof reply === 'string'
    ? reply
    : streams.map(({ version }) => reply.waitMs[version] ?? 0);
}

async function sendLookups(
  node: Pick<FleetNode, 'findStreamOrigins'>,
  inputs: readonly IFindInput[],
  signal: AbortSignal,
): Promise<readonly (OriginOutcome | string)[] | string> {
  const reply = await node.findStreamOrigins(
    inputs.map(({ attemptId }) => hashAttemptId(attemptId)),
    signal,
  );
  if (typeof reply === 'string') {
    return reply;
  }
  const bases = new Map(reply.bases.map(({ service, version }) => [service, version]));
  return inputs.map(({ service }, i) => {
    const origin = reply.versions[(reply.origins[i] ?? 0) - 1];
    // The route may lead to another service since.
    const isOther = origin !== undefined && origin.service !== service;
    const version = isOther ? NO_VERSION : (origin?.version ?? bases.get(service));
    return version === undefined
      ? 'the leader cannot tell the base version of the service'
      : { kind: 'version', version };
  });
}

function dropOldest(entries: Map<string, unknown> | Set<string>, maxEntries: number): void {
  for (const key of entries.keys()) {
    if (entries.size <= maxEntries) {
      break;
    }
    entries.delete(key);
  }
}
