/** Admits requests by tokens that the control leader granted to this entry. */
import type { IClock } from '../common/Clock.js';
import { describeError, type ILog } from '../common/Log.js';
import type { Metrics } from '../common/Metrics.js';
import { Err, Ok, type IFailure, type Result } from '../common/Result.js';
import { addJitter, isAborted, sleep } from '../common/Tasks.js';
import type { ControlClient } from '../control/ControlClient.js';
import { NEVER_MS } from '../state/AccountLedger.js';
import type { GrantWallet, IReservation } from './GrantWallet.js';

/** Interval of grant exchanges while accounts are in use. */
const EXCHANGE_INTERVAL_MS = 200;

/** Shortest time between exchanges while requests wait for tokens. */
const MIN_EXCHANGE_INTERVAL_MS = 20;

/** Limit of one exchange; the same command is sent again after it. */
const EXCHANGE_TIMEOUT_MS = 2_000;

/** A request waits this long for tokens; beyond it the caller is told when to come back. */
const MAX_TOKEN_WAIT_MS = 500;

/** Longest wait for an answer of the leader: a failover takes about 1.5 s. */
const MAX_CONTROL_WAIT_MS = 2_500;

const RETRY_CONTROL_MS = 1_000;

/** Why a request was not admitted. */
export type AdmitFailure =
  | (IFailure<'rate_limited'> & { readonly retryAfterMs: number })
  | IFailure<'too_costly'>
  | (IFailure<'control_unavailable'> & { readonly retryAfterMs: number })
  | IFailure<'aborted'>;

interface IWaiter {
  readonly tokens: number;
  readonly since: number;
  readonly finish: (result: Result<IReservation, AdmitFailure>) => void;
}

/**
 * Keeps the wallet in exchange with the leader and queues requests that lack tokens, first come first
 * served within a client account.
 *
 * @example
 * const admitted = await admitter.admit('pag', 4_000, signal);
 * if (admitted.ok) admitter.settle(admitted.val, 900);
 */
export class Admitter {
  private readonly _waiters = new Map<string, IWaiter[]>();
  private _wake = new AbortController();
  /** When the last exchange that the leader answered was sent. */
  private _answeredAt = -Infinity;

  constructor(
    private readonly _wallet: GrantWallet,
    private readonly _control: Pick<ControlClient, 'execute'>,
    private readonly _clock: IClock,
    private readonly _log: ILog,
    private readonly _metrics: Metrics,
  ) {}

  /** Exchanges grants until the signal is aborted. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      await this._exchange(signal);
      this._serveWaiters();
      await this._pause(signal);
    }
    this._finishAll();
  }

  /** Reserves tokens, waiting for a grant if need be. */
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
    return this._wait(account, tokens, signal);
  }

  /** Settles a reservation with the tokens that were used. */
  public settle(reservation: IReservation, usedTokens: number): void {
    this._wallet.settle(reservation, usedTokens);
  }

  private async _wait(
    account: string,
    tokens: number,
    signal: AbortSignal,
  ): Promise<Result<IReservation, AdmitFailure>> {
    const demand = this._wallet.addWaiter(account, tokens);
    const queue = this._waiters.get(account) ?? [];
    this._waiters.set(account, queue);
    let leave = (): void => undefined;
    try {
      return await new Promise((finish) => {
        const waiter = { tokens, since: this._clock.now(), finish };
        leave = () => {
          removeWaiter(queue, waiter);
          finish(Err({ kind: 'aborted', message: 'the request ended while it waited' }));
        };
        signal.addEventListener('abort', leave, { once: true });
        queue.push(waiter);
        this._wake.abort();
      });
    } finally {
      signal.removeEventListener('abort', leave);
      demand.dispose();
    }
  }

  private async _exchange(signal: AbortSignal): Promise<void> {
    const sentAt = this._clock.now();
    const command = this._wallet.buildSync(sentAt);
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
      this._answeredAt = sentAt;
    } else {
      this._log.warn('grant exchange failed', {
        error: describeError(result.err ? result.val.message : 'unexpected answer'),
      });
    }
  }

  private async _pause(signal: AbortSignal): Promise<void> {
    const hasWaiters = [...this._waiters.values()].some((queue) => queue.length > 0);
    const intervalMs = hasWaiters ? MIN_EXCHANGE_INTERVAL_MS : EXCHANGE_INTERVAL_MS;
    this._wake = new AbortController();
    await sleep(addJitter(intervalMs), AbortSignal.any([signal, this._wake.signal]));
  }

  private _serveWaiters(): void {
    for (const [account, queue] of this._waiters) {
      this._serveAccount(account, queue);
      if (queue.length === 0) {
        this._waiters.delete(account);
      }
    }
  }

  /** Serves in order; a request that has to wait too long ends at once with the time to come back. */
  private _serveAccount(account: string, queue: IWaiter[]): void {
    const now = this._clock.now();
    for (const waiter of [...queue]) {
      const reservation = this._wallet.tryReserve(account, waiter.tokens, now);
      const result =
        reservation === undefined ? this._describeWait(account, waiter, now) : Ok(reservation);
      if (result === undefined) {
        return;
      }
      removeWaiter(queue, waiter);
      waiter.finish(result);
    }
  }

  /** A failure, or undefined while the request may go on waiting. */
  private _describeWait(
    account: string,
    waiter: IWaiter,
    now: number,
  ): Result<IReservation, AdmitFailure> | undefined {
    const waitedMs = now - waiter.since;
    // An answer from before the request joined does not tell whether its tokens are there.
    const isAnswered = this._answeredAt >= waiter.since;
    const retryAfterMs = isAnswered ? this._wallet.getRetryAfterMs(account) : undefined;
    if (retryAfterMs === undefined || retryAfterMs === 0) {
      return waitedMs < MAX_CONTROL_WAIT_MS ? undefined : Err(describeUnavailable());
    }
    if (retryAfterMs >= NEVER_MS) {
      return Err({ kind: 'too_costly', message: 'the request exceeds the burst' });
    }
    const isTooLong = waitedMs + retryAfterMs > MAX_TOKEN_WAIT_MS;
    return isTooLong
      ? Err({ kind: 'rate_limited', message: 'the rate is used up', retryAfterMs })
      : undefined;
  }

  private _finishAll(): void {
    for (const queue of this._waiters.values()) {
      for (const waiter of queue.splice(0)) {
        waiter.finish(Err(describeUnavailable()));
      }
    }
  }
}

function removeWaiter(queue: IWaiter[], waiter: IWaiter): void {
  const place = queue.indexOf(waiter);
  if (place >= 0) {
    queue.splice(place, 1);
  }
}

function describeUnavailable(): AdmitFailure {
  return {
    kind: 'control_unavailable',
    message: 'the control leader did not answer',
    retryAfterMs: RETRY_CONTROL_MS,
  };
}
