import { createHistogram } from 'node:perf_hooks';
import { describe, expect, it } from 'vitest';
import { ListMachine, TestCluster } from './TestCluster.js';
import { DEFAULT_TIMINGS } from './Timings.js';

/** RWW_MEASURE=1 runs longer and prints throughput and latency, which depend on the disk. */
const IS_MEASURING = process.env.RWW_MEASURE === '1';

const DURATION_MS = IS_MEASURING ? 4_000 : 200;

/** Size of the state, and so of each snapshot. */
const STATE_BYTES = Number(process.env.RWW_STATE_BYTES ?? 64 * 1024);

const COMMAND = Buffer.alloc(200, 'x');

const NANOSECONDS_PER_MS = 1e6;

/** Counts commands; the state has a fixed size, so that throughput does not depend on its growth. */
class CountingMachine extends ListMachine {
  public count = 0;

  public override apply(): Uint8Array {
    this.count += 1;
    return new Uint8Array();
  }

  public override snapshot(): Uint8Array {
    const state = Buffer.alloc(STATE_BYTES);
    state.writeUInt32LE(this.count);
    return state;
  }

  public override restore(snapshot: Uint8Array): void {
    this.count = Buffer.from(snapshot).readUInt32LE();
  }
}

interface IFigures {
  readonly count: number;
  readonly perSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Proposes from concurrent callers, each of which waits for its result before the next proposal. */
async function measureProposals(group: TestCluster, callers: number): Promise<IFigures> {
  const leader = await group.waitForLeader();
  const histogram = createHistogram();
  const startedAt = performance.now();
  let count = 0;
  const run = async (): Promise<void> => {
    while (performance.now() - startedAt < DURATION_MS) {
      const proposedAt = performance.now();
      const result = await leader.log.propose(COMMAND, AbortSignal.timeout(10_000));
      result.unwrap();
      count += 1;
      const elapsedMs = performance.now() - proposedAt;
      histogram.record(Math.max(1, Math.round(elapsedMs * NANOSECONDS_PER_MS)));
    }
  };
  await Promise.all(Array.from({ length: callers }, run));
  const perSecond = Math.round((count * 1_000) / (performance.now() - startedAt));
  const p50Ms = histogram.percentile(50) / NANOSECONDS_PER_MS;
  const p99Ms = histogram.percentile(99) / NANOSECONDS_PER_MS;
  return { count, perSecond, p50Ms, p99Ms };
}

describe('Concurrent proposals', () => {
  it('applies each command exactly once when concurrent callers share disk syncs and appends', async () => {
    const createMachine = (): CountingMachine => new CountingMachine(() => undefined);
    const group = await TestCluster.create(3, 1, DEFAULT_TIMINGS, createMachine);
    try {
      let total = 0;
      for (const callers of IS_MEASURING ? [1, 8, 64, 512] : [64]) {
        const figures = await measureProposals(group, callers);
        total += figures.count;
        if (IS_MEASURING) {
          console.log(JSON.stringify({ callers, stateBytes: STATE_BYTES, ...figures }));
        }
      }
      const leader = await group.waitForLeader();
      expect(leader.machine).toMatchObject({ count: total });
    } finally {
      await group.dispose();
    }
  }, 60_000);
});
