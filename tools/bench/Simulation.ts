/** One run: one policy, one deployment, one seed. */
import type { IRandom } from '../../src/policy/Types.js';
import { ACCOUNT_SHARES, BURST_MS, type IDeployment } from './Deployments.js';
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

const ANNOUNCE_INTERVAL_MS = 500;

/** An announcement arrives this much later, at least and at most. */
const MIN_ANNOUNCE_LAG_MS = 50;
const MAX_ANNOUNCE_LAG_MS = 250;

/** Part of the announcements that is lost, without and with faults. */
const USUAL_LOSS = 0.03;
const FAULTY_LOSS = 0.2;

/** Mean time between crashes over the fleet when faults are on. */
const CRASH_INTERVAL_MS = 10_000;

/** Part of the crashes that hit a second engine at the same time. */
const DOUBLE_CRASH_SHARE = 0.2;

/** One-way hops within one data centre and between two. */
const LOCAL_HOP_MS = 0.3;
const REMOTE_HOP_MS = 1;

/** Speeds of the engines differ by at most this part in both directions. */
const SPEED_SPREAD = 0.15;

/** Time until measuring begins, at most this part of the run. */
const WARMUP_MS = 10_000;
const MAX_WARMUP_SHARE = 0.25;

export interface IRunOptions {
  readonly deployment: IDeployment;
  readonly policy: PolicyName | 'oracle';
  readonly seed: number;
  readonly seconds: number;
  readonly hasFaults: boolean;
  /** Whether announcements carry used chunks besides evicted ones. */
  readonly hasUseNotices: boolean;
  /** Receives one sample for each measured request when given. */
  readonly tail?: ITailSample[] | undefined;
}

class Simulation {
  private readonly _options: IRunOptions;
  private readonly _events = new EventQueue();
  private readonly _measures: Measures;
  private readonly _workload: IWorkload;
  private readonly _engines: readonly Engine[];
  private readonly _entries: readonly Entry[];
  private readonly _buckets: readonly TokenBucket[];
  private readonly _meters: readonly AdmissionMeter[];
  private readonly _network: IRandom;
  private readonly _endMs: number;
  private readonly _warmupMs: number;
  private _prefillMs = 0;

  constructor(options: IRunOptions) {
    this._options = options;
    this._measures = new Measures(options.tail);
    this._endMs = options.seconds * 1_000;
    this._warmupMs = Math.min(WARMUP_MS, this._endMs * MAX_WARMUP_SHARE);
    this._workload = generateWorkload(options.deployment, options.seed, this._endMs);
    this._network = createRandom(options.seed, 'network');
    this._engines = this._createEngines();
    this._entries = this._createEntries();
    const rates = this._workload.ratesPerMs;
    this._buckets = rates.map((rate) => new TokenBucket(rate, rate * BURST_MS));
    this._meters = rates.map((rate) => new AdmissionMeter(rate, rate * BURST_MS));
  }

  public run(): IRunFigures {
    for (const arrival of this._workload.arrivals) {
      this._events.schedule(arrival.at, (now) => {
        this._admit(arrival, now);
      });
    }
    for (const [position] of this._engines.entries()) {
      this._announcePeriodically(position, this._network() * ANNOUNCE_INTERVAL_MS);
    }
    if (this._options.hasFaults) {
      this._crashPeriodically(createRandom(this._options.seed, 'crashes'), 0);
    }
    this._events.runAll();
    const over = Math.max(...this._meters.map((meter) => meter.overAdmitted));
    const capacityMs = (this._endMs - this._warmupMs) * this._engines.length;
    return this._measures.summarise(over, this._prefillMs / capacityMs);
  }

  private _admit(arrival: IWorkload['arrivals'][number], now: number): void {
    const tokens = countTokens(arrival);
    if (this._buckets[arrival.account]?.trySpend(tokens, now) !== true) {
      this._measures.recordRefusedOverRate();
      return;
    }
    this._meters[arrival.account]?.record(tokens, now);
    this._measures.recordDue(arrival.account, tokens);
    this._entries[arrival.entry]?.submit(arrival, now);
  }

  private _announcePeriodically(position: number, at: number): void {
    if (at > this._endMs) {
      return;
    }
    this._events.schedule(at, (now) => {
      this._announce(position, now);
      this._announcePeriodically(
        position,
        now + ANNOUNCE_INTERVAL_MS * (0.9 + 0.2 * this._network()),
      );
    });
  }

  private _announce(position: number, now: number): void {
    const engine = this._engines[position];
    if (engine?.isUp !== true) {
      return;
    }
    const report = engine.report(now);
    const loss = this._options.hasFaults ? FAULTY_LOSS : USUAL_LOSS;
    for (const entry of this._entries) {
      const lag =
        MIN_ANNOUNCE_LAG_MS + (MAX_ANNOUNCE_LAG_MS - MIN_ANNOUNCE_LAG_MS) * this._network();
      if (this._network() >= loss) {
        this._events.schedule(now + lag, (arrivedAt) => {
          entry.announce(position, report, arrivedAt);
        });
      }
    }
  }

  private _crashPeriodically(random: IRandom, from: number): void {
    const at = from + sampleExponential(random, CRASH_INTERVAL_MS);
    const count = random() < DOUBLE_CRASH_SHARE ? 2 : 1;
    const first = Math.floor(random() * this._engines.length);
    if (at > this._endMs) {
      return;
    }
    this._events.schedule(at, (now) => {
      for (let i = 0; i < count; i += 1) {
        this._engines[(first + i) % this._engines.length]?.crash(now);
      }
      this._crashPeriodically(random, now);
    });
  }

  private _createEngines(): Engine[] {
    const { deployment, seed } = this._options;
    const random = createRandom(seed, 'engines');
    const computed = new Set<string>();
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
    return Array.from({ length: deployment.engines }, (_, position) => {
      const speed = 1 - SPEED_SPREAD + 2 * SPEED_SPREAD * random();
      const spec = {
        id: `${deployment.service}-${position}`,
        dataCentre: `dc-${position % deployment.dataCentres}`,
        chunks: deployment.engineChunks,
        prefillTokensPerMs: deployment.prefillTokensPerMs * speed,
      };
      return new Engine(spec, this._events, { computed, onPrefill }, random);
    });
  }

  private _createEntries(): Entry[] {
    const { deployment, policy, seed } = this._options;
    return Array.from({ length: deployment.entries }, (_, number) => {
      const dataCentre = `dc-${number % deployment.dataCentres}`;
      const hopOf = (engine: Engine): number =>
        engine.dataCentre === dataCentre ? LOCAL_HOP_MS : REMOTE_HOP_MS;
      const context: IEntryContext = {
        number,
        isTailExplained: this._options.tail !== undefined,
        deployment,
        events: this._events,
        engines: this._engines,
        weights: ACCOUNT_SHARES,
        measures: this._measures,
        warmupMs: this._warmupMs,
        hasUseNotices: this._options.hasUseNotices,
        hopOf,
      };
      const random = createRandom(seed, `policy-${number}`);
      const chosen =
        policy === 'oracle'
          ? new Oracle(this._engines, hopOf)
          : createEntryPolicy(policy, number, dataCentre, random);
      return new Entry(chosen, context);
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
