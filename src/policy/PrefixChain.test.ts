import { describe, expect, it } from 'vitest';
import { CHUNK_BYTES, hashPrefixChain } from './PrefixChain.js';

function createPrompt(chunks: number, extraBytes = 0): Uint8Array {
  const prompt = new Uint8Array(chunks * CHUNK_BYTES + extraBytes);
  prompt.forEach((_, index) => (prompt[index] = index % 251));
  return prompt;
}

describe('hashPrefixChain', () => {
  it('shares no hash between salts, so that client accounts never match chunks of each other', () => {
    const left = hashPrefixChain(createPrompt(4), 'account-a/w1');
    const right = new Set(hashPrefixChain(createPrompt(4), 'account-b/w1'));
    expect(left.filter((hash) => right.has(hash))).toEqual([]);
  });

  it('omits an incomplete last chunk, which an engine would not cache', () => {
    expect(hashPrefixChain(createPrompt(2, CHUNK_BYTES - 1), 'salt')).toHaveLength(2);
    expect(hashPrefixChain(createPrompt(0, 10), 'salt')).toEqual([]);
  });

  it('changes the hashes of a changed chunk and all later ones, so that only equal prefixes match', () => {
    const prompt = createPrompt(4);
    const original = hashPrefixChain(prompt, 'salt');
    prompt[CHUNK_BYTES] = 255;
    const changed = hashPrefixChain(prompt, 'salt');
    expect(changed[0]).toBe(original[0]);
    expect(changed.slice(1).some((hash) => original.includes(hash))).toBe(false);
    expect(changed[0]).toMatch(/^[0-9a-f]{32}$/);
  });
});
