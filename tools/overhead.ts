/**
 * Measures what entry, sidecar and control cost: time to first token against a direct request to the
 * same fake in the same run, processor time per request and per relayed event at several sizes, and
 * what idle processes take. docs/overhead.md describes the method.
 */
import { build, type Histogram } from 'hdr-histogram-js';
import { setTimeout as delay } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import { Deployment, type IDeploymentPlan } from './harness/Deployment.js';
import { LoadClient, runConcurrently } from './harness/LoadClient.js';
import {
  readCpuMs,
  readMemoryMb,
  readPeakMemoryMb,
  readWrittenBytes,
} from './harness/ProcessUsage.js';

const ENTRY = 'entry-1';
const SIDECAR = 'sidecar-lace-1';

/** Requests of each kind for the time to first token. */
const LATENCY_REQUESTS = 300;
const WARM_UP_REQUESTS = 100;

/** Short requests for the processor time per request. */
const REQUEST_SIZES = [5, 20, 80] as const;
const SHORT_REQUESTS = 1_000;

/** Streams for the processor time per relayed event, and the time after the last one has begun. */
const STREAM_SIZES = [50, 200, 800] as const;
const STREAM_TOKENS = 300;
const EVENTS_MS = 3_000;

const STREAMS_TIMEOUT_MS = 120_000;

/** Pause between the tokens of a stream: the target for 95 in 100. */
const DECODE_MS = 32;

/** Length of an idle measurement, and the pause before it in which timers and grants settle. */
const IDLE_MS = 10_000;
const SETTLE_MS = 3_000;

/** Idle time whose cost is taken off the cost under load. */
const BACKGROUND_MS = 4_000;

const PHASES = ['latency', 'requests', 'events', 'idle'] as const;
type Phase = (typeof PHASES)[number];

/** An entry keeps at most 256 dispatches open for a target, so 800 streams need four. */
const ENGINE_COUNT = 4;

const TARGETS: IDeploymentPlan['targets'] = Array.from({ length: ENGINE_COUNT }, (_, index) => ({
  id: `lace-${index + 1}`,
  service: 'lace',
  kind: 'engine',
  model: 'lace-1',
  dataCentre: 'dc-a',
  fakeArgs: [
    '--decode-ms',
    String(DECODE_MS),
    '--max-running',
    '4096',
    '--prefill-tps',
    '1000000000',
  ],
}));

const SIDECARS = TARGETS.map(({ id }) => `sidecar-${id}`);

const OPERATOR_FILES: IDeploymentPlan['operatorFiles'] = {
  lace: { services: [{ name: 'lace', kind: 'model', models: ['lace-1'] }] },
  accounts: {
    clientAccounts: [{ id: 'load', tokensPerSecond: 1e8, burstTokens: 1e8, services: ['lace'] }],
  },
};

const LOAD_PLAN: IDeploymentPlan = {
  region: 'local',
  entries: [{ name: ENTRY, dataCentre: 'dc-a' }],
  targets: TARGETS,
  operatorFiles: OPERATOR_FILES,
};

/** Processes of the idle measurement. The first entry founds the control group and leads it. */
const IDLE_PROCESSES = {
  controlLeader: 'entry-1',
  controlFollower: 'entry-2',
  entryOnly: 'entry-4',
  sidecar: SIDECAR,
} as const;

const IDLE_PLAN: IDeploymentPlan = {
  ...LOAD_PLAN,
  targets: TARGETS.slice(0, 1),
  entries: [
    { name: 'entry-1', dataCentre: 'dc-a' },
    { name: 'entry-2', dataCentre: 'dc-a' },
    { name: 'entry-3', dataCentre: 'dc-a' },
    { name: 'entry-4', dataCentre: 'dc-a', hasControl: false },
  ],
};

type Result = Readonly<Record<string, unknown>>;

/** Processor time of the entry and of all sidecars together in milliseconds. */
type CpuPair = readonly [entry: number, sidecar: number];

/** Processor time per millisecond of an idle entry and sidecar. */
type Background = CpuPair;

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

function limitDigits(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}

function describeMs(histogram: Histogram, percentile: number): number {
  return limitDigits(histogram.getValueAtPercentile(percentile) / 1_000, 2);
}

/** Direct and routed requests take turns, so that both see the same state of the machine. */
async function measureLatency(deployment: Deployment, key: string): Promise<Result> {
  const client = new LoadClient();
  const direct = createHistogram();
  const routed = createHistogram();
  for (let index = 0; index < LATENCY_REQUESTS + WARM_UP_REQUESTS; index++) {
    const body = buildBody(1);
    const plain = await client.stream(deployment.getTargetUrl('lace-1'), undefined, body);
    const full = await client.stream(deployment.getUrl(ENTRY), key, body);
    if (index >= WARM_UP_REQUESTS) {
      direct.recordValue(Math.round(plain.firstByteMs * 1_000));
      routed.recordValue(Math.round(full.firstByteMs * 1_000));
    }
  }
  await client.close();
  return {
    ttftDirectP50Ms: describeMs(direct, 50),
    ttftDirectP99Ms: describeMs(direct, 99),
    ttftRoutedP50Ms: describeMs(routed, 50),
    ttftRoutedP99Ms: describeMs(routed, 99),
  };
}

function getPid(deployment: Deployment, name: string): number {
  return deployment.getChild(name)?.pid ?? 0;
}

function readCpuPair(deployment: Deployment): CpuPair {
  const sidecarMs = SIDECARS.map((name) => readCpuMs(getPid(deployment, name)));
  return [
    readCpuMs(getPid(deployment, ENTRY)),
    sidecarMs.reduce((sum, milliseconds) => sum + milliseconds, 0),
  ];
}

async function measureBackground(deployment: Deployment): Promise<Background> {
  await delay(SETTLE_MS);
  const before = readCpuPair(deployment);
  await delay(BACKGROUND_MS);
  const after = readCpuPair(deployment);
  return [(after[0] - before[0]) / BACKGROUND_MS, (after[1] - before[1]) / BACKGROUND_MS];
}

/** Processor time per unit, without what the processes take when they are idle. */
async function measureCost(
  deployment: Deployment,
  background: Background,
  units: () => Promise<number>,
): Promise<{ count: number; seconds: number; entryUs: number; sidecarUs: number }> {
  const before = readCpuPair(deployment);
  const startedAt = performance.now();
  const count = await units();
  const elapsedMs = performance.now() - startedAt;
  const after = readCpuPair(deployment);
  const [entryUs, sidecarUs] = ([0, 1] as const).map(
    (index) => ((after[index] - before[index] - background[index] * elapsedMs) * 1_000) / count,
  );
  return { count, seconds: elapsedMs / 1_000, entryUs: entryUs ?? 0, sidecarUs: sidecarUs ?? 0 };
}

async function runRequests(deployment: Deployment, key: string, atOnce: number): Promise<number> {
  const client = new LoadClient();
  await runConcurrently(SHORT_REQUESTS, atOnce, async () => {
    const { status } = await client.stream(deployment.getUrl(ENTRY), key, buildBody(1));
    if (status !== 200) {
      throw new Error(`unexpected status ${status}`);
    }
  });
  await client.close();
  return SHORT_REQUESTS;
}

/** Streams of which each has delivered its first event; their requests are no part of the cost. */
class OpenStreams {
  private readonly _client = new LoadClient();
  private _begun = 0;
  private _ended = 0;
  private _failure: Error | undefined;
  public events = 0;
  public reads = 0;

  constructor(private readonly _count: number) {}

  public async start(deployment: Deployment, key: string): Promise<void> {
    for (let index = 0; index < this._count; index++) {
      this._run(deployment, key).catch((error: unknown) => {
        this._failure ??= error instanceof Error ? error : new Error(String(error));
      });
    }
    await deployment.waitFor('the streams', () => Promise.resolve(this._isSettled(this._begun)));
    this.assertOpen();
  }

  /** Throws when a stream has ended already, because then the events were fewer than planned. */
  public assertOpen(): void {
    this._assertNoFailure();
    if (this._ended > 0) {
      throw new Error(`${this._ended} of ${this._count} streams ended during the measurement`);
    }
  }

  public async waitEnded(deployment: Deployment): Promise<void> {
    await deployment.waitFor(
      'the end of the streams',
      () => Promise.resolve(this._isSettled(this._ended)),
      STREAMS_TIMEOUT_MS,
    );
    this._assertNoFailure();
    await this._client.close();
  }

  /** A failed stream ends the wait, so that its error is what the run reports. */
  private _isSettled(done: number): boolean {
    return done === this._count || this._failure !== undefined;
  }

  private _assertNoFailure(): void {
    if (this._failure !== undefined) {
      throw this._failure;
    }
  }

  private async _run(deployment: Deployment, key: string): Promise<void> {
    let hasBegun = false;
    const url = deployment.getUrl(ENTRY);
    const times = await this._client.stream(url, key, buildBody(STREAM_TOKENS), (count) => {
      this._begun += hasBegun ? 0 : 1;
      hasBegun = true;
      this.events += count;
      this.reads += 1;
    });
    if (times.status !== 200) {
      throw new Error(`unexpected status ${times.status}`);
    }
    this._ended += 1;
  }
}

async function measureRequests(
  deployment: Deployment,
  key: string,
  background: Background,
): Promise<Result[]> {
  const rows: Result[] = [];
  for (const atOnce of REQUEST_SIZES) {
    const cost = await measureCost(deployment, background, async () => {
      return runRequests(deployment, key, atOnce);
    });
    rows.push({
      atOnce,
      perSecond: limitDigits(cost.count / cost.seconds, 0),
      entryUs: limitDigits(cost.entryUs, 0),
      sidecarUs: limitDigits(cost.sidecarUs, 0),
    });
  }
  return rows;
}

async function measureEvents(
  deployment: Deployment,
  key: string,
  background: Background,
): Promise<Result[]> {
  const rows: Result[] = [];
  for (const streams of STREAM_SIZES) {
    const open = new OpenStreams(streams);
    await open.start(deployment, key);
    const { events, reads } = open;
    const cost = await measureCost(deployment, background, async () => {
      await delay(EVENTS_MS);
      return open.events - events;
    });
    const eventsPerRead = (open.events - events) / (open.reads - reads);
    open.assertOpen();
    await open.waitEnded(deployment);
    rows.push({
      streams,
      perSecond: limitDigits(cost.count / cost.seconds, 0),
      eventsPerRead: limitDigits(eventsPerRead, 2),
      entryUs: limitDigits(cost.entryUs, 2),
      sidecarUs: limitDigits(cost.sidecarUs, 2),
    });
  }
  return rows;
}

async function measureLoad(phases: ReadonlySet<Phase>): Promise<Result> {
  return runDeployment(LOAD_PLAN, async (deployment, key) => {
    const latency = phases.has('latency') ? await measureLatency(deployment, key) : {};
    const background = await measureBackground(deployment);
    const requests = phases.has('requests')
      ? { requests: await measureRequests(deployment, key, background) }
      : {};
    const events = phases.has('events')
      ? { events: await measureEvents(deployment, key, background) }
      : {};
    return {
      ...latency,
      ...requests,
      ...events,
      entryPeakMb: limitDigits(readPeakMemoryMb(getPid(deployment, ENTRY)), 0),
      sidecarPeakMb: limitDigits(readPeakMemoryMb(getPid(deployment, SIDECAR)), 0),
    };
  });
}

async function measureIdle(): Promise<Result> {
  return runDeployment(IDLE_PLAN, async (deployment) => {
    await delay(SETTLE_MS);
    const read = (name: string): { cpuMs: number; bytes: number } => {
      const pid = getPid(deployment, name);
      return { cpuMs: readCpuMs(pid), bytes: readWrittenBytes(pid) };
    };
    const names = Object.entries(IDLE_PROCESSES);
    const before = names.map(([, name]) => read(name));
    await delay(IDLE_MS);
    const rows = names.map(([role, name], index) => {
      const { cpuMs, bytes } = read(name);
      const from = before[index] ?? { cpuMs, bytes };
      return [
        role,
        {
          cpuPercent: limitDigits(((cpuMs - from.cpuMs) / IDLE_MS) * 100, 1),
          bytesPerSecond: limitDigits(((bytes - from.bytes) / IDLE_MS) * 1_000, 0),
          residentMb: limitDigits(readMemoryMb(getPid(deployment, name)), 0),
        },
      ] as const;
    });
    return Object.fromEntries(rows);
  });
}

async function runDeployment(
  plan: IDeploymentPlan,
  run: (deployment: Deployment, key: string) => Promise<Result>,
): Promise<Result> {
  const deployment = await Deployment.create(plan);
  try {
    return await run(deployment, await prepareDeployment(deployment));
  } finally {
    await deployment.stop();
    deployment.deleteFolder();
  }
}

/** `--only requests,events` limits the run to some phases. */
function readPhases(): ReadonlySet<Phase> {
  const { values } = parseArgs({ options: { only: { type: 'string' } } });
  const wanted = values.only?.split(',') ?? PHASES;
  return new Set(PHASES.filter((phase) => wanted.includes(phase)));
}

async function main(): Promise<void> {
  const phases = readPhases();
  const needsLoad = PHASES.some((phase) => phase !== 'idle' && phases.has(phase));
  const load = needsLoad ? await measureLoad(phases) : {};
  const idle = phases.has('idle') ? { idle: await measureIdle() } : {};
  process.stdout.write(`${JSON.stringify({ ...load, ...idle })}\n`);
}

void main();
