import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { create, fromBinary, toBinary, type MessageInitShape } from '@bufbuild/protobuf';
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { parseCallerKey, verifyCallerKey } from '../common/CallerKeys.js';
import { encodeHex } from '../common/Hashes.js';
import { Err, Ok } from '../common/Result.js';
import { createRpcHandler, hasClusterSecret, refuseUnauthenticatedRequest } from '../common/Rpc.js';
import {
  ControlService,
  FeedService,
  RosterService,
  SidecarService,
  type ExecuteResponseSchema,
} from '../gen/redwingwharf/v1/control_pb.js';
import {
  CallerKeySchema,
  ChangeSchema,
  ClientAccountSchema,
  ServiceKind,
  ServiceSchema,
  type CallerKey,
  type Change,
  type ChangeResultSchema,
} from '../gen/redwingwharf/v1/state_pb.js';
import type { ILoadedSettings } from '../settings/Types.js';
import { runCommand } from './Commands.js';
import { COMMANDS } from './CommandSpecs.js';
import { digestEdits } from './Items.js';
import { EXIT_CODE, type ICommandContext } from './Types.js';

type ExecuteReply = MessageInitShape<typeof ExecuteResponseSchema>;

const SECRET = 'a-secret-for-this-test';

let folder = '';
let servers: Server[] = [];

/** Serves a control member that follows docs/design.md 3.3, an entry and a sidecar on one port. */
class FakeDeployment {
  public address = '';
  public version = 4n;
  public readonly items = new Map<string, Uint8Array>();
  public readonly changes: Change[] = [];
  public hasLeader = true;
  /** Number of answers to lose by closing the connection after the command was executed. */
  public lostAnswers = 0;
  /** Called before a change is compared with the version, to apply the change of a competing operator first. */
  public beforeChange: (() => void) | undefined;
  public executeCalls = 0;

  public async start(): Promise<void> {
    const handler = createRpcHandler((router) => {
      router.service(ControlService, {
        execute: ({ command }) =>
          this._execute(command?.body.case === 'change' ? command.body.value : undefined),
        getControlStatus: () => ({
          memberId: 'm1',
          role: this.hasLeader ? 'leader' : 'candidate',
          term: 3n,
          version: this.version,
          membership: { members: [{ id: 'm1', address: this.address, voter: true }] },
        }),
      });
      router.service(FeedService, {
        sync: () => ({
          version: this.version,
          revision: 100n + this.version,
          ...(this.hasLeader ? { ageMs: 1 } : {}),
          items: [...this.items].map(([key, value]) => ({ key, value })),
          full: true,
        }),
      });
      router.service(RosterService, {
        getEntryStatus: () => ({
          instance: 'entry-1',
          dataCentre: 'dc-1',
          ready: true,
          targets: [{ announcement: { target: 'engine-7', healthy: true }, ageMs: 12 }],
        }),
        explain: ({ requestId }) => ({
          records: requestId === 'req-1' ? ['{"stage":"choose"}'] : [],
        }),
        drain: () => ({ openRequests: 2 }),
      });
      router.service(SidecarService, { drainTarget: () => ({ openRequests: 1 }) });
    });
    const server = createServer((request, response) => {
      if (!hasClusterSecret(request, SECRET)) {
        refuseUnauthenticatedRequest(response);
        return;
      }
      if (request.url?.endsWith('/Execute') === true && this.lostAnswers > 0) {
        this.lostAnswers -= 1;
        response.write = () => true;
        response.end = () => {
          request.socket.destroy();
          return response;
        };
      }
      handler(request, response);
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    servers.push(server);
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  public apply(change: Change): void {
    this.version += 1n;
    this.changes.push(change);
    for (const item of change.items) {
      if (item.delete) {
        this.items.delete(item.key);
      } else {
        this.items.set(item.key, item.value);
      }
    }
  }

  private _execute(change: Change | undefined): ExecuteReply {
    this.executeCalls += 1;
    if (!this.hasLeader || change === undefined) {
      return { outcome: { case: 'notLeader', value: { leaderAddress: '' } } };
    }
    this.beforeChange?.();
    const digest = digestEdits(change.items);
    const existing = this.changes.find((other) => other.operationId === change.operationId);
    if (existing !== undefined && encodeHex(digestEdits(existing.items)) === encodeHex(digest)) {
      return this._accept(existing.version, true);
    }
    if (change.version !== this.version + 1n) {
      const takenChange = this.changes.find((other) => other.version === change.version);
      const takenBy = takenChange && {
        operationId: takenChange.operationId,
        operator: takenChange.operator,
        version: takenChange.version,
        digest: digestEdits(takenChange.items),
      };
      const conflict = { currentVersion: this.version, yourDigest: digest };
      const value = takenBy === undefined ? conflict : { ...conflict, takenBy };
      return createReply({ case: 'conflict', value });
    }
    this.apply(change);
    return this._accept(change.version, false);
  }

  private _accept(version: bigint, replayed: boolean): ExecuteReply {
    return createReply({
      case: 'accepted',
      value: { version, revision: 100n + version, replayed },
    });
  }
}

type ChangeOutcome = NonNullable<MessageInitShape<typeof ChangeResultSchema>['outcome']>;

function createReply(outcome: ChangeOutcome): ExecuteReply {
  const value = { body: { case: 'change' as const, value: { outcome } } };
  return { outcome: { case: 'result', value } };
}

interface IRunResult {
  readonly exitCode: number;
  readonly out: string;
  readonly warnings: string;
}

const initialisedDirectories: string[] = [];
const ranSettings: ILoadedSettings[] = [];

async function run(...argv: string[]): Promise<IRunResult> {
  const out: string[] = [];
  const warnings: string[] = [];
  const context: ICommandContext = {
    output: { print: (line) => out.push(line), warn: (line) => warnings.push(line) },
    signal: new AbortController().signal,
    runner: {
      run: (settings) => {
        ranSettings.push(settings);
        return Promise.resolve(0);
      },
    },
    initialiser: {
      init: (settings) => {
        const dataFolder = settings.control?.dataFolder ?? '';
        initialisedDirectories.push(dataFolder);
        const failure = { kind: 'not_empty' as const, message: 'The folder is not empty.' };
        return Promise.resolve(dataFolder.endsWith('full') ? Err(failure) : Ok('c1'));
      },
    },
  };
  const exitCode = await runCommand(argv, '9.9.9', context);
  return { exitCode, out: out.join('\n'), warnings: warnings.join('\n') };
}

const PLAIN = { name: 'ledger', kind: 'plain', routes: [{ path: '/ledger' }] };
const ACCOUNT = { id: 'bindery', tokensPerSecond: 500, burstTokens: 4000, services: ['ledger'] };

let deployment = new FakeDeployment();

/** Returns the options that connect a command to the fake deployment. */
function connect(secretName = 'secret'): string[] {
  const secretFile = join(folder, secretName);
  return ['--control', deployment.address, '--secret-file', secretFile, '--timeout', '3'];
}

function writeFiles(content: unknown): void {
  writeFileSync(join(folder, 'services', 'redwingwharf.json'), JSON.stringify(content));
}

function storeService(name: string): void {
  const service = create(ServiceSchema, { name, kind: ServiceKind.PLAIN });
  deployment.items.set(`service/${name}`, toBinary(ServiceSchema, service));
}

function storeAccount(id: string): void {
  const account = create(ClientAccountSchema, { id, tokensPerSecond: 1, burstTokens: 9 });
  deployment.items.set(`clientAccount/${id}`, toBinary(ClientAccountSchema, account));
}

function readKey(keyId: string): CallerKey {
  const value = deployment.items.get(`key/${keyId}`);
  expect(value).toBeDefined();
  return fromBinary(CallerKeySchema, value ?? new Uint8Array());
}

/** Creates a change of another operator at this version. */
function createCompetingChange(version: bigint): Change {
  const items = [{ key: 'weights/other', value: new Uint8Array([1]) }];
  return create(ChangeSchema, { operationId: 'rival-op', operator: 'rival', version, items });
}

async function giveKey(account: string): Promise<{ text: string; keyId: string }> {
  const result = await run('key', 'give', account, ...connect());
  expect(result.exitCode).toBe(0);
  return { text: result.out, keyId: parseCallerKey(result.out)?.keyId ?? '' };
}

beforeEach(async () => {
  folder = mkdtempSync(join(tmpdir(), 'rww-cli-'));
  mkdirSync(join(folder, 'services'));
  writeFileSync(join(folder, 'secret'), SECRET);
  writeFileSync(join(folder, 'wrong'), 'another-secret-for-this-test');
  writeFiles({ services: [PLAIN], clientAccounts: [ACCOUNT] });
  deployment = new FakeDeployment();
  await deployment.start();
});

afterEach(() => {
  for (const server of servers) {
    server.closeAllConnections();
    server.close();
  }
  servers = [];
  rmSync(folder, { recursive: true });
  vi.restoreAllMocks();
});

describe('check', () => {
  it('needs no connection and returns 1 for an invalid file, so that it can run before a merge', async () => {
    const good = await run('check', join(folder, 'services'), '--json');
    expect(good.exitCode).toBe(0);
    expect(JSON.parse(good.out)).toMatchObject({
      items: ['clientAccount/bindery', 'service/ledger'],
    });
    writeFiles({ services: [{ name: 'ledger', kind: 'plan' }] });
    const bad = await run('check', join(folder, 'services'));
    expect(bad.exitCode).toBe(1);
    expect(bad.warnings).toContain('/services/0/kind');
  });
});

describe('publish', () => {
  const publish = (...more: string[]): Promise<IRunResult> =>
    run('publish', join(folder, 'services'), ...connect(), ...more);

  it('uses the next version and prints the operation id first', async () => {
    const result = await publish('--json', '--operator', 'anna');
    expect(result.exitCode).toBe(0);
    expect(JSON.parse(result.out)).toMatchObject({ version: 5, replayed: false, items: 2 });
    expect(result.warnings).toMatch(/^operation id [0-9a-f]{32}\n/);
    expect(deployment.changes[0]).toMatchObject({ operator: 'anna', version: 5n });
  });

  it('repeats a change after a lost answer, so that it is neither lost nor applied twice', async () => {
    deployment.lostAnswers = 1;
    const result = await publish('--json');
    expect(result.exitCode).toBe(0);
    expect(JSON.parse(result.out)).toMatchObject({ version: 5, replayed: true });
    expect(deployment.changes).toHaveLength(1);
  });

  it('returns 4 when every answer is lost, and a resend completes the change', async () => {
    deployment.lostAnswers = 1_000;
    const args = ['publish', join(folder, 'services'), ...connect().slice(0, 4), '--timeout', '1'];
    const unknown = await run(...args, '--operation-id', 'op-1', '--version', '5');
    expect(unknown.exitCode).toBe(4);
    expect(unknown.warnings).toContain('outcome is unknown');
    expect(unknown.warnings).toContain('--operation-id op-1 --version 5');
    deployment.lostAnswers = 0;
    const resent = await run(...args, '--operation-id', 'op-1', '--version', '5');
    expect(resent.exitCode).toBe(0);
    expect(resent.out).toContain('had been accepted before');
    expect(deployment.changes).toHaveLength(1);
  });

  it('returns 3 and prints both digests when the version is taken by another operator', async () => {
    deployment.beforeChange = () => {
      deployment.beforeChange = undefined;
      deployment.apply(createCompetingChange(5n));
    };
    const result = await publish('--operator', 'anna', '--operation-id', 'anna-op');
    expect(result.exitCode).toBe(3);
    const rivalDigest = encodeHex(digestEdits(createCompetingChange(5n).items));
    expect(result.warnings).toContain('operator anna, operation anna-op, digest');
    expect(result.warnings).toContain(`operator rival, operation rival-op, digest ${rivalDigest}`);
    expect(deployment.items.has('service/ledger')).toBe(false);
  });

  it('returns 3 for a version above the next one, so that no version is skipped', async () => {
    const result = await publish('--version', '9', '--json');
    expect(result.exitCode).toBe(3);
    expect(JSON.parse(result.out)).toMatchObject({
      error: { kind: 'conflict', version: 9, currentVersion: 4 },
    });
  });

  it('deletes items that no file declares with --prune, but never keys', async () => {
    storeService('old');
    storeAccount('old');
    deployment.items.set('weights/old', new Uint8Array([1]));
    storeAccount('lace');
    const { keyId } = await giveKey('lace');
    const result = await publish('--prune', '--json');
    expect(result.exitCode).toBe(0);
    expect([...deployment.items.keys()].sort()).toEqual([
      'clientAccount/bindery',
      `key/${keyId}`,
      'service/ledger',
    ]);
    expect(result.warnings).toContain(`redwingwharf key withdraw ${keyId}`);
    expect(result.warnings).toContain(
      '--delete clientAccount/lace,clientAccount/old,service/old,weights/old',
    );
  });

  it('repeats a change of --prune by its --delete list, so that its content is the same', async () => {
    storeService('old');
    const firstResult = await publish('--prune', '--operation-id', 'op-1');
    expect(firstResult.exitCode).toBe(0);
    const resend = ['--operation-id', 'op-1', '--version', '5', '--delete', 'service/old'];
    const repeatedResult = await publish(...resend, '--json');
    expect(JSON.parse(repeatedResult.out)).toMatchObject({ version: 5, replayed: true });
    const stale = await publish('--operation-id', 'op-1', '--version', '5', '--prune');
    expect(stale.exitCode).not.toBe(0);
    expect(deployment.changes).toHaveLength(1);
  });

  it('refuses to delete keys, declared items and items of unknown kinds', async () => {
    for (const key of ['key/0123456789ab', 'service/ledger', 'service/', 'other/x']) {
      expect((await publish('--delete', key)).exitCode).toBe(1);
    }
    expect(deployment.executeCalls).toBe(0);
  });

  it('sends nothing when a file is invalid', async () => {
    writeFiles({ services: [PLAIN, PLAIN] });
    expect((await publish()).exitCode).toBe(1);
    expect(deployment.executeCalls).toBe(0);
  });

  it('returns 1 without a retry for a wrong secret and never prints it', async () => {
    const result = await run('publish', join(folder, 'services'), ...connect('wrong'));
    expect(result.exitCode).toBe(1);
    expect(result.warnings).toContain('--secret-file');
    expect(result.warnings).not.toContain('another-secret');
    expect(deployment.executeCalls).toBe(0);
  });

  it('returns 4 when no control member is leader, and does not run the change', async () => {
    deployment.hasLeader = false;
    const args = ['publish', join(folder, 'services'), ...connect().slice(0, 4), '--timeout', '1'];
    const result = await run(...args);
    expect(result.exitCode).toBe(4);
    expect(result.warnings).toContain('No control member is leader');
    const resultWithVersion = await run(...args, '--version', '5');
    expect(resultWithVersion.exitCode).toBe(4);
    expect(resultWithVersion.warnings).toContain('Not run');
  });
});

describe('key', () => {
  it('is stored without its secret and verifies, so that a copy of the items reveals no key', async () => {
    storeAccount('bindery');
    const { text, keyId } = await giveKey('bindery');
    const secret = parseCallerKey(text)?.secret ?? '';
    const record = readKey(keyId);
    expect(record.clientAccount).toBe('bindery');
    expect(verifyCallerKey(record, secret)).toBe(true);
    const sent = deployment.changes.map((change) => Buffer.from(change.items[0]?.value ?? []));
    expect(sent.some((value) => value.includes(secret))).toBe(false);
  });

  it('is not given to an account that does not exist', async () => {
    const result = await run('key', 'give', 'nobody', ...connect());
    expect(result).toMatchObject({ exitCode: 1, out: '' });
    expect(deployment.executeCalls).toBe(0);
  });

  it('is stored once when two operators race, and the change of the other operator is kept', async () => {
    storeAccount('bindery');
    deployment.beforeChange = () => {
      deployment.beforeChange = undefined;
      deployment.apply(createCompetingChange(5n));
    };
    await giveKey('bindery');
    expect(deployment.version).toBe(6n);
    expect(deployment.items.has('weights/other')).toBe(true);
    const keys = [...deployment.items.keys()].filter((key) => key.startsWith('key/'));
    expect(keys).toHaveLength(1);
  });

  it('is stored once when the answer is lost', async () => {
    storeAccount('bindery');
    deployment.lostAnswers = 1;
    await giveKey('bindery');
    expect(deployment.changes).toHaveLength(1);
  });

  it('is not printed when its outcome is unknown; its id is, so that no key works unnoticed', async () => {
    storeAccount('bindery');
    deployment.lostAnswers = 1_000;
    const result = await run('key', 'give', 'bindery', ...connect().slice(0, 4), '--timeout', '1');
    expect(result).toMatchObject({ exitCode: 4, out: '' });
    expect(result.warnings).toMatch(/key withdraw [0-9a-f]{12}/);
    expect(result.warnings).not.toContain('rww_');
  });

  it('keeps its record when withdrawn, so that its id is never issued again', async () => {
    storeAccount('bindery');
    const { text, keyId } = await giveKey('bindery');
    const before = readKey(keyId);
    expect((await run('key', 'withdraw', keyId, ...connect())).exitCode).toBe(0);
    const after = readKey(keyId);
    expect(after).toEqual({ ...before, withdrawn: true });
    expect(verifyCallerKey(after, parseCallerKey(text)?.secret ?? '')).toBe(false);
    const again = await run('key', 'withdraw', keyId, ...connect());
    expect(again).toMatchObject({ exitCode: 0 });
    expect(again.out).toContain('was withdrawn before');
    expect(deployment.changes).toHaveLength(2);
  });

  it('cannot be withdrawn by its whole text, which must not get into a shell history', async () => {
    storeAccount('bindery');
    const { text } = await giveKey('bindery');
    const result = await run('key', 'withdraw', text, ...connect());
    expect(result.exitCode).toBe(2);
    expect(result.warnings).not.toContain(text);
    expect((await run('key', 'withdraw', '0123456789ab', ...connect())).exitCode).toBe(1);
  });

  it('is listed without salt and hash', async () => {
    storeAccount('bindery');
    storeAccount('lace');
    const { keyId } = await giveKey('bindery');
    await giveKey('lace');
    const listed = await run('key', 'list', 'bindery', '--json', ...connect());
    expect(JSON.parse(listed.out)).toEqual({
      keys: [{ keyId, clientAccount: 'bindery', withdrawn: false }],
    });
    expect((await run('key', 'list', ...connect())).out.split('\n')).toHaveLength(3);
  });
});

describe('account', () => {
  const LIMITS = ['--rate', '50.5', '--burst', '4000', '--services', 'ledger'];

  it('is created once, and other values need --replace, so that no account changes by mistake', async () => {
    storeService('ledger');
    const create = (...more: string[]): Promise<IRunResult> =>
      run('account', 'create', 'bindery', ...connect(), ...more);
    expect((await create(...LIMITS)).exitCode).toBe(0);
    expect((await create(...LIMITS)).out).toContain('exists with these values');
    const otherLimits = ['--rate', '60', '--burst', '4000', '--services', 'ledger'];
    expect((await create(...otherLimits)).exitCode).toBe(1);
    expect((await create(...otherLimits, '--replace')).exitCode).toBe(0);
    const listed = await run('account', 'list', '--json', ...connect());
    expect(JSON.parse(listed.out)).toMatchObject({
      accounts: [{ id: 'bindery', tokensPerSecond: 60, priority: 5, services: ['ledger'] }],
    });
  });

  it.each([
    ['an unknown service', ['--rate', '5', '--burst', '9', '--services', 'ledgr']],
    ['no rate', ['--rate', '0', '--burst', '9', '--services', 'ledger']],
    ['a huge burst', ['--rate', '5', '--burst', '1e300', '--services', 'ledger']],
    ['a bad priority', [...LIMITS, '--priority', '10']],
  ])('is refused with %s', async (_name, options) => {
    storeService('ledger');
    const result = await run('account', 'create', 'bindery', ...options, ...connect());
    expect(result.exitCode).toBe(1);
    expect(deployment.executeCalls).toBe(0);
  });

  it('is deleted and its keys are withdrawn, so that they do not work for a later account', async () => {
    storeAccount('bindery');
    storeAccount('lace');
    const { keyId } = await giveKey('bindery');
    const otherKey = await giveKey('lace');
    const result = await run('account', 'delete', 'bindery', '--json', ...connect());
    expect(JSON.parse(result.out)).toMatchObject({ withdrawnKeys: [keyId] });
    expect(deployment.items.has('clientAccount/bindery')).toBe(false);
    expect(readKey(keyId).withdrawn).toBe(true);
    expect(readKey(otherKey.keyId).withdrawn).toBe(false);
    expect((await run('account', 'delete', 'bindery', ...connect())).exitCode).toBe(1);
  });
});

describe('status, explain and drain', () => {
  it('shows members that answer and those that do not', async () => {
    const closed = '127.0.0.1:1';
    const result = await run(
      ...[
        'status',
        '--control',
        `${deployment.address},${closed}`,
        '--entries',
        deployment.address,
      ],
      ...['--secret-file', join(folder, 'secret'), '--targets'],
    );
    expect(result.exitCode).toBe(0);
    expect(result.out).toMatch(/m1 +leader +3/);
    expect(result.out).toMatch(/127\.0\.0\.1:1 +- +unreachable/);
    expect(result.out).toContain('entry-1');
    expect(result.out).toContain('engine-7');
    const json = await run('status', '--json', ...connect(), '--entries', deployment.address);
    expect(JSON.parse(json.out)).toMatchObject({
      control: [{ role: 'leader', version: 4 }],
      entries: [{ ready: true, targets: [{ target: 'engine-7', ageMs: 12 }] }],
    });
  });

  it('returns 1 for a wrong secret and 4 when no member answers', async () => {
    expect((await run('status', ...connect('wrong'))).exitCode).toBe(1);
    const options = ['--control', '127.0.0.1:1', '--secret-file', join(folder, 'secret')];
    expect((await run('status', ...options)).exitCode).toBe(4);
  });

  it('returns 1 for a request without records, and 4 if an entry did not answer', async () => {
    const secret = ['--secret-file', join(folder, 'secret')];
    const explain = (id: string, entries: string): Promise<IRunResult> =>
      run('explain', id, '--entries', entries, ...secret);
    expect((await explain('req-1', deployment.address)).out).toContain('{"stage":"choose"}');
    expect((await explain('req-2', deployment.address)).exitCode).toBe(1);
    expect((await explain('req-2', `${deployment.address},127.0.0.1:1`)).exitCode).toBe(4);
  });

  it('drains entries and sidecars and reports those that did not answer', async () => {
    const secret = ['--secret-file', join(folder, 'secret')];
    const result = await run(
      ...['drain', '--entries', deployment.address, '--sidecar', deployment.address],
      ...[...secret, '--json'],
    );
    expect(JSON.parse(result.out)).toMatchObject({
      drained: [
        { role: 'entry', openRequests: 2 },
        { role: 'sidecar', openRequests: 1 },
      ],
    });
    expect((await run('drain', '--sidecar', '127.0.0.1:1', ...secret)).exitCode).toBe(4);
    expect((await run('drain', ...secret)).exitCode).toBe(2);
  });
});

describe('init and run', () => {
  it('pass on absolute paths and complete settings, so that the working folder does not matter', async () => {
    const settings = {
      instance: 'c1',
      region: 'dar-coast',
      dataCentre: 'dc-1',
      internal: '10.0.0.1:7001',
      clusterSecretFile: 'secret',
      control: { memberId: 'm1', dataFolder: 'data' },
    };
    const file = join(folder, 'settings.json');
    writeFileSync(file, JSON.stringify(settings));
    expect((await run('init', '--settings', file)).out).toContain('cluster c1');
    expect(initialisedDirectories.at(-1)).toBe(join(folder, 'data'));
    expect((await run('run', '--settings', file)).exitCode).toBe(0);
    expect(ranSettings.at(-1)).toMatchObject({ control: { dataFolder: join(folder, 'data') } });
    const full = { ...settings, control: { memberId: 'm1', dataFolder: 'full' } };
    writeFileSync(file, JSON.stringify(full));
    expect((await run('init', '--settings', file)).exitCode).toBe(1);
  });

  it('start no role with invalid settings', async () => {
    const count = ranSettings.length;
    const result = await run('run', '--settings', join(folder, 'none.json'));
    expect(result.exitCode).toBe(1);
    expect(ranSettings).toHaveLength(count);
  });
});

describe('usage', () => {
  it.each([
    [[]],
    [['bogus']],
    [['constructor']],
    [['status', '--constructor', '5']],
    [['publish']],
    [['key', 'give']],
    [['check', 'x', '--jsn']],
    [['check', 'x', '--json=7']],
    [['account', 'list', 'extra', '--control', '1.2.3.4:1', '--secret-file', 'x']],
    [['publish', 'x', '--control', 'localhost:7001', '--secret-file', 'x']],
    [['publish', 'x', '--control', '1.2.3.4:70000', '--secret-file', 'x']],
    [['publish', 'x', '--control', '1.2.3.4:1', '--secret-file', 'x', '--version']],
    [['publish', 'x', '--control', '1.2.3.4:1', '--secret-file', 'x', '--version=-1']],
    [['publish', 'x', '--secret-file', 'x', '--control', '1.2.3.4:1', '--control', '1.2.3.4:2']],
    [['init']],
  ])(
    'returns 2 for %j, so that scripts can tell wrong usage from a refused command',
    async (argv) => {
      vi.spyOn(console, 'error').mockImplementation(() => undefined);
      expect((await run(...argv)).exitCode).toBe(2);
    },
  );

  it('never throws on arbitrary arguments, so that wrong usage prints no stack trace', async () => {
    vi.spyOn(console, 'error').mockImplementation(() => undefined);
    vi.spyOn(console, 'log').mockImplementation(() => undefined);
    const words = COMMANDS.flatMap(({ usage, options }) => [
      ...usage.split(' ').filter((part) => /^[a-z]/.test(part)),
      ...options.map((option) => `--${option.name}`),
    ]);
    const parserEdgeCases = [
      'constructor',
      '__proto__',
      '__all__',
      '--constructor',
      '-',
      '--',
      '--=',
      '--no-',
    ];
    // No slashes and dots, so that "check" reads only folders below the working folder.
    const arbitraryText = fc.string().filter((text) => !/[/.]/.test(text));
    const word = fc.oneof(fc.constantFrom(...words, ...parserEdgeCases), arbitraryText);
    await fc.assert(
      fc.asyncProperty(fc.array(word, { maxLength: 8 }), async (argv) => {
        const { exitCode } = await run(...argv);
        expect(Object.values(EXIT_CODE)).toContain(exitCode);
      }),
      { numRuns: 500 },
    );
  });

  it('shows help with an example for every command', async () => {
    const printed: string[] = [];
    vi.spyOn(console, 'log').mockImplementation((text: string) => printed.push(text));
    for (const { usage } of COMMANDS) {
      const words = usage.split(' ').filter((word) => /^[a-z]/.test(word));
      expect((await run(...words, '--help')).exitCode).toBe(0);
      expect(printed.pop()).toContain('Examples');
    }
    expect((await run('--version')).exitCode).toBe(0);
    expect(printed.pop()).toContain('9.9.9');
  });
});
