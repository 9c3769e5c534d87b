/** Operators that change the configuration during the soak through the command line of the program. */
import { execFile } from 'node:child_process';
import { randomUUID } from 'node:crypto';
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { Deployment, ICommandResult } from '../harness/Deployment.js';
import type { Invariants } from './Invariants.js';
import type { Random } from './Random.js';
import type { ISoakKey, Records } from './Records.js';

/** An accepted change. */
export interface IAcceptedChange {
  readonly version: number;
  readonly operationId: string;
  /** Time at which the command returned, in milliseconds of `performance.now()`. */
  readonly acceptedAt: number;
}

const COMMAND_TIMEOUT_S = 10;

/** Service of the changes that test concurrent and repeated publishing; nothing else uses it. */
const RACE_SERVICE = 'race';

/** Issues and withdraws keys, changes rates and publishes services, and records the accepted changes. */
export class Operator {
  public readonly acceptedChanges: IAcceptedChange[] = [];
  private _changeCount = 0;

  constructor(
    private readonly _deployment: Deployment,
    private readonly _records: Records,
    private readonly _invariants: Invariants,
    private readonly _random: Random,
  ) {}

  /** Newest accepted version. */
  public get version(): number {
    return Math.max(0, ...this.acceptedChanges.map(({ version }) => version));
  }

  /** Publishes the services of the deployment. */
  public async publish(): Promise<ICommandResult> {
    const result = await this._runCommand([
      'publish',
      `${this._deployment.folder}/services`,
      '--json',
    ]);
    this._recordAccepted(result);
    return result;
  }

  /** Issues a key for a client account; undefined if the command failed. */
  public async giveKey(account: string): Promise<ISoakKey | undefined> {
    const result = await this._runCommand(['key', 'give', account]);
    const match = /rww_([0-9a-f]+)_\S+/.exec(result.stdout);
    if (match === null) {
      return undefined;
    }
    const key = { text: match[0], keyId: match[1] ?? '', account, withdrawnAt: undefined };
    this._records.keys.push(key);
    return key;
  }

  /**
   * Withdraws a key, in up to 10 attempts. It counts as withdrawn from the return of the accepted
   * command.
   */
  public async withdrawKey(key: ISoakKey): Promise<void> {
    for (let attempt = 1; attempt <= 10 && key.withdrawnAt === undefined; attempt++) {
      const result = await this._runCommand(['key', 'withdraw', key.keyId]);
      if (result.code === 0) {
        key.withdrawnAt = performance.now();
      }
    }
  }

  public async updateRate(account: string, rate: number, burst: number): Promise<void> {
    const limits = ['--rate', String(rate), '--burst', String(burst)];
    const options = ['--services', 'lace,order-desk', '--replace'];
    await this._runCommand(['account', 'create', account, ...limits, ...options]);
  }

  /**
   * Lets two operators publish different content under the same version; at most one may be accepted.
   */
  public async publishConcurrently(): Promise<void> {
    const version = await this._readVersion();
    if (version === undefined) {
      return;
    }
    const results = await Promise.all(
      ['anna', 'bert'].map((operator) =>
        this._runCommand(this._preparePublish(operator, version + 1, randomUUID())),
      ),
    );
    const acceptedCount = results.filter((result) => this._recordAccepted(result)).length;
    this._invariants.check('f_configuration', acceptedCount <= 1, () => {
      return `version ${version + 1} was accepted from ${acceptedCount} operators`;
    });
  }

  /** Sends the same change again after its answer was lost; it must not get a second version. */
  public async repeatPublish(): Promise<void> {
    const version = await this._readVersion();
    if (version === undefined) {
      return;
    }
    const args = this._preparePublish('anna', version + 1, randomUUID());
    await this._runAndKill(args, this._random.nextBetween(60, 400));
    const first = await this._runCommand(args);
    const second = await this._runCommand(args);
    this._recordAccepted(first);
    if (first.code === 0 && second.code === 0) {
      const [firstVersion, secondVersion] = [parseVersion(first), parseVersion(second)];
      this._invariants.check('f_configuration', firstVersion === secondVersion, () => {
        return `a repeated operation got version ${firstVersion} and then ${secondVersion}`;
      });
    }
  }

  /** Returns false if the command failed. */
  public async drainSidecar(target: string): Promise<boolean> {
    const address = this._deployment.getInternalAddress(target);
    const { secretFile } = this._deployment;
    const args = ['drain', '--sidecar', address, '--secret-file', secretFile];
    return (await this._deployment.runCommand(args)).code === 0;
  }

  /**
   * Writes a change with a new route into a new folder; returns the arguments of its `publish`
   * command.
   */
  private _preparePublish(operator: string, version: number, operationId: string): string[] {
    this._changeCount += 1;
    const folder = join(this._deployment.folder, 'races', String(this._changeCount));
    mkdirSync(folder, { recursive: true });
    const routes = [{ path: `/race-${this._changeCount}`, methods: ['GET'], open: true }];
    const services = [{ name: RACE_SERVICE, kind: 'plain', routes }];
    writeFileSync(join(folder, 'redwingwharf.json'), JSON.stringify({ services }));
    const change = ['--version', String(version), '--operation-id', operationId];
    return ['publish', folder, '--json', '--operator', operator, ...change];
  }

  private async _runCommand(args: readonly string[]): Promise<ICommandResult> {
    return this._deployment.runOperator([...args, '--timeout', String(COMMAND_TIMEOUT_S)]);
  }

  /** Runs a command and kills it after `afterMs`, so that its answer is lost. */
  private async _runAndKill(args: readonly string[], afterMs: number): Promise<void> {
    const control = this._deployment.listControlAddresses().join(',');
    const options = ['--control', control, '--secret-file', this._deployment.secretFile];
    await new Promise<void>((resolve) => {
      const command = ['dist/redwingwharf-test.cjs', ...args, ...options];
      const child = execFile(process.execPath, command, () => {
        resolve();
      });
      setTimeout(() => child.kill('SIGKILL'), afterMs);
    });
  }

  /** Records an accepted change; returns false if the command failed. */
  private _recordAccepted(result: ICommandResult): boolean {
    if (result.code !== 0) {
      return false;
    }
    const { version, operationId } = JSON.parse(result.stdout) as {
      version: number;
      operationId: string;
    };
    const sameVersion = this.acceptedChanges.find((change) => change.version === version);
    const isOnlyOperation = sameVersion === undefined || sameVersion.operationId === operationId;
    this._invariants.check('f_configuration', isOnlyOperation, () => {
      return `version ${version} was accepted for two operations`;
    });
    this.acceptedChanges.push({ version, operationId, acceptedAt: performance.now() });
    return true;
  }

  /** Highest version in the status of the control members; undefined if the status names none. */
  private async _readVersion(): Promise<number | undefined> {
    const result = await this._runCommand(['status', '--json']);
    const versions = [...result.stdout.matchAll(/"version":\s*"?(\d+)/g)].map((versionMatch) =>
      Number(versionMatch[1]),
    );
    return versions.length === 0 ? undefined : Math.max(...versions);
  }
}

function parseVersion(result: ICommandResult): number {
  return (JSON.parse(result.stdout) as { version: number }).version;
}
