/** Admission control of an entry: admits requests by tokens that the control leader granted. */
import type { IClock } from '../common/Clock.js';
import { describeError, type ILog } from '../common/Log.js';
import type { Metrics } from '../common/Metrics.js';
import { Err, Ok, type IFailure, type Result } from '../common/Result.js';
import { addJitter, isAborted, sleep } from '../common/Tasks.js';
import type { ControlClient } from '../control/ControlClient.js';
import { NEVER_RETRY_AFTER_MS } from '../state/AccountLedger.js';
import type { GrantWallet, IReservation } from './GrantWallet.js';

/** Interval between grant exchanges for the accounts in use while no request waits. */
const EXCHANGE_INTERVAL_MS = 200;

/** Shortest interval between grant exchanges, used while requests wait for tokens. */
const MIN_EXCHANGE_INTERVAL_MS = 20;

/** Time limit of one exchange, after which the same command is sent again. */
const EXCHANGE_TIMEOUT_MS = 2_000;

/** Longest wait for tokens; a request that would wait longer is refused with `Retry-After`. */
const MAX_TOKEN_WAIT_MS = 500;

/** Longest wait for an answer from the control leader; a failover takes about 1.5 s. */
const MAX_CONTROL_WAIT_MS = 2_500;

/** Delay before a retry of a request that the control leader did not answer in time. */
const CONTROL_RETRY_AFTER_MS = 1_000;

/** Reason why a request was not admitted. */
export type AdmitFailure =
  | (IFailure<'rate_limited'> & { readonly retryAfterMs: number })
  | IFailure<'too_costly'>
  | (IFailure<'control_unavailable'> & { readonly retryAfterMs: number })
  | IFailure<'aborted'>;

interface IWaiter {
  readonly tokens: number;
  readonly waitingSince: number;
  readonly resolve: (result: Result<IReservation, AdmitFailure>) => void;
}

/**
 * Runs the grant exchanges between the wallet and the control leader, and queues requests that lack
 * tokens, first in, first out within a client account.
 *
 * @example
 * const admitted = await admitter.admit('pag', 4_000, signal);
 * if (admitted.ok) admitter.settle(admitted.val, 900);
 */
export class Admitter {
  private readonly _waiters = new Map<string, IWaiter[]>();
  /** Aborted when a request begins to wait, to end the pause between exchanges. */
  private _pauseInterrupt = new AbortController();
  /** True once nothing serves requests that wait. */
  private _hasEnded = false;

  constructor(
    private readonly _wallet: GrantWallet,
    private readonly _control: Pick<ControlClient, 'execute'>,
    private readonly _clock: IClock,
    private readonly _log: ILog,
    private readonly _metrics: Metrics,
  ) {}

  /** Exchanges grants until the signal is aborted, then fails the requests that still wait. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      await this._exchange(signal);
      this._serveWaiters();
      await this._pause(signal);
    }
    this._hasEnded = true;
    this._failWaiters();
  }

  /** Reserves tokens, waiting for a grant if necessary. */
  public async admit(
    account: string,
    tokens: number,
    signal: AbortSignal,
  ): Promise<Result<IReservation, AdmitFailure>> {
    const queue = this._waiters.get(account) ?? [];
    if (queue.length === 0) {
      const reservation = this._wallet.tryReserve(account, tokens, this._clock.now());
      if (reservation !== undefined) {
        return Ok(reservation);
      }
    }
    if (signal.aborted) {
      return Err(createAbortedFailure());
    }
    return this._hasEnded ? Err(createUnavailableFailure()) : this._wait(account, tokens, signal);
  }

  /** Settles a reservation with the tokens that the request used. */
  public settle(reservation: IReservation, usedTokens: number): void {
    this._wallet.settle(reservation, usedTokens);
  }

  private async _wait(
    account: string,
    tokens: number,
    signal: AbortSignal,
  ): Promise<Result<IReservation, AdmitFailure>> {
    const walletWaiter = this._wallet.addWaiter(account, tokens);
    const queue = this._waiters.get(account) ?? [];
    this._waiters.set(account, queue);
    let onAbort = (): void => undefined;
    try {
      return await new Promise((resolve) => {
        const waiter = { tokens, waitingSince: this._clock.now(), resolve };
        onAbort = () => {
          removeWaiter(queue, waiter);
          resolve(Err(createAbortedFailure()));
        };
        signal.addEventListener('abort', onAbort, { once: true });
        queue.push(waiter);
        this._pauseInterrupt.abort();
      });
    } finally {
      signal.removeEventListener('abort', onAbort);
      walletWaiter.dispose();
    }
  }

  private async _exchange(signal: AbortSignal): Promise<void> {
    const command = this._wallet.buildSync(this._clock.now());
    if (command === undefined) {
      return;
    }
    const result = await this._control.execute({ case: 'syncGrants', value: command }, signal, {
      isIdempotent: true,
      timeoutMs: EXCHANGE_TIMEOUT_MS,
    });
    this._metrics.increment('grant_exchanges_total', { result: result.ok ? 'ok' : 'failed' });
    if (result.ok && result.val.body.case === 'syncGrants') {
      this._wallet.applyResult(command, result.val.body.value);
    } else {
      this._log.warn('grant exchange failed', {
        error: describeError(result.err ? result.val.message : 'unexpected answer'),
      });
    }
  }

  private async _pause(signal: AbortSignal): Promise<void> {
    const hasWaiters = [...this._waiters.values()].some((queue) => queue.length > 0);
    const intervalMs = hasWaiters ? MIN_EXCHANGE_INTERVAL_MS : EXCHANGE_INTERVAL_MS;
    this._pauseInterrupt = new AbortController();
    await sleep(addJitter(intervalMs), signal, this._pauseInterrupt.signal);
  }

  private _serveWaiters(): void {
    for (const [account, queue] of this._waiters) {
      this._serveAccount(account, queue);
      if (queue.length === 0) {
        this._waiters.delete(account);
      }
    }
  }

  /** Serves waiting requests in order; one that would wait too long is refused with `retryAfterMs`. */
  private _serveAccount(account: string, queue: IWaiter[]): void {
    const now = this._clock.now();
    for (const waiter of [...queue]) {
      const reservation = this._wallet.tryReserve(account, waiter.tokens, now);
      const result =
        reservation === undefined ? this._checkWait(account, waiter, now) : Ok(reservation);
      if (result === undefined) {
        return;
      }
      removeWaiter(queue, waiter);
      waiter.resolve(result);
    }
  }

  /** Returns the failure that ends the wait, or undefined while the request may continue to wait. */
  private _checkWait(
    account: string,
    waiter: IWaiter,
    now: number,
  ): Result<IReservation, AdmitFailure> | undefined {
    const waitedMs = now - waiter.waitingSince;
    const retryAfterMs = this._wallet.getRetryAfterMs(account, waiter.waitingSince);
    if (retryAfterMs === undefined) {
      return waitedMs < MAX_CONTROL_WAIT_MS ? undefined : Err(createUnavailableFailure());
    }
    if (retryAfterMs >= NEVER_RETRY_AFTER_MS) {
      return Err({ kind: 'too_costly', message: 'the request exceeds the burst' });
    }
    const isTooLong = waitedMs + retryAfterMs > MAX_TOKEN_WAIT_MS;
    return isTooLong
      ? Err({ kind: 'rate_limited', message: 'the rate is used up', retryAfterMs })
      : undefined;
  }

  private _failWaiters(): void {
    for (const queue of this._waiters.values()) {
      for (const waiter of queue.splice(0)) {
        waiter.resolve(Err(createUnavailableFailure()));
      }
    }
  }
}

function removeWaiter(queue: IWaiter[], waiter: IWaiter): void {
  const index = queue.indexOf(waiter);
  if (index >= 0) {
    queue.splice(index, 1);
  }
}

function createAbortedFailure(): AdmitFailure {
  return { kind: 'aborted', message: 'the request ended while it waited' };
}

function createUnavailableFailure(): AdmitFailure {
  return {
    kind: 'control_unavailable',
    message: 'the control leader did not answer',
    retryAfterMs: CONTROL_RETRY_AFTER_MS,
  };
}
