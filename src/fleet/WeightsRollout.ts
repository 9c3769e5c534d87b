/** Loads the newest named weights on every engine; acts on the leader only. */
import type { IClock } from '../common/Clock.js';
import { describeError, type ILog } from '../common/Log.js';
import { isAborted, runWithTimeout, sleep } from '../common/Tasks.js';
import { TargetPhase, type TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import { getHeldVersion } from './HeldWeights.js';
import { LOAD_HANDOVER_MS, type FleetHub } from './FleetHub.js';

/** Interval at which the engines' weights are compared with the named ones. */
const RECONCILE_INTERVAL_MS = 100;

/** Least time between marking an engine as loading and the order. */
const MIN_ORDER_DELAY_MS = 200;

/** Interval at which a loading engine is asked for its report. */
const LOAD_POLL_INTERVAL_MS = 150;

/** Time after which a load counts as failed; the engine is ordered again after a cooldown. */
const LOAD_TIMEOUT_MS = 8_000;

/** Timeout of one call to an engine. */
const CALL_TIMEOUT_MS = 1_000;

/** Cooldown of an engine after a failed load, so that a broken one does not block the loads of others. */
const FAILURE_COOLDOWN_MS = 1_500;

/**
 * Fraction of a model's engines that load at once, and their least number. More loads in parallel make each
 * slower. About as many engines again are prepared meanwhile.
 */
const PARALLEL_LOADS_FRACTION = 0.25;
const MIN_PARALLEL_LOADS = 2;

/**
 * Shortest and longest preparation of an engine. While it is prepared, it gets no new long streams and its
 * existing ones end, as a load waits for all running requests.
 */
const MIN_PREPARE_MS = 400;
const MAX_PREPARE_MS = 4_000;

/**
 * Orders are sent only if a majority has confirmed the leader within this time. It is shorter than the election
 * timeout of members that have heard of a leader, so the next leader is elected after the last order of this
 * one. A member that has just started may be elected sooner; as a leader it waits for the whole lease.
 */
const MAX_ORDER_CONFIRMATION_AGE_MS = 400;

/** An engine's report of its own state. */
export interface IEngineReport {
  readonly isBusy: boolean;
  /** Number of orders that the engine accepted since its start. */
  readonly sequence: number;
  readonly versions: ReadonlyMap<string, number>;
}

/** Order to an engine to load a version of a model's weights. */
export interface IWeightsOrder {
  readonly model: string;
  readonly version: number;
  readonly holder: string;
  /** Fencing token: a target that has seen a higher one refuses the order. */
  readonly fence: number;
  /** Sequence that the engine must still have when it executes the order. */
  readonly expectedSequence: number;
}

export type OrderOutcome = 'accepted' | 'done' | 'busy' | 'fenced' | 'refused' | 'other_target';

/** Calls to the engines. A call that gets no answer rejects. */
export interface IEngineClient {
  fetchReport(target: TargetRecord, signal: AbortSignal): Promise<IEngineReport>;
  sendOrder(target: TargetRecord, order: IWeightsOrder, signal: AbortSignal): Promise<OrderOutcome>;
}

export interface IRolloutOptions {
  /** Name of this process, sent with its orders. */
  readonly holder: string;
  /**
   * Orders of two holders to one engine within this time count as alternating, so a new leader waits this long
   * before it orders engines that the former one may have ordered. In milliseconds.
   */
  readonly leaseMs: number;
}

/** What the rollout needs from the leading process. */
export interface IRolloutLeader {
  /** Undefined while this process does not lead. */
  getHub(now: number): FleetHub | undefined;
  /** Time within which every entry learns of a change at the hub. */
  getPropagationMs(): number;
  /** Time since a majority last confirmed this process as the leader; infinite if none has. */
  getConfirmationAgeMs(now: number): number;
  /** Term of the replicated log. A term has at most one leader, so it serves as fencing token. */
  readonly term: number;
  /** Time for which requests may still begin on a version; zero or less once it is over. */
  getUsableMs(model: string, version: number, now: number): number;
  readonly weights: readonly { readonly model: string; readonly version: bigint }[];
}

interface ILoadLimits {
  readonly maxParallelLoads: number;
  readonly maxPrepareMs: number;
}

/** A load of weights on one engine, and the hub that propagates its state. */
interface ILoadTask {
  readonly target: TargetRecord;
  readonly model: string;
  readonly version: number;
  readonly hub: FleetHub;
}

/**
 * Prepares engines with outdated weights and orders them to load the named ones, a limited number at once.
 * Engines that hold the oldest weights come first.
 */
export class WeightsRollout {
  /** Running loads by target. */
  private readonly _loading = new Map<string, Promise<void>>();
  /** Start of the preparation, by target. */
  private readonly _preparing = new Map<string, number>();
  /** End of the cooldown after a failed load, by target. */
  private readonly _cooldownUntil = new Map<string, number>();
  private _leadership: { readonly term: number; readonly since: number } | undefined;

  constructor(
    private readonly _leader: IRolloutLeader,
    private readonly _engines: IEngineClient,
    private readonly _options: IRolloutOptions,
    private readonly _clock: IClock,
    private readonly _log: ILog,
  ) {}

  public async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      this._startLoads(this._clock.now(), signal);
      await sleep(RECONCILE_INTERVAL_MS, signal);
    }
    await Promise.all(this._loading.values());
  }

  private _startLoads(now: number, signal: AbortSignal): void {
    const hub = this._leader.getHub(now);
    if (hub === undefined) {
      this._leadership = undefined;
      this._preparing.clear();
      return;
    }
    const { term } = this._leader;
    if (this._leadership?.term !== term) {
      this._leadership = { term, since: now };
    }
    const leadingMs = term > 1 ? now - this._leadership.since : Number.POSITIVE_INFINITY;
    if (leadingMs < (hub.isColdStart ? this._options.leaseMs : LOAD_HANDOVER_MS)) {
      return;
    }
    // The former leader may have sent an order just before it lost its leadership.
    const targets = hub
      .listTargets()
      .filter(({ id }) => leadingMs >= this._options.leaseMs || !hub.hasInheritedLoad(id));
    this._cancelPreparations(hub, targets);
    if (!this._mayOrder(now)) {
      return;
    }
    for (const { model, version } of this._leader.weights) {
      this._startModelLoads(model, Number(version), hub, targets, signal);
    }
  }

  /** Cancels the preparation of engines that became unavailable, or got their weights, meanwhile. */
  private _cancelPreparations(hub: FleetHub, targets: readonly TargetRecord[]): void {
    const needsLoad = (target: TargetRecord): boolean =>
      this._leader.weights.some(
        ({ model, version }) =>
          isLoadable(target, model) && getVersion(target, model) < Number(version),
      );
    const needingLoad = new Set(targets.filter(needsLoad).map(({ id }) => id));
    for (const id of [...this._preparing.keys()].filter((prepared) => !needingLoad.has(prepared))) {
      this._preparing.delete(id);
      hub.setLoadState(id, 'none');
    }
    // A former leader may have set a state that it did not live to reset.
    for (const { id, preparing, loading } of targets) {
      if ((preparing || loading) && !needingLoad.has(id) && !this._loading.has(id)) {
        hub.setLoadState(id, 'none');
      }
    }
  }

  private _mayOrder(now: number): boolean {
    return this._leader.getConfirmationAgeMs(now) <= MAX_ORDER_CONFIRMATION_AGE_MS;
  }

  private _startModelLoads(
    model: string,
    version: number,
    hub: FleetHub,
    targets: readonly TargetRecord[],
    signal: AbortSignal,
  ): void {
    const now = this._clock.now();
    // Oldest weights first, so that no engine starves when versions are named in quick succession.
    const candidates = targets
      .filter((target) => isLoadable(target, model))
      .sort((left, right) => getVersion(left, model) - getVersion(right, model));
    // Engines with weights that no request may begin on get no requests anyway, so they may all load at once.
    const outdated = candidates.filter((target) => getVersion(target, model) < version);
    const usableMs = outdated.map((target) =>
      this._leader.getUsableMs(model, getVersion(target, model), now),
    );
    const unusable = usableMs.filter((ms) => ms <= 0).length;
    const maxParallelLoads = Math.max(
      MIN_PARALLEL_LOADS,
      Math.floor(candidates.length * PARALLEL_LOADS_FRACTION),
      unusable,
    );
    const maxPrepareMs = computeMaxPrepareMs(
      Math.min(...usableMs),
      Math.ceil(outdated.length / maxParallelLoads),
    );
    for (const target of outdated) {
      const mayLoad =
        !this._loading.has(target.id) && now >= (this._cooldownUntil.get(target.id) ?? 0);
      if (mayLoad) {
        const load = { target, model, version, hub };
        this._advanceLoad(load, { maxParallelLoads, maxPrepareMs }, signal);
      }
    }
  }

  /** Starts an engine's preparation, or its load once it is prepared, if the limits allow one more. */
  private _advanceLoad(
    load: ILoadTask,
    { maxParallelLoads, maxPrepareMs }: ILoadLimits,
    signal: AbortSignal,
  ): void {
    const { target, hub } = load;
    const now = this._clock.now();
    const preparingSince = this._preparing.get(target.id);
    if (preparingSince === undefined) {
      if (this._preparing.size <= maxParallelLoads) {
        this._preparing.set(target.id, now);
        hub.setLoadState(target.id, 'preparing');
      }
    } else if (
      this._isPrepared(target, hub, now - preparingSince, maxPrepareMs) &&
      this._loading.size < maxParallelLoads
    ) {
      this._preparing.delete(target.id);
      this._loading.set(target.id, this._runLoad(load, signal));
    }
  }

  private _isPrepared(
    target: TargetRecord,
    hub: FleetHub,
    preparingMs: number,
    maxPrepareMs: number,
  ): boolean {
    if (preparingMs >= maxPrepareMs) {
      return true;
    }
    const isKnown = preparingMs >= Math.max(MIN_PREPARE_MS, this._leader.getPropagationMs());
    return isKnown && hub.countLongStreams(target.id) === 0;
  }

  private async _runLoad(load: ILoadTask, signal: AbortSignal): Promise<void> {
    const { target, model, version, hub } = load;
    try {
      await this._load(load, signal);
    } catch (error) {
      this._cooldownUntil.set(target.id, this._clock.now() + FAILURE_COOLDOWN_MS);
      this._log.warn('weights order failed', {
        target: target.id,
        model,
        version,
        reason: describeError(error),
      });
    } finally {
      this._loading.delete(target.id);
      hub.setLoadState(target.id, 'none');
    }
  }

  private async _load(load: ILoadTask, signal: AbortSignal): Promise<void> {
    const { target, model, version, hub } = load;
    hub.setLoadState(target.id, 'loading');
    const [initialReport] = await Promise.all([
      this._fetchReport(target, signal),
      // Entries must have stopped sending requests to the engine before it gets the order.
      sleep(Math.max(MIN_ORDER_DELAY_MS, this._leader.getPropagationMs()), signal),
    ]);
    if ((initialReport.versions.get(model) ?? 0) >= version) {
      hub.setWeights(target.id, target.born, model, initialReport.versions.get(model) ?? version);
      return;
    }
    const fence = this._leader.term;
    const decidedAt = this._clock.now();
    if (this._leader.getHub(decidedAt) !== hub || !this._mayOrder(decidedAt)) {
      return;
    }
    const startedAt = this._clock.now();
    const order = {
      model,
      version,
      holder: this._options.holder,
      fence,
      expectedSequence: initialReport.sequence,
    };
    const outcome = await runWithTimeout(signal, CALL_TIMEOUT_MS, (limited) =>
      this._engines.sendOrder(target, order, limited),
    );
    this._log.info('weights ordered', {
      target: target.id,
      model,
      version,
      fence,
      sequence: initialReport.sequence,
      outcome,
    });
    if (outcome !== 'accepted' && outcome !== 'done') {
      throw new Error(`the engine answered ${outcome}`);
    }
    // Answers to orders name none: this may be an earlier one that a faulty engine has written once more.
    await this._waitUntilLoaded(load, signal);
    this._log.info('weights loaded', {
      target: target.id,
      model,
      version,
      tookMs: Math.round(this._clock.now() - startedAt),
    });
  }

  private async _waitUntilLoaded(
    { target, model, version, hub }: ILoadTask,
    signal: AbortSignal,
  ): Promise<void> {
    const deadline = this._clock.now() + LOAD_TIMEOUT_MS;
    while (!isAborted(signal) && this._clock.now() < deadline) {
      await sleep(LOAD_POLL_INTERVAL_MS, signal);
      const report = await this._fetchReport(target, signal);
      const held = report.versions.get(model) ?? 0;
      if (held >= version && !report.isBusy) {
        hub.setWeights(target.id, target.born, model, held);
        return;
      }
    }
    throw new Error('the engine did not load in time');
  }

  private _fetchReport(target: TargetRecord, signal: AbortSignal): Promise<IEngineReport> {
    return runWithTimeout(signal, CALL_TIMEOUT_MS, (limited) =>
      this._engines.fetchReport(target, limited),
    );
  }
}

/**
 * Longest preparation of an engine. Each group of engines gets an equal part of the time for which requests
 * may still begin on the oldest weights: waiting longer for streams would leave later groups without requests.
 */
function computeMaxPrepareMs(usableMs: number, remainingGroups: number): number {
  const shareMs = usableMs / Math.max(1, remainingGroups);
  return Math.min(MAX_PREPARE_MS, Math.max(MIN_PREPARE_MS, shareMs));
}

function isLoadable(target: TargetRecord, model: string): boolean {
  return (
    target.phase === TargetPhase.READY &&
    !target.silent &&
    getHeldVersion(target, model) !== undefined
  );
}

function getVersion(target: TargetRecord, model: string): number {
  return getHeldVersion(target, model) ?? 0;
}
