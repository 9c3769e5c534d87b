/**
 * Public interface of redwingwharf for callers, operators and monitoring. The schemas in `schema/` define
 * the settings and the operator files.
 */
declare module 'redwingwharf' {
  /** Body of every answer with which the router refuses a request or reports a failure. */
  export interface IErrorBody {
    readonly error: {
      /** Class of the error as in the OpenAI API, for instance `rate_limit_error`. */
      readonly type: string;
      /** Stable code, for instance `rate_limited` or `outcome_unknown`. */
      readonly code: string;
      /** Says what is wrong and what to do about it. */
      readonly message: string;
      /** Identifies the request in logs and for `redwingwharf explain`. */
      readonly request_id: string;
    };
  }

  /**
   * Response header `x-rww-ran` of refusals and failures: says whether the request ran.
   *
   * - `no`: the request has not reached a target and never will.
   * - `yes`: the request has reached a target.
   * - `unknown`: neither can be proved.
   */
  export type Ran = 'no' | 'yes' | 'unknown';

  /** Response headers that callers may rely on. */
  export interface IResponseHeaders {
    readonly 'x-request-id': string;
    readonly 'x-rww-ran'?: Ran;
    /** `true` when the answer is the recorded one of an earlier attempt. */
    readonly 'x-rww-replayed'?: 'true';
    /** Seconds to wait before a new attempt. */
    readonly 'retry-after'?: string;
  }

  /** Request headers that the router interprets. */
  export interface IRequestHeaders {
    /** `Bearer KEY`. Also accepted: `x-api-key`, the cookie `rww_key`, the query parameter `api_key`. */
    readonly authorization?: string;
    /** Identifies a non-repeatable call, so that a resend gets the answer of the first attempt. */
    readonly 'idempotency-key'?: string;
  }

  /** Event `error`, the last one of a stream that cannot be completed. */
  export interface IStreamErrorEvent extends IErrorBody {
    readonly event: 'error';
  }

  /** One line of the decision log, also printed by `redwingwharf explain REQUEST-ID`. */
  export interface IDecisionRecord {
    /** Time of the decision in ISO 8601. */
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

  /** A target that was considered, with the estimates on which the choice is based. */
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
