/** Stand-in for an engine: registers, answers requests, reports and orders, and records what it ran. */
import { createServer } from 'node:http';
import { call } from './Calls.mjs';
import { sleep } from './Fleet.mjs';

const BEAT_MS = 1_200;

/** A sound engine, or a target of a plain service if it names no model. Cases override `answer`. */
export class Engine {
  /** Arrivals: { at, id, method, path, headers }. */
  arrivals = [];
  seq = 0;
  state = 'ready';
  isBeating = true;
  version = 1;
  orders = 0;
  _sockets = new Set();

  constructor({
    id,
    host,
    port,
    service,
    zone = 'zg-a',
    software = 'v1',
    model,
    slots = 64,
    controls,
    answer,
  }) {
    Object.assign(this, { id, host, port, service, zone, software, model, slots, controls });
    this.answer = answer ?? answerPlain;
    this.born = Date.now();
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  async start() {
    this.server = createServer((request, response) => {
      response.on('error', () => undefined);
      void this._serve(request, response).catch(() => response.destroy());
    });
    this.server.on('connection', (socket) => {
      this._sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => this._sockets.delete(socket));
    });
    await new Promise((done) => this.server.listen(this.port, this.host, done));
    await this.beat();
    this._beats = this._run();
  }

  /** Body of the next heartbeat. */
  describe() {
    this.seq += 1;
    return {
      service: this.service,
      addr: this.address,
      zone: this.zone,
      version: this.software,
      slots: this.slots,
      state: this.state,
      coldLeftMs: 0,
      ...(this.model === undefined
        ? {}
        : {
            stage: 'colocated',
            models: [{ name: this.model, version: this.version, adapters: [] }],
          }),
      born: this.born,
      seq: this.seq,
    };
  }

  /** Sends one heartbeat to one node after the other until one acknowledges it. */
  async beat() {
    return this._callAny('PUT', JSON.stringify(this.describe()));
  }

  /** Leaves without having reported `draining`, as some engines do. */
  async withdraw(control) {
    this.isBeating = false;
    return this._callAny('DELETE', JSON.stringify({ born: this.born }), control);
  }

  /** Ends at once: the connections are reset, and the port takes no more. */
  crash() {
    this.isBeating = false;
    this.server.close();
    for (const socket of this._sockets) {
      socket.resetAndDestroy();
    }
  }

  stop() {
    this.isBeating = false;
    this.server?.closeAllConnections();
    this.server?.close();
  }

  async _run() {
    await sleep(BEAT_MS);
    while (this.isBeating) {
      await this.beat();
      await sleep(BEAT_MS);
    }
  }

  async _callAny(method, body, first) {
    const others = [...this.controls].sort(() => Math.random() - 0.5);
    for (const control of first === undefined ? others : [first, ...others]) {
      const { status } = await call({
        ...control,
        method,
        path: `/instances/${this.id}`,
        headers: { 'content-type': 'application/json' },
        body,
      });
      if (status >= 200 && status < 300) {
        return { ...control, status, at: performance.now() };
      }
    }
    return undefined;
  }

  async _serve(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const body = Buffer.concat(chunks).toString('utf8');
    const { headers, method, url } = request;
    if (url === '/report') {
      response.setHeader('content-type', 'application/json');
      response.end(
        JSON.stringify({
          stage: 'colocated',
          models: [{ name: this.model, version: this.version, adapters: [] }],
          busy: false,
          seq: this.orders,
          queueDepth: 0,
          numRunning: 0,
          kvUsed: 0,
          kvTotal: 119_086,
          handles: 0,
        }),
      );
      return;
    }
    const id = headers['x-redwingwharf-attempt-id'] ?? '';
    response.setHeader('X-Redwingwharf-Attempt-Id', id);
    const expected = headers['x-redwingwharf-expect-instance'];
    const expectedVersion = headers['x-redwingwharf-expect-version'];
    const isOther = expected !== undefined && expected !== this.id;
    const isOtherVersion =
      expectedVersion !== undefined && Number(expectedVersion) !== this.version;
    if (isOther || isOtherVersion) {
      response.writeHead(421, { 'X-Redwingwharf-Not-Executed': '1', 'content-length': 0 });
      response.end();
      return;
    }
    const arrival = { at: performance.now(), id, method, path: url, headers, body };
    this.arrivals.push(arrival);
    response.setHeader('X-Redwingwharf-Server-Seal', `${this.id}.${id}`);
    response.setHeader('X-Redwingwharf-Instance-Load', `1,0,${this.slots}`);
    await this.answer(arrival, response, this);
  }
}

async function answerPlain(_arrival, response) {
  await sleep(20);
  response.setHeader('content-type', 'text/plain');
  response.end('done');
}
