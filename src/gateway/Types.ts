/** Interfaces between the request path and the protocols to clients and targets. */
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';

/** A part of a prompt. Requests whose prompts begin with the same parts can share their KV cache. */
export interface IPromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Alternating header names and values, in the order in which they were received. */
export type RawHeaders = readonly string[];

/** One request of a client whose body has been read completely. */
export interface ICall {
  readonly id: string;
  readonly method: string;
  readonly host: string;
  /** Path without query. */
  readonly path: string;
  readonly key: string | undefined;
  /** Time limit of the client, counted from the arrival; undefined if it set none. */
  readonly deadlineMs: number | undefined;
  readonly model: string | undefined;
  readonly promptTokens: number | undefined;
  /** Maximum number of tokens to generate. */
  readonly outputTokens: number | undefined;
  /** The client's estimate of the tokens to generate. */
  readonly lengthHint: number | undefined;
  readonly parts: readonly IPromptPart[];
  /** Id of the last event that the client received; undefined unless it resumes a stream. */
  readonly resumeAfter: number | undefined;
  /**
   * Id of the client attempt that brought the first event of the stream that this request takes up; undefined
   * if the client names none.
   */
  readonly resumes: string | undefined;
  /** Time of arrival on the monotonic clock of the process. */
  readonly arrivedAt: number;
  /** Aborted when the connection of the client ends. If the client has not ended it, the reason is a text that tells why. */
  readonly signal: AbortSignal;
  /** Hash of method, host, path with query, and body: a repetition has the same. */
  hashContent(): number;
}

export type RefusalReason =
  | 'no_configuration'
  | 'no_route'
  | 'bad_key'
  | 'bad_request'
  | 'quota'
  | 'no_target'
  | 'overloaded'
  /** All targets name limits on the requests a second that they take, or want none for a time. */
  | 'limited'
  | 'quarantined'
  /** The software version that began a stream is not known now. */
  | 'origin_unknown'
  /** No target has the software version that began the stream. */
  | 'version_gone'
  /** The configuration that admitted the request is not in force any more, and the present one does not allow it. */
  | 'withdrawn'
  | 'not_run'
  | 'failed'
  | 'time_limit'
  | 'stopping';

/** Writes the response to a call to the client. Exactly one of `refuse`, `end` and `cut` ends it. */
export interface IAnswerSink {
  readonly isStarted: boolean;
  start(status: number, headers: RawHeaders): void;
  /** Returns false if the caller must await `waitWritable` before the next write. */
  write(chunk: Uint8Array): boolean;
  waitWritable(): Promise<void>;
  end(): void;
  /** Aborts a started response so that the client cannot mistake it for a complete one. */
  cut(): void;
  /** Responds with an error of the router itself. */
  refuse(status: number, reason: RefusalReason, retryAfterMs: number | undefined): void;
}

/** Fields that the router adds to a request when it sends it to a target. */
export interface IDispatch {
  readonly deadlineMs: number;
  readonly clientAccount: string | undefined;
  /** From 0 (most urgent) to 9. */
  readonly priority: number;
  /** Requests with different scopes share no cached prompt part, also after a transfer of the cache. */
  readonly cacheScope: string | undefined;
  /** Weights version that the target must hold; undefined if the target has no weights of the model. */
  readonly weightsVersion: number | undefined;
  /** Address of the target or store from which the target fetches shared prompt parts. */
  readonly cacheSource: string | undefined;
  /** Address of the store to which the target sends the prompt parts that it computes. */
  readonly cacheStore: string | undefined;
  readonly resumeAfter: number | undefined;
}

/** Load that a target reported with a response. */
export interface IReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes on the target's machine at this moment; 100 is usual. Undefined if the target does not tell. */
  readonly slownessPercent?: number | undefined;
}

/** What a response says about the requests a second that its target takes from all processes together. */
export type RateLimitNotice =
  | { readonly kind: 'unlimited' }
  | { readonly kind: 'limited'; readonly perSecond: number }
  /** The response has a value that cannot be read, which says nothing. */
  | { readonly kind: 'unreadable' };

/** How the end of a response body is marked. */
export const BodyFraming = {
  /** The response has no body. */
  None: 'none',
  Length: 'length',
  Chunked: 'chunked',
  /** By the close of the connection, which also ends a response that was broken off. */
  Close: 'close',
} as const;
export type BodyFraming = (typeof BodyFraming)[keyof typeof BodyFraming];

/** Status, headers and routing metadata of a target's response. */
export interface ITargetHead {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly framing: BodyFraming;
  /** False if the response belongs to another request, or may do so. */
  readonly isForThisRequest: boolean;
  /** True if the target states that it did not run the request. */
  readonly isNotRun: boolean;
  /** True if another target has this address now. */
  readonly isOtherTarget: boolean;
  readonly load: IReportedLoad | undefined;
  readonly rateLimit: RateLimitNotice;
  /** True if the target states that it leaves and wants no new requests. */
  readonly isLeaving: boolean;
  /** Time for which the target wants no requests of this entry, as it refused one; undefined if it states none. */
  readonly pauseMs: number | undefined;
}

/** Receives the response of a target. `onEnd` or `onError` is the last call. */
export interface ITargetListener {
  /**
   * Called right before the first byte of the request is sent; until then it waits for a connection. With false it is not
   * sent, and no other method is called.
   */
  onSend(): boolean;
  onHead(head: ITargetHead): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  /** `wasSent` is false if no byte of the request was sent, so that the target cannot have run it. */
  onError(reason: string, wasSent: boolean): void;
}

/** A request in progress at a target. */
export interface ITargetExchange {
  readonly wasSent: boolean;
  /**
   * Reads nothing more of the response until `resume`. Once other requests have long waited for its connection, `giveUp` is
   * called, which should end the exchange.
   */
  pause(giveUp?: () => void): void;
  resume(): void;
  /** Closes the exchange so that the target cancels the request. Calls no method of the listener. */
  abort(): void;
}

/** Sends requests to targets. */
export interface ITargetClient<T extends ICall> {
  send(
    target: TargetRecord,
    call: T,
    dispatch: IDispatch,
    listener: ITargetListener,
  ): ITargetExchange;
  /** False if the target accepts no connection any more; true also if that is not known. */
  probe(target: TargetRecord): Promise<boolean>;
  /** False if a new connection to the target fails, or is not accepted in time. */
  canConnect(target: TargetRecord): Promise<boolean>;
}
