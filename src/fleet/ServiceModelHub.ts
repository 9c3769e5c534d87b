/** The hub's part of the models of response times: adds up the reports of all processes and publishes the fits. */
import { create } from '@bufbuild/protobuf';
import {
  ServiceTimeModelSchema,
  TargetTimeFactorSchema,
  type ExchangeRequest,
  type ExchangeResponse,
  type ServiceTimeModel,
  type TargetTimeFactor,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import type { IHubContext, IHubPart } from './ExchangePart.js';
import { ServiceTimes, type ITargetFactor } from './ServiceTimes.js';
import { FIRST_GUESS, type Coefficients } from './TimeFit.js';

/** Each process has sent a new hub all that it knows within this time; before, fits would be of a part of it. */
const HANDOVER_MS = 1_000;

/** Interval of the fits of one service. */
const FIT_INTERVAL_MS = 250;

/** Relative changes that are published; smaller ones are not worth their bytes. */
const COEFFICIENT_CHANGE = 0.03;
const FACTOR_CHANGE = 0.05;

/** Fewer samples count as this many where changes of their number are compared. */
const MIN_SAMPLES = 4;

/** Change of the steady factor, which decides where prompts are cached, and the samples that it needs. */
const STEADY_CHANGE = 0.25;
const STEADY_SAMPLES = 15;

interface IServiceEntry {
  readonly times: ServiceTimes;
  /** Published factors by target. */
  readonly factors: Map<string, IPublished<TargetTimeFactor>>;
  model: IPublished<ServiceTimeModel> | undefined;
  fittedAt: number;
  isChanged: boolean;
}

interface IPublished<T> {
  readonly value: T;
  readonly revision: number;
}

/** Exists on the leader only, for one term. */
export class ServiceModelHub implements IHubPart {
  private readonly _services = new Map<string, IServiceEntry>();
  private _revision = 0;

  constructor(
    private readonly _context: Pick<IHubContext, 'startedAt'> & { hub: { epoch: string } },
  ) {}

  public exchange(request: ExchangeRequest, response: ExchangeResponse, now: number): void {
    for (const report of request.responseTimes) {
      const entry = this._ensureService(report.service);
      entry.times.forget(now);
      entry.times.addReport(report);
      entry.isChanged = true;
    }
    this._updateModels(now);
    if (now - this._context.startedAt < HANDOVER_MS || !request.takesRequests) {
      return;
    }
    const isSameHub = request.epoch === this._context.hub.epoch;
    const known = isSameHub ? Number(request.modelRevision) : 0;
    const entries = [...this._services.values()];
    response.timeModels = listSince(
      entries.flatMap(({ model }) => model ?? []),
      known,
    );
    response.timeFactors = listSince(
      entries.flatMap(({ factors }) => [...factors.values()]),
      known,
    );
    response.modelRevision = BigInt(this._revision);
  }

  private _ensureService(name: string): IServiceEntry {
    let entry = this._services.get(name);
    if (entry === undefined) {
      entry = {
        times: new ServiceTimes(),
        factors: new Map(),
        model: undefined,
        fittedAt: Number.NEGATIVE_INFINITY,
        isChanged: false,
      };
      this._services.set(name, entry);
    }
    return entry;
  }

  private _updateModels(now: number): void {
    for (const [name, entry] of this._services) {
      if (entry.isChanged && now - entry.fittedAt >= FIT_INTERVAL_MS) {
        entry.isChanged = false;
        entry.fittedAt = now;
        entry.times.forget(now);
        this._publishModel(name, entry, entry.times.computeCoefficients(FIRST_GUESS));
        const factors = entry.times.computeFactors();
        for (const [target, factor] of factors) {
          this._publishFactor(target, entry, factor);
        }
        for (const target of [...entry.factors.keys()].filter((id) => !factors.has(id))) {
          entry.factors.delete(target);
        }
      }
    }
  }

  private _publishModel(service: string, entry: IServiceEntry, coefficients: Coefficients): void {
    const last = entry.model?.value;
    const { samples } = entry.times;
    const hasChanged =
      last === undefined ||
      hasMoreOrFewer(last.samples, samples) ||
      coefficients.some((value, i) =>
        isDifferent(last.coefficients[i] ?? 0, value, COEFFICIENT_CHANGE),
      );
    if (hasChanged) {
      this._revision += 1;
      const value = create(ServiceTimeModelSchema, {
        service,
        coefficients: [...coefficients],
        samples: Math.round(samples),
      });
      entry.model = { value, revision: this._revision };
    }
  }

  private _publishFactor(
    target: string,
    { factors }: IServiceEntry,
    { factor, samples }: ITargetFactor,
  ): void {
    const last = factors.get(target)?.value;
    const factorPermille = Math.round(factor * 1_000);
    const steady = last?.steadyPermille ?? 1_000;
    const movesSteady =
      samples >= STEADY_SAMPLES && isDifferent(steady, factorPermille, STEADY_CHANGE);
    const hasChanged =
      last === undefined ||
      movesSteady ||
      hasMoreOrFewer(last.samples, samples) ||
      isDifferent(last.factorPermille, factorPermille, FACTOR_CHANGE);
    if (hasChanged) {
      this._revision += 1;
      const value = create(TargetTimeFactorSchema, {
        target,
        factorPermille,
        samples: Math.round(samples),
        steadyPermille: movesSteady ? factorPermille : steady,
      });
      factors.set(target, { value, revision: this._revision });
    }
  }
}

/** True if two numbers differ by more than a fraction of the smaller one. */
function isDifferent(left: number, right: number, fraction: number): boolean {
  return Math.abs(left - right) > fraction * Math.min(left, right);
}

/** True if the number of samples has about doubled or halved. */
function hasMoreOrFewer(left: number, right: number): boolean {
  return isDifferent(Math.max(MIN_SAMPLES, left), Math.max(MIN_SAMPLES, right), 1);
}

function listSince<T>(published: readonly IPublished<T>[], revision: number): T[] {
  return published.filter((item) => item.revision > revision).map(({ value }) => value);
}
