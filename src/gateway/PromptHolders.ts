/**
 * Estimates which targets hold the shared parts of a prompt in their cache. Two sources are used: readings,
 * that is, parts that a target was seen to compute, and home targets. The subject of a request is its last
 * shared part. Its home target is the first in rendezvous order among the targets with the same weights,
 * and all entries send the subject there. The home target changes while weights are rolled out; former ones
 * still hold what they computed.
 */
import { create } from '@bufbuild/protobuf';
import { getHeldVersion } from '../fleet/HeldWeights.js';
import { hashBits, hashText } from '../policy/TargetTable.js';
import {
  PromptReadingSchema,
  type PromptReading,
  type TargetRecord,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import type { IPlacementRequest, IPlacementTarget } from './PlacementRequest.js';
import type { IPromptPart } from './Types.js';

/** Age up to which a reading counts as evidence of a cached part; engines evict parts within seconds. */
const EVIDENCE_LIFETIME_MS = 5_000;

/** Prompt parts for which readings are kept; the least recently used part is dropped. */
const MAX_PARTS = 4_000;

/** Time after which a new home target is expected to hold its subjects: about the interval of their requests. */
const HOME_WARM_UP_MS = 8_000;

/** Time without use after which a former home target has evicted a subject; its memory holds 9 s of prompts. */
const CACHE_RETENTION_MS = 8_000;

/** Smaller parts take an engine less than 9 ms to compute; each reported reading costs every entry 30 bytes. */
const MIN_REPORTED_TOKENS = 500;

/** Interval of reports of a repeated reading; well below `EVIDENCE_LIFETIME_MS`, so that it does not expire. */
const REPORT_INTERVAL_MS = 2_000;

/** Readings that wait for the next exchange with the hub; while no hub answers, the oldest are dropped. */
const MAX_UNREPORTED = 200;

/** Evidence that one incarnation of a target computed a prompt part with one weights version. */
interface IReading {
  readonly born: number;
  readonly version: number;
  readonly at: number;
  /** When the reading was last reported to or by other entries. */
  readonly reportedAt: number;
}

/** A target with the shared parts that it is expected to hold. */
export interface IHolding {
  readonly target: IPlacementTarget;
  readonly version: number;
  /** For each shared part the probability that the target holds it and all parts before it. */
  readonly chances: readonly number[];
  /** Number of leading shared parts that some entry has seen the target compute lately. */
  readonly seenParts: number;
  /** True if the target is the home target of the subject; entries that know the same targets agree on it. */
  readonly isHome: boolean;
  /** True if the target is silent, loads weights or is in cooldown. */
  readonly isUnavailable: boolean;
}

/** Share of the subjects that get a target as their home, relative to the other targets. */
export type HomeWeight = (target: IPlacementTarget) => number;

/** Collects the readings of this and other entries, and estimates from them what each target holds. */
export class PromptHolders {
  /** Readings by the hash of the prompt part and the id of the target. */
  private readonly _readings = new Map<number, Map<string, IReading>>();
  private _unreported: PromptReading[] = [];

  /** Returns one holding for each target, in the same order. `getWeight` must be the same in all entries. */
  public estimate(
    request: IPlacementRequest,
    targets: readonly IPlacementTarget[],
    now: number,
    getWeight: HomeWeight = () => 1,
  ): readonly IHolding[] {
    const hashes = listSharedParts(request).map((part) => hashPart(request, part));
    const homePeriods = findHomePeriods(request, hashes.at(-1), targets, now, getWeight);
    const readings = hashes.map((code) => this._readings.get(code));
    return targets.map((target): IHolding => {
      const homePeriod = homePeriods.get(target.record.id);
      const version = getWeightsVersion(request, target.record);
      return {
        target,
        version,
        ...estimateChances(readings, target.record, version, homePeriod?.chance ?? 0, now),
        isHome: homePeriod?.isHome === true,
        isUnavailable: isUnavailable(target, now),
      };
    });
  }

  /** Records that a target has computed the parts of a prompt, and queues the reading for the next exchange. */
  public recordReading(request: IPlacementRequest, target: TargetRecord, now: number): void {
    const version = getWeightsVersion(request, target);
    const { id, born } = target;
    for (const part of listSharedParts(request)) {
      const hash = hashPart(request, part);
      const previous = this._readings.get(hash)?.get(id);
      const isSame = previous?.born === born && previous.version === version;
      const isReported = isSame && now - previous.reportedAt < REPORT_INTERVAL_MS;
      this._store(hash, id, {
        born,
        version,
        at: now,
        reportedAt: isReported ? previous.reportedAt : now,
      });
      if (!isReported && part.tokens >= MIN_REPORTED_TOKENS) {
        const weightsVersion = BigInt(version);
        const fields = { part: hash, target: id, born, weightsVersion };
        this._unreported.push(create(PromptReadingSchema, fields));
      }
    }
  }

  /** Returns and clears the readings that were not yet reported to other entries. */
  public takeUnreported(): readonly PromptReading[] {
    const unreported = this._unreported.slice(-MAX_UNREPORTED);
    this._unreported = [];
    return unreported;
  }

  /** Adds readings that other entries reported. */
  public addReported(readings: readonly PromptReading[], now: number): void {
    for (const { part, target, born, weightsVersion } of readings) {
      this._store(part, target, {
        born,
        version: Number(weightsVersion),
        at: now,
        reportedAt: now,
      });
    }
  }

  /** Drops the readings of a target that restarted or loaded weights: its cache is empty. */
  public removeTarget(id: string): void {
    for (const readings of this._readings.values()) {
      readings.delete(id);
    }
  }

  private _store(hash: number, target: string, reading: IReading): void {
    const readings = this._readings.get(hash) ?? new Map<string, IReading>();
    readings.set(target, reading);
    // Reinserted at the end, so that the first key is the least recently used one.
    this._readings.delete(hash);
    this._readings.set(hash, readings);
    if (this._readings.size > MAX_PARTS) {
      const [oldest] = this._readings.keys();
      this._readings.delete(oldest ?? hash);
    }
  }
}

/** @param readings readings of each shared part, by target id */
function estimateChances(
  readings: readonly (ReadonlyMap<string, IReading> | undefined)[],
  record: TargetRecord,
  version: number,
  homeChance: number,
  now: number,
): Pick<IHolding, 'chances' | 'seenParts'> {
  let chance = 1;
  let seenParts = 0;
  const chances = readings.map((byTarget, i) => {
    const reading = byTarget?.get(record.id);
    const isSeen =
      reading?.born === record.born &&
      reading.version === version &&
      now - reading.at <= EVIDENCE_LIFETIME_MS;
    // A home target holds all parts of a subject or none, so the probabilities are not multiplied.
    chance = Math.min(chance, isSeen ? 1 : homeChance);
    seenParts += isSeen && seenParts === i ? 1 : 0;
    return chance;
  });
  return { chances, seenParts };
}

/** All parts but the last, which is specific to the request. */
export function listSharedParts(request: IPlacementRequest): readonly IPromptPart[] {
  return request.parts.slice(0, -1);
}

/** Weights version of the request's model that the target holds; 0 if it holds none. */
export function getWeightsVersion({ model }: IPlacementRequest, record: TargetRecord): number {
  return getHeldVersion(record, model) ?? 0;
}

function isUnavailable({ record, state }: IPlacementTarget, now: number): boolean {
  return record.silent || record.loading || now < state.cooldownUntil;
}

/** Whether a target is the home target of a subject, and what is left in its cache if it was. */
interface IHomePeriod {
  readonly isHome: boolean;
  /** Probability that the target computed the subject as its home target and still holds it. */
  readonly chance: number;
}

/** Home periods of the request's subject by target id, counted from when each target loaded its weights. */
function findHomePeriods(
  request: IPlacementRequest,
  subjectHash: number | undefined,
  targets: readonly IPlacementTarget[],
  now: number,
  getWeight: HomeWeight,
): ReadonlyMap<string, IHomePeriod> {
  const homePeriods = new Map<string, IHomePeriod>();
  if (subjectHash === undefined) {
    return homePeriods;
  }
  const ranked = targets
    .filter((target) => !target.record.silent && !target.record.loading)
    .map((target) => {
      const hash = hashBits(target.state.addressHash ^ subjectHash);
      // Weighted rendezvous hashing: a change of weight moves only the subjects that it has to.
      return { target, score: -getWeight(target) / Math.log((hash + 0.5) / 2 ** 32) };
    })
    .sort((left, right) => right.score - left.score);
  /** For each weights version, the earliest time since which a target of a higher rank has held it. */
  const supersededSince = new Map<number, number>();
  for (const { target } of ranked) {
    const version = getWeightsVersion(request, target.record);
    const until = supersededSince.get(version);
    const since = target.state.weightsSince;
    const endedAt = Math.min(now, until ?? now);
    const isRetained = now - endedAt < CACHE_RETENTION_MS;
    homePeriods.set(target.record.id, {
      isHome: until === undefined,
      chance: isRetained ? Math.min(1, Math.max(0, endedAt - since) / HOME_WARM_UP_MS) : 0,
    });
    supersededSince.set(version, Math.min(until ?? Number.POSITIVE_INFINITY, since));
  }
  return homePeriods;
}

/**
 * Includes the model and the isolation key, so that parts for different models or keys have different hashes.
 * A collision is rare and costs one fetch that finds nothing.
 */
function hashPart(request: IPlacementRequest, part: IPromptPart): number {
  return hashText(`${request.model ?? ''}/${request.isolationKey ?? ''}/${part.id}`);
}
