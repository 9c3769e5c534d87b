/** Running totals of the work that all processes report for each target. */
import { create } from '@bufbuild/protobuf';
import { clampToUint32 } from '../common/Uint32.js';
import { TargetWorkSchema, type TargetWork } from '../gen/redwingwharf/v1/fleet_pb.js';

interface ITotal {
  open: number;
  pendingTokens: number;
  longStreams: number;
}

const NO_WORK: Readonly<ITotal> = { open: 0, pendingTokens: 0, longStreams: 0 };

/** Costs in proportion to what one process reports, whatever the number of processes. */
export class WorkTotals {
  private readonly _totals = new Map<string, ITotal>();

  /** Replaces the last report of a process by its next one; either may be empty. */
  public replace(previous: readonly TargetWork[], next: readonly TargetWork[]): void {
    for (const work of next) {
      this._add(work, 1);
    }
    for (const work of previous) {
      this._add(work, -1);
    }
  }

  public get(target: string): Readonly<ITotal> {
    return this._totals.get(target) ?? NO_WORK;
  }

  /** The totals without the report of one process; targets without work of others are left out. */
  public sumOfOthers(own: readonly TargetWork[]): TargetWork[] {
    const ownByTarget = new Map(own.map((work) => [work.id, work]));
    const sums: TargetWork[] = [];
    for (const [id, total] of this._totals) {
      const excluded = ownByTarget.get(id) ?? NO_WORK;
      const open = total.open - excluded.open;
      if (open > 0) {
        const pendingTokens = total.pendingTokens - excluded.pendingTokens;
        const longStreams = total.longStreams - excluded.longStreams;
        sums.push(
          create(TargetWorkSchema, {
            id,
            open: clampToUint32(open),
            pendingTokens: clampToUint32(pendingTokens),
            longStreams: clampToUint32(longStreams),
          }),
        );
      }
    }
    return sums;
  }

  private _add({ id, open, pendingTokens, longStreams }: TargetWork, sign: 1 | -1): void {
    const total = this._totals.get(id) ?? { ...NO_WORK };
    total.open += sign * open;
    total.pendingTokens += sign * pendingTokens;
    total.longStreams += sign * longStreams;
    if (total.open === 0) {
      this._totals.delete(id);
    } else {
      this._totals.set(id, total);
    }
  }
}
