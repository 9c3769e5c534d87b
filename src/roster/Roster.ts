/** The targets that announced themselves to this entry. */
import type { AnnounceRequest } from '../gen/redwingwharf/v1/control_pb.js';
import { Emitter } from '../common/Lifecycle.js';
import { encodeHex } from '../common/Hashes.js';

/** A target without an announcement for this long is dropped: four announcements were missed. */
export const TARGET_EXPIRY_MS = 2_000;

/** A target as its last announcement described it. */
export interface IRosterTarget {
  readonly announcement: AnnounceRequest;
  readonly sidecarIncarnation: string;
  readonly announcedAt: number;
}

/** What became of a target; the policy drops evidence by it. */
export type RosterChange =
  | { readonly kind: 'announced'; readonly target: IRosterTarget }
  | { readonly kind: 'expired'; readonly target: IRosterTarget };

/**
 * Keeps the last announcement of each target for `TARGET_EXPIRY_MS`.
 *
 * @example
 * roster.announce(request, clock.now());
 * roster.listTargets('lace', clock.now());
 */
export class Roster {
  private readonly _targets = new Map<string, IRosterTarget>();
  private readonly _changeEmitter = new Emitter<RosterChange>();

  public readonly onChange = this._changeEmitter.onFire;

  /** Records an announcement. One of an earlier sidecar life or out of order is ignored. */
  public announce(announcement: AnnounceRequest, now: number): void {
    const known = this._targets.get(announcement.target);
    const sidecarIncarnation = encodeHex(announcement.sidecarIncarnation);
    if (
      known?.sidecarIncarnation === sidecarIncarnation &&
      announcement.sequence <= known.announcement.sequence
    ) {
      return;
    }
    const target = { announcement, sidecarIncarnation, announcedAt: now };
    this._targets.set(announcement.target, target);
    this._changeEmitter.fire({ kind: 'announced', target });
  }

  /** Targets of a service that may get new work now. */
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
