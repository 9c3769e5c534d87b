/** Discrete-event simulation of one policy on one deployment with one seed. */
import type { IRandom } from '../../src/policy/Types.js';
import { ACCOUNT_RATE_SHARES, BURST_CAPACITY_MS, type IDeployment } from './Deployments.js';
import { Engine } from './Engine.js';
import { countTokens, Entry, type IEntryContext } from './Entry.js';
import { EventQueue } from './EventQueue.js';
import { Measures, type IRunFigures } from './Measures.js';
import { Oracle } from './Oracle.js';
import type { PolicyName } from '../../src/policy/CreatePolicy.js';
import { createEntryPolicy } from './Policies.js';
import { createRandom, sampleExponential } from './Random.js';
import type { ITailSample } from './Tail.js';
import { AdmissionMeter, TokenBucket } from './TokenBucket.js';
import { generateWorkload, type IWorkload } from './Workload.js';

const ANNOUNCEMENT_INTERVAL_MS = 500;

/** Bounds of the delay with which an announcement arrives at an entry. */
const MIN_ANNOUNCEMENT_DELAY_MS = 50;
const MAX_ANNOUNCEMENT_DELAY_MS = 250;

/** Fraction of the announcements that is lost, without and with faults. */
const NORMAL_ANNOUNCEMENT_LOSS_RATE = 0.03;
const FAULTY_ANNOUNCEMENT_LOSS_RATE = 0.2;

/** Mean time between crashes in the whole fleet when faults are on. */
const MEAN_CRASH_INTERVAL_MS = 10_000;

/** Probability that a crash hits a second engine at the same time. */
const DOUBLE_CRASH_PROBABILITY = 0.2;

/** One-way network latency within one data centre and between two. */
const LOCAL_HOP_LATENCY_MS = 0.3;
const REMOTE_HOP_LATENCY_MS = 1;

/** Fraction by which the speed of an engine may be above or below that of its deployment. */
const MAX_SPEED_DEVIATION = 0.15;

/** Time before measuring begins, and its limit as a fraction of the run. */
const MAX_WARMUP_MS = 10_000;
const MAX_WARMUP_FRACTION = 0.25;

/** Parameters of one run. */
export interface IRunOptions {
  readonly deployment: IDeployment;
  readonly policy: PolicyName | 'oracle';
  readonly seed: number;
  readonly seconds: number;
  readonly hasFaults: boolean;
  /** Whether announcements contain used hot chunks in addition to evicted ones. */
  readonly hasUseNotices: boolean;
  /** If given, receives one sample for each measured request that got a first token. */
  readonly tailSamples?: ITailSample[] | undefined;
}

/** Connects arrivals, rate limits, entries and engines, and runs them to the last event. */
class Simulation {
  private readonly _options: IRunOptions;
  private readonly _events = new EventQueue();
  private readonly _measures: Measures;
  private readonly _workload: IWorkload;
  private readonly _engines: readonly Engine[];
  private readonly _entries: readonly Entry[];
  private readonly _buckets: readonly TokenBucket[];
  private readonly _admissionMeters: readonly AdmissionMeter[];
  private readonly _networkRandom: IRandom;
  private readonly _endMs: number;
  private readonly _warmupMs: number;
  private _prefillMs = 0;

  constructor(options: IRunOptions) {
    this._options = options;
    this._measures = new Measures(options.tailSamples);
    this._endMs = options.seconds * 1_000;
    this._warmupMs = Math.min(MAX_WARMUP_MS, this._endMs * MAX_WARMUP_FRACTION);
    this._workload = generateWorkload(options.deployment, options.seed, this._endMs);
    this._networkRandom = createRandom(options.seed, 'network');
    this._engines = this._createEngines();
    this._entries = this._createEntries();
    const rates = this._workload.tokenRatesPerMs;
    this._buckets = rates.map((rate) => new TokenBucket(rate, rate * BURST_CAPACITY_MS));
    this._admissionMeters = rates.map((rate) => new AdmissionMeter(rate, rate * BURST_CAPACITY_MS));
  }

  public run(): IRunFigures {
    for (const arrival of this._workload.arrivals) {
      this._events.schedule(arrival.at, (now) => {
        this._admit(arrival, now);
      });
    }
    for (const [engineIndex] of this._engines.entries()) {
      this._announcePeriodically(engineIndex, this._networkRandom() * ANNOUNCEMENT_INTERVAL_MS);
    }
    if (this._options.hasFaults) {
      this._crashPeriodically(createRandom(this._options.seed, 'crashes'), 0);
    }
    this._events.runAll();
    const overAdmittedTokens = Math.max(
      ...this._admissionMeters.map((meter) => meter.overAdmittedTokens),
    );
    const capacityMs = (this._endMs - this._warmupMs) * this._engines.length;
    return this._measures.summarise(overAdmittedTokens, this._prefillMs / capacityMs);
  }

  private _admit(arrival: IWorkload['arrivals'][number], now: number): void {
    const tokens = countTokens(arrival);
    if (this._buckets[arrival.accountIndex]?.trySpend(tokens, now) !== true) {
      this._measures.recordRefusedOverRate();
      return;
    }
    this._admissionMeters[arrival.accountIndex]?.record(tokens, now);
    this._measures.recordEntitledTokens(arrival.accountIndex, tokens);
    this._entries[arrival.entryIndex]?.submit(arrival, now);
  }

  private _announcePeriodically(engineIndex: number, at: number): void {
    if (at > this._endMs) {
      return;
    }
    this._events.schedule(at, (now) => {
      this._announce(engineIndex, now);
      this._announcePeriodically(
        engineIndex,
        now + ANNOUNCEMENT_INTERVAL_MS * (0.9 + 0.2 * this._networkRandom()),
      );
    });
  }

  private _announce(engineIndex: number, now: number): void {
    const engine = this._engines[engineIndex];
    if (engine?.isUp !== true) {
      return;
    }
    const report = engine.report(now);
    const lossRate = this._options.hasFaults
      ? FAULTY_ANNOUNCEMENT_LOSS_RATE
      : NORMAL_ANNOUNCEMENT_LOSS_RATE;
    for (const entry of this._entries) {
      const delayMs =
        MIN_ANNOUNCEMENT_DELAY_MS +
        (MAX_ANNOUNCEMENT_DELAY_MS - MIN_ANNOUNCEMENT_DELAY_MS) * this._networkRandom();
      if (this._networkRandom() >= lossRate) {
        this._events.schedule(now + delayMs, (arrivedAt) => {
          entry.applyAnnouncement(engineIndex, report, arrivedAt);
        });
      }
    }
  }

  private _crashPeriodically(random: IRandom, from: number): void {
    const at = from + sampleExponential(random, MEAN_CRASH_INTERVAL_MS);
    const crashCount = random() < DOUBLE_CRASH_PROBABILITY ? 2 : 1;
    const first = Math.floor(random() * this._engines.length);
    if (at > this._endMs) {
      return;
    }
    this._events.schedule(at, (now) => {
      for (let i = 0; i < crashCount; i += 1) {
        this._engines[(first + i) % this._engines.length]?.crash(now);
      }
      this._crashPeriodically(random, now);
    });
  }

  private _createEngines(): Engine[] {
    const { deployment, seed } = this._options;
    const random = createRandom(seed, 'engines');
    const computedChunks = new Set<string>();
    const onPrefill = (
      job: { readonly promptTokens: number },
      cachedTokens: number,
      wastedTokens: number,
      prefillMs: number,
      now: number,
    ): void => {
      if (now >= this._warmupMs) {
        this._measures.recordPrefill(job.promptTokens, cachedTokens, wastedTokens);
        this._prefillMs += prefillMs;
      }
    };
    return Array.from({ length: deployment.engines }, (_, engineIndex) => {
      const speedFactor = 1 - MAX_SPEED_DEVIATION + 2 * MAX_SPEED_DEVIATION * random();
      const spec = {
        id: `${deployment.service}-${engineIndex}`,
        dataCentre: `dc-${engineIndex % deployment.dataCentres}`,
        capacityChunks: deployment.engineCapacityChunks,
        prefillTokensPerMs: deployment.prefillTokensPerMs * speedFactor,
      };
      return new Engine(spec, this._events, { computedChunks, onPrefill }, random);
    });
  }

  private _createEntries(): Entry[] {
    const { deployment, policy, seed } = this._options;
    return Array.from({ length: deployment.entries }, (_, entryIndex) => {
      const dataCentre = `dc-${entryIndex % deployment.dataCentres}`;
      const getHopLatencyMs = (engine: Engine): number =>
        engine.dataCentre === dataCentre ? LOCAL_HOP_LATENCY_MS : REMOTE_HOP_LATENCY_MS;
      const context: IEntryContext = {
        entryIndex,
        isTailExplained: this._options.tailSamples !== undefined,
        deployment,
        events: this._events,
        engines: this._engines,
        accountWeights: ACCOUNT_RATE_SHARES,
        measures: this._measures,
        warmupMs: this._warmupMs,
        hasUseNotices: this._options.hasUseNotices,
        getHopLatencyMs,
      };
      const random = createRandom(seed, `policy-${entryIndex}`);
      const routingPolicy =
        policy === 'oracle'
          ? new Oracle(this._engines, getHopLatencyMs)
          : createEntryPolicy(policy, entryIndex, dataCentre, random);
      return new Entry(routingPolicy, context);
    });
  }
}

/**
 * Runs one policy on the arrivals of one seed.
 *
 * @example
 * const figures = runOnce({ ...options, policy: 'default', seed: 1 });
 */
export function runOnce(options: IRunOptions): IRunFigures {
  return new Simulation(options).run();
}
