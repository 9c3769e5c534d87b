/** Detects keys of callers in data that would be forwarded to a target. */

import { parseCallerKey } from '../common/CallerKeys.js';

/** Matches a caller's key anywhere in a text. */
const KEY_PATTERN = /rww_[0-9a-f]{12}_[A-Za-z0-9_-]{43}/i;

/** A text that is still percent-encoded after this many rounds is treated as if it contained a key. */
const MAX_DECODING_ROUNDS = 4;

/** True if the text contains something that looks like a key, percent-encoded or not. */
export function mayContainKey(text: string): boolean {
  let decoded = text;
  for (let round = 0; round < MAX_DECODING_ROUNDS; round++) {
    if (KEY_PATTERN.test(decoded)) {
      return true;
    }
    const next = decodePercent(decoded);
    if (next === decoded) {
      return false;
    }
    decoded = next;
  }
  return true;
}

/**
 * True if the body contains one of the keys, plain or with characters as percent or JSON escapes. Keys in
 * other encodings, such as base64, are not found.
 */
export function hasKeyInBody(body: Buffer, keys: readonly string[]): boolean {
  const wellFormed = keys.filter((key) => parseCallerKey(key) !== undefined);
  if (body.length === 0 || wellFormed.length === 0) {
    return false;
  }
  const text = body.toString('latin1');
  return wellFormed.some((key) => buildKeyPattern(key).test(text));
}

/** Decodes only ASCII escapes and leaves all others, so it never throws on malformed input. */
function decodePercent(text: string): string {
  return text.replace(/%([0-7][0-9a-f])/gi, (_, hex: string) =>
    String.fromCharCode(parseInt(hex, 16)),
  );
}

/** Matches a key in any mix of plain and escaped characters. Its characters need no escape in a RegExp. */
function buildKeyPattern(key: string): RegExp {
  const parts = Array.from(key, (character) => {
    const hex = character.charCodeAt(0).toString(16);
    const digits = Array.from(hex, (digit) => `[${digit}${digit.toUpperCase()}]`).join('');
    return `(?:${character}|%${digits}|\\\\u00${digits})`;
  });
  return new RegExp(parts.join(''));
}
