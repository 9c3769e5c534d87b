/** Calls of the platform, the operator and clients over HTTP/1.1, each on a new connection unless stated. */
import { request } from 'node:http';
import { sleep } from './Fleet.mjs';

let attempts = 0;

/** A new attempt id, as each attempt of a client has its own. */
export function createAttemptId() {
  attempts += 1;
  return `${process.pid.toString(16)}${Date.now().toString(16)}${attempts.toString(16).padStart(6, '0')}`;
}

/**
 * Sends one call. Resolves with the answer; `status` is 0 if the connection ended or the time was over before its head,
 * and `isComplete` tells whether the whole answer came.
 */
export function call({ host, port, method = 'GET', path, headers = {}, body, timeoutMs = 1_000 }) {
  return new Promise((done) => {
    const startedAt = performance.now();
    let answer = { status: 0, headers: {}, text: '', isComplete: false };
    let isDone = false;
    const finish = (changes = {}) => {
      if (!isDone) {
        isDone = true;
        clearTimeout(timer);
        outgoing.destroy();
        done({ ...answer, ...changes, tookMs: Math.round(performance.now() - startedAt) });
      }
    };
    const outgoing = request(
      {
        host,
        port,
        method,
        path,
        agent: false,
        headers:
          body === undefined ? headers : { 'content-length': Buffer.byteLength(body), ...headers },
      },
      (response) => {
        answer = { ...answer, status: response.statusCode, headers: response.headers };
        response.setEncoding('utf8');
        response.on('data', (chunk) => {
          answer = { ...answer, text: answer.text + chunk };
        });
        response.on('end', () => finish({ isComplete: response.complete }));
        response.on('error', () => finish());
        response.on('close', () => finish());
      },
    );
    const timer = setTimeout(() => finish({ error: 'no answer in time' }), timeoutMs);
    outgoing.on('error', (error) => finish({ error: error.code ?? error.message }));
    outgoing.end(body);
  });
}

/** Calls one control address after the other, as callers of `control` do, until one answers with success. */
export async function callControl(addresses, options, giveUpMs = 20_000) {
  const giveUpAt = performance.now() + giveUpMs;
  let last;
  for (let i = 0; performance.now() < giveUpAt; i += 1) {
    last = await call({ ...addresses[i % addresses.length], ...options });
    if (last.status >= 200 && last.status < 300) {
      return last;
    }
    if ([400, 409, 412, 413, 422].includes(last.status)) {
      return last;
    }
    await sleep(100);
  }
  return last;
}

/** Sends a configuration until it is acknowledged. */
export function putConfig(addresses, config) {
  return callControl(addresses, {
    method: 'PUT',
    path: '/config',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(config),
  });
}

/** Configuration with the routes and services of a case. */
export function createConfig({ version = 1, routes, services, tenants }) {
  return {
    version,
    routes,
    services,
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    ...(tenants === undefined ? {} : { tenants }),
  };
}
