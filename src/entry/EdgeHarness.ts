/** Test harness: entries, a control member and sidecars in one process, with fake targets. */
import { once } from 'node:events';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Readable } from 'node:stream';
import { Code, ConnectError } from '@connectrpc/connect';
import { create, toBinary, type MessageInitShape } from '@bufbuild/protobuf';
import { Agent, type Dispatcher } from 'undici';
import { Engine, type IEngineOptions } from '../../fakes/Engine.js';
import { createEngineServer } from '../../fakes/EngineServer.js';
import { createPlainServer } from '../../fakes/PlainServer.js';
import { findFreePorts } from '../../tools/harness/Ports.js';
import { createCallerKey } from '../common/CallerKeys.js';
import { MonotonicClock } from '../common/Clock.js';
import { SILENT_LOG } from '../common/Log.js';
import { Metrics } from '../common/Metrics.js';
import { RpcClients } from '../common/Rpc.js';
import { InMemoryLog } from '../consensus/InMemoryLog.js';
import { ControlClient } from '../control/ControlClient.js';
import { ControlNode } from '../control/ControlNode.js';
import { FeedClient } from '../feed/FeedClient.js';
import { FeedCopy } from '../feed/FeedCopy.js';
import {
  ControlService,
  ExecuteRequestSchema,
  FeedService,
  RosterService,
} from '../gen/redwingwharf/v1/control_pb.js';
import {
  CallerKeySchema,
  ClientAccountSchema,
  ServiceKind,
  ServiceSchema,
  type ItemChangeSchema,
} from '../gen/redwingwharf/v1/state_pb.js';
import { EntryRole, type IEntryTestLimits } from '../run/EntryRole.js';
import { InternalServer } from '../run/InternalServer.js';
import type { ILoadedSettings } from '../settings/Types.js';
import { Sidecar } from '../sidecar/Sidecar.js';
import { ControlState } from '../state/ControlState.js';

const CLUSTER_SECRET = 'cluster-secret-of-the-edge-tests';
const START_TIMEOUT_MS = 15_000;
const SERVICE_TIMEOUT_MS = 20_000;

const ENGINE_OPTIONS: IEngineOptions = {
  model: 'lace-1',
  weightsVersion: 'w1',
  prefillTokensPerSecond: 1_000_000,
  tokenIntervalMs: 2,
  maxRunning: 64,
  fencing: 'strict',
  loadLagMs: 0,
  loadMs: 0,
  cache: { capacityChunks: 64, idleEvictionMs: 60_000, eventDelayMs: 0, eventLossRatio: 0 },
};

/** What the deployment consists of; by default one entry, one engine and one plain target. */
export interface IHarnessOptions {
  readonly engines?: readonly (Partial<IEngineOptions> | Server)[];
  readonly plainTargets?: number;
  readonly entries?: number;
  readonly overrides?: IEntryTestLimits;
  /** Time limit of the services; a request waits for a quarter of it at most. */
  readonly serviceTimeoutMs?: number;
}

/** An answer whose body was read completely. */
export interface IAnswerText {
  readonly status: number;
  readonly headers: Dispatcher.ResponseData['headers'];
  readonly text: string;
}

/** Options of a request; `entry` is the index of the entry that gets it. */
export interface ICallInit {
  readonly method?: string;
  readonly key?: string | undefined;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer | Readable;
  readonly entry?: number;
  readonly signal?: AbortSignal;
}

interface IEntryProcess {
  readonly role: EntryRole;
  readonly feed: FeedCopy;
  readonly feedClient: FeedClient;
  readonly metrics: Metrics;
  readonly port: number;
  readonly internal: string;
}

/** A fake target whose connections a test can break. */
export class FakeTarget {
  private readonly _sockets = new Set<Socket>();

  constructor(
    public readonly id: string,
    public readonly server: Server,
    public readonly address: string,
    public readonly engine: Engine | undefined,
  ) {
    server.on('connection', (socket) => {
      this._sockets.add(socket);
      socket.once('close', () => this._sockets.delete(socket));
    });
  }

  /** Breaks all connections; new ones are still accepted. */
  public cutConnections(): void {
    this._sockets.forEach((socket) => socket.destroy());
  }

  /** Breaks all connections and refuses new ones. */
  public stop(): void {
    this.server.close();
    this.cutConnections();
  }
}

/** A small deployment on loopback ports. Dispose of it after the tests. */
export class EdgeHarness {
  public readonly entries: IEntryProcess[] = [];
  public readonly targets: FakeTarget[] = [];
  public readonly sidecars: Sidecar[] = [];
  /** URL, headers and body of each request that reached a target. */
  public readonly receivedRequests: string[] = [];
  public readonly http = new Agent({ headersTimeout: 0, bodyTimeout: 0 });
  /** If false, the feed server fails all requests. */
  public isFeedServed = true;
  /** If false, the control member refuses all commands. */
  public isControlServed = true;
  /** Called with the kind of each command; the control member executes it afterwards. */
  public interceptCommand: ((kind: string | undefined) => Promise<void>) | undefined;
  /** Called with each dispatch before its sidecar handles it. */
  public interceptDispatch:
    ((request: IncomingMessage, response: ServerResponse) => void) | undefined;
  /** Key of the client account `pag`, which may use all services. */
  public key = '';
  private readonly _clock = new MonotonicClock();
  private readonly _rpc = new RpcClients(CLUSTER_SECRET);
  private readonly _stop = new AbortController();
  private readonly _state = new ControlState();
  private readonly _servers: InternalServer[] = [];
  private readonly _targetFeedClients: FeedClient[] = [];
  private readonly _control: ControlNode;

  private constructor(private readonly _controlAddress: string) {
    const log = new InMemoryLog(this._state, this._clock, _controlAddress);
    this._control = new ControlNode(log, this._state, this._clock, _controlAddress);
  }

  public static async start(options: IHarnessOptions = {}): Promise<EdgeHarness> {
    const entryCount = options.entries ?? 1;
    const engines = options.engines ?? [{}];
    const plainTargets = options.plainTargets ?? 1;
    const targetCount = engines.length + plainTargets;
    const ports = await findFreePorts(1 + 2 * entryCount + 2 * targetCount);
    const reserveAddress = (): string => `127.0.0.1:${ports.pop() ?? 0}`;
    const harness = new EdgeHarness(reserveAddress());
    await harness._startControl();
    await harness._publishInitialItems(options.serviceTimeoutMs);
    for (let index = 0; index < entryCount; index++) {
      await harness._startEntry(`entry-${index}`, reserveAddress(), reserveAddress(), options);
    }
    for (const [index, engine] of engines.entries()) {
      const fake = harness._createEngine(`engine-${index}`, engine, reserveAddress());
      await harness._startTarget(fake, 'engine', 'lace', reserveAddress());
    }
    for (let index = 0; index < plainTargets; index++) {
      const fake = harness._createPlain(`desk-${index}`, reserveAddress());
      await harness._startTarget(fake, 'plain', 'order-desk', reserveAddress());
    }
    await waitFor('all targets at all entries', () => harness._hasAllTargets(targetCount));
    return harness;
  }

  /** Publishes items and waits until all entries have them. */
  public async publish(...items: MessageInitShape<typeof ItemChangeSchema>[]): Promise<void> {
    await this._applyChange(items);
    await Promise.all(this.entries.map(({ feedClient }) => feedClient.syncOnce(this._stop.signal)));
  }

  private async _applyChange(items: MessageInitShape<typeof ItemChangeSchema>[]): Promise<void> {
    const version = BigInt(this._state.version + 1);
    const value = { operationId: `operation-${version}`, version, operator: 'test', items };
    const request = create(ExecuteRequestSchema, { command: { body: { case: 'change', value } } });
    await this._control.execute(request, this._stop.signal);
  }

  /** Creates and publishes a key; returns its text and the item that withdraws it. */
  public async createKey(
    account: string,
  ): Promise<{ text: string; withdrawal: MessageInitShape<typeof ItemChangeSchema> }> {
    const { text, record } = createCallerKey(account);
    const key = `key/${record.keyId}`;
    await this.publish({ key, value: toBinary(CallerKeySchema, record) });
    const withdrawn = toBinary(CallerKeySchema, { ...record, withdrawn: true });
    return { text, withdrawal: { key, value: withdrawn } };
  }

  /** Publishes a client account and waits until the entries have it, or the targets instead of them. */
  public async addAccount(
    id: string,
    tokensPerSecond: number,
    receivers: 'entries' | 'targets' = 'entries',
  ): Promise<void> {
    const services = ['lace', 'order-desk'];
    const account = create(ClientAccountSchema, {
      ...{ id, tokensPerSecond, services, burstTokens: 1e9 },
    });
    const item = { key: `clientAccount/${id}`, value: toBinary(ClientAccountSchema, account) };
    await this._applyChange([item]);
    const entries = this.entries.map(({ feedClient }) => feedClient);
    const clients = receivers === 'entries' ? entries : this._targetFeedClients;
    await Promise.all(clients.map((client) => client.syncOnce(this._stop.signal)));
  }

  /** Sends a request and resolves with the head of the answer; the test reads the body. */
  public async open(path: string, init: ICallInit = {}): Promise<Dispatcher.ResponseData> {
    const key = 'key' in init ? init.key : this.key;
    return this.http.request({
      origin: `http://127.0.0.1:${this.entries[init.entry ?? 0]?.port ?? 0}`,
      path,
      method: init.method ?? 'GET',
      headers: {
        ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
        ...init.headers,
      },
      body: init.body ?? null,
      signal: init.signal ?? null,
    });
  }

  public async call(path: string, init: ICallInit = {}): Promise<IAnswerText> {
    const response = await this.open(path, init);
    const text = await response.body.text();
    return { status: response.statusCode, headers: response.headers, text };
  }

  /** Sends a request and breaks the connection as soon as the condition holds. */
  public async startAndDisconnect(
    path: string,
    init: ICallInit & { readonly disconnectWhen: () => boolean | Promise<boolean> },
  ): Promise<'left' | 'answered'> {
    const controller = new AbortController();
    const answer = this.open(path, { ...init, signal: controller.signal }).then(
      () => 'answered' as const,
      () => 'left' as const,
    );
    await waitFor('the condition to disconnect', init.disconnectWhen);
    controller.abort();
    return answer;
  }

  /** Places an order, a call that must run at most once. */
  public async placeOrder(
    fields: Readonly<Record<string, unknown>>,
    idempotencyKey: string | undefined,
    init: ICallInit = {},
  ): Promise<IAnswerText> {
    const header = idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey };
    return this.call('/orders', {
      method: 'POST',
      body: JSON.stringify(fields),
      ...init,
      headers: { ...header, ...init.headers },
    });
  }

  /** Counts how often an order was executed at all plain targets together. */
  public async countEffects(order: string): Promise<number> {
    const plain = this.targets.filter(({ engine }) => engine === undefined);
    const lists = await Promise.all(
      plain.map(async ({ address }) => {
        const origin = `http://${address}`;
        const reply = await this.http.request({ origin, path: '/_effects', method: 'GET' });
        return (await reply.body.json()) as { order: unknown }[];
      }),
    );
    return lists.flat().filter((effect) => effect.order === order).length;
  }

  public async dispose(): Promise<void> {
    this._stop.abort();
    await Promise.all(this.entries.map(({ role }) => role.dispose()));
    this._servers.forEach((server) => {
      server.dispose();
    });
    await Promise.all(this.sidecars.map((sidecar) => sidecar.dispose()));
    this.targets.forEach((target) => {
      target.stop();
    });
    await this.http.destroy();
    this._rpc.dispose();
  }

  private async _startControl(): Promise<void> {
    const server = new InternalServer(this._controlAddress, CLUSTER_SECRET, {
      registerRpc: (router) => {
        router.service(ControlService, {
          execute: async (request, { signal }) => {
            await this.interceptCommand?.(request.command?.body.case);
            if (!this.isControlServed) {
              throw new ConnectError('control is disabled by the test', Code.PermissionDenied);
            }
            return this._control.execute(request, signal);
          },
        });
        router.service(FeedService, {
          sync: (request) => {
            if (!this.isFeedServed) {
              throw new Error('the feed is disabled by the test');
            }
            return this._control.sync(request, this._clock.now());
          },
        });
      },
      handleDispatch: undefined,
      metrics: new Metrics(),
    });
    await server.listen();
    this._servers.push(server);
  }

  private async _publishInitialItems(timeoutMs: number = SERVICE_TIMEOUT_MS): Promise<void> {
    const lace = create(ServiceSchema, {
      ...{ name: 'lace', kind: ServiceKind.MODEL, models: ['lace-1'] },
      ...{ defaultOutputTokens: 16, timeoutMs },
    });
    const desk = create(ServiceSchema, {
      ...{ name: 'order-desk', kind: ServiceKind.PLAIN, timeoutMs },
      routes: [
        { path: '/orders', methods: ['POST'], nonRepeatable: true },
        { path: '/stock', methods: ['GET', 'POST'] },
        { path: '/opening-hours', methods: ['GET'], open: true },
      ],
    });
    await this.publish(
      { key: 'service/lace', value: toBinary(ServiceSchema, lace) },
      { key: 'service/order-desk', value: toBinary(ServiceSchema, desk) },
    );
    await this.addAccount('pag', 1e8);
    this.key = (await this.createKey('pag')).text;
  }

  private async _startEntry(
    instance: string,
    listen: string,
    internal: string,
    { overrides }: IHarnessOptions,
  ): Promise<void> {
    const feed = new FeedCopy();
    const feedClient = this._createFeedClient(feed, instance);
    const metrics = new Metrics();
    const settings = { instance, dataCentre: 'dc-a', clusterSecret: CLUSTER_SECRET };
    const role = new EntryRole(
      settings as ILoadedSettings,
      { listen, control: [this._controlAddress], policy: 'default', drainTimeoutMs: 10_000 },
      ...([feed, feedClient, this._rpc, this._clock, SILENT_LOG, metrics] as const),
      () => undefined,
      overrides,
    );
    const server = new InternalServer(internal, CLUSTER_SECRET, {
      registerRpc: (router) => {
        role.registerRpc(router);
      },
      handleDispatch: undefined,
      metrics,
    });
    await feedClient.syncOnce(this._stop.signal);
    await server.listen();
    await role.entry.listen();
    this._servers.push(server);
    void feedClient.run(this._stop.signal);
    void role.run(this._stop.signal);
    const port = Number(listen.split(':')[1]);
    this.entries.push({ role, feed, feedClient, metrics, port, internal });
  }

  private _createFeedClient(feed: FeedCopy, instance: string): FeedClient {
    const servers = [this._controlAddress];
    return new FeedClient(feed, servers, instance, [], this._rpc, this._clock, SILENT_LOG);
  }

  private _createEngine(
    id: string,
    options: Partial<IEngineOptions> | Server,
    address: string,
  ): FakeTarget {
    if ('listen' in options) {
      return new FakeTarget(id, options, address, undefined);
    }
    const engine = new Engine({ ...ENGINE_OPTIONS, ...options });
    const server = createEngineServer(engine, this._observe);
    return new FakeTarget(id, server, address, engine);
  }

  private _createPlain(id: string, address: string): FakeTarget {
    const server = createPlainServer({ target: id, ledgerFile: undefined }, this._observe);
    return new FakeTarget(id, server, address, undefined);
  }

  private async _startTarget(
    fake: FakeTarget,
    kind: 'engine' | 'plain',
    service: string,
    internal: string,
  ): Promise<void> {
    const feed = new FeedCopy();
    const model = kind === 'engine' ? 'lace-1' : undefined;
    const target = { id: fake.id, service, kind, address: fake.address, model };
    const announceTo = this.entries.map((entry) => entry.internal) as [string, ...string[]];
    const sidecar = new Sidecar(
      { announceTo, target: { ...target, healthPath: '/health' } },
      'dc-a',
      internal,
      feed,
      this._rpc,
      new ControlClient(this._rpc, [this._controlAddress], SILENT_LOG),
      this._clock,
      SILENT_LOG,
    );
    const server = new InternalServer(internal, CLUSTER_SECRET, {
      registerRpc: (router) => {
        sidecar.registerRpc(router);
      },
      handleDispatch: async (request, response) => {
        this.interceptDispatch?.(request, response);
        await sidecar.handleDispatch(request, response);
      },
      metrics: new Metrics(),
    });
    fake.server.listen(Number(fake.address.split(':')[1]), '127.0.0.1');
    await once(fake.server, 'listening');
    await server.listen();
    this.targets.push(fake);
    this._servers.push(server);
    this.sidecars.push(sidecar);
    const feedClient = this._createFeedClient(feed, fake.id);
    this._targetFeedClients.push(feedClient);
    void feedClient.run(this._stop.signal);
    void sidecar.run(this._stop.signal);
  }

  private async _hasAllTargets(count: number): Promise<boolean> {
    const statuses = await Promise.all(
      this.entries.map(({ internal }) => this._rpc.get(RosterService, internal).getEntryStatus({})),
    );
    return statuses.every(
      ({ targets }) =>
        targets.length === count && targets.every(({ announcement }) => announcement?.healthy),
    );
  }

  private readonly _observe = (request: IncomingMessage, body: unknown): void => {
    const text = typeof body === 'string' ? body : JSON.stringify(body);
    this.receivedRequests.push(`${request.url ?? ''}\n${request.rawHeaders.join('\n')}\n${text}`);
  };
}

/** Polls until the condition holds; throws with its name if it does not hold in time. */
export async function waitFor(
  name: string,
  isConditionMet: () => boolean | Promise<boolean>,
  timeoutMs = START_TIMEOUT_MS,
): Promise<void> {
  const endsAt = performance.now() + timeoutMs;
  while (!(await isConditionMet())) {
    if (performance.now() > endsAt) {
      throw new Error(`timed out after ${timeoutMs} ms waiting for ${name}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

/** Body of a streamed completion. */
export function formatCompletion(maxTokens: number, fields: object = {}): string {
  return JSON.stringify({
    ...{ model: 'lace-1', stream: true, max_tokens: maxTokens, prompt: 'Is row 12 correct?' },
    ...fields,
  });
}
