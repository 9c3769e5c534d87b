/**
 * An engine withdraws (DELETE /instances/ID), which is acknowledged. Then all processes are killed at the same moment and
 * are back half a second later. The engine goes on serving for a while, as the pages say, and counts what reaches it.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, callControl, createAttemptId, createConfig, putConfig } from '../lib/Calls.mjs';
import { Engine } from '../lib/Engine.mjs';
import { BOUNDS, findPorts, Fleet, sleep } from '../lib/Fleet.mjs';
import { HAS_TROUBLE, requireThat, runCase } from '../lib/Record.mjs';

const HOST = 'desk.example';
const PATH = '/orders/';
const DOWN_MS = 500;
/** The engine serves for `drainMs` after the acknowledgement and some seconds longer. */
const LINGER_MS = 9_000;
/** Time between two requests at each machine. */
const REQUEST_INTERVAL_MS = 100;

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, atEnd) => {
  const fleet = await Fleet.create({ withDisk: 3, withoutDisk: 1 });
  atEnd(() => fleet.dispose());
  fleet.start();
  const controls = fleet.listControls();
  const [portA, portB] = await findPorts(2);
  const shared = { host: '127.0.31.1', service: 'order-desk', slots: 6, controls };
  const stays = new Engine({ ...shared, id: 'i-stays', port: portA });
  const leaves = new Engine({ ...shared, id: 'i-leaves', port: portB, zone: 'zg-b' });
  atEnd(() => [stays, leaves].forEach((engine) => engine.stop()));
  const route = {
    name: 'r-look',
    host: HOST,
    pathPrefix: PATH,
    kind: 'safe',
    timeoutMs: 1_500,
    targetLatencyMs: 300,
    priority: 2,
    service: 'order-desk',
    maxAttempts: 2,
    public: false,
    sticky: false,
    resumable: false,
  };
  const services = [
    { name: 'order-desk', healthPath: '/healthz', maxConns: 120, protocol: 'h1', tls: false },
  ];
  const put = await putConfig(controls, createConfig({ routes: [route], services }));
  record.add(`configuration 1: status ${put?.status}`);
  requireThat(put?.status === 200, 'the configuration was not acknowledged');
  await stays.start();
  await leaves.start();
  // The machines are in touch, and both engines have told of themselves more than once.
  await sleep(7_000);

  let isOver = false;
  const counts = new Map();
  const sent = new Map();
  const load = async (machine) => {
    while (!isOver) {
      const id = createAttemptId();
      const headers = {
        host: HOST,
        'x-redwingwharf-attempt-id': id,
        'x-redwingwharf-deadline-ms': '3000',
      };
      sent.set(id, machine);
      void call({
        ...fleet.getFrontend(machine),
        path: `${PATH}1`,
        headers,
        timeoutMs: 3_000,
      }).then(({ status }) => {
        counts.set(status, (counts.get(status) ?? 0) + 1);
      });
      await sleep(REQUEST_INTERVAL_MS);
    }
  };
  const loads = fleet.machines.map((machine) => load(machine));
  await sleep(1_500);
  requireThat(leaves.arrivals.length > 0 && stays.arrivals.length > 0, 'an engine got no request');

  const ack = await leaves.withdraw();
  requireThat(ack !== undefined, 'the withdrawal was not acknowledged');
  const ackAt = ack.at;
  record.add(`DELETE /instances/i-leaves at ${ack.host}: status ${ack.status}`);
  let backAt = Number.NEGATIVE_INFINITY;
  if (HAS_TROUBLE) {
    await fleet.kill();
    record.add('all processes killed');
    await sleep(DOWN_MS);
    fleet.start();
    backAt = performance.now();
    record.add('all processes started again');
  }
  await sleep(ackAt + LINGER_MS - performance.now());
  isOver = true;
  leaves.stop();
  await Promise.all(loads);
  await sleep(500);
  record.add(`answers by status: ${JSON.stringify([...counts])}`);
  // A machine is in touch once it has run, and the core has been stable, for stableWindowMs.
  const from = Math.max(ackAt + BOUNDS.drainMs, backAt + BOUNDS.stableWindowMs);
  const late = leaves.arrivals.filter(({ at }) => at > from);
  for (const { at, id } of late) {
    record.add(
      `i-leaves runs ${id} of ${sent.get(id)?.name}, ${Math.round(at - ackAt)} ms after the acknowledgement, ${Math.round(at - backAt)} ms after the start`,
    );
  }
  const control = await callControl(controls, { path: '/config' });
  record.add(`configuration read back: status ${control?.status}`);
  return late.length > 0
    ? [
        `DRAIN: ${late.length} requests reached the engine later than ${BOUNDS.drainMs} ms after the acknowledgement, sent on by machines in touch`,
      ]
    : [];
});
