/**
 * Estimates which targets hold the shared parts of a prompt: from what this entry has seen them read, and
 * from where all entries send a subject. The home of a subject is the first target in rendezvous order
 * among those with the same weights, so it moves while weights are rolled out, and the homes of before
 * still hold what they read then.
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

/** Evidence that a target holds a part is trusted for this long; engines drop parts within seconds. */
const EVIDENCE_MS = 5_000;

/** Prompt parts whose holders are kept. */
const MAX_PARTS = 4_000;

/** Time in which a home is expected to have read the parts of its subjects: about that between two requests for one. */
const WARM_UP_MS = 8_000;

/** A former home has dropped the parts of a subject after this time without use; its memory holds 9 s of prompts. */
const KEPT_MS = 8_000;

/** Parts that an engine reads in 9 ms or more; its news costs each entry 30 bytes. */
const MIN_TOLD_TOKENS = 500;

/** A reading that all entries know is told again after this time, well before they stop trusting it. */
const TOLD_AGAIN_MS = 2_000;

/** Readings that wait for the next exchange; the oldest are dropped while no hub answers. */
const MAX_UNTOLD = 200;

interface IReading {
  readonly born: number;
  readonly version: number;
  readonly at: number;
  /** Time at which the other entries were told. */
  readonly toldAt: number;
}

/** A target with the shared parts that it is expected to hold. */
export interface IHolding {
  readonly target: IPlacementTarget;
  readonly version: number;
  /** For each shared part the chance that it and all parts before it are held. */
  readonly chances: readonly number[];
  /** Leading shared parts that some entry has seen it read lately. */
  readonly seenParts: number;
  /** True if all entries send the subject there, as far as they know the same targets. */
  readonly isHome: boolean;
  readonly isDoubtful: boolean;
}

export class PromptHolders {
  /** Readings of each prompt part, by the code of the part and the id of the target. */
  private readonly _readings = new Map<number, Map<string, IReading>>();
  private _untold: PromptReading[] = [];

  /** One holding for each target, in the same order. */
  public estimate(
    request: IPlacementRequest,
    targets: readonly IPlacementTarget[],
    now: number,
  ): readonly IHolding[] {
    const codes = listSharedParts(request).map((part) => hashPart(request, part));
    const homeTimes = findHomeTimes(request, codes.at(-1), targets, now);
    const readings = codes.map((code) => this._readings.get(code));
    return targets.map((target): IHolding => {
      const homeTime = homeTimes.get(target.record.id);
      const version = getVersion(request, target.record);
      return {
        target,
        version,
        ...estimateChances(readings, target.record, version, homeTime?.chance ?? 0, now),
        isHome: homeTime?.isHome === true,
        isDoubtful: isDoubtful(target, now),
      };
    });
  }

  /** Records that a target has read the parts of a prompt. */
  public noteRead(request: IPlacementRequest, target: TargetRecord, now: number): void {
    const version = getVersion(request, target);
    const { id, born } = target;
    for (const part of listSharedParts(request)) {
      const code = hashPart(request, part);
      const known = this._readings.get(code)?.get(id);
      const isSame = known?.born === born && known.version === version;
      const isTold = isSame && now - known.toldAt < TOLD_AGAIN_MS;
      this._store(code, id, { born, version, at: now, toldAt: isTold ? known.toldAt : now });
      if (!isTold && part.tokens >= MIN_TOLD_TOKENS) {
        const weightsVersion = BigInt(version);
        const fields = { part: code, target: id, born, weightsVersion };
        this._untold.push(create(PromptReadingSchema, fields));
      }
    }
  }

  /** Readings that other entries have not been told of yet. */
  public takeUntold(): readonly PromptReading[] {
    const untold = this._untold.slice(-MAX_UNTOLD);
    this._untold = [];
    return untold;
  }

  /** Takes readings that other entries have seen. */
  public noteTold(readings: readonly PromptReading[], now: number): void {
    for (const { part, target, born, weightsVersion } of readings) {
      this._store(part, target, { born, version: Number(weightsVersion), at: now, toldAt: now });
    }
  }

  /** A target that restarted or loaded weights holds nothing of before. */
  public forgetTarget(id: string): void {
    for (const readings of this._readings.values()) {
      readings.delete(id);
    }
  }

  private _store(code: number, target: string, reading: IReading): void {
    const readings = this._readings.get(code) ?? new Map<string, IReading>();
    readings.set(target, reading);
    // Moved to the end, so that the part used longest ago is dropped first.
    this._readings.delete(code);
    this._readings.set(code, readings);
    if (this._readings.size > MAX_PARTS) {
      const [oldest] = this._readings.keys();
      this._readings.delete(oldest ?? code);
    }
  }
}

/** `readings` are those of each shared part. */
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
      now - reading.at <= EVIDENCE_MS;
    // A home holds all parts of a subject or none, so the chance counts once.
    chance = Math.min(chance, isSeen ? 1 : homeChance);
    seenParts += isSeen && seenParts === i ? 1 : 0;
    return chance;
  });
  return { chances, seenParts };
}

/** The last part belongs to the request itself. */
export function listSharedParts(request: IPlacementRequest): readonly IPromptPart[] {
  return request.parts.slice(0, -1);
}

/** Version of the request's model that the target holds; 0 if it names none. */
export function getVersion({ model }: IPlacementRequest, record: TargetRecord): number {
  return getHeldVersion(record, model) ?? 0;
}

function isDoubtful({ record, state }: IPlacementTarget, now: number): boolean {
  return record.silent || record.loading || now < state.restUntil;
}

interface IHomeTime {
  readonly isHome: boolean;
  /** Chance that the subject was read there while it was the home. */
  readonly chance: number;
}

/** Targets that are or were the home of the request's subject since they loaded their weights. */
function findHomeTimes(
  request: IPlacementRequest,
  subject: number | undefined,
  targets: readonly IPlacementTarget[],
  now: number,
): ReadonlyMap<string, IHomeTime> {
  const homeTimes = new Map<string, IHomeTime>();
  if (subject === undefined) {
    return homeTimes;
  }
  const ranked = targets
    .filter((target) => !target.record.silent && !target.record.loading)
    .map((target) => ({ target, score: hashBits(target.state.addressCode ^ subject) }))
    .sort((left, right) => right.score - left.score);
  /** For each version the time since which a target of a higher rank has been there. */
  const takenSince = new Map<number, number>();
  for (const { target } of ranked) {
    const version = getVersion(request, target.record);
    const until = takenSince.get(version);
    const since = target.state.weightsAt;
    const endedAt = Math.min(now, until ?? now);
    const isKept = now - endedAt < KEPT_MS;
    homeTimes.set(target.record.id, {
      isHome: until === undefined,
      chance: isKept ? Math.min(1, Math.max(0, endedAt - since) / WARM_UP_MS) : 0,
    });
    takenSince.set(version, Math.min(until ?? Number.POSITIVE_INFINITY, since));
  }
  return homeTimes;
}

/** Parts of different models and walls differ; a rare equal code costs one fetch that finds nothing. */
function hashPart(request: IPlacementRequest, part: IPromptPart): number {
  return hashText(`${request.model ?? ''}/${request.cacheWall ?? ''}/${part.id}`);
}
