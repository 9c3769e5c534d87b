import { describe, expect, it } from 'vitest';
import { explainTail, type ITailSample } from './Tail.js';

const SLOW = { heldMs: 0, waitMs: 900, unseenMs: 0, prefillMs: 100, bestMs: 100, ttftMs: 1_000 };

function explainOne(changes: Partial<ITailSample>): string {
  return explainTail([{ ...SLOW, ...changes }]);
}

describe('explainTail', () => {
  it('tells the causes apart, so that a round does not start from the wrong one', () => {
    expect(explainOne({})).toContain('known queue 100%');
    expect(explainOne({ unseenMs: 800 })).toContain('unseen queue 100%');
    expect(explainOne({ waitMs: 100, prefillMs: 900 })).toContain('recomputation 100%');
    expect(explainOne({ bestMs: 950 })).toContain('no faster engine 100%');
    expect(explainOne({ heldMs: 900, waitMs: 50 })).toContain('held at the entry 100%');
    expect(explainOne({ waitMs: 100 })).toContain('overtaken 100%');
  });
});
