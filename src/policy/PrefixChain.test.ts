import { describe, expect, it } from 'vitest';
import { CHUNK_BYTES, hashPrefixChain } from './PrefixChain.js';

function createPrompt(chunks: number, extraBytes = 0): Uint8Array {
  const prompt = new Uint8Array(chunks * CHUNK_BYTES + extraBytes);
  prompt.forEach((_, index) => (prompt[index] = index % 251));
  return prompt;
}

describe('hashPrefixChain', () => {
  it('has no hash in common between salts, so that no client account matches another one', () => {
    const left = hashPrefixChain(createPrompt(4), 'account-a/w1');
    const right = new Set(hashPrefixChain(createPrompt(4), 'account-b/w1'));
    expect(left.filter((hash) => right.has(hash))).toEqual([]);
  });

  it('leaves out a partial chunk, which an engine would not cache', () => {
    expect(hashPrefixChain(createPrompt(2, CHUNK_BYTES - 1), 'salt')).toHaveLength(2);
    expect(hashPrefixChain(createPrompt(0, 10), 'salt')).toEqual([]);
  });

  it('changes all hashes from a changed chunk on, so that a different start never matches', () => {
    const prompt = createPrompt(4);
    const original = hashPrefixChain(prompt, 'salt');
    prompt[CHUNK_BYTES] = 255;
    const changed = hashPrefixChain(prompt, 'salt');
    expect(changed[0]).toBe(original[0]);
    expect(changed.slice(1).some((hash) => original.includes(hash))).toBe(false);
    expect(changed[0]).toMatch(/^[0-9a-f]{32}$/);
  });
});
