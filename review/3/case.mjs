/**
 * The first engine of a new software version joins, gets its first streams and crashes. Meanwhile other clients send lookups
 * to a sound engine of another service, each over a kept connection.
 */
import { Agent, request } from 'node:http';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, createAttemptId, createConfig, putConfig } from '../lib/Calls.mjs';
import { Engine } from '../lib/Engine.mjs';
import { findPorts, Fleet, sleep } from '../lib/Fleet.mjs';
import { HAS_TROUBLE, requireThat, runCase } from '../lib/Record.mjs';

const HOST = 'shop.example';
const MODEL = 'm0';
const LOOKUP_CLIENTS_PER_MACHINE = 4;
const LOOKUP_MS = 300;
/** From the acknowledgement of the new engine's first heartbeat to the streams, and from there to its crash. */
const JOIN_MS = 200;
const CRASH_MS = 150;
const STREAMS_PER_MACHINE = 8;
/** The engine that crashes is one of four. */
const OLD_ENGINES = 3;
const EVENTS = 30;

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, atEnd) => {
  const fleet = await Fleet.create({ withDisk: 3, withoutDisk: 1, network: 38 });
  atEnd(() => fleet.dispose());
  fleet.start();
  const controls = fleet.listControls();
  const [portNew, portDesk, ...portsOld] = await findPorts(2 + OLD_ENGINES);
  const runs = new Map();
  const answerStream = async ({ id, headers }, response, engine) => {
    runs.set(engine.id, (runs.get(engine.id) ?? 0) + 1);
    // Node then sends the events in chunks and `Connection: close`, as engines do occasionally.
    response.shouldKeepAlive = false;
    response.setHeader('content-type', 'text/event-stream');
    response.setHeader('X-Redwingwharf-Weight-Versions', '1');
    const first = Number(headers['last-event-id'] ?? 0) + 1;
    for (let event = first; event <= EVENTS && !response.destroyed; event += 1) {
      response.write(`id: ${event}\ndata: ${engine.software} token\n\n`);
      await sleep(20);
    }
    response.end();
    return id;
  };
  const answerLookup = async (_arrival, response) => {
    await sleep(LOOKUP_MS);
    response.setHeader('content-length', 4);
    response.end('done');
  };
  const models = {
    host: '127.0.39.1',
    service: 'lace-models',
    model: MODEL,
    controls,
    answer: answerStream,
  };
  const olds = portsOld.map(
    (port, i) => new Engine({ ...models, id: `i-old-${i + 1}`, port, software: 'v1' }),
  );
  const fresh = new Engine({ ...models, id: 'i-new', port: portNew, software: 'v2', zone: 'zg-b' });
  const desk = new Engine({
    host: '127.0.39.1',
    id: 'i-desk',
    port: portDesk,
    service: 'order-desk',
    slots: 64,
    controls,
    answer: answerLookup,
  });
  atEnd(() => [...olds, fresh, desk].forEach((engine) => engine.stop()));
  const route = { host: HOST, priority: 1, public: false, maxAttempts: 2 };
  const routes = [
    {
      ...route,
      name: 'r-check',
      pathPrefix: '/check/',
      kind: 'streaming',
      timeoutMs: 5_000,
      targetLatencyMs: 500,
      service: 'lace-models',
      sticky: true,
      resumable: true,
      targetGapMs: 400,
    },
    {
      ...route,
      name: 'r-look',
      pathPrefix: '/look/',
      kind: 'safe',
      timeoutMs: 1_500,
      targetLatencyMs: 300,
      service: 'order-desk',
      sticky: false,
      resumable: false,
    },
  ];
  const services = [
    {
      name: 'lace-models',
      healthPath: '/healthz',
      maxConns: 380,
      protocol: 'h1',
      tls: false,
      engine: {
        slots: 64,
        kvCapacity: 119_086,
        kvTokenBytes: 18_432,
        linkMbps: 370_000,
        models: [{ name: MODEL }],
      },
    },
    { name: 'order-desk', healthPath: '/healthz', maxConns: 120, protocol: 'h1', tls: false },
  ];
  const put = await putConfig(controls, createConfig({ routes, services }));
  record.add(`configuration 1: status ${put?.status}`);
  requireThat(put?.status === 200, 'the configuration was not acknowledged');
  for (const old of olds) {
    await old.start();
  }
  await desk.start();
  await sleep(8_000);

  const unanswered = [];
  let answered = 0;
  let isOver = false;
  const lookUp = (machine, agent, isKept) =>
    new Promise((done) => {
      const id = createAttemptId();
      const fail = (error) => {
        unanswered.push({ id, isKept, machine: machine.name, error: error.code ?? error.message });
        done(false);
      };
      const headers = {
        host: HOST,
        'x-redwingwharf-attempt-id': id,
        'x-redwingwharf-deadline-ms': '3000',
      };
      const outgoing = request(
        { ...fleet.getFrontend(machine), path: '/look/1', agent, headers },
        (response) => {
          response.resume();
          response.on('error', fail);
          response.on('end', () => {
            answered += response.statusCode === 200 ? 1 : 0;
            done(true);
          });
        },
      );
      outgoing.on('error', fail);
      outgoing.end();
    });
  const runClient = async (machine) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    let isWell = true;
    for (let i = 0; isWell && !isOver; i += 1) {
      isWell = await lookUp(machine, agent, i > 0);
    }
    agent.destroy();
  };
  const clients = fleet.machines.flatMap((machine) =>
    Array.from({ length: LOOKUP_CLIENTS_PER_MACHINE }, () => runClient(machine)),
  );
  await sleep(1_500);

  await fresh.start();
  await sleep(JOIN_MS);
  record.add(`${fresh.id} has joined with software ${fresh.software}`);
  const streams = fleet.machines.flatMap((machine) =>
    Array.from({ length: STREAMS_PER_MACHINE }, async () => {
      const id = createAttemptId();
      const headers = {
        host: HOST,
        'x-redwingwharf-attempt-id': id,
        'x-redwingwharf-model': MODEL,
        'x-redwingwharf-token-usage': '1460,80',
        'x-redwingwharf-prefix-hash': `${id}:250`,
        'x-redwingwharf-deadline-ms': '5000',
      };
      const answer = await call({
        ...fleet.getFrontend(machine),
        method: 'POST',
        path: '/check/1',
        headers,
        body: 'prompt',
        timeoutMs: 6_000,
      });
      return `${machine.name} ${answer.status}${answer.isComplete ? '' : ` incomplete ${answer.error ?? ''}`}`;
    }),
  );
  await sleep(CRASH_MS);
  if (HAS_TROUBLE) {
    fresh.crash();
    record.add(`${fresh.id} crashes while it runs ${runs.get(fresh.id) ?? 0} requests`);
  }
  const outcomes = new Map();
  for (const outcome of await Promise.all(streams)) {
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
  }
  record.add(
    `streams: ${JSON.stringify([...outcomes])}; runs by engine: ${JSON.stringify([...runs])}`,
  );
  await sleep(500);
  isOver = true;
  await Promise.race([Promise.all(clients), sleep(4_000)]);
  record.add(`lookups: ${answered} answered, ${unanswered.length} not`);
  const arrived = new Set(desk.arrivals.map((arrival) => arrival.id));
  const lost = unanswered.filter((item) => item.isKept && arrived.has(item.id));
  for (const item of lost) {
    record.add(
      `${item.id} by ${item.machine}: run by i-desk, its kept connection ended without an answer (${item.error})`,
    );
  }
  for (const machine of fleet.machines.filter(({ isUp }) => !isUp)) {
    const { code, signal } = await machine.ended;
    const reason = /^\w*Error.*$/m.exec(fleet.readLog(machine))?.[0];
    record.add(
      `the process of ${machine.name} has ended by itself: code ${code}, signal ${signal}; its log says: ${reason}`,
    );
  }
  requireThat(answered > 0, 'no lookup was answered');
  requireThat((runs.get(fresh.id) ?? 0) > 0, 'the new engine got no stream');
  return lost.length > 3
    ? [
        `LOST: ${lost.length} requests from kept connections had been passed on to a sound engine and their connections ended without an answer`,
      ]
    : [];
});
