/**
 * A machine of the core is replaced as planned: its successor starts with an empty disk at another address, and two
 * seconds later the old one gets SIGTERM and ends for good. When the successor has had more than `catchUpS`, and as much
 * time has passed since the end of the old one, a change is acknowledged, and another machine of the core loses its disk
 * and restarts at once. The operator then reads the configuration back.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, createConfig, putConfig } from '../lib/Calls.mjs';
import { BOUNDS, Fleet, sleep } from '../lib/Fleet.mjs';
import { HAS_TROUBLE, requireThat, runCase } from '../lib/Record.mjs';

const PREPARE_MS = 7_000;
/** From the start of the successor to the SIGTERM of the old machine. */
const OVERLAP_MS = 2_000;
/** From the end of the old machine, and so later than `catchUpS` after the start of its successor. */
const SECOND_LOSS_MS = BOUNDS.catchUpS * 1_000 + 100;
/** Time for which the operator reads back: longer than `recoveryS` and `stableWindowMs` together. */
const READ_BACK_MS = 40_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, atEnd) => {
  const fleet = await Fleet.create({ withDisk: 4, withoutDisk: 1, network: 36 });
  atEnd(() => fleet.dispose());
  const [first, second, old, successor, plain] = fleet.machines;
  fleet.start([first, second, old, plain]);
  const running = () =>
    fleet.machines.filter(({ isUp }) => isUp).map((machine) => fleet.getControl(machine));
  const route = {
    name: 'r-look',
    host: 'desk.example',
    pathPrefix: '/look/',
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
  const put = async (version) => {
    const { status } = await putConfig(
      running(),
      createConfig({ version, routes: [{ ...route, timeoutMs: 1_500 + version }], services }),
    );
    record.add(`PUT /config version ${version}: status ${status}`);
    return status === 200;
  };
  requireThat(await put(1), 'the first configuration was not acknowledged');
  await sleep(PREPARE_MS);

  if (HAS_TROUBLE) {
    successor.starts = 1;
    fleet.start([successor]);
    record.add(`${successor.name} starts with an empty disk`);
    await sleep(OVERLAP_MS);
    old.child.kill('SIGTERM');
    record.add(`${old.name} gets SIGTERM`);
    const killer = setTimeout(() => old.child.kill('SIGKILL'), BOUNDS.graceS * 1_000);
    const { code } = await old.ended;
    clearTimeout(killer);
    record.add(`${old.name} has ended with code ${code}, for good`);
    await sleep(SECOND_LOSS_MS);
  }
  requireThat(await put(2), 'the second configuration was not acknowledged');
  if (HAS_TROUBLE) {
    await fleet.kill([second]);
    fleet.wipe(second);
    fleet.start([second]);
    record.add(`${second.name} has lost its disk and starts again`);
  }

  const from = performance.now();
  let last;
  let hasCome = false;
  while (!hasCome && performance.now() - from < READ_BACK_MS) {
    for (const control of running()) {
      last = await call({ ...control, path: '/config' });
      hasCome ||= last.status === 200 && JSON.parse(last.text).version === 2;
      if (hasCome) {
        break;
      }
    }
    await sleep(hasCome ? 0 : 500);
  }
  record.add(`GET /config, last answer: status ${last.status} ${last.text.slice(0, 120)}`);
  record.add(`read back after ${Math.round(performance.now() - from)} ms: ${hasCome}`);
  const changed = await call({
    ...running()[0],
    method: 'PUT',
    path: '/config',
    body: JSON.stringify(createConfig({ version: 3, routes: [route], services })),
    timeoutMs: 2_000,
  });
  record.add(`PUT /config version 3: status ${changed.status} ${changed.text.slice(0, 120)}`);
  return hasCome
    ? []
    : [
        `LOST, CONFIG: the acknowledged configuration does not come for ${READ_BACK_MS} ms after all machines are back`,
      ];
});
