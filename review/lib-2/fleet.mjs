/**
 * Starts the program of the deploy file as separate processes on loopback addresses, with settings like those of a small
 * deployment, and writes the record of a case.
 */
import { spawn } from 'node:child_process';
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { request as httpRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const hasTrouble = process.env.TROUBLE !== '0';

/** Bounds as the sheet of the small deployment states them. */
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

/** The record of a case: what was sent, answered and run. */
export class Record {
  constructor(folder) {
    this.file = join(folder, 'record.txt');
    this.startedAt = performance.now();
    writeFileSync(this.file, '');
  }

  add(text) {
    const at = ((performance.now() - this.startedAt) / 1000).toFixed(3);
    const line = `${at.padStart(8)} s  ${text}`;
    appendFileSync(this.file, `${line}\n`);
    process.stdout.write(`${line}\n`);
  }
}

/** Finds ports that are free on a loopback address. */
export async function findPorts(count, host = '127.0.0.1') {
  const servers = [];
  for (let i = 0; i < count; i += 1) {
    const server = createServer();
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(0, host, resolve);
    });
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

/** Longest time that a case may take; it then could not run. */
const CASE_TIMEOUT_MS = 110_000;

/**
 * Runs a case: `judge` starts what it needs and returns true if the rule was broken, false if it held and undefined if the
 * case could not run. Ends the process with 1, 0 or 2, and all processes that it started before.
 */
export async function runCase(folder, options, judge) {
  const record = new Record(folder);
  const children = new Set();
  const finish = (code, text) => {
    record.add(text);
    for (const child of children) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    process.exit(code);
  };
  setTimeout(() => finish(2, 'the case took too long'), CASE_TIMEOUT_MS);
  process.on('uncaughtException', (error) => finish(2, `the case failed: ${error.stack}`));
  process.on('SIGTERM', () => finish(2, 'the case was stopped'));
  const fleet = await Fleet.create(record, options, children);
  const isBroken = await judge(fleet, record);
  await fleet.dispose();
  if (isBroken === undefined) {
    finish(2, 'the case could not run');
  }
  finish(isBroken ? 1 : 0, isBroken ? 'the rule was broken' : 'the rule held');
}

/** Sends one call on a connection of its own. Resolves with status 0 if it gets no whole answer. */
export function call(
  address,
  { method = 'GET', path = '/', headers = {}, body, timeoutMs = 1000 },
) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const request = httpRequest({
      host,
      port,
      method,
      path,
      headers,
      agent: false,
      localAddress: '127.0.0.1',
    });
    const timer = setTimeout(() => request.destroy(new Error('no answer in time')), timeoutMs);
    const end = (answer) => {
      clearTimeout(timer);
      resolve(answer);
    };
    request.on('error', (error) => end({ status: 0, body: '', headers: {}, error: error.message }));
    request.on('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', (error) =>
        end({ status: 0, body: '', headers: {}, error: error.message }),
      );
      response.on('end', () =>
        end({
          status: response.statusCode,
          body: Buffer.concat(chunks).toString('utf8'),
          headers: response.headers,
        }),
      );
    });
    request.end(body);
  });
}

/** Machines of class `frontend`, each with one process. The first `disks` of them have a disk. */
export class Fleet {
  static async create(record, { machines = 5, disks = 3 } = {}, children = new Set()) {
    const net = 1 + (process.pid % 200);
    const hosts = Array.from({ length: machines }, (_, i) => `127.${net}.0.${i + 1}`);
    const [client, ready, control, internal] = await findPorts(4, hosts[0]);
    return new Fleet(record, hosts, disks, { client, ready, control, internal }, children);
  }

  constructor(record, hosts, disks, ports, children) {
    this.record = record;
    this.children = children;
    this.ports = ports;
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    const zones = ['zg-a', 'zg-b', 'zg-c'];
    this.machines = hosts.map((ip, i) => ({
      name: `m${i + 1}`,
      ip,
      zone: zones[i % 3],
      hasDisk: i < disks,
      child: undefined,
      starts: 0,
      exited: Promise.resolve(),
    }));
    const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
    [this.program, ...this.arguments] = /^run = "(.*)"$/m.exec(text)[1].split(' ');
    this.template = readFileSync(join(ROOT, 'deploy', 'settings.template.json'), 'utf8');
  }

  get(name) {
    return this.machines.find((machine) => machine.name === name);
  }

  control(name) {
    return `${this.get(name).ip}:${this.ports.control}`;
  }

  client(name) {
    return `${this.get(name).ip}:${this.ports.client}`;
  }

  get controls() {
    return this.machines.map(({ name }) => this.control(name));
  }

  start(name, { bounds = {}, seeds } = {}) {
    const machine = this.get(name);
    const dataDir = join(this.folder, `${name}.data`);
    if (machine.hasDisk) {
      mkdirSync(dataDir, { recursive: true });
    }
    const settings = {
      nodeName: name,
      role: 'router',
      machineClass: 'frontend',
      serves: ['frontend', 'control'],
      ip: machine.ip,
      zone: machine.zone,
      region: 'hr-central',
      portRange: [this.ports.internal, this.ports.internal + 15],
      seeds: seeds ?? this.controls.slice(0, 3),
      bootstrap: machine.starts === 0,
      faultCounted: machine.hasDisk,
      ...(machine.hasDisk ? { dataDir } : {}),
      discovery: 'self_register',
      entry: 'vip',
      heartbeatMs: 1200,
      contracts: [
        'base',
        'drain',
        'config',
        'cost',
        'retry',
        'recover',
        'kvcache',
        'stream',
        'engine',
        'tenants',
        'quota',
      ],
      configMode: 'highest',
      zones: { 'zg-a': 'hr-central', 'zg-b': 'hr-central', 'zg-c': 'hr-central' },
      listen: {
        frontendAddr: this.client(name),
        readinessAddr: `${machine.ip}:${this.ports.ready}`,
        control: this.control(name),
      },
      limits: {
        cpuShare: 0.608,
        cores: 2,
        memoryMb: 350,
        maxFds: 4100,
        linkMbps: 1000,
        diskMb: 64,
      },
      faultTolerance: { machines: 1, zones: 0, regions: 0 },
      bounds: { ...BOUNDS, ...bounds },
    };
    const file = join(this.folder, `${name}.json`);
    writeFileSync(file, this.template.replace('{{.|json}}', JSON.stringify(settings)));
    machine.starts += 1;
    const log = openSync(join(this.folder, `${name}.log`), 'a');
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(this.program, this.arguments, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, REDWINGWHARF_SETTINGS: file },
      stdio: ['ignore', log, log],
    });
    this.children.add(child);
    machine.child = child;
    machine.exited = new Promise((resolve) => child.once('exit', resolve));
    this.record.add(`start ${name} (start ${machine.starts})`);
  }

  signal(name, signal) {
    this.record.add(`${signal} to ${name}`);
    this.get(name).child?.kill(signal);
  }

  async kill(name) {
    this.signal(name, 'SIGKILL');
    await this.get(name).exited;
  }

  /** A disk that is lost: the process is ended before, and starts again with an empty folder. */
  eraseDisk(name) {
    this.record.add(`disk of ${name} is lost`);
    rmSync(join(this.folder, `${name}.data`), { recursive: true, force: true });
  }

  log(name) {
    return readFileSync(join(this.folder, `${name}.log`), 'utf8');
  }

  /** Waits until the readiness check of each machine answers 200. */
  async waitReady(names = this.machines.map(({ name }) => name), timeoutMs = 20000) {
    const deadline = performance.now() + timeoutMs;
    for (const name of names) {
      while (
        (await call(`${this.get(name).ip}:${this.ports.ready}`, { path: '/readyz' })).status !== 200
      ) {
        if (performance.now() > deadline) {
          return false;
        }
        await sleep(100);
      }
    }
    return true;
  }

  async dispose() {
    for (const { child } of this.machines) {
      child?.kill('SIGCONT');
      child?.kill('SIGKILL');
    }
    await Promise.all(this.machines.map(({ exited }) => exited));
    if (process.env.KEEP !== '1') {
      rmSync(this.folder, { recursive: true, force: true });
    }
  }
}

/** The operator: sends a call again, to one machine after the other, until it has a clear answer. */
export async function order(
  fleet,
  record,
  { method, path, body, label, deadlineMs = 20000, first = 0 },
) {
  const deadline = performance.now() + deadlineMs;
  for (let i = first; performance.now() < deadline; i += 1) {
    const { name } = fleet.machines[i % fleet.machines.length];
    const answer = await call(fleet.control(name), {
      method,
      path,
      body,
      headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) },
    });
    if (answer.status >= 200 && answer.status < 500) {
      record.add(`operator: ${label} at ${name}: ${answer.status}`);
      return { ...answer, name };
    }
    await sleep(Math.min(400, 50 * (i - first + 1)));
  }
  record.add(`operator: ${label}: no clear answer`);
  return { status: 0 };
}

export const putConfig = (fleet, record, config, options = {}) =>
  order(fleet, record, {
    method: 'PUT',
    path: '/config',
    body: JSON.stringify(config),
    label: `PUT /config version ${config.version}`,
    ...options,
  });
