/** Fake model engine: batching, prefix cache, priorities, orders. It generates no real text. */
import { createHash, randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import { ChunkOwners, EngineCache, hashPrompt, type IEngineCacheOptions } from './EngineCache.js';
import { EngineStream } from './EngineStream.js';

/** Rough length of a token in UTF-8 bytes. */
const BYTES_PER_TOKEN = 4;

/** A generation without a reader is cancelled after this time. */
const RESUME_GRACE_MS = 2_000;

/** Chunk length in tokens, as in the cache. */
const CHUNK_TOKENS = 2_000;

export interface IEngineOptions {
  readonly model: string;
  readonly weightsVersion: string;
  readonly prefillTokensPerSecond: number;
  readonly decodeMs: number;
  readonly maxRunning: number;
  readonly fencing: 'strict' | 'ignore';
  readonly loadLagMs: number;
  /** Time that one load of weights takes. */
  readonly loadMs: number;
  /** Called when cached chunks are used that only other client accounts had sent. */
  readonly onForeignHit?: (requestId: string, chunks: number) => void;
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

/** An order to load weights. */
export interface ICarriedOrder {
  readonly fence: number;
  readonly version: string;
  readonly startedAt: number;
  readonly finishedAt: number;
}

interface IQueued {
  readonly priority: number;
  readonly promptTokens: number;
  readonly start: () => void;
}

/** Test prompts name their client account in this form, since the engine sees no account. */
const NONCE_PATTERN = /nonce ([a-z0-9]+)-/;

/** Test prompts tell in this form after how many tokens the generation ends by itself. */
const STOP_PATTERN = /stop after (\d+)/;

/** The engine behind the HTTP server of `EngineServer.ts`. */
export class Engine {
  public readonly incarnation = randomUUID();
  public weightsVersion: string;
  /** Highest fencing number seen. */
  public highestFence = 0;
  /** Orders that were carried out, for checks from outside. Times are wall-clock milliseconds. */
  public readonly orders: ICarriedOrder[] = [];
  private readonly _cache: EngineCache;
  private readonly _owners = new ChunkOwners();
  private readonly _streams = new Map<string, EngineStream>();
  private readonly _queue: IQueued[] = [];
  private readonly _loads: { at: number; report: ILoadReport }[] = [];
  private _running = 0;
  private _prefill: Promise<void> = Promise.resolve();

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

  /** Starts a generation; the stream carries its events. */
  public generate(request: IGenerateRequest): EngineStream {
    const stream = new EngineStream(randomUUID(), request.requestId);
    this._streams.set(stream.id, stream);
    void this._run(request, stream).finally(() => {
      setTimeout(() => this._streams.delete(stream.id), RESUME_GRACE_MS * 5).unref();
    });
    return stream;
  }

  public listEvents(after: number): { seq: number; type: string; hash: string }[] {
    return this._cache
      .listEvents(after, performance.now())
      .map(({ seq, type, hash }) => ({ seq, type, hash }));
  }

  /** The load as it was some time ago. */
  public reportLoad(): ILoadReport {
    const visibleAt = performance.now() - this._options.loadLagMs;
    const visible = this._loads.findLast((sample) => sample.at <= visibleAt);
    return visible?.report ?? this._measureLoad();
  }

  /** Loads weights. Returns false for an old fencing number in strict mode. */
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
    const step = this._prefill.then(async () => {
      const cachedChunks = this._cache.touchPrefix(chain, performance.now());
      cachedTokens = cachedChunks * CHUNK_TOKENS;
      this._checkOwners(request, chain, cachedChunks);
      const missedTokens = promptTokens - cachedTokens;
      await delay((missedTokens / this._options.prefillTokensPerSecond) * 1_000);
      this._cache.insert(chain, performance.now());
    });
    this._prefill = step;
    await step;
    return cachedTokens;
  }

  private _checkOwners(
    request: IGenerateRequest,
    chain: readonly string[],
    cachedChunks: number,
  ): void {
    const account = NONCE_PATTERN.exec(request.prompt)?.[1];
    if (account === undefined) {
      return;
    }
    const foreign = this._owners.countForeign(chain, cachedChunks, account);
    if (foreign > 0) {
      this._options.onForeignHit?.(request.requestId, foreign);
    }
  }

  private async _decode(
    request: IGenerateRequest,
    stream: EngineStream,
    promptTokens: number,
    cachedTokens: number,
  ): Promise<void> {
    let abandonedAt: number | undefined;
    const tokens = countOutput(request);
    for (let index = 0; index < tokens && !stream.isCancelled; index++) {
      stream.push(this._formatChunk(request, `t${index} `));
      await delay(this._options.decodeMs);
      abandonedAt = stream.readers > 0 ? undefined : (abandonedAt ?? performance.now());
      if (abandonedAt !== undefined && performance.now() - abandonedAt > RESUME_GRACE_MS) {
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
        completion_tokens: countOutput(request),
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
    this._loads.push({ at: now, report: this._measureLoad() });
    while ((this._loads[0]?.at ?? now) < now - this._options.loadLagMs - 1_000) {
      this._loads.shift();
    }
  }
}

function countOutput({ prompt, maxTokens }: IGenerateRequest): number {
  const stopAfter = STOP_PATTERN.exec(prompt)?.[1];
  return stopAfter === undefined ? maxTokens : Math.min(maxTokens, Number(stopAfter));
}

/** Lets the caller check that an answer belongs to its prompt. */
export function digestPrompt(prompt: string): string {
  return createHash('sha256').update(prompt).digest('hex');
}
