/** Joins calls that come within a short time into one, and repeats those that fail. */
import { describeError } from '../common/Log.js';
import { addJitter, isAborted, sleep } from '../common/Tasks.js';

/** Mean delay before calls that failed are sent again; jitter is added. */
const RETRY_DELAY_MS = 50;

/** Outcome of a call of a batch: its result, or the last failure once its signal is aborted. */
export type BatchOutcome<R> =
  | { readonly kind: 'done'; readonly result: R }
  | { readonly kind: 'aborted'; readonly reason: string };

interface IBatchItem<I, R> {
  readonly input: I;
  readonly signal: AbortSignal;
  readonly settle: (outcome: BatchOutcome<R>) => void;
  reason: string;
}

/**
 * Sends the inputs of several calls with one call.
 *
 * @example
 * const batcher = new CallBatcher(8, async (ids) => ids.map((id) => id.length));
 * await batcher.call('a', signal); // { kind: 'done', result: 1 }
 */
export class CallBatcher<I, R extends object | number> {
  private _pending: IBatchItem<I, R>[] = [];
  private _isScheduled = false;

  /**
   * `_send` returns for each input its result, or the reason why it must be sent again; or one reason for all. A
   * rejection counts as such a reason.
   */
  constructor(
    private readonly _delayMs: number,
    private readonly _maxItems: number,
    private readonly _send: (inputs: readonly I[]) => Promise<readonly (R | string)[] | string>,
  ) {}

  /** Repeats the call until it succeeds or the signal is aborted. */
  public async call(input: I, signal: AbortSignal): Promise<BatchOutcome<R>> {
    return new Promise((resolve) => {
      const item: IBatchItem<I, R> = {
        input,
        signal,
        settle: (outcome) => {
          signal.removeEventListener('abort', abort);
          resolve(outcome);
        },
        reason: 'no answer in time',
      };
      const abort = (): void => {
        item.settle({ kind: 'aborted', reason: item.reason });
      };
      signal.addEventListener('abort', abort, { once: true });
      if (signal.aborted) {
        abort();
        return;
      }
      this._enqueue([item], this._delayMs);
    });
  }

  private _enqueue(items: readonly IBatchItem<I, R>[], delayMs: number): void {
    this._pending.push(...items);
    if (!this._isScheduled) {
      this._isScheduled = true;
      setTimeout(() => {
        this._isScheduled = false;
        void this._flush();
      }, delayMs);
    }
  }

  private async _flush(): Promise<void> {
    const pending = this._pending.filter(({ signal }) => !isAborted(signal));
    const items = pending.slice(0, this._maxItems);
    this._pending = [];
    if (pending.length > items.length) {
      this._enqueue(pending.slice(items.length), 0);
    }
    if (items.length === 0) {
      return;
    }
    const results = await this._trySend(items.map(({ input }) => input));
    const failed: IBatchItem<I, R>[] = [];
    for (const [i, item] of items.entries()) {
      const result = typeof results === 'string' ? results : results[i];
      if (result === undefined || typeof result === 'string') {
        item.reason = result ?? item.reason;
        failed.push(item);
      } else {
        item.settle({ kind: 'done', result });
      }
    }
    if (failed.length > 0) {
      await sleep(addJitter(RETRY_DELAY_MS));
      this._enqueue(failed, this._delayMs);
    }
  }

  private async _trySend(inputs: readonly I[]): Promise<readonly (R | string)[] | string> {
    try {
      return await this._send(inputs);
    } catch (error) {
      return describeError(error);
    }
  }
}
