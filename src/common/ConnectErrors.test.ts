import { createServer, type AddressInfo } from 'node:net';
import { once } from 'node:events';
import { Client } from 'undici';
import { afterEach, describe, expect, it } from 'vitest';
import { isConnectFailure } from './ConnectErrors.js';

async function callPort(port: number): Promise<unknown> {
  const client = new Client(`http://127.0.0.1:${port}`);
  try {
    await client.request({ path: '/', method: 'POST', body: 'x' });
    return undefined;
  } catch (error) {
    return error;
  } finally {
    await client.destroy();
  }
}

describe('isConnectFailure', () => {
  const server = createServer((socket) => {
    socket.once('data', () => socket.destroy());
  });

  afterEach(() => {
    server.close();
  });

  it('is true for a refused connection, and false for one that broke after the request was sent', async () => {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    expect(isConnectFailure(await callPort(port))).toBe(false);
    server.close();
    await once(server, 'close');
    expect(isConnectFailure(await callPort(port))).toBe(true);
  });

  it('finds the error code in the cause of a wrapped error', () => {
    const cause = Object.assign(new Error('refused'), { code: 'ECONNREFUSED' });
    expect(isConnectFailure(new Error('call failed', { cause }))).toBe(true);
    expect(isConnectFailure(Object.assign(new Error('reset'), { code: 'ECONNRESET' }))).toBe(false);
  });
});
