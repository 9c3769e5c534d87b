/** Simulated engine with continuous batching and a prefix cache in limited memory. */
import { CHUNK_TOKENS } from '../../src/policy/PrefixChain.js';
import type { ChainHash, IBusyReceipt, IRandom } from '../../src/policy/Types.js';
import type { EventQueue } from './EventQueue.js';

/** Time for one output token: the base, and an addition for each request in the batch. */
const DECODE_STEP_MS = 12;
const DECODE_STEP_PER_REQUEST_MS = 0.4;

/** Fraction of the prefill speed that each decoding request costs, and the limit of their sum. */
const DECODE_SHARE_PER_REQUEST = 0.01;
const MAX_DECODE_SHARE = 0.4;

/** Limit of evicted chunks in one announcement; the latest are sent. */
const MAX_ANNOUNCED_EVICTIONS = 32;

/** Limit of used hot chunks in one announcement; the latest are sent. */
const MAX_ANNOUNCED_HOT_CHUNKS = 8;

/** A chunk with at least this many uses is hot. Announcements contain hot chunks only. */
const MIN_HOT_CHUNK_USES = 2;

/** Mean age of a load report: half the announcement interval and the mean announcement delay. */
export const MEAN_REPORT_AGE_MS = 400;

/** Time from a crash until the engine accepts requests again. */
const RESTART_DURATION_MS = 800;

/** One request as an engine receives it, with callbacks for its outcome. */
export interface IEngineJob {
  readonly chain: readonly ChainHash[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly priority: number;
  /** Incarnation that the sender expects; in any other incarnation the job fails. */
  readonly incarnation: string;
  /** Index of the entry that sent the job, and the time at which it did. */
  readonly senderIndex: number;
  readonly sentAt: number;
  readonly onFirstToken: (now: number) => void;
  readonly onCompleted: (cachedPromptTokens: number, now: number) => void;
  readonly onFailed: (now: number) => void;
  /**
   * The sidecar refuses the job without running it when it expects a longer time to first token.
   */
  readonly maxTtftMs: number;
  readonly onBusy: (receipt: IBusyReceipt, now: number) => void;
}

interface IRunningJob {
  readonly job: IEngineJob;
  /** Chunks for the partial prompt chunk and the output, which are not shared. */
  readonly privateChunks: number;
  readonly cachedPromptTokens: number;
}

/** A cached chunk; with pins it is used by jobs in progress and must not be evicted. */
interface IChunk {
  pins: number;
  uses: number;
}

/** Shared by all engines of a run to count computed and recomputed prompt tokens. */
export interface IPrefillObserver {
  /** Chunks that any engine has computed; computing one of them again is wasted work. */
  readonly computedChunks: Set<ChainHash>;
  /** Called when the prefill of a prompt begins. */
  readonly onPrefill: (
    job: IEngineJob,
    cachedTokens: number,
    wastedTokens: number,
    prefillMs: number,
    now: number,
  ) => void;
}

/** Fixed properties of one engine. */
export interface IEngineSpec {
  readonly id: string;
  readonly dataCentre: string;
  readonly capacityChunks: number;
  readonly prefillTokensPerMs: number;
}

/** Load of an engine at one instant. */
export interface IEngineLoad {
  readonly queued: number;
  readonly running: number;
  readonly freeBlocks: number;
  /** Wait for a new job of priority 0, as the sidecar estimates it. */
  readonly waitMs: number;
}

/** Content of one announcement. */
export interface IEngineAnnouncement extends IEngineLoad {
  readonly incarnation: string;
  readonly evictedChunks: readonly ChainHash[];
  readonly usedHotChunks: readonly ChainHash[];
}

/**
 * Computes prompts one after another by priority, decodes any number of requests at the same time
 * and evicts the least recently used chunks when memory is short. It also plays the sidecar, which
 * refuses jobs that would wait too long and collects evictions and uses for the announcements.
 */
export class Engine {
  public readonly id: string;
  public readonly dataCentre: string;
  public isUp = true;
  private readonly _spec: IEngineSpec;
  private readonly _events: EventQueue;
  private readonly _prefillObserver: IPrefillObserver;
  private readonly _random: IRandom;
  private _incarnationNumber = 0;
  /** Chunks in memory, least recently used first. */
  private readonly _cache = new Map<ChainHash, IChunk>();
  private _privateChunks = 0;
  private readonly _jobsInTransit = new Set<IEngineJob>();
  private readonly _queue: IEngineJob[] = [];
  private _currentPrefill: IRunningJob | undefined;
  private _prefillEndsAt = 0;
  private _prefillStartedAt = 0;
  /** Prompt tokens to compute, as the sidecar estimated them when it accepted the job. */
  private readonly _expectedUncachedTokens = new Map<IEngineJob, number>();
  private readonly _running = new Set<IRunningJob>();
  private _evictedHotChunks: ChainHash[] = [];
  /** Hot chunks used since the last announcement, the most recently used last. */
  private readonly _usedHotChunks = new Set<ChainHash>();

  constructor(
    spec: IEngineSpec,
    events: EventQueue,
    prefillObserver: IPrefillObserver,
    random: IRandom,
  ) {
    this.id = spec.id;
    this.dataCentre = spec.dataCentre;
    this._spec = spec;
    this._events = events;
    this._prefillObserver = prefillObserver;
    this._random = random;
  }

  public get incarnation(): string {
    return `${this.id}/${this._incarnationNumber}`;
  }

  /** Delivers a job to the engine after `hopLatencyMs`. */
  public send(job: IEngineJob, hopLatencyMs: number, now: number): void {
    this._jobsInTransit.add(job);
    this._events.schedule(now + hopLatencyMs, (at) => {
      this._jobsInTransit.delete(job);
      this._accept(job, at);
    });
  }

  /** Fails all accepted jobs and restarts with an empty cache as a new incarnation. */
  public crash(now: number): void {
    const lostJobs = [...this._queue, ...[...this._running].map((running) => running.job)];
    if (this._currentPrefill !== undefined) {
      lostJobs.push(this._currentPrefill.job);
    }
    this._incarnationNumber += 1;
    this.isUp = false;
    this._cache.clear();
    this._queue.length = 0;
    this._running.clear();
    this._currentPrefill = undefined;
    this._expectedUncachedTokens.clear();
    this._privateChunks = 0;
    this._evictedHotChunks = [];
    this._usedHotChunks.clear();
    this._events.schedule(now + RESTART_DURATION_MS, () => {
      this.isUp = true;
    });
    for (const job of lostJobs) {
      job.onFailed(now);
    }
  }

  /** Returns the state to announce. Evictions and uses are announced once, so this clears them. */
  public report(now: number): IEngineAnnouncement {
    const evicted = this._evictedHotChunks.slice(-MAX_ANNOUNCED_EVICTIONS);
    const used = [...this._usedHotChunks].filter((hash) => this._cache.has(hash));
    this._evictedHotChunks = [];
    this._usedHotChunks.clear();
    return {
      ...this.getLoad(now),
      usedHotChunks: used.slice(-MAX_ANNOUNCED_HOT_CHUNKS),
      incarnation: this.incarnation,
      evictedChunks: evicted.filter((hash) => !this._cache.has(hash)),
    };
  }

  /** Returns the load that accompanies an answer. */
  public getLoad(now: number): IEngineLoad {
    return {
      queued: this._queue.length + (this._currentPrefill === undefined ? 0 : 1),
      running: this._running.size,
      freeBlocks: this._spec.capacityChunks - this._cache.size - this._privateChunks,
      waitMs: this._estimateWait(0, now),
    };
  }

  /**
   * Computes the exact time to first token of a job sent now, without the network hop. Reserved for
   * the oracle and the analysis of the tail, since no entry can know it.
   */
  public computeTtft(chain: readonly ChainHash[], promptTokens: number, now: number): number {
    const pending = new Set<ChainHash>();
    let waitMs = this._currentPrefill === undefined ? 0 : this._prefillEndsAt - now;
    for (const job of [...this._queue, ...this._jobsInTransit]) {
      waitMs += this._estimatePrefillMs(job.chain, job.promptTokens, pending);
      job.chain.forEach((hash) => pending.add(hash));
    }
    return waitMs + this._estimatePrefillMs(chain, promptTokens, pending);
  }

  /**
   * Computes the exact wait for queued jobs, and how much of it the entry `senderIndex` cannot know
   * because other entries sent these jobs after the last report.
   */
  public computeWait(senderIndex: number, now: number): { waitMs: number; unseenMs: number } {
    const pending = new Set<ChainHash>();
    let waitMs = this._currentPrefill === undefined ? 0 : this._prefillEndsAt - now;
    let unseenMs = isUnseen(this._currentPrefill?.job, senderIndex, now) ? waitMs : 0;
    for (const job of [...this._queue, ...this._jobsInTransit]) {
      const prefillMs = this._estimatePrefillMs(job.chain, job.promptTokens, pending);
      job.chain.forEach((hash) => pending.add(hash));
      waitMs += prefillMs;
      unseenMs += isUnseen(job, senderIndex, now) ? prefillMs : 0;
    }
    return { waitMs, unseenMs };
  }

  private _estimatePrefillMs(
    chain: readonly ChainHash[],
    promptTokens: number,
    pending: ReadonlySet<ChainHash>,
  ): number {
    let chunks = 0;
    while (chunks < chain.length && this._isCachedOrPending(chain[chunks] ?? '', pending)) {
      chunks += 1;
    }
    return this._computePrefillMs(promptTokens - chunks * CHUNK_TOKENS);
  }

  private _isCachedOrPending(hash: ChainHash, pending: ReadonlySet<ChainHash>): boolean {
    return this._cache.has(hash) || pending.has(hash);
  }

  private _computePrefillMs(tokens: number): number {
    const decodeShare = Math.min(MAX_DECODE_SHARE, this._running.size * DECODE_SHARE_PER_REQUEST);
    return Math.max(1, tokens) / (this._spec.prefillTokensPerMs * (1 - decodeShare));
  }

  private _accept(job: IEngineJob, now: number): void {
    if (!this.isUp || job.incarnation !== this.incarnation) {
      job.onFailed(now);
      return;
    }
    const uncachedTokens = this._countUncachedTokens(job);
    const waitMs = this._estimateWait(job.priority, now);
    if (waitMs + uncachedTokens / this._spec.prefillTokensPerMs > job.maxTtftMs) {
      job.onBusy({ waitMs, cachedPromptTokens: job.promptTokens - uncachedTokens }, now);
      return;
    }
    this._expectedUncachedTokens.set(job, uncachedTokens);
    const insertIndex = this._queue.findIndex((item) => item.priority < job.priority);
    this._queue.splice(insertIndex < 0 ? this._queue.length : insertIndex, 0, job);
    this._startNextPrefill(now);
  }

  /**
   * Counts the prompt tokens that the sidecar expects the engine to compute: chunks that are cached
   * or belong to queued jobs count as cached.
   */
  private _countUncachedTokens(job: IEngineJob): number {
    const pending = new Set(this._queue.flatMap((item) => item.chain));
    let chunks = 0;
    while (chunks < job.chain.length && this._isCachedOrPending(job.chain[chunks] ?? '', pending)) {
      chunks += 1;
    }
    return job.promptTokens - chunks * CHUNK_TOKENS;
  }

  /**
   * Estimates the wait as the sidecar does: from the uncached tokens expected when the jobs were
   * accepted and the prefill speed of an engine that decodes nothing. The elapsed time of the
   * prefill in progress is subtracted.
   */
  private _estimateWait(priority: number, now: number): number {
    const speed = this._spec.prefillTokensPerMs;
    let waitMs = 0;
    for (const [job, uncachedTokens] of this._expectedUncachedTokens) {
      if (job === this._currentPrefill?.job) {
        waitMs += Math.max(0, uncachedTokens / speed - (now - this._prefillStartedAt));
      } else if (job.priority >= priority) {
        waitMs += uncachedTokens / speed;
      }
    }
    return waitMs;
  }

  private _startNextPrefill(now: number): void {
    const job = this._queue[0];
    if (job === undefined || this._currentPrefill !== undefined) {
      return;
    }
    const cachedChunks = this._reserveMemory(job);
    if (cachedChunks === undefined) {
      return;
    }
    this._queue.shift();
    const cachedPromptTokens = cachedChunks * CHUNK_TOKENS;
    const prefillMs = this._computePrefillMs(job.promptTokens - cachedPromptTokens);
    const running = { job, privateChunks: this._countPrivateChunks(job), cachedPromptTokens };
    this._currentPrefill = running;
    this._prefillEndsAt = now + prefillMs;
    this._prefillStartedAt = now;
    this._recordPrefill(job, cachedChunks, prefillMs, now);
    this._scheduleInIncarnation(now + prefillMs, (at) => {
      this._beginDecode(running, at);
    });
  }

  private _recordPrefill(
    job: IEngineJob,
    cachedChunks: number,
    prefillMs: number,
    now: number,
  ): void {
    let wastedTokens = 0;
    for (const hash of job.chain.slice(cachedChunks)) {
      wastedTokens += this._prefillObserver.computedChunks.has(hash) ? CHUNK_TOKENS : 0;
      this._prefillObserver.computedChunks.add(hash);
    }
    this._prefillObserver.onPrefill(job, cachedChunks * CHUNK_TOKENS, wastedTokens, prefillMs, now);
  }

  private _beginDecode(running: IRunningJob, now: number): void {
    this._currentPrefill = undefined;
    this._expectedUncachedTokens.delete(running.job);
    this._running.add(running);
    running.job.onFirstToken(now);
    const stepMs = DECODE_STEP_MS + DECODE_STEP_PER_REQUEST_MS * this._running.size;
    const jitter = 0.9 + 0.2 * this._random();
    this._scheduleInIncarnation(now + running.job.outputTokens * stepMs * jitter, (at) => {
      this._finish(running, at);
    });
    this._startNextPrefill(now);
  }

  private _finish(running: IRunningJob, now: number): void {
    this._running.delete(running);
    this._privateChunks -= running.privateChunks;
    this._releaseChunks(running.job.chain);
    running.job.onCompleted(running.cachedPromptTokens, now);
    this._startNextPrefill(now);
  }

  /** Schedules a step that is skipped if the engine crashes before it. */
  private _scheduleInIncarnation(at: number, run: (now: number) => void): void {
    const scheduledIn = this._incarnationNumber;
    this._events.schedule(at, (now) => {
      if (scheduledIn === this._incarnationNumber) {
        run(now);
      }
    });
  }

  private _countPrivateChunks(job: IEngineJob): number {
    const tokens = job.promptTokens - job.chain.length * CHUNK_TOKENS + job.outputTokens;
    return Math.ceil(tokens / CHUNK_TOKENS);
  }

  /**
   * Pins the chunks of a job and reserves its private chunks. Returns the number of chunks that
   * were cached, or undefined when the memory does not suffice.
   */
  private _reserveMemory(job: IEngineJob): number | undefined {
    let cachedChunks = 0;
    while (cachedChunks < job.chain.length && this._cache.has(job.chain[cachedChunks] ?? '')) {
      cachedChunks += 1;
    }
    const cachedPrefix = job.chain.slice(0, cachedChunks);
    this._acquireChunks(cachedPrefix);
    const neededChunks = job.chain.length - cachedChunks + this._countPrivateChunks(job);
    if (!this._ensureFreeChunks(neededChunks)) {
      this._releaseChunks(cachedPrefix);
      return undefined;
    }
    this._acquireChunks(job.chain.slice(cachedChunks));
    this._privateChunks += this._countPrivateChunks(job);
    return cachedChunks;
  }

  private _acquireChunks(chain: readonly ChainHash[]): void {
    for (const hash of chain) {
      const chunk = this._cache.get(hash) ?? { pins: 0, uses: 0 };
      chunk.pins += 1;
      chunk.uses += 1;
      if (chunk.uses >= MIN_HOT_CHUNK_USES) {
        this._usedHotChunks.delete(hash);
        this._usedHotChunks.add(hash);
      }
      this._cache.set(hash, chunk);
    }
  }

  /**
   * Unpins the chunks. The first chunk of the prefix becomes the most recently used, so that a
   * prefix is evicted from its end.
   */
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

  /** Evicts unpinned chunks until `neededChunks` are free; returns whether that succeeded. */
  private _ensureFreeChunks(neededChunks: number): boolean {
    let missingChunks =
      neededChunks - (this._spec.capacityChunks - this._cache.size - this._privateChunks);
    for (const [hash, chunk] of missingChunks > 0 ? this._cache : []) {
      if (missingChunks <= 0) {
        break;
      }
      if (chunk.pins === 0) {
        this._cache.delete(hash);
        missingChunks -= 1;
        if (chunk.uses >= MIN_HOT_CHUNK_USES) {
          this._evictedHotChunks.push(hash);
        }
      }
    }
    return missingChunks <= 0;
  }
}

/** Whether another entry sent the job so recently that no report contains it yet. */
function isUnseen(job: IEngineJob | undefined, senderIndex: number, now: number): boolean {
  return (
    job !== undefined && job.senderIndex !== senderIndex && now - job.sentAt < MEAN_REPORT_AGE_MS
  );
}
