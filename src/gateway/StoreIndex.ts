/** Follows what the store of KV cache holds, from the events that it publishes. */
import type { IClock } from '../common/Clock.js';
import { describeError, type ILog } from '../common/Log.js';
import { isAborted, runWithLimit, sleep } from '../common/Tasks.js';
import type { FleetView } from '../fleet/FleetView.js';

/** Time for which the store holds a question open while nothing changes. */
const WAIT_MS = 1_000;

/** Limit of one question. */
const CALL_LIMIT_MS = WAIT_MS + 400;

/** Between two questions, so that a store with much news is not asked without pause. */
const PAUSE_MS = 400;

/** The store answers a limited number of questions at once, so many entries ask less often. */
const PAUSE_PER_ENTRY_MS = 60;

/** A part that was sent there is expected to be held; its event comes later. */
const EXPECTED_MS = 1_500;

/** A part that came to the store or left it. */
export interface IStoreEvent {
  readonly isAdded: boolean;
  readonly scope: string;
  readonly part: string;
}

/** News of a store after a position. */
export interface IStoreNews {
  /** Changes when the store restarts, empty. */
  readonly epoch: number;
  /** Position to ask for next. */
  readonly next: number;
  readonly events: readonly IStoreEvent[];
}

/** Asks a store for its news; rejects if it does not answer. */
export type StoreQuestion = (
  address: string,
  since: number,
  waitMs: number,
  signal: AbortSignal,
) => Promise<IStoreNews>;

export class StoreIndex {
  private readonly _held = new Set<string>();
  private readonly _expected = new Map<string, number>();
  private _address: string | undefined;
  private _isUp = false;
  private _epoch = 0;
  private _next = 0;

  constructor(
    private readonly _view: FleetView,
    private readonly _ask: StoreQuestion,
    private readonly _clock: IClock,
    private readonly _log: ILog,
  ) {}

  /** Address of the store; undefined if there is none or it does not answer. */
  public get address(): string | undefined {
    return this._isUp ? this._address : undefined;
  }

  public isHeld(scope: string, part: string): boolean {
    return this._isUp && this._held.has(formatKey(scope, part));
  }

  /** True if the part is held or on its way to the store. */
  public isExpected(scope: string, part: string, now: number): boolean {
    const until = this._expected.get(formatKey(scope, part));
    return this.isHeld(scope, part) || (until !== undefined && now < until);
  }

  /** Notes that a target was told to send a part to the store. */
  public noteSent(scope: string, part: string, now: number): void {
    for (const [key, until] of this._expected) {
      if (now < until) {
        break;
      }
      this._expected.delete(key);
    }
    const key = formatKey(scope, part);
    this._expected.delete(key);
    this._expected.set(key, now + EXPECTED_MS);
  }

  /** Follows the store that the configuration names until the signal is aborted. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      const services = this._view.table?.configuration.services ?? [];
      const address = services.find((service) => service.storeAddress !== undefined)?.storeAddress;
      if (address !== this._address) {
        this._address = address;
        this._isUp = false;
        this._reset(0);
      }
      if (address !== undefined) {
        await this._queryOnce(address, signal);
      }
      await sleep(Math.max(PAUSE_MS, this._view.entries * PAUSE_PER_ENTRY_MS), signal);
    }
  }

  /** Applies news; those of another epoch begin with an empty store. */
  public apply(news: IStoreNews): void {
    if (news.epoch !== this._epoch) {
      this._reset(news.epoch);
    }
    for (const { isAdded, scope, part } of news.events) {
      if (isAdded) {
        this._held.add(formatKey(scope, part));
      } else {
        this._held.delete(formatKey(scope, part));
      }
    }
    this._next = news.next;
    this._setUp(true, 'it answers');
  }

  private async _queryOnce(address: string, signal: AbortSignal): Promise<void> {
    try {
      const news = await runWithLimit(signal, CALL_LIMIT_MS, (limited) =>
        this._ask(address, this._next, WAIT_MS, limited),
      );
      const isRestarted = this._epoch !== 0 && news.epoch !== this._epoch;
      this.apply(isRestarted ? { ...news, events: [], next: 0 } : news);
    } catch (error) {
      this._setUp(false, describeError(error));
    }
  }

  private _setUp(isUp: boolean, reason: string): void {
    if (isUp !== this._isUp) {
      this._isUp = isUp;
      this._log.info(isUp ? 'store regained' : 'store lost', {
        address: this._address,
        reason,
        parts: this._held.size,
        at: Math.round(this._clock.now()),
      });
    }
  }

  private _reset(epoch: number): void {
    this._held.clear();
    this._expected.clear();
    this._epoch = epoch;
    this._next = 0;
  }
}

function formatKey(scope: string, part: string): string {
  return `${scope} ${part}`;
}
