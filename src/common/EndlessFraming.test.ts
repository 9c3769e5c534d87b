/** Guards against a processor that is spent on bytes which are neither the head nor the body of an answer. */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { Agent } from 'undici';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { sendRequest } from './HttpAnswer.js';
import { ResetDetector } from './ResetDetector.js';

const PIECE = 'x'.repeat(16 * 1024);

/** Far more than the framing of any answer, and what the kernel takes in addition. */
const MAX_SENT_BYTES = 32 * 1024 * 1024;

describe('an answer whose framing has no end', () => {
  let server: Server;
  let agent: Agent;
  let resets: ResetDetector;
  let sentBytes: number;

  beforeEach(() => {
    resets = new ResetDetector(1_000);
    agent = new Agent({ connect: resets.connect, headersTimeout: 0, bodyTimeout: 0 });
    sentBytes = 0;
  });

  afterEach(async () => {
    await agent.destroy();
    server.close();
  });

  async function start(serve: (socket: Socket) => void): Promise<string> {
    server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        serve(socket);
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  /** Serves a beginning, and then the same piece for ever. */
  function serveEndless(first: string, piece: string): Promise<string> {
    return start((socket) => {
      socket.write(first);
      const write = (): void => {
        while (!socket.destroyed && sentBytes < 2 * MAX_SENT_BYTES && socket.write(piece)) {
          sentBytes += piece.length;
        }
      };
      socket.on('drain', write);
      write();
    });
  }

  async function readAll(origin: string): Promise<string> {
    const options = { origin, method: 'GET' as const, path: '/' };
    const signal = AbortSignal.timeout(10_000);
    const { body } = await sendRequest(agent, resets, options, signal);
    let text = '';
    await body.read((chunk) => {
      text += chunk.toString();
    });
    return text;
  }

  it.each([
    ['a reason phrase', 'HTTP/1.1 200 O', PIECE],
    ['a chunk extension', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;', PIECE],
    ['interim heads', '', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(600)],
  ])('is given up: %s', async (_name, first, piece) => {
    const origin = await serveEndless(first, piece);
    await expect(readAll(origin)).rejects.toThrow('no part of an answer');
    expect(sentBytes).toBeLessThan(MAX_SENT_BYTES);
  });

  // Guards against long answers that are cut, as their chunks are small or arrive in small pieces.
  it('is not what a long answer in small chunks is taken for', async () => {
    const count = 100_000;
    const origin = await start((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
      socket.end(`${'1;note=x\r\nx\r\n'.repeat(count)}0\r\n\r\n`);
    });
    expect(await readAll(origin)).toHaveLength(count);
  });

  it('is not what a long answer is taken for that pauses', async () => {
    const body = 'x'.repeat(2 * 1024 * 1024);
    const origin = await start((socket) => {
      socket.end(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
    });
    const options = { origin, method: 'GET' as const, path: '/' };
    const answer = await sendRequest(agent, resets, options, AbortSignal.timeout(10_000));
    let length = 0;
    await answer.body.read((chunk) => {
      length += chunk.length;
      answer.body.pause();
      setImmediate(() => {
        answer.body.resume();
      });
    });
    expect(length).toBe(body.length);
  });
});
