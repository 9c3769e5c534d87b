/** Task that makes the engine beside this sidecar load the desired weights (design 3.6). */
import { fromBinary } from '@bufbuild/protobuf';
import type { IClock } from '../common/Clock.js';
import { describeError, type ILog } from '../common/Log.js';
import { addJitter, isAborted, sleep } from '../common/Tasks.js';
import { isFresh } from '../feed/Freshness.js';
import type { IFeed } from '../feed/Types.js';
import { DesiredWeightsSchema } from '../gen/redwingwharf/v1/state_pb.js';
import type { IEngineClient, IEngineState, ILoadCommand, LoadOutcome } from './EngineClient.js';
import type { ILoadSlots } from './LoadSlotClient.js';
import { SlotLease } from './SlotLease.js';
import type { ITargetAdmission } from './TargetAdmission.js';

export interface IWeightsTimings {
  /** Interval at which the desired weights are compared with those that the engine reports. */
  readonly pollIntervalMs: number;
  /** Initial and maximum backoff after an attempt that got no slot or failed. */
  readonly initialBackoffMs: number;
  readonly maxBackoffMs: number;
  /** Lease of a load slot; the same as in the replicated state. */
  readonly leaseDurationMs: number;
  readonly renewIntervalMs: number;
  /** Time to wait for open requests to end before the load is postponed. */
  readonly openRequestsTimeoutMs: number;
  /** Time after which a command with unknown outcome counts as not executed. */
  readonly outcomeTimeoutMs: number;
  /** Time after the start during which a command of an earlier sidecar process may still be running. */
  readonly startupDelayMs: number;
  /** Time to wait for another engine of the model to serve; the load goes ahead after it. */
  readonly peerTimeoutMs: number;
}

/** With the maximum backoff, 1,000 waiting sidecars send the leader about 200 commands a second. */
export const WEIGHTS_TIMINGS: IWeightsTimings = {
  pollIntervalMs: 500,
  initialBackoffMs: 250,
  maxBackoffMs: 5_000,
  leaseDurationMs: 10_000,
  renewIntervalMs: 3_000,
  openRequestsTimeoutMs: 60_000,
  outcomeTimeoutMs: 30_000,
  startupDelayMs: 10_000,
  peerTimeoutMs: 20_000,
};

const OPEN_REQUESTS_POLL_INTERVAL_MS = 20;

/** A command that was sent and whose outcome is unknown. */
interface IPendingCommand {
  readonly command: ILoadCommand;
  readonly sentAt: number;
}

/** Dependencies of the reconciler. */
export interface IWeightsServices {
  readonly feed: IFeed;
  readonly slots: ILoadSlots;
  readonly engine: IEngineClient;
  readonly admission: ITargetAdmission;
  readonly clock: IClock;
  readonly log: ILog;
}

/**
 * Compares the desired weights with those of the engine and sends the engine a load command when they
 * differ, one command at a time. A command is sent only while the feed copy is fresh, the load slot is
 * held, no request is open and the engine's state is the one that was read before the slot was acquired.
 *
 * @example
 * await new WeightsReconciler('assessor-large', services).run(signal);
 */
export class WeightsReconciler {
  private readonly _startedAt: number;
  /**
   * Highest fencing token seen, at least the revision of the first fresh feed copy; undefined before
   * that.
   */
  private _highestFence: bigint | undefined;
  /** True while a command of an earlier process of this sidecar may still be running. */
  private _mayOverlapEarlierProcess = true;
  private _pending: IPendingCommand | undefined;
  private _backoffMs: number;
  private _noServingPeerSince: number | undefined;

  constructor(
    private readonly _model: string,
    private readonly _services: IWeightsServices,
    private readonly _timings: IWeightsTimings = WEIGHTS_TIMINGS,
  ) {
    this._startedAt = _services.clock.now();
    this._backoffMs = _timings.initialBackoffMs;
  }

  /** Reconciles until the signal is aborted. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      let delayMs = this._timings.pollIntervalMs;
      try {
        delayMs = await this.reconcileOnce(signal);
      } catch (error) {
        this._services.log.warn('weights reconciliation failed', { error: describeError(error) });
      }
      await sleep(addJitter(delayMs), signal);
    }
  }

  /**
   * Compares once and sends at most one command. Returns the delay before the next call in milliseconds.
   */
  public async reconcileOnce(signal: AbortSignal): Promise<number> {
    if (this._pending !== undefined) {
      await this._resolvePending(this._pending, signal);
      return this._timings.pollIntervalMs;
    }
    const version = this._findVersionToLoad();
    if (version === undefined) {
      this._backoffMs = this._timings.initialBackoffMs;
      this._noServingPeerSince = undefined;
      return this._timings.pollIntervalMs;
    }
    const state = await this._services.engine.readState(signal);
    if (state === undefined || state.weightsVersion === version || !this._mayStartLoad(state)) {
      return this._timings.pollIntervalMs;
    }
    this._raiseHighestFence(state.highestFence);
    const isLoaded = await this._acquireSlotAndLoad(version, state, signal);
    return isLoaded ? this._timings.pollIntervalMs : this._nextBackoffMs();
  }

  /** Returns the desired version if the engine should load it now, otherwise undefined. */
  private _findVersionToLoad(): string | undefined {
    const { feed, admission, clock } = this._services;
    if (!isFresh(feed, clock.now())) {
      return undefined;
    }
    // Fencing tokens are log indices, and those of earlier processes of this sidecar are below this revision.
    this._highestFence ??= BigInt(feed.revision);
    const version = this._readDesired();
    const needsLoad =
      !admission.isDrainRequested && admission.isHealthy && admission.weightsVersion !== version;
    return needsLoad ? version : undefined;
  }

  private _readDesired(): string | undefined {
    const item = this._services.feed.getItem(`weights/${this._model}`);
    return item && (fromBinary(DesiredWeightsSchema, item.value).version || undefined);
  }

  /**
   * False while the engine may still be executing a command of an earlier process of this sidecar. The
   * wait is skipped only if the engine reports that it has received no command (highest fence 0).
   */
  private _mayStartLoad(state: IEngineState): boolean {
    const uptimeMs = this._services.clock.now() - this._startedAt;
    this._mayOverlapEarlierProcess &&=
      state.highestFence !== 0n && uptimeMs < this._timings.startupDelayMs;
    return !this._mayOverlapEarlierProcess;
  }

  private _raiseHighestFence(fence: bigint | undefined): void {
    if (fence !== undefined && fence > (this._highestFence ?? -1n)) {
      this._highestFence = fence;
    }
  }

  /** Returns the current backoff and doubles it up to the maximum. */
  private _nextBackoffMs(): number {
    const backoffMs = this._backoffMs;
    this._backoffMs = Math.min(backoffMs * 2, this._timings.maxBackoffMs);
    return backoffMs;
  }

  private async _acquireSlotAndLoad(
    version: string,
    expected: IEngineState,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { slots, clock, log } = this._services;
    const requestedAt = clock.now();
    const acquired = await slots.acquire(version, signal);
    if (acquired.err) {
      log.info('load slot not acquired', { version, reason: acquired.val.message });
      return false;
    }
    const { granted, fence } = acquired.val;
    if (!granted) {
      log.debug('all load slots are taken', { version });
      return false;
    }
    if (fence <= (this._highestFence ?? fence)) {
      const floor = String(this._highestFence);
      log.warn(
        'the fencing token of the load slot is not higher than those seen before; if the consensus group was bootstrapped again, restart the engine',
        { version, fence: String(fence), floor },
      );
      await slots.release(version, signal);
      return false;
    }
    const { leaseDurationMs, renewIntervalMs } = this._timings;
    const lease = new SlotLease(
      { version, fence, requestedAt, leaseDurationMs, renewIntervalMs },
      slots,
      clock,
    );
    return this._loadWithSlot({ expected, version, fence }, lease, signal);
  }

  /** Sends the command while new requests are refused and the lease is renewed. */
  private async _loadWithSlot(
    command: ILoadCommand,
    lease: SlotLease,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { admission, slots } = this._services;
    const stop = new AbortController();
    const renewing = lease.keepRenewed(AbortSignal.any([signal, stop.signal]));
    try {
      if (!(await this._prepareTarget(lease, signal))) {
        return false;
      }
      return await this._sendCommand(command, lease, signal);
    } finally {
      stop.abort();
      await renewing;
      if (this._pending === undefined) {
        await admission.resumeAdmission(signal);
        await slots.release(command.version, signal);
      }
    }
  }

  /** Stops new requests and waits until none is open. Returns false when the load must be postponed. */
  private async _prepareTarget(lease: SlotLease, signal: AbortSignal): Promise<boolean> {
    const { admission, clock, log } = this._services;
    if (!(await this._hasServingPeer(signal))) {
      log.info('weights load postponed: no other engine of the model is serving', {});
      return false;
    }
    admission.pauseAdmission();
    // Another engine of the model may have stopped its requests at the same moment.
    if (!(await this._hasServingPeer(signal))) {
      log.info('weights load postponed: no other engine of the model is serving', {});
      return false;
    }
    const waitSignal = AbortSignal.any([signal, lease.lostSignal]);
    const deadline = clock.now() + this._timings.openRequestsTimeoutMs;
    while (admission.openCount > 0 && clock.now() < deadline && !isAborted(waitSignal)) {
      await sleep(OPEN_REQUESTS_POLL_INTERVAL_MS, waitSignal);
    }
    if (admission.openCount > 0) {
      log.warn('weights load postponed: requests are still open', { open: admission.openCount });
    }
    return admission.openCount === 0 && !isAborted(waitSignal);
  }

  /**
   * False while the load would leave the model without a serving engine, but at most for `peerTimeoutMs`.
   */
  private async _hasServingPeer(signal: AbortSignal): Promise<boolean> {
    const { admission, clock } = this._services;
    const peers = await admission.countPeers(signal);
    if (peers === undefined || peers.total === 0 || peers.serving > 0) {
      this._noServingPeerSince = undefined;
      return true;
    }
    this._noServingPeerSince ??= clock.now();
    return clock.now() - this._noServingPeerSince >= this._timings.peerTimeoutMs;
  }

  private async _sendCommand(
    command: ILoadCommand,
    lease: SlotLease,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { engine, clock, log } = this._services;
    const fields = { version: command.version, fence: String(command.fence) };
    log.info('loading weights', { ...fields, previous: command.expected.weightsVersion });
    const startedAt = clock.now();
    const outcome = await engine.loadWeights(
      command,
      () => this._authoriseSend(command, lease),
      AbortSignal.any([signal, lease.lostSignal]),
    );
    const tookMs = Math.round(clock.now() - startedAt);
    return this._handleOutcome(command, outcome, startedAt, { ...fields, tookMs });
  }

  /** Returns whether the command may be sent now; if so, its fencing token counts as used. */
  private _authoriseSend(command: ILoadCommand, lease: SlotLease): boolean {
    const { clock, admission } = this._services;
    const now = clock.now();
    const maySend =
      isFresh(this._services.feed, now) &&
      lease.isHeld(now) &&
      admission.openCount === 0 &&
      !admission.isDrainRequested &&
      this._readDesired() === command.version &&
      command.fence > (this._highestFence ?? command.fence);
    if (maySend) {
      this._highestFence = command.fence;
    }
    return maySend;
  }

  private _handleOutcome(
    command: ILoadCommand,
    outcome: LoadOutcome,
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
        this._raiseHighestFence(outcome.highestFence);
        log.warn('the engine refused the fencing token', {
          ...fields,
          highestFence: String(outcome.highestFence),
        });
        return false;
      case 'failed':
        log.warn('the engine did not load the weights', { ...fields, reason: outcome.reason });
        return false;
      case 'unknown':
        log.warn('outcome of the weights load is unknown', { ...fields, reason: outcome.reason });
        this._pending = { command, sentAt };
        return false;
    }
  }

  /**
   * Checks whether the outcome of a pending command can be determined. Until then no other command is sent
   * and new requests are refused.
   */
  private async _resolvePending(pending: IPendingCommand, signal: AbortSignal): Promise<void> {
    const { engine, admission, slots, clock, log } = this._services;
    const { command, sentAt } = pending;
    const state = await engine.readState(signal);
    const outcome = this._describeResolution(command, state, clock.now() - sentAt);
    if (outcome === undefined) {
      return;
    }
    this._pending = undefined;
    this._raiseHighestFence(state?.highestFence);
    log.info('outcome of the weights load is determined', { version: command.version, outcome });
    await admission.resumeAdmission(signal);
    await slots.release(command.version, signal);
  }

  /** Returns the outcome of a pending command, or undefined while it is still unknown. */
  private _describeResolution(
    command: ILoadCommand,
    state: IEngineState | undefined,
    ageMs: number,
  ): string | undefined {
    if (state !== undefined && state.incarnation !== command.expected.incarnation) {
      return 'the engine has restarted';
    }
    if (state?.weightsVersion === command.version) {
      return 'the weights are loaded';
    }
    return ageMs >= this._timings.outcomeTimeoutMs ? 'the weights are not loaded' : undefined;
  }
}
