/** HTTP server for callers. */
import { randomUUID } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { once } from 'node:events';
import { AcceptBacklog } from '../common/AcceptBacklog.js';
import { parseAddress } from '../common/Address.js';
import { describeError } from '../common/Log.js';
import { sleep } from '../common/Tasks.js';
import { isMechanismDisabled } from '../common/TestSwitches.js';
import { Err, Ok, type Result } from '../common/Result.js';
import { isFresh } from '../feed/Freshness.js';
import type { Service } from '../gen/redwingwharf/v1/state_pb.js';
import {
  authenticate,
  authorise,
  listKeys,
  stripKeyFromQuery,
  type ICaller,
} from './Authenticate.js';
import { IDEMPOTENCY_KEY_HEADER, type ClaimFlow } from './ClaimFlow.js';
import { formatClientError, MAX_HEADER_BYTES } from './ClientErrors.js';
import type { ConfigurationIndex } from './ConfigurationIndex.js';
import {
  describeUncheckedClaim,
  createRefusal,
  sendFailure,
  type IHttpFailure,
} from './Failures.js';
import { mayContainKey, hasKeyInBody } from './KeyFilter.js';
import type { ModelFlow } from './ModelFlow.js';
import { OpenRequest, type OpenRequests } from './OpenRequests.js';
import { parseModelRequest, readBody } from './Parse.js';
import type { PlainFlow } from './PlainFlow.js';
import type { IFlowServices, IRequestContext } from './Types.js';

/** Interval at which Node checks connections for the header timeout; its default is 30 s. */
const CONNECTION_CHECK_INTERVAL_MS = 1_000;

const KEEP_ALIVE_TIMEOUT_MS = 65_000;

/** Bounds the time for which an open request continues after its key was withdrawn. */
const OPEN_REQUEST_CHECK_INTERVAL_MS = 250;

/** Time for the load balancer to see that this instance is not ready; requests are served meanwhile. */
const DRAIN_NOTICE_PERIOD_MS = 2_000;

const DRAIN_POLL_INTERVAL_MS = 50;

/** Part of the drain timeout in which the answers to the requests that it ended are sent. */
const END_MARGIN_MS = 300;

const MODEL_PATHS: ReadonlySet<string> = new Set(['/v1/chat/completions', '/v1/completions']);

/** Time limits for a caller to send a request. */
export interface IEntryLimits {
  readonly headerTimeoutMs: number;
  readonly bodyTimeoutMs: number;
}

const DEFAULT_LIMITS: IEntryLimits = { headerTimeoutMs: 10_000, bodyTimeoutMs: 60_000 };

/** Flows that serve requests, one for each kind of call. */
export interface IEntryFlows {
  readonly model: ModelFlow;
  readonly plain: PlainFlow;
  readonly claim: ClaimFlow;
}

/** What a path and a method resolve to. */
type Destination =
  | { readonly kind: 'model' }
  | { readonly kind: 'models' }
  | {
      readonly kind: 'plain';
      readonly service: Service;
      readonly isOpen: boolean;
      readonly isNonRepeatable: boolean;
    };

/** The fields of a request's context that are set before its destination is known. */
type RequestBase = Pick<IRequestContext, 'request' | 'response' | 'requestId' | 'startedAt'>;

/**
 * Accepts the requests of callers: authenticates them, finds their service and runs the flow that serves
 * them. Also answers health probes and the list of models, checks open requests at an interval, and drains
 * before a shutdown.
 *
 * @example
 * const entry = new Entry('127.0.0.1:8080', configuration, openRequests, flows, services);
 * await entry.listen();
 */
export class Entry {
  private readonly _server: Server;
  private readonly _backlog = new AcceptBacklog();
  private readonly _checkTimer: NodeJS.Timeout;
  /** Responses that are not yet completely handed to the network. */
  private readonly _responses = new Set<ServerResponse>();
  /** Connections whose input was rejected as invalid HTTP. */
  private readonly _refusedSockets = new WeakSet<Socket>();
  private _isDraining = false;

  constructor(
    private readonly _address: string,
    private readonly _configuration: ConfigurationIndex,
    private readonly _openRequests: OpenRequests,
    private readonly _flows: IEntryFlows,
    private readonly _services: IFlowServices,
    private readonly _limits: IEntryLimits = DEFAULT_LIMITS,
  ) {
    this._server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: _limits.headerTimeoutMs,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        // `readBody` limits the time for the body, and the service's deadline that for the answer.
        requestTimeout: 0,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      },
      (request, response) => {
        void this._handle(request, response);
      },
    );
    this._server.on('connection', (socket) => {
      this._backlog.recordAccept(socket, _services.clock.now());
    });
    this._server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
      this._handleClientError(error, socket);
    });
    this._checkTimer = setInterval(() => {
      this._openRequests.check(this._services.clock.now());
    }, OPEN_REQUEST_CHECK_INTERVAL_MS);
  }

  public get isDraining(): boolean {
    return this._isDraining;
  }

  /** Bytes of responses that are buffered because callers have not read them yet. */
  public get bufferedBytes(): number {
    let bytes = 0;
    for (const response of this._responses) {
      bytes += response.writableLength;
    }
    return bytes;
  }

  /** True if the load balancer may send requests to this instance. */
  public isReady(now: number): boolean {
    return !this._isDraining && isFresh(this._services.feed, now);
  }

  public async listen(): Promise<void> {
    const { host, port } = parseAddress(this._address);
    this._server.listen(port, host);
    await once(this._server, 'listening');
  }

  /**
   * Drains without interrupting a request: reports "not ready" to the load balancer, refuses what waits, serves what
   * ends in time for `DRAIN_NOTICE_PERIOD_MS`, closes the listener, and waits for the open requests. Those that are
   * still open `END_MARGIN_MS` before the end of `timeoutMs`, or when the signal is aborted, are answered with a failure.
   */
  public async drain(timeoutMs: number, signal: AbortSignal): Promise<void> {
    TEST_ONLY: if (isMechanismDisabled('graceful-drain')) return;
    this._isDraining = true;
    for (const response of this._responses) {
      closeAfterResponse(response);
    }
    const { clock, shutdown, log } = this._services;
    const now = clock.now();
    const openMs = Math.max(0, timeoutMs - END_MARGIN_MS);
    shutdown.begin(now + openMs, now);
    await sleep(Math.min(DRAIN_NOTICE_PERIOD_MS, openMs), signal);
    this._server.close();
    await this._waitIdle(openMs - (clock.now() - now), signal);
    const drainedMs = Math.round(clock.now() - now);
    log.info('drained', { drainedMs, ended: this._openRequests.size });
    shutdown.end(clock.now());
    await this._waitIdle(END_MARGIN_MS, new AbortController().signal);
  }

  private async _waitIdle(timeoutMs: number, signal: AbortSignal): Promise<void> {
    const { clock } = this._services;
    const deadlineAt = clock.now() + timeoutMs;
    while (this._isBusy() && clock.now() < deadlineAt && !signal.aborted) {
      this._server.closeIdleConnections();
      await sleep(DRAIN_POLL_INTERVAL_MS, signal);
    }
  }

  public dispose(): void {
    clearInterval(this._checkTimer);
    this._server.close();
    this._server.closeAllConnections();
  }

  /**
   * Answers input that is not valid HTTP. If earlier requests on the connection still await their responses,
   * no error is sent and the connection is closed after the last of these responses.
   */
  private _handleClientError(error: NodeJS.ErrnoException, socket: Socket): void {
    const openResponses = [...this._responses].filter(({ req }) => req.socket === socket);
    const pendingResponses = openResponses.filter(
      ({ req, headersSent }) => req.complete || headersSent,
    );
    const isAnswered = this._refusedSockets.has(socket);
    this._refusedSockets.add(socket);
    if (pendingResponses.length > 0) {
      pendingResponses.at(-1)?.once('close', () => socket.destroy());
    } else if (isAnswered || !socket.writable || error.code === 'ECONNRESET') {
      socket.destroy();
    } else {
      socket.end(formatClientError(error.code));
    }
  }

  /** True while a response is not completely handed to the network or a claimed call is not settled. */
  private _isBusy(): boolean {
    return this._responses.size > 0 || this._openRequests.size > 0;
  }

  private async _handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = randomUUID();
    const startedAt = this._services.clock.now();
    this._responses.add(response);
    response.once('close', () => this._responses.delete(response));
    if (this._isDraining) {
      closeAfterResponse(response);
    }
    if (await this._backlog.waitForEnd(request.socket)) {
      response.destroy();
      return;
    }
    try {
      const failure = await this._route(request, response, requestId, startedAt);
      if (failure !== undefined) {
        this._refuse(response, failure, requestId);
      }
    } catch (error) {
      this._services.log.error('request failed', { requestId, error: describeError(error) });
      const message = 'An error inside the router; report the request id to the operator.';
      sendFailure(response, { ...createRefusal('internal', message), ran: 'unknown' }, requestId);
    }
  }

  private async _route(
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string,
    startedAt: number,
  ): Promise<IHttpFailure | undefined> {
    const url = parseUrl(request.url ?? '/');
    if (url === undefined) {
      return createRefusal('bad_request', 'Send a valid path.');
    }
    if (url.pathname === '/healthz' || url.pathname === '/readyz') {
      this._answerProbe(url.pathname, response);
      return undefined;
    }
    const destination = this._findDestination(url.pathname, request.method ?? 'GET');
    const failure = destination.err
      ? destination.val
      : await this._checkAndServe(
          { request, response, requestId, startedAt },
          url,
          destination.val,
        );
    const isRepeatable = destination.ok && !needsClaim(destination.val);
    const mayHaveRun = !isRepeatable && request.headers[IDEMPOTENCY_KEY_HEADER] !== undefined;
    return failure !== undefined && mayHaveRun ? describeUncheckedClaim(failure) : failure;
  }

  /** Authenticates the caller, reads the body and serves the request. */
  private async _checkAndServe(
    base: RequestBase,
    url: URL,
    destination: Destination,
  ): Promise<IHttpFailure | undefined> {
    const { request, response, requestId } = base;
    const caller = this._authenticate(request, url, destination);
    if (caller.err) {
      return caller.val;
    }
    if (destination.kind === 'models') {
      this._answerModels(response, caller.val, requestId);
      return undefined;
    }
    if (mayContainKey(url.pathname)) {
      return createRefusal('key_in_request', 'Send your key in the header only, not in the path.');
    }
    const body = await readBody(request, this._limits.bodyTimeoutMs, this._services.shutdown);
    if (body.err) {
      return body.val;
    }
    if (hasKeyInBody(body.val, listKeys(request.headers, url.searchParams))) {
      return createRefusal('key_in_request', 'Send your key in the header only, not in the body.');
    }
    // Authenticates again, because the key may have been withdrawn while the body arrived.
    const recheckedCaller = this._authenticate(request, url, destination);
    if (recheckedCaller.err) {
      return recheckedCaller.val;
    }
    const path = stripKeyFromQuery(url);
    return this._serve({ ...base, path }, destination, recheckedCaller.val, body.val);
  }

  private _findDestination(path: string, method: string): Result<Destination, IHttpFailure> {
    if (MODEL_PATHS.has(path)) {
      return method === 'POST' ? Ok({ kind: 'model' }) : Err(describeMethodNotAllowed('POST'));
    }
    if (path === '/v1/models') {
      return method === 'GET' ? Ok({ kind: 'models' }) : Err(describeMethodNotAllowed('GET'));
    }
    const match = this._configuration.findRoute(path);
    if (match === undefined) {
      return Err(createRefusal('route_unknown', 'No service has this path; check the path.'));
    }
    const { service, route } = match;
    if (route.methods.length > 0 && !route.methods.includes(method)) {
      return Err(describeMethodNotAllowed(route.methods.join(', ')));
    }
    const isNonRepeatable = route.nonRepeatable && method !== 'GET' && method !== 'HEAD';
    return Ok({ kind: 'plain', service, isOpen: route.open, isNonRepeatable });
  }

  private _authenticate(
    request: IncomingMessage,
    url: URL,
    destination: Destination,
  ): Result<ICaller | undefined, IHttpFailure> {
    if (destination.kind === 'plain' && destination.isOpen) {
      return Ok(undefined);
    }
    const caller = authenticate(
      request.headers,
      url.searchParams,
      this._configuration,
      this._services.feed,
      this._services.clock.now(),
    );
    if (caller.err || destination.kind !== 'plain') {
      return caller;
    }
    return authorise(caller.val, destination.service.name);
  }

  private async _serve(
    base: RequestBase & Pick<IRequestContext, 'path'>,
    destination: Exclude<Destination, { kind: 'models' }>,
    caller: ICaller | undefined,
    body: Buffer,
  ): Promise<IHttpFailure | undefined> {
    if (destination.kind === 'plain') {
      const flow = destination.isNonRepeatable ? this._flows.claim : this._flows.plain;
      await this._runRegistered(base, destination.service, caller, (context) =>
        flow.run(context, body),
      );
      return undefined;
    }
    const model = parseModelRequest(body);
    if (model.err) {
      return model.val;
    }
    const service = this._configuration.findModelService(model.val.model);
    if (service === undefined || caller === undefined) {
      return createRefusal(
        'model_unknown',
        'No service offers this model; GET /v1/models lists them.',
      );
    }
    const allowed = authorise(caller, service.name);
    if (allowed.err) {
      return allowed.val;
    }
    await this._runRegistered(base, service, caller, (context) =>
      this._flows.model.run(context, model.val),
    );
    return undefined;
  }

  /** Runs a flow; meanwhile the request is in the registry of open requests. */
  private async _runRegistered(
    base: RequestBase & Pick<IRequestContext, 'path'>,
    service: Service,
    caller: ICaller | undefined,
    run: (context: IRequestContext) => Promise<void>,
  ): Promise<void> {
    const now = this._services.clock.now();
    const deadlineAt = base.startedAt + service.timeoutMs;
    const open = new OpenRequest(base.requestId, caller, deadlineAt, now);
    const endUnfinished = (): void => {
      if (!base.response.writableFinished) {
        open.end('client_gone');
      }
    };
    base.response.once('close', endUnfinished);
    this._openRequests.add(open);
    this._openRequests.checkRequest(open, now);
    try {
      await run({ ...base, service, caller, open });
    } finally {
      this._openRequests.remove(open);
    }
  }

  private _answerProbe(path: string, response: ServerResponse): void {
    const isOk = path === '/healthz' || this.isReady(this._services.clock.now());
    response.writeHead(isOk ? 200 : 503, { 'content-type': 'text/plain' });
    response.end(isOk ? 'ok\n' : 'not ready\n');
  }

  private _answerModels(
    response: ServerResponse,
    caller: ICaller | undefined,
    requestId: string,
  ): void {
    const models = caller === undefined ? [] : this._configuration.listModels(caller.account);
    const data = models.map((id) => ({ id, object: 'model', owned_by: 'redwingwharf' }));
    const body = JSON.stringify({ object: 'list', data });
    response.writeHead(200, { 'content-type': 'application/json', 'x-request-id': requestId });
    response.end(body);
  }

  private _refuse(response: ServerResponse, failure: IHttpFailure, requestId: string): void {
    const { metrics, decisions } = this._services;
    metrics.increment('refusals_total', { code: failure.code });
    decisions.record(requestId, 'refused', { code: failure.code, ran: failure.ran });
    sendFailure(response, failure, requestId);
  }
}

/** Sets `connection: close` on a response unless its head was sent already. */
function closeAfterResponse(response: ServerResponse): void {
  if (!response.headersSent) {
    response.setHeader('connection', 'close');
  }
}

/** True for calls that must run at most once. */
function needsClaim(destination: Destination): boolean {
  return destination.kind === 'plain' && destination.isNonRepeatable;
}

function parseUrl(text: string): URL | undefined {
  try {
    return new URL(text, 'http://entry');
  } catch {
    return undefined;
  }
}

function describeMethodNotAllowed(allowed: string): IHttpFailure {
  return createRefusal('method_not_allowed', `Use one of these methods: ${allowed}.`);
}
