/** When a request with quarantined parts may be let through, to find out whether the parts crash targets. */
import { formatParts, type QuarantineStrength } from './CrashEvidence.js';

/** Time from the first refusal to the first probe. Parts that only many crashes speak against may well be sound. */
const FIRST_DELAY_MS: Readonly<Record<QuarantineStrength, number>> = {
  blamed: 20_000,
  counted: 0,
};

/**
 * Times to the second and third probe, after one that neither settled nor crashed its target, as when its client
 * disconnected. The users allow three requests a day after the fifth crash.
 */
const FURTHER_DELAYS_MS: readonly number[] = [120_000, 480_000];

/** Probes of which none settled, after which there is no other one. */
export const MAX_PROBES = 1 + FURTHER_DELAYS_MS.length;

/** Supplies the permits to let a request with quarantined parts through. */
export interface IProbeSource {
  /** Called for a request that is refused otherwise. Each permit is given once. */
  takePermit(parts: readonly number[], now: number): boolean;
}

/**
 * Time from the first refusal, or else from the last probe, to the next one; infinite if there is none.
 *
 * @param count probes so far
 */
export function computeProbeDelay(strength: QuarantineStrength, count: number): number {
  return count === 0
    ? FIRST_DELAY_MS[strength]
    : (FURTHER_DELAYS_MS[count - 1] ?? Number.POSITIVE_INFINITY);
}

interface IProbeTimes {
  since: number;
  count: number;
}

/** Parts whose times are remembered; the oldest are dropped. */
const MAX_ENTRIES = 64;

/** Gives permits by the schedule alone, for a process that is the only one to send requests. */
export class SoleProbes implements IProbeSource {
  private readonly _times = new Map<string, IProbeTimes>();

  public takePermit(parts: readonly number[], now: number): boolean {
    const key = formatParts(parts);
    const times = this._times.get(key) ?? { since: now, count: 0 };
    this._times.set(key, times);
    const [oldest] = this._times.keys();
    if (oldest !== undefined && this._times.size > MAX_ENTRIES) {
      this._times.delete(oldest);
    }
    if (now - times.since < computeProbeDelay('blamed', times.count)) {
      return false;
    }
    times.since = now;
    times.count += 1;
    return true;
  }
}
