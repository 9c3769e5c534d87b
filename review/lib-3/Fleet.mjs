/** Starts the program of the deploy file as separate processes, one for each simulated machine. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import {
  appendFileSync,
  closeSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

export const ROOT = resolve(import.meta.dirname, '../..');

/** The words of `run` in deploy/system.toml. */
const RUN = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8').match(/^run = "([^"]+)"/m)[1];

/** The bounds of kmreza-hq, as `fleetbench wire` prints them. */
export const BOUNDS = {
  seedLagS: 3,
  addrReuseS: 2,
  stableWindowMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configMs: 2000,
  rollbackSlackMs: 250,
  maxStretchMs: 5000,
  revokeStrict: false,
  revokeMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retryBudgetSlack: 60,
  quotaWindowS: 8,
  quotaExcess: 0.1,
  quotaSlack: 110000,
  recoveryS: 12,
  transitMs: 120,
  retryAfterS: 10,
  requireFencing: true,
  leaseMs: 3000,
  thawSlackMs: 300,
  versionMs: 10000,
  versionAllMs: 14000,
};

export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));

export async function findFreePorts(count) {
  const servers = [];
  for (let i = 0; i < count; i += 1) {
    const server = createServer().listen(0, '127.0.0.1');
    await once(server, 'listening');
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((done) => server.close(done))));
  return ports;
}

/** The record of a case. */
export class Recorder {
  constructor(file) {
    this.file = file;
    this.startedAt = performance.now();
    writeFileSync(file, '');
  }

  write(text, detail) {
    const at = ((performance.now() - this.startedAt) / 1000).toFixed(3);
    const rest = detail === undefined ? '' : ` ${JSON.stringify(detail)}`;
    appendFileSync(this.file, `${at} ${text}${rest}\n`);
  }
}

export class Fleet {
  /** @param disks number of machines with a disk; they come first */
  static async create({ machines = 3, disks = 3, bounds = {}, limits = {} } = {}) {
    const [internal, clients, readiness, control] = await findFreePorts(4);
    const fleet = new Fleet();
    fleet.folder = mkdtempSync(join(tmpdir(), 'redwingwharf-review-'));
    fleet.ports = { internal, clients, readiness, control };
    fleet.bounds = { ...BOUNDS, ...bounds };
    fleet.limits = limits;
    fleet.machines = Array.from({ length: machines }, (_, i) => ({
      name: `m${i + 1}`,
      ip: `127.0.1.${i + 1}`,
      zone: ['zg-a', 'zg-b', 'zg-c'][i % 3],
      hasDisk: i < disks,
      starts: 0,
      child: undefined,
      exits: [],
    }));
    fleet.seeds = fleet.machines.slice(0, Math.min(3, disks)).map(({ ip }) => `${ip}:${control}`);
    return fleet;
  }

  get control() {
    return this.machines.map(({ ip }) => ({ host: ip, port: this.ports.control }));
  }

  client(i) {
    return { host: this.machines[i].ip, port: this.ports.clients };
  }

  settings(machine) {
    const { internal, clients, readiness, control } = this.ports;
    const dataDir = join(this.folder, `${machine.name}.data`);
    if (machine.hasDisk) {
      mkdirSync(dataDir, { recursive: true });
    }
    return {
      nodeName: machine.name,
      role: 'router',
      machineClass: 'frontend',
      serves: ['frontend', 'control'],
      ip: machine.ip,
      zone: machine.zone,
      region: 'hr-central',
      portRange: [internal, internal + 1],
      seeds: this.seeds,
      bootstrap: machine.starts === 0 && !machine.isLate,
      faultCounted: machine.hasDisk,
      ...(machine.hasDisk ? { dataDir } : {}),
      discovery: 'self_register',
      entry: 'vip',
      heartbeatMs: 1200,
      configMode: 'highest',
      zones: { 'zg-a': 'hr-central', 'zg-b': 'hr-central', 'zg-c': 'hr-central' },
      listen: {
        frontendAddr: `${machine.ip}:${clients}`,
        readinessAddr: `${machine.ip}:${readiness}`,
        control: `${machine.ip}:${control}`,
      },
      limits: { memoryMb: 350, maxFds: 4100, cores: 1, ...this.limits },
      faultTolerance: { machines: 1, zones: 0, regions: 0 },
      bounds: this.bounds,
    };
  }

  /** Renders deploy/settings.template.json as the platform does. */
  writeSettings(machine) {
    const template = readFileSync(join(ROOT, 'deploy/settings.template.json'), 'utf8');
    const file = join(this.folder, `${machine.name}.json`);
    writeFileSync(file, template.replace('{{.|json}}', JSON.stringify(this.settings(machine))));
    return file;
  }

  start(i) {
    const machine = this.machines[i];
    const file = this.writeSettings(machine);
    machine.starts += 1;
    const log = openSync(join(this.folder, `${machine.name}.log`), 'a');
    const [program, ...args] = RUN.split(' ');
    const child = spawn(program, args, {
      cwd: ROOT,
      stdio: ['ignore', log, log],
      env: { PATH: process.env.PATH, HOME: process.env.HOME, REDWINGWHARF_SETTINGS: file },
    });
    closeSync(log);
    machine.child = child;
    machine.isExpected = false;
    child.ended = once(child, 'exit').then(([code, signal]) => {
      machine.exits.push({ code, signal, isExpected: machine.isExpected });
    });
  }

  async startAll() {
    this.machines.forEach((_, i) => {
      this.start(i);
    });
  }

  signal(i, name) {
    this.machines[i].child.kill(name);
  }

  async stop(i, name = 'SIGKILL') {
    const machine = this.machines[i];
    machine.isExpected = true;
    machine.child.kill(name);
    await machine.child.ended;
  }

  wipe(i) {
    rmSync(join(this.folder, `${this.machines[i].name}.data`), { recursive: true, force: true });
  }

  log(i) {
    return readFileSync(join(this.folder, `${this.machines[i].name}.log`), 'utf8');
  }

  async dispose() {
    for (const { child } of this.machines) {
      if (child !== undefined && child.exitCode === null && child.signalCode === null) {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
        await child.ended;
      }
    }
    if (process.env.KEEP === undefined) {
      rmSync(this.folder, { recursive: true, force: true });
    } else {
      console.log(`kept ${this.folder}`);
    }
  }
}

/** Ends a case. run.sh turns 10 into 1, so that a script that fails by itself is not taken for a broken rule. */
export function finish(record, outcome, rule) {
  const texts = { held: 'rule held', broken: `rule broken: ${rule}`, unable: 'could not run' };
  record.write(texts[outcome]);
  process.exit({ held: 0, broken: 10, unable: 2 }[outcome]);
}
