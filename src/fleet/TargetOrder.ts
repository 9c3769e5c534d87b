/** Orders the announcements of one target, independently of the order in which they arrive. */
import { TargetPhase, type TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';

/**
 * True if `left` is later than `right`: it comes from a later start of the target, or from the same start
 * with a higher sequence. A target that was announced as gone stays gone until it restarts.
 */
export function isLater(left: TargetRecord, right: TargetRecord): boolean {
  if (left.born !== right.born) {
    return left.born > right.born;
  }
  if (right.phase === TargetPhase.GONE || left.phase === TargetPhase.GONE) {
    return right.phase !== TargetPhase.GONE;
  }
  return left.sequence > right.sequence;
}

/**
 * True if a process that has `right` must get `left`: start, phase, address, service, slots,
 * software version or weights differ.
 */
export function needsPropagation(left: TargetRecord, right: TargetRecord): boolean {
  return (
    left.born !== right.born ||
    left.phase !== right.phase ||
    left.address !== right.address ||
    left.service !== right.service ||
    left.slots !== right.slots ||
    left.softwareVersion !== right.softwareVersion ||
    left.models.length !== right.models.length ||
    left.models.some(
      ({ name, version }) =>
        !right.models.some((held) => held.name === name && held.version === version),
    )
  );
}

/**
 * Keeps the software version of a target, which does not change before its next start, where a later record
 * comes from a process of an older build and so lacks it.
 */
export function keepSoftwareVersion(later: TargetRecord, earlier: TargetRecord): void {
  if (later.softwareVersion === '' && later.born === earlier.born) {
    later.softwareVersion = earlier.softwareVersion;
  }
}
