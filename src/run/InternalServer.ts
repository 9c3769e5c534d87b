/** HTTP server on the internal address of a process. */
import type { ConnectRouter } from '@connectrpc/connect';
import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { AcceptBacklog } from '../common/AcceptBacklog.js';
import { parseAddress } from '../common/Address.js';
import { MonotonicClock } from '../common/Clock.js';
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
  private readonly _clock = new MonotonicClock();
  private readonly _backlog = new AcceptBacklog();

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
          void this._handleDispatch(services, request, response);
        } else if (path.startsWith(RPC_PATH_PREFIX)) {
          handleRpc(request, response);
        } else {
          response.writeHead(404);
          response.end();
        }
      },
    );
    this._server.on('connection', (socket) => {
      this._backlog.recordAccept(socket, this._clock.now());
      services.onConnection?.(socket);
    });
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

  /** Passes a dispatch on unless the entry that sent it has ended the connection, as its client has left. */
  private async _handleDispatch(
    { handleDispatch }: IInternalServices,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (handleDispatch === undefined) {
      response.writeHead(404);
      response.end();
      return;
    }
    try {
      if (await this._backlog.waitForEnd(request.socket)) {
        response.destroy();
      } else {
        await handleDispatch(request, response);
      }
    } catch {
      response.destroy();
    }
  }
}
