/**
 * Measures a call between processes: processor time of server and client, and bytes on the wire.
 */
import { create } from '@bufbuild/protobuf';
import { connect, createServer, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import { RpcClients } from '../../src/common/Rpc.js';
import { Metrics } from '../../src/common/Metrics.js';
import {
  AnnounceRequestSchema,
  AnnounceResponseSchema,
  FeedService,
  RosterService,
  SyncResponseSchema,
} from '../../src/gen/redwingwharf/v1/control_pb.js';
import { InternalServer } from '../../src/run/InternalServer.js';
import { Child } from '../harness/Child.js';
import { findFreePorts } from '../harness/Ports.js';
import { readCpuMs } from '../harness/ProcessUsage.js';
import type { ISlope } from './Measure.js';

/** Argument that makes this program the server of the measured calls. */
export const SERVE_ARGUMENT = '--serve';

const CLUSTER_SECRET = 'slopes-cluster-secret';
const WARM_UP_CALLS = 500;
const MEASURED_CALLS = 4_000;
const PROXIED_CALLS = 200;

/** Serves feed polls and announcements with fixed responses until the process is killed. */
export async function serveCalls(address: string): Promise<void> {
  const response = create(SyncResponseSchema, {
    clusterId: new Uint8Array(16),
    revision: 123_456_789n,
    version: 4_711n,
    ageMs: 120,
    leaderAddress: address,
  });
  const server = new InternalServer(address, CLUSTER_SECRET, {
    registerRpc: (router) => {
      router.service(FeedService, { sync: () => response });
      router.service(RosterService, {
        announce: () => create(AnnounceResponseSchema, { instance: 'entry-1' }),
      });
    },
    handleDispatch: undefined,
    metrics: new Metrics(),
  });
  await server.listen();
}

async function callSync(clients: RpcClients, address: string, calls: number): Promise<void> {
  const client = clients.get(FeedService, address);
  for (let call = 0; call < calls; call++) {
    await client.sync({
      haveRevision: 123_456_789n,
      clusterId: new Uint8Array(16),
      instance: 'entry-1',
    });
  }
}

async function callAnnounce(clients: RpcClients, address: string, calls: number): Promise<void> {
  const client = clients.get(RosterService, address);
  const request = create(AnnounceRequestSchema, {
    target: 'engine-4711',
    service: 'service-1',
    dataCentre: 'dc-1',
    address: '10.0.0.1:9001',
    sidecarIncarnation: new Uint8Array(16),
    targetIncarnation: '0f4f6d4e-51f6-4f4e-9d7e-5a1d2a3b4c5d',
    model: 'model-1',
    weightsVersion: '2026-12-01',
    healthy: true,
    load: { queued: 3, running: 17, freeBlocks: 120, totalBlocks: 400 },
  });
  for (let call = 0; call < calls; call++) {
    await client.announce(request);
  }
}

/** TCP proxy that counts the bytes of both directions. */
class CountingProxy {
  public bytes = 0;
  private readonly _server: Server;

  constructor(port: number) {
    this._server = createServer((client) => {
      const upstream = connect(port, '127.0.0.1');
      this._forward(client, upstream);
      this._forward(upstream, client);
    });
  }

  public async listen(port: number): Promise<void> {
    this._server.listen(port, '127.0.0.1');
    await once(this._server, 'listening');
  }

  public close(): void {
    this._server.close();
  }

  private _forward(from: Socket, to: Socket): void {
    from.on('data', (chunk: Buffer) => {
      this.bytes += chunk.length;
      to.write(chunk);
    });
    from.on('close', () => to.destroy());
    from.on('error', () => to.destroy());
  }
}

/** Makes `calls` calls one after another. */
type RunCalls = (clients: RpcClients, address: string, calls: number) => Promise<void>;

/** Cost of one call on average. */
interface ICallCost {
  readonly serverUs: number;
  readonly clientUs: number;
  readonly bytes: number;
}

/**
 * Measures processor time on a direct connection, then bytes through a proxy, so that the proxy
 * adds nothing to the processor time of this process.
 */
async function measureCall(
  clients: RpcClients,
  serverPid: number,
  port: number,
  proxyPort: number,
  runCalls: RunCalls,
): Promise<ICallCost> {
  const address = `127.0.0.1:${port}`;
  await runCalls(clients, address, WARM_UP_CALLS);
  const serverBefore = readCpuMs(serverPid);
  const clientBefore = process.cpuUsage();
  await runCalls(clients, address, MEASURED_CALLS);
  const { user, system } = process.cpuUsage(clientBefore);
  const serverMs = readCpuMs(serverPid) - serverBefore;
  const proxy = new CountingProxy(port);
  await proxy.listen(proxyPort);
  const proxied = new RpcClients(CLUSTER_SECRET);
  await runCalls(proxied, `127.0.0.1:${proxyPort}`, PROXIED_CALLS);
  proxied.dispose();
  proxy.close();
  return {
    serverUs: (serverMs * 1_000) / MEASURED_CALLS,
    clientUs: (user + system) / MEASURED_CALLS,
    bytes: proxy.bytes / PROXIED_CALLS,
  };
}

function createCostSlopes(name: string, cost: ICallCost): ISlope[] {
  const point = (value: number): ISlope['points'] => [{ size: 1, value }];
  return [
    { name: `${name}: server`, unit: 'us', per: 'call', points: point(cost.serverUs) },
    { name: `${name}: client`, unit: 'us', per: 'call', points: point(cost.clientUs) },
    { name: `${name}: both directions`, unit: 'bytes', per: 'call', points: point(cost.bytes) },
  ];
}

/**
 * Starts a server process and measures a feed poll and an announcement call.
 *
 * @param program bundle of this tool, started with `SERVE_ARGUMENT`
 */
export async function measureRpc(program: string, logFile: string): Promise<ISlope[]> {
  const [port = 0, syncProxyPort = 0, announceProxyPort = 0] = await findFreePorts(3);
  const child = new Child('server', [program, SERVE_ARGUMENT, `127.0.0.1:${port}`], logFile);
  const clients = new RpcClients(CLUSTER_SECRET);
  try {
    await waitForServer(clients, `127.0.0.1:${port}`);
    const pid = child.pid ?? 0;
    const syncCost = await measureCall(clients, pid, port, syncProxyPort, callSync);
    const announceCost = await measureCall(clients, pid, port, announceProxyPort, callAnnounce);
    return [
      ...createCostSlopes('feed poll', syncCost),
      ...createCostSlopes('announcement call', announceCost),
    ];
  } finally {
    clients.dispose();
    await child.stop('SIGKILL');
  }
}

async function waitForServer(clients: RpcClients, address: string): Promise<void> {
  for (let attempt = 0; attempt < 100; attempt++) {
    try {
      await callSync(clients, address, 1);
      return;
    } catch {
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
  }
  throw new Error(`the server at ${address} did not answer a call within about 5 s`);
}
