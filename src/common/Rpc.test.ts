/** Guards against calls between processes that slow links cannot carry in time. */
import { create } from '@bufbuild/protobuf';
import { once } from 'node:events';
import { createServer as createHttpServer } from 'node:http';
import { connect, createServer, type AddressInfo, type Server } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import {
  FleetCommandSchema,
  FleetDocumentSchema,
  FleetService,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { createRpcHandler, RpcClients } from './Rpc.js';

const servers: Server[] = [];
const clients = new RpcClients('secret');

afterEach(() => {
  for (const server of servers.splice(0)) {
    server.close();
  }
  clients.dispose();
});

async function listen(server: Server): Promise<number> {
  servers.push(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

describe('a call between processes', () => {
  it('takes a fraction of the length of a large configuration', async () => {
    const lengths: number[] = [];
    const handler = createRpcHandler((router) => {
      router.service(FleetService, {
        submit: ({ command }) => {
          lengths.push(
            command?.body.case === 'putDocument' ? command.body.value.content.length : 0,
          );
          return { committed: true };
        },
      });
    });
    const port = await listen(createHttpServer(handler));
    let sentBytes = 0;
    const proxyPort = await listen(
      createServer((inner) => {
        const outer = connect(port, '127.0.0.1');
        inner.on('data', (chunk: Buffer) => {
          sentBytes += chunk.length;
        });
        inner.pipe(outer).pipe(inner);
      }),
    );
    const text = Array.from({ length: 4_000 }, (_, index) => `"host-${index}.example","safe",`);
    const content = Buffer.from(text.join(''));
    const value = create(FleetDocumentSchema, { version: 1n, content });
    const command = create(FleetCommandSchema, { body: { case: 'putDocument', value } });
    const reply = await clients.get(FleetService, `127.0.0.1:${proxyPort}`).submit({ command });
    expect([reply.committed, lengths]).toEqual([true, [content.length]]);
    expect(sentBytes).toBeLessThan(content.length / 4);
  });
});
