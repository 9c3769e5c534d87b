/** Finds free ports on loopback. */
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';

/**
 * Finds distinct free ports by binding all of them before any is closed. They are not reserved
 * afterwards.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  for (const server of servers) {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  }
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  for (const server of servers) {
    server.close();
    await once(server, 'close');
  }
  return ports;
}
