/**
 * Guards against torn, missing or duplicated events in a stream that is resumed at another target: these
 * occur if part of an event is relayed before the first target fails.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { EventFramer, hasUnnumberedEnd, MAX_EVENT_BYTES } from './EventFramer.js';

const EVENTS = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\ndata: c\n\n', 'id:3\r\ndata: d\r\n\r\n'];

describe('EventFramer', () => {
  it('returns complete events only, wherever the chunks are split', () => {
    const text = EVENTS.join('');
    fc.assert(
      fc.property(fc.array(fc.nat({ max: text.length }), { maxLength: 120 }), (cuts) => {
        const framer = new EventFramer();
        const points = [0, ...cuts.sort((left, right) => left - right), text.length];
        let relayed = '';
        let lastId: number | undefined;
        for (let i = 1; i < points.length; i += 1) {
          const framed = framer.push(Buffer.from(text.slice(points[i - 1], points[i])));
          relayed += framed.bytes.toString();
          lastId = framed.lastId ?? lastId;
          const whole = EVENTS.map((_, count) => EVENTS.slice(0, count).join(''));
          expect([...whole, text]).toContain(relayed);
        }
        expect(relayed).toBe(text);
        expect(lastId).toBe(3);
      }),
    );
  });

  it.each([
    ['nothing', '', false],
    ['a blank line', '\r\n', false],
    ['comments', ': ping\n:\r\n', false],
    ['part of a comment', ': pi', true],
    ['a field', 'data: a\n', true],
    ['a field after a comment', ': ping\nid: 2\n', true],
  ])('tells whether a stream ends inside an event: %s', (_name, rest, isInside) => {
    const framer = new EventFramer();
    framer.push(Buffer.from(`id: 1\ndata: a\n\n${rest}`));
    expect(framer.isInsideEvent).toBe(isInside);
  });

  // Copying what is buffered for each chunk took seconds, in which the process did nothing else.
  it('takes an event without end in chunks of one byte in less than a second', () => {
    const framer = new EventFramer();
    const byte = Buffer.from('x');
    const startedAt = performance.now();
    while (!framer.isOverlong) {
      framer.push(byte);
    }
    expect(performance.now() - startedAt).toBeLessThan(1_000);
    expect(framer.incomplete.toString()).toBe('x'.repeat(MAX_EVENT_BYTES + 1));
  });

  // A CR before LF could belong to the comment or to the end of its line, so the time doubled with each of them.
  it.each([': ping\r\n', ': \r \r\n', '\r\n', ':\r\r\r\r\n'])(
    'tells in milliseconds that an event follows 26 lines %j',
    (line) => {
      const events = Buffer.from(`${line.repeat(26)}xd: 1\ndata: a\n\n`);
      const startedAt = performance.now();
      const framer = new EventFramer();
      expect(hasUnnumberedEnd(framer.push(events).bytes)).toBe(true);
      framer.push(events.subarray(0, events.length - 2));
      expect(framer.isInsideEvent).toBe(true);
      expect(performance.now() - startedAt).toBeLessThan(100);
    },
  );

  it('buffers the bytes of an incomplete event', () => {
    const framer = new EventFramer();
    const { bytes, lastId } = framer.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
    expect(bytes.toString()).toBe('id: 1\ndata: a\n\n');
    expect(lastId).toBe(1);
    expect(framer.incomplete.toString()).toBe('id: 2\nda');
  });
});
