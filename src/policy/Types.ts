/** Interfaces of the routing policies. Times are milliseconds of the process's monotonic clock. */

/** Hash of a prefix that ends at a chunk boundary: 16 bytes in hexadecimal form. */
export type ChainHash = string;

/** Returns a number in [0, 1). Injected so that decisions can be repeated in tests. */
export type IRandom = () => number;

/** One request as the policy sees it. */
export interface IRouteRequest {
  readonly requestId: string;
  readonly clientAccount: string;
  readonly service: string;
  readonly model: string;
  /** Hashes of the whole chunks of the prompt, from the first chunk on. */
  readonly chain: readonly ChainHash[];
  readonly promptTokens: number;
  /** Higher values are served first within one client account. */
  readonly priority: number;
  readonly deadlineMs: number;
}

/** Load that a target reported. */
export interface ILoad {
  /** Requests whose prompt is not computed yet. */
  readonly queued: number;
  /** Requests that generate output. */
  readonly running: number;
  readonly freeBlocks: number;
  /** Expected wait for the queued prompts, if the target tells it. */
  readonly waitMs?: number;
  /** When the report arrived, by the clock of this process. */
  readonly reportedAt: number;
}

/** A target as the roster knows it. */
export interface ITargetView {
  readonly id: string;
  readonly dataCentre: string;
  /** Identifies one run of the engine; a restarted engine has an empty cache. */
  readonly incarnation: string;
  readonly weightsVersion: string;
  readonly load: ILoad | undefined;
  readonly draining: boolean;
  readonly healthy: boolean;
}

/** Why a target was chosen. */
export type RouteReason = 'rotation' | 'least-load' | 'home' | 'evidence' | 'spill';

/** One weighed target, for the decision log. */
export interface ICandidate {
  readonly targetId: string;
  readonly cachedTokens: number;
  readonly waitMs: number;
  readonly ttftMs: number;
}

export interface ITargetDecision {
  readonly kind: 'target';
  readonly target: ITargetView;
  readonly expectedCachedTokens: number;
  readonly estimatedTtftMs: number;
  /**
   * The target is to refuse the dispatch unrun when it expects a longer time to first token,
   * because another target is then the better choice. Infinity without an alternative.
   */
  readonly maxTtftMs: number;
  readonly reason: RouteReason;
  /** At most `MAX_LOGGED_CANDIDATES` entries. */
  readonly candidates: readonly ICandidate[];
}

export interface INoDecision {
  readonly kind: 'none';
  readonly reason: 'no-target' | 'all-draining-or-unhealthy';
}

export type IRouteDecision = ITargetDecision | INoDecision;

/** Bound of the candidates in one decision, so that a log line stays short. */
export const MAX_LOGGED_CANDIDATES = 8;

/** What a complete response told about its target. */
export interface IAnswer {
  /** Prompt tokens that the engine took from its cache. */
  readonly cachedPromptTokens: number;
  readonly ttftMs: number;
  readonly load: ILoad | undefined;
}

/** What a target told when it refused a dispatch that would take longer than `maxTtftMs`. */
export interface IBusyReceipt {
  /** Expected wait for the prompts queued before it. */
  readonly waitMs: number;
  /** Prompt tokens that the target would have taken from its cache. */
  readonly cachedPromptTokens: number;
}

/** Chooses targets and learns from what happens to the requests. */
export interface IRoutingPolicy {
  readonly name: string;
  choose(request: IRouteRequest, targets: readonly ITargetView[], now: number): IRouteDecision;
  onDispatched(request: IRouteRequest, target: ITargetView, now: number): void;
  /** The first token arrived, so the prompt is computed. */
  onFirstToken(requestId: string, now: number): void;
  onAnswered(requestId: string, answer: IAnswer, now: number): void;
  /** The dispatch ended without a complete response. */
  onFailed(requestId: string, now: number): void;
  /** The target refused the dispatch unrun; the request may be sent elsewhere. */
  onBusy(requestId: string, receipt: IBusyReceipt, now: number): void;
  onEvicted(target: ITargetView, hashes: readonly ChainHash[]): void;
  /** The target reported that these chunks, which may be of any chain, were just used. */
  onCached(target: ITargetView, hashes: readonly ChainHash[], now: number): void;
  onTargetGone(targetId: string): void;
}
