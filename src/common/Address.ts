/** Parsing of IP addresses with a port. */

/** Splits `ip:port` or `[ipv6]:port`. Does not validate: the settings schema has checked the form. */
export function parseAddress(address: string): { readonly host: string; readonly port: number } {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
}
