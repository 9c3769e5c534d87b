/**
 * Starts a small deployment, sends requests of all kinds through it and checks the answers, also
 * during a change of weights, the crash of an entry and a shutdown. Exits with 1 if a check fails.
 */
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { Deployment, type IDeploymentPlan } from './harness/Deployment.js';
import { FRANCHISE_PLAN } from './harness/Franchise.js';

/** Long system prompt of a few cacheable chunks, shared by most requests. */
const SHARED_STANDARD = 'A lace pattern is checked line by line against the standard. '.repeat(600);

/** System prompt with other chunks, which only the requests that use it bring into a cache. */
const OTHER_STANDARD = `Bobbin rules. ${SHARED_STANDARD}`;

const ENGINE_IDS = ['lace-1', 'lace-2', 'lace-3'];

/**
 * A third engine, so that a violation of the limit of two concurrent weights loads can be observed.
 */
const DEPLOYMENT_PLAN: IDeploymentPlan = {
  ...FRANCHISE_PLAN,
  hasKvCacheStore: true,
  targets: [
    ...FRANCHISE_PLAN.targets,
    { id: 'lace-3', service: 'lace', kind: 'engine', model: 'lace-1', dataCentre: 'hr-c' },
  ],
};

interface ICheck {
  readonly name: string;
  readonly ok: boolean;
  readonly detail: string;
}

const checks: ICheck[] = [];

function recordCheck(name: string, ok: boolean, detail: string): void {
  checks.push({ name, ok, detail });
  process.stdout.write(`${ok ? 'ok  ' : 'FAIL'} ${name}: ${detail}\n`);
}

/** A complete HTTP answer. */
interface IAnswer {
  readonly status: number;
  readonly text: string;
  readonly headers: Headers;
}

/** Sends a request, with the key as bearer token if there is one, and reads the whole answer. */
async function call(
  url: string,
  key: string | undefined,
  init: RequestInit = {},
): Promise<IAnswer> {
  const headers = new Headers(init.headers);
  if (key !== undefined) {
    headers.set('authorization', `Bearer ${key}`);
  }
  const response = await fetch(url, { ...init, headers });
  return { status: response.status, text: await response.text(), headers: response.headers };
}

async function streamCompletion(
  url: string,
  key: string,
  maxTokens: number,
  standard = SHARED_STANDARD,
): Promise<IAnswer> {
  return call(`${url}/v1/chat/completions`, key, {
    method: 'POST',
    body: JSON.stringify({
      model: 'lace-1',
      stream: true,
      max_tokens: maxTokens,
      messages: [
        { role: 'system', content: standard },
        { role: 'user', content: 'Is row 12 correct?' },
      ],
    }),
  });
}

/** Returns the text deltas of a stream in their order. */
function listDeltas(stream: string): string[] {
  return stream
    .split('\n')
    .filter((line) => line.startsWith('data: {'))
    .map((line) => JSON.parse(line.slice('data: '.length)) as IChunk)
    .map((chunk) => chunk.choices[0]?.delta.content ?? '')
    .filter((delta) => delta !== '');
}

interface IChunk {
  readonly choices: readonly { readonly delta: { readonly content?: string } }[];
  readonly usage?: { readonly prompt_tokens_details?: { readonly cached_tokens: number } };
}

/**
 * Whether a stream contains exactly `tokens` tokens of a fake engine in order and its end marker.
 */
function isCompleteStream(stream: string, tokens: number): boolean {
  const expected = Array.from({ length: tokens }, (_, index) => `t${index} `).join('');
  return listDeltas(stream).join('') === expected && stream.endsWith('data: [DONE]\n\n');
}

/** Starts the deployment, publishes its files and returns a key that every entry accepts. */
async function prepareDeployment(deployment: Deployment): Promise<string> {
  await deployment.start();
  await deployment.waitFor('a control leader', async () => {
    const status = await deployment.runOperator(['status', '--json']);
    return status.code === 0 && status.stdout.includes('"leader"');
  });
  const published = await deployment.runOperator([
    'publish',
    `${deployment.folder}/services`,
    '--operator',
    'demo',
  ]);
  recordCheck('publish', published.code === 0, published.stdout.trim() || published.stderr.trim());
  const keyCommand = await deployment.runOperator(['key', 'give', 'pag']);
  const key = /rww_\S+/.exec(keyCommand.stdout)?.[0] ?? '';
  for (const entry of deployment.listEntries()) {
    await deployment.waitFor(`${entry} to serve`, async () => {
      const stock = await call(`${deployment.getEntryUrl(entry)}/stock/linen`, key);
      const models = await call(`${deployment.getEntryUrl(entry)}/v1/models`, key);
      const answer = await streamCompletion(deployment.getEntryUrl(entry), key, 1);
      return stock.status === 200 && models.status === 200 && answer.status === 200;
    });
  }
  return key;
}

/** Checks that a stream is complete and that another entry makes use of the cached prompt. */
async function checkModelService(deployment: Deployment, key: string): Promise<void> {
  const url = deployment.getEntryUrl('entry-1');
  const first = await streamCompletion(url, key, 20);
  recordCheck('streamed answer', isCompleteStream(first.text, 20), '20 tokens in order');
  const second = await streamCompletion(deployment.getEntryUrl('entry-2'), key, 5);
  const cached = Number(/"cached_tokens":(\d+)/.exec(second.text)?.[1] ?? 0);
  recordCheck('cached prefix', cached > 0, `${cached} prompt tokens came from the cache`);
}

/** One load of weights, as a fake engine recorded it. */
interface ILoadRecord {
  readonly version: string;
  readonly startedAt: number;
  readonly finishedAt: number;
}

/** Returns the largest number of loads that ran at the same time. */
function countConcurrentLoads(loads: readonly ILoadRecord[]): number {
  const counts = loads.map(
    ({ startedAt }) =>
      loads.filter((load) => load.startedAt <= startedAt && startedAt < load.finishedAt).length,
  );
  return Math.max(0, ...counts);
}

/**
 * Streams one short answer after another until the signal aborts; returns 'complete' or what was
 * wrong.
 */
async function streamUntilAborted(
  url: string,
  key: string,
  tokens: number,
  signal: AbortSignal,
): Promise<string[]> {
  const results: string[] = [];
  while (!signal.aborted) {
    const { status, text } = await streamCompletion(url, key, tokens, 'Be brief.');
    results.push(isCompleteStream(text, tokens) ? 'complete' : `${status} ${text.slice(-200)}`);
  }
  return results;
}

async function publishWeights(deployment: Deployment, version: string): Promise<void> {
  const weightsFolder = `${deployment.folder}/services/weights`;
  mkdirSync(weightsFolder, { recursive: true });
  const content = { weights: [{ model: 'lace-1', version }] };
  writeFileSync(`${weightsFolder}/redwingwharf.json`, JSON.stringify(content));
  const args = ['publish', `${deployment.folder}/services`, '--operator', 'demo'];
  const published = await deployment.runOperator(args);
  recordCheck(`publish weights ${version}`, published.code === 0, published.stdout.trim());
}

/** Fetches the loads of each engine, in the order of `ENGINE_IDS`. */
async function fetchLoadRecords(deployment: Deployment): Promise<ILoadRecord[][]> {
  const answers = ENGINE_IDS.map((id) =>
    call(`${deployment.getTargetUrl(id)}/admin/orders`, undefined),
  );
  return (await Promise.all(answers)).map(({ text }) => JSON.parse(text) as ILoadRecord[]);
}

/** Returns the cached prompt tokens that the usage of a stream states, or -1 without usage. */
function readCachedTokens(stream: string): number {
  return Number(/"cached_tokens":(\d+)/.exec(stream)?.[1] ?? -1);
}

/** Checks that new weights reach all engines while streams continue and stay complete. */
async function checkWeights(deployment: Deployment, key: string): Promise<void> {
  const [firstUrl = '', secondUrl = '', thirdUrl = ''] = deployment
    .listEntries()
    .map((entry) => deployment.getEntryUrl(entry));
  await streamCompletion(firstUrl, key, 1, OTHER_STANDARD);
  const stop = new AbortController();
  const streaming = [firstUrl, secondUrl, thirdUrl].map((url) =>
    streamUntilAborted(url, key, 40, stop.signal),
  );
  const startedAt = performance.now();
  await publishWeights(deployment, 'w2');
  await deployment.waitFor('the new weights on all engines', async () => {
    const states = ENGINE_IDS.map((id) => call(`${deployment.getTargetUrl(id)}/health`, undefined));
    return (await Promise.all(states)).every(({ text }) => text.includes('"w2"'));
  });
  const tookMs = Math.round(performance.now() - startedAt);
  const loadsByEngine = await fetchLoadRecords(deployment);
  const maxConcurrentLoads = countConcurrentLoads(loadsByEngine.flat());
  const isLoadedOnce = loadsByEngine.every(({ length }) => length === 1);
  const detail = `${ENGINE_IDS.length} engines in ${tookMs} ms, ${maxConcurrentLoads} at once`;
  recordCheck(
    'new weights on all engines, one load each',
    isLoadedOnce && maxConcurrentLoads <= 2,
    detail,
  );
  await deployment.waitFor('entry-1 to report the new weights', async () => {
    const { stdout } = await deployment.runOperator([
      'status',
      '--entries',
      deployment.getInternalAddress('entry-1'),
      '--targets',
      '--json',
    ]);
    return !stdout.includes('"w1"');
  });
  const cachedTokens = readCachedTokens(
    (await streamCompletion(firstUrl, key, 1, OTHER_STANDARD)).text,
  );
  recordCheck(
    'no cached tokens of the old weights',
    cachedTokens === 0,
    `${cachedTokens} cached tokens`,
  );
  stop.abort();
  const results = (await Promise.all(streaming)).flat();
  const incomplete = results.filter((result) => result !== 'complete');
  const streams = `${results.length} streams, ${incomplete.length} not complete ${incomplete[0] ?? ''}`;
  recordCheck('streams complete during the change', incomplete.length === 0, streams);
}

/** Checks a lookup, an open route, and idempotency of an order that is sent again. */
async function checkPlainServices(deployment: Deployment, key: string): Promise<void> {
  const url = deployment.getEntryUrl('entry-2');
  const stock = await call(`${url}/stock/linen`, key);
  recordCheck('lookup', stock.status === 200, stock.text);
  const open = await call(`${url}/opening-hours`, undefined);
  recordCheck('open route without a key', open.status === 200, `status ${open.status}`);
  const order = { method: 'POST', body: '{"order":"40 m cotton"}' };
  const headers = { 'idempotency-key': 'order-1', 'content-type': 'application/json' };
  const first = await call(`${url}/orders`, key, { ...order, headers });
  const resent = await call(`${deployment.getEntryUrl('entry-3')}/orders`, key, {
    ...order,
    headers,
  });
  recordCheck('order', first.status === 201, first.text);
  const isSame = resent.text === first.text && resent.headers.get('x-rww-replayed') === 'true';
  recordCheck('resent order gets the same answer', isSame, `status ${resent.status}`);
  const reusedKey = await call(`${url}/orders`, key, {
    method: 'POST',
    body: '{"order":"x"}',
    headers,
  });
  recordCheck('same key for another order is refused', reusedKey.status === 422, reusedKey.text);
}

/** Checks that missing, wrong and withdrawn keys and services of other accounts are refused. */
async function checkKeys(deployment: Deployment, key: string): Promise<void> {
  const url = deployment.getEntryUrl('entry-1');
  const missing = await call(`${url}/stock/linen`, undefined);
  recordCheck('missing key', missing.status === 401, missing.text);
  const wrong = await call(`${url}/stock/linen`, `${key.slice(0, -4)}AAAA`);
  recordCheck('wrong key', wrong.status === 401, wrong.text);
  const keyCommand = await deployment.runOperator(['key', 'give', 'hvar']);
  const hvarKeyMatch = /rww_([0-9a-f]+)_\S+/.exec(keyCommand.stdout);
  await deployment.waitFor('the new key to be accepted', async () => {
    const stock = await call(`${url}/stock/linen`, hvarKeyMatch?.[0]);
    return stock.status === 200;
  });
  const forbidden = await streamCompletion(url, hvarKeyMatch?.[0] ?? '', 1);
  recordCheck('service of another account', forbidden.status === 403, forbidden.text);
  await deployment.runOperator(['key', 'withdraw', hvarKeyMatch?.[1] ?? '']);
  const withdrawnAt = performance.now();
  await deployment.waitFor('the withdrawn key to be refused', async () => {
    const answers = await Promise.all(
      deployment
        .listEntries()
        .map((entry) => call(`${deployment.getEntryUrl(entry)}/stock/linen`, hvarKeyMatch?.[0])),
    );
    return answers.every(({ status }) => status === 401);
  });
  const tookMs = Math.round(performance.now() - withdrawnAt);
  recordCheck('withdrawn key stops everywhere', tookMs < 4_000, `after ${tookMs} ms`);
}

/** Checks that a killed entry interrupts neither the other entries nor their streams. */
async function checkRestart(deployment: Deployment, key: string): Promise<void> {
  const stream = streamCompletion(deployment.getEntryUrl('entry-1'), key, 200);
  await deployment.getChild('entry-3')?.stop('SIGKILL');
  const during = await call(`${deployment.getEntryUrl('entry-2')}/stock/linen`, key);
  recordCheck('an entry is killed, the others serve', during.status === 200, during.text);
  const restartedAt = performance.now();
  deployment.startEntry('entry-3');
  await deployment.waitFor('entry-3 to be ready', () => deployment.isReady('entry-3'));
  const hasAnswered = await deployment.waitUntilServed('entry-3', key);
  const tookMs = Math.round(performance.now() - restartedAt);
  recordCheck('the restarted entry serves', hasAnswered, `first answer after ${tookMs} ms`);
  const { text } = await stream;
  recordCheck('the open stream is complete', isCompleteStream(text, 200), '200 tokens in order');
}

/** Checks that the order had one effect and that no client key reached a target. */
async function checkTargetObservations(deployment: Deployment): Promise<void> {
  const effects = readFileSync(deployment.ledgerFile, 'utf8').trim().split('\n');
  recordCheck('effects of the order', effects.length === 1, `${effects.length} recorded`);
  let leakedKeys = 0;
  let requests = 0;
  for (const id of deployment.listTargets()) {
    const { text } = await call(`${deployment.getTargetUrl(id)}/_observed`, undefined);
    const observed = JSON.parse(text) as { leakedKeys: number; requests: number };
    leakedKeys += observed.leakedKeys;
    requests += observed.requests;
  }
  const detail = `${leakedKeys} keys in ${requests} requests`;
  recordCheck('no target saw a key', leakedKeys === 0 && requests > 0, detail);
}

/** Length of a stream that lasts longer than a start of the operator's program on a busy machine. */
const SHUTDOWN_TOKENS = 900;

/** Checks that an entry finishes its open stream before it stops. */
async function checkShutdown(deployment: Deployment, key: string): Promise<void> {
  const stream = streamCompletion(deployment.getEntryUrl('entry-2'), key, SHUTDOWN_TOKENS);
  await deployment.waitFor('the stream to start', async () => {
    const status = await deployment.runOperator([
      'status',
      '--entries',
      deployment.getInternalAddress('entry-2'),
      '--json',
    ]);
    return /"openRequests":\s*[1-9]/.test(status.stdout);
  });
  const child = deployment.getChild('entry-2');
  await child?.stop('SIGTERM');
  const { text } = await stream;
  const isComplete = isCompleteStream(text, SHUTDOWN_TOKENS) && child?.exitCode === 0;
  const detail = `${SHUTDOWN_TOKENS} tokens in order, exit code 0`;
  recordCheck('graceful shutdown cuts no stream', isComplete, detail);
}

async function runChecks(deployment: Deployment): Promise<void> {
  const key = await prepareDeployment(deployment);
  await checkModelService(deployment, key);
  await checkWeights(deployment, key);
  await checkPlainServices(deployment, key);
  await checkKeys(deployment, key);
  await checkRestart(deployment, key);
  await checkTargetObservations(deployment);
  await checkShutdown(deployment, key);
}

async function main(): Promise<void> {
  const startedAt = performance.now();
  const deployment = await Deployment.create(DEPLOYMENT_PLAN);
  try {
    await runChecks(deployment);
  } catch (error) {
    recordCheck('the demo ran to its end', false, String(error));
  } finally {
    await deployment.stop();
  }
  const ok = checks.every((check) => check.ok);
  if (ok) {
    deployment.deleteFolder();
  } else {
    process.stdout.write(`logs: ${deployment.folder}\n`);
  }
  const seconds = Math.round((performance.now() - startedAt) / 100) / 10;
  const failed = checks.filter((check) => !check.ok).map(({ name }) => name);
  process.stdout.write(`${JSON.stringify({ ok, checks: checks.length, failed, seconds })}\n`);
  process.exitCode = ok ? 0 : 1;
}

void main();
