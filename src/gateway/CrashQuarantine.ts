/**
 * What this entry knows of prompt parts and of requests that crash targets: which are sound, which are suspect and which
 * are quarantined. The hub decides over the reports of all entries; without it, an entry goes by its own.
 */
import { create } from '@bufbuild/protobuf';
import { Emitter } from '../common/Lifecycle.js';
import { CrashEvidence, type ISuspectParts } from '../fleet/CrashEvidence.js';
import type { IQuarantineReport, IQuarantineSource } from '../fleet/ExchangeSources.js';
import { SoleProbes, type IProbeSource } from '../fleet/ProbeSchedule.js';
import {
  CrashReportSchema,
  type CrashReport,
  type TargetRecord,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { hashText } from '../policy/TargetTable.js';
import type { ICall, IPromptPart } from './Types.js';

/** A part counts as sound for this long after a response with it has settled. */
const SOUND_MS = 5_000;

/** Parts, and contents, of which the last such response is remembered; the least recently used one is dropped. */
const MAX_SOUND_PARTS = 10_000;

/**
 * Prompt parts that at least this share of a route's recent requests have are not held back: it would stop the route, and
 * no response could show that they are sound. The share counts only from a number of requests on.
 */
const MAX_HELD_SHARE = 0.8;
const MIN_RECENT_REQUESTS = 20;
const MAX_RECENT_REQUESTS = 64;

/**
 * A content counts as sound for this long after a request with it was answered with success. It is longer than for parts,
 * as a content is blamed only where nothing more specific explains the crashes.
 */
const SOUND_CONTENT_MS = 600_000;

/** Requests that were let through as probes; of more, the oldest are forgotten and judged like all others. */
const MAX_PROBING = 64;

/** Own reports that are kept for a new hub. */
const MAX_REPORTS = 256;

/** A request with the client account that sent it; undefined on routes without keys. */
export interface IJudgedRequest {
  readonly call: ICall;
  readonly account: string | undefined;
  /** Name of the route. */
  readonly route: string;
}

/** Where a request stands because of the parts of its prompt, of its content, or because it came before. */
export type QuarantineStanding =
  | { readonly kind: 'clear' }
  /**
   * A target crashed with one of its parts; no response with it has settled since. A probe has quarantined parts, and only
   * one attempt of it may run at a time.
   */
  | { readonly kind: 'suspect'; readonly isProbe: boolean }
  /** A target would probably crash. */
  | {
      readonly kind: 'quarantined';
      readonly partIds: readonly string[];
      /** True if the request itself is quarantined. */
      readonly isRepetition: boolean;
    };

/** True if a second attempt of a request may run beside the first one. */
export function mayOverlap(standing: QuarantineStanding): boolean {
  switch (standing.kind) {
    case 'clear':
      return true;
    case 'suspect':
      return !standing.isProbe;
    case 'quarantined':
      return false;
  }
}

/** Holds the suspects of the hub, and the reports of this entry until a hub has received them. */
export class CrashQuarantine implements IQuarantineSource {
  private readonly _settledAt = new Map<number, number>();
  private readonly _ownEvidence = new CrashEvidence(false);
  private _reports: CrashReport[] = [];
  /** By attempt. */
  private readonly _unreported = new Map<number, CrashReport>();
  private readonly _clearedParts = new Set<number>();
  private _suspects: readonly ISuspectParts[] = [];
  private _isHubReachable = false;
  /** When a request with a content was last answered with success, oldest first. */
  private readonly _answeredAt = new Map<number, number>();
  /** Hashes of the prompt parts of recent requests by request id, oldest first, by route. */
  private readonly _recentParts = new Map<string, Map<string, ReadonlySet<number>>>();
  /** Quarantined parts with which requests were let through, by request id, oldest first. */
  private readonly _probing = new Map<string, readonly number[]>();
  private readonly _changes = new Emitter<number>();

  /** @param _probes permits for requests with quarantined parts; by default, those of a process without a fleet */
  constructor(private readonly _probes: IProbeSource = new SoleProbes()) {}

  /** Fires with the present time when the hub has listed other suspects. */
  public readonly onChange = this._changes.onFire;

  /** Suspects as the hub listed them last. */
  public get suspects(): readonly ISuspectParts[] {
    return this._suspects;
  }

  /**
   * Where a request stands now.
   *
   * @param mayProbe true if the request has yet to be sent, so that it may use a permit to probe its quarantined parts
   */
  public getStanding(judged: IJudgedRequest, now: number, mayProbe = true): QuarantineStanding {
    const { call } = judged;
    const parts = hashParts(call);
    // Also while nothing is suspect: right after a crash, what most requests have must be known.
    this._recordRecent(judged, parts);
    const own = this._ownEvidence.list(now);
    const entries = [...this._suspects, ...own];
    if (entries.length === 0) {
      return { kind: 'clear' };
    }
    const request = hashRequest(judged);
    const hashes = new Set([...parts, request, hashContent(judged)]);
    const matching = [...this._suspects, ...(this._isHubReachable ? [] : own)].filter(
      (entry) =>
        entry.quarantined &&
        entry.parts.every((part) => hashes.has(part)) &&
        (entry.parts.includes(request) || !this._isCommon(entry, judged.route)),
    );
    // A request with parts of several quarantines could tell nothing of each.
    const mayTake = mayProbe && matching.length === 1;
    const quarantined = matching.find((entry) => !this._isProbe(judged, entry, now, mayTake));
    if (quarantined !== undefined) {
      const partIds = call.parts.filter((part) => quarantined.parts.includes(hashPart(call, part)));
      return {
        kind: 'quarantined',
        partIds: partIds.map(({ id }) => id),
        isRepetition: quarantined.parts.includes(request),
      };
    }
    if (matching.length > 0) {
      return { kind: 'suspect', isProbe: true };
    }
    const isSuspect = entries.some(({ parts }) => parts.some((part) => hashes.has(part)));
    return isSuspect ? { kind: 'suspect', isProbe: false } : { kind: 'clear' };
  }

  /** True if the request or a shared part of its prompt is not known to be sound. */
  public isUnproven(judged: IJudgedRequest, now: number): boolean {
    return listHashes(judged).some((hash) => !this._isSound(hash, now));
  }

  /** Records that a response has settled: none of the parts crashes a target. */
  public recordSettled(judged: IJudgedRequest, now: number): void {
    this._recordSound(hashSharedParts(judged.call), now);
  }

  /** Records that a request was answered with success: neither it nor the last part of its prompt crashes a target. */
  public recordAnswered(judged: IJudgedRequest, now: number): void {
    const { call } = judged;
    this._recordSound([hashRequest(judged), ...hashParts(call).slice(-1)], now);
    if (call.parts.length > 0) {
      this._recordSoundContent(hashContent(judged), now);
    }
  }

  /** Records that a target crashed under a request. */
  public recordCrash(
    judged: IJudgedRequest,
    attempt: number,
    target: TargetRecord,
    now: number,
  ): void {
    const { call } = judged;
    const request = hashRequest(judged);
    const content = hashContent(judged);
    const report = create(CrashReportSchema, {
      attempt: hashText(`${call.id}/${attempt}`),
      target: target.id,
      born: target.born,
      parts: hashSharedParts(call).filter((part) => !this._isSound(part, now)),
      request: this._isSound(request, now) ? 0 : request,
      prompt: hashParts(call).at(-1) ?? 0,
      content: call.parts.length === 0 || this._isSoundContent(content, now) ? 0 : content,
    });
    this._ownEvidence.add(report, now);
    this._reports = [...this._reports, report].slice(-MAX_REPORTS);
    this._unreported.set(report.attempt, report);
  }

  /** What the hub has not received yet. */
  public listUnreported(): IQuarantineReport {
    return { crashes: [...this._unreported.values()], clearedParts: [...this._clearedParts] };
  }

  /** Called when a hub has received a report. */
  public removeReported({ crashes, clearedParts }: IQuarantineReport): void {
    for (const crash of crashes) {
      this._unreported.delete(crash.attempt);
    }
    for (const part of clearedParts) {
      this._clearedParts.delete(part);
    }
  }

  /** Sends all own reports again: a new hub has none of them. */
  public repeatReports(): void {
    for (const report of this._reports) {
      this._unreported.set(report.attempt, report);
    }
  }

  public setHubReachable(isReachable: boolean): void {
    this._isHubReachable = isReachable;
  }

  /**
   * Replaces the list of suspects, and clears what is known to be sound here and parts that most requests of a route have:
   * other processes may not know that, as after a start.
   */
  public applySuspects(suspects: readonly ISuspectParts[], now: number): void {
    this._suspects = suspects.map(({ parts, quarantined }) => ({ parts: [...parts], quarantined }));
    const listed = new Set(suspects.flatMap(({ parts }) => parts));
    for (const { parts, request, content } of this._unreported.values()) {
      [...parts, request, content].forEach((part) => listed.add(part));
    }
    const own = this._ownEvidence.list(now).flatMap(({ parts }) => parts);
    this._dropEvidence(own.filter((part) => !listed.has(part)));
    this._clear(
      [...listed].filter(
        (part) =>
          this._isSound(part, now) || this._isSoundContent(part, now) || this._isMostlySent(part),
      ),
    );
    this._changes.fire(now);
  }

  /**
   * True if a request with quarantined parts is a probe of them. Only parts that other requests may have too are probed:
   * a request or a content that crashed targets several times has nothing else to be blamed.
   */
  private _isProbe(
    { call }: IJudgedRequest,
    { parts }: ISuspectParts,
    now: number,
    mayTake: boolean,
  ): boolean {
    const probed = this._probing.get(call.id);
    if (probed !== undefined && parts.some((part) => probed.includes(part))) {
      return true;
    }
    const shared = new Set(hashSharedParts(call));
    const isProbe =
      mayTake && parts.every((part) => shared.has(part)) && this._probes.takePermit(parts, now);
    if (isProbe) {
      this._probing.set(call.id, parts);
      dropOldest(this._probing, MAX_PROBING);
    }
    return isProbe;
  }

  private _recordRecent({ call, route }: IJudgedRequest, parts: readonly number[]): void {
    const recent = this._recentParts.get(route) ?? new Map<string, ReadonlySet<number>>();
    recent.set(call.id, new Set(parts));
    dropOldest(recent, MAX_RECENT_REQUESTS);
    this._recentParts.set(route, recent);
  }

  /** True if most of a route's recent requests have all parts of an entry. */
  private _isCommon({ parts }: ISuspectParts, route: string): boolean {
    const recent = [...(this._recentParts.get(route)?.values() ?? [])];
    const matching = recent.filter((hashes) => parts.every((part) => hashes.has(part)));
    return isMost(matching.length, recent.length);
  }

  /** True if most of the recent requests of any route have a part. */
  private _isMostlySent(part: number): boolean {
    return [...this._recentParts.values()].some((recent) => {
      const matching = [...recent.values()].filter((parts) => parts.has(part));
      return isMost(matching.length, recent.size);
    });
  }

  private _recordSound(parts: readonly number[], now: number): void {
    for (const part of parts) {
      this._settledAt.delete(part);
      this._settledAt.set(part, now);
    }
    dropOldest(this._settledAt, MAX_SOUND_PARTS);
    this._clear(parts);
  }

  private _recordSoundContent(content: number, now: number): void {
    this._answeredAt.delete(content);
    this._answeredAt.set(content, now);
    dropOldest(this._answeredAt, MAX_SOUND_PARTS);
    this._clear([content]);
  }

  /** Clears parts here, and at the hub if it lists them. */
  private _clear(parts: readonly number[]): void {
    this._dropEvidence(parts);
    const cleared = new Set(
      parts.filter((part) => this._suspects.some((entry) => entry.parts.includes(part))),
    );
    if (cleared.size === 0) {
      return;
    }
    cleared.forEach((part) => this._clearedParts.add(part));
    this._suspects = this._suspects
      .map((entry) => ({ ...entry, parts: entry.parts.filter((part) => !cleared.has(part)) }))
      .filter((entry) => entry.parts.length > 0);
  }

  /** Takes parts out of the own reports, so that a new hub does not get them. */
  private _dropEvidence(parts: readonly number[]): void {
    if (parts.length === 0 || !this._ownEvidence.clear(parts)) {
      return;
    }
    for (const report of this._reports) {
      report.parts = report.parts.filter((part) => !parts.includes(part));
      report.request = parts.includes(report.request) ? 0 : report.request;
      report.content = parts.includes(report.content) ? 0 : report.content;
    }
    this._reports = this._reports.filter(
      ({ parts: suspects, request, content }) =>
        suspects.length > 0 || request !== 0 || content !== 0,
    );
  }

  private _isSoundContent(content: number, now: number): boolean {
    const answeredAt = this._answeredAt.get(content) ?? Number.NEGATIVE_INFINITY;
    return now - answeredAt <= SOUND_CONTENT_MS;
  }

  private _isSound(part: number, now: number): boolean {
    return now - (this._settledAt.get(part) ?? Number.NEGATIVE_INFINITY) <= SOUND_MS;
  }
}

function isMost(count: number, total: number): boolean {
  return total >= MIN_RECENT_REQUESTS && count >= MAX_HELD_SHARE * total;
}

function dropOldest<T>(map: Map<T, unknown>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) {
      return;
    }
    map.delete(key);
  }
}

/** Hashes of all that may be to blame for a crash: the parts that other requests may have too, and the request itself. */
function listHashes(judged: IJudgedRequest): number[] {
  return [...hashSharedParts(judged.call), hashRequest(judged)];
}

/** Hashes of all parts but the last, which other requests may have too. */
function hashSharedParts(call: ICall): number[] {
  return hashParts(call).slice(0, -1);
}

/** Hashes of all parts. Unlike cached parts, a part that crashes targets does so for each isolation key. */
function hashParts(call: ICall): number[] {
  return call.parts.map((part) => hashPart(call, part));
}

function hashPart({ model }: ICall, { id }: IPromptPart): number {
  return hashText(`${model ?? ''}/${id}`);
}

/** Equal for all repetitions of a request; never 0. Where the prompt is not part of the content, it is included. */
function hashRequest(judged: IJudgedRequest): number {
  const { parts } = judged.call;
  const content = hashContent(judged);
  return parts.length === 0
    ? content
    : hashText([content, ...parts.map(({ id }) => id)].join('/')) || 1;
}

/** Equal for all requests of a client account with the same method, host, path and body; never 0. */
function hashContent({ call, account }: IJudgedRequest): number {
  return hashText(`${call.hashContent()}/${account ?? ''}`) || 1;
}
