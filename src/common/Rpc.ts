/** Clients and servers of the Connect protocol, for calls between the processes of a deployment. */
import {
  createClient,
  type Client,
  type ConnectRouter,
  type Interceptor,
} from '@connectrpc/connect';
import {
  compressionGzip,
  connectNodeAdapter,
  createConnectTransport,
} from '@connectrpc/connect-node';
import type { DescService } from '@bufbuild/protobuf';
import { Agent, type IncomingMessage, type RequestListener, type ServerResponse } from 'node:http';
import { compareSecret } from './Hashes.js';

/** Header with the secret that the processes of a deployment share. */
export const CLUSTER_SECRET_HEADER = 'x-rww-cluster';

/** Path prefix of all calls: the package of the Protobuf services. */
export const RPC_PATH_PREFIX = '/redwingwharf.v1.';

/** Largest message. The largest ones are snapshot chunks and full copies of the items. */
const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Requests from this length on are compressed; servers of all builds accept that. Shorter ones take little of a link. */
const COMPRESSED_REQUEST_BYTES = 32 * 1024;

/** Idle connections kept for each address. */
const MAX_IDLE_SOCKETS = 4;

/** Creates and caches one client for each service and address; all share one connection pool. */
export class RpcClients {
  private readonly _agent = new Agent({ keepAlive: true, maxFreeSockets: MAX_IDLE_SOCKETS });
  private readonly _clients = new Map<string, unknown>();
  private readonly _addSecret: Interceptor;

  constructor(clusterSecret: string) {
    this._addSecret = (next) => (request) => {
      request.header.set(CLUSTER_SECRET_HEADER, clusterSecret);
      return next(request);
    };
  }

  /**
   * Returns the client of a service at an internal address, and creates it at the first call.
   *
   * @example
   * const feed = clients.get(FeedService, '127.0.0.1:7001');
   * const reply = await feed.sync({ haveRevision: 0n }, { timeoutMs: 1000 });
   */
  public get<T extends DescService>(service: T, address: string): Client<T> {
    const id = `${service.typeName} ${address}`;
    const existing = this._clients.get(id) as Client<T> | undefined;
    if (existing !== undefined) {
      return existing;
    }
    const transport = createConnectTransport({
      baseUrl: `http://${address}`,
      httpVersion: '1.1',
      useBinaryFormat: true,
      interceptors: [this._addSecret],
      nodeOptions: { agent: this._agent },
      readMaxBytes: MAX_MESSAGE_BYTES,
      sendCompression: compressionGzip,
      compressMinBytes: COMPRESSED_REQUEST_BYTES,
    });
    const client = createClient(service, transport);
    this._clients.set(id, client);
    return client;
  }

  public dispose(): void {
    this._agent.destroy();
    this._clients.clear();
  }
}

/** True when the request carries the secret of the deployment. */
export function hasClusterSecret(request: IncomingMessage, clusterSecret: string): boolean {
  const header = request.headers[CLUSTER_SECRET_HEADER];
  return (
    typeof header === 'string' && compareSecret(Buffer.from(header), Buffer.from(clusterSecret))
  );
}

/** Answers 403 to a request without the secret of the deployment. */
export function refuseUnauthenticatedRequest(response: ServerResponse): void {
  response.writeHead(403, { 'content-type': 'text/plain' });
  response.end('The cluster secret is missing or wrong; check clusterSecretFile.\n');
}

/** Creates a request handler for the services that `register` adds; other paths go to `fallback`. */
export function createRpcHandler(
  register: (router: ConnectRouter) => void,
  fallback?: RequestListener,
): RequestListener {
  const options = { routes: register, readMaxBytes: MAX_MESSAGE_BYTES };
  return connectNodeAdapter(
    fallback === undefined ? options : { ...options, fallback: fallback as never },
  );
}
