/** SHA-256 digests, HMACs, byte comparison and random identifiers. */
import { createHash, createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

/** Length of random identifiers: collisions of 128 random bits do not occur in practice. */
const IDENTIFIER_BYTES = 16;

/** SHA-256 of the concatenated parts. */
export function digestSha256(...parts: readonly (string | Uint8Array)[]): Uint8Array {
  const hash = createHash('sha256');
  for (const part of parts) {
    hash.update(part);
  }
  return new Uint8Array(hash.digest());
}

/** HMAC-SHA-256 of the concatenated parts. */
export function signHmac(
  key: string | Uint8Array,
  ...parts: readonly (string | Uint8Array)[]
): Uint8Array {
  const hmac = createHmac('sha256', key);
  for (const part of parts) {
    hmac.update(part);
  }
  return new Uint8Array(hmac.digest());
}

/** True when both hold the same bytes. Takes constant time for values of the same length. */
export function compareSecret(left: Uint8Array, right: Uint8Array): boolean {
  return left.length === right.length && timingSafeEqual(left, right);
}

/** Generates an identifier of 128 random bits. */
export function generateIdentifier(): Uint8Array {
  return new Uint8Array(randomBytes(IDENTIFIER_BYTES));
}

/** Formats bytes as lower-case hexadecimal digits. */
export function encodeHex(bytes: Uint8Array): string {
  return Buffer.from(bytes).toString('hex');
}

/** True when both hold the same bytes. Not for secrets, since the time depends on the content. */
export function hasSameBytes(left: Uint8Array, right: Uint8Array): boolean {
  return Buffer.compare(left, right) === 0;
}
