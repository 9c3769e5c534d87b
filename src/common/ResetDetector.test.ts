/** Guards against a complete answer that is taken for one that was reset on its way. */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { Agent } from 'undici';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { readAnswer, sendRequest } from './HttpAnswer.js';
import { ResetDetector } from './ResetDetector.js';

const HEAD = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n';

describe('ResetDetector', () => {
  let server: Server;
  let agent: Agent;
  let sockets: Socket[];
  let read: () => Promise<Buffer>;

  beforeEach(async () => {
    sockets = [];
    server = createServer((socket) => {
      sockets.push(socket);
      socket.on('error', () => undefined).once('data', () => socket.write(`${HEAD}part one,`));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    const resets = new ResetDetector(1_000);
    agent = new Agent({ connect: resets.connect });
    read = async () => {
      const options = { origin, path: '/', method: 'GET' } as const;
      const answer = await sendRequest(agent, resets, options, new AbortController().signal);
      return readAnswer(answer.body);
    };
  });

  afterEach(async () => {
    await agent.destroy();
    server.close();
  });

  async function connect(count: number): Promise<Promise<string>[]> {
    const answers: Promise<string>[] = [];
    for (let i = 1; i <= count; i += 1) {
      answers.push(
        read().then(
          (body) => body.toString(),
          () => 'reset',
        ),
      );
      while (sockets.length < i || sockets[i - 1]?.bytesWritten === 0) {
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
    }
    return answers;
  }

  it('keeps an answer that ends while another connection to the same target is reset', async () => {
    const [kept, broken] = await connect(2);
    sockets[1]?.resetAndDestroy();
    expect(await broken).toBe('reset');
    sockets[0]?.end('part two');
    expect(await kept).toBe('part one,part two');
  });

  it('counts the reset of the connection of the answer itself', async () => {
    const [broken, kept] = await connect(2);
    sockets[0]?.resetAndDestroy();
    expect(await broken).toBe('reset');
    sockets[1]?.end('part two');
    expect(await kept).toBe('part one,part two');
  });

  // Guards against an answer that is lost because a probe of its server fails for another reason.
  it('takes only a refused connection as the end of a server', async () => {
    const probe = (origin: string): Promise<boolean> =>
      new Promise((resolve) => {
        new ResetDetector(1_000).probe(origin, resolve);
      });
    const { port } = server.address() as AddressInfo;
    expect(await probe(`http://127.0.0.1:${port}`)).toBe(true);
    // The server accepts the connection, but the TLS handshake fails.
    expect(await probe(`https://127.0.0.1:${port}`)).toBe(true);
    server.close();
    expect(await probe(`http://127.0.0.1:${port}`)).toBe(false);
  });
});
