/** Task that exports hot chunks to the KV-cache store and imports them into an empty engine. */
import type { Readable } from 'node:stream';
import type { Dispatcher } from 'undici';
import type { IClock } from '../common/Clock.js';
import { describeError, type ILog } from '../common/Log.js';
import { isAborted, runPeriodically, sleep } from '../common/Tasks.js';
import type { IEngineOrders, IEngineState } from './EngineOrders.js';
import type { HotChunks } from './HotChunks.js';
import { openBlob, putBlob, type KvCacheStore } from './KvCacheStore.js';

const EXCHANGE_INTERVAL_MS = 2_000;

/** Hot chunks exported, listed and imported for one engine. */
const MAX_HOT_CHUNKS = 64;

/**
 * The roster of a region with 1,000 engines takes about 200 KB. Reading it once in this time, besides
 * once for each life of the engine, stays below 1 KB/s.
 */
const LISTS_INTERVAL_MS = 300_000;

/** Lists read at a time, of peers chosen at random. */
const MAX_PEER_LISTS = 8;

/** Bounds of the bandwidth that the exchange takes from requests. */
const MAX_IN_PROGRESS = 2;
const CHUNKS_PER_SECOND = 20;

/** The engine of the exchange. */
export interface IExchangeTarget {
  readonly id: string;
  readonly address: string;
  /** Other engines of the model. */
  listPeers(signal: AbortSignal): Promise<readonly string[]>;
}

export interface IExchangeServices {
  readonly store: KvCacheStore;
  readonly engine: IEngineOrders;
  readonly hot: HotChunks;
  readonly http: Dispatcher;
  readonly clock: IClock;
  readonly log: ILog;
}

/** What one round moved. */
export interface IExchangeRound {
  readonly imported: number;
  readonly exported: number;
}

/**
 * Runs beside the requests, never on their path. Chunk hashes differ between client accounts and weights
 * versions, and each transfer checks that the engine still has the weights that the path names.
 */
export class KvCacheExchange {
  /** The life and weights of the engine into which hot chunks were imported. */
  private _filled = '';
  private _exportedVersion = '';
  private readonly _exported = new Set<string>();
  private _ownList = '';
  /** Chunks that this target and some peers have listed as exported. */
  private _listed: readonly string[] = [];
  private _listedAt = -Infinity;

  constructor(
    private readonly _target: IExchangeTarget,
    private readonly _services: IExchangeServices,
    private readonly _random: () => number = Math.random,
  ) {}

  /** Exchanges until the signal is aborted. */
  public async run(signal: AbortSignal): Promise<void> {
    await runPeriodically(
      EXCHANGE_INTERVAL_MS,
      signal,
      async () => {
        await this.exchangeOnce(signal);
      },
      (error) => {
        this._services.log.debug('KV-cache exchange failed', { error: describeError(error) });
      },
    );
  }

  /** Imports after a restart or a load, then exports what has become hot. */
  public async exchangeOnce(signal: AbortSignal): Promise<IExchangeRound> {
    const state = await this._services.engine.readState(signal);
    if (state === undefined || state.weightsVersion === '') {
      return { imported: 0, exported: 0 };
    }
    if (state.weightsVersion !== this._exportedVersion) {
      this._exportedVersion = state.weightsVersion;
      this._exported.clear();
      this._ownList = '';
    }
    const now = this._services.clock.now();
    if (this._filled !== describeLife(state) || now - this._listedAt >= LISTS_INTERVAL_MS) {
      this._listed = await this._readLists(state.weightsVersion, signal);
      this._listedAt = now;
    }
    const hot = this._services.hot.list(MAX_HOT_CHUNKS, now);
    const imported = await this._fill(state, [...hot, ...this._listed], signal);
    const exported = await this._exportHot(state, hot, new Set(this._listed), signal);
    return { imported, exported };
  }

  private async _readLists(version: string, signal: AbortSignal): Promise<string[]> {
    const peers = [...(await this._target.listPeers(signal))]
      .map((peer) => ({ peer, rank: this._random() }))
      .sort((left, right) => left.rank - right.rank)
      .slice(0, MAX_PEER_LISTS)
      .map(({ peer }) => peer);
    const lists = await Promise.all(
      [this._target.id, ...peers].map((id) => this._services.store.readList(version, id, signal)),
    );
    // The first chunks of all lists come before the second ones, as each list begins with the hottest.
    const longest = Math.max(0, ...lists.map(({ length }) => length));
    const ranked = Array.from({ length: longest }, (_, rank) =>
      lists.flatMap((list) => list.slice(rank, rank + 1)),
    );
    return ranked.flat();
  }

  private async _fill(
    state: IEngineState,
    wanted: readonly string[],
    signal: AbortSignal,
  ): Promise<number> {
    const life = describeLife(state);
    if (this._filled === life) {
      return 0;
    }
    const missing = [...new Set(wanted)].filter((hash) => !this._services.hot.isHeld(hash));
    const chosen = missing.slice(0, MAX_HOT_CHUNKS);
    const imported = await this._transferAll(chosen, signal, (hash) =>
      this._importChunk(state, hash, signal),
    );
    this._filled = life;
    if (imported > 0) {
      this._services.log.info('hot chunks imported', {
        chunks: imported,
        weightsVersion: state.weightsVersion,
      });
    }
    return imported;
  }

  private async _exportHot(
    state: IEngineState,
    hot: readonly string[],
    inStore: ReadonlySet<string>,
    signal: AbortSignal,
  ): Promise<number> {
    const version = state.weightsVersion;
    const missing = hot.filter(
      (hash) => this._services.hot.isHeld(hash) && !this._exported.has(hash) && !inStore.has(hash),
    );
    const exported = await this._transferAll(missing, signal, (hash) =>
      this._exportChunk(state, hash, signal),
    );
    const listed = hot.filter((hash) => this._exported.has(hash) || inStore.has(hash));
    if (listed.length > 0 && listed.join() !== this._ownList) {
      await this._services.store.putList(version, this._target.id, listed, signal);
      this._ownList = listed.join();
    }
    return exported;
  }

  /** Transfers within the bounds and returns how many chunks were moved. */
  private async _transferAll(
    hashes: readonly string[],
    signal: AbortSignal,
    transfer: (hash: string) => Promise<boolean>,
  ): Promise<number> {
    const queue = [...hashes];
    let moved = 0;
    const work = async (): Promise<void> => {
      for (let hash = queue.shift(); hash !== undefined; hash = queue.shift()) {
        if (isAborted(signal)) {
          return;
        }
        const isMoved = await transfer(hash).catch((error: unknown) => {
          this._services.log.debug('chunk not moved', { hash, error: describeError(error) });
          return false;
        });
        moved += isMoved ? 1 : 0;
        await sleep((MAX_IN_PROGRESS * 1_000) / CHUNKS_PER_SECOND, signal);
      }
    };
    await Promise.all(Array.from({ length: MAX_IN_PROGRESS }, work));
    return moved;
  }

  private async _importChunk(
    state: IEngineState,
    hash: string,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { store, http } = this._services;
    const body = await store.openChunk(state.weightsVersion, hash, signal);
    if (body === undefined) {
      return false;
    }
    try {
      await this._checkUnchanged(state, signal);
      await putBlob(http, this._target.address, formatKvPath(hash), body, signal);
    } finally {
      body.destroy();
    }
    this._exported.add(hash);
    return true;
  }

  private async _exportChunk(
    state: IEngineState,
    hash: string,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { store, http } = this._services;
    const body = await openBlob(http, this._target.address, formatKvPath(hash), signal);
    if (body === undefined) {
      return false;
    }
    try {
      const checked = this._readChecked(body, state, signal);
      await store.putChunk(state.weightsVersion, hash, checked, signal);
    } finally {
      body.destroy();
    }
    this._exported.add(hash);
    return true;
  }

  /** Breaks the upload off before its end when the engine's weights changed during the read. */
  private async *_readChecked(
    body: Readable,
    state: IEngineState,
    signal: AbortSignal,
  ): AsyncGenerator<Uint8Array> {
    for await (const part of body as AsyncIterable<Uint8Array>) {
      yield part;
    }
    await this._checkUnchanged(state, signal);
  }

  private async _checkUnchanged(state: IEngineState, signal: AbortSignal): Promise<void> {
    const current = await this._services.engine.readState(signal);
    const isUnchanged =
      current?.incarnation === state.incarnation &&
      current.weightsVersion === state.weightsVersion &&
      current.highestFence === state.highestFence;
    if (!isUnchanged) {
      throw new Error('the engine has restarted or has got a command during the transfer');
    }
  }
}

function describeLife(state: IEngineState): string {
  return `${state.incarnation}/${state.weightsVersion}`;
}

function formatKvPath(hash: string): string {
  return `/kv/${encodeURIComponent(hash)}`;
}
