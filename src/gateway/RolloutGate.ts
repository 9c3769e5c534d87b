/** Decides in an entry which software versions a request may be sent to, and counts what their responses tell. */
import { create } from '@bufbuild/protobuf';
import { isMechanismDisabled } from '../common/TestSwitches.js';
import type { Metrics } from '../common/Metrics.js';
import type { IExchangeContext, IExchangePart } from '../fleet/ExchangePart.js';
import { CLOSING_STEP, FULL_STEP } from '../fleet/RolloutPlan.js';
import { getSoftwareVersion } from '../fleet/SoftwareVersions.js';
import {
  RolloutEvidenceSchema,
  RolloutReportSchema,
  RolloutState,
  type ExchangeRequest,
  type ExchangeResponse,
  type Rollout,
  type RolloutEvidence,
  type RolloutGrant,
  type RolloutReport,
  type TargetRecord,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { hashText } from '../policy/TargetTable.js';

const HASH_RANGE = 2 ** 32;

/** Bounds of the logarithm of one response time, so that a single one has a limited weight. */
const MIN_LOG_RATIO = -2;
const MAX_LOG_RATIO = 2.5;

/** Versions of a service that are remembered. */
const MAX_KNOWN_VERSIONS = 256;

/** What the response to one attempt tells of the version of its target. */
export interface IAnswerEvidence {
  /** `bad_after_all`: a response that counted as good has failed. Undefined: there is no response. */
  readonly result: 'good' | 'bad' | 'bad_after_all' | undefined;
  /** Time to the first byte, or the time waited in vain until the deadline; undefined if this is not known. */
  readonly firstMs: number | undefined;
  /** The time that was expected for an average target. */
  readonly expectedMs: number;
}

/** Versions among which the target of one request is chosen. */
export interface IVersionGate {
  /** False for versions that must get nothing now. */
  isAllowed(record: TargetRecord): boolean;
  /** True once all requests go to the new version, also those that are expected to be late there. */
  readonly isFull: boolean;
  /** True for the version that the request goes to if a target of it can take it. */
  isPreferred(record: TargetRecord): boolean;
}

/** A running rollout, with what has to be reported of it. */
interface IRunningRollout {
  rollout: Rollout;
  grant: RolloutGrant | undefined;
  /** Unused permits, and until when they hold. */
  permits: number;
  expiresAt: number;
  /** Step of the last answer of the hub. */
  step: number;
  /** Elapsed time of the rollout by the last answer, and when it arrived. */
  elapsed: { readonly ms: number; readonly at: number };
  requests: number;
  sent: number;
  readonly evidence: Map<string, RolloutEvidence>;
  /** Report that was sent and is not answered yet. */
  inFlight: RolloutReport | undefined;
}

/** The state that the gate depends on beside its own. */
export interface IRolloutGateContext {
  /** Open requests of this entry at targets of the service with another version. */
  countOpenAtOthers(service: string, version: string): number;
  readonly metrics: Metrics;
}

/**
 * While a rollout runs, a request goes to the new version only with a permit of the hub, which is limited in number and in
 * time. Sessions are divided by a hash, so that each moves once. Without rollouts the gate changes nothing, except that a
 * version of which only a target has told this entry is not used before the hub has answered: it may be rolled out.
 *
 * @example
 * const gate = new RolloutGate({ countOpenAtOthers: () => 0, metrics });
 * const versions = gate.open('lace', 'assist', sessionKey, now);
 */
export class RolloutGate implements IExchangePart {
  private readonly _running = new Map<string, IRunningRollout>();
  private readonly _barred = new Map<string, ReadonlySet<string>>();
  /** Versions of each service of which the hub has told, oldest first. */
  private readonly _known = new Map<string, Set<string>>();
  private _revision = 0n;

  constructor(private readonly _context: IRolloutGateContext) {}

  /** Counts a request of a client that reaches its service. */
  public recordRequest(service: string): void {
    const running = this._running.get(service);
    if (running !== undefined) {
      running.requests += 1;
    }
  }

  /**
   * Decides for one request of a session; undefined if all targets may be used.
   *
   * @param candidates targets that could take the request if there were no rollout
   */
  public open(
    service: string,
    route: string,
    session: string,
    candidates: readonly TargetRecord[],
    now: number,
  ): IVersionGate | undefined {
    const running = this._running.get(service);
    const barred = this._barred.get(service);
    const isUnknown = (record: TargetRecord): boolean => !this._isKnown(record);
    const hidesUnknown = candidates.some(isUnknown) && !candidates.every(isUnknown);
    if (running === undefined && barred === undefined && !hidesUnknown) {
      return undefined;
    }
    TEST_ONLY: if (isMechanismDisabled('rollout-gate')) return undefined;
    const isBarred = (record: TargetRecord): boolean =>
      (barred?.has(getSoftwareVersion(record)) ?? false) || (hidesUnknown && isUnknown(record));
    if (running === undefined) {
      return { isAllowed: (record) => !isBarred(record), isFull: false, isPreferred: () => true };
    }
    const { rollout, grant, step } = running;
    const hasPermit = hasValidPermit(running, now);
    const share = grant === undefined ? 0 : (grant.routeShares[route] ?? grant.share);
    const isChosen = hasPermit && hashText(`${rollout.id}/${session}`) < share * HASH_RANGE;
    const isClosing = hasPermit && step >= CLOSING_STEP;
    const isNew = (record: TargetRecord): boolean => getSoftwareVersion(record) === rollout.to;
    return {
      isAllowed: (record) => (isNew(record) ? hasPermit : !isClosing && !isBarred(record)),
      isFull: hasPermit && step >= FULL_STEP,
      isPreferred: (record) => isNew(record) === isChosen,
    };
  }

  /** True for a version that was rolled back or replaced, which gets nothing. */
  public isBarred(target: TargetRecord): boolean {
    return this._barred.get(target.service)?.has(getSoftwareVersion(target)) === true;
  }

  /** Spends a permit for an attempt that begins. */
  public recordSent(target: TargetRecord): void {
    const running = this._running.get(target.service);
    if (running?.rollout.to === getSoftwareVersion(target)) {
      running.permits = Math.max(0, running.permits - 1);
      running.sent += 1;
    }
  }

  /** True if responses of the service's targets are compared now. */
  public isComparing(service: string): boolean {
    return this._running.has(service);
  }

  public recordAnswer(target: TargetRecord, route: string, answer: IAnswerEvidence): void {
    const running = this._running.get(target.service);
    if (running === undefined) {
      return;
    }
    const version = getSoftwareVersion(target);
    const isNew = version === running.rollout.to;
    const counts = ensureEvidence(running.evidence, route, isNew);
    const { result, firstMs, expectedMs } = answer;
    counts.good += result === 'good' ? 1 : result === 'bad_after_all' ? -1 : 0;
    counts.bad += result === 'bad' || result === 'bad_after_all' ? 1 : 0;
    if (firstMs !== undefined) {
      const ratio = Math.log(Math.max(1, firstMs) / Math.max(1, expectedMs));
      const bounded = Math.min(MAX_LOG_RATIO, Math.max(MIN_LOG_RATIO, ratio));
      counts.times += 1;
      counts.logSum += bounded;
      counts.logSquareSum += bounded * bounded;
    }
    this._context.metrics.increment('rollout_answers_total', {
      service: target.service,
      version,
      kind: result ?? 'late',
    });
  }

  public addReport(request: ExchangeRequest, now: number): void {
    request.gatesRollouts = true;
    request.rolloutRevision = this._revision;
    for (const running of this._running.values()) {
      const { rollout, permits, requests, sent, step, elapsed, evidence } = running;
      running.inFlight = create(RolloutReportSchema, {
        id: rollout.id,
        requests,
        sent,
        held: now < running.expiresAt ? permits : 0,
        oldOpen: this._context.countOpenAtOthers(rollout.service, rollout.to),
        step,
        elapsedMs: Math.round(elapsed.ms + now - elapsed.at),
        evidence: [...evidence.values()].map((counts) => ({ ...counts })),
      });
      request.rollouts.push(running.inFlight);
    }
  }

  public applyResponse(response: ExchangeResponse, { sentAt, now }: IExchangeContext): void {
    for (const { service, softwareVersion } of response.targets) {
      const versions = this._known.get(service) ?? new Set();
      this._known.set(service, versions);
      versions.delete(softwareVersion);
      versions.add(softwareVersion);
      for (const oldest of [...versions].slice(0, -MAX_KNOWN_VERSIONS)) {
        versions.delete(oldest);
      }
    }
    for (const running of this._running.values()) {
      settleReport(running);
    }
    if (response.rolloutRevision > this._revision) {
      this._revision = response.rolloutRevision;
      this._applyRollouts(response.rollouts, now);
    }
    for (const grant of response.rolloutGrants) {
      this._applyGrant(grant, sentAt, now);
    }
  }

  private _applyRollouts(rollouts: readonly Rollout[], now: number): void {
    for (const rollout of rollouts) {
      const { service, to, barredVersions, state } = rollout;
      this._context.metrics.setGauge('rollout_state', { service, version: to }, state);
      if (state !== RolloutState.RUNNING) {
        const share = state === RolloutState.COMPLETED ? 1 : 0;
        this._context.metrics.setGauge('rollout_share', { service, version: to }, share);
      }
      if (barredVersions.length > 0) {
        this._barred.set(service, new Set(barredVersions));
      } else {
        this._barred.delete(service);
      }
      const running = this._running.get(service);
      if (state !== RolloutState.RUNNING) {
        this._running.delete(service);
      } else if (running?.rollout.id === rollout.id) {
        running.rollout = rollout;
      } else {
        this._running.set(service, startRollout(rollout, now));
      }
    }
  }

  private _applyGrant(grant: RolloutGrant, sentAt: number, now: number): void {
    const running = [...this._running.values()].find(({ rollout }) => rollout.id === grant.id);
    if (running === undefined) {
      return;
    }
    const { service, to } = running.rollout;
    this._context.metrics.setGauge('rollout_share', { service, version: to }, grant.share);
    running.grant = grant;
    running.step = grant.step;
    running.elapsed = { ms: grant.elapsedMs, at: now };
    running.expiresAt = sentAt + grant.leaseMs;
    // What was sent since the report is still to be reported.
    running.permits = Math.max(0, grant.permits - running.sent);
  }

  /** True if the hub has told of the version, or if the target names none. */
  private _isKnown(record: TargetRecord): boolean {
    const { service, softwareVersion } = record;
    return softwareVersion === '' || this._known.get(service)?.has(softwareVersion) === true;
  }
}

/** True if a request may be sent to the new version now. */
function hasValidPermit({ permits, expiresAt }: IRunningRollout, now: number): boolean {
  TEST_ONLY: if (isMechanismDisabled('rollout-permits')) return true;
  return permits > 0 && now < expiresAt;
}

function startRollout(rollout: Rollout, now: number): IRunningRollout {
  return {
    rollout,
    grant: undefined,
    permits: 0,
    expiresAt: Number.NEGATIVE_INFINITY,
    step: Math.min(rollout.step, FULL_STEP - 1),
    elapsed: { ms: rollout.elapsedMs, at: now },
    requests: 0,
    sent: 0,
    evidence: new Map(),
    inFlight: undefined,
  };
}

/** Subtracts what was reported, as the hub has answered; what was counted since remains. */
function settleReport(running: IRunningRollout): void {
  const report = running.inFlight;
  running.inFlight = undefined;
  if (report === undefined) {
    return;
  }
  running.requests -= report.requests;
  running.sent -= report.sent;
  for (const reported of report.evidence) {
    const counts = ensureEvidence(running.evidence, reported.route, reported.isNew);
    counts.good -= reported.good;
    counts.bad -= reported.bad;
    counts.times -= reported.times;
    counts.logSum -= reported.logSum;
    counts.logSquareSum -= reported.logSquareSum;
    if (counts.good === 0 && counts.bad === 0 && counts.times === 0) {
      running.evidence.delete(formatEvidenceKey(reported.route, reported.isNew));
    }
  }
}

function ensureEvidence(
  evidence: Map<string, RolloutEvidence>,
  route: string,
  isNew: boolean,
): RolloutEvidence {
  const key = formatEvidenceKey(route, isNew);
  const existing = evidence.get(key);
  if (existing !== undefined) {
    return existing;
  }
  const counts = create(RolloutEvidenceSchema, { route, isNew });
  evidence.set(key, counts);
  return counts;
}

function formatEvidenceKey(route: string, isNew: boolean): string {
  return `${isNew ? 'new' : 'old'} ${route}`;
}
