/** Guards against probes that a later leader grants anew, because the record of the first one is lost or not found. */
import { describe, expect, it } from 'vitest';
import { ProbeRecords } from './ProbeRecords.js';

describe('ProbeRecords', () => {
  it('counts the probes of any of the parts, whatever others are listed with them', () => {
    const records = new ProbeRecords();
    records.add({ parts: [1, 2], count: 1 });
    records.add({ parts: [2, 3], count: 2 });
    expect(records.getCount([2])).toBe(2);
    expect(records.getCount([1, 9])).toBe(1);
    expect(records.getCount([9])).toBe(0);
  });

  it('replaces a record of the same parts in any order, and drops it with count 0', () => {
    const records = new ProbeRecords();
    records.add({ parts: [1, 2], count: 1 });
    records.add({ parts: [2, 1], count: 2 });
    expect(records.list()).toHaveLength(1);
    records.add({ parts: [1, 2], count: 0 });
    expect(records.list()).toEqual([]);
  });

  it('keeps the newest records', () => {
    const records = new ProbeRecords();
    for (let part = 1; part <= 2_000; part += 1) {
      records.add({ parts: [part], count: 1 });
    }
    expect(records.list()).toHaveLength(1_024);
    expect(records.getCount([1])).toBe(0);
    expect(records.getCount([2_000])).toBe(1);
  });
});
