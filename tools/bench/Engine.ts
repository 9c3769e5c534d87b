/** Fake engine with continuous batching and a prefix cache in limited memory. */
import { CHUNK_TOKENS } from '../../src/policy/PrefixChain.js';
import type { ChainHash, IBusyReceipt, IRandom } from '../../src/policy/Types.js';
import type { EventQueue } from './EventQueue.js';

/** Time for one output token: alone, and more for each further request in the batch. */
const DECODE_STEP_MS = 12;
const DECODE_STEP_PER_REQUEST_MS = 0.4;

/** Part of the prefill speed that each generating request takes, and at most. */
const DECODE_SHARE = 0.01;
const MAX_DECODE_SHARE = 0.4;

/** Evicted hashes in one announcement. */
const MAX_ANNOUNCED_EVICTIONS = 32;

/** Hashes of used hot chunks in one announcement, the latest ones. */
const MAX_ANNOUNCED_USES = 8;

/** A chunk used at least as often counts as hot in announcements. */
const HOT_USES = 2;

/** Age of a load report on average: half an interval of the announcements and their mean lag. */
export const REPORT_LAG_MS = 400;

/** Time from a crash until the engine is back. */
const RESTART_MS = 800;

export interface IEngineJob {
  readonly chain: readonly ChainHash[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly priority: number;
  /** Incarnation that the sender relied on. */
  readonly incarnation: string;
  /** Number of the entry that sent the job, and when. */
  readonly sender: number;
  readonly sentAt: number;
  readonly onFirstToken: (now: number) => void;
  readonly onDone: (cachedPromptTokens: number, now: number) => void;
  readonly onFailed: (now: number) => void;
  /** The job is refused unrun when the sidecar expects a longer time to first token. */
  readonly maxTtftMs: number;
  readonly onBusy: (receipt: IBusyReceipt, now: number) => void;
}

interface IRunningJob {
  readonly job: IEngineJob;
  readonly privateChunks: number;
  readonly cachedPromptTokens: number;
}

interface IChunk {
  pins: number;
  uses: number;
}

/** Counts over the fleet. */
export interface IFleetMeter {
  /** Chunks that some engine computed before. */
  readonly computed: Set<ChainHash>;
  /** Receives the figures of each computed prompt. */
  readonly onPrefill: (
    job: IEngineJob,
    cachedTokens: number,
    wastedTokens: number,
    prefillMs: number,
    now: number,
  ) => void;
}

export interface IEngineSpec {
  readonly id: string;
  readonly dataCentre: string;
  readonly chunks: number;
  readonly prefillTokensPerMs: number;
}

/** Load at one instant. */
export interface IEngineLoad {
  readonly queued: number;
  readonly running: number;
  readonly freeBlocks: number;
  /** What the sidecar expects. */
  readonly waitMs: number;
}

/** What an engine announces. */
export interface IEngineReport extends IEngineLoad {
  readonly incarnation: string;
  readonly evicted: readonly ChainHash[];
  readonly used: readonly ChainHash[];
}

export class Engine {
  public readonly id: string;
  public readonly dataCentre: string;
  public isUp = true;
  private readonly _spec: IEngineSpec;
  private readonly _events: EventQueue;
  private readonly _meter: IFleetMeter;
  private readonly _random: IRandom;
  private _run = 0;
  /** Least recently used first. */
  private readonly _cache = new Map<ChainHash, IChunk>();
  private _privateChunks = 0;
  private readonly _transit = new Set<IEngineJob>();
  private readonly _queue: IEngineJob[] = [];
  private _prefill: IRunningJob | undefined;
  private _prefillEndsAt = 0;
  private _prefillStartedAt = 0;
  /** Prompt tokens to compute as the sidecar expected them when it accepted the job. */
  private readonly _expectedMisses = new Map<IEngineJob, number>();
  private readonly _running = new Set<IRunningJob>();
  private _evicted: ChainHash[] = [];
  /** Hot chunks used since the last announcement, the latest last. */
  private readonly _used = new Set<ChainHash>();

  constructor(spec: IEngineSpec, events: EventQueue, meter: IFleetMeter, random: IRandom) {
    this.id = spec.id;
    this.dataCentre = spec.dataCentre;
    this._spec = spec;
    this._events = events;
    this._meter = meter;
    this._random = random;
  }

  public get incarnation(): string {
    return `${this.id}/${this._run}`;
  }

  /** Takes a job that arrives after `hopMs`. */
  public send(job: IEngineJob, hopMs: number, now: number): void {
    this._transit.add(job);
    this._events.schedule(now + hopMs, (at) => {
      this._transit.delete(job);
      this._accept(job, at);
    });
  }

  /** Loses everything and comes back empty. */
  public crash(now: number): void {
    const lost = [...this._queue, ...[...this._running].map((running) => running.job)];
    if (this._prefill !== undefined) {
      lost.push(this._prefill.job);
    }
    this._run += 1;
    this.isUp = false;
    this._cache.clear();
    this._queue.length = 0;
    this._running.clear();
    this._prefill = undefined;
    this._expectedMisses.clear();
    this._privateChunks = 0;
    this._evicted = [];
    this._used.clear();
    this._events.schedule(now + RESTART_MS, () => {
      this.isUp = true;
    });
    for (const job of lost) {
      job.onFailed(now);
    }
  }

  /** State for an announcement; evictions are announced once. */
  public report(now: number): IEngineReport {
    const evicted = this._evicted.slice(-MAX_ANNOUNCED_EVICTIONS);
    const used = [...this._used].filter((hash) => this._cache.has(hash));
    this._evicted = [];
    this._used.clear();
    return {
      ...this.getLoad(now),
      used: used.slice(-MAX_ANNOUNCED_USES),
      incarnation: this.incarnation,
      evicted: evicted.filter((hash) => !this._cache.has(hash)),
    };
  }

  /** Load that an answer carries. */
  public getLoad(now: number): IEngineLoad {
    return {
      queued: this._queue.length + (this._prefill === undefined ? 0 : 1),
      running: this._running.size,
      freeBlocks: this._spec.chunks - this._cache.size - this._privateChunks,
      waitMs: this._expectWait(0, now),
    };
  }

  /** Exact time to first token of a job sent now, less the hop: what only the oracle may ask. */
  public computeTtft(chain: readonly ChainHash[], promptTokens: number, now: number): number {
    const pending = new Set<ChainHash>();
    let waitMs = this._prefill === undefined ? 0 : this._prefillEndsAt - now;
    for (const job of [...this._queue, ...this._transit]) {
      waitMs += this._estimatePrefill(job.chain, job.promptTokens, pending);
      job.chain.forEach((hash) => pending.add(hash));
    }
    return waitMs + this._estimatePrefill(chain, promptTokens, pending);
  }

  /** Exact wait for queued work, and the part of it that `sender` cannot know from reports. */
  public computeWait(sender: number, now: number): { waitMs: number; unseenMs: number } {
    const pending = new Set<ChainHash>();
    let waitMs = this._prefill === undefined ? 0 : this._prefillEndsAt - now;
    let unseenMs = isUnseen(this._prefill?.job, sender, now) ? waitMs : 0;
    for (const job of [...this._queue, ...this._transit]) {
      const prefillMs = this._estimatePrefill(job.chain, job.promptTokens, pending);
      job.chain.forEach((hash) => pending.add(hash));
      waitMs += prefillMs;
      unseenMs += isUnseen(job, sender, now) ? prefillMs : 0;
    }
    return { waitMs, unseenMs };
  }

  private _estimatePrefill(
    chain: readonly ChainHash[],
    promptTokens: number,
    pending: ReadonlySet<ChainHash>,
  ): number {
    let chunks = 0;
    while (chunks < chain.length && this._isHeld(chain[chunks] ?? '', pending)) {
      chunks += 1;
    }
    return this._computePrefillMs(promptTokens - chunks * CHUNK_TOKENS);
  }

  private _isHeld(hash: ChainHash, pending: ReadonlySet<ChainHash>): boolean {
    return this._cache.has(hash) || pending.has(hash);
  }

  private _computePrefillMs(tokens: number): number {
    const decodeShare = Math.min(MAX_DECODE_SHARE, this._running.size * DECODE_SHARE);
    return Math.max(1, tokens) / (this._spec.prefillTokensPerMs * (1 - decodeShare));
  }

  private _accept(job: IEngineJob, now: number): void {
    if (!this.isUp || job.incarnation !== this.incarnation) {
      job.onFailed(now);
      return;
    }
    const missedTokens = this._countMissed(job);
    const waitMs = this._expectWait(job.priority, now);
    if (waitMs + missedTokens / this._spec.prefillTokensPerMs > job.maxTtftMs) {
      job.onBusy({ waitMs, cachedPromptTokens: job.promptTokens - missedTokens }, now);
      return;
    }
    this._expectedMisses.set(job, missedTokens);
    const place = this._queue.findIndex((item) => item.priority < job.priority);
    this._queue.splice(place < 0 ? this._queue.length : place, 0, job);
    this._startNext(now);
  }

  /** Misses by the sidecar's index, with the chunks of the jobs that it accepted before. */
  private _countMissed(job: IEngineJob): number {
    const pending = new Set(this._queue.flatMap((item) => item.chain));
    let chunks = 0;
    while (chunks < job.chain.length && this._isHeld(job.chain[chunks] ?? '', pending)) {
      chunks += 1;
    }
    return job.promptTokens - chunks * CHUNK_TOKENS;
  }

  /**
   * Wait as the sidecar expects it: from the tokens expected when the jobs were accepted and the
   * speed of an engine that generates nothing. What is in progress counts from its start.
   */
  private _expectWait(priority: number, now: number): number {
    const speed = this._spec.prefillTokensPerMs;
    let waitMs = 0;
    for (const [job, missedTokens] of this._expectedMisses) {
      if (job === this._prefill?.job) {
        waitMs += Math.max(0, missedTokens / speed - (now - this._prefillStartedAt));
      } else if (job.priority >= priority) {
        waitMs += missedTokens / speed;
      }
    }
    return waitMs;
  }

  private _startNext(now: number): void {
    const job = this._queue[0];
    if (job === undefined || this._prefill !== undefined) {
      return;
    }
    const cachedChunks = this._reserve(job);
    if (cachedChunks === undefined) {
      return;
    }
    this._queue.shift();
    const cachedPromptTokens = cachedChunks * CHUNK_TOKENS;
    const prefillMs = this._computePrefillMs(job.promptTokens - cachedPromptTokens);
    const running = { job, privateChunks: this._countPrivate(job), cachedPromptTokens };
    this._prefill = running;
    this._prefillEndsAt = now + prefillMs;
    this._prefillStartedAt = now;
    this._recordPrefill(job, cachedChunks, prefillMs, now);
    this._scheduleOwn(now + prefillMs, (at) => {
      this._beginDecode(running, at);
    });
  }

  private _recordPrefill(
    job: IEngineJob,
    cachedChunks: number,
    prefillMs: number,
    now: number,
  ): void {
    let wasted = 0;
    for (const hash of job.chain.slice(cachedChunks)) {
      wasted += this._meter.computed.has(hash) ? CHUNK_TOKENS : 0;
      this._meter.computed.add(hash);
    }
    this._meter.onPrefill(job, cachedChunks * CHUNK_TOKENS, wasted, prefillMs, now);
  }

  private _beginDecode(running: IRunningJob, now: number): void {
    this._prefill = undefined;
    this._expectedMisses.delete(running.job);
    this._running.add(running);
    running.job.onFirstToken(now);
    const stepMs = DECODE_STEP_MS + DECODE_STEP_PER_REQUEST_MS * this._running.size;
    const spread = 0.9 + 0.2 * this._random();
    this._scheduleOwn(now + running.job.outputTokens * stepMs * spread, (at) => {
      this._finish(running, at);
    });
    this._startNext(now);
  }

  private _finish(running: IRunningJob, now: number): void {
    this._running.delete(running);
    this._privateChunks -= running.privateChunks;
    this._releaseChunks(running.job.chain);
    running.job.onDone(running.cachedPromptTokens, now);
    this._startNext(now);
  }

  /** Runs only in the present incarnation. */
  private _scheduleOwn(at: number, run: (now: number) => void): void {
    const started = this._run;
    this._events.schedule(at, (now) => {
      if (started === this._run) {
        run(now);
      }
    });
  }

  private _countPrivate(job: IEngineJob): number {
    const tokens = job.promptTokens - job.chain.length * CHUNK_TOKENS + job.outputTokens;
    return Math.ceil(tokens / CHUNK_TOKENS);
  }

  /** Pins the chunks of a job; the result is the number of those that were cached. */
  private _reserve(job: IEngineJob): number | undefined {
    let cached = 0;
    while (cached < job.chain.length && this._cache.has(job.chain[cached] ?? '')) {
      cached += 1;
    }
    const held = job.chain.slice(0, cached);
    this._holdChunks(held);
    const needed = job.chain.length - cached + this._countPrivate(job);
    if (!this._makeRoom(needed)) {
      this._releaseChunks(held);
      return undefined;
    }
    this._holdChunks(job.chain.slice(cached));
    this._privateChunks += this._countPrivate(job);
    return cached;
  }

  private _holdChunks(chain: readonly ChainHash[]): void {
    for (const hash of chain) {
      const chunk = this._cache.get(hash) ?? { pins: 0, uses: 0 };
      chunk.pins += 1;
      chunk.uses += 1;
      if (chunk.uses >= HOT_USES) {
        this._used.delete(hash);
        this._used.add(hash);
      }
      this._cache.set(hash, chunk);
    }
  }

  /** Ends the use of the chunks; the head of the prefix becomes the most recently used. */
  private _releaseChunks(chain: readonly ChainHash[]): void {
    for (const hash of [...chain].reverse()) {
      const chunk = this._cache.get(hash);
      if (chunk !== undefined) {
        chunk.pins -= 1;
        this._cache.delete(hash);
        this._cache.set(hash, chunk);
      }
    }
  }

  private _makeRoom(needed: number): boolean {
    let missing = needed - (this._spec.chunks - this._cache.size - this._privateChunks);
    for (const [hash, chunk] of missing > 0 ? this._cache : []) {
      if (missing <= 0) {
        break;
      }
      if (chunk.pins === 0) {
        this._cache.delete(hash);
        missing -= 1;
        if (chunk.uses >= HOT_USES) {
          this._evicted.push(hash);
        }
      }
    }
    return missing <= 0;
  }
}

function isUnseen(job: IEngineJob | undefined, sender: number, now: number): boolean {
  return job !== undefined && job.sender !== sender && now - job.sentAt < REPORT_LAG_MS;
}
