/**
 * Servers of a service, as the pages describe them: engines that keep the parts of prompts under their cache salt and
 * stream events, and plain servers. They announce themselves, refuse what is not for them, and note each run.
 */
import { createServer } from 'node:http';
import { call, sleep } from './fleet.mjs';

const HEARTBEAT_MS = 1200;

export class Engine {
  /**
   * @param options `service`, `host`, `port`, `controls` (addresses that take heartbeats), `model` (undefined for a plain
   *   server), `events` of each stream, `gapMs` between them
   */
  constructor(options) {
    this.options = { events: 5, gapMs: 20, zone: 'zg-a', slots: 64, ...options };
    this.id = options.id;
    this.address = `${options.host}:${options.port}`;
    this.born = Date.now();
    this.version = 1;
    this.seq = 0;
    this.orders = 0;
    this.state = 'ready';
    /** Parts by salt: what request, of which tenant, made each. */
    this.cache = new Map();
    /** Requests that ran. */
    this.runs = [];
    this.open = 0;
    this.isStopped = false;
    /** Called for each request before its first event and after each event; may wait. */
    this.hook = async () => undefined;
  }

  formatEvent(event) {
    return `id: ${event}\ndata: ${this.options.word ?? 'token'} ${event}\n\n`;
  }

  async start() {
    this.server = createServer((request, response) => void this.#serve(request, response));
    this.server.keepAliveTimeout = 10000;
    await new Promise((resolve) =>
      this.server.listen(this.options.port, this.options.host, resolve),
    );
    this.beating = this.#beat();
  }

  async stop() {
    this.isStopped = true;
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }

  describe() {
    const { service, zone, slots, model } = this.options;
    this.seq += 1;
    return JSON.stringify({
      service,
      addr: this.address,
      zone,
      version: 'v1',
      slots,
      state: this.state,
      coldLeftMs: 0,
      ...(model === undefined
        ? {}
        : { stage: 'colocated', models: [{ name: model, version: this.version, adapters: [] }] }),
      seq: this.seq,
      born: this.born,
    });
  }

  async announce() {
    const body = this.describe();
    const { controls } = this.options;
    const first = Math.floor(Math.random() * controls.length);
    for (let i = 0; i < controls.length && !this.isStopped; i += 1) {
      const address = controls[(first + i) % controls.length];
      const { status } = await call(address, {
        method: 'PUT',
        path: `/instances/${this.id}`,
        body,
        headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) },
      });
      if (status >= 200 && status < 300) {
        return true;
      }
    }
    return false;
  }

  async #beat() {
    while (!this.isStopped) {
      await this.announce();
      await sleep(HEARTBEAT_MS);
    }
  }

  async #serve(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) {
        chunks.push(chunk);
      }
    } catch {
      return;
    }
    const body = Buffer.concat(chunks);
    response.on('error', () => undefined);
    const { headers, method, url } = request;
    const id = headers['x-redwingwharf-attempt-id'];
    const expected = headers['x-redwingwharf-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      this.#refuse(response, 421, id);
    } else if (url.startsWith('/kv-events')) {
      await sleep(Math.min(1000, Number(headers['wait-ms'] ?? 0)));
      this.#json(response, {
        bootEpoch: this.born % 1e6,
        next: Number(/since=(\d+)/.exec(url)?.[1] ?? 0),
        lost: false,
        events: [],
      });
    } else if (url === '/kv-list') {
      this.#json(response, { bootEpoch: this.born % 1e6, next: 0, held: [] });
    } else if (url === '/report') {
      this.#json(response, {
        stage: 'colocated',
        models: [{ name: this.options.model, version: this.version, adapters: [] }],
        busy: false,
        seq: this.orders,
        queueDepth: 0,
        numRunning: this.open,
        kvUsed: 0,
        kvTotal: 119086,
        handles: 0,
      });
    } else if (url === '/order') {
      const order = JSON.parse(body.toString());
      this.orders += 1;
      this.version = order.version;
      this.cache.clear();
      response.writeHead(202).end();
    } else if (url === '/healthz') {
      response
        .writeHead(this.state === 'ready' ? 200 : 503, { 'x-redwingwharf-instance-id': this.id })
        .end();
    } else if (id === undefined) {
      this.#refuse(response, 400, id);
    } else {
      const wanted = headers['x-redwingwharf-expect-version'];
      if (wanted !== undefined && Number(wanted) !== this.version) {
        this.#refuse(response, 421, id);
        return;
      }
      await this.#run({ id, method, url, headers, body }, request, response);
    }
  }

  #json(response, value) {
    const text = JSON.stringify(value);
    response
      .writeHead(200, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      })
      .end(text);
  }

  #refuse(response, status, id) {
    response.writeHead(status, {
      'x-redwingwharf-not-executed': '1',
      'content-length': 0,
      ...(id === undefined ? {} : { 'x-redwingwharf-attempt-id': id }),
    });
    response.end();
  }

  async #run({ id, method, url, headers, body }, request, response) {
    const tenant = headers['x-redwingwharf-tenant'];
    const salt = headers['x-redwingwharf-cache-salt'] ?? '';
    const parts = (headers['x-redwingwharf-prefix-hash'] ?? '')
      .split(',')
      .filter(Boolean)
      .map((item) => item.split(':')[0]);
    const kept = this.cache.get(salt) ?? new Map();
    this.cache.set(salt, kept);
    const used = [];
    for (const part of parts) {
      const maker = kept.get(part);
      if (maker === undefined) {
        break;
      }
      used.push({ part, ...maker });
    }
    for (const part of parts) {
      if (!kept.has(part)) {
        kept.set(part, { id, tenant, version: this.version });
      }
    }
    const run = {
      id,
      method,
      url,
      tenant,
      salt,
      used,
      from: Number(headers['last-event-id'] ?? 0),
      startedAt: performance.now(),
      deadlineMs: Number(headers['x-redwingwharf-deadline-ms']),
      body: body.length,
      made: 0,
      isWorking: true,
      endedAt: undefined,
    };
    this.runs.push(run);
    this.open += 1;
    const close = () => {
      run.isWorking = false;
      run.endedAt ??= performance.now();
    };
    response.on('close', close);
    const common = {
      'x-redwingwharf-attempt-id': id,
      'x-redwingwharf-server-seal': `${this.id}.${this.runs.length}`,
      'x-redwingwharf-instance-load': `${this.open},0,${this.options.slots}`,
    };
    try {
      await this.hook(run, 0);
      if (this.options.model === undefined) {
        const text = 'x'.repeat(800);
        response
          .writeHead(200, {
            ...common,
            'content-type': 'text/plain',
            'content-length': text.length,
          })
          .end(text);
        return;
      }
      const count = Math.max(0, this.options.events - run.from);
      const texts = Array.from({ length: count }, (_, i) => this.formatEvent(run.from + i + 1));
      response.writeHead(200, {
        ...common,
        'content-type': 'text/event-stream',
        'x-redwingwharf-weight-versions': String(this.version),
        ...(this.options.statesLength ? { 'content-length': texts.join('').length } : {}),
      });
      for (let event = run.from + 1; event <= this.options.events && run.isWorking; event += 1) {
        response.write(texts[event - run.from - 1]);
        run.made = event;
        await this.hook(run, event);
        await sleep(this.options.gapMs);
      }
      response.end();
    } finally {
      this.open -= 1;
      run.endedAt ??= performance.now();
    }
  }
}
