/** A tenant goes on sending far more than its limit, which a configuration has lowered. */
import { join } from 'node:path';
import { finish, Fleet, Recorder, sleep } from '../lib-3/Fleet.mjs';
import { answerStream, call, callControl, Engine, newId, startLoad } from '../lib-3/Wire.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const TOKENS = 1_000;
const PER_S = 100;
const WINDOW_MS = 8_000;
const BEFORE_MS = 16_000;
const AFTER_MS = 34_000;
const HIGH = { ratePerS: 150_000, burst: 150_000 };
const LOW = { ratePerS: 10_000, burst: 10_000 };

const record = new Recorder(join(import.meta.dirname, 'record.txt'));
const fleet = await Fleet.create({ machines: 3 });
const engines = [0, 1].map(
  (i) =>
    new Engine(`127.0.2.${i + 1}`, 0, 'models', {
      zone: ['zg-a', 'zg-b'][i],
      model: 'm0',
      run: answerStream,
    }),
);

const describe = (version, limit) => ({
  version,
  routes: [
    {
      name: 'check',
      host: 'desk.example',
      pathPrefix: '/check/',
      kind: 'streaming',
      timeoutMs: 5000,
      targetLatencyMs: 500,
      priority: 1,
      service: 'models',
      maxAttempts: 2,
      public: false,
      sticky: true,
      resumable: true,
      targetGapMs: 400,
    },
  ],
  services: [
    {
      name: 'models',
      healthPath: '/healthz',
      maxConns: 380,
      protocol: 'h1',
      tls: false,
      engine: {
        slots: 64,
        kvCapacity: 119086,
        kvTokenBytes: 18432,
        linkMbps: 370000,
        moves: true,
        backups: true,
        stride: 5,
        maxInflight: 12,
        pinMs: 4000,
        holdMs: 2000,
        handle_s: 5,
        models: [{ name: 'm0' }],
      },
    },
  ],
  limits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 4194304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
  },
  tenants: [
    {
      name: 'pag',
      apiKeys: ['key-of-pag'],
      priority: 1,
      unit: 'tokens',
      uncachedTokens: 200,
      isolated: false,
      ...limit,
    },
  ],
});

const limitOf = ({ ratePerS, burst }) =>
  ((ratePerS * WINDOW_MS) / 1000 + burst) * (1 + fleet.bounds.quotaExcess) +
  fleet.bounds.quotaSlack;

/** Largest sum of tokens that ran within a window that begins at `from` or later. */
function findMost(from) {
  const runs = engines
    .flatMap(({ arrivals }) => arrivals)
    .filter(({ ran, at, id }) => ran && sentAt.get(id) >= from && at >= from)
    .sort((left, right) => left.at - right.at);
  let most = 0;
  for (let first = 0, last = 0; last < runs.length; last += 1) {
    while (runs[last].at - sentAt.get(runs[first].id) > WINDOW_MS) {
      first += 1;
    }
    most = Math.max(most, (last - first + 1) * TOKENS);
  }
  return most;
}

const sentAt = new Map();
const counts = new Map();

async function send() {
  const id = newId();
  sentAt.set(id, performance.now());

  const answer = await call(fleet.client(Math.floor(Math.random() * 3)), 'POST', '/check/a', {
    headers: {
      Host: 'desk.example',
      'X-Redwingwharf-Attempt-Id': id,
      'X-Redwingwharf-Deadline-Ms': '5000',
      'X-Redwingwharf-Model': 'm0',
      'X-Redwingwharf-Token-Usage': `${TOKENS - 100},100`,
      'X-Redwingwharf-Prefix-Hash': `aa01:200,${id}:600`,
      Authorization: 'Bearer key-of-pag',
    },
    body: 'x'.repeat(1000),
    timeoutMs: 5000,
  });
  const second = Math.floor((answer.sentAt - record.startedAt) / 1000);
  const key = `${second} s: ${answer.status}`;
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

let outcome = 'unable';
try {
  await fleet.startAll();
  await Promise.all(engines.map((engine) => engine.start(fleet.control)));
  const first = await callControl(fleet.control, 'PUT', '/config', describe(1, HIGH));
  record.write('configuration 1 acknowledged', { status: first.status, ...HIGH });
  await sleep(3_000);
  const load = startLoad({ perS: PER_S, send });
  await sleep(BEFORE_MS);
  const limit = HAS_TROUBLE ? LOW : HIGH;
  const second = await callControl(fleet.control, 'PUT', '/config', describe(2, limit));
  const ackAt = performance.now();
  record.write('configuration 2 acknowledged', { status: second.status, ...limit });
  await sleep(AFTER_MS);
  await load.stop();
  const bindsFrom = ackAt + fleet.bounds.configMs + WINDOW_MS;
  for (const [key, count] of counts) {
    record.write(`sent at ${key}`, { count });
  }
  const most = findMost(bindsFrom);
  const allowed = limitOf(limit);
  const asked = (PER_S * TOKENS * WINDOW_MS) / 1000;
  const served = [...counts].some(([key]) => key.endsWith(' 200'));
  record.write('most tokens run within a window after the limit binds', { most, allowed, asked });
  if (first.status === 200 && second.status === 200 && served) {
    outcome = most > allowed ? 'broken' : 'held';
  }
} finally {
  engines.forEach((engine) => engine.stop());
  await fleet.dispose();
}
finish(record, outcome, 'QUOTA');
