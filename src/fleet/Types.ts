/** What a fleet serves and for whom, as decided by the operator. */
import type { IFailure, Result } from '../common/Result.js';

/** What may be repeated on a route. */
export type RouteKind = 'safe' | 'unsafe' | 'streaming';

/** A service that gets a part of a route's requests. */
export interface IRouteShare {
  readonly service: string;
  readonly weight: number;
}

/** Requests of one host whose path begins with a prefix. */
export interface IRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time in milliseconds that a request may be kept waiting. */
  readonly timeoutMs: number;
  /** Time in milliseconds within which an answer has its full worth. */
  readonly objectiveMs: number;
  /** Rank; 0 is the most important. */
  readonly priority: number;
  readonly shares: readonly IRouteShare[];
  /** Most targets to which one request may be sent. */
  readonly maxAttempts: number;
  /** True: no key is needed. */
  readonly isPublic: boolean;
  /** True: a broken stream may go on at another target after its last event. */
  readonly isResumable: boolean;
  /** Longest pause between events in milliseconds that is still on time; undefined where not set. */
  readonly gapObjectiveMs: number | undefined;
}

/** Engines of a service that runs language models. */
export interface IEngineTraits {
  readonly slots: number;
  /** Tokens that fit into an engine's memory. */
  readonly cacheTokens: number;
  readonly models: readonly string[];
}

/** Targets that do the same work. */
export interface IService {
  readonly name: string;
  /** Connections that one target accepts from all processes together. */
  readonly maxConnections: number;
  /** Undefined for plain services. */
  readonly engine: IEngineTraits | undefined;
  /** Address of a store of KV cache, which takes no requests; undefined for all others. */
  readonly storeAddress: string | undefined;
}

/** A client account and its limits. */
export interface IClientAccount {
  readonly name: string;
  readonly keys: readonly string[];
  /** Takes precedence over the route's rank. */
  readonly priority: number | undefined;
  /** True: shares no cached prompt part with another client account. */
  readonly isIsolated: boolean;
  /** Tokens per second; 0: no limit. */
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
  /** Tokens of a request that doesn't say how many it needs. */
  readonly defaultTokens: number;
}

/** Limits on what a client may send. */
export interface ICallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A complete configuration. */
export interface IFleetConfiguration {
  readonly version: number;
  readonly routes: readonly IRoute[];
  readonly services: readonly IService[];
  readonly limits: ICallerLimits;
  /** Undefined: requests need no key. */
  readonly clientAccounts: readonly IClientAccount[] | undefined;
}

/** Decodes the operator's document; the replicated state keeps the document as it was sent. */
export type DocumentDecoder = (
  content: Uint8Array,
) => Result<IFleetConfiguration, IFailure<'invalid'>>;
