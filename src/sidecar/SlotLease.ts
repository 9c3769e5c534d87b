/** Lease of a load slot, renewed while a command to load weights uses the slot. */
import type { IClock } from '../common/Clock.js';
import { isAborted, sleep } from '../common/Tasks.js';
import type { ILoadSlots } from './LoadSlotClient.js';

export interface ISlotLeaseOptions {
  readonly version: string;
  readonly fence: bigint;
  /** Time at which the granted request was sent. The leader started the lease at that time or later. */
  readonly requestedAt: number;
  readonly leaseDurationMs: number;
  readonly renewIntervalMs: number;
}

/**
 * Tracks and renews the lease of one load slot. The slot counts as lost when the lease expires by this
 * process's own clock, or when the leader answers a renewal with a refusal or another fencing token.
 */
export class SlotLease {
  private readonly _lostController = new AbortController();
  private _expiresAt: number;

  constructor(
    private readonly _options: ISlotLeaseOptions,
    private readonly _slots: ILoadSlots,
    private readonly _clock: IClock,
  ) {
    this._expiresAt = _options.requestedAt + _options.leaseDurationMs;
  }

  /** Aborts when the slot is lost. */
  public get lostSignal(): AbortSignal {
    return this._lostController.signal;
  }

  public isHeld(now: number): boolean {
    return !this._lostController.signal.aborted && now < this._expiresAt;
  }

  /** Renews the lease until the signal is aborted or the slot is lost. */
  public async keepRenewed(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal) && !this._lostController.signal.aborted) {
      const remainingMs = this._expiresAt - this._clock.now();
      await sleep(Math.max(0, Math.min(this._options.renewIntervalMs, remainingMs)), signal);
      if (!isAborted(signal)) {
        await this._renew(signal);
      }
    }
  }

  private async _renew(signal: AbortSignal): Promise<void> {
    const requestedAt = this._clock.now();
    const remainingMs = this._expiresAt - requestedAt;
    if (remainingMs <= 0) {
      this._lostController.abort();
      return;
    }
    const { version, fence, leaseDurationMs } = this._options;
    const timer = setTimeout(() => {
      this._lostController.abort();
    }, remainingMs);
    const renewed = await this._slots.acquire(version, AbortSignal.any([signal, this.lostSignal]));
    clearTimeout(timer);
    if (renewed.err || this._lostController.signal.aborted) {
      return;
    }
    if (renewed.val.granted && renewed.val.fence === fence) {
      this._expiresAt = requestedAt + leaseDurationMs;
    } else {
      this._lostController.abort();
    }
  }
}
