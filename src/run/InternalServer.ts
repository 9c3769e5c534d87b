/** HTTP server on the internal address of a process. */
import type { ConnectRouter } from '@connectrpc/connect';
import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { parseAddress } from '../common/Address.js';
import { TICKET_HEADER } from '../common/Headers.js';
import type { Metrics } from '../common/Metrics.js';
import {
  createRpcHandler,
  hasClusterSecret,
  refuseUnauthenticatedRequest,
  RPC_PATH_PREFIX,
} from '../common/Rpc.js';

/** Longer than the calling processes keep idle connections, so that they close them first. */
const KEEP_ALIVE_TIMEOUT_MS = 10_000;

/** Above Node's default, since the ticket is part of the headers of a dispatch. */
const MAX_HEADER_BYTES = 64 * 1024;

/** Services that the roles of this process provide. */
export interface IInternalServices {
  readonly registerRpc: (router: ConnectRouter) => void;
  /** Handles dispatches; undefined in processes without a sidecar. */
  readonly handleDispatch:
    ((request: IncomingMessage, response: ServerResponse) => Promise<void>) | undefined;
  readonly metrics: Metrics;
  /** Called with each connection; may close it. */
  readonly onConnection?: ((socket: Socket) => void) | undefined;
}

/**
 * Serves RPCs and dispatches to other processes of the deployment, which present the cluster secret, and
 * metrics to anyone.
 */
export class InternalServer {
  private readonly _server: Server;

  constructor(
    private readonly _address: string,
    clusterSecret: string,
    services: IInternalServices,
  ) {
    const handleRpc = createRpcHandler(services.registerRpc);
    this._server = createServer(
      {
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        maxHeaderSize: MAX_HEADER_BYTES,
        requestTimeout: 0,
      },
      (request, response) => {
        const path = request.url ?? '/';
        if (path === '/metrics') {
          response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
          response.end(services.metrics.render());
        } else if (!hasClusterSecret(request, clusterSecret)) {
          refuseUnauthenticatedRequest(response);
        } else if (request.headers[TICKET_HEADER] !== undefined) {
          handleDispatch(services, request, response);
        } else if (path.startsWith(RPC_PATH_PREFIX)) {
          handleRpc(request, response);
        } else {
          response.writeHead(404);
          response.end();
        }
      },
    );
    if (services.onConnection !== undefined) {
      this._server.on('connection', services.onConnection);
    }
  }

  public async listen(): Promise<void> {
    const { host, port } = parseAddress(this._address);
    this._server.listen(port, host);
    await once(this._server, 'listening');
  }

  public dispose(): void {
    this._server.close();
    this._server.closeAllConnections();
  }
}

function handleDispatch(
  services: IInternalServices,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  if (services.handleDispatch === undefined) {
    response.writeHead(404);
    response.end();
    return;
  }
  services.handleDispatch(request, response).catch(() => {
    response.destroy();
  });
}
