/**
 * Public interface of redwingwharf: what callers, operators and monitoring see. The settings and the
 * operator files are defined by the schemas in `schema/`.
 */
declare module 'redwingwharf' {
  /** Body of every refusal and failure. */
  export interface IErrorBody {
    readonly error: {
      /** Class of the error in the manner of the OpenAI API, for instance `rate_limit_error`. */
      readonly type: string;
      /** Stable code, for instance `rate_limited` or `outcome_unknown`. */
      readonly code: string;
      /** What to do about it. */
      readonly message: string;
      /** Names the request in logs and for `redwingwharf explain`. */
      readonly request_id: string;
    };
  }

  /**
   * Response header `x-rww-ran` of refusals and failures.
   *
   * - `no`: the request did not reach a target and never will.
   * - `yes`: it reached one.
   * - `unknown`: neither is provable.
   */
  export type Ran = 'no' | 'yes' | 'unknown';

  /** Response headers that callers may rely on. */
  export interface IResponseHeaders {
    readonly 'x-request-id': string;
    readonly 'x-rww-ran'?: Ran;
    /** `true` when the recorded answer of an earlier attempt is given. */
    readonly 'x-rww-replayed'?: 'true';
    /** Seconds until a new attempt makes sense. */
    readonly 'retry-after'?: string;
  }

  /** Request headers with a meaning for the router. */
  export interface IRequestHeaders {
    /** `Bearer KEY`. Also accepted: `x-api-key`, the cookie `rww_key`, the query parameter `api_key`. */
    readonly authorization?: string;
    /** Names a non-repeatable call, so that a resend gets the answer of the first attempt. */
    readonly 'idempotency-key'?: string;
  }

  /** Event `error` that ends a stream which cannot be completed. */
  export interface IStreamErrorEvent extends IErrorBody {
    readonly event: 'error';
  }

  /** One line of the decision log, also printed by `redwingwharf explain REQUEST-ID`. */
  export interface IDecisionRecord {
    /** ISO 8601. */
    readonly time: string;
    readonly requestId: string;
    readonly decision: 'refused' | 'routed' | 'retried' | 'resumed' | 'claimed' | 'finished';
    readonly clientAccount?: string;
    readonly service?: string;
    readonly target?: string;
    /** Why the target was chosen. */
    readonly reason?: 'rotation' | 'least-load' | 'home' | 'evidence' | 'spill';
    readonly expectedCachedTokens?: number;
    readonly cachedPromptTokens?: number;
    readonly estimatedTtftMs?: number;
    readonly ttftMs?: number;
    readonly candidates?: readonly ICandidateRecord[];
  }

  /** One weighed target. */
  export interface ICandidateRecord {
    readonly targetId: string;
    readonly cachedTokens: number;
    readonly waitMs: number;
    readonly ttftMs: number;
  }

  /** Exit codes of the command line. */
  export interface IExitCodes {
    readonly ok: 0;
    readonly refused: 1;
    readonly usage: 2;
    readonly conflict: 3;
    readonly unknown: 4;
  }
}
