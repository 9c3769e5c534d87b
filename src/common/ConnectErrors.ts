/** Distinguishes connections that were never established from those that broke later. */

/** Error codes that occur only before a connection is established. */
const NOT_CONNECTED_CODES: ReadonlySet<unknown> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * True when the error, or one in its chain of causes, proves that no connection was established. The
 * request was not sent then, and repeating it is safe.
 *
 * @example
 * if (isConnectFailure(error)) return { kind: 'not_run' };
 */
export function isConnectFailure(error: unknown): boolean {
  let current: unknown = error;
  while (current instanceof Error) {
    if ('code' in current && NOT_CONNECTED_CODES.has(current.code)) {
      return true;
    }
    current = current.cause;
  }
  return false;
}
