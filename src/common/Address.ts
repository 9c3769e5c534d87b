/** Addresses by IP number and port. */

/** Splits `ip:port`; the schema has checked the form. */
export function parseAddress(address: string): { readonly host: string; readonly port: number } {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
}
