/** Interfaces between the data path and what carries its requests and answers. */
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';

/** A part of a prompt; requests that begin with the same parts share them. */
export interface IPromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Names and values in turn, as they came. */
export type RawHeaders = readonly string[];

/** One request of a client, read in full. */
export interface ICall {
  readonly id: string;
  readonly method: string;
  readonly host: string;
  /** Path without query. */
  readonly path: string;
  readonly key: string | undefined;
  /** Time for which the client will wait, from the arrival. */
  readonly deadlineMs: number | undefined;
  readonly model: string | undefined;
  readonly promptTokens: number | undefined;
  /** Most tokens to generate. */
  readonly outputTokens: number | undefined;
  /** The client's estimate of the tokens to generate. */
  readonly lengthHint: number | undefined;
  readonly parts: readonly IPromptPart[];
  /** Number of the last event that the client has; undefined for a stream from the start. */
  readonly resumeAfter: number | undefined;
  /** Time of the arrival, on the process's monotonic clock. */
  readonly arrivedAt: number;
  /** Aborted when the client leaves. */
  readonly signal: AbortSignal;
}

export type RefusalReason =
  | 'no_configuration'
  | 'no_route'
  | 'bad_key'
  | 'bad_request'
  | 'quota'
  | 'no_target'
  | 'overloaded'
  | 'not_run'
  | 'failed'
  | 'time_limit'
  | 'stopping';

/** Takes the answer to a call. Exactly one of `refuse`, `end` and `cut` ends it. */
export interface IAnswerSink {
  readonly isStarted: boolean;
  start(status: number, headers: RawHeaders): void;
  /** False: wait for `waitWritable` before the next chunk. */
  write(chunk: Uint8Array): boolean;
  waitWritable(): Promise<void>;
  end(): void;
  /** Ends an answer that began so that it can't be taken for a complete one. */
  cut(): void;
  /** Answers in the router's own name. */
  refuse(status: number, reason: RefusalReason, retryAfterMs: number | undefined): void;
}

/** What the router adds to a request for one target. */
export interface IDispatch {
  readonly deadlineMs: number;
  readonly clientAccount: string | undefined;
  /** From 0, the most urgent, to 9. */
  readonly priority: number;
  /** Requests with different scopes share no cached prompt part, wherever it is moved. */
  readonly cacheScope: string | undefined;
  /** Version of the weights that the target must hold; undefined where it has none. */
  readonly weightsVersion: number | undefined;
  /** Address of the target from whose memory shared prompt parts are fetched. */
  readonly cacheSource: string | undefined;
  /** Address of the store that gets the prompt parts that the target reads. */
  readonly cacheStore: string | undefined;
  readonly resumeAfter: number | undefined;
}

/** Load that a target told with an answer. */
export interface IToldLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Head of a target's answer. */
export interface ITargetHead {
  readonly status: number;
  readonly headers: RawHeaders;
  /** False: the answer belongs to another request. */
  readonly isOwn: boolean;
  /** True: the target says that it did not run the request. */
  readonly isNotRun: boolean;
  /** True: another target has this address. */
  readonly isOtherTarget: boolean;
  readonly load: IToldLoad | undefined;
}

/** Hears of the progress of a request at a target. Ends with `onEnd` or `onError`. */
export interface ITargetListener {
  onHead(head: ITargetHead): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  /** `wasSent` is false if no byte of the request left. */
  onError(reason: string, wasSent: boolean): void;
}

/** A request on its way to a target. */
export interface ITargetExchange {
  readonly wasSent: boolean;
  pause(): void;
  resume(): void;
  /** Ends the exchange; the target drops the request. Calls no listener. */
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
}
