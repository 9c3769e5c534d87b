/**
 * Measures the overhead of entry, sidecar and control members: time to first token compared with a
 * direct request to the same fake engine in the same run, processor time per request and per
 * relayed event at several levels of concurrency, and the resources of idle processes.
 * docs/overhead.md describes the method.
 */
import { build, type Histogram } from 'hdr-histogram-js';
import { setTimeout as delay } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import { Deployment, type IDeploymentPlan } from './harness/Deployment.js';
import { LoadClient, runConcurrently } from './harness/LoadClient.js';
import {
  readCpuMs,
  readResidentMemoryMb,
  readPeakMemoryMb,
  readWrittenBytes,
} from './harness/ProcessUsage.js';

const ENTRY_NAME = 'entry-1';
const SIDECAR_NAME = 'sidecar-lace-1';

/** Direct and routed requests each, for the time to first token; the warm-up is not recorded. */
const LATENCY_REQUEST_COUNT = 300;
const WARM_UP_REQUEST_COUNT = 100;

/** Concurrent requests, and short requests in total, for the processor time per request. */
const REQUEST_CONCURRENCIES = [5, 20, 80] as const;
const SHORT_REQUEST_COUNT = 1_000;

/**
 * Concurrent streams for the processor time per relayed event, tokens of each, and duration of the
 * measurement after the last one has started.
 */
const STREAM_COUNTS = [50, 200, 800] as const;
const STREAM_TOKENS = 300;
const EVENT_MEASUREMENT_MS = 3_000;

const STREAMS_END_TIMEOUT_MS = 120_000;

/** Interval between the tokens of a stream: the latency objective for 95 % of the tokens. */
const TOKEN_INTERVAL_MS = 32;

/** Duration of the idle measurement, and the delay before it in which timers and grants settle. */
const IDLE_MEASUREMENT_MS = 10_000;
const SETTLE_DELAY_MS = 3_000;

/** Duration of the measurement of the idle cost that is subtracted from the cost under load. */
const IDLE_COST_MEASUREMENT_MS = 4_000;

const MEASUREMENTS = ['latency', 'requests', 'events', 'idle'] as const;
type Measurement = (typeof MEASUREMENTS)[number];

/** An entry keeps at most 256 dispatches open for a target, so 800 streams need four engines. */
const ENGINE_COUNT = 4;

const TARGETS: IDeploymentPlan['targets'] = Array.from({ length: ENGINE_COUNT }, (_, index) => ({
  id: `lace-${index + 1}`,
  service: 'lace',
  kind: 'engine',
  model: 'lace-1',
  dataCentre: 'dc-a',
  fakeArgs: [
    '--decode-ms',
    String(TOKEN_INTERVAL_MS),
    '--max-running',
    '4096',
    '--prefill-tps',
    '1000000000',
  ],
}));

const SIDECAR_NAMES = TARGETS.map(({ id }) => `sidecar-${id}`);

const OPERATOR_FILES: IDeploymentPlan['operatorFiles'] = {
  lace: { services: [{ name: 'lace', kind: 'model', models: ['lace-1'] }] },
  accounts: {
    clientAccounts: [{ id: 'load', tokensPerSecond: 1e8, burstTokens: 1e8, services: ['lace'] }],
  },
};

const LOAD_PLAN: IDeploymentPlan = {
  region: 'local',
  entries: [{ name: ENTRY_NAME, dataCentre: 'dc-a' }],
  targets: TARGETS,
  operatorFiles: OPERATOR_FILES,
};

/**
 * Processes of the idle measurement. The first entry bootstraps the consensus group and leads it.
 */
const IDLE_PROCESSES = {
  controlLeader: 'entry-1',
  controlFollower: 'entry-2',
  entryOnly: 'entry-4',
  sidecar: SIDECAR_NAME,
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

/** Part of the printed JSON object. */
type MeasurementResult = Readonly<Record<string, unknown>>;

/** Processor time of the entry, and of all sidecars together, in milliseconds. */
type CpuTimesMs = readonly [entry: number, sidecar: number];

/** Processor time per elapsed millisecond of an idle entry and its idle sidecars. */
type IdleCpuRates = CpuTimesMs;

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

/** Starts the deployment, publishes its files and returns a key that the entry accepts. */
async function prepareDeployment(deployment: Deployment): Promise<string> {
  await deployment.start();
  await deployment.waitFor('the configuration to be published', async () => {
    const published = await deployment.runOperator(['publish', `${deployment.folder}/services`]);
    return published.code === 0;
  });
  const keyCommand = await deployment.runOperator(['key', 'give', 'load']);
  const key = /rww_\S+/.exec(keyCommand.stdout)?.[0] ?? '';
  const client = new LoadClient();
  await deployment.waitFor('the first routed answer', async () => {
    const times = await client.stream(deployment.getEntryUrl(ENTRY_NAME), key, buildBody(1));
    return times.status === 200;
  });
  await client.close();
  return key;
}

function limitDigits(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}

function getPercentileMs(histogram: Histogram, percentile: number): number {
  return limitDigits(histogram.getValueAtPercentile(percentile) / 1_000, 2);
}

/** Alternates direct and routed requests, so that both meet the same state of the machine. */
async function measureLatency(deployment: Deployment, key: string): Promise<MeasurementResult> {
  const client = new LoadClient();
  const directHistogram = createHistogram();
  const routedHistogram = createHistogram();
  for (let index = 0; index < LATENCY_REQUEST_COUNT + WARM_UP_REQUEST_COUNT; index++) {
    const body = buildBody(1);
    const directTimes = await client.stream(deployment.getTargetUrl('lace-1'), undefined, body);
    const routedTimes = await client.stream(deployment.getEntryUrl(ENTRY_NAME), key, body);
    if (index >= WARM_UP_REQUEST_COUNT) {
      directHistogram.recordValue(Math.round(directTimes.firstByteMs * 1_000));
      routedHistogram.recordValue(Math.round(routedTimes.firstByteMs * 1_000));
    }
  }
  await client.close();
  return {
    ttftDirectP50Ms: getPercentileMs(directHistogram, 50),
    ttftDirectP99Ms: getPercentileMs(directHistogram, 99),
    ttftRoutedP50Ms: getPercentileMs(routedHistogram, 50),
    ttftRoutedP99Ms: getPercentileMs(routedHistogram, 99),
  };
}

function getPid(deployment: Deployment, name: string): number {
  return deployment.getChild(name)?.pid ?? 0;
}

function readCpuTimes(deployment: Deployment): CpuTimesMs {
  const sidecarMs = SIDECAR_NAMES.map((name) => readCpuMs(getPid(deployment, name)));
  return [
    readCpuMs(getPid(deployment, ENTRY_NAME)),
    sidecarMs.reduce((sum, milliseconds) => sum + milliseconds, 0),
  ];
}

async function measureIdleCpuRates(deployment: Deployment): Promise<IdleCpuRates> {
  await delay(SETTLE_DELAY_MS);
  const before = readCpuTimes(deployment);
  await delay(IDLE_COST_MEASUREMENT_MS);
  const after = readCpuTimes(deployment);
  return [
    (after[0] - before[0]) / IDLE_COST_MEASUREMENT_MS,
    (after[1] - before[1]) / IDLE_COST_MEASUREMENT_MS,
  ];
}

/**
 * Measures the processor time for each unit of work, without that of the idle processes.
 *
 * @param runUnits does the work and returns the number of units
 */
async function measureCpuCost(
  deployment: Deployment,
  idleCpuRates: IdleCpuRates,
  runUnits: () => Promise<number>,
): Promise<{ count: number; seconds: number; entryUs: number; sidecarUs: number }> {
  const before = readCpuTimes(deployment);
  const startedAt = performance.now();
  const count = await runUnits();
  const elapsedMs = performance.now() - startedAt;
  const after = readCpuTimes(deployment);
  const [entryUs, sidecarUs] = ([0, 1] as const).map(
    (index) => ((after[index] - before[index] - idleCpuRates[index] * elapsedMs) * 1_000) / count,
  );
  return { count, seconds: elapsedMs / 1_000, entryUs: entryUs ?? 0, sidecarUs: sidecarUs ?? 0 };
}

/** Sends short requests with limited concurrency and returns their number. */
async function runRequests(
  deployment: Deployment,
  key: string,
  concurrency: number,
): Promise<number> {
  const client = new LoadClient();
  await runConcurrently(SHORT_REQUEST_COUNT, concurrency, async () => {
    const { status } = await client.stream(deployment.getEntryUrl(ENTRY_NAME), key, buildBody(1));
    if (status !== 200) {
      throw new Error(`status ${status} of a short request instead of 200`);
    }
  });
  await client.close();
  return SHORT_REQUEST_COUNT;
}

/**
 * Opens streams and counts their events. A measurement begins after each stream has delivered its
 * first event, so that the cost of the requests is excluded.
 */
class OpenStreams {
  private readonly _client = new LoadClient();
  private _startedCount = 0;
  private _endedCount = 0;
  private _failure: Error | undefined;
  /** Server-sent events received. */
  public eventCount = 0;
  /** Chunks in which the events arrived. */
  public readCount = 0;

  constructor(private readonly _streamCount: number) {}

  public async start(deployment: Deployment, key: string): Promise<void> {
    for (let index = 0; index < this._streamCount; index++) {
      this._runStream(deployment, key).catch((error: unknown) => {
        this._failure ??= error instanceof Error ? error : new Error(String(error));
      });
    }
    await deployment.waitFor('the streams to start', () =>
      Promise.resolve(this._hasAllOrFailed(this._startedCount)),
    );
    this.assertOpen();
  }

  /** Throws if a stream has ended already, because fewer events than planned were measured then. */
  public assertOpen(): void {
    this._assertNoFailure();
    if (this._endedCount > 0) {
      throw new Error(
        `${this._endedCount} of ${this._streamCount} streams ended during the measurement`,
      );
    }
  }

  public async waitUntilEnded(deployment: Deployment): Promise<void> {
    await deployment.waitFor(
      'the end of the streams',
      () => Promise.resolve(this._hasAllOrFailed(this._endedCount)),
      STREAMS_END_TIMEOUT_MS,
    );
    this._assertNoFailure();
    await this._client.close();
  }

  /** True also after a failure, so that the run reports the error of the stream and no timeout. */
  private _hasAllOrFailed(count: number): boolean {
    return count === this._streamCount || this._failure !== undefined;
  }

  private _assertNoFailure(): void {
    if (this._failure !== undefined) {
      throw this._failure;
    }
  }

  private async _runStream(deployment: Deployment, key: string): Promise<void> {
    let hasStarted = false;
    const url = deployment.getEntryUrl(ENTRY_NAME);
    const times = await this._client.stream(url, key, buildBody(STREAM_TOKENS), (count) => {
      this._startedCount += hasStarted ? 0 : 1;
      hasStarted = true;
      this.eventCount += count;
      this.readCount += 1;
    });
    if (times.status !== 200) {
      throw new Error(`status ${times.status} of a stream instead of 200`);
    }
    this._endedCount += 1;
  }
}

async function measureRequests(
  deployment: Deployment,
  key: string,
  idleCpuRates: IdleCpuRates,
): Promise<MeasurementResult[]> {
  const rows: MeasurementResult[] = [];
  for (const atOnce of REQUEST_CONCURRENCIES) {
    const cost = await measureCpuCost(deployment, idleCpuRates, async () => {
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
  idleCpuRates: IdleCpuRates,
): Promise<MeasurementResult[]> {
  const rows: MeasurementResult[] = [];
  for (const streams of STREAM_COUNTS) {
    const openStreams = new OpenStreams(streams);
    await openStreams.start(deployment, key);
    const { eventCount: eventsBefore, readCount: readsBefore } = openStreams;
    const cost = await measureCpuCost(deployment, idleCpuRates, async () => {
      await delay(EVENT_MEASUREMENT_MS);
      return openStreams.eventCount - eventsBefore;
    });
    const eventsPerRead =
      (openStreams.eventCount - eventsBefore) / (openStreams.readCount - readsBefore);
    openStreams.assertOpen();
    await openStreams.waitUntilEnded(deployment);
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

async function measureUnderLoad(
  measurements: ReadonlySet<Measurement>,
): Promise<MeasurementResult> {
  return runDeployment(LOAD_PLAN, async (deployment, key) => {
    const latency = measurements.has('latency') ? await measureLatency(deployment, key) : {};
    const idleCpuRates = await measureIdleCpuRates(deployment);
    const requests = measurements.has('requests')
      ? { requests: await measureRequests(deployment, key, idleCpuRates) }
      : {};
    const events = measurements.has('events')
      ? { events: await measureEvents(deployment, key, idleCpuRates) }
      : {};
    return {
      ...latency,
      ...requests,
      ...events,
      entryPeakMb: limitDigits(readPeakMemoryMb(getPid(deployment, ENTRY_NAME)), 0),
      sidecarPeakMb: limitDigits(readPeakMemoryMb(getPid(deployment, SIDECAR_NAME)), 0),
    };
  });
}

/** Measures processor time, written bytes and memory of idle processes by role. */
async function measureIdle(): Promise<MeasurementResult> {
  return runDeployment(IDLE_PLAN, async (deployment) => {
    await delay(SETTLE_DELAY_MS);
    const read = (name: string): { cpuMs: number; bytes: number } => {
      const pid = getPid(deployment, name);
      return { cpuMs: readCpuMs(pid), bytes: readWrittenBytes(pid) };
    };
    const names = Object.entries(IDLE_PROCESSES);
    const before = names.map(([, name]) => read(name));
    await delay(IDLE_MEASUREMENT_MS);
    const rows = names.map(([role, name], index) => {
      const { cpuMs, bytes } = read(name);
      const from = before[index] ?? { cpuMs, bytes };
      return [
        role,
        {
          cpuPercent: limitDigits(((cpuMs - from.cpuMs) / IDLE_MEASUREMENT_MS) * 100, 1),
          bytesPerSecond: limitDigits(((bytes - from.bytes) / IDLE_MEASUREMENT_MS) * 1_000, 0),
          residentMb: limitDigits(readResidentMemoryMb(getPid(deployment, name)), 0),
        },
      ] as const;
    });
    return Object.fromEntries(rows);
  });
}

async function runDeployment(
  plan: IDeploymentPlan,
  run: (deployment: Deployment, key: string) => Promise<MeasurementResult>,
): Promise<MeasurementResult> {
  const deployment = await Deployment.create(plan);
  try {
    return await run(deployment, await prepareDeployment(deployment));
  } finally {
    await deployment.stop();
    deployment.deleteFolder();
  }
}

/** Parses the command line; `--only requests,events` limits the run to these measurements. */
function readMeasurements(): ReadonlySet<Measurement> {
  const { values } = parseArgs({ options: { only: { type: 'string' } } });
  const wanted = values.only?.split(',') ?? MEASUREMENTS;
  return new Set(MEASUREMENTS.filter((measurement) => wanted.includes(measurement)));
}

async function main(): Promise<void> {
  const measurements = readMeasurements();
  const needsLoad = MEASUREMENTS.some(
    (measurement) => measurement !== 'idle' && measurements.has(measurement),
  );
  const load = needsLoad ? await measureUnderLoad(measurements) : {};
  const idle = measurements.has('idle') ? { idle: await measureIdle() } : {};
  process.stdout.write(`${JSON.stringify({ ...load, ...idle })}\n`);
}

void main();
