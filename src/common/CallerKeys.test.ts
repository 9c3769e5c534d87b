import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createCallerKey, parseCallerKey, verifyCallerKey } from './CallerKeys.js';

describe('caller keys', () => {
  it('verify only with their own secret, so that no key gives access to another account', () => {
    const first = createCallerKey('bindery');
    const second = createCallerKey('lace');
    const secret = parseCallerKey(first.text)?.secret ?? '';
    expect(verifyCallerKey(first.record, secret)).toBe(true);
    expect(verifyCallerKey(second.record, secret)).toBe(false);
    expect(verifyCallerKey(undefined, secret)).toBe(false);
  });

  it('stop verifying once withdrawn, so that a revoked key is refused', () => {
    const { text, record } = createCallerKey('bindery');
    const secret = parseCallerKey(text)?.secret ?? '';
    expect(verifyCallerKey({ ...record, withdrawn: true }, secret)).toBe(false);
  });

  it('keep the secret out of the record, so that a copy of the state reveals no key', () => {
    const { text, record } = createCallerKey('bindery');
    const secret = Buffer.from(parseCallerKey(text)?.secret ?? 'x');
    expect(Buffer.from(record.salt).includes(secret)).toBe(false);
    expect(Buffer.from(record.secretHmac).includes(secret)).toBe(false);
    expect(createCallerKey('bindery').record.salt).not.toEqual(record.salt);
  });

  it('are undefined when the text is malformed, so that a damaged header never throws', () => {
    const { text } = createCallerKey('bindery');
    for (const damaged of [text.slice(1), text + 'a', text.toUpperCase(), `${text}\n`, '']) {
      expect(parseCallerKey(damaged)).toBeUndefined();
    }
    fc.assert(
      fc.property(fc.string(), (noise) => {
        expect(parseCallerKey(noise)).toBeUndefined();
      }),
    );
  });
});
