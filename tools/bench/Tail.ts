/** Explains what the slowest requests of a run waited for. */
import { MEAN_REPORT_AGE_MS } from './Engine.js';

/** Fraction of the requests that counts as the tail. */
const TAIL_FRACTION = 0.01;

/** A component above this fraction of the total time counts as the main cause. */
const MAIN_CAUSE_FRACTION = 0.5;

/** Exact times of one request at its last dispatch, which no entry can know. */
export interface ITailSample {
  /** Time from the arrival to the first token. */
  readonly ttftMs: number;
  /** Time from the arrival to the last dispatch. */
  readonly entryWaitMs: number;
  /** Wait in the queue of the chosen engine. */
  readonly engineWaitMs: number;
  /** Part of that wait for jobs that other entries sent too recently to be in a load report. */
  readonly unseenWaitMs: number;
  /** Prefill time at the chosen engine. */
  readonly prefillMs: number;
  /** Wait and prefill time at the engine where their sum is smallest. */
  readonly bestEngineMs: number;
}

/** Main cause of a slow request, as printed. */
export type TailCause =
  | 'held at the entry'
  | 'unseen queue'
  | 'known queue'
  | 'recomputation'
  | 'no faster engine'
  | 'overtaken';

function findCause(sample: ITailSample): TailCause {
  const { ttftMs, entryWaitMs, engineWaitMs, unseenWaitMs, prefillMs, bestEngineMs } = sample;
  const thresholdMs = ttftMs * MAIN_CAUSE_FRACTION;
  if (entryWaitMs > thresholdMs) {
    return 'held at the entry';
  }
  if (ttftMs - entryWaitMs - engineWaitMs - prefillMs > thresholdMs) {
    return 'overtaken';
  }
  if (bestEngineMs > (engineWaitMs + prefillMs) * (1 - MAIN_CAUSE_FRACTION / 2)) {
    return 'no faster engine';
  }
  if (prefillMs > engineWaitMs) {
    return 'recomputation';
  }
  return unseenWaitMs > engineWaitMs * MAIN_CAUSE_FRACTION ? 'unseen queue' : 'known queue';
}

/** Formats the percentages of the causes among the slowest requests of all samples. */
export function explainTail(samples: readonly ITailSample[]): string {
  const sorted = [...samples].sort((a, b) => b.ttftMs - a.ttftMs);
  const tail = sorted.slice(0, Math.ceil(sorted.length * TAIL_FRACTION));
  const counts = new Map<TailCause, number>();
  for (const sample of tail) {
    const cause = findCause(sample);
    counts.set(cause, (counts.get(cause) ?? 0) + 1);
  }
  const shares = [...counts]
    .sort((a, b) => b[1] - a[1])
    .map(([cause, count]) => `${cause} ${Math.round((100 * count) / tail.length)}%`);
  return `slowest ${tail.length} of ${samples.length} (report lag ${MEAN_REPORT_AGE_MS} ms): ${shares.join(', ')}`;
}
