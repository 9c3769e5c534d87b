/**
 * Fake model engine for tests, with batching, a prefix cache, priorities and weights that are loaded on
 * command. Its answers are numbered placeholder tokens.
 */
import { createHash, randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import { ChunkOwners, EngineCache, hashPrompt, type IEngineCacheOptions } from './EngineCache.js';
import { EngineStream } from './EngineStream.js';

/** Approximate length of a token in UTF-8 bytes, from which prompt lengths are estimated. */
const BYTES_PER_TOKEN = 4;

/** A generation is cancelled when its stream had no reader for this time and was not resumed. */
const RESUME_TIMEOUT_MS = 2_000;

/** Length of a chunk in tokens; corresponds to `CHUNK_BYTES` of EngineCache.ts. */
const CHUNK_TOKENS = 2_000;

export interface IEngineOptions {
  readonly model: string;
  readonly weightsVersion: string;
  readonly prefillTokensPerSecond: number;
  /** Time between two generated tokens. */
  readonly tokenIntervalMs: number;
  /** Requests that run at the same time; others wait in the queue. */
  readonly maxRunning: number;
  /** `ignore`: the engine also accepts load commands with an old fencing number. */
  readonly fencing: 'strict' | 'ignore';
  /** Age of the load that `reportLoad` returns. */
  readonly loadLagMs: number;
  /** Duration of one load of weights. */
  readonly loadMs: number;
  /** Called when a request uses cached chunks that only other client accounts have sent. */
  readonly onForeignCacheHit?: (requestId: string, chunks: number) => void;
  readonly cache: IEngineCacheOptions;
}

export interface IGenerateRequest {
  readonly requestId: string;
  readonly prompt: string;
  readonly cacheSalt: string;
  readonly priority: number;
  readonly maxTokens: number;
}

export interface ILoadReport {
  readonly queued: number;
  readonly running: number;
  readonly queued_prompt_tokens: number;
  readonly free_blocks: number;
  readonly total_blocks: number;
}

/** A completed load of weights. Times are wall-clock milliseconds. */
export interface ILoadRecord {
  readonly fence: number;
  readonly version: string;
  readonly startedAt: number;
  readonly finishedAt: number;
}

interface IQueuedGeneration {
  readonly priority: number;
  readonly promptTokens: number;
  readonly start: () => void;
}

/** Form in which test prompts name their client account, since requests to the engine do not. */
const ACCOUNT_PATTERN = /nonce ([a-z0-9]+)-/;

/** Form in which test prompts set the number of tokens after which the generation stops. */
const STOP_AFTER_PATTERN = /stop after (\d+)/;

/**
 * Runs the generations and weight loads that `EngineServer.ts` receives over HTTP, and simulates their
 * duration: prompts are computed one at a time, and up to `maxRunning` answers are generated together.
 */
export class Engine {
  public readonly incarnation = randomUUID();
  public weightsVersion: string;
  /** Highest fencing number of the accepted load commands. */
  public highestFence = 0;
  /** Completed loads of weights, for checks of tests. */
  public readonly orders: ILoadRecord[] = [];
  private readonly _cache: EngineCache;
  private readonly _owners = new ChunkOwners();
  private readonly _streams = new Map<string, EngineStream>();
  private readonly _queue: IQueuedGeneration[] = [];
  private readonly _loadSamples: { at: number; report: ILoadReport }[] = [];
  private _running = 0;
  /** Resolves when the last prompt that was queued for prefill is computed. */
  private _prefillQueue: Promise<void> = Promise.resolve();

  constructor(private readonly _options: IEngineOptions) {
    this.weightsVersion = _options.weightsVersion;
    this._cache = new EngineCache(_options.cache);
    setInterval(() => {
      this._sampleLoad();
    }, 50).unref();
  }

  public get model(): string {
    return this._options.model;
  }

  public getStream(id: string): EngineStream | undefined {
    return this._streams.get(id);
  }

  /** Queues a generation and returns the stream of its events. */
  public generate(request: IGenerateRequest): EngineStream {
    const stream = new EngineStream(randomUUID(), request.requestId);
    this._streams.set(stream.id, stream);
    void this._run(request, stream).finally(() => {
      setTimeout(() => this._streams.delete(stream.id), RESUME_TIMEOUT_MS * 5).unref();
    });
    return stream;
  }

  /** Events of the prefix cache after the sequence number `after`. */
  public listEvents(after: number): { seq: number; type: string; hash: string }[] {
    return this._cache
      .listEvents(after, performance.now())
      .map(({ seq, type, hash }) => ({ seq, type, hash }));
  }

  /** Returns the load as it was `loadLagMs` ago. */
  public reportLoad(): ILoadReport {
    const visibleAt = performance.now() - this._options.loadLagMs;
    const visible = this._loadSamples.findLast((sample) => sample.at <= visibleAt);
    return visible?.report ?? this._measureLoad();
  }

  /** Loads weights and clears the cache. Returns false for an old fencing number in strict mode. */
  public async loadWeights(fence: number, version: string): Promise<boolean> {
    if (this._options.fencing === 'strict' && fence < this.highestFence) {
      return false;
    }
    this.highestFence = Math.max(this.highestFence, fence);
    const startedAt = Date.now();
    await delay(this._options.loadMs);
    this.orders.push({ fence, version, startedAt, finishedAt: Date.now() });
    this.weightsVersion = version;
    this._cache.clear();
    this._owners.clear();
    return true;
  }

  public hasChunk(hash: string): boolean {
    return this._cache.has(hash);
  }

  public importChunk(hash: string): void {
    this._cache.insert([hash], performance.now());
  }

  private async _run(request: IGenerateRequest, stream: EngineStream): Promise<void> {
    const promptTokens = Math.ceil(Buffer.byteLength(request.prompt) / BYTES_PER_TOKEN);
    await this._awaitSlot(request.priority, promptTokens);
    try {
      const cachedTokens = await this._computePrompt(request, promptTokens);
      await this._decode(request, stream, promptTokens, cachedTokens);
    } finally {
      this._running -= 1;
      this._startNext();
      stream.finish();
    }
  }

  private async _awaitSlot(priority: number, promptTokens: number): Promise<void> {
    if (this._running < this._options.maxRunning) {
      this._running += 1;
      return;
    }
    await new Promise<void>((start) => {
      this._queue.push({ priority, promptTokens, start });
      this._queue.sort((left, right) => right.priority - left.priority);
    });
  }

  private _startNext(): void {
    const next = this._queue.shift();
    if (next !== undefined) {
      this._running += 1;
      next.start();
    }
  }

  private async _computePrompt(request: IGenerateRequest, promptTokens: number): Promise<number> {
    const chain = hashPrompt(request.cacheSalt, request.prompt);
    let cachedTokens = 0;
    const step = this._prefillQueue.then(async () => {
      const cachedChunks = this._cache.touchPrefix(chain, performance.now());
      cachedTokens = cachedChunks * CHUNK_TOKENS;
      this._detectForeignHits(request, chain, cachedChunks);
      const missedTokens = promptTokens - cachedTokens;
      await delay((missedTokens / this._options.prefillTokensPerSecond) * 1_000);
      this._cache.insert(chain, performance.now());
    });
    this._prefillQueue = step;
    await step;
    return cachedTokens;
  }

  private _detectForeignHits(
    request: IGenerateRequest,
    chain: readonly string[],
    cachedChunks: number,
  ): void {
    const account = ACCOUNT_PATTERN.exec(request.prompt)?.[1];
    if (account === undefined) {
      return;
    }
    const foreign = this._owners.countForeign(chain, cachedChunks, account);
    if (foreign > 0) {
      this._options.onForeignCacheHit?.(request.requestId, foreign);
    }
  }

  private async _decode(
    request: IGenerateRequest,
    stream: EngineStream,
    promptTokens: number,
    cachedTokens: number,
  ): Promise<void> {
    let abandonedAt: number | undefined;
    const tokens = countOutputTokens(request);
    for (let index = 0; index < tokens && !stream.isCancelled; index++) {
      stream.push(this._formatChunk(request, `t${index} `));
      await delay(this._options.tokenIntervalMs);
      abandonedAt = stream.readerCount > 0 ? undefined : (abandonedAt ?? performance.now());
      if (abandonedAt !== undefined && performance.now() - abandonedAt > RESUME_TIMEOUT_MS) {
        stream.cancel();
      }
    }
    if (!stream.isCancelled) {
      stream.push(this._formatUsage(request, promptTokens, cachedTokens));
      stream.push('[DONE]');
    }
  }

  private _formatChunk(request: IGenerateRequest, text: string): string {
    return JSON.stringify({
      id: request.requestId,
      object: 'chat.completion.chunk',
      model: this._options.model,
      choices: [{ index: 0, delta: { content: text } }],
    });
  }

  private _formatUsage(
    request: IGenerateRequest,
    promptTokens: number,
    cachedTokens: number,
  ): string {
    return JSON.stringify({
      id: request.requestId,
      object: 'chat.completion.chunk',
      model: this._options.model,
      prompt_digest: digestPrompt(request.prompt),
      choices: [{ index: 0, delta: {}, finish_reason: 'stop' }],
      usage: {
        prompt_tokens: promptTokens,
        completion_tokens: countOutputTokens(request),
        prompt_tokens_details: { cached_tokens: cachedTokens },
      },
    });
  }

  private _measureLoad(): ILoadReport {
    return {
      queued: this._queue.length,
      running: this._running,
      queued_prompt_tokens: this._queue.reduce((sum, { promptTokens }) => sum + promptTokens, 0),
      free_blocks: this._options.cache.capacityChunks - this._cache.usedChunks,
      total_blocks: this._options.cache.capacityChunks,
    };
  }

  private _sampleLoad(): void {
    const now = performance.now();
    this._loadSamples.push({ at: now, report: this._measureLoad() });
    while ((this._loadSamples[0]?.at ?? now) < now - this._options.loadLagMs - 1_000) {
      this._loadSamples.shift();
    }
  }
}

function countOutputTokens({ prompt, maxTokens }: IGenerateRequest): number {
  const stopAfter = STOP_AFTER_PATTERN.exec(prompt)?.[1];
  return stopAfter === undefined ? maxTokens : Math.min(maxTokens, Number(stopAfter));
}

/** Digest with which a caller checks that an answer belongs to its prompt. */
export function digestPrompt(prompt: string): string {
  return createHash('sha256').update(prompt).digest('hex');
}
