/** Guards against processes that do not hear which targets hold a part, and against lists without bound. */
import { create } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { PromptReadingSchema, type PromptReading } from '../gen/redwingwharf/v1/fleet_pb.js';
import { ReadingBoard } from './ReadingBoard.js';

function buildReading(part: number, target = 'i-1'): PromptReading {
  return create(PromptReadingSchema, { part, target, born: 1_000, weightsVersion: 2n });
}

describe('ReadingBoard', () => {
  it('tells each process once what the others have reported', () => {
    const board = new ReadingBoard();
    board.take('a', [buildReading(1), buildReading(2)]);
    board.take('b', [buildReading(3)]);
    const news = board.listNews('b', 0);
    expect(news.readings.map(({ part }) => part)).toEqual([1, 2]);
    expect(board.listNews('b', news.revision).readings).toEqual([]);
    expect(board.listNews('a', 0).readings.map(({ part }) => part)).toEqual([3]);
  });

  it('tells a reading again when it was made again', () => {
    const board = new ReadingBoard();
    board.take('a', [buildReading(1)]);
    const { revision } = board.listNews('b', 0);
    board.take('a', [buildReading(1)]);
    expect(board.listNews('b', revision).readings).toHaveLength(1);
  });

  it('keeps the newest when there are too many for one answer', () => {
    const board = new ReadingBoard();
    board.take(
      'a',
      Array.from({ length: 5_000 }, (_, i) => buildReading(i)),
    );
    const { readings } = board.listNews('b', 0);
    expect(readings).toHaveLength(128);
    expect(readings.at(-1)?.part).toBe(4_999);
  });
});
