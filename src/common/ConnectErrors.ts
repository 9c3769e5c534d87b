/** Tells errors of connections that were never made from those that broke later. */

/** Codes of connections that were never made. */
const NOT_CONNECTED_CODES: ReadonlySet<unknown> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * True when the error, or one that caused it, proves that no connection was made, so that nothing was
 * sent.
 *
 * @example
 * if (isNeverConnected(error)) return { kind: 'not_run' };
 */
export function isNeverConnected(error: unknown): boolean {
  let current: unknown = error;
  while (current instanceof Error) {
    if ('code' in current && NOT_CONNECTED_CODES.has(current.code)) {
      return true;
    }
    current = current.cause;
  }
  return false;
}
