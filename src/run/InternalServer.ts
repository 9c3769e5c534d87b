/** HTTP server for calls from other processes of the deployment. */
import type { ConnectRouter } from '@connectrpc/connect';
import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { parseAddress } from '../common/Address.js';
import { TICKET_HEADER } from '../common/Headers.js';
import type { Metrics } from '../common/Metrics.js';
import {
  createRpcHandler,
  hasClusterSecret,
  refuseForeignRequest,
  RPC_PATH_PREFIX,
} from '../common/Rpc.js';

/** Longer than callers keep idle connections, so that they close them first. */
const KEEP_ALIVE_TIMEOUT_MS = 10_000;

/** Tickets make the headers of a dispatch larger than usual. */
const MAX_HEADER_BYTES = 64 * 1024;

/** What the roles of this process serve. */
export interface IInternalServices {
  readonly registerRpc: (router: ConnectRouter) => void;
  /** Handles dispatches; only sidecars have it. */
  readonly handleDispatch:
    ((request: IncomingMessage, response: ServerResponse) => Promise<void>) | undefined;
  readonly metrics: Metrics;
}

/** Serves RPCs, dispatches and metrics on the internal address. */
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
          refuseForeignRequest(response);
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
