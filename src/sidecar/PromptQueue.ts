/** Prompts that the engine accepted and has not computed yet, and the wait that they mean. */
import { encodeHex } from '../common/Hashes.js';
import type { TargetLoad, Ticket } from '../gen/redwingwharf/v1/control_pb.js';
import { CHUNK_TOKENS } from '../policy/PrefixChain.js';

/** Shorter computations say little about the speed of the engine. */
const MIN_SAMPLE_TOKENS = 1_000;

/** Weight of a new sample of the speed. */
const SAMPLE_WEIGHT = 0.2;

/** The engine's cache events arrive within this time after the prompt was computed. */
const EVENT_DELAY_MS = 1_000;

interface IPending {
  readonly missedTokens: number;
  readonly startedAt: number;
  /** True when the engine computed nothing else at the start, so that the time tells its speed. */
  readonly wasAlone: boolean;
  readonly hashes: readonly string[];
}

/** What is expected of a dispatch before it is sent. */
export interface IPromptEstimate {
  readonly cachedTokens: number;
  /** Time for the prompts before it; zero while the speed of the engine is unknown. */
  readonly waitMs: number;
  readonly ttftMs: number;
}

/**
 * Estimates from the dispatches of all entries. Only the sidecar sees them all, and sees them before the
 * engine's load report does.
 *
 * @example
 * const estimate = queue.estimate(ticket, now);
 * queue.begin(ticket, now);
 * queue.end(ticket.requestId, now); // at the first token
 */
export class PromptQueue {
  private readonly _pending = new Map<string, IPending>();
  /** Chunks of computed prompts whose cache events may not have arrived, with the time until then. */
  private readonly _recent = new Map<string, number>();
  private _tokensPerMs: number | undefined;
  /** When the engine began with the prompt that it computes now. */
  private _workStartedAt = 0;

  constructor(private readonly _isCached: (hash: string) => boolean) {}

  public estimate(ticket: Ticket, now: number): IPromptEstimate {
    const cachedTokens = this._countCached(listHashes(ticket), ticket.promptTokens, now);
    const waitMs = this.estimateWaitMs(now);
    const speed = this._tokensPerMs ?? Infinity;
    const ttftMs = waitMs + (ticket.promptTokens - cachedTokens) / speed;
    return { cachedTokens, waitMs, ttftMs };
  }

  /** Time until the pending prompts are computed. */
  public estimateWaitMs(now: number): number {
    if (this._tokensPerMs === undefined || this._pending.size === 0) {
      return 0;
    }
    let missedTokens = 0;
    for (const pending of this._pending.values()) {
      missedTokens += pending.missedTokens;
    }
    return Math.max(0, missedTokens / this._tokensPerMs - (now - this._workStartedAt));
  }

  /** Counts a dispatch that goes to the engine. */
  public begin(ticket: Ticket, now: number): void {
    const hashes = listHashes(ticket);
    const cachedTokens = this._countCached(hashes, ticket.promptTokens, now);
    const wasAlone = this._pending.size === 0;
    if (wasAlone) {
      this._workStartedAt = now;
    }
    const missedTokens = ticket.promptTokens - cachedTokens;
    this._pending.set(ticket.requestId, { missedTokens, startedAt: now, wasAlone, hashes });
  }

  /** The prompt is computed, or the dispatch ended. Only the first call counts. */
  public end(requestId: string, isComputed: boolean, now: number): void {
    const pending = this._pending.get(requestId);
    if (pending === undefined) {
      return;
    }
    this._pending.delete(requestId);
    this._workStartedAt = now;
    if (isComputed) {
      this._updateSpeed(pending, now);
      for (const hash of pending.hashes) {
        this._recent.set(hash, now + EVENT_DELAY_MS);
      }
    }
    this._dropRecent(now);
  }

  /** Forgets what was computed, for an engine that lost its cache. */
  public clear(): void {
    this._recent.clear();
  }

  private _updateSpeed(pending: IPending, now: number): void {
    const elapsedMs = now - pending.startedAt;
    if (!pending.wasAlone || pending.missedTokens < MIN_SAMPLE_TOKENS || elapsedMs <= 0) {
      return;
    }
    const sample = pending.missedTokens / elapsedMs;
    const known = this._tokensPerMs ?? sample;
    this._tokensPerMs = known + (sample - known) * SAMPLE_WEIGHT;
  }

  private _countCached(hashes: readonly string[], promptTokens: number, now: number): number {
    const missedAt = hashes.findIndex((hash) => !this._isKnown(hash, now));
    const chunks = missedAt < 0 ? hashes.length : missedAt;
    return Math.min(promptTokens, chunks * CHUNK_TOKENS);
  }

  /** Cached, or computed before this dispatch would be. */
  private _isKnown(hash: string, now: number): boolean {
    if (this._isCached(hash) || (this._recent.get(hash) ?? 0) > now) {
      return true;
    }
    return [...this._pending.values()].some(({ hashes }) => hashes.includes(hash));
  }

  private _dropRecent(now: number): void {
    for (const [hash, until] of this._recent) {
      if (until > now) {
        return;
      }
      this._recent.delete(hash);
    }
  }
}

/** The load with the wait that the accepted prompts mean. */
export function addWait(
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
