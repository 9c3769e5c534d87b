/**
 * Guards against processes that don't learn which targets hold a prompt part, and against unbounded lists.
 */
import { create } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { PromptReadingSchema, type PromptReading } from '../gen/redwingwharf/v1/fleet_pb.js';
import { RecentReadings } from './RecentReadings.js';

function buildReading(part: number, target = 'i-1'): PromptReading {
  return create(PromptReadingSchema, { part, target, born: 1_000, weightsVersion: 2n });
}

describe('RecentReadings', () => {
  it('returns each reading once to each process except the reporting one', () => {
    const recent = new RecentReadings();
    recent.add('a', [buildReading(1), buildReading(2)]);
    recent.add('b', [buildReading(3)]);
    const delta = recent.listSince('b', 0);
    expect(delta.readings.map(({ part }) => part)).toEqual([1, 2]);
    expect(recent.listSince('b', delta.revision).readings).toEqual([]);
    expect(recent.listSince('a', 0).readings.map(({ part }) => part)).toEqual([3]);
  });

  it('returns a reading again when it was reported again', () => {
    const recent = new RecentReadings();
    recent.add('a', [buildReading(1)]);
    const { revision } = recent.listSince('b', 0);
    recent.add('a', [buildReading(1)]);
    expect(recent.listSince('b', revision).readings).toHaveLength(1);
  });

  it('returns the newest readings when there are too many for one answer', () => {
    const recent = new RecentReadings();
    recent.add(
      'a',
      Array.from({ length: 5_000 }, (_, i) => buildReading(i)),
    );
    const { readings } = recent.listSince('b', 0);
    expect(readings).toHaveLength(128);
    expect(readings.at(-1)?.part).toBe(4_999);
  });
});
