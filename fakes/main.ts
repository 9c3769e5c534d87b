/** Entry point that starts one fake: `fakes engine|plain|kv-store|weight-store --listen IP:PORT ...`. */
import { appendFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { createServer, type IncomingMessage, type Server } from 'node:http';
import { parseAddress } from '../src/common/Address.js';
import { Engine } from './Engine.js';
import { createEngineServer } from './EngineServer.js';
import { createPlainServer } from './PlainServer.js';
import { sendJson } from './Http.js';
import { createKvStoreServer, createWeightStoreServer } from './StoreServers.js';

const OPTIONS = {
  listen: { type: 'string', default: '127.0.0.1:0' },
  target: { type: 'string', default: 'target' },
  ledger: { type: 'string' },
  violations: { type: 'string' },
  model: { type: 'string', default: 'model' },
  weights: { type: 'string', default: 'w1' },
  fencing: { type: 'string', default: 'strict' },
  'prefill-tps': { type: 'string', default: '40000' },
  'decode-ms': { type: 'string', default: '5' },
  'max-running': { type: 'string', default: '16' },
  chunks: { type: 'string', default: '64' },
  'evict-ms': { type: 'string', default: '5000' },
  'event-delay-ms': { type: 'string', default: '200' },
  'event-loss': { type: 'string', default: '0.02' },
  'load-lag-ms': { type: 'string', default: '200' },
  'load-ms': { type: 'string', default: '300' },
} as const;

/** Beginning of a caller's key. The router must not forward any to a target. */
const CALLER_KEY_PATTERN = /rww_[0-9a-z]+_/i;

const { values, positionals } = parseArgs({ options: OPTIONS, allowPositionals: true });
let leakedKeys = 0;
let requests = 0;

/** Appends a violation to the file of `--violations`, so that it survives a crash of the fake. */
function recordViolation(kind: string, requestId: string): void {
  if (values.violations !== undefined) {
    const line = JSON.stringify({ kind, target: values.target, requestId });
    appendFileSync(values.violations, `${line}\n`);
  }
}

function observeRequest(request: IncomingMessage, body: unknown): void {
  requests += 1;
  const text = `${request.url ?? ''} ${request.rawHeaders.join(' ')} ${JSON.stringify(body)}`;
  if (CALLER_KEY_PATTERN.test(text)) {
    leakedKeys += 1;
    recordViolation('leaked_key', String(request.headers['x-request-id'] ?? ''));
  }
}

function createEngine(): Engine {
  return new Engine({
    model: values.model,
    weightsVersion: values.weights,
    prefillTokensPerSecond: Number(values['prefill-tps']),
    tokenIntervalMs: Number(values['decode-ms']),
    maxRunning: Number(values['max-running']),
    fencing: values.fencing === 'ignore' ? 'ignore' : 'strict',
    loadLagMs: Number(values['load-lag-ms']),
    loadMs: Number(values['load-ms']),
    onForeignCacheHit: (requestId) => {
      recordViolation('foreign_cache_hit', requestId);
    },
    cache: {
      capacityChunks: Number(values.chunks),
      idleEvictionMs: Number(values['evict-ms']),
      eventDelayMs: Number(values['event-delay-ms']),
      eventLossRatio: Number(values['event-loss']),
    },
  });
}

function createFake(kind: string | undefined): Server {
  switch (kind) {
    case 'engine':
      return createEngineServer(createEngine(), observeRequest);
    case 'plain':
      return createPlainServer(
        { target: values.target, ledgerFile: values.ledger },
        observeRequest,
      );
    case 'kv-store':
      return createKvStoreServer(Number(values.chunks));
    case 'weight-store':
      return createWeightStoreServer(300, 2);
    case undefined:
    default:
      throw new Error(`unknown fake "${kind ?? ''}"; use engine, plain, kv-store or weight-store`);
  }
}

const fake = createFake(positionals[0]);
const handlers = fake.listeners('request') as ((...args: unknown[]) => void)[];
const server = createServer((request, response) => {
  if (request.url === '/_observed') {
    sendJson(response, 200, { requests, leakedKeys });
    return;
  }
  for (const handler of handlers) {
    handler.call(fake, request, response);
  }
});
const { host, port } = parseAddress(values.listen);
server.listen(port, host, () => {
  process.stdout.write(`${JSON.stringify({ message: 'listening', address: values.listen })}\n`);
});
process.on('SIGTERM', () => process.exit(0));
