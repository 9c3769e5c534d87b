/** Operators: they give and withdraw keys, change rates and publish, and record what was accepted. */
import { execFile } from 'node:child_process';
import { randomUUID } from 'node:crypto';
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { Deployment, ICommandResult } from '../harness/Deployment.js';
import type { Invariants } from './Invariants.js';
import type { Random } from './Random.js';
import type { ISoakKey, Records } from './Records.js';

/** An accepted change. */
export interface IAccepted {
  readonly version: number;
  readonly operationId: string;
  /** Time at which the operator learned of it. */
  readonly at: number;
}

const COMMAND_TIMEOUT_S = 10;

/** Marks items that only the soak publishes. */
const RACE_SERVICE = 'race';

export class Operator {
  public readonly accepted: IAccepted[] = [];
  private _races = 0;

  constructor(
    private readonly _deployment: Deployment,
    private readonly _records: Records,
    private readonly _invariants: Invariants,
    private readonly _random: Random,
  ) {}

  /** Newest accepted version. */
  public get version(): number {
    return Math.max(0, ...this.accepted.map(({ version }) => version));
  }

  public async publish(): Promise<ICommandResult> {
    const result = await this._run(['publish', `${this._deployment.folder}/services`, '--json']);
    this._recordAccepted(result);
    return result;
  }

  public async giveKey(account: string): Promise<ISoakKey | undefined> {
    const result = await this._run(['key', 'give', account]);
    const match = /rww_([0-9a-f]+)_\S+/.exec(result.stdout);
    if (match === null) {
      return undefined;
    }
    const key = { text: match[0], keyId: match[1] ?? '', account, withdrawnAt: undefined };
    this._records.keys.push(key);
    return key;
  }

  /** Withdraws a key; its time counts from the return of the command that was accepted. */
  public async withdrawKey(key: ISoakKey): Promise<void> {
    for (let attempt = 1; attempt <= 10 && key.withdrawnAt === undefined; attempt++) {
      const result = await this._run(['key', 'withdraw', key.keyId]);
      if (result.code === 0) {
        key.withdrawnAt = performance.now();
      }
    }
  }

  public async updateRate(account: string, rate: number, burst: number): Promise<void> {
    const limits = ['--rate', String(rate), '--burst', String(burst)];
    const options = ['--services', 'lace,order-desk', '--replace'];
    await this._run(['account', 'create', account, ...limits, ...options]);
  }

  /** Two operators publish different content under the same version. */
  public async publishRace(): Promise<void> {
    const version = await this._readVersion();
    if (version === undefined) {
      return;
    }
    const results = await Promise.all(
      ['anna', 'bert'].map((operator) =>
        this._run(this._buildRace(operator, version + 1, randomUUID())),
      ),
    );
    const winners = results.filter((result) => this._recordAccepted(result)).length;
    this._invariants.check('f_configuration', winners <= 1, () => {
      return `version ${version + 1} has ${winners} winners`;
    });
  }

  /** The answer is lost, and the operator sends the same change again. */
  public async publishAgain(): Promise<void> {
    const version = await this._readVersion();
    if (version === undefined) {
      return;
    }
    const args = this._buildRace('anna', version + 1, randomUUID());
    await this._killMidway(args, this._random.nextBetween(60, 400));
    const first = await this._run(args);
    const second = await this._run(args);
    this._recordAccepted(first);
    if (first.code === 0 && second.code === 0) {
      const [one, two] = [parseVersion(first), parseVersion(second)];
      this._invariants.check('f_configuration', one === two, () => {
        return `a resent operation got version ${one} and then ${two}`;
      });
    }
  }

  public async drainSidecar(target: string): Promise<boolean> {
    const address = this._deployment.getInternalAddress(target);
    const { secretFile } = this._deployment;
    const args = ['drain', '--sidecar', address, '--secret-file', secretFile];
    return (await this._deployment.runCommand(args)).code === 0;
  }

  private _buildRace(operator: string, version: number, operationId: string): string[] {
    this._races += 1;
    const folder = join(this._deployment.folder, 'races', String(this._races));
    mkdirSync(folder, { recursive: true });
    const routes = [{ path: `/race-${this._races}`, methods: ['GET'], open: true }];
    const services = [{ name: RACE_SERVICE, kind: 'plain', routes }];
    writeFileSync(join(folder, 'redwingwharf.json'), JSON.stringify({ services }));
    const change = ['--version', String(version), '--operation-id', operationId];
    return ['publish', folder, '--json', '--operator', operator, ...change];
  }

  private async _run(args: readonly string[]): Promise<ICommandResult> {
    return this._deployment.runOperator([...args, '--timeout', String(COMMAND_TIMEOUT_S)]);
  }

  private async _killMidway(args: readonly string[], afterMs: number): Promise<void> {
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

  /** Records an accepted publish; false when it was not accepted. */
  private _recordAccepted(result: ICommandResult): boolean {
    if (result.code !== 0) {
      return false;
    }
    const { version, operationId } = JSON.parse(result.stdout) as {
      version: number;
      operationId: string;
    };
    const other = this.accepted.find((change) => change.version === version);
    const isSame = other === undefined || other.operationId === operationId;
    this._invariants.check('f_configuration', isSame, () => {
      return `version ${version} is held by two operations`;
    });
    this.accepted.push({ version, operationId, at: performance.now() });
    return true;
  }

  private async _readVersion(): Promise<number | undefined> {
    const result = await this._run(['status', '--json']);
    const versions = [...result.stdout.matchAll(/"version":\s*"?(\d+)/g)].map((match) =>
      Number(match[1]),
    );
    return versions.length === 0 ? undefined : Math.max(...versions);
  }
}

function parseVersion(result: ICommandResult): number {
  return (JSON.parse(result.stdout) as { version: number }).version;
}
