/** HTTP interface of the fake engine: generations, streams, load, cache events and load commands. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { once } from 'node:events';
import type { Engine } from './Engine.js';
import type { EngineStream } from './EngineStream.js';
import { readJson, sendJson } from './Http.js';

interface IMessage {
  readonly role?: string;
  readonly content?: string;
}

function joinPrompt(body: Record<string, unknown>): string {
  if (typeof body.prompt === 'string') {
    return body.prompt;
  }
  const messages = (body.messages ?? []) as readonly IMessage[];
  return messages.map(({ role, content }) => `${role ?? ''}:${content ?? ''}\n`).join('');
}

/**
 * Creates the HTTP server of an engine. `observe` is called with each generation request, so that a test
 * can check what reaches a target.
 */
export function createEngineServer(
  engine: Engine,
  observe: (request: IncomingMessage, body: unknown) => void,
): Server {
  return createServer((request, response) => {
    handleRequest(engine, observe, request, response).catch((error: unknown) => {
      if (!response.headersSent) {
        sendJson(response, 500, { error: String(error) });
      } else {
        response.destroy();
      }
    });
  });
}

async function handleRequest(
  engine: Engine,
  observe: (request: IncomingMessage, body: unknown) => void,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://engine');
  const route = `${request.method ?? 'GET'} ${url.pathname}`;
  switch (route) {
    case 'GET /health':
      sendJson(response, 200, describeEngine(engine));
      return;
    case 'GET /load':
      sendJson(response, 200, engine.reportLoad());
      return;
    case 'GET /events':
      sendJson(response, 200, {
        incarnation: engine.incarnation,
        events: engine.listEvents(Number(url.searchParams.get('after') ?? 0)),
      });
      return;
    case 'GET /admin/orders':
      sendJson(response, 200, engine.orders);
      return;
    case 'POST /admin/orders':
      await handleLoadCommand(engine, request, response);
      return;
    case 'POST /v1/chat/completions':
    case 'POST /v1/completions':
      await handleGenerate(engine, observe, request, response);
      return;
    default:
      await handleResource(engine, url, request, response);
  }
}

function describeEngine(engine: Engine): Record<string, unknown> {
  return {
    incarnation: engine.incarnation,
    model: engine.model,
    weights_version: engine.weightsVersion,
    highest_fence: engine.highestFence,
  };
}

async function handleLoadCommand(
  engine: Engine,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const command = await readJson(request);
  const isLoaded = await engine.loadWeights(Number(command.fence), String(command.version));
  if (isLoaded) {
    sendJson(response, 200, describeEngine(engine));
  } else {
    sendJson(response, 409, { error: 'old_fence', highest_fence: engine.highestFence });
  }
}

async function handleGenerate(
  engine: Engine,
  observe: (request: IncomingMessage, body: unknown) => void,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readJson(request);
  observe(request, body);
  const stream = engine.generate({
    requestId: String(request.headers['x-request-id'] ?? ''),
    prompt: joinPrompt(body),
    cacheSalt: typeof body.cache_salt === 'string' ? body.cache_salt : '',
    priority: Number(body.priority ?? 0),
    maxTokens: Number(body.max_tokens ?? 16),
  });
  if (body.stream === true) {
    await writeStream(engine, stream, 0, response);
  } else {
    await writeWhole(engine, stream, response);
  }
}

async function handleResource(
  engine: Engine,
  url: URL,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const [, kind, id = ''] = /^\/(v1\/streams|kv)\/([^/]+)$/.exec(url.pathname) ?? [];
  if (kind === 'kv') {
    handleChunk(engine, id, request, response);
    return;
  }
  const stream = kind === undefined ? undefined : engine.getStream(id);
  if (stream === undefined) {
    sendJson(response, 404, { error: 'not_found' });
  } else if (request.method === 'DELETE') {
    stream.cancel();
    sendJson(response, 200, { cancelled: true });
  } else {
    await writeStream(engine, stream, Number(request.headers['last-event-id'] ?? 0), response);
  }
}

function handleChunk(
  engine: Engine,
  hash: string,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  if (request.method === 'PUT') {
    request.resume();
    engine.importChunk(hash);
    sendJson(response, 200, { imported: true });
  } else if (engine.hasChunk(hash)) {
    sendJson(response, 200, { hash });
  } else {
    sendJson(response, 404, { error: 'not_cached' });
  }
}

async function writeStream(
  engine: Engine,
  stream: EngineStream,
  after: number,
  response: ServerResponse,
): Promise<void> {
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
    'x-engine-incarnation': engine.incarnation,
    'x-stream-id': stream.id,
    'x-request-id': stream.requestId,
  });
  response.flushHeaders();
  for await (const event of stream.readAfter(after)) {
    if (response.destroyed) {
      return;
    }
    if (!response.write(event)) {
      await Promise.race([once(response, 'drain'), once(response, 'close')]);
    }
  }
  if (stream.isCancelled) {
    response.destroy();
  } else {
    response.end();
  }
}

async function writeWhole(
  engine: Engine,
  stream: EngineStream,
  response: ServerResponse,
): Promise<void> {
  let content = '';
  let usage: unknown;
  let promptDigest: string | undefined;
  for await (const event of stream.readAfter(0)) {
    const data = event.slice(event.indexOf('data: ') + 6).trim();
    if (data !== '[DONE]') {
      const chunk = JSON.parse(data) as {
        choices: { delta: { content?: string } }[];
        usage?: unknown;
        prompt_digest?: string;
      };
      content += chunk.choices[0]?.delta.content ?? '';
      usage = chunk.usage ?? usage;
      promptDigest = chunk.prompt_digest ?? promptDigest;
    }
  }
  response.setHeader('x-engine-incarnation', engine.incarnation);
  response.setHeader('x-request-id', stream.requestId);
  sendJson(response, 200, {
    id: stream.requestId,
    object: 'chat.completion',
    model: engine.model,
    prompt_digest: promptDigest,
    choices: [{ index: 0, message: { role: 'assistant', content }, finish_reason: 'stop' }],
    usage,
  });
}
