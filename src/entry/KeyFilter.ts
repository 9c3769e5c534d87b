/** Finds keys of callers in what would go to a target. */

import { parseCallerKey } from '../common/CallerKeys.js';

/** The form of a key anywhere in a text. */
const KEY_FORM = /rww_[0-9a-f]{12}_[A-Za-z0-9_-]{43}/i;

/** Rounds of percent-decoding; a text that is still encoded after them is treated as if it held a key. */
const MAX_DECODINGS = 4;

/** True when the text holds something in the form of a key, percent-encoded or not. */
export function hasKeyForm(text: string): boolean {
  let decoded = text;
  for (let round = 0; round < MAX_DECODINGS; round++) {
    if (KEY_FORM.test(decoded)) {
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
 * True when the body holds one of the keys, also with characters in percent or JSON escapes. Other
 * encodings, for instance base64, are not searched.
 */
export function hasKeyInBody(body: Buffer, keys: readonly string[]): boolean {
  const wellFormed = keys.filter((key) => parseCallerKey(key) !== undefined);
  if (body.length === 0 || wellFormed.length === 0) {
    return false;
  }
  const text = body.toString('latin1');
  return wellFormed.some((key) => buildPattern(key).test(text));
}

/** Decodes ASCII escapes only, so that malformed or other escapes cannot fail. */
function decodePercent(text: string): string {
  return text.replace(/%([0-7][0-9a-f])/gi, (_, hex: string) =>
    String.fromCharCode(parseInt(hex, 16)),
  );
}

/** Letters, digits, "_" and "-" stand for themselves in a pattern. */
function buildPattern(key: string): RegExp {
  const parts = Array.from(key, (character) => {
    const hex = character.charCodeAt(0).toString(16);
    const digits = Array.from(hex, (digit) => `[${digit}${digit.toUpperCase()}]`).join('');
    return `(?:${character}|%${digits}|\\\\u00${digits})`;
  });
  return new RegExp(parts.join(''));
}
