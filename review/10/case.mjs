/** An engine that is replaced drains while requests of one machine wait for a connection to it. */
import { Engine } from '../lib-2/engine.mjs';
import { BOUNDS, call, findPorts, hasTrouble, putConfig, runCase, sleep } from '../lib-2/fleet.mjs';

/** An engine has 64 slots. They come at about two thirds of the rate of the sheet, 22.2 a second. */
const CLIENTS = 60;
const ARRIVAL_MS = 65;
/** Tokens out as on the sheet, with half of the longest pause of a stream that is on time. */
const EVENTS = 58;
const GAP_MS = 200;

const config = {
  version: 3,
  routes: [
    {
      name: 'r-assist',
      host: 'lace.example',
      pathPrefix: '/assist/',
      kind: 'streaming',
      timeoutMs: 15000,
      targetLatencyMs: 400,
      priority: 0,
      service: 'lace-models',
      maxAttempts: 1,
      public: true,
      sticky: true,
      resumable: false,
      targetGapMs: 400,
    },
  ],
  services: [
    {
      name: 'lace-models',
      healthPath: '/healthz',
      maxConns: 380,
      protocol: 'h1',
      tls: false,
      engine: {
        slots: 64,
        kvCapacity: 119086,
        kvTokenBytes: 18432,
        linkMbps: 370000,
        moves: true,
        backups: true,
        stride: 5,
        maxInflight: 12,
        pinMs: 4000,
        holdMs: 2000,
        handle_s: 5,
        models: [{ name: 'm0' }],
      },
    },
  ],
  limits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 4194304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
  },
};

async function startEngine(fleet, id) {
  const [port] = await findPorts(1);
  const engine = new Engine({
    id,
    service: 'lace-models',
    host: '127.0.0.1',
    port,
    controls: fleet.controls,
    model: 'm0',
    events: EVENTS,
    gapMs: GAP_MS,
  });
  await engine.start();
  return engine;
}

async function ask(fleet, i) {
  const id = `a${process.pid.toString(16)}${i.toString(16).padStart(6, '0')}`;
  const { status } = await call(fleet.client('m1'), {
    method: 'POST',
    path: '/assist/wu5',
    body: 'x'.repeat(400),
    timeoutMs: 15500,
    headers: {
      host: 'lace.example',
      'x-redwingwharf-attempt-id': id,
      'x-redwingwharf-model': 'm0',
      'x-redwingwharf-token-usage': '826,58',
      'x-redwingwharf-prefix-hash': `5c1e07a2:198,${id}:628`,
      'x-redwingwharf-deadline-ms': '15000',
      'content-length': '400',
    },
  });
  return status;
}

await runCase(import.meta.dirname, { machines: 5, disks: 3 }, async (fleet, record) => {
  for (const { name } of fleet.machines) {
    fleet.start(name);
  }
  if ((await putConfig(fleet, record, config)).status !== 200) {
    return undefined;
  }
  const old = await startEngine(fleet, 'i-old');
  const engines = [old];
  if (!(await fleet.waitReady())) {
    return undefined;
  }
  // Traffic begins 12 s after the machines start.
  await sleep(10_000);
  record.add(`${CLIENTS} clients ask m1, each for a stream of ${EVENTS} events`);
  const answers = [];
  for (let i = 0; i < CLIENTS; i += 1) {
    answers.push(ask(fleet, i));
    await sleep(ARRIVAL_MS);
  }
  await sleep(1000);
  let acknowledgedAt = Number.POSITIVE_INFINITY;
  if (hasTrouble) {
    engines.push(await startEngine(fleet, 'i-new'));
    record.add('i-new starts');
    await sleep(1000);
    old.state = 'draining';
    if (!(await old.announce())) {
      return undefined;
    }
    acknowledgedAt = performance.now();
    record.add('i-old says that it drains: 200');
  }
  const statuses = await Promise.all(answers);
  const tally = {};
  statuses.forEach((status) => (tally[status] = (tally[status] ?? 0) + 1));
  record.add(`answers to the clients: ${JSON.stringify(tally)}`);
  record.add(
    `requests that ran: ${engines.map(({ id, runs }) => `${id} ${runs.length}`).join(', ')}`,
  );
  const late = old.runs.filter(({ startedAt }) => startedAt > acknowledgedAt + BOUNDS.drainMs);
  for (const { id, startedAt } of late) {
    record.add(
      `i-old got ${id} ${Math.round(startedAt - acknowledgedAt)} ms after the acknowledgement`,
    );
  }
  await Promise.all(engines.map((engine) => engine.stop()));
  return old.runs.length === 0 ? undefined : late.length > 0;
});
