/** Task that brings the engine beside this sidecar to the desired weights (design 3.6). */
import { fromBinary } from '@bufbuild/protobuf';
import type { IClock } from '../common/Clock.js';
import { describeError, type ILog } from '../common/Log.js';
import { addJitter, isAborted, sleep } from '../common/Tasks.js';
import { isFresh } from '../feed/Freshness.js';
import type { IFeed } from '../feed/Types.js';
import { DesiredWeightsSchema } from '../gen/redwingwharf/v1/state_pb.js';
import type { IEngineOrders, IEngineState, ILoadOrder, OrderOutcome } from './EngineOrders.js';
import type { ILoadSlots } from './LoadSlotClient.js';
import { SlotLease } from './SlotLease.js';
import type { ITargetWork } from './TargetWork.js';

export interface IWeightsTimings {
  /** Interval at which the desired and the reported weights are compared. */
  readonly pollMs: number;
  /** First and longest pause after an attempt that got no slot or failed. */
  readonly firstPauseMs: number;
  readonly longestPauseMs: number;
  /** Lease of a load slot, as in the replicated state. */
  readonly leaseMs: number;
  readonly renewMs: number;
  /** Longest wait for open requests before the load is put off. */
  readonly idleWaitMs: number;
  /** Time after which a command without an answer counts as not carried out. */
  readonly settleMs: number;
  /** Time after the start in which a command of an earlier sidecar process may still be running. */
  readonly startWaitMs: number;
  /** Longest wait for another engine of the model to serve. */
  readonly peerWaitMs: number;
}

/** The longest pause keeps 1,000 waiting sidecars at about 200 commands a second at the leader. */
export const WEIGHTS_TIMINGS: IWeightsTimings = {
  pollMs: 500,
  firstPauseMs: 250,
  longestPauseMs: 5_000,
  leaseMs: 10_000,
  renewMs: 3_000,
  idleWaitMs: 60_000,
  settleMs: 30_000,
  startWaitMs: 10_000,
  peerWaitMs: 20_000,
};

const IDLE_POLL_MS = 20;

/** A command whose outcome is unknown. */
interface IPendingOrder {
  readonly order: ILoadOrder;
  readonly sentAt: number;
}

/** Services of the reconciler. */
export interface IWeightsServices {
  readonly feed: IFeed;
  readonly slots: ILoadSlots;
  readonly engine: IEngineOrders;
  readonly work: ITargetWork;
  readonly clock: IClock;
  readonly log: ILog;
}

/**
 * Compares and, one command at a time, corrects. A command is sent only while the feed copy is fresh,
 * the slot is held, no request is open and the engine is in the state in which it was found.
 *
 * @example
 * await new WeightsReconciler('assessor-large', services).run(signal);
 */
export class WeightsReconciler {
  private readonly _startedAt: number;
  /** Highest fencing token seen; undefined before the first fresh copy. */
  private _floor: bigint | undefined;
  /** True while a command of an earlier process of this sidecar may still be running. */
  private _mayHaveRival = true;
  private _pending: IPendingOrder | undefined;
  private _pauseMs: number;
  private _hasNoPeerSince: number | undefined;

  constructor(
    private readonly _model: string,
    private readonly _services: IWeightsServices,
    private readonly _timings: IWeightsTimings = WEIGHTS_TIMINGS,
  ) {
    this._startedAt = _services.clock.now();
    this._pauseMs = _timings.firstPauseMs;
  }

  /** Reconciles until the signal is aborted. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      let pauseMs = this._timings.pollMs;
      try {
        pauseMs = await this.reconcileOnce(signal);
      } catch (error) {
        this._services.log.warn('weights were not compared', { error: describeError(error) });
      }
      await sleep(addJitter(pauseMs), signal);
    }
  }

  /** Compares once and sends at most one command. Returns the pause before the next time. */
  public async reconcileOnce(signal: AbortSignal): Promise<number> {
    if (this._pending !== undefined) {
      await this._settle(this._pending, signal);
      return this._timings.pollMs;
    }
    const version = this._findWanted();
    if (version === undefined) {
      this._pauseMs = this._timings.firstPauseMs;
      this._hasNoPeerSince = undefined;
      return this._timings.pollMs;
    }
    const state = await this._services.engine.readState(signal);
    if (state === undefined || state.weightsVersion === version || !this._mayBegin(state)) {
      return this._timings.pollMs;
    }
    this._raiseFloor(state.highestFence);
    const isDone = await this._load(version, state, signal);
    return isDone ? this._timings.pollMs : this._takePause();
  }

  /** The desired version, when there is reason to load it now. */
  private _findWanted(): string | undefined {
    const { feed, work, clock } = this._services;
    if (!isFresh(feed, clock.now())) {
      return undefined;
    }
    // Each token of an earlier process of this sidecar is a lower log index than this revision.
    this._floor ??= BigInt(feed.revision);
    const version = this._readDesired();
    const isWanted = !work.isLeaving && work.isHealthy && work.weightsVersion !== version;
    return isWanted ? version : undefined;
  }

  private _readDesired(): string | undefined {
    const item = this._services.feed.getItem(`weights/${this._model}`);
    return item && (fromBinary(DesiredWeightsSchema, item.value).version || undefined);
  }

  /**
   * An earlier process of this sidecar may have sent a command that the engine is still carrying out.
   * Only an engine that reports that it has got none makes the wait unnecessary.
   */
  private _mayBegin(state: IEngineState): boolean {
    const runningMs = this._services.clock.now() - this._startedAt;
    this._mayHaveRival &&= state.highestFence !== 0n && runningMs < this._timings.startWaitMs;
    return !this._mayHaveRival;
  }

  private _raiseFloor(fence: bigint | undefined): void {
    if (fence !== undefined && fence > (this._floor ?? -1n)) {
      this._floor = fence;
    }
  }

  private _takePause(): number {
    const pauseMs = this._pauseMs;
    this._pauseMs = Math.min(pauseMs * 2, this._timings.longestPauseMs);
    return pauseMs;
  }

  private async _load(
    version: string,
    expected: IEngineState,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { slots, clock, log } = this._services;
    const askedAt = clock.now();
    const asked = await slots.acquire(version, signal);
    if (asked.err) {
      log.info('no load slot', { version, reason: asked.val.message });
      return false;
    }
    const { granted, fence } = asked.val;
    if (!granted) {
      log.debug('all load slots are taken', { version });
      return false;
    }
    if (fence <= (this._floor ?? fence)) {
      const floor = String(this._floor);
      log.warn(
        'the fencing token of the load slot is not above those seen before; if the control group was founded anew, restart the engine',
        { version, fence: String(fence), floor },
      );
      await slots.release(version, signal);
      return false;
    }
    const { leaseMs, renewMs } = this._timings;
    const lease = new SlotLease({ version, fence, askedAt, leaseMs, renewMs }, slots, clock);
    return this._useSlot({ expected, version, fence }, lease, signal);
  }

  /** Sends the command while new work is held back and the lease is renewed. */
  private async _useSlot(
    order: ILoadOrder,
    lease: SlotLease,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { work, slots } = this._services;
    const stop = new AbortController();
    const renewing = lease.keep(AbortSignal.any([signal, stop.signal]));
    try {
      if (!(await this._prepareTarget(lease, signal))) {
        return false;
      }
      return await this._send(order, lease, signal);
    } finally {
      stop.abort();
      await renewing;
      if (this._pending === undefined) {
        await work.resume(signal);
        await slots.release(order.version, signal);
      }
    }
  }

  /** Holds back new work and waits until no request is open. */
  private async _prepareTarget(lease: SlotLease, signal: AbortSignal): Promise<boolean> {
    const { work, clock, log } = this._services;
    if (!(await this._hasServingPeer(signal))) {
      log.info('load put off: no other engine of the model serves', {});
      return false;
    }
    work.hold();
    // Another engine may have begun at the same moment.
    if (!(await this._hasServingPeer(signal))) {
      log.info('load put off: no other engine of the model serves', {});
      return false;
    }
    const limit = AbortSignal.any([signal, lease.lost]);
    const giveUpAt = clock.now() + this._timings.idleWaitMs;
    while (work.open > 0 && clock.now() < giveUpAt && !isAborted(limit)) {
      await sleep(IDLE_POLL_MS, limit);
    }
    if (work.open > 0) {
      log.warn('load put off: requests are still open', { open: work.open });
    }
    return work.open === 0 && !isAborted(limit);
  }

  /** False while the load would leave the model without an engine; bounded by `peerWaitMs`. */
  private async _hasServingPeer(signal: AbortSignal): Promise<boolean> {
    const { work, clock } = this._services;
    const peers = await work.countPeers(signal);
    if (peers === undefined || peers.known === 0 || peers.serving > 0) {
      this._hasNoPeerSince = undefined;
      return true;
    }
    this._hasNoPeerSince ??= clock.now();
    return clock.now() - this._hasNoPeerSince >= this._timings.peerWaitMs;
  }

  private async _send(order: ILoadOrder, lease: SlotLease, signal: AbortSignal): Promise<boolean> {
    const { engine, clock, log } = this._services;
    const fields = { version: order.version, fence: String(order.fence) };
    log.info('loading weights', { ...fields, previous: order.expected.weightsVersion });
    const startedAt = clock.now();
    const outcome = await engine.load(
      order,
      () => this._claimSend(order, lease),
      AbortSignal.any([signal, lease.lost]),
    );
    const tookMs = Math.round(clock.now() - startedAt);
    return this._handleOutcome(order, outcome, startedAt, { ...fields, tookMs });
  }

  /** True when the command may be written now; its token is used up by that. */
  private _claimSend(order: ILoadOrder, lease: SlotLease): boolean {
    const { clock, work } = this._services;
    const now = clock.now();
    const maySend =
      isFresh(this._services.feed, now) &&
      lease.isHeld(now) &&
      work.open === 0 &&
      !work.isLeaving &&
      this._readDesired() === order.version &&
      order.fence > (this._floor ?? order.fence);
    if (maySend) {
      this._floor = order.fence;
    }
    return maySend;
  }

  private _handleOutcome(
    order: ILoadOrder,
    outcome: OrderOutcome,
    sentAt: number,
    fields: Readonly<Record<string, unknown>>,
  ): boolean {
    const { log } = this._services;
    switch (outcome.kind) {
      case 'done':
        log.info('weights loaded', fields);
        return true;
      case 'not_sent':
        log.info('weights not loaded', { ...fields, reason: outcome.reason });
        return false;
      case 'refused':
        this._raiseFloor(outcome.highestFence);
        log.warn('the engine refused the fencing token', {
          ...fields,
          highestFence: String(outcome.highestFence),
        });
        return false;
      case 'failed':
        log.warn('the engine did not load the weights', { ...fields, reason: outcome.reason });
        return false;
      case 'unknown':
        log.warn('outcome of a load is unknown', { ...fields, reason: outcome.reason });
        this._pending = { order, sentAt };
        return false;
    }
  }

  /** Finds out what became of a command; until then nothing is sent and no new work is taken. */
  private async _settle(pending: IPendingOrder, signal: AbortSignal): Promise<void> {
    const { engine, work, slots, clock, log } = this._services;
    const { order, sentAt } = pending;
    const state = await engine.readState(signal);
    const outcome = this._describeSettled(order, state, clock.now() - sentAt);
    if (outcome === undefined) {
      return;
    }
    this._pending = undefined;
    this._raiseFloor(state?.highestFence);
    log.info('outcome of a load is known', { version: order.version, outcome });
    await work.resume(signal);
    await slots.release(order.version, signal);
  }

  private _describeSettled(
    order: ILoadOrder,
    state: IEngineState | undefined,
    ageMs: number,
  ): string | undefined {
    if (state !== undefined && state.incarnation !== order.expected.incarnation) {
      return 'the engine has restarted';
    }
    if (state?.weightsVersion === order.version) {
      return 'the weights are loaded';
    }
    return ageMs >= this._timings.settleMs ? 'the weights are not loaded' : undefined;
  }
}
