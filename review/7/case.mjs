/** A machine of the core is removed for good once its successor votes, and another one loses its disk right then. */
import { call, hasTrouble, putConfig, runCase, sleep } from '../lib-2/fleet.mjs';

/** More than `recoveryS`, 12 s, and `stableWindowMs`, 3 s, together. */
const READ_MS = 30_000;

/** The machine that is removed, its successor, and the machine that loses its disk. */
const REMOVED = 'm1';
const SUCCESSOR = 'm4';
const WIPED = 'm2';

const config = {
  version: 3,
  routes: [],
  services: [
    { name: 'order-desk', healthPath: '/healthz', maxConns: 120, protocol: 'h1', tls: false },
  ],
  limits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 4194304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
  },
};

/** Reads the configuration at one machine after the other until one answers 200. */
async function readBack(fleet, record, names) {
  const until = performance.now() + READ_MS;
  const refusals = {};
  while (performance.now() < until) {
    for (const name of names) {
      const { status, body } = await call(fleet.control(name), { path: '/config' });
      if (status === 200) {
        record.add(`operator: GET /config at ${name}: 200, version ${JSON.parse(body).version}`);
        return JSON.parse(body).version;
      }
      refusals[status] = (refusals[status] ?? 0) + 1;
    }
    await sleep(300);
  }
  record.add(
    `operator: GET /config for ${READ_MS / 1000} s at all machines: ${JSON.stringify(refusals)}`,
  );
  return undefined;
}

await runCase(import.meta.dirname, { machines: 6, disks: 4 }, async (fleet, record) => {
  const names = fleet.machines.map(({ name }) => name);
  names.filter((name) => name !== SUCCESSOR).forEach((name) => fleet.start(name));
  if ((await putConfig(fleet, record, config)).status !== 200) {
    return undefined;
  }
  // Traffic begins 12 s after the machines start.
  await sleep(12_000);
  fleet.get(SUCCESSOR).starts = 1;
  fleet.start(SUCCESSOR);
  // Over twice the 4 s of `catchUpS`: the successor counts, and the machine that it replaces no longer does.
  await sleep(10_000);
  const next = { ...config, version: 7 };
  if ((await putConfig(fleet, record, next)).status !== 200) {
    return undefined;
  }
  if (hasTrouble) {
    record.add(`${REMOVED} is removed for good`);
    await fleet.kill(REMOVED);
  }
  if (hasTrouble) {
    await fleet.kill(WIPED);
    fleet.eraseDisk(WIPED);
    await sleep(500);
    fleet.start(WIPED);
  }
  const rest = names.filter((name) => !hasTrouble || name !== REMOVED);
  const version = await readBack(fleet, record, rest);
  for (const name of names.slice(0, 4)) {
    const told = fleet
      .log(name)
      .split('\n')
      .filter((line) =>
        /"learner promoted"|"membership change"|"role":"leader"|majority lost/.test(line),
      );
    record.add(`log of ${name}, the last lines of the group: ${told.length}`);
    told.slice(-3).forEach((line) => record.add(`  ${line}`));
  }
  return version === undefined || version < next.version;
});
