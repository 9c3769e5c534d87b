/** Load of the soak: clients of a client account that send requests and record every answer. */
import { setTimeout as delay } from 'node:timers/promises';
import { digestPrompt } from '../../fakes/Engine.js';
import type { Deployment } from '../harness/Deployment.js';
import { sendCall } from './HttpCall.js';
import type { ISoakAccount } from './Plan.js';
import type { Random } from './Random.js';
import { isSuccess, type IRequestRecord, type ISoakKey, type Records } from './Records.js';

/** System prompt that all long prompts begin with, of about two prompt chunks. */
const SHARED_SYSTEM_PROMPT = 'A lace pattern is checked line by line against the standard. '.repeat(
  280,
);

const BYTES_PER_TOKEN = 4;
const STREAM_TIMEOUT_MS = 45_000;
const CALL_TIMEOUT_MS = 20_000;
/** Limit for each client account; further requests are skipped. */
const MAX_OPEN_REQUESTS = 60;
const MAX_ORDER_ATTEMPTS = 7;

/** The large request before a burst reserves 6,000 tokens, uses 500 of them and streams for about four seconds. */
const REFUND_RESERVED_TOKENS = 6_000;
const REFUND_USED_TOKENS = 500;

/** After this delay the token bucket is full again and the refund is about to follow. */
const BURST_DELAY_MS = 3_500;
const BURST_DURATION_MS = 2_000;
const BURST_CONCURRENCY = 10;

/** Probability that a request goes to any entry, whether it is ready or not. */
const ANY_ENTRY_PROBABILITY = 0.15;

/** Client timeouts of orders, after which the order is sent again, usually to another entry. */
const ORDER_TIMEOUTS_MS = [250, 600, 1_500, 4_000, 20_000];

/** Deployment, keys and records that the clients use. */
export interface ILoadContext {
  readonly deployment: Deployment;
  readonly records: Records;
  listReadyEntries(): string[];
  /** Newest key of the client account, or at random its previous one. */
  getKey(account: string): ISoakKey | undefined;
}

/** A non-repeatable request with its idempotency key. */
interface IOrder {
  readonly orderKey: string;
  readonly body: string;
}

/** Sends the load of one client account. */
export class AccountLoad {
  private _openCount = 0;
  /** Makes the prompts and the idempotency keys of the client account unique. */
  private _lastNumber = 0;

  constructor(
    private readonly _account: ISoakAccount,
    private readonly _context: ILoadContext,
    private readonly _random: Random,
  ) {}

  /**
   * Sends requests with exponentially distributed intervals until the signal is aborted, then waits for the
   * open ones.
   */
  public async run(signal: AbortSignal): Promise<void> {
    const { requestsPerSecond, ordersPerSecond } = this._account;
    const total = requestsPerSecond + ordersPerSecond;
    void this._runRefundBursts(signal);
    while (!signal.aborted) {
      await delay((-Math.log(1 - this._random.next()) * 1_000) / total);
      const isOrder = this._random.next() < ordersPerSecond / total;
      if (this._openCount < MAX_OPEN_REQUESTS) {
        this._openCount += 1;
        void (isOrder ? this._sendOrder() : this._sendRequest()).finally(() => {
          this._openCount -= 1;
        });
      }
    }
    while (this._openCount > 0) {
      await delay(50);
    }
  }

  /**
   * Tries to exceed the rate with the refund of a large reservation: the token bucket is full again when the
   * refund arrives, and a burst spends the tokens of both.
   */
  private async _runRefundBursts(signal: AbortSignal): Promise<void> {
    while (this._account.hasRefundBursts === true && !signal.aborted) {
      await delay(this._random.nextBetween(4_000, 6_000));
      const largeRequest = this._sendCompletion(true, REFUND_RESERVED_TOKENS, REFUND_USED_TOKENS);
      await delay(BURST_DELAY_MS);
      const endAt = performance.now() + BURST_DURATION_MS;
      const sendBurst = async (): Promise<void> => {
        while (performance.now() < endAt) {
          await this._sendCompletion(false, 20, 20);
        }
      };
      await Promise.all([largeRequest, ...Array.from({ length: BURST_CONCURRENCY }, sendBurst)]);
    }
  }

  private async _sendRequest(): Promise<void> {
    const choice = this._random.next();
    if (choice < 0.6) {
      await this._sendRandomCompletion(true);
    } else if (choice < 0.8) {
      await this._sendRandomCompletion(false);
    } else if (choice < 0.92) {
      await this._sendPlain('lookup', '/stock/linen', this._context.getKey(this._account.id));
    } else if (choice < 0.96) {
      await this._sendPlain('open', '/opening-hours', undefined);
    } else {
      await this._sendWrongKey();
    }
  }

  private async _sendRandomCompletion(isStream: boolean): Promise<void> {
    const outputLimit = Math.floor(this._random.nextBetween(5, 150));
    const isLongStream = isStream && this._random.next() < 0.1;
    const limit = isLongStream ? outputLimit * 5 : outputLimit;
    const isStoppedEarly = this._random.next() < 0.3;
    await this._sendCompletion(isStream, limit, isStoppedEarly ? Math.ceil(limit / 3) : limit);
  }

  private async _sendCompletion(
    isStream: boolean,
    outputLimit: number,
    outputTokens: number,
  ): Promise<void> {
    this._lastNumber += 1;
    const nonce = `nonce ${this._account.id}-${this._lastNumber} stop after ${outputTokens}`;
    const hasLongPrompt = this._account.hasLongPrompts && this._random.next() < 0.7;
    const system = hasLongPrompt ? SHARED_SYSTEM_PROMPT : SHARED_SYSTEM_PROMPT.slice(0, 800);
    const prompt = `system:${system}\nuser:${nonce}\n`;
    await this._send(
      {
        kind: isStream ? 'stream' : 'completion',
        key: this._context.getKey(this._account.id),
        promptDigest: digestPrompt(prompt),
        outputLimit,
        outputTokens,
        promptTokens: Math.ceil(prompt.length / BYTES_PER_TOKEN),
        orderKey: undefined,
      },
      '/v1/chat/completions',
      {
        method: 'POST',
        timeoutMs: STREAM_TIMEOUT_MS,
        body: JSON.stringify({
          model: 'lace-1',
          stream: isStream,
          max_tokens: outputLimit,
          messages: [
            { role: 'system', content: system },
            { role: 'user', content: nonce },
          ],
        }),
      },
    );
  }

  private async _sendPlain(
    kind: 'lookup' | 'open',
    path: string,
    key: ISoakKey | undefined,
  ): Promise<void> {
    await this._send(
      {
        kind,
        key,
        promptDigest: undefined,
        outputLimit: 0,
        outputTokens: 0,
        promptTokens: 1,
        orderKey: undefined,
      },
      path,
      { method: 'GET', timeoutMs: CALL_TIMEOUT_MS },
    );
  }

  /** Sends a lookup with an existing key id and a wrong secret. */
  private async _sendWrongKey(): Promise<void> {
    const validKey = this._context.getKey(this._account.id);
    const text = `${validKey?.text.slice(0, -4) ?? 'rww_'}AAAA`;
    const wrongKey: ISoakKey = {
      text,
      keyId: 'wrong',
      account: this._account.id,
      // The key was never valid, so any successful answer is a violation.
      withdrawnAt: -Infinity,
    };
    await this._sendPlain('lookup', '/stock/linen', wrongKey);
  }

  /**
   * Sends an order until it is answered, up to `MAX_ORDER_ATTEMPTS` times. Some orders are also sent twice at
   * the same time before, or once more after the answer.
   */
  private async _sendOrder(): Promise<void> {
    this._lastNumber += 1;
    const orderKey = `${this._account.id}-${this._lastNumber}`;
    const isSlow = this._random.next() < 0.25;
    const order: IOrder = {
      orderKey,
      body: JSON.stringify({
        order: orderKey,
        delayMs: isSlow ? Math.floor(this._random.nextBetween(200, 2_500)) : 0,
        dropAnswer: this._random.next() < 0.03,
      }),
    };
    if (this._random.next() < 0.1) {
      await Promise.all([this._sendOrderOnce(order), this._sendOrderOnce(order)]);
    }
    for (let attempt = 1; attempt <= MAX_ORDER_ATTEMPTS; attempt++) {
      const record = await this._sendOrderOnce(order);
      if (isSuccess(record) && record.result.end === 'complete') {
        break;
      }
      await delay(this._random.nextBetween(50, 1_000));
    }
    if (this._random.next() < 0.3) {
      await this._sendOrderOnce(order);
    }
  }

  private async _sendOrderOnce(order: IOrder): Promise<IRequestRecord> {
    return this._send(
      {
        kind: 'order',
        key: this._context.getKey(this._account.id),
        promptDigest: undefined,
        outputLimit: 0,
        outputTokens: 0,
        promptTokens: Math.ceil(order.body.length / BYTES_PER_TOKEN),
        orderKey: order.orderKey,
      },
      '/orders',
      {
        method: 'POST',
        timeoutMs: this._random.pick(ORDER_TIMEOUTS_MS),
        body: order.body,
        headers: { 'idempotency-key': order.orderKey },
      },
    );
  }

  private async _send(
    request: Omit<IRequestRecord, 'account' | 'entry' | 'result'>,
    path: string,
    options: {
      readonly method: string;
      readonly timeoutMs: number;
      readonly body?: string;
      readonly headers?: Readonly<Record<string, string>>;
    },
  ): Promise<IRequestRecord> {
    const { deployment, records } = this._context;
    const entry = this._pickEntry();
    const result = await sendCall(`${deployment.getEntryUrl(entry)}${path}`, {
      ...options,
      headers: {
        'content-type': 'application/json',
        ...options.headers,
        ...(request.key === undefined ? {} : { authorization: `Bearer ${request.key.text}` }),
      },
    });
    const record = { ...request, account: this._account.id, entry, result };
    records.requests.push(record);
    return record;
  }

  private _pickEntry(): string {
    const ready = this._context.listReadyEntries();
    const isAnyEntry = ready.length === 0 || this._random.next() < ANY_ENTRY_PROBABILITY;
    return this._random.pick(isAnyEntry ? this._context.deployment.listEntries() : ready);
  }
}
