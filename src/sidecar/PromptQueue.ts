/**
 * Prompts that were dispatched to the engine and not computed yet, and the waiting time that they cause.
 */
import { encodeHex } from '../common/Hashes.js';
import type { TargetLoad, Ticket } from '../gen/redwingwharf/v1/control_pb.js';
import { CHUNK_TOKENS } from '../policy/PrefixChain.js';

/** Computations of fewer tokens are no reliable sample of the prefill speed. */
const MIN_SAMPLE_TOKENS = 1_000;

/** Weight of a new sample in the moving average of the prefill speed. */
const SAMPLE_WEIGHT = 0.2;

/** Time within which the engine's cache events arrive after it has computed a prompt. */
const CACHE_EVENT_DELAY_MS = 1_000;

interface IPendingPrompt {
  readonly uncachedTokens: number;
  readonly startedAt: number;
  /**
   * True when no other prompt was pending at the start, so that the elapsed time is a sample of the
   * speed.
   */
  readonly wasAlone: boolean;
  readonly hashes: readonly string[];
}

/** Estimate for a dispatch before it is sent to the engine. */
export interface IPromptEstimate {
  readonly cachedTokens: number;
  /** Time until the prompts before it are computed; zero while the speed of the engine is unknown. */
  readonly waitMs: number;
  readonly ttftMs: number;
}

/**
 * Estimates waiting time and TTFT from the dispatches of all entries. Only the sidecar sees all of them,
 * and it does so before they appear in the engine's load report.
 *
 * @example
 * const estimate = queue.estimate(ticket, now);
 * queue.begin(ticket, now);
 * queue.end(ticket.requestId, true, now); // at the first token
 */
export class PromptQueue {
  private readonly _pending = new Map<string, IPendingPrompt>();
  /** Chunks of computed prompts whose cache events may not have arrived yet, with their expiry time. */
  private readonly _recentlyComputed = new Map<string, number>();
  private _tokensPerMs: number | undefined;
  /** Time at which the engine began to compute the current prompt. */
  private _computationStartedAt = 0;

  constructor(private readonly _isCached: (hash: string) => boolean) {}

  public estimate(ticket: Ticket, now: number): IPromptEstimate {
    const cachedTokens = this._countCached(listHashes(ticket), ticket.promptTokens, now);
    const waitMs = this.estimateWaitMs(now);
    const tokensPerMs = this._tokensPerMs ?? Infinity;
    const ttftMs = waitMs + (ticket.promptTokens - cachedTokens) / tokensPerMs;
    return { cachedTokens, waitMs, ttftMs };
  }

  /** Estimated time until all pending prompts are computed. */
  public estimateWaitMs(now: number): number {
    if (this._tokensPerMs === undefined || this._pending.size === 0) {
      return 0;
    }
    let uncachedTokens = 0;
    for (const pending of this._pending.values()) {
      uncachedTokens += pending.uncachedTokens;
    }
    return Math.max(0, uncachedTokens / this._tokensPerMs - (now - this._computationStartedAt));
  }

  /** Adds the prompt of a dispatch that is sent to the engine. */
  public begin(ticket: Ticket, now: number): void {
    const hashes = listHashes(ticket);
    const cachedTokens = this._countCached(hashes, ticket.promptTokens, now);
    const wasAlone = this._pending.size === 0;
    if (wasAlone) {
      this._computationStartedAt = now;
    }
    const uncachedTokens = ticket.promptTokens - cachedTokens;
    this._pending.set(ticket.requestId, { uncachedTokens, startedAt: now, wasAlone, hashes });
  }

  /** Removes a prompt when it is computed or its dispatch ended. Only the first call has an effect. */
  public end(requestId: string, isComputed: boolean, now: number): void {
    const pending = this._pending.get(requestId);
    if (pending === undefined) {
      return;
    }
    this._pending.delete(requestId);
    this._computationStartedAt = now;
    if (isComputed) {
      this._updateSpeed(pending, now);
      for (const hash of pending.hashes) {
        this._recentlyComputed.set(hash, now + CACHE_EVENT_DELAY_MS);
      }
    }
    this._removeExpired(now);
  }

  /** Removes the recently computed chunks, for an engine that lost its cache. */
  public clear(): void {
    this._recentlyComputed.clear();
  }

  private _updateSpeed(pending: IPendingPrompt, now: number): void {
    const elapsedMs = now - pending.startedAt;
    if (!pending.wasAlone || pending.uncachedTokens < MIN_SAMPLE_TOKENS || elapsedMs <= 0) {
      return;
    }
    const sample = pending.uncachedTokens / elapsedMs;
    const previous = this._tokensPerMs ?? sample;
    this._tokensPerMs = previous + (sample - previous) * SAMPLE_WEIGHT;
  }

  private _countCached(hashes: readonly string[], promptTokens: number, now: number): number {
    const firstUncached = hashes.findIndex((hash) => !this._isCachedOrPending(hash, now));
    const cachedChunks = firstUncached < 0 ? hashes.length : firstUncached;
    return Math.min(promptTokens, cachedChunks * CHUNK_TOKENS);
  }

  /** True for a chunk that is cached, or will be when a dispatch sent now is computed. */
  private _isCachedOrPending(hash: string, now: number): boolean {
    if (this._isCached(hash) || (this._recentlyComputed.get(hash) ?? 0) > now) {
      return true;
    }
    return [...this._pending.values()].some(({ hashes }) => hashes.includes(hash));
  }

  private _removeExpired(now: number): void {
    for (const [hash, expiresAt] of this._recentlyComputed) {
      if (expiresAt > now) {
        return;
      }
      this._recentlyComputed.delete(hash);
    }
  }
}

/** Returns the load with the estimated waiting time; unchanged without a prompt queue. */
export function addWaitEstimate(
  load: TargetLoad,
  prompts: PromptQueue | undefined,
  now: number,
): TargetLoad {
  return prompts === undefined
    ? load
    : { ...load, waitMs: Math.round(prompts.estimateWaitMs(now)) };
}

function listHashes(ticket: Ticket): string[] {
  return ticket.prefixChain.map(encodeHex);
}
