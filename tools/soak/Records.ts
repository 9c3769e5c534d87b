/** Requests, keys and interruptions that the soak records outside the program. */
import type { ICallResult } from './HttpCall.js';

/** A key that was issued for a client account. */
export interface ISoakKey {
  readonly text: string;
  readonly keyId: string;
  readonly account: string;
  /** Time at which the command that withdrew the key returned; undefined while the key is valid. */
  withdrawnAt: number | undefined;
}

export type RequestKind = 'stream' | 'completion' | 'lookup' | 'open' | 'order';

/** A request that has ended, and its result. */
export interface IRequestRecord {
  readonly kind: RequestKind;
  readonly account: string;
  readonly entry: string;
  readonly key: ISoakKey | undefined;
  /** Digest of the prompt, which the answer must repeat. */
  readonly promptDigest: string | undefined;
  /** Tokens that the request reserves for the answer (`max_tokens`). */
  readonly outputLimit: number;
  /** Tokens that a complete answer has. */
  readonly outputTokens: number;
  readonly promptTokens: number;
  /** Idempotency key of an order. */
  readonly orderKey: string | undefined;
  readonly result: ICallResult;
}

/** Request id that the program assigned; empty without an answer. */
export function getRequestId(record: IRequestRecord): string {
  const id = record.result.headers['x-request-id'];
  return typeof id === 'string' ? id : '';
}

/** Header in which the program reports whether the request ran; undefined if there is none. */
export function getRanHeader(record: IRequestRecord): string | undefined {
  const ran = record.result.headers['x-rww-ran'];
  return typeof ran === 'string' ? ran : undefined;
}

export function isSuccess(record: IRequestRecord): boolean {
  return record.result.status >= 200 && record.result.status < 300;
}

/** Records of one run: requests, keys, and the kills and graceful stops of entries. */
export class Records {
  public readonly requests: IRequestRecord[] = [];
  public readonly keys: ISoakKey[] = [];
  private readonly _kills: { readonly entry: string; readonly at: number }[] = [];
  /** Times of SIGTERM to entries, whose requests must not break. */
  public readonly gracefulStops: { readonly entry: string; readonly at: number }[] = [];

  public recordKill(entry: string): void {
    this._kills.push({ entry, at: performance.now() });
  }

  /**
   * True if the entry was killed while the request was open or within 100 ms after its end: the kill may then be
   * the cause of a broken connection.
   */
  public isDuringKill(record: IRequestRecord): boolean {
    const { sentAt, endAt } = record.result;
    return this._kills.some(
      ({ entry, at }) => entry === record.entry && at >= sentAt && at <= endAt + 100,
    );
  }
}
