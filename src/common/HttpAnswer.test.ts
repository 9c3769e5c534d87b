import { once } from 'node:events';
import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { Agent } from 'undici';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  AnswerBody,
  NotSentError,
  sendRequest,
  type IHttpAnswer,
  type ISendObserver,
} from './HttpAnswer.js';
import { ResetDetector } from './ResetDetector.js';

const CHUNKS = Array.from({ length: 50 }, (_, index) => `part ${index};`);

describe('AnswerBody', () => {
  function createBody(): AnswerBody {
    return new AnswerBody({
      aborted: false,
      paused: false,
      reason: null,
      pause: () => undefined,
      resume: () => undefined,
      abort: () => undefined,
    });
  }

  // Guards against an answer that is taken as complete without its last chunks.
  it.each(['before', 'after'])(
    'delivers all chunks to a reader that is attached %s the end and pauses',
    async (order) => {
      const body = createBody();
      CHUNKS.forEach((chunk) => {
        body.push(Buffer.from(chunk));
      });
      if (order === 'after') {
        body.finish(undefined);
      }
      let text = '';
      const reading = body.read((chunk) => {
        text += chunk.toString();
        body.pause();
        setImmediate(() => {
          body.resume();
        });
      });
      body.finish(undefined);
      await reading;
      expect(text).toBe(CHUNKS.join(''));
    },
  );

  // Guards against a reader that waits forever for the end of an answer that it has given up.
  it('rejects when it is destroyed while chunks of a complete answer wait', async () => {
    const body = createBody();
    body.push(Buffer.from('a'));
    body.push(Buffer.from('b'));
    const reading = body.read(() => {
      body.pause();
    });
    body.finish(undefined);
    body.destroy(new Error('given up'));
    await expect(reading).rejects.toThrow('given up');
  });
});

describe('sendRequest', () => {
  let server: Server;
  let agent: Agent;
  let resets: ResetDetector;
  let respond: (response: ServerResponse) => void;

  beforeEach(async () => {
    resets = new ResetDetector(1_000);
    agent = new Agent({ connect: resets.connect });
    server = createServer((_request, response) => {
      respond(response);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(async () => {
    await agent.destroy();
    server.closeAllConnections();
    server.close();
  });

  async function send(signal = new AbortController().signal): Promise<IHttpAnswer> {
    const { port } = server.address() as AddressInfo;
    const options = { origin: `http://127.0.0.1:${port}`, path: '/', method: 'GET' } as const;
    return sendRequest(agent, resets, options, signal);
  }

  // Guards against a request that waits for a connection and is sent although its process ends meanwhile.
  it('sends nothing of a request that may not be sent any more when it gets its connection', async () => {
    const pool = new Agent({ connect: resets.connect, connections: 1 });
    const { port } = server.address() as AddressInfo;
    const options = { origin: `http://127.0.0.1:${port}`, path: '/', method: 'GET' } as const;
    const responses: ServerResponse[] = [];
    respond = (response) => responses.push(response);
    let maySend = true;
    const statuses: number[] = [];
    const observer: ISendObserver = {
      onSend: () => maySend,
      onComplete: (status) => statuses.push(status),
    };
    const start = async (): Promise<void> => {
      const { signal } = new AbortController();
      const answer = await sendRequest(pool, resets, options, signal, observer);
      await answer.body.read(() => undefined);
    };
    const first = start();
    while (responses.length === 0) {
      await delay(5);
    }
    const second = start();
    maySend = false;
    responses[0]?.end('a');
    await first;
    await expect(second).rejects.toThrow(NotSentError);
    maySend = true;
    respond = (response) => response.end('b');
    await start();
    expect([responses.length, statuses]).toEqual([1, [200, 200]]);
    await pool.destroy();
  });

  it('buffers chunks that arrive before the reader is attached', async () => {
    respond = (response) => response.end(CHUNKS.join(''));
    const answer = await send();
    await delay(20);
    let text = '';
    await answer.body.read((chunk) => (text += chunk.toString()));
    expect(text).toBe(CHUNKS.join(''));
  });

  it('delivers each chunk once and in order when the reader pauses after each, so that no event is lost or repeated', async () => {
    respond = (response) => {
      for (const chunk of CHUNKS) {
        response.write(chunk);
      }
      response.end();
    };
    const answer = await send();
    let text = '';
    let isPaused = false;
    await answer.body.read((chunk) => {
      expect(isPaused).toBe(false);
      text += chunk.toString();
      isPaused = true;
      answer.body.pause();
      setImmediate(() => {
        isPaused = false;
        answer.body.resume();
      });
    });
    expect(text).toBe(CHUNKS.join(''));
  });

  it('rejects when the connection breaks within the body, so that a truncated answer is not taken as complete', async () => {
    respond = (response) => {
      response.write('part', () => response.destroy());
    };
    const answer = await send();
    await expect(answer.body.read(() => undefined)).rejects.toThrow();
  });

  // Only the close of the connection ends an answer with neither a length nor chunks; a reset looked the same.
  it.each([
    ['closed', undefined],
    ['reset', 'reset'],
    ['closed by a server that ends', 'ended'],
  ])('tells whether an answer without length is complete when it is %s', async (_ending, error) => {
    respond = ({ socket }) => {
      socket?.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart', () => {
        setTimeout(() => {
          if (error === 'reset') {
            socket.resetAndDestroy();
          } else {
            socket.end();
          }
          if (error === 'ended') {
            server.close();
          }
        }, 20);
      });
    };
    const answer = await send();
    let text = '';
    const read = answer.body.read((chunk) => (text += chunk.toString()));
    await (error === undefined ? read : expect(read).rejects.toThrow(error));
    expect(text).toBe('part');
  });

  // 600 and 999 were passed on to clients.
  it.each([600, 999])('rejects an answer with status %i', async (status) => {
    respond = ({ socket }) => {
      socket?.write(`HTTP/1.1 ${status} Odd\r\ncontent-length: 0\r\n\r\n`);
    };
    await expect(send()).rejects.toThrow(`status ${status}`);
  });

  it('rejects and closes the connection when the callback throws', async () => {
    const closed = new Promise((resolve) => {
      respond = (response) => {
        response.once('close', resolve);
        response.write('part');
      };
    });
    const answer = await send();
    const read = answer.body.read(() => {
      throw new Error('out of order');
    });
    await expect(read).rejects.toThrow('out of order');
    await closed;
  });

  it.each(['before the head', 'within the body'])(
    'closes the connection to the target when the request is aborted %s',
    async (when) => {
      const controller = new AbortController();
      const closed = new Promise((resolve) => {
        respond = (response) => {
          response.once('close', resolve);
          if (when === 'within the body') {
            response.write('part');
          } else {
            controller.abort(new Error('given up'));
          }
        };
      });
      const run = async (): Promise<void> => {
        const answer = await send(controller.signal);
        await answer.body.read(() => {
          controller.abort(new Error('given up'));
        });
      };
      await expect(run()).rejects.toThrow('given up');
      await closed;
    },
  );
});
