/** Announces the target to the entries, with one task for each entry. */
import { create } from '@bufbuild/protobuf';
import type { IClock } from '../common/Clock.js';
import { describeError, type ILog } from '../common/Log.js';
import type { RpcClients } from '../common/Rpc.js';
import { addJitter, isAborted, sleep } from '../common/Tasks.js';
import { isMechanismDisabled } from '../common/TestSwitches.js';
import {
  AnnounceRequestSchema,
  RosterService,
  TargetKind,
  type AnnounceRequest,
} from '../gen/redwingwharf/v1/control_pb.js';
import type { ITargetSettings } from '../settings/Types.js';
import type { ITargetWatcher } from './Types.js';
import { addWaitEstimate, type PromptQueue } from './PromptQueue.js';
import type { UsedChunks } from './UsedChunks.js';

/** An entry removes a target after four intervals without an announcement. */
const ANNOUNCE_INTERVAL_MS = 500;
const ANNOUNCE_TIMEOUT_MS = 400;

/** Limit of the used hashes in one announcement, which take 128 bytes. */
const MAX_USED_HASHES = 8;

/** Limit of the evicted hashes in one announcement; bounds the announcement to about 700 bytes. */
const MAX_EVICTED_HASHES = 32;

export interface IAnnouncerOptions {
  readonly target: ITargetSettings;
  readonly dataCentre: string;
  /** Internal address of this sidecar. */
  readonly address: string;
  readonly sidecarIncarnation: Uint8Array;
  readonly announceTo: readonly string[];
}

/**
 * Sends each entry the state of the target, its load, and the evicted and used chunks, at an interval with
 * jitter and at once after `announceNow`.
 */
export class Announcer {
  private readonly _wakers = new Set<AbortController>();
  private readonly _pendingEvictions = new Map<string, Uint8Array[]>();
  private readonly _announcedAt = new Map<string, number>();
  private _sequence = 0;
  private _changeCount = 0;
  private _isDrainRequested = false;
  private _isLoading = false;

  constructor(
    private readonly _options: IAnnouncerOptions,
    private readonly _watcher: ITargetWatcher,
    private readonly _usedChunks: UsedChunks,
    /** Present beside an engine. */
    private readonly _prompts: PromptQueue | undefined,
    private readonly _clients: RpcClients,
    private readonly _clock: IClock,
    private readonly _log: ILog,
  ) {}

  /** True while the target must get no new requests. */
  public get isDraining(): boolean {
    return this._isDrainRequested || this._isLoading;
  }

  /** True when the target is being taken out of service, as opposed to loading weights. */
  public get isDrainRequested(): boolean {
    return this._isDrainRequested;
  }

  /** Announces the target as draining from now on. */
  public startDraining(): void {
    TEST_ONLY: if (isMechanismDisabled('drain-notice')) return;
    this._isDrainRequested = true;
    this.announceNow();
  }

  /** Sets whether the target is announced as draining because it loads weights. */
  public setLoading(isLoading: boolean): void {
    this._isLoading = isLoading;
    this.announceNow();
  }

  /** Announces to all entries now instead of at the end of the interval. */
  public announceNow(): void {
    this._changeCount += 1;
    for (const waker of this._wakers) {
      waker.abort();
    }
  }

  /** Announces until the signal is aborted. */
  public async run(signal: AbortSignal): Promise<void> {
    await Promise.all(this._options.announceTo.map((entry) => this._runEntry(entry, signal)));
  }

  private async _runEntry(entry: string, signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      const announcedChangeCount = this._changeCount;
      try {
        const client = this._clients.get(RosterService, entry);
        await client.announce(this._buildAnnouncement(entry), {
          signal,
          timeoutMs: ANNOUNCE_TIMEOUT_MS,
        });
      } catch (error) {
        this._log.debug('announcement failed', { entry, error: describeError(error) });
      }
      if (this._changeCount !== announcedChangeCount) {
        // The state changed while the announcement was being sent.
        continue;
      }
      const waker = new AbortController();
      this._wakers.add(waker);
      await sleep(addJitter(ANNOUNCE_INTERVAL_MS), signal, waker.signal);
      this._wakers.delete(waker);
    }
  }

  private _buildAnnouncement(entry: string): AnnounceRequest {
    const { target, dataCentre, address, sidecarIncarnation } = this._options;
    const state = this._watcher.state;
    this._sequence += 1;
    return create(AnnounceRequestSchema, {
      target: target.id,
      service: target.service,
      kind: target.kind === 'engine' ? TargetKind.ENGINE : TargetKind.PLAIN,
      dataCentre,
      address,
      sidecarIncarnation,
      targetIncarnation: state.incarnation,
      model: target.model ?? '',
      weightsVersion: state.weightsVersion,
      draining: this.isDraining,
      healthy: state.isHealthy,
      load: addWaitEstimate(state.load, this._prompts, this._clock.now()),
      evicted: this._takeEvictions(entry),
      used: this._listUsedHashes(entry),
      sequence: BigInt(this._sequence),
    });
  }

  /** Lists the hot chunks used since the last announcement to this entry. */
  private _listUsedHashes(entry: string): Uint8Array[] {
    const since = this._announcedAt.get(entry) ?? -Infinity;
    this._announcedAt.set(entry, this._clock.now());
    return this._usedChunks.listSince(since, MAX_USED_HASHES);
  }

  /** Removes and returns the next evictions for this entry. Each entry gets each eviction at most once. */
  private _takeEvictions(entry: string): Uint8Array[] {
    const evicted = this._watcher.takeEvicted(MAX_EVICTED_HASHES);
    for (const other of this._options.announceTo) {
      const pending = this._pendingEvictions.get(other) ?? [];
      pending.push(...evicted);
      pending.splice(0, pending.length - MAX_EVICTED_HASHES * 2);
      this._pendingEvictions.set(other, pending);
    }
    return this._pendingEvictions.get(entry)?.splice(0, MAX_EVICTED_HASHES) ?? [];
  }
}
