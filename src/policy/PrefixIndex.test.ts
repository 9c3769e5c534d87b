import { describe, expect, it } from 'vitest';
import { createChain, createTarget } from './Fixtures.js';
import { PrefixIndex } from './PrefixIndex.js';

const FOREVER = (): number => Infinity;
const CHAIN = createChain('p', 4);

describe('PrefixIndex', () => {
  it('never uses evidence of an earlier incarnation or of other weights', () => {
    const index = new PrefixIndex();
    const target = createTarget('t');
    index.record(target, CHAIN, 4, 0);
    index.reconcile({ ...target, incarnation: 't/1' });
    expect(index.match(CHAIN, 1, FOREVER)).toEqual([]);
    index.record(target, CHAIN, 4, 2);
    index.reconcile({ ...target, weightsVersion: 'w2' });
    expect(index.match(CHAIN, 3, FOREVER)).toEqual([]);
    expect(index.listAges(target, CHAIN, 3)).toEqual([]);
  });

  it('does not restore entries of an earlier incarnation when a new one is recorded', () => {
    const index = new PrefixIndex();
    const target = createTarget('t');
    index.record(target, CHAIN, 4, 0);
    index.record({ ...target, incarnation: 't/1' }, createChain('q', 1), 1, 1);
    expect(index.match(CHAIN, 2, FOREVER)).toEqual([]);
  });

  it('ends a match at the first chunk without evidence', () => {
    const index = new PrefixIndex();
    const target = createTarget('t');
    index.record(target, CHAIN, 4, 0);
    index.removeChunks(target, CHAIN.slice(2, 3));
    expect(index.match(CHAIN, 1, FOREVER)).toEqual([{ targetId: 't', chunks: 2 }]);
  });

  it('ignores and drops old evidence, since engines evict unused chunks within seconds', () => {
    const index = new PrefixIndex({ maxAgeMs: 1_000 });
    const target = createTarget('t');
    index.record(target, CHAIN, 4, 0);
    expect(index.match(CHAIN, 500, () => 400)).toEqual([]);
    expect(index.match(CHAIN, 1_001, FOREVER)).toEqual([]);
    index.record(target, createChain('q', 1), 1, 2_000);
    expect(index.size).toBe(1);
  });

  it('never exceeds its maximum size and removes the oldest entries first', () => {
    const index = new PrefixIndex({ maxEntries: 10 });
    const target = createTarget('t');
    for (let i = 0; i < 100; i += 1) {
      index.record(target, createChain(`p${i}`, 2), 2, i);
      expect(index.size).toBeLessThanOrEqual(10);
    }
    expect(index.match(createChain('p99', 2), 100, FOREVER)[0]?.chunks).toBe(2);
    expect(index.match(createChain('p0', 2), 100, FOREVER)).toEqual([]);
  });

  it('limits the holders of a hot chunk, so that the cost of a match does not grow with the fleet', () => {
    const index = new PrefixIndex();
    for (let i = 0; i < 500; i += 1) {
      index.record(createTarget(`t-${i}`), CHAIN, 1, i);
    }
    const matches = index.match(CHAIN, 500, FOREVER);
    expect(matches).toHaveLength(64);
    expect(matches.some((match) => match.targetId === 't-499')).toBe(true);
  });
});
