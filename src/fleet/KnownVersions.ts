/** This process's copy of what the hub tells about the software versions of each service. */
import type { ExchangeResponse } from '../gen/redwingwharf/v1/fleet_pb.js';
import { BASE_TRUST_MS, CUT_OFF_TRUST_MS, UNIFORMITY_TRUST_MS } from './SoftwareVersions.js';

/** What a process knows of the software versions of a service. */
export interface IVersionBase {
  /** Version of the streams that need no record, as a hub told last; empty: all need one. */
  readonly base: string;
  /** True: every stream that a client may take up at present began at the base version. */
  readonly isUniform: boolean;
  /** False: the last confirmed statement is so old that the base may have changed. */
  readonly isCurrent: boolean;
  /** True: it is so old that no stream may begin by it any more. Absent before. */
  readonly isExpired?: true;
}

/** Keeps the last statement of a hub, also after a change of the hub, until another one replaces it. */
export class KnownVersions {
  private _services: ReadonlyMap<string, Pick<IVersionBase, 'base' | 'isUniform'>> = new Map();
  private _confirmedAt = Number.NEGATIVE_INFINITY;
  private _revision = 0n;
  private _epoch = '';
  private _isTracked = true;

  /** False if the hub that answered last is of an older build, which knows nothing of streams' origins. */
  public get isTracked(): boolean {
    return this._isTracked;
  }

  /** Revision up to which this copy is complete at the hub of an epoch. */
  public getRevision(epoch: string): bigint {
    return epoch === this._epoch ? this._revision : 0n;
  }

  /** Applies the answer to an exchange that was sent at a monotonic time in milliseconds. */
  public apply(
    answer: Pick<
      ExchangeResponse,
      'epoch' | 'tracksVersions' | 'versions' | 'versionRevision' | 'confirmationAgeMs'
    >,
    sentAt: number,
  ): void {
    this._isTracked = answer.tracksVersions;
    if (!answer.tracksVersions) {
      return;
    }
    if (answer.versionRevision !== this.getRevision(answer.epoch)) {
      this._services = new Map(answer.versions.map((report) => [report.service, report]));
      this._revision = answer.versionRevision;
      this._epoch = answer.epoch;
    }
    this._confirmedAt = sentAt - answer.confirmationAgeMs;
  }

  /**
   * Undefined for a service of which no hub has told anything. `resumedAt` is the time of the last suspension of this
   * machine: the age of an earlier statement is not known.
   */
  public get(
    service: string,
    now: number,
    resumedAt = Number.NEGATIVE_INFINITY,
  ): IVersionBase | undefined {
    const known = this._services.get(service);
    if (known === undefined) {
      return undefined;
    }
    const ageMs =
      this._confirmedAt < resumedAt ? Number.POSITIVE_INFINITY : now - this._confirmedAt;
    return {
      base: known.base,
      isUniform: known.isUniform && ageMs < UNIFORMITY_TRUST_MS,
      isCurrent: ageMs < BASE_TRUST_MS,
      ...(ageMs < CUT_OFF_TRUST_MS ? {} : { isExpired: true }),
    };
  }
}
