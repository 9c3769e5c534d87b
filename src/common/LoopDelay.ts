/**
 * Measures how late this process is. One that waits for processor time reads requests long after they arrived, and sends them
 * before it has read that their clients have left.
 */
import type { IClock } from './Clock.js';

const TICK_INTERVAL_MS = 20;

/** The delay of a tick counts for this time after it, as what arrived meanwhile is read after the tick. */
const DELAY_MEMORY_MS = 40;

/** Shorter delays are those of a busy process that has its processor time. */
const MIN_DELAY_MS = 100;

export interface ILoopDelay {
  /**
   * Time for which this process has just not run, in milliseconds; 0 if it ran as it should. What is read now may have
   * arrived that long ago.
   */
  getDelayMs(now: number): number;
}

export const NO_LOOP_DELAY: ILoopDelay = { getDelayMs: () => 0 };

/**
 * Notes when a timer fires. The delay shows either as a tick that is overdue or, if timers ran first, as a tick that was late.
 *
 * @example
 * const delay = new LoopDelay(clock);
 * delay.start();
 * if (delay.getDelayMs(clock.now()) > 0) {
 *   await waitForPoll();
 * }
 */
export class LoopDelay implements ILoopDelay {
  private _timer: NodeJS.Timeout | undefined;
  private _tickedAt = Number.POSITIVE_INFINITY;
  private _lastDelayMs = 0;

  constructor(private readonly _clock: IClock) {}

  public start(): void {
    this._tickedAt = this._clock.now();
    this._timer ??= setInterval(() => {
      this.tick(this._clock.now());
    }, TICK_INTERVAL_MS).unref();
  }

  public dispose(): void {
    clearInterval(this._timer);
    this._timer = undefined;
  }

  public tick(now: number): void {
    this._lastDelayMs = Math.max(0, now - this._tickedAt - TICK_INTERVAL_MS);
    this._tickedAt = now;
  }

  public getDelayMs(now: number): number {
    const sinceTickMs = now - this._tickedAt;
    const overdueMs = sinceTickMs - TICK_INTERVAL_MS;
    const delayMs = Math.max(overdueMs, sinceTickMs <= DELAY_MEMORY_MS ? this._lastDelayMs : 0);
    return delayMs >= MIN_DELAY_MS ? delayMs : 0;
  }
}

/**
 * Waits until the event loop has read what had arrived at the time of the call. The first callback follows the poll phase in
 * progress, which reads a connection only once, and the second one the next poll phase.
 */
export async function waitForPoll(): Promise<void> {
  await new Promise<void>((resolve) => {
    setImmediate(() => {
      setImmediate(resolve);
    });
  });
}
