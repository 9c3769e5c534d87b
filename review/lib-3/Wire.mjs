/** Clients, the operator and engines, as PROTOCOL.md describes them. */
import { randomBytes } from 'node:crypto';
import { once } from 'node:events';
import { Agent, createServer, request as sendHttp } from 'node:http';
import { sleep } from './Fleet.mjs';

export const newId = () => randomBytes(8).toString('hex');

/** One HTTP call; resolves with status 0 if the connection fails or the time is over. */
export function call(
  { host, port },
  method,
  path,
  { headers = {}, body, timeoutMs = 1000, agent, onHead } = {},
) {
  return new Promise((done) => {
    const sentAt = performance.now();
    const bytes = body === undefined ? undefined : Buffer.from(body);
    const all = bytes === undefined ? headers : { ...headers, 'Content-Length': bytes.length };
    const request = sendHttp({ host, port, method, path, headers: all, agent: agent ?? false });
    let isOver = false;
    const finish = (result) => {
      if (!isOver) {
        isOver = true;
        clearTimeout(timer);
        done({ sentAt, endedAt: performance.now(), ...result });
      }
    };
    const timer = setTimeout(() => {
      request.destroy();
      finish({ status: 0, isComplete: false, error: 'timeout', body: '', headers: {} });
    }, timeoutMs);
    request.on('response', (response) => {
      onHead?.(response, request);
      const chunks = [];
      const { statusCode: status, headers: head } = response;
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () => undefined);
      response.on('close', () => {
        const text = Buffer.concat(chunks).toString('latin1');
        finish({ status, headers: head, body: text, isComplete: response.complete });
      });
    });
    request.on('error', (error) => {
      finish({
        status: 0,
        isComplete: false,
        error: error.code ?? error.message,
        body: '',
        headers: {},
      });
    });
    request.end(bytes);
  });
}

/** Sends a call of the operator or an engine to one node after the other until it gets a 2xx or a final 4xx. */
export async function callControl(
  nodes,
  method,
  path,
  body,
  { tries = 40, timeoutMs = 1000 } = {},
) {
  const start = Math.floor(Math.random() * nodes.length);
  let answer;
  for (let i = 0; i < tries; i += 1) {
    const node = nodes[(start + i) % nodes.length];
    answer = await call(node, method, path, {
      body: body === undefined ? undefined : JSON.stringify(body),
      headers: { 'Content-Type': 'application/json' },
      timeoutMs,
    });
    answer.node = node;
    const isFinal = [400, 409, 412, 413, 422].includes(answer.status);
    if (isFinal || (answer.status >= 200 && answer.status < 300)) {
      return answer;
    }
    await sleep(Math.min(500, 50 * (i + 1)));
  }
  return answer;
}

/** One engine of a service. `run` handles a request that runs; `options` hold what its heartbeats say. */
export class Engine {
  constructor(ip, port, service, options = {}) {
    Object.assign(this, { ip, port, service });
    this.options = {
      zone: 'zg-a',
      slots: 64,
      model: undefined,
      version: 1,
      beatMs: 1200,
      ...options,
    };
    this.id = options.id ?? `i-${newId().slice(0, 8)}`;
    this.born = Date.now();
    this.seq = 0;
    this.orders = 0;
    this.state = 'ready';
    this.version = this.options.version;
    /** What arrived and what ran: { at, id, tenant, path, headers, ran }. */
    this.arrivals = [];
    this.orderLog = [];
    this.running = 0;
    this.acks = [];
    this.isBeating = true;
  }

  async start(nodes) {
    this.nodes = nodes;
    this.server = createServer((request, response) => {
      this._serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 30_000;
    this.server.listen(this.port, this.ip);
    await once(this.server, 'listening');
    this.port = this.server.address().port;
    this._beats = this._beat();
  }

  get addr() {
    return `${this.ip}:${this.port}`;
  }

  describe() {
    this.seq += 1;
    return {
      service: this.service,
      addr: this.addr,
      zone: this.options.zone,
      version: 'v1',
      slots: this.options.slots,
      state: this.state,
      coldLeftMs: 0,
      seq: this.seq,
      born: this.born,
      ...(this.options.model === undefined
        ? {}
        : {
            stage: 'colocated',
            models: [{ name: this.options.model, version: this.version, adapters: [] }],
          }),
    };
  }

  async beatOnce(nodes = this.nodes) {
    const answer = await callControl(nodes, 'PUT', `/instances/${this.id}`, this.describe(), {
      tries: 6,
    });
    if (answer.status === 200) {
      this.acks.push({ at: performance.now(), state: this.state, node: answer.node.host });
    }
    return answer;
  }

  async _beat() {
    while (this.isBeating) {
      const startedAt = performance.now();
      await this.beatOnce();
      await sleep(Math.max(50, this.options.beatMs - (performance.now() - startedAt)));
    }
  }

  async _serve(request, response) {
    const at = performance.now();
    const { headers, method, url } = request;
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const body = Buffer.concat(chunks);
    const reply = (status, head, content) => {
      response.writeHead(status, { 'Content-Length': Buffer.byteLength(content), ...head });
      response.end(content);
    };
    const expected = headers['x-redwingwharf-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      const id = headers['x-redwingwharf-attempt-id'];
      reply(421, id === undefined ? {} : { 'X-Redwingwharf-Attempt-Id': id }, '');
      return;
    }
    if (url === '/report') {
      reply(
        200,
        { 'Content-Type': 'application/json' },
        JSON.stringify({
          stage: 'colocated',
          models: [{ name: this.options.model, version: this.version, adapters: [] }],
          busy: this.isBusy === true,
          seq: this.orders,
          queueDepth: 0,
          numRunning: this.running,
          kvUsed: 0,
          kvTotal: 100000,
          handles: 0,
        }),
      );
      return;
    }
    if (url === '/order') {
      this._order(JSON.parse(body.toString()), at, reply);
      return;
    }
    const id = headers['x-redwingwharf-attempt-id'];
    const entry = {
      at,
      id,
      tenant: headers['x-redwingwharf-tenant'],
      path: url,
      method,
      headers,
      body,
      ran: false,
    };
    this.arrivals.push(entry);
    if (id === undefined) {
      reply(400, { 'X-Redwingwharf-Not-Executed': '1' }, '');
      return;
    }
    const wanted = headers['x-redwingwharf-expect-version'];
    if (wanted !== undefined && Number(wanted) !== this.version) {
      reply(421, { 'X-Redwingwharf-Attempt-Id': id }, '');
      return;
    }
    if (this.isBusy === true || this.running >= this.options.slots) {
      reply(503, { 'X-Redwingwharf-Attempt-Id': id, 'X-Redwingwharf-Not-Executed': '1' }, '');
      return;
    }
    entry.ran = true;
    entry.version = this.version;
    this.running += 1;
    try {
      await (this.options.run ?? answerPlain)(this, entry, request, response);
      entry.endedAt = performance.now();
    } finally {
      this.running -= 1;
    }
  }

  _order(order, at, reply) {
    const outcome = this._judgeOrder(order);
    this.orderLog.push({ at, ...order, outcome });
    reply(outcome, {}, '');
  }

  _judgeOrder({ version, holder, fence, precondition }) {
    if (holder === undefined || fence === undefined) {
      return 400;
    }
    if (fence < (this.fence ?? 0)) {
      return 412;
    }
    this.fence = fence;
    if (version === this.version) {
      return 200;
    }
    if (this.isBusy || (precondition !== undefined && precondition !== this.orders)) {
      return 409;
    }
    this.orders += 1;
    this.isBusy = true;
    void (async () => {
      while (this.running > 0) {
        await sleep(10);
      }
      await sleep(this.options.loadMs ?? 830);
      this.version = version;
      this.isBusy = false;
    })();
    return 202;
  }

  headers(entry) {
    return {
      'X-Redwingwharf-Attempt-Id': entry.id,
      'X-Redwingwharf-Server-Seal': `${this.id}.${entry.id}`,
      'X-Redwingwharf-Instance-Load': `${this.running},0,${this.options.slots}`,
    };
  }

  /** Announces the drain until it is acknowledged. */
  async drain() {
    this.state = 'draining';
    return this.beatOnce();
  }

  stop() {
    this.isBeating = false;
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** Answers a plain request after `workMs`. */
export async function answerPlain(engine, entry, request, response) {
  await sleep(engine.options.workMs ?? 20);
  const content = `${entry.id}:${'x'.repeat(200)}`;
  response.writeHead(200, { ...engine.headers(entry), 'Content-Length': content.length });
  response.end(content);
}

/** Answers with events, ids from 1 or after `Last-Event-Id`. */
export async function answerStream(engine, entry, request, response) {
  const { events = 8, gapMs = 30, firstMs = 30 } = engine.options;
  await sleep(firstMs);
  response.writeHead(200, {
    ...engine.headers(entry),
    'Content-Type': 'text/event-stream',
    'X-Redwingwharf-Weight-Versions': String(engine.version),
  });
  const from = Number(entry.headers['last-event-id'] ?? 0);
  for (let i = from + 1; i <= events && !response.destroyed; i += 1) {
    response.write(`id: ${i}\ndata: ${engine.id} token ${i}\n\n`);
    await sleep(gapMs);
  }
  entry.wasCut = response.destroyed;
  response.end();
}

/** Sends requests at random times, `perS` on average, until told to stop. */
export function startLoad({ perS, send }) {
  const open = new Set();
  let isStopped = false;
  const run = (async () => {
    let next = performance.now();
    while (!isStopped) {
      const sent = send();
      open.add(sent);
      void sent.finally(() => open.delete(sent));
      next += (-Math.log(1 - Math.random()) * 1000) / perS;
      await sleep(Math.max(0, next - performance.now()));
    }
  })();
  return {
    stop: async () => {
      isStopped = true;
      await run;
      await Promise.all(open);
    },
  };
}

export { Agent };
