/** Task that polls the target's health, incarnation, weights, load and cache events. */
import { create } from '@bufbuild/protobuf';
import type { Dispatcher } from 'undici';
import { readJson } from '../common/JsonAnswer.js';
import { Emitter } from '../common/Lifecycle.js';
import { describeError, type ILog } from '../common/Log.js';
import { runPeriodically, runWithTimeout } from '../common/Tasks.js';
import { TargetLoadSchema } from '../gen/redwingwharf/v1/control_pb.js';
import type { IClock } from '../common/Clock.js';
import type { ITargetSettings } from '../settings/Types.js';
import { CacheIndex, type ICacheEvent } from './CacheIndex.js';
import { HotChunks } from './HotChunks.js';
import type { ITargetState, ITargetWatcher } from './Types.js';

const POLL_INTERVAL_MS = 250;
const POLL_TIMEOUT_MS = 500;

/** Cache events take most of an answer. */
const MAX_REPLY_BYTES = 4 * 1024 * 1024;

/** Consecutive failed polls after which the target counts as down. */
const MAX_FAILED_POLLS = 3;

interface IHealthReply {
  readonly incarnation?: string;
  readonly weights_version?: string;
}

interface ILoadReply {
  readonly queued: number;
  readonly running: number;
  readonly queued_prompt_tokens: number;
  readonly free_blocks: number;
  readonly total_blocks: number;
}

interface IEventsReply {
  readonly incarnation: string;
  readonly events: readonly ICacheEvent[];
}

/**
 * Polls the target, holds its last state and, for an engine, the index of its cached chunks. Fires
 * `onChange` when the state changes.
 */
export class TargetWatcher implements ITargetWatcher {
  private readonly _changeEmitter = new Emitter<ITargetState>();
  private readonly _cacheIndex = new CacheIndex();
  private _failedPolls = 0;
  private _state: ITargetState = {
    isHealthy: false,
    incarnation: '',
    weightsVersion: '',
    load: create(TargetLoadSchema),
  };

  /** Chunks of the current weights that the engine uses often. */
  public readonly hotChunks = new HotChunks();

  /** Fires when health, incarnation or weights change. */
  public readonly onChange = this._changeEmitter.onFire;

  constructor(
    private readonly _target: ITargetSettings,
    private readonly _http: Dispatcher,
    private readonly _clock: IClock,
    private readonly _log: ILog,
  ) {}

  public get state(): ITargetState {
    return this._state;
  }

  public hasChunk(hash: string): boolean {
    return this._cacheIndex.has(hash);
  }

  public takeEvicted(limit: number): Uint8Array[] {
    return this._cacheIndex.takeEvicted(limit);
  }

  /** Polls until the signal is aborted. */
  public async run(signal: AbortSignal): Promise<void> {
    await runPeriodically(
      POLL_INTERVAL_MS,
      signal,
      () => this.pollOnce(signal),
      (error) => {
        this._countFailure(error);
      },
    );
  }

  public async pollOnce(signal: AbortSignal): Promise<void> {
    const health = (await this._get(this._target.healthPath, signal)) as IHealthReply;
    this._failedPolls = 0;
    const incarnation = health.incarnation ?? '';
    const weightsVersion = health.weights_version ?? '';
    this._clearOutdatedChunks(incarnation, weightsVersion);
    this._update({
      ...this._state,
      isHealthy: true,
      incarnation,
      weightsVersion,
    });
    if (this._target.kind === 'engine') {
      await this._pollEngine(signal);
    }
  }

  private async _pollEngine(signal: AbortSignal): Promise<void> {
    const load = (await this._get('/load', signal)) as ILoadReply;
    this._state = {
      ...this._state,
      load: create(TargetLoadSchema, {
        queued: load.queued,
        running: load.running,
        queuedPromptTokens: load.queued_prompt_tokens,
        freeBlocks: Math.max(0, load.free_blocks),
        totalBlocks: load.total_blocks,
      }),
    };
    const path = `/events?after=${this._cacheIndex.lastSeq}`;
    const reply = (await this._get(path, signal)) as IEventsReply;
    if (reply.incarnation === this._state.incarnation) {
      this.hotChunks.apply(this._cacheIndex.apply(reply.events), this._clock.now());
    }
  }

  /**
   * Clears the record of chunks of an earlier incarnation or of other weights: no request can use them.
   */
  private _clearOutdatedChunks(incarnation: string, weightsVersion: string): void {
    if (incarnation !== this._state.incarnation) {
      this._cacheIndex.reset();
      this.hotChunks.markAllEvicted();
    }
    if (weightsVersion !== this._state.weightsVersion) {
      this._cacheIndex.clear();
      this.hotChunks.clear();
    }
  }

  private async _get(path: string, signal: AbortSignal): Promise<unknown> {
    return runWithTimeout(signal, POLL_TIMEOUT_MS, async (limitedSignal) => {
      const response = await this._http.request({
        origin: `http://${this._target.address}`,
        path,
        method: 'GET',
        signal: limitedSignal,
      });
      if (response.statusCode !== 200) {
        await response.body.dump();
        throw new Error(`target answered ${response.statusCode} to GET ${path}`);
      }
      return readJson(response.body, MAX_REPLY_BYTES);
    });
  }

  private _countFailure(error: unknown): void {
    this._failedPolls += 1;
    if (this._failedPolls >= MAX_FAILED_POLLS && this._state.isHealthy) {
      this._log.warn('target is down', { error: describeError(error) });
      this._update({ ...this._state, isHealthy: false });
    }
  }

  private _update(state: ITargetState): void {
    const previous = this._state;
    this._state = state;
    const isChanged =
      previous.isHealthy !== state.isHealthy ||
      previous.incarnation !== state.incarnation ||
      previous.weightsVersion !== state.weightsVersion;
    if (isChanged) {
      this._changeEmitter.fire(state);
    }
  }
}
