/** Computes the hash chain over the complete chunks of a prompt. */
import { digestSha256, encodeHex } from '../common/Hashes.js';
import type { ChainHash } from './Types.js';

/** Engines cache prompts in chunks of about this many tokens. */
export const CHUNK_TOKENS = 2_000;

/** Assumed for prompts whose token count is unknown. */
export const BYTES_PER_TOKEN = 4;

export const CHUNK_BYTES = CHUNK_TOKENS * BYTES_PER_TOKEN;

/** 128 bits make accidental collisions impossible in practice. */
const HASH_BYTES = 16;

/** Maximum length of a chain: a prompt of 8 MB, the largest body, has 1,000 chunks. */
const MAX_CHUNKS = 1_000;

/**
 * Hashes the complete chunks of a prompt; each hash also covers all chunks before it. The salt differs
 * between client accounts and weights versions, so that their chains have no hash in common.
 *
 * @example
 * const chain = hashPrefixChain(Buffer.from(prompt), cacheSalt);
 */
export function hashPrefixChain(prompt: Uint8Array, cacheSalt: string): ChainHash[] {
  const chain: ChainHash[] = [];
  const chunks = Math.min(MAX_CHUNKS, Math.floor(prompt.length / CHUNK_BYTES));
  let parent = digestSha256(cacheSalt).subarray(0, HASH_BYTES);
  for (let i = 0; i < chunks; i += 1) {
    const chunk = prompt.subarray(i * CHUNK_BYTES, (i + 1) * CHUNK_BYTES);
    parent = digestSha256(parent, chunk).subarray(0, HASH_BYTES);
    chain.push(encodeHex(parent));
  }
  return chain;
}

/** Estimated number of tokens in a prompt of the given number of UTF-8 bytes. */
export function estimateTokens(bytes: number): number {
  return Math.ceil(bytes / BYTES_PER_TOKEN);
}
