/**
 * Task that exports hot chunks to the KV-cache store and imports them into an engine with an empty cache.
 */
import type { Readable } from 'node:stream';
import type { Dispatcher } from 'undici';
import type { IClock } from '../common/Clock.js';
import { describeError, type ILog } from '../common/Log.js';
import { isAborted, runPeriodically, sleep } from '../common/Tasks.js';
import type { IEngineClient, IEngineState } from './EngineClient.js';
import type { HotChunks } from './HotChunks.js';
import { openBlob, putBlob, type KvCacheStore } from './KvCacheStore.js';

const EXCHANGE_INTERVAL_MS = 2_000;

/** Limit of the hot chunks that are exported, listed and imported for one engine. */
const MAX_HOT_CHUNKS = 64;

/**
 * The roster of a region with 1,000 engines takes about 200 KB. Reading it at this interval, and once
 * more for each incarnation of the engine, takes less than 1 KB/s.
 */
const LISTS_READ_INTERVAL_MS = 300_000;

/** Limit of the peers, chosen at random, whose lists are read at a time. */
const MAX_PEER_LISTS = 8;

/** Bound the bandwidth that the exchange takes from requests. */
const MAX_CONCURRENT_TRANSFERS = 2;
const MAX_CHUNKS_PER_SECOND = 20;

/** The engine whose chunks are exchanged. */
export interface IExchangeTarget {
  readonly id: string;
  readonly address: string;
  /** Returns the ids of the other engines of the model. */
  listPeers(signal: AbortSignal): Promise<readonly string[]>;
}

export interface IExchangeServices {
  readonly store: KvCacheStore;
  readonly engine: IEngineClient;
  readonly hotChunks: HotChunks;
  readonly http: Dispatcher;
  readonly clock: IClock;
  readonly log: ILog;
}

/** Number of chunks that one round transferred. */
export interface IExchangeRound {
  readonly imported: number;
  readonly exported: number;
}

/**
 * Transfers hot chunks between one engine and the KV-cache store in the background; no request waits for
 * it. Chunk hashes differ between client accounts and weights versions, and each transfer checks that the
 * engine still has the weights version that is named in the path of the store.
 */
export class KvCacheExchange {
  /** Incarnation and weights of the engine at the last import (see `formatEngineKey`). */
  private _importedEngineKey = '';
  /** Weights version to which `_hashesInStore` and `_lastWrittenList` apply. */
  private _storeVersion = '';
  /** Chunks that this sidecar exported or imported, so that the store has them. */
  private readonly _hashesInStore = new Set<string>();
  private _lastWrittenList = '';
  /** Hashes of the chunks that this target and some peers have listed as exported. */
  private _listedHashes: readonly string[] = [];
  private _listsReadAt = -Infinity;

  constructor(
    private readonly _target: IExchangeTarget,
    private readonly _services: IExchangeServices,
    private readonly _random: () => number = Math.random,
  ) {}

  /** Runs a round at each interval until the signal is aborted. */
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

  /**
   * Runs one round: imports if the engine restarted or loaded weights, then exports chunks that became
   * hot.
   */
  public async exchangeOnce(signal: AbortSignal): Promise<IExchangeRound> {
    const state = await this._services.engine.readState(signal);
    if (state === undefined || state.weightsVersion === '') {
      return { imported: 0, exported: 0 };
    }
    if (state.weightsVersion !== this._storeVersion) {
      this._storeVersion = state.weightsVersion;
      this._hashesInStore.clear();
      this._lastWrittenList = '';
    }
    const now = this._services.clock.now();
    if (
      this._importedEngineKey !== formatEngineKey(state) ||
      now - this._listsReadAt >= LISTS_READ_INTERVAL_MS
    ) {
      this._listedHashes = await this._readLists(state.weightsVersion, signal);
      this._listsReadAt = now;
    }
    const hot = this._services.hotChunks.list(MAX_HOT_CHUNKS, now);
    const imported = await this._importMissing(state, [...hot, ...this._listedHashes], signal);
    const exported = await this._exportHot(state, hot, new Set(this._listedHashes), signal);
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
    // The first chunks of all lists come before the second ones, as each list begins with its hottest chunk.
    const maxLength = Math.max(0, ...lists.map(({ length }) => length));
    const ranked = Array.from({ length: maxLength }, (_, rank) =>
      lists.flatMap((list) => list.slice(rank, rank + 1)),
    );
    return ranked.flat();
  }

  private async _importMissing(
    state: IEngineState,
    candidates: readonly string[],
    signal: AbortSignal,
  ): Promise<number> {
    const engineKey = formatEngineKey(state);
    if (this._importedEngineKey === engineKey) {
      return 0;
    }
    const missing = [...new Set(candidates)].filter(
      (hash) => !this._services.hotChunks.isCached(hash),
    );
    const chosen = missing.slice(0, MAX_HOT_CHUNKS);
    const imported = await this._transferAll(chosen, signal, (hash) =>
      this._importChunk(state, hash, signal),
    );
    this._importedEngineKey = engineKey;
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
      (hash) =>
        this._services.hotChunks.isCached(hash) &&
        !this._hashesInStore.has(hash) &&
        !inStore.has(hash),
    );
    const exported = await this._transferAll(missing, signal, (hash) =>
      this._exportChunk(state, hash, signal),
    );
    const listed = hot.filter((hash) => this._hashesInStore.has(hash) || inStore.has(hash));
    if (listed.length > 0 && listed.join() !== this._lastWrittenList) {
      await this._services.store.putList(version, this._target.id, listed, signal);
      this._lastWrittenList = listed.join();
    }
    return exported;
  }

  /**
   * Transfers chunks within the bandwidth bounds. Returns how many succeeded; failures are only logged.
   */
  private async _transferAll(
    hashes: readonly string[],
    signal: AbortSignal,
    transfer: (hash: string) => Promise<boolean>,
  ): Promise<number> {
    const queue = [...hashes];
    let transferredCount = 0;
    const runWorker = async (): Promise<void> => {
      for (let hash = queue.shift(); hash !== undefined; hash = queue.shift()) {
        if (isAborted(signal)) {
          return;
        }
        const isTransferred = await transfer(hash).catch((error: unknown) => {
          this._services.log.debug('chunk not transferred', { hash, error: describeError(error) });
          return false;
        });
        transferredCount += isTransferred ? 1 : 0;
        await sleep((MAX_CONCURRENT_TRANSFERS * 1_000) / MAX_CHUNKS_PER_SECOND, signal);
      }
    };
    await Promise.all(Array.from({ length: MAX_CONCURRENT_TRANSFERS }, runWorker));
    return transferredCount;
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
      await this._checkEngineUnchanged(state, signal);
      await putBlob(http, this._target.address, formatKvPath(hash), body, signal);
    } finally {
      body.destroy();
    }
    this._hashesInStore.add(hash);
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
      const verified = this._readVerified(body, state, signal);
      await store.putChunk(state.weightsVersion, hash, verified, signal);
    } finally {
      body.destroy();
    }
    this._hashesInStore.add(hash);
    return true;
  }

  /**
   * Throws before the end of the upload, so that it is aborted, when the engine's weights changed
   * meanwhile.
   */
  private async *_readVerified(
    body: Readable,
    state: IEngineState,
    signal: AbortSignal,
  ): AsyncGenerator<Uint8Array> {
    for await (const part of body as AsyncIterable<Uint8Array>) {
      yield part;
    }
    await this._checkEngineUnchanged(state, signal);
  }

  private async _checkEngineUnchanged(state: IEngineState, signal: AbortSignal): Promise<void> {
    const current = await this._services.engine.readState(signal);
    const isUnchanged =
      current?.incarnation === state.incarnation &&
      current.weightsVersion === state.weightsVersion &&
      current.highestFence === state.highestFence;
    if (!isUnchanged) {
      throw new Error('the engine restarted or received a command during the transfer');
    }
  }
}

function formatEngineKey(state: IEngineState): string {
  return `${state.incarnation}/${state.weightsVersion}`;
}

function formatKvPath(hash: string): string {
  return `/kv/${encodeURIComponent(hash)}`;
}
