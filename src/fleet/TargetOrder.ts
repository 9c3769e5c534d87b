/** Order of the announcements of one target, whatever way they came. */
import { TargetPhase, type TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';

/**
 * True if `left` says something later than `right`: from a later start of the target, or from the same
 * start with a higher sequence. A target that was announced as gone stays gone until it starts anew.
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

/** True if a process that knows `right` must learn `left`: more than the sequence differs. */
export function hasNews(left: TargetRecord, right: TargetRecord): boolean {
  return (
    left.born !== right.born ||
    left.phase !== right.phase ||
    left.address !== right.address ||
    left.service !== right.service ||
    left.slots !== right.slots ||
    left.models.length !== right.models.length ||
    left.models.some(
      ({ name, version }) =>
        !right.models.some((held) => held.name === name && held.version === version),
    )
  );
}
