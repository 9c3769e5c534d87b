/** Numbers for the 32-bit fields of messages. */

const MAX_UINT32 = 2 ** 32 - 1;

/**
 * Rounds to the nearest number that a field of type uint32 can hold; 0 for what is no number. A message with any
 * other number cannot be encoded, so that its sender would drop out of the exchanges.
 *
 * @example
 * create(PermitGrantSchema, { waitMs: clampToUint32(waitMs) });
 */
export function clampToUint32(value: number): number {
  return Number.isNaN(value) ? 0 : Math.min(MAX_UINT32, Math.max(0, Math.round(value)));
}
