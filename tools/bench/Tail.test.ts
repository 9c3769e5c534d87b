import { describe, expect, it } from 'vitest';
import { explainTail, type ITailSample } from './Tail.js';

const SLOW_SAMPLE = {
  entryWaitMs: 0,
  engineWaitMs: 900,
  unseenWaitMs: 0,
  prefillMs: 100,
  bestEngineMs: 100,
  ttftMs: 1_000,
};

function explainOne(changes: Partial<ITailSample>): string {
  return explainTail([{ ...SLOW_SAMPLE, ...changes }]);
}

describe('explainTail', () => {
  // A wrong cause would direct the next change of a policy at the wrong component.
  it('names the component that dominates the time to first token', () => {
    expect(explainOne({})).toContain('known queue 100%');
    expect(explainOne({ unseenWaitMs: 800 })).toContain('unseen queue 100%');
    expect(explainOne({ engineWaitMs: 100, prefillMs: 900 })).toContain('recomputation 100%');
    expect(explainOne({ bestEngineMs: 950 })).toContain('no faster engine 100%');
    expect(explainOne({ entryWaitMs: 900, engineWaitMs: 50 })).toContain('held at the entry 100%');
    expect(explainOne({ engineWaitMs: 100 })).toContain('overtaken 100%');
  });
});
