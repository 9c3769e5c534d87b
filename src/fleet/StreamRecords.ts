/** The part of the replicated state that tells which software version began a stream. */
import { create } from '@bufbuild/protobuf';
import {
  StreamTableSchema,
  type ServiceVersion,
  type StreamRecords as RecordedStreams,
  type StreamTable,
} from '../gen/redwingwharf/v1/fleet_pb.js';

/** Records that are kept at most. If more are needed, the oldest are dropped. */
export const MAX_RECORDED_STREAMS = 65_536;

/** A software version of a service. */
export type StreamOrigin = Pick<ServiceVersion, 'service' | 'version'>;

interface IOriginCount extends StreamOrigin {
  streams: number;
}

interface IStreamRecord {
  readonly origin: IOriginCount;
  readonly attempt: number;
  readonly sequence: number;
}

/**
 * Records of streams by the hash of their attempt id, in the order in which commands added them. Every change
 * depends on commands only, so that the members' states stay equal.
 */
export class StreamRecords {
  private readonly _records = new Map<bigint, IStreamRecord>();
  private readonly _origins = new Map<string, IOriginCount>();
  private _sequence = 0;
  private _forgottenUpTo = 0;
  private _overflowedUpTo = 0;

  constructor(private readonly _maxRecords = MAX_RECORDED_STREAMS) {}

  /** Number of the last command that recorded streams. */
  public get sequence(): number {
    return this._sequence;
  }

  public get size(): number {
    return this._records.size;
  }

  /** Changes with every command that changed the records. */
  public get revision(): string {
    return `${this._sequence}/${this._forgottenUpTo}`;
  }

  /** False while a record that is not old enough to be forgotten was dropped for lack of space. */
  public get isComplete(): boolean {
    return this._overflowedUpTo <= this._forgottenUpTo;
  }

  /** Adds records. Of two records of one stream the one with the higher attempt counts, else the later one. */
  public add({ versions, streams }: Pick<RecordedStreams, 'versions' | 'streams'>): void {
    this._sequence += 1;
    for (const { key, version, attempt } of streams) {
      const origin = versions[version];
      const existing = this._records.get(key);
      if (origin !== undefined && (existing === undefined || existing.attempt <= attempt)) {
        this._remove(key);
        this._insert(key, origin, attempt, this._sequence);
      }
    }
    this._dropOverflow();
  }

  public find(key: bigint): StreamOrigin | undefined {
    return this._records.get(key)?.origin;
  }

  /** True if a stream of the service is recorded with another version. */
  public hasOtherVersion(service: string, version: string): boolean {
    for (const origin of this._origins.values()) {
      if (origin.service === service && origin.version !== version) {
        return true;
      }
    }
    return false;
  }

  /** True if `forget` would change anything that callers can see. */
  public canForget(upTo: number): boolean {
    const [oldest] = this._records.values();
    return (oldest !== undefined && oldest.sequence <= upTo) || !this.isComplete;
  }

  /** Drops the records of all commands up to the one with this number. */
  public forget(upTo: number): void {
    this._forgottenUpTo = Math.max(this._forgottenUpTo, Math.min(upTo, this._sequence));
    for (const [key, { sequence }] of this._records) {
      if (sequence > this._forgottenUpTo) {
        break;
      }
      this._remove(key);
    }
  }

  public snapshot(): StreamTable {
    const versions = [...this._origins.values()];
    const indexes = new Map(versions.map((origin, index) => [origin, index]));
    const table = create(StreamTableSchema, {
      versions: versions.map(({ service, version }) => ({ service, version })),
      sequence: BigInt(this._sequence),
      forgottenUpTo: BigInt(this._forgottenUpTo),
      overflowedUpTo: BigInt(this._overflowedUpTo),
    });
    let previous = 0;
    for (const [key, { origin, attempt, sequence }] of this._records) {
      table.keys.push(key);
      table.versionIndexes.push(indexes.get(origin) ?? 0);
      table.attempts.push(attempt);
      table.sequenceSteps.push(sequence - previous);
      previous = sequence;
    }
    return table;
  }

  /** Replaces all records by those of a snapshot; none for a snapshot of an older build. */
  public restore(table: StreamTable | undefined): void {
    this._records.clear();
    this._origins.clear();
    this._sequence = Number(table?.sequence ?? 0n);
    this._forgottenUpTo = Number(table?.forgottenUpTo ?? 0n);
    this._overflowedUpTo = Number(table?.overflowedUpTo ?? 0n);
    let sequence = 0;
    for (const [i, key] of (table?.keys ?? []).entries()) {
      sequence += table?.sequenceSteps[i] ?? 0;
      const origin = table?.versions[table.versionIndexes[i] ?? 0];
      if (origin !== undefined) {
        this._insert(key, origin, table?.attempts[i] ?? 0, sequence);
      }
    }
  }

  private _insert(
    key: bigint,
    { service, version }: StreamOrigin,
    attempt: number,
    sequence: number,
  ): void {
    const name = JSON.stringify([service, version]);
    const origin = this._origins.get(name) ?? { service, version, streams: 0 };
    origin.streams += 1;
    this._origins.set(name, origin);
    this._records.set(key, { origin, attempt, sequence });
  }

  private _remove(key: bigint): void {
    const origin = this._records.get(key)?.origin;
    if (origin === undefined) {
      return;
    }
    this._records.delete(key);
    origin.streams -= 1;
    if (origin.streams === 0) {
      this._origins.delete(JSON.stringify([origin.service, origin.version]));
    }
  }

  private _dropOverflow(): void {
    for (const [key, { sequence }] of this._records) {
      if (this._records.size <= this._maxRecords) {
        break;
      }
      this._overflowedUpTo = sequence;
      this._remove(key);
    }
  }
}
