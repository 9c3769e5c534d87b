/** The decoded configuration of a fleet: routes, services, limits and client accounts. */
import type { IFailure, Result } from '../common/Result.js';

/**
 * Whether a request may be retried after a target may have run it: `safe` ones may, `unsafe` ones may not, and
 * `streaming` ones, whose answer is a stream of events, may if the route is resumable.
 */
export type RouteKind = 'safe' | 'unsafe' | 'streaming';

/** A service that gets a share of a route's requests, in proportion to its weight. */
export interface IRouteShare {
  readonly service: string;
  readonly weight: number;
}

/** How requests of one host with one path prefix are handled. */
export interface IRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Time limit of a request in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective in milliseconds; a later answer is worth less. */
  readonly latencyObjectiveMs: number;
  /** Priority class; 0 is the highest. */
  readonly priority: number;
  readonly shares: readonly IRouteShare[];
  /** Most attempts of one request, each at another target; unreachable targets do not count. */
  readonly maxAttempts: number;
  /** True: requests need no key. */
  readonly isPublic: boolean;
  /** True: a broken stream may be resumed at another target after its last event. */
  readonly isResumable: boolean;
  /** Objective for the longest gap between two events in milliseconds; undefined if not set. */
  readonly gapObjectiveMs: number | undefined;
  /** Time without an event, also before the first one, after which clients give up a stream; undefined if not known. */
  readonly eventGapLimitMs: number | undefined;
}

/** Properties of each engine of a service that runs language models. */
export interface IEngineProperties {
  /** Requests that an engine runs at once. */
  readonly slots: number;
  /** Tokens that fit into an engine's KV cache. */
  readonly cacheTokens: number;
  readonly models: readonly string[];
}

/** A group of interchangeable targets. */
export interface IService {
  readonly name: string;
  /** Connections that one target accepts from all processes together. */
  readonly maxConnections: number;
  /** Undefined for plain services. */
  readonly engine: IEngineProperties | undefined;
  /**
   * Address of the KV cache store, if this service is one and takes no requests; undefined for all others.
   */
  readonly storeAddress: string | undefined;
}

/** A client account and its limits. */
export interface IClientAccount {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the route's priority; undefined: the route's one applies. */
  readonly priority: number | undefined;
  /** True: cached prompt parts are not shared with other client accounts. */
  readonly isIsolated: boolean;
  /** Limit of tokens per second; 0: no limit. */
  readonly tokensPerSecond: number;
  /** Tokens that may be spent in addition to the rate within one window. */
  readonly burstTokens: number;
  /** Tokens charged for a request that states neither prompt nor output tokens. */
  readonly defaultTokens: number;
}

/** Limits on what a client may send. */
export interface IClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A complete configuration of a fleet. */
export interface IFleetConfiguration {
  readonly version: number;
  readonly routes: readonly IRoute[];
  readonly services: readonly IService[];
  readonly limits: IClientLimits;
  /** Undefined: requests need no key. */
  readonly clientAccounts: readonly IClientAccount[] | undefined;
}

/** Decodes the operator's document. The replicated state keeps the document as it was sent. */
export type DocumentDecoder = (
  content: Uint8Array,
) => Result<IFleetConfiguration, IFailure<'invalid'>>;
