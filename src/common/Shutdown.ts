/** The planned end of this process. */
import { setMaxListeners } from 'node:events';
import { Emitter, type IEvent } from './Lifecycle.js';

/**
 * Time between the request to stop and the end of the process, on the monotonic clock. What the process begins must end
 * before, since nobody in it sees the outcome of what lasts longer.
 *
 * @example
 * const shutdown = new Shutdown();
 * shutdown.begin(now + gracePeriodMs - marginMs, now);
 * const mayBegin = now + expectedMs <= shutdown.endsAt;
 */
export class Shutdown {
  private readonly _begins = new Emitter<void>();
  private readonly _ends = new Emitter<void>();
  private readonly _begun = new AbortController();
  private _beganAt = Number.POSITIVE_INFINITY;
  private _endsAt = Number.POSITIVE_INFINITY;
  private _hasEnded = false;

  /** Fires once, when the stop begins. */
  public readonly onBegin: IEvent<void> = this._begins.onFire;

  /** Fires once, when what is still open has to end. */
  public readonly onEnd: IEvent<void> = this._ends.onFire;

  constructor() {
    // Each request that waits listens to this signal, and Node reports more than ten listeners as a leak.
    setMaxListeners(0, this._begun.signal);
  }

  /** Aborted when the stop begins. */
  public get signal(): AbortSignal {
    return this._begun.signal;
  }

  /** When the stop began; infinite while the process goes on. */
  public get beganAt(): number {
    return this._beganAt;
  }

  /** When everything that is open ends; infinite while the process goes on. */
  public get endsAt(): number {
    return this._endsAt;
  }

  public get hasBegun(): boolean {
    return this._begun.signal.aborted;
  }

  public get hasEnded(): boolean {
    return this._hasEnded;
  }

  /** Only the first call has an effect. */
  public begin(endsAt: number, now: number): void {
    if (this.hasBegun) {
      return;
    }
    this._beganAt = now;
    this._endsAt = endsAt;
    this._begun.abort();
    this._begins.fire();
  }

  /** Ends what is still open. Begins the stop if it has not begun. */
  public end(now: number): void {
    this.begin(now, now);
    if (!this._hasEnded) {
      this._endsAt = Math.min(this._endsAt, now);
      this._hasEnded = true;
      this._ends.fire();
    }
  }
}
