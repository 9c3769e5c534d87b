/** What the soak remembers of each request, independent of the program. */
import type { ICallResult } from './HttpCall.js';

/** A key that was given to a client account. */
export interface ISoakKey {
  readonly text: string;
  readonly keyId: string;
  readonly account: string;
  /** Time at which the command that withdrew it returned. */
  withdrawnAt: number | undefined;
}

export type RequestKind = 'stream' | 'completion' | 'lookup' | 'open' | 'order';

/** One request and its end. */
export interface IRecord {
  readonly kind: RequestKind;
  readonly account: string;
  readonly entry: string;
  readonly key: ISoakKey | undefined;
  /** Digest of the prompt that the answer has to carry. */
  readonly promptDigest: string | undefined;
  /** Tokens that are reserved for the answer. */
  readonly outputLimit: number;
  /** Tokens that the answer has. */
  readonly outputTokens: number;
  readonly promptTokens: number;
  /** Idempotency key of an order. */
  readonly orderKey: string | undefined;
  readonly result: ICallResult;
}

export function getRequestId(record: IRecord): string {
  const id = record.result.headers['x-request-id'];
  return typeof id === 'string' ? id : '';
}

/** The program's statement whether the request ran; undefined without an answer. */
export function getRan(record: IRecord): string | undefined {
  const ran = record.result.headers['x-rww-ran'];
  return typeof ran === 'string' ? ran : undefined;
}

export function isSuccess(record: IRecord): boolean {
  return record.result.status >= 200 && record.result.status < 300;
}

/** All requests, and the kills that excuse broken connections. */
export class Records {
  public readonly requests: IRecord[] = [];
  public readonly keys: ISoakKey[] = [];
  private readonly _kills: { readonly entry: string; readonly at: number }[] = [];
  /** Entries told to shut down gracefully; their requests must not break. */
  public readonly gracefulStops: { readonly entry: string; readonly at: number }[] = [];

  public recordKill(entry: string): void {
    this._kills.push({ entry, at: performance.now() });
  }

  /** True when the entry was killed while the request was open. */
  public isExcused(record: IRecord): boolean {
    const { sentAt, endAt } = record.result;
    return this._kills.some(
      ({ entry, at }) => entry === record.entry && at >= sentAt && at <= endAt + 100,
    );
  }
}
