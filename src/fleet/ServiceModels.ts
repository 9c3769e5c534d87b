/** Models of the response times of services and targets, learned from the requests of all entries together. */
import { create } from '@bufbuild/protobuf';
import {
  ResponseTimeSumsSchema,
  TargetTimeSumsSchema,
  type ExchangeRequest,
  type ExchangeResponse,
  type ResponseTimeSums,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import type { IExchangeContext, IExchangePart, IHubContext, IHubPart } from './ExchangePart.js';
import { ServiceModelHub } from './ServiceModelHub.js';
import { ServiceTimes, type ITargetFactor } from './ServiceTimes.js';
import { FIRST_GUESS, TERM_COUNT, type Coefficients } from './TimeFit.js';

/** Shortest interval of two reports; a model changes over seconds. */
const REPORT_INTERVAL_MS = 500;

/** Interval of the fits to this process's own responses. */
const OWN_FIT_INTERVAL_MS = 500;

/** A process that has not reached a hub for this long relies on its own responses. */
const HUB_MODEL_TTL_MS = 10_000;

/**
 * Bound of the ratio of measured to expected time, beyond which a response counts as this one: crashed and overloaded
 * targets and spells make some responses many times later. The fit is then close to the median.
 */
const MAX_RATIO = 1.6;

/** Bound of the same ratio for early responses. No fault makes a response early, so that they count in full. */
const MIN_RATIO = 0.25;

/** Targets of which factors are kept; those that were heard of first are dropped. */
const MAX_TARGETS = 2_000;

/** Coefficients of a service, relative to the first guess. */
export interface IServiceModel {
  readonly coefficients: Coefficients;
  /** Weighted number of responses behind them. */
  readonly samples: number;
}

/** Lasting difference of a target from its service. */
export interface ITargetModel extends ITargetFactor {
  /** The factor as it was when it last differed much; the same in all entries. */
  readonly steadyFactor: number;
}

/** One measured response. */
export interface IMeasuredResponse {
  readonly service: string;
  readonly target: string;
  /** Expected time in milliseconds of each term, by the first guess. */
  readonly terms: readonly number[];
  /** Measured time without what the terms do not cover. */
  readonly actualMs: number;
}

const UNKNOWN_SERVICE: IServiceModel = { coefficients: FIRST_GUESS, samples: 0 };
const UNKNOWN_TARGET: ITargetModel = { factor: 1, steadyFactor: 1, samples: 0 };

interface IOwnModel {
  readonly at: number;
  readonly model: IServiceModel;
  readonly factors: ReadonlyMap<string, ITargetFactor>;
}

/**
 * The figures of the hub while it is reached, else a fit to the responses of this process. Without any responses all
 * coefficients and factors are 1.
 *
 * @example
 * models.record({ service: 'lace', target: target.id, terms, actualMs }, now);
 * const { coefficients } = models.getService('lace', now);
 */
export class ServiceModels implements IExchangePart {
  /** Responses of this process, which lose weight with time. */
  private readonly _own = new Map<string, ServiceTimes>();
  private readonly _ownModels = new Map<string, IOwnModel>();
  private _unreported = new Map<string, ServiceTimes>();
  /** The last report, until an answer shows that the hub has it. */
  private _sent: readonly ResponseTimeSums[] = [];
  private readonly _hubServices = new Map<string, IServiceModel & { readonly at: number }>();
  private readonly _hubTargets = new Map<string, ITargetModel>();
  private _reportedAt = Number.NEGATIVE_INFINITY;
  private _revision = 0n;
  private _hubReachedAt = Number.NEGATIVE_INFINITY;
  private _isHubReachable = false;

  /** Coefficients of a service. */
  public getService(service: string, now: number): IServiceModel {
    const hub = this._hubServices.get(service);
    return hub !== undefined && this._isHubRecent(now)
      ? hub
      : (this._getOwn(service, now)?.model ?? hub ?? UNKNOWN_SERVICE);
  }

  /** Factor of a target of the service. */
  public getTarget(service: string, target: string, now: number): ITargetModel {
    const hub = this._hubTargets.get(target);
    if (hub !== undefined && this._isHubRecent(now)) {
      return hub;
    }
    const own = this._getOwn(service, now)?.factors.get(target);
    return own === undefined
      ? (hub ?? UNKNOWN_TARGET)
      : { ...own, steadyFactor: hub?.steadyFactor ?? 1 };
  }

  /** Takes one response into account. */
  public record({ service, target, terms, actualMs }: IMeasuredResponse, now: number): void {
    const { coefficients } = this.getService(service, now);
    const expectedMs = sumTerms(terms, coefficients);
    if (!(expectedMs > 0) || !Number.isFinite(actualMs)) {
      return;
    }
    const { factor } = this.getTarget(service, target, now);
    const ratio = Math.max(1, actualMs) / (expectedMs * factor);
    const bounded = Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
    const relative = terms.map((term) => term / expectedMs);
    const own = ensureTimes(this._own, service);
    own.forget(now);
    for (const times of [own, ensureTimes(this._unreported, service)]) {
      times.addResponse(target, relative, bounded, Math.log(factor * bounded));
    }
  }

  /** Services with the figures in force, for the log. */
  public describe(now: number): readonly Readonly<Record<string, unknown>>[] {
    const names = new Set([...this._own.keys(), ...this._hubServices.keys()]);
    return [...names].map((service) => {
      const { coefficients, samples } = this.getService(service, now);
      const hub = this._hubServices.get(service);
      const factors = [...(this._own.get(service)?.targets ?? [])].map(
        ({ target }) => `${target}=${this.getTarget(service, target, now).factor.toFixed(2)}`,
      );
      return {
        service,
        coefficients: coefficients.map((value) => Number(value.toFixed(3))),
        samples: Math.round(samples),
        source: hub !== undefined && this._isHubRecent(now) ? 'fleet' : 'own',
        ageMs: hub && Math.round(now - hub.at),
        factors: factors.join(' '),
      };
    });
  }

  public addReport(request: ExchangeRequest, now: number): void {
    request.modelRevision = this._revision;
    if (now - this._reportedAt < REPORT_INTERVAL_MS) {
      return;
    }
    this._reportedAt = now;
    // No answer came to the last report, which the hub may have or not. Counting it twice does no harm.
    for (const report of this._sent) {
      ensureTimes(this._unreported, report.service).addReport(report);
    }
    this._sent = [...this._unreported].map(([service, times]) => encodeSums(service, times));
    this._unreported = new Map();
    request.responseTimes = [...this._sent];
  }

  public applyResponse(response: ExchangeResponse, context: IExchangeContext): void {
    const { request, isNewEpoch, now } = context;
    if (request.responseTimes.length > 0 && request.responseTimes[0] === this._sent[0]) {
      this._sent = [];
    }
    if (isNewEpoch) {
      this._repeatReports(now);
    }
    this._revision = response.modelRevision;
    this._hubReachedAt = now;
    for (const { service, coefficients, samples } of response.timeModels) {
      if (coefficients.length === TERM_COUNT && coefficients.every((value) => value > 0)) {
        this._hubServices.set(service, { coefficients, samples, at: now });
      }
    }
    for (const { target, factorPermille, steadyPermille, samples } of response.timeFactors) {
      if (factorPermille > 0 && steadyPermille > 0) {
        this._hubTargets.delete(target);
        this._hubTargets.set(target, {
          factor: factorPermille / 1_000,
          steadyFactor: steadyPermille / 1_000,
          samples,
        });
      }
    }
    if (this._hubTargets.size > MAX_TARGETS) {
      const [oldest] = this._hubTargets.keys();
      this._hubTargets.delete(oldest ?? '');
    }
  }

  public setHubReachable(isReachable: boolean, now: number): void {
    this._isHubReachable = isReachable;
    if (isReachable) {
      this._hubReachedAt = now;
    }
  }

  public createHubPart(context: IHubContext): IHubPart {
    return new ServiceModelHub(context);
  }

  private _isHubRecent(now: number): boolean {
    return this._isHubReachable || now - this._hubReachedAt < HUB_MODEL_TTL_MS;
  }

  /** A new hub has none of the earlier reports, so that all that still counts is sent again. */
  private _repeatReports(now: number): void {
    this._sent = [];
    this._unreported = new Map();
    for (const [service, own] of this._own) {
      own.forget(now);
      ensureTimes(this._unreported, service).addReport(own.describe());
    }
    this._reportedAt = Number.NEGATIVE_INFINITY;
  }

  private _getOwn(service: string, now: number): IOwnModel | undefined {
    const own = this._own.get(service);
    if (own === undefined) {
      return undefined;
    }
    let fitted = this._ownModels.get(service);
    if (fitted === undefined || now - fitted.at >= OWN_FIT_INTERVAL_MS) {
      own.forget(now);
      const guess = this._hubServices.get(service)?.coefficients ?? FIRST_GUESS;
      fitted = {
        at: now,
        model: { coefficients: own.computeCoefficients(guess), samples: own.samples },
        factors: own.computeFactors(),
      };
      this._ownModels.set(service, fitted);
    }
    return fitted;
  }
}

/** Expected time of terms by coefficients. */
export function sumTerms(terms: readonly number[], coefficients: Coefficients): number {
  return terms.reduce((sum, term, i) => sum + term * (coefficients[i] ?? 1), 0);
}

function ensureTimes(map: Map<string, ServiceTimes>, service: string): ServiceTimes {
  const existing = map.get(service);
  if (existing !== undefined) {
    return existing;
  }
  const times = new ServiceTimes();
  map.set(service, times);
  return times;
}

function encodeSums(service: string, times: ServiceTimes): ResponseTimeSums {
  const { samples, products, moments, targets } = times.describe();
  return create(ResponseTimeSumsSchema, {
    service,
    samples,
    products: [...products],
    moments: [...moments],
    targets: targets.map((item) => create(TargetTimeSumsSchema, item)),
  });
}
