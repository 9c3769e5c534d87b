/** Clients of one account: they send the mixed load and record every answer. */
import { setTimeout as delay } from 'node:timers/promises';
import { digestPrompt } from '../../fakes/Engine.js';
import type { Deployment } from '../harness/Deployment.js';
import { sendCall } from './HttpCall.js';
import type { ISoakAccount } from './Plan.js';
import type { Random } from './Random.js';
import { isSuccess, type IRecord, type ISoakKey, type Records } from './Records.js';

/** Shared text of about two cache chunks. */
const STANDARD = 'A lace pattern is checked line by line against the standard. '.repeat(280);

const BYTES_PER_TOKEN = 4;
const STREAM_TIMEOUT_MS = 45_000;
const CALL_TIMEOUT_MS = 20_000;
const MAX_OPEN_REQUESTS = 60;
const MAX_ORDER_SENDS = 7;

/** A reservation of 6,000 tokens of which 500 are used, over about four seconds. */
const REFUND_LIMIT_TOKENS = 6_000;
const REFUND_USED_TOKENS = 500;

/** The burst begins when the bucket is full again and the refund is near. */
const BURST_AFTER_MS = 3_500;
const BURST_MS = 2_000;
const BURST_SENDERS = 10;

/** Share of requests sent to any entry, ready or not. */
const BLIND_SHARE = 0.15;

/** Times after which an impatient caller sends an order to another entry. */
const ORDER_TIMEOUTS_MS = [250, 600, 1_500, 4_000, 20_000];

/** What the clients know of the deployment. */
export interface ILoadView {
  readonly deployment: Deployment;
  readonly records: Records;
  listReadyEntries(): string[];
  /** Newest key of the account; now and then an older one. */
  getKey(account: string): ISoakKey | undefined;
}

interface IOrder {
  readonly orderKey: string;
  readonly body: string;
}

export class AccountLoad {
  private _open = 0;
  private _count = 0;

  constructor(
    private readonly _account: ISoakAccount,
    private readonly _view: ILoadView,
    private readonly _random: Random,
  ) {}

  /** Sends until the signal is aborted, then waits for what is open. */
  public async run(signal: AbortSignal): Promise<void> {
    const { requestsPerSecond, ordersPerSecond } = this._account;
    const total = requestsPerSecond + ordersPerSecond;
    void this._runRefunds(signal);
    while (!signal.aborted) {
      await delay((-Math.log(1 - this._random.next()) * 1_000) / total);
      const isOrder = this._random.next() < ordersPerSecond / total;
      if (this._open < MAX_OPEN_REQUESTS) {
        this._open += 1;
        void (isOrder ? this._sendOrder() : this._sendRequest()).finally(() => {
          this._open -= 1;
        });
      }
    }
    while (this._open > 0) {
      await delay(50);
    }
  }

  /** Tries to spend a refund in addition to a bucket that was refilled in the meantime. */
  private async _runRefunds(signal: AbortSignal): Promise<void> {
    while (this._account.hasRefunds === true && !signal.aborted) {
      await delay(this._random.nextBetween(4_000, 6_000));
      const large = this._sendCompletion(true, REFUND_LIMIT_TOKENS, REFUND_USED_TOKENS);
      await delay(BURST_AFTER_MS);
      const endAt = performance.now() + BURST_MS;
      const sendBurst = async (): Promise<void> => {
        while (performance.now() < endAt) {
          await this._sendCompletion(false, 20, 20);
        }
      };
      await Promise.all([large, ...Array.from({ length: BURST_SENDERS }, sendBurst)]);
    }
  }

  private async _sendRequest(): Promise<void> {
    const choice = this._random.next();
    if (choice < 0.6) {
      await this._requestCompletion(true);
    } else if (choice < 0.8) {
      await this._requestCompletion(false);
    } else if (choice < 0.92) {
      await this._sendPlain('lookup', '/stock/linen', this._view.getKey(this._account.id));
    } else if (choice < 0.96) {
      await this._sendPlain('open', '/opening-hours', undefined);
    } else {
      await this._sendWrongKey();
    }
  }

  private async _requestCompletion(isStream: boolean): Promise<void> {
    const outputLimit = Math.floor(this._random.nextBetween(5, 150));
    const isLongStream = isStream && this._random.next() < 0.1;
    const limit = isLongStream ? outputLimit * 5 : outputLimit;
    const isShorter = this._random.next() < 0.3;
    await this._sendCompletion(isStream, limit, isShorter ? Math.ceil(limit / 3) : limit);
  }

  private async _sendCompletion(
    isStream: boolean,
    outputLimit: number,
    outputTokens: number,
  ): Promise<void> {
    this._count += 1;
    const nonce = `nonce ${this._account.id}-${this._count} stop after ${outputTokens}`;
    const isLong = this._account.hasLongPrompts && this._random.next() < 0.7;
    const system = isLong ? STANDARD : STANDARD.slice(0, 800);
    const prompt = `system:${system}\nuser:${nonce}\n`;
    await this._send(
      {
        kind: isStream ? 'stream' : 'completion',
        key: this._view.getKey(this._account.id),
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

  private async _sendWrongKey(): Promise<void> {
    const known = this._view.getKey(this._account.id);
    const text = `${known?.text.slice(0, -4) ?? 'rww_'}AAAA`;
    const wrong: ISoakKey = {
      text,
      keyId: 'wrong',
      account: this._account.id,
      // It never worked, so that any success is a violation.
      withdrawnAt: -Infinity,
    };
    await this._sendPlain('lookup', '/stock/linen', wrong);
  }

  /** Sends an order until it has an answer; resends go to another entry. */
  private async _sendOrder(): Promise<void> {
    this._count += 1;
    const orderKey = `${this._account.id}-${this._count}`;
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
      await Promise.all([this._sendOnce(order), this._sendOnce(order)]);
    }
    for (let sends = 1; sends <= MAX_ORDER_SENDS; sends++) {
      const record = await this._sendOnce(order);
      if (isSuccess(record) && record.result.end === 'complete') {
        break;
      }
      await delay(this._random.nextBetween(50, 1_000));
    }
    if (this._random.next() < 0.3) {
      await this._sendOnce(order);
    }
  }

  private async _sendOnce(order: IOrder): Promise<IRecord> {
    return this._send(
      {
        kind: 'order',
        key: this._view.getKey(this._account.id),
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
    base: Omit<IRecord, 'account' | 'entry' | 'result'>,
    path: string,
    options: {
      readonly method: string;
      readonly timeoutMs: number;
      readonly body?: string;
      readonly headers?: Readonly<Record<string, string>>;
    },
  ): Promise<IRecord> {
    const { deployment, records } = this._view;
    const entry = this._pickEntry();
    const result = await sendCall(`${deployment.getUrl(entry)}${path}`, {
      ...options,
      headers: {
        'content-type': 'application/json',
        ...options.headers,
        ...(base.key === undefined ? {} : { authorization: `Bearer ${base.key.text}` }),
      },
    });
    const record = { ...base, account: this._account.id, entry, result };
    records.requests.push(record);
    return record;
  }

  private _pickEntry(): string {
    const ready = this._view.listReadyEntries();
    const isBlind = ready.length === 0 || this._random.next() < BLIND_SHARE;
    return this._random.pick(isBlind ? this._view.deployment.listEntries() : ready);
  }
}
