/** Asks the hub for permits to probe quarantined prompt parts, and keeps them until they are used. */
import { create } from '@bufbuild/protobuf';
import type { ILog } from '../common/Log.js';
import {
  SuspectPartsSchema,
  type ExchangeRequest,
  type ExchangeResponse,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { formatParts } from './CrashEvidence.js';
import type { IExchangeContext, IExchangePart, IHubContext, IHubPart } from './ExchangePart.js';
import { ProbeGrants, type CommandCommitter } from './ProbeGrants.js';
import type { IProbeSource } from './ProbeSchedule.js';

/** Time for which a refused request counts as a demand: its client, or another one, is likely to come again. */
const DEMAND_LIFETIME_MS = 60_000;

/** A permit that no request has used for this long expires. The hub counts it as used. */
const PERMIT_LIFETIME_MS = 60_000;

/** Lists of parts for which this process asks; the ones demanded least recently are dropped. */
const MAX_DEMANDS = 16;

interface IDemand {
  readonly parts: readonly number[];
  readonly refusedAt: number;
}

/**
 * What a process knows of the probes of the fleet. It never decides itself that a request is let through, so one without a
 * hub has only the permit that it holds already.
 *
 * @example
 * const probes = new ProbeExchange(commit, () => node.requestExchange(), log);
 * const mayRun = probes.takePermit([part], now);
 */
export class ProbeExchange implements IExchangePart, IProbeSource {
  private readonly _demands = new Map<string, IDemand>();
  /** End of each permit by parts. */
  private readonly _permits = new Map<string, number>();

  constructor(
    private readonly _commit: CommandCommitter,
    private readonly _requestExchange: () => void,
    private readonly _log: ILog,
  ) {}

  public takePermit(parts: readonly number[], now: number): boolean {
    const key = formatParts(parts);
    const expiresAt = this._permits.get(key);
    this._permits.delete(key);
    if (expiresAt !== undefined && now <= expiresAt) {
      this._demands.delete(key);
      return true;
    }
    const isNew = !this._demands.has(key);
    this._demands.delete(key);
    this._demands.set(key, { parts: [...parts], refusedAt: now });
    const [oldest] = this._demands.keys();
    if (oldest !== undefined && this._demands.size > MAX_DEMANDS) {
      this._demands.delete(oldest);
    }
    if (isNew) {
      this._requestExchange();
    }
    return false;
  }

  public addReport(request: ExchangeRequest, now: number): void {
    for (const [key, { refusedAt }] of this._demands) {
      if (now - refusedAt > DEMAND_LIFETIME_MS) {
        this._demands.delete(key);
      }
    }
    request.probeDemands = [...this._demands]
      .filter(([key]) => !this._permits.has(key))
      .map(([, { parts }]) => create(SuspectPartsSchema, { parts: [...parts], quarantined: true }));
  }

  public applyResponse(response: ExchangeResponse, { now }: IExchangeContext): void {
    for (const { parts } of response.probePermits) {
      this._permits.set(formatParts(parts), now + PERMIT_LIFETIME_MS);
    }
    for (const [key, expiresAt] of this._permits) {
      if (now > expiresAt) {
        this._permits.delete(key);
      }
    }
  }

  public createHubPart(context: IHubContext): IHubPart {
    return new ProbeGrants(context, this._commit, this._log);
  }
}
