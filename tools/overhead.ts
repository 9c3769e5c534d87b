/**
 * Measures what entry and sidecar add: time to first token against a direct request to the same fake
 * in the same run, processor time per request and per relayed event, and peak memory per role.
 */
import { build, type Histogram } from 'hdr-histogram-js';
import { Deployment, type IDeploymentPlan } from './harness/Deployment.js';
import { LoadClient, runConcurrently } from './harness/LoadClient.js';
import { readCpuMs, readPeakMemoryMb } from './harness/ProcessUsage.js';

const ENTRY = 'entry-1';
const SIDECAR = 'sidecar-lace-1';

/** Requests of each kind for the time to first token. */
const LATENCY_REQUESTS = 500;
const WARM_UP_REQUESTS = 100;

/** Short requests for the processor time per request. */
const SHORT_REQUESTS = 3_000;
const SHORT_CONCURRENCY = 20;

/** Streams for the processor time per relayed event. */
const STREAMS = 400;
const STREAM_CONCURRENCY = 200;
const STREAM_TOKENS = 400;

const PLAN: IDeploymentPlan = {
  region: 'local',
  entries: [{ name: ENTRY, dataCentre: 'dc-a' }],
  targets: [
    {
      id: 'lace-1',
      service: 'lace',
      kind: 'engine',
      model: 'lace-1',
      dataCentre: 'dc-a',
      fakeArgs: ['--decode-ms', '5', '--max-running', '4096', '--prefill-tps', '1000000000'],
    },
  ],
  operatorFiles: {
    lace: { services: [{ name: 'lace', kind: 'model', models: ['lace-1'] }] },
    accounts: {
      clientAccounts: [{ id: 'load', tokensPerSecond: 1e8, burstTokens: 1e8, services: ['lace'] }],
    },
  },
};

interface ICost {
  readonly entryUs: number;
  readonly sidecarUs: number;
}

function createHistogram(): Histogram {
  return build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });
}

function buildBody(maxTokens: number): Record<string, unknown> {
  return {
    model: 'lace-1',
    max_tokens: maxTokens,
    messages: [{ role: 'user', content: 'Is row 12 correct?' }],
  };
}

async function prepareDeployment(deployment: Deployment): Promise<string> {
  await deployment.start();
  await deployment.waitFor('the accounts', async () => {
    const published = await deployment.runOperator(['publish', `${deployment.folder}/services`]);
    return published.code === 0;
  });
  const given = await deployment.runOperator(['key', 'give', 'load']);
  const key = /rww_\S+/.exec(given.stdout)?.[0] ?? '';
  const client = new LoadClient();
  await deployment.waitFor('the path', async () => {
    const times = await client.stream(deployment.getUrl(ENTRY), key, buildBody(1));
    return times.status === 200;
  });
  await client.close();
  return key;
}

/** Direct and routed requests take turns, so that both see the same state of the machine. */
async function measureLatency(
  deployment: Deployment,
  key: string,
): Promise<{ direct: Histogram; routed: Histogram }> {
  const client = new LoadClient();
  const direct = createHistogram();
  const routed = createHistogram();
  for (let index = 0; index < LATENCY_REQUESTS + WARM_UP_REQUESTS; index++) {
    const body = buildBody(2);
    const plain = await client.stream(deployment.getTargetUrl('lace-1'), undefined, body);
    const full = await client.stream(deployment.getUrl(ENTRY), key, body);
    if (index >= WARM_UP_REQUESTS) {
      direct.recordValue(Math.round(plain.firstByteMs * 1_000));
      routed.recordValue(Math.round(full.firstByteMs * 1_000));
    }
  }
  await client.close();
  return { direct, routed };
}

async function measureCost(deployment: Deployment, units: () => Promise<number>): Promise<ICost> {
  const entryPid = deployment.getChild(ENTRY)?.pid ?? 0;
  const sidecarPid = deployment.getChild(SIDECAR)?.pid ?? 0;
  const before = [readCpuMs(entryPid), readCpuMs(sidecarPid)] as const;
  const count = await units();
  const after = [readCpuMs(entryPid), readCpuMs(sidecarPid)] as const;
  return {
    entryUs: ((after[0] - before[0]) * 1_000) / count,
    sidecarUs: ((after[1] - before[1]) * 1_000) / count,
  };
}

async function runStreams(
  deployment: Deployment,
  key: string,
  total: number,
  concurrency: number,
  tokens: number,
): Promise<{ requests: number; events: number }> {
  const client = new LoadClient();
  let events = 0;
  await runConcurrently(total, concurrency, async () => {
    const times = await client.stream(deployment.getUrl(ENTRY), key, buildBody(tokens));
    if (times.status !== 200) {
      throw new Error(`unexpected status ${times.status}`);
    }
    events += times.events;
  });
  await client.close();
  return { requests: total, events };
}

function limitDigits(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}

function describeMs(histogram: Histogram, percentile: number): number {
  return limitDigits(histogram.getValueAtPercentile(percentile) / 1_000, 2);
}

async function measure(deployment: Deployment): Promise<Record<string, unknown>> {
  const key = await prepareDeployment(deployment);
  const { direct, routed } = await measureLatency(deployment, key);
  const perRequest = await measureCost(deployment, async () => {
    const done = await runStreams(deployment, key, SHORT_REQUESTS, SHORT_CONCURRENCY, 1);
    return done.requests;
  });
  const perEvent = await measureCost(deployment, async () => {
    const done = await runStreams(deployment, key, STREAMS, STREAM_CONCURRENCY, STREAM_TOKENS);
    return done.events;
  });
  return {
    ttftDirectP50Ms: describeMs(direct, 50),
    ttftDirectP99Ms: describeMs(direct, 99),
    ttftRoutedP50Ms: describeMs(routed, 50),
    ttftRoutedP99Ms: describeMs(routed, 99),
    entryUsPerRequest: limitDigits(perRequest.entryUs, 0),
    sidecarUsPerRequest: limitDigits(perRequest.sidecarUs, 0),
    entryUsPerEvent: limitDigits(perEvent.entryUs, 2),
    sidecarUsPerEvent: limitDigits(perEvent.sidecarUs, 2),
    entryPeakMb: limitDigits(readPeakMemoryMb(deployment.getChild(ENTRY)?.pid ?? 0), 0),
    sidecarPeakMb: limitDigits(readPeakMemoryMb(deployment.getChild(SIDECAR)?.pid ?? 0), 0),
  };
}

async function main(): Promise<void> {
  const deployment = await Deployment.create(PLAN);
  try {
    process.stdout.write(`${JSON.stringify(await measure(deployment))}\n`);
  } finally {
    await deployment.stop();
    deployment.deleteFolder();
  }
}

void main();
