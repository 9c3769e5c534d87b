import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { SseScanner, StreamOrderError } from './SseScanner.js';

function buildStream(tokens: number): Buffer {
  const events = Array.from({ length: tokens }, (_, index) => `id: ${index + 1}\ndata: {}\n\n`);
  const usage = '{"usage":{"prompt_tokens":9,"completion_tokens":3}}';
  events.push(`id: ${tokens + 1}\ndata: ${usage}\n\n`);
  events.push(`id: ${tokens + 2}\ndata: [DONE]\n\n`);
  return Buffer.from(events.join(''));
}

describe('SseScanner', () => {
  it('returns every byte once, wherever the chunks are split', () => {
    const stream = buildStream(5);
    fc.assert(
      fc.property(fc.array(fc.nat(stream.length), { maxLength: 12 }), (cuts) => {
        const places = [0, ...cuts.sort((left, right) => left - right), stream.length];
        const scanner = new SseScanner();
        const parts = places
          .slice(1)
          .map((end, index) => scanner.push(stream.subarray(places[index], end)));
        expect(Buffer.concat(parts).equals(stream)).toBe(true);
        expect(scanner.isDone).toBe(true);
        expect(scanner.usage?.outputTokens).toBe(3);
        expect(scanner.eventCount).toBe(7);
      }),
      { seed: 1, numRuns: 200 },
    );
  });

  it.each([
    ['a lost event', 'id: 1\ndata: a\n\nid: 3\ndata: c\n\n'],
    ['a duplicated event', 'id: 1\ndata: a\n\nid: 1\ndata: a\n\n'],
  ])('rejects %s', (_name, stream) => {
    expect(() => new SseScanner().push(Buffer.from(stream))).toThrow(StreamOrderError);
  });

  it('does not return an incomplete event, so that a resumed stream repeats nothing', () => {
    const scanner = new SseScanner();
    const first = scanner.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
    expect(first.toString()).toBe('id: 1\ndata: a\n\n');
    scanner.dropIncompleteEvent();
    expect(scanner.lastEventId).toBe(1);
    expect(scanner.push(Buffer.from('id: 2\ndata: b\n\n')).toString()).toContain('b');
  });

  it('does not report a stream without its final event as done', () => {
    const scanner = new SseScanner();
    scanner.push(Buffer.from('id: 1\ndata: a\n\n'));
    expect(scanner.isDone).toBe(false);
  });
});
