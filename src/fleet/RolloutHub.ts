/** The part of rollouts that acts on the hub: judges the responses, and grants permits to the entries. */
import { create } from '@bufbuild/protobuf';
import type { ILog } from '../common/Log.js';
import {
  RolloutGrantSchema,
  TargetPhase,
  type ExchangeRequest,
  type ExchangeResponse,
  type Rollout,
  type RolloutGrant,
  type RolloutReport,
  type TargetRecord,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import type { IHubContext, IHubPart } from './ExchangePart.js';
import {
  PROBE_LEASE_MS,
  RolloutBudget,
  SHARE_LEASE_MS,
  type IGrantTerms,
  type IRolloutBounds,
} from './RolloutBudget.js';
import { RolloutJudge, sumAnswers, type RolloutVerdict } from './RolloutJudge.js';
import { FULL_STEP, ROLLOUT_STEPS, type IRolloutProgress } from './RolloutPlan.js';
import { getSoftwareVersion } from './SoftwareVersions.js';

/**
 * Permits are granted only if a majority has confirmed the leader within this time. It is shorter than the election
 * timeout, so that the permits of this leader have expired when the next one has led for the longest lease.
 */
const MAX_GRANT_CONFIRMATION_AGE_MS = 400;

/** An entry that has been silent for longer does not hold up the completion: it has ended. */
const ENTRY_SILENCE_MS = 5_000;

/** Time in which all entries report to a new hub. */
const ENTRIES_KNOWN_MS = 2_000;

/** Responses of the old versions from which on a route counts as used. */
const USED_ROUTE_ANSWERS = 10;

/** Responses of the new version that each used route needs before the version gets more than a tenth. */
const ROUTE_ANSWERS = 8;
const FIRST_ROUTE_CHECK_STEP = 2;

/** Requests of each route that go to the new version at least, as a part of all; so rare routes are judged early. */
const MIN_ROUTE_PART = 0.02;
const MAX_ROUTE_SHARE = 0.5;

/** Time within which the entries hear of a step. */
const STEP_SPREAD_MS = 300;

/** Time after which the rate of a route is known. */
const ROUTE_RATE_MS = 500;

interface IEntryState {
  /** Last step of which the entry has heard; -1 if it has not heard of the rollout. */
  readonly step: number;
  readonly oldOpen: number;
  readonly reportedAt: number;
}

/** What the hub knows of one running rollout. */
class RolloutTracker {
  public readonly judge = new RolloutJudge();
  public readonly budget: RolloutBudget;
  public readonly entries = new Map<string, IEntryState>();
  private readonly _startedAt: number;
  private _elapsed: { readonly ms: number; readonly at: number };
  private _step = -1;
  private _stepSince: number | undefined;
  /** Requests of the service, and those to the new version, when the entries had heard of the step. */
  private _stepUsage: { readonly requests: number; readonly sent: number } | undefined;
  private _stepAnswers = 0;
  private _stepRouteAnswers: ReadonlyMap<string, number> = new Map();

  constructor(rollout: Rollout, bounds: IRolloutBounds, now: number) {
    this._startedAt = now;
    this._elapsed = { ms: rollout.elapsedMs, at: now };
    this.budget = new RolloutBudget(bounds, {
      requests: Number(rollout.requests),
      exposed: Number(rollout.exposed),
    });
  }

  public getElapsedMs(now: number): number {
    return this._elapsed.ms + now - this._elapsed.at;
  }

  /** Takes the time over which the entries counted on while there was no leader. */
  public raiseElapsed(ms: number, now: number): void {
    if (ms > this.getElapsedMs(now)) {
      this._elapsed = { ms, at: now };
    }
  }

  /** Called at least at the pace of the controller. */
  public observeStep(step: number, hasReadyTarget: boolean, now: number): void {
    if (step !== this._step) {
      this._step = step;
      this._stepSince = undefined;
      this._stepUsage = undefined;
      this._stepAnswers = this.judge.answers;
      this._stepRouteAnswers = new Map(
        this.judge.listRoutes().map(({ route, fresh }) => [route, sumAnswers([fresh])]),
      );
    }
    if (hasReadyTarget) {
      this._stepSince ??= now;
    }
    if (this.getStepMs(now) >= STEP_SPREAD_MS) {
      const { requests, sent } = this.budget;
      this._stepUsage ??= { requests, sent };
    }
  }

  /** Share of the requests that has gone to the new version since the entries have heard of the step. */
  public getStepShare(): number {
    const { requests = 0, sent = 0 } = this._stepUsage ?? {};
    const all = this.budget.requests - requests;
    return this._stepUsage === undefined || all <= 0 ? 0 : (this.budget.sent - sent) / all;
  }

  public getStepMs(now: number): number {
    return this._stepSince === undefined ? 0 : now - this._stepSince;
  }

  public get stepAnswers(): number {
    return this.judge.answers - this._stepAnswers;
  }

  public get lacksRoute(): boolean {
    return this.judge.listRoutes().some(({ route, old, fresh }) => {
      const answers = sumAnswers([fresh]);
      const isNew = answers > (this._stepRouteAnswers.get(route) ?? 0);
      const isKnown = this._step < FIRST_ROUTE_CHECK_STEP - 1 || answers >= ROUTE_ANSWERS;
      return sumAnswers([old]) >= USED_ROUTE_ANSWERS && !(isNew && isKnown);
    });
  }

  /** Shares of the routes that have so few requests that the share of the step would hardly test them. */
  public listRouteShares(share: number, now: number): Record<string, number> {
    const elapsedMs = now - this._startedAt;
    if (elapsedMs < ROUTE_RATE_MS || share >= MAX_ROUTE_SHARE) {
      return {};
    }
    const routes = this.judge.listRoutes();
    const all = sumAnswers(routes.flatMap(({ old, fresh }) => [old, fresh]));
    const shares = routes.map(({ route, old, fresh }): [string, number] => {
      const part = sumAnswers([old, fresh]) / Math.max(1, all);
      return [route, part > 0 ? Math.min(MAX_ROUTE_SHARE, MIN_ROUTE_PART / part) : 0];
    });
    return Object.fromEntries(shares.filter(([, routeShare]) => routeShare > share));
  }
}

/** A running rollout, as the controller decides on it. */
export interface IObservedRollout {
  readonly verdict: RolloutVerdict;
  readonly progress: IRolloutProgress;
  readonly requests: number;
  readonly exposed: number;
  /** Versions of the known targets of the service, except the one that is rolled out. */
  readonly otherVersions: readonly string[];
  /** True if the service has had no other version for some time, as far as is known. */
  readonly isOnlyVersion: boolean;
}

/** Circumstances of the hub. */
export interface IRolloutHubOptions {
  readonly bounds: IRolloutBounds;
  /** Time since a majority last confirmed this process as the leader. */
  readonly getConfirmationAgeMs: (now: number) => number;
  readonly log: ILog;
}

/**
 * Collects what the entries report of running rollouts, for one term of the leader. A version that is found to be bad gets
 * no permits from the same exchange on, whether or not the end of the rollout can be committed.
 */
export class RolloutHub implements IHubPart {
  private readonly _trackers = new Map<string, RolloutTracker>();
  /** When each entry last reported, also those that know of no rollout. */
  private readonly _entries = new Map<string, number>();
  private readonly _restored: ReadonlySet<string>;

  constructor(
    public readonly context: IHubContext,
    private readonly _options: IRolloutHubOptions,
  ) {
    this._restored = new Set(context.state.rollouts.listRunning().map(({ id }) => id));
  }

  public exchange(request: ExchangeRequest, response: ExchangeResponse, now: number): void {
    const { rollouts } = this.context.state;
    response.tracksRollouts = true;
    response.rolloutRevision = rollouts.revision;
    if (rollouts.revision > request.rolloutRevision) {
      response.rollouts = [...rollouts.list()];
    }
    if (!request.takesRequests) {
      return;
    }
    this._entries.set(request.node, now);
    const run = `${request.node}/${request.incarnation}`;
    for (const rollout of rollouts.listRunning()) {
      const tracker = this._ensureTracker(rollout, now);
      const report = request.rollouts.find(({ id }) => id === rollout.id);
      this._applyReport(tracker, request.node, run, report, now);
      const grant = this._grant(rollout, tracker, run, now);
      if (grant !== undefined && request.gatesRollouts) {
        response.rolloutGrants.push(grant);
      }
    }
  }

  /** True once all entries that report have heard of the rollout. */
  public isKnownToAll(id: string, now: number): boolean {
    const tracker = this._trackers.get(id);
    return [...this._entries].every(([node, reportedAt]) => {
      const entry = tracker?.entries.get(node);
      return now - reportedAt > ENTRY_SILENCE_MS || (entry !== undefined && entry.step >= 0);
    });
  }

  /** Describes a running rollout. */
  public observe(rollout: Rollout, now: number): IObservedRollout {
    const tracker = this._ensureTracker(rollout, now);
    const targets = this._listTargets(rollout.service);
    const hasReadyTarget = targets.some(
      (target) =>
        getSoftwareVersion(target) === rollout.to &&
        target.phase === TargetPhase.READY &&
        !target.silent,
    );
    tracker.observeStep(rollout.step, hasReadyTarget && this._isHandedOver(rollout, now), now);
    const verdict = tracker.judge.getVerdict();
    const versions = new Set(targets.map((target) => getSoftwareVersion(target)));
    versions.delete(rollout.to);
    const { budget } = tracker;
    return {
      verdict,
      requests: budget.requests,
      exposed: budget.getExposed(rollout),
      otherVersions: [...versions],
      isOnlyVersion:
        now - this.context.startedAt >= ENTRIES_KNOWN_MS &&
        hasReadyTarget &&
        this.isOnlyVersion(rollout.service, rollout.to),
      progress: {
        ...this._getTerms(rollout, tracker, now),
        stepMs: tracker.getStepMs(now),
        answers: tracker.stepAnswers,
        lacksRoute: tracker.lacksRoute,
        stepShare: tracker.getStepShare(),
        isHealthy: verdict.kind === 'sound' && verdict.isHealthy,
        requestRate: budget.getRequestRate(now),
        hasReadyTarget,
        isExhausted: budget.isExhausted(this._getTerms(rollout, tracker, now)),
        hasLeftOld: this._hasLeftOld(rollout, tracker, now),
      },
    };
  }

  /** Counts of each route, for the log and the metrics. */
  public listRoutes(id: string): ReturnType<RolloutJudge['listRoutes']> {
    return this._trackers.get(id)?.judge.listRoutes() ?? [];
  }

  /** True if all targets of the service have the version, and so had those that streams began at. */
  public isOnlyVersion(service: string, version: string): boolean {
    const versions = new Set(
      this._listTargets(service).map((target) => getSoftwareVersion(target)),
    );
    const base = this.context.state.versionBases.get(service) ?? '';
    return versions.size === 1 && versions.has(version) && (base === '' || base === version);
  }

  private _listTargets(service: string): readonly TargetRecord[] {
    return this.context.hub
      .listTargets()
      .filter((target) => target.service === service && target.phase !== TargetPhase.GONE);
  }

  private _ensureTracker(rollout: Rollout, now: number): RolloutTracker {
    const existing = this._trackers.get(rollout.id);
    if (existing !== undefined) {
      return existing;
    }
    const tracker = new RolloutTracker(rollout, this._options.bounds, now);
    this._trackers.set(rollout.id, tracker);
    return tracker;
  }

  private _applyReport(
    tracker: RolloutTracker,
    node: string,
    run: string,
    report: RolloutReport | undefined,
    now: number,
  ): void {
    if (report === undefined) {
      tracker.entries.set(node, { step: -1, oldOpen: 0, reportedAt: now });
      tracker.budget.report(run, { requests: 0, sent: 0, held: 0 }, now);
      return;
    }
    const { step, oldOpen, elapsedMs, evidence } = report;
    tracker.entries.set(node, { step, oldOpen, reportedAt: now });
    tracker.raiseElapsed(elapsedMs, now);
    tracker.budget.report(run, report, now);
    for (const counts of evidence) {
      tracker.judge.add(counts);
    }
  }

  /** Undefined if the process keeps what it has until it expires. */
  private _grant(
    rollout: Rollout,
    tracker: RolloutTracker,
    run: string,
    now: number,
  ): RolloutGrant | undefined {
    const { id, step } = rollout;
    const elapsedMs = Math.round(tracker.getElapsedMs(now));
    if (tracker.judge.getVerdict().kind === 'bad') {
      return create(RolloutGrantSchema, { id, permits: 0, share: 0, leaseMs: 0, step, elapsedMs });
    }
    const isConfirmed = this._options.getConfirmationAgeMs(now) <= MAX_GRANT_CONFIRMATION_AGE_MS;
    if (!isConfirmed || !this._isHandedOver(rollout, now)) {
      return undefined;
    }
    const { share } = ROLLOUT_STEPS[step] ?? { share: 0 };
    const { exposureShare, rollbackMs } = this._options.bounds;
    const leaseMs = share <= exposureShare ? PROBE_LEASE_MS : SHARE_LEASE_MS;
    return create(RolloutGrantSchema, {
      id,
      step,
      share,
      elapsedMs,
      permits: tracker.budget.grant(run, this._getTerms(rollout, tracker, now)),
      leaseMs: Math.min(leaseMs, Math.round(rollbackMs / 2)),
      routeShares: tracker.listRouteShares(share, now),
    });
  }

  /** False while permits of the former leader may still be used in addition; without a limit they need not be counted. */
  private _isHandedOver({ id, step }: Rollout, now: number): boolean {
    const isOver = now - this.context.startedAt >= SHARE_LEASE_MS;
    return step >= FULL_STEP || !this._restored.has(id) || isOver;
  }

  private _getTerms(
    { step, durationMs }: Rollout,
    tracker: RolloutTracker,
    now: number,
  ): IGrantTerms {
    return { step, durationMs, elapsedMs: tracker.getElapsedMs(now) };
  }

  /** True if every entry knows the step, and had no open request at an old target when it last reported. */
  private _hasLeftOld({ step }: Rollout, { entries }: RolloutTracker, now: number): boolean {
    if (step < FULL_STEP || now - this.context.startedAt < ENTRIES_KNOWN_MS) {
      return false;
    }
    return [...this._entries].every(([node, reportedAt]) => {
      const entry = entries.get(node);
      return (
        now - reportedAt > ENTRY_SILENCE_MS ||
        (entry !== undefined && entry.step >= step && entry.oldOpen === 0)
      );
    });
  }
}
