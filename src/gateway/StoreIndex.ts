/** Tracks which prompt parts the KV cache store holds, from the events that the store publishes. */
import type { IClock } from '../common/Clock.js';
import { describeError, type ILog } from '../common/Log.js';
import { isAborted, runWithTimeout, sleep } from '../common/Tasks.js';
import type { FleetView } from '../fleet/FleetView.js';

/** Time for which the store keeps a long poll open while there are no events. */
const LONG_POLL_MS = 1_000;

/** Timeout of one poll; it leaves 400 ms beyond the long poll for the round trip. */
const POLL_TIMEOUT_MS = LONG_POLL_MS + 400;

/** A store with a steady flow of events answers at once; without an interval it would be polled in a loop. */
const MIN_POLL_INTERVAL_MS = 400;

/** The store serves a limited number of polls at a time, so the interval grows with the number of entries. */
const POLL_INTERVAL_PER_ENTRY_MS = 60;

/** A part sent to the store counts as in transit until its event arrives, but no longer than this. */
const TRANSFER_TIMEOUT_MS = 1_500;

/** A prompt part was added to the store or removed from it. */
export interface IStoreEvent {
  readonly isAdded: boolean;
  readonly scope: string;
  readonly part: string;
}

/** Events of a store from a position on. */
export interface IStoreEventBatch {
  /** Differs after each restart of the store, which begins empty. */
  readonly epoch: number;
  /** Position from which to poll next. */
  readonly nextPosition: number;
  readonly events: readonly IStoreEvent[];
}

/** Long-polls a store for events from position `since` on; rejects if the store does not answer. */
export type PollStore = (
  address: string,
  since: number,
  waitMs: number,
  signal: AbortSignal,
) => Promise<IStoreEventBatch>;

/**
 * Index of the prompt parts that the KV cache store holds or is being sent. Follows the store named in the
 * configuration; while the store does not answer, nothing counts as held.
 */
export class StoreIndex {
  private readonly _held = new Set<string>();
  private readonly _inTransit = new Map<string, number>();
  private _address: string | undefined;
  private _isAvailable = false;
  private _epoch = 0;
  private _nextPosition = 0;

  constructor(
    private readonly _view: FleetView,
    private readonly _poll: PollStore,
    private readonly _clock: IClock,
    private readonly _log: ILog,
  ) {}

  /** Address of the store; undefined if none is configured or it does not answer. */
  public get address(): string | undefined {
    return this._isAvailable ? this._address : undefined;
  }

  public isHeld(scope: string, part: string): boolean {
    return this._isAvailable && this._held.has(formatKey(scope, part));
  }

  /** True if the store holds the part or a target was asked to send it lately. */
  public isHeldOrInTransit(scope: string, part: string, now: number): boolean {
    const until = this._inTransit.get(formatKey(scope, part));
    return this.isHeld(scope, part) || (until !== undefined && now < until);
  }

  /** Records that a target was asked to send a part to the store. */
  public recordSent(scope: string, part: string, now: number): void {
    for (const [key, until] of this._inTransit) {
      if (now < until) {
        break;
      }
      this._inTransit.delete(key);
    }
    const key = formatKey(scope, part);
    this._inTransit.delete(key);
    this._inTransit.set(key, now + TRANSFER_TIMEOUT_MS);
  }

  /** Polls the store named in the configuration until the signal is aborted. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      const services = this._view.table?.configuration.services ?? [];
      const address = services.find((service) => service.storeAddress !== undefined)?.storeAddress;
      if (address !== this._address) {
        this._address = address;
        this._isAvailable = false;
        this._reset(0);
      }
      if (address !== undefined) {
        await this._pollOnce(address, signal);
      }
      await sleep(
        Math.max(MIN_POLL_INTERVAL_MS, this._view.entryCount * POLL_INTERVAL_PER_ENTRY_MS),
        signal,
      );
    }
  }

  /** Applies a batch of events. If its epoch is new, the store has restarted and the index is cleared first. */
  public apply(batch: IStoreEventBatch): void {
    if (batch.epoch !== this._epoch) {
      this._reset(batch.epoch);
    }
    for (const { isAdded, scope, part } of batch.events) {
      if (isAdded) {
        this._held.add(formatKey(scope, part));
      } else {
        this._held.delete(formatKey(scope, part));
      }
    }
    this._nextPosition = batch.nextPosition;
    this._setAvailable(true, 'the store answers');
  }

  private async _pollOnce(address: string, signal: AbortSignal): Promise<void> {
    try {
      const batch = await runWithTimeout(signal, POLL_TIMEOUT_MS, (limited) =>
        this._poll(address, this._nextPosition, LONG_POLL_MS, limited),
      );
      const isRestarted = this._epoch !== 0 && batch.epoch !== this._epoch;
      this.apply(isRestarted ? { ...batch, events: [], nextPosition: 0 } : batch);
    } catch (error) {
      this._setAvailable(false, describeError(error));
    }
  }

  private _setAvailable(isAvailable: boolean, reason: string): void {
    if (isAvailable !== this._isAvailable) {
      this._isAvailable = isAvailable;
      this._log.info(isAvailable ? 'store regained' : 'store lost', {
        address: this._address,
        reason,
        parts: this._held.size,
        at: Math.round(this._clock.now()),
      });
    }
  }

  private _reset(epoch: number): void {
    this._held.clear();
    this._inTransit.clear();
    this._epoch = epoch;
    this._nextPosition = 0;
  }
}

function formatKey(scope: string, part: string): string {
  return `${scope} ${part}`;
}
