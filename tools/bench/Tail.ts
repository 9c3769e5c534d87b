/** What the slowest requests of a run waited for. */
import { REPORT_LAG_MS } from './Engine.js';

/** Part of the requests that counts as slowest. */
const TAIL_SHARE = 0.01;

/** A part of the time above this share of the whole counts as the cause. */
const CAUSE_SHARE = 0.5;

/** One request at its last dispatch; exact times, which no entry knows. */
export interface ITailSample {
  /** From the arrival to the first token. */
  readonly ttftMs: number;
  /** From the arrival to the last dispatch. */
  readonly heldMs: number;
  /** Queue at the chosen engine. */
  readonly waitMs: number;
  /** The part of the queue that other entries sent within the lag of the reports. */
  readonly unseenMs: number;
  /** Own prefill at the chosen engine. */
  readonly prefillMs: number;
  /** Queue and prefill at the engine with the smallest sum. */
  readonly bestMs: number;
}

export type TailCause =
  | 'held at the entry'
  | 'unseen queue'
  | 'known queue'
  | 'recomputation'
  | 'no faster engine'
  | 'overtaken';

function findCause(sample: ITailSample): TailCause {
  const { ttftMs, heldMs, waitMs, unseenMs, prefillMs, bestMs } = sample;
  const limit = ttftMs * CAUSE_SHARE;
  if (heldMs > limit) {
    return 'held at the entry';
  }
  if (ttftMs - heldMs - waitMs - prefillMs > limit) {
    return 'overtaken';
  }
  if (bestMs > (waitMs + prefillMs) * (1 - CAUSE_SHARE / 2)) {
    return 'no faster engine';
  }
  if (prefillMs > waitMs) {
    return 'recomputation';
  }
  return unseenMs > waitMs * CAUSE_SHARE ? 'unseen queue' : 'known queue';
}

/** Shares of the causes among the slowest requests of all runs. */
export function explainTail(samples: readonly ITailSample[]): string {
  const sorted = [...samples].sort((a, b) => b.ttftMs - a.ttftMs);
  const tail = sorted.slice(0, Math.ceil(sorted.length * TAIL_SHARE));
  const counts = new Map<TailCause, number>();
  for (const sample of tail) {
    const cause = findCause(sample);
    counts.set(cause, (counts.get(cause) ?? 0) + 1);
  }
  const shares = [...counts]
    .sort((a, b) => b[1] - a[1])
    .map(([cause, count]) => `${cause} ${Math.round((100 * count) / tail.length)}%`);
  return `slowest ${tail.length} of ${samples.length} (report lag ${REPORT_LAG_MS} ms): ${shares.join(', ')}`;
}
