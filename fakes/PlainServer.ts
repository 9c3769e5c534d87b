/**
 * Fake plain service with lookups and non-repeatable calls. The effects of the calls are recorded in a
 * ledger file, so that a test can find calls that ran twice or never.
 */
import { appendFileSync } from 'node:fs';
import { randomUUID } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { readBody, sendJson } from './Http.js';

/** One execution of a non-repeatable call. */
export interface IEffect {
  readonly effectId: string;
  readonly target: string;
  readonly order: unknown;
  readonly requestId: string;
}

export interface IPlainOptions {
  readonly target: string;
  /** File to which effects are appended as JSON lines, so that they survive a crash of the fake. */
  readonly ledgerFile: string | undefined;
}

interface IOrderBody {
  readonly order?: unknown;
  /** Time between the effect and the answer. */
  readonly delayMs?: number;
  /** True: the connection is closed after the effect, without an answer. */
  readonly dropAnswer?: boolean;
}

/** Creates the server of a plain service. `observe` is called with each request for the service. */
export function createPlainServer(
  options: IPlainOptions,
  observe: (request: IncomingMessage, body: unknown) => void,
): Server {
  const incarnation = randomUUID();
  const effects: IEffect[] = [];
  return createServer((request, response) => {
    handleRequest(options, incarnation, effects, observe, request, response).catch(() => {
      response.destroy();
    });
  });
}

async function handleRequest(
  options: IPlainOptions,
  incarnation: string,
  effects: IEffect[],
  observe: (request: IncomingMessage, body: unknown) => void,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://plain');
  if (url.pathname === '/health') {
    sendJson(response, 200, { incarnation });
    return;
  }
  if (url.pathname === '/_effects') {
    sendJson(response, 200, effects);
    return;
  }
  const body = await readBody(request);
  observe(request, body.toString());
  if (request.method === 'POST') {
    await handleOrder(options, effects, body, request, response);
  } else {
    sendJson(response, 200, { target: options.target, path: url.pathname, stock: 12 });
  }
}

async function handleOrder(
  options: IPlainOptions,
  effects: IEffect[],
  body: Buffer,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const order = (body.length > 0 ? JSON.parse(body.toString()) : {}) as IOrderBody;
  const effect: IEffect = {
    effectId: randomUUID(),
    target: options.target,
    order: order.order,
    requestId: String(request.headers['x-request-id'] ?? ''),
  };
  effects.push(effect);
  if (options.ledgerFile !== undefined) {
    appendFileSync(options.ledgerFile, `${JSON.stringify(effect)}\n`);
  }
  await delay(order.delayMs ?? 0);
  if (order.dropAnswer === true) {
    response.destroy();
  } else {
    sendJson(response, 201, effect);
  }
}
