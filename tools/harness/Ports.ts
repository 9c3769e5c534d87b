import { once } from 'node:events';
import { createServer, type Server } from 'node:net';

/** Below the ports that the system gives to outgoing connections, which might take one before it is used. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 22_000;

const MAX_ATTEMPTS = 100;

/**
 * Finds distinct ports that are free on all addresses by binding all of them before any is closed. They are not reserved
 * afterwards.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = new Map<number, Server>();
  for (let attempt = 0; servers.size < count; attempt += 1) {
    if (attempt >= count + MAX_ATTEMPTS) {
      throw new Error(`found ${servers.size} free ports, but ${count} are needed`);
    }
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    const server = createServer().listen(port, '0.0.0.0');
    try {
      await once(server, 'listening');
      servers.set(port, server);
    } catch {
      // The port is in use: try another one.
    }
  }
  for (const server of servers.values()) {
    server.close();
    await once(server, 'close');
  }
  return [...servers.keys()];
}
