/** Parsing of IP addresses with a port. */
import { isIPv4 } from 'node:net';

const MAX_PORT = 65_535;
const PORT = /^[1-9]\d{0,4}$/;

const UNSPECIFIED_HOST = '0.0.0.0';

/** Splits `ip:port` or `[ipv6]:port`. Does not validate: the settings schema has checked the form. */
export function parseAddress(address: string): { readonly host: string; readonly port: number } {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
}

/** True for `ipv4:port` to which a connection can be opened. The unspecified address would name this machine. */
export function isUsableAddress(address: string): boolean {
  const [host = '', port = '', ...rest] = address.split(':');
  return (
    rest.length === 0 &&
    isIPv4(host) &&
    host !== UNSPECIFIED_HOST &&
    PORT.test(port) &&
    Number(port) <= MAX_PORT
  );
}
