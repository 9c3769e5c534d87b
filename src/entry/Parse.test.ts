import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { parseModelRequest } from './Parse.js';

describe('parseModelRequest', () => {
  it('returns a typed failure or a request for any bytes and never throws', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
        const parsed = parseModelRequest(Buffer.from(bytes));
        expect(parsed.ok || parsed.val.ran === 'no').toBe(true);
      }),
      { seed: 2, numRuns: 500 },
    );
  });

  it('returns a typed failure or a request for any JSON and never throws', () => {
    const field = fc.constantFrom('model', 'messages', 'prompt', 'stream', 'max_tokens', 'x');
    fc.assert(
      fc.property(fc.dictionary(field, fc.jsonValue()), (body) => {
        const parsed = parseModelRequest(Buffer.from(JSON.stringify(body)));
        expect(parsed.ok || parsed.val.message.length > 0).toBe(true);
      }),
      { seed: 3, numRuns: 1_000 },
    );
  });

  it.each([
    ['no model', { prompt: 'x' }],
    ['a negative limit', { model: 'm', prompt: 'x', max_tokens: -1 }],
    ['a limit that is not a number', { model: 'm', prompt: 'x', max_tokens: 'many' }],
    ['messages without content', { model: 'm', messages: [{ role: 'user' }] }],
    ['an empty list of messages', { model: 'm', messages: [] }],
  ])('refuses %s with bad_request', (_name, body) => {
    const parsed = parseModelRequest(Buffer.from(JSON.stringify(body)));
    expect(parsed.err && parsed.val.code).toBe('bad_request');
  });
});
