/**
 * Starts a small deployment of separate processes on loopback, for the demo, the soak and
 * measurements.
 */
import { execFile } from 'node:child_process';
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { Child } from './Child.js';
import { findFreePorts } from './Ports.js';

const PROGRAM_FILE = 'dist/redwingwharf.cjs';
const FAKES_FILE = 'dist/fakes.cjs';
const START_TIMEOUT_MS = 20_000;

/** A target and its sidecar. The target is a fake. */
export interface ITargetPlan {
  readonly id: string;
  readonly service: string;
  readonly kind: 'engine' | 'plain';
  readonly model?: string;
  readonly dataCentre: string;
  /** Additional command line arguments of the fake. */
  readonly fakeArgs?: readonly string[];
}

/** An entry. It is also a control member unless `hasControl` is false. */
export interface IEntryPlan {
  readonly name: string;
  readonly dataCentre: string;
  readonly hasControl?: boolean;
}

/** Processes and files of a deployment. */
export interface IDeploymentPlan {
  readonly region: string;
  readonly entries: readonly IEntryPlan[];
  readonly targets: readonly ITargetPlan[];
  /** Ids of targets that `start` does not start. */
  readonly lateTargets?: readonly string[];
  /** Content of the operator's files, by the name of their folder. */
  readonly operatorFiles: Readonly<Record<string, unknown>>;
  readonly policy?: string;
  /** Bundle of the program; by default that of the product. */
  readonly program?: string;
  /** Module that the processes of the program load before their own code. */
  readonly preload?: string;
  /** Additional environment variables of the processes of the program. */
  readonly environment?: Readonly<Record<string, string>>;
  /** Starts a KV cache store that the sidecars of engines use. */
  readonly hasKvCacheStore?: boolean;
}

interface IEntryPorts {
  readonly public: number;
  readonly internal: number;
}

interface ITargetPorts {
  readonly target: number;
  readonly sidecar: number;
}

/** Result of a command of the program. */
export interface ICommandResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Manages the processes, settings, data and logs of one deployment in a temporary folder. */
export class Deployment {
  private readonly _children = new Map<string, Child>();

  private constructor(
    public readonly folder: string,
    private readonly _plan: IDeploymentPlan,
    private readonly _entryPorts: ReadonlyMap<string, IEntryPorts>,
    private readonly _targetPorts: ReadonlyMap<string, ITargetPorts>,
    private readonly _kvCacheStorePort: number,
  ) {}

  /** Chooses free ports and writes the settings into a new folder; starts no process. */
  public static async create(plan: IDeploymentPlan): Promise<Deployment> {
    const folder = mkdtempSync(join(tmpdir(), 'redwingwharf-'));
    const ports = await findFreePorts((plan.entries.length + plan.targets.length) * 2 + 1);
    const getNextPort = (): number => ports.shift() ?? 0;
    const entryPorts = new Map(
      plan.entries.map(({ name }) => [name, { public: getNextPort(), internal: getNextPort() }]),
    );
    const targetPorts = new Map(
      plan.targets.map(({ id }) => [id, { target: getNextPort(), sidecar: getNextPort() }]),
    );
    const deployment = new Deployment(folder, plan, entryPorts, targetPorts, getNextPort());
    deployment._writeFiles();
    return deployment;
  }

  public get secretFile(): string {
    return join(this.folder, 'secret');
  }

  /** File to which the fakes append violations, such as keys of clients that reached a target. */
  public get violationsFile(): string {
    return join(this.folder, 'violations.jsonl');
  }

  /** File from which the preloaded module of a process reads its disturbances. */
  public getNetworkFile(name: string): string {
    return join(this.folder, `${name}.network`);
  }

  /** File to which the plain fakes append the effects of orders. */
  public get ledgerFile(): string {
    return join(this.folder, 'effects.jsonl');
  }

  public listEntries(): string[] {
    return [...this._entryPorts.keys()];
  }

  public listTargets(): string[] {
    return [...this._targetPorts.keys()];
  }

  public getChild(name: string): Child | undefined {
    return this._children.get(name);
  }

  /** Base URL of an entry for clients. */
  public getEntryUrl(entry: string): string {
    return `http://127.0.0.1:${this._entryPorts.get(entry)?.public ?? 0}`;
  }

  /** Internal address of an entry, or of the sidecar of a target. */
  public getInternalAddress(name: string): string {
    const port = this._entryPorts.get(name)?.internal ?? this._targetPorts.get(name)?.sidecar;
    return `127.0.0.1:${port ?? 0}`;
  }

  /** Base URL of a target, which bypasses the program. */
  public getTargetUrl(id: string): string {
    return `http://127.0.0.1:${this._targetPorts.get(id)?.target ?? 0}`;
  }

  public listControlAddresses(): string[] {
    return this._plan.entries
      .filter(({ hasControl }) => hasControl !== false)
      .map(({ name }) => this.getInternalAddress(name));
  }

  /**
   * Bootstraps the consensus group in the data directory of the first entry and starts all processes.
   */
  public async start(): Promise<void> {
    const [firstEntry = ''] = this.listEntries();
    const settings = this._getSettingsFile(firstEntry);
    const initResult = await this.runCommand(['init', '--settings', settings]);
    if (initResult.code !== 0) {
      throw new Error(
        `init of the consensus group failed: ${initResult.stderr}${initResult.stdout}`,
      );
    }
    for (const name of this.listEntries()) {
      this.startEntry(name);
    }
    if (this._plan.hasKvCacheStore === true) {
      this._spawn('kv-store', [
        FAKES_FILE,
        'kv-store',
        '--listen',
        this._kvCacheStoreAddress,
        '--chunks',
        '512',
      ]);
    }
    const lateTargets = this._plan.lateTargets ?? [];
    for (const id of this.listTargets().filter((target) => !lateTargets.includes(target))) {
      this.startFake(id);
      this.startSidecar(id);
    }
  }

  public startEntry(name: string): Child {
    return this._startProgram(name);
  }

  public startSidecar(id: string): Child {
    return this._startProgram(`sidecar-${id}`);
  }

  public startFake(id: string): Child {
    const plan = this._plan.targets.find((target) => target.id === id);
    const port = this._targetPorts.get(id)?.target ?? 0;
    const model = plan?.model === undefined ? [] : ['--model', plan.model];
    return this._spawn(`fake-${id}`, [
      FAKES_FILE,
      plan?.kind ?? 'plain',
      '--listen',
      `127.0.0.1:${port}`,
      '--target',
      id,
      '--ledger',
      this.ledgerFile,
      '--violations',
      this.violationsFile,
      ...model,
      ...(plan?.fakeArgs ?? []),
    ]);
  }

  public getDataDirectory(entry: string): string {
    return join(this.folder, `${entry}-data`);
  }

  /** Deletes the data directory of a stopped entry. */
  public deleteDisk(entry: string): void {
    rmSync(this.getDataDirectory(entry), { recursive: true, force: true });
  }

  /** Runs a command of the program; a command that fails resolves with its exit code. */
  public async runCommand(args: readonly string[]): Promise<ICommandResult> {
    return new Promise((resolve) => {
      execFile(process.execPath, [this._programFile, ...args], (error, stdout, stderr) => {
        const code = error === null ? 0 : Number(error.code ?? 1);
        resolve({ code, stdout, stderr });
      });
    });
  }

  /** Runs an operator's command against the control members of this deployment. */
  public async runOperator(args: readonly string[]): Promise<ICommandResult> {
    const control = this.listControlAddresses().join(',');
    return this.runCommand([...args, '--control', control, '--secret-file', this.secretFile]);
  }

  /** Waits until the condition holds; throws with the last error of the condition after `timeoutMs`. */
  public async waitFor(
    description: string,
    condition: () => Promise<boolean>,
    timeoutMs = START_TIMEOUT_MS,
  ): Promise<void> {
    const deadlineAt = performance.now() + timeoutMs;
    let lastError = '';
    while (performance.now() < deadlineAt) {
      try {
        if (await condition()) {
          return;
        }
      } catch (error) {
        lastError = String(error);
      }
      await delay(50);
    }
    throw new Error(
      `timed out waiting for ${description}; last error: "${lastError}"; logs are in ${this.folder}`,
    );
  }

  public async isReady(entry: string): Promise<boolean> {
    const response = await fetch(`${this.getEntryUrl(entry)}/readyz`);
    return response.status === 200;
  }

  /** Waits until an entry answers a lookup with this key; throws after a time limit. */
  public async waitUntilServed(entry: string, key: string): Promise<boolean> {
    const headers = { authorization: `Bearer ${key}` };
    const url = `${this.getEntryUrl(entry)}/stock/linen`;
    await this.waitFor(`${entry} to answer`, async () => {
      const response = await fetch(url, { headers });
      return response.status === 200;
    });
    return true;
  }

  /** Kills all processes and waits for their exit. */
  public async stop(): Promise<void> {
    await Promise.all([...this._children.values()].map((child) => child.stop('SIGKILL')));
  }

  public deleteFolder(): void {
    rmSync(this.folder, { recursive: true, force: true });
  }

  private get _programFile(): string {
    return this._plan.program ?? PROGRAM_FILE;
  }

  private _startProgram(name: string): Child {
    const { preload, environment } = this._plan;
    const args = [this._programFile, 'run', '--settings', this._getSettingsFile(name)];
    return this._spawn(name, preload === undefined ? args : ['--require', preload, ...args], {
      ...environment,
      REDWINGWHARF_NETWORK_FILE: this.getNetworkFile(name),
    });
  }

  private _spawn(
    name: string,
    args: readonly string[],
    environment: Readonly<Record<string, string>> = {},
  ): Child {
    const child = new Child(name, args, join(this.folder, `${name}.log`), environment);
    this._children.set(name, child);
    return child;
  }

  private get _kvCacheStoreAddress(): string {
    return `127.0.0.1:${this._kvCacheStorePort}`;
  }

  private _getSettingsFile(name: string): string {
    return join(this.folder, `${name}.json`);
  }

  private _writeFiles(): void {
    writeFileSync(this.secretFile, 'demo-cluster-secret-0123456789\n');
    for (const [name, content] of Object.entries(this._plan.operatorFiles)) {
      const folder = join(this.folder, 'services', name);
      mkdirSync(folder, { recursive: true });
      writeFileSync(join(folder, 'redwingwharf.json'), JSON.stringify(content, undefined, 2));
    }
    for (const entry of this._plan.entries) {
      this._writeSettings(entry.name, this._buildEntrySettings(entry));
    }
    for (const target of this._plan.targets) {
      this._writeSettings(`sidecar-${target.id}`, this._buildSidecarSettings(target));
    }
  }

  private _writeSettings(name: string, settings: unknown): void {
    writeFileSync(this._getSettingsFile(name), JSON.stringify(settings, undefined, 2));
  }

  private _buildEntrySettings({ name, dataCentre, hasControl }: IEntryPlan): unknown {
    const control = this.listControlAddresses();
    const ownAddress = this.getInternalAddress(name);
    return {
      instance: name,
      region: this._plan.region,
      dataCentre,
      internal: ownAddress,
      clusterSecretFile: 'secret',
      entry: {
        listen: this.getEntryUrl(name).slice('http://'.length),
        control,
        ...(this._plan.policy === undefined ? {} : { policy: this._plan.policy }),
      },
      ...(hasControl === false
        ? {}
        : {
            control: {
              memberId: name,
              dataFolder: `${name}-data`,
              peers: control.filter((address) => address !== ownAddress),
            },
          }),
    };
  }

  private _buildSidecarSettings(target: ITargetPlan): unknown {
    const entries = this.listEntries().map((name) => this.getInternalAddress(name));
    return {
      instance: `sidecar-${target.id}`,
      region: this._plan.region,
      dataCentre: target.dataCentre,
      internal: this.getInternalAddress(target.id),
      clusterSecretFile: 'secret',
      feed: entries,
      sidecar: {
        announceTo: entries,
        ...(this._plan.hasKvCacheStore === true ? { kvCacheStore: this._kvCacheStoreAddress } : {}),
        target: {
          id: target.id,
          service: target.service,
          kind: target.kind,
          address: this.getTargetUrl(target.id).slice('http://'.length),
          ...(target.model === undefined ? {} : { model: target.model }),
        },
      },
    };
  }
}
