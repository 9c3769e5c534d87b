/** Keeps track of the targets that announce themselves to this entry. */
import type { AnnounceRequest } from '../gen/redwingwharf/v1/control_pb.js';
import { Emitter } from '../common/Lifecycle.js';
import { encodeHex } from '../common/Hashes.js';

/** A target expires when it has not announced itself for this long, which is four missed announcements. */
export const TARGET_EXPIRY_MS = 2_000;

/** A target as its last announcement described it. */
export interface IRosterTarget {
  readonly announcement: AnnounceRequest;
  /** In hexadecimal. */
  readonly sidecarIncarnation: string;
  /** Arrival of the announcement in milliseconds of this entry's monotonic clock. */
  readonly announcedAt: number;
}

/** Change of a target's record; the policy discards its evidence about the target accordingly. */
export type RosterChange =
  | { readonly kind: 'announced'; readonly target: IRosterTarget }
  | { readonly kind: 'expired'; readonly target: IRosterTarget };

/**
 * Stores the last announcement of each target and expires it after `TARGET_EXPIRY_MS`. Expired targets are
 * removed by the next call that reads the roster.
 *
 * @example
 * roster.announce(request, clock.now());
 * roster.listTargets('lace', clock.now());
 */
export class Roster {
  private readonly _targets = new Map<string, IRosterTarget>();
  private readonly _changeEmitter = new Emitter<RosterChange>();

  public readonly onChange = this._changeEmitter.onFire;

  /**
   * Records an announcement; ignored if it is not newer than the last one of the same sidecar incarnation.
   */
  public announce(announcement: AnnounceRequest, now: number): void {
    const existing = this._targets.get(announcement.target);
    const sidecarIncarnation = encodeHex(announcement.sidecarIncarnation);
    if (
      existing?.sidecarIncarnation === sidecarIncarnation &&
      announcement.sequence <= existing.announcement.sequence
    ) {
      return;
    }
    const target = { announcement, sidecarIncarnation, announcedAt: now };
    this._targets.set(announcement.target, target);
    this._changeEmitter.fire({ kind: 'announced', target });
  }

  /** Targets of a service that may get new requests: healthy, not draining and not expired. */
  public listTargets(service: string, now: number): IRosterTarget[] {
    return this.listAll(now).filter(
      ({ announcement }) =>
        announcement.service === service && announcement.healthy && !announcement.draining,
    );
  }

  /** All targets that have not expired. */
  public listAll(now: number): IRosterTarget[] {
    this._expireTargets(now);
    return [...this._targets.values()];
  }

  public getTarget(id: string, now: number): IRosterTarget | undefined {
    this._expireTargets(now);
    return this._targets.get(id);
  }

  private _expireTargets(now: number): void {
    for (const [id, target] of this._targets) {
      if (now - target.announcedAt > TARGET_EXPIRY_MS) {
        this._targets.delete(id);
        this._changeEmitter.fire({ kind: 'expired', target });
      }
    }
  }
}
