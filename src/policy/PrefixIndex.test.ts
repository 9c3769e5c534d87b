import { describe, expect, it } from 'vitest';
import { createChain, createTarget } from './Fixtures.js';
import { PrefixIndex } from './PrefixIndex.js';

const FOREVER = (): number => Infinity;
const CHAIN = createChain('p', 4);

describe('PrefixIndex', () => {
  it('never uses evidence of a dead incarnation or of older weights', () => {
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

  it('does not revive old entries when the target is recorded anew', () => {
    const index = new PrefixIndex();
    const target = createTarget('t');
    index.record(target, CHAIN, 4, 0);
    index.record({ ...target, incarnation: 't/1' }, createChain('q', 1), 1, 1);
    expect(index.match(CHAIN, 2, FOREVER)).toEqual([]);
  });

  it('finds the longest unbroken prefix, so that a gap ends the match', () => {
    const index = new PrefixIndex();
    const target = createTarget('t');
    index.record(target, CHAIN, 4, 0);
    index.forget(target, CHAIN.slice(2, 3));
    expect(index.match(CHAIN, 1, FOREVER)).toEqual([{ targetId: 't', chunks: 2 }]);
  });

  it('drops old evidence, since engines evict unused chunks within seconds', () => {
    const index = new PrefixIndex({ maxAgeMs: 1_000 });
    const target = createTarget('t');
    index.record(target, CHAIN, 4, 0);
    expect(index.match(CHAIN, 500, () => 400)).toEqual([]);
    expect(index.match(CHAIN, 1_001, FOREVER)).toEqual([]);
    index.record(target, createChain('q', 1), 1, 2_000);
    expect(index.size).toBe(1);
  });

  it('stays within its bound and gives up the oldest entries first', () => {
    const index = new PrefixIndex({ maxEntries: 10 });
    const target = createTarget('t');
    for (let i = 0; i < 100; i += 1) {
      index.record(target, createChain(`p${i}`, 2), 2, i);
      expect(index.size).toBeLessThanOrEqual(10);
    }
    expect(index.match(createChain('p99', 2), 100, FOREVER)[0]?.chunks).toBe(2);
    expect(index.match(createChain('p0', 2), 100, FOREVER)).toEqual([]);
  });

  it('bounds the holders of one hot chunk, so that a decision does not walk the fleet', () => {
    const index = new PrefixIndex();
    for (let i = 0; i < 500; i += 1) {
      index.record(createTarget(`t-${i}`), CHAIN, 1, i);
    }
    const matches = index.match(CHAIN, 500, FOREVER);
    expect(matches).toHaveLength(64);
    expect(matches.some((match) => match.targetId === 't-499')).toBe(true);
  });
});
