/** Tasks that announce the target to the entries, one for each entry. */
import { create } from '@bufbuild/protobuf';
import type { IClock } from '../common/Clock.js';
import { describeError, type ILog } from '../common/Log.js';
import type { RpcClients } from '../common/Rpc.js';
import { addJitter, isAborted, sleep } from '../common/Tasks.js';
import { isBroken } from '../common/TestSwitches.js';
import {
  AnnounceRequestSchema,
  RosterService,
  TargetKind,
  type AnnounceRequest,
} from '../gen/redwingwharf/v1/control_pb.js';
import type { ITargetRole } from '../settings/Types.js';
import type { ITargetWatcher } from './Types.js';
import { addWait, type PromptQueue } from './PromptQueue.js';
import type { UsedChunks } from './UsedChunks.js';

/** Four announcements fit into the expiry at the entry. */
const ANNOUNCE_INTERVAL_MS = 500;
const ANNOUNCE_TIMEOUT_MS = 400;

/** Used hashes in one announcement: 128 bytes. */
const MAX_USED_HASHES = 8;

/** Evicted hashes in one announcement: bounds it to about 700 bytes. */
const MAX_EVICTED_HASHES = 32;

export interface IAnnouncerOptions {
  readonly target: ITargetRole;
  readonly dataCentre: string;
  /** Internal address of this sidecar. */
  readonly address: string;
  readonly sidecarIncarnation: Uint8Array;
  readonly announceTo: readonly string[];
}

/** Announces state and evictions. `notify` sends a change at once. */
export class Announcer {
  private readonly _wakers = new Set<AbortController>();
  private readonly _pendingEvictions = new Map<string, Uint8Array[]>();
  private readonly _announcedAt = new Map<string, number>();
  private _sequence = 0;
  private _changes = 0;
  private _isLeaving = false;
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

  /** True while the target gets no new work. */
  public get isDraining(): boolean {
    return this._isLeaving || this._isLoading;
  }

  /** True when the target is being taken out of service. */
  public get isLeaving(): boolean {
    return this._isLeaving;
  }

  /** Tells all entries that the target gets no new work. */
  public startDraining(): void {
    TEST_ONLY: if (isBroken('drain-notice')) return;
    this._isLeaving = true;
    this.notify();
  }

  /** Tells all entries that the target gets no new work while it loads weights. */
  public setLoading(isLoading: boolean): void {
    this._isLoading = isLoading;
    this.notify();
  }

  /** Announces now instead of at the next interval. */
  public notify(): void {
    this._changes += 1;
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
      const announcedChanges = this._changes;
      try {
        const client = this._clients.get(RosterService, entry);
        await client.announce(this._buildAnnouncement(entry), {
          signal,
          timeoutMs: ANNOUNCE_TIMEOUT_MS,
        });
      } catch (error) {
        this._log.debug('announcement failed', { entry, error: describeError(error) });
      }
      if (this._changes !== announcedChanges) {
        // The state has changed while the announcement was under way.
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
      load: addWait(state.load, this._prompts, this._clock.now()),
      evicted: this._takeEvictions(entry),
      used: this._listUsed(entry),
      sequence: BigInt(this._sequence),
    });
  }

  private _listUsed(entry: string): Uint8Array[] {
    const since = this._announcedAt.get(entry) ?? -Infinity;
    this._announcedAt.set(entry, this._clock.now());
    return this._usedChunks.listSince(since, MAX_USED_HASHES);
  }

  /** Each entry gets each eviction once. */
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
