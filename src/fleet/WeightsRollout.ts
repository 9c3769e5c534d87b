/** Brings every engine to the newest named weights. Runs on the leader only. */
import type { IClock } from '../common/Clock.js';
import { describeError, type ILog } from '../common/Log.js';
import { isAborted, runWithLimit, sleep } from '../common/Tasks.js';
import { TargetPhase, type TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import { getHeldVersion } from './HeldWeights.js';
import type { FleetHub } from './FleetHub.js';

/** Between two looks at what is to be done. */
const STEP_MS = 100;

/**
 * Time between the mark that an engine is loading and the order, so that the entries stop sending first.
 * An exchange takes this long at most in steady state.
 */
const ANNOUNCE_AHEAD_MS = 200;

/** Between two questions to an engine that is loading. */
const POLL_MS = 150;

/** An engine that has not loaded by then is asked anew. */
const LOAD_LIMIT_MS = 8_000;

/** Limit of one call to an engine. */
const CALL_LIMIT_MS = 1_000;

/** Pause after a failed order, so that a broken engine does not take a place for itself. */
const FAILED_REST_MS = 1_500;

/**
 * Engines that load at once: a part of the service, at least two; more make each load slower. As many
 * again get ready for it.
 */
const AT_ONCE_PART = 0.25;
const AT_ONCE_MIN = 2;

/**
 * An engine gets no long streams before it loads, until those that it has have ended: the load waits for
 * all runs. These are the shortest time, in which every process learns of it, and the longest.
 */
const PREPARE_MIN_MS = 400;
const PREPARE_MAX_MS = 4_000;

/** What an engine reports of itself. */
export interface IEngineReport {
  readonly isBusy: boolean;
  /** Orders accepted since its start. */
  readonly sequence: number;
  readonly versions: ReadonlyMap<string, number>;
}

export interface IWeightsOrder {
  readonly model: string;
  readonly version: number;
  readonly holder: string;
  readonly fence: number;
  /** Sequence that the engine must still have when it carries the order out. */
  readonly expectedSequence: number;
}

export type OrderOutcome = 'accepted' | 'done' | 'busy' | 'fenced' | 'refused' | 'other_target';

/** Calls to the engines. A call without an answer rejects. */
export interface IEngineOrders {
  fetchReport(target: TargetRecord, signal: AbortSignal): Promise<IEngineReport>;
  sendOrder(target: TargetRecord, order: IWeightsOrder, signal: AbortSignal): Promise<OrderOutcome>;
}

export interface IRolloutOptions {
  /** Name of this process as holder of orders. */
  readonly holder: string;
  /** Holders that follow each other within this time count as taking turns. */
  readonly leaseMs: number;
}

/** The leader's part in the fleet. */
export interface IRolloutLeader {
  getHub(now: number): FleetHub | undefined;
  /** Term of the log; each has one leader at most, so it serves as fencing token. */
  readonly term: number;
  /** Version below which no request may begin any more. */
  getDueVersion(model: string, now: number): number;
  readonly weights: readonly { readonly model: string; readonly version: bigint }[];
}

/** One engine that is to load weights, and the hub that is told of it. */
interface ILoad {
  readonly target: TargetRecord;
  readonly model: string;
  readonly version: number;
  readonly hub: FleetHub;
}

export class WeightsRollout {
  /** Engines that load, and those that get ready with the time since when. */
  private readonly _loading = new Map<string, Promise<void>>();
  private readonly _preparing = new Map<string, number>();
  private readonly _restUntil = new Map<string, number>();
  private _leading: { readonly term: number; readonly since: number } | undefined;

  constructor(
    private readonly _leader: IRolloutLeader,
    private readonly _orders: IEngineOrders,
    private readonly _options: IRolloutOptions,
    private readonly _clock: IClock,
    private readonly _log: ILog,
  ) {}

  public async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      this._startLoads(this._clock.now(), signal);
      await sleep(STEP_MS, signal);
    }
    await Promise.all(this._loading.values());
  }

  private _startLoads(now: number, signal: AbortSignal): void {
    const hub = this._leader.getHub(now);
    if (hub === undefined) {
      this._leading = undefined;
      this._preparing.clear();
      return;
    }
    const { term } = this._leader;
    if (this._leading?.term !== term) {
      this._leading = { term, since: now };
    }
    // The holder before may have sent an order just before it lost the lead.
    if (term > 1 && now - this._leading.since < this._options.leaseMs) {
      return;
    }
    const targets = hub.listTargets();
    this._dropPrepared(hub, targets);
    for (const { model, version } of this._leader.weights) {
      this._startLoadsOf(model, Number(version), hub, targets, signal);
    }
  }

  /** Gives the places of engines back that left, or got their weights, while they were getting ready. */
  private _dropPrepared(hub: FleetHub, targets: readonly TargetRecord[]): void {
    const needsLoad = (target: TargetRecord): boolean =>
      this._leader.weights.some(
        ({ model, version }) =>
          isLoadable(target, model) && getVersion(target, model) < Number(version),
      );
    const waiting = new Set(targets.filter(needsLoad).map(({ id }) => id));
    for (const id of [...this._preparing.keys()].filter((prepared) => !waiting.has(prepared))) {
      this._preparing.delete(id);
      hub.setLoadState(id, 'none');
    }
  }

  private _startLoadsOf(
    model: string,
    version: number,
    hub: FleetHub,
    targets: readonly TargetRecord[],
    signal: AbortSignal,
  ): void {
    const now = this._clock.now();
    // The oldest weights first, so that no engine is passed over by newer and newer versions.
    const holders = targets
      .filter((target) => isLoadable(target, model))
      .sort((left, right) => getVersion(left, model) - getVersion(right, model));
    // Engines whose weights may no longer begin a request are out anyway; each gets a place.
    const due = this._leader.getDueVersion(model, now);
    const idle = holders.filter((target) => getVersion(target, model) < due).length;
    const places = Math.max(AT_ONCE_MIN, Math.floor(holders.length * AT_ONCE_PART), idle);
    for (const target of holders) {
      const isDue =
        getVersion(target, model) < version &&
        !this._loading.has(target.id) &&
        now >= (this._restUntil.get(target.id) ?? 0);
      if (isDue) {
        this._advance({ target, model, version, hub }, places, signal);
      }
    }
  }

  /** Begins to prepare an engine, or its load once it is prepared, as far as there are places. */
  private _advance(load: ILoad, places: number, signal: AbortSignal): void {
    const { target, hub } = load;
    const now = this._clock.now();
    const preparedSince = this._preparing.get(target.id);
    if (preparedSince === undefined) {
      if (this._preparing.size <= places) {
        this._preparing.set(target.id, now);
        hub.setLoadState(target.id, 'preparing');
      }
    } else if (this._isPrepared(target, hub, now - preparedSince) && this._loading.size < places) {
      this._preparing.delete(target.id);
      this._loading.set(target.id, this._runLoad(load, signal));
    }
  }

  private _isPrepared(target: TargetRecord, hub: FleetHub, preparedMs: number): boolean {
    if (preparedMs >= PREPARE_MAX_MS) {
      return true;
    }
    return preparedMs >= PREPARE_MIN_MS && hub.countLongStreams(target.id) === 0;
  }

  private async _runLoad(load: ILoad, signal: AbortSignal): Promise<void> {
    const { target, model, version, hub } = load;
    try {
      await this._load(load, signal);
    } catch (error) {
      this._restUntil.set(target.id, this._clock.now() + FAILED_REST_MS);
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

  private async _load(load: ILoad, signal: AbortSignal): Promise<void> {
    const { target, model, version, hub } = load;
    hub.setLoadState(target.id, 'loading');
    const [before] = await Promise.all([
      this._report(target, signal),
      sleep(ANNOUNCE_AHEAD_MS, signal),
    ]);
    if ((before.versions.get(model) ?? 0) >= version) {
      hub.setWeights(target.id, target.born, model, before.versions.get(model) ?? version);
      return;
    }
    const fence = this._leader.term;
    if (this._leader.getHub(this._clock.now()) !== hub) {
      return;
    }
    const startedAt = this._clock.now();
    const order = {
      model,
      version,
      holder: this._options.holder,
      fence,
      expectedSequence: before.sequence,
    };
    const outcome = await runWithLimit(signal, CALL_LIMIT_MS, (limited) =>
      this._orders.sendOrder(target, order, limited),
    );
    this._log.info('weights ordered', {
      target: target.id,
      model,
      version,
      fence,
      sequence: before.sequence,
      outcome,
    });
    if (outcome === 'done') {
      hub.setWeights(target.id, target.born, model, version);
    } else if (outcome === 'accepted') {
      await this._waitLoaded(load, signal);
    } else {
      throw new Error(`the engine answered ${outcome}`);
    }
    this._log.info('weights loaded', {
      target: target.id,
      model,
      version,
      tookMs: Math.round(this._clock.now() - startedAt),
    });
  }

  private async _waitLoaded(
    { target, model, version, hub }: ILoad,
    signal: AbortSignal,
  ): Promise<void> {
    const giveUpAt = this._clock.now() + LOAD_LIMIT_MS;
    while (!isAborted(signal) && this._clock.now() < giveUpAt) {
      await sleep(POLL_MS, signal);
      const report = await this._report(target, signal);
      const held = report.versions.get(model) ?? 0;
      if (held >= version && !report.isBusy) {
        hub.setWeights(target.id, target.born, model, held);
        return;
      }
    }
    throw new Error('the engine did not load in time');
  }

  private _report(target: TargetRecord, signal: AbortSignal): Promise<IEngineReport> {
    return runWithLimit(signal, CALL_LIMIT_MS, (limited) =>
      this._orders.fetchReport(target, limited),
    );
  }
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
