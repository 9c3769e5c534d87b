/** Interfaces of the routing policies. Times are in milliseconds of the monotonic clock of the process. */

/** Hash of a prefix that ends at a chunk boundary: 16 bytes in hexadecimal notation. */
export type ChainHash = string;

/** Returns a random number in [0, 1). Injected so that decisions are reproducible in tests. */
export type IRandom = () => number;

/** Properties of a request on which a policy decides. */
export interface IRouteRequest {
  readonly requestId: string;
  readonly clientAccount: string;
  readonly service: string;
  readonly model: string;
  /** Hashes of the complete chunks of the prompt, from the first chunk on. */
  readonly chain: readonly ChainHash[];
  readonly promptTokens: number;
  /** Higher values are served first within one client account. */
  readonly priority: number;
  readonly deadlineMs: number;
}

/** Load reported by a target. */
export interface ILoad {
  /** Number of requests whose prompt is not computed yet. */
  readonly queued: number;
  /** Number of requests that generate output. */
  readonly running: number;
  readonly freeBlocks: number;
  /** Expected wait for the queued prompts; undefined if the target does not report it. */
  readonly waitMs?: number;
  /** When the report arrived, on the clock of this process. */
  readonly reportedAt: number;
}

/** State of a target in the roster. */
export interface ITargetView {
  readonly id: string;
  readonly dataCentre: string;
  /** Identifies one run of the engine, which starts with an empty cache. */
  readonly incarnation: string;
  readonly weightsVersion: string;
  readonly load: ILoad | undefined;
  readonly draining: boolean;
  readonly healthy: boolean;
}

/**
 * Why a target was chosen: in turn, with the fewest requests, as a home target of the prefix, on evidence that
 * it holds the prefix, or as neither of the last two.
 */
export type RouteReason = 'rotation' | 'least-load' | 'home' | 'evidence' | 'spill';

/** Estimates for one scored target, for the decision log. */
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
   * If the target expects a longer time to first token, it refuses the dispatch without running it, because
   * another target is then the better choice. Infinity if there is no alternative.
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

/** Maximum number of candidates in one decision; keeps the log lines short. */
export const MAX_LOGGED_CANDIDATES = 8;

/** Observations from a complete response. */
export interface IAnswer {
  /** Prompt tokens that the engine had cached. */
  readonly cachedPromptTokens: number;
  readonly ttftMs: number;
  readonly load: ILoad | undefined;
}

/** Report of a target that refused a dispatch because it would take longer than `maxTtftMs`. */
export interface IBusyReceipt {
  /** Expected wait for the prompts queued ahead of the dispatch. */
  readonly waitMs: number;
  /** Prompt tokens that the target has cached. */
  readonly cachedPromptTokens: number;
}

/** Chooses the target of each request, and learns from the outcomes of dispatches and reports of targets. */
export interface IRoutingPolicy {
  readonly name: string;
  /** Chooses a target among the given ones; draining and unhealthy ones are never chosen. */
  choose(request: IRouteRequest, targets: readonly ITargetView[], now: number): IRouteDecision;
  onDispatched(request: IRouteRequest, target: ITargetView, now: number): void;
  /** The first token arrived, so that the prompt is computed. */
  onFirstToken(requestId: string, now: number): void;
  onAnswered(requestId: string, answer: IAnswer, now: number): void;
  /** The dispatch ended without a complete response. */
  onFailed(requestId: string, now: number): void;
  /** The target refused the dispatch without running it; the request may be sent to another target. */
  onBusy(requestId: string, receipt: IBusyReceipt, now: number): void;
  /** The target reported that it evicted these chunks. */
  onEvicted(target: ITargetView, hashes: readonly ChainHash[]): void;
  /** The target reported that these chunks, which may belong to different chains, were just used. */
  onCached(target: ITargetView, hashes: readonly ChainHash[], now: number): void;
  onTargetGone(targetId: string): void;
}
