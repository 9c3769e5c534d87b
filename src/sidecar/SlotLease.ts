/** Keeps the lease of a load slot while a command uses it. */
import type { IClock } from '../common/Clock.js';
import { isAborted, sleep } from '../common/Tasks.js';
import type { ILoadSlots } from './LoadSlotClient.js';

export interface ISlotLeaseOptions {
  readonly version: string;
  readonly fence: bigint;
  /** Time at which the granted request was sent: the lease began then or later. */
  readonly askedAt: number;
  readonly leaseMs: number;
  readonly renewMs: number;
}

/**
 * A slot that counts as lost at the end of its lease by this process's own clock, or when the leader
 * gave it another fencing token.
 */
export class SlotLease {
  private readonly _lost = new AbortController();
  private _endsAt: number;

  constructor(
    private readonly _options: ISlotLeaseOptions,
    private readonly _slots: ILoadSlots,
    private readonly _clock: IClock,
  ) {
    this._endsAt = _options.askedAt + _options.leaseMs;
  }

  /** Aborted when the slot is lost. */
  public get lost(): AbortSignal {
    return this._lost.signal;
  }

  public isHeld(now: number): boolean {
    return !this._lost.signal.aborted && now < this._endsAt;
  }

  /** Renews until the signal is aborted or the slot is lost. */
  public async keep(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal) && !this._lost.signal.aborted) {
      const leftMs = this._endsAt - this._clock.now();
      await sleep(Math.max(0, Math.min(this._options.renewMs, leftMs)), signal);
      if (!isAborted(signal)) {
        await this._renew(signal);
      }
    }
  }

  private async _renew(signal: AbortSignal): Promise<void> {
    const askedAt = this._clock.now();
    const leftMs = this._endsAt - askedAt;
    if (leftMs <= 0) {
      this._lost.abort();
      return;
    }
    const { version, fence, leaseMs } = this._options;
    const timer = setTimeout(() => {
      this._lost.abort();
    }, leftMs);
    const renewed = await this._slots.acquire(version, AbortSignal.any([signal, this.lost]));
    clearTimeout(timer);
    if (renewed.err || this._lost.signal.aborted) {
      return;
    }
    if (renewed.val.granted && renewed.val.fence === fence) {
      this._endsAt = askedAt + leaseMs;
    } else {
      this._lost.abort();
    }
  }
}
