/** Selects faults from the seed and injects them, one or two at a time. */
import { setTimeout as delay } from 'node:timers/promises';
import { FAULTS, type IFault, type IFaultContext } from './Faults.js';
import type { Random } from './Random.js';

/** Probability that a round injects two faults at the same time. */
const FAULT_PAIR_PROBABILITY = 0.5;

/**
 * Faults that interrupt entries or the links between them, and thus the consensus of the control
 * members.
 */
const CONTROL_FAULT_KINDS = [
  'kill_entry',
  'lose_disk',
  'freeze_entry',
  'cut_link',
  'isolate_entry',
  'restart_all',
  'graceful_restart',
];

/** A fault and the process or resource that it acts on. */
interface ISelectedFault {
  readonly fault: IFault;
  readonly subject: string;
}

/**
 * Injects random faults until it is stopped. Two faults run at the same time only if they act on different
 * subjects.
 */
export class FaultSchedule {
  /** Number of injected faults, by kind. */
  public readonly countsByKind = new Map<string, number>();
  private readonly _runningKinds = new Set<string>();

  constructor(
    private readonly _random: Random,
    private readonly _report: (line: string) => void,
    /** Kinds of faults to select from; all kinds if empty. */
    private readonly _kinds: readonly string[],
  ) {}

  /** True while at most one kind of fault that interrupts the control members is running. */
  public isOnlyControlFault(): boolean {
    return [...this._runningKinds].filter((kind) => CONTROL_FAULT_KINDS.includes(kind)).length <= 1;
  }

  /** Injects faults until the signal is aborted; the last faults are undone before it returns. */
  public async run(context: IFaultContext, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const first = this._selectFault(context, []);
      const isPair = first !== undefined && this._random.next() < FAULT_PAIR_PROBABILITY;
      const second = isPair
        ? this._selectFault(context, this._listLockedSubjects(context, first))
        : undefined;
      const selected = [first, second].filter((each) => each !== undefined);
      await Promise.all(selected.map((each) => this._inject(context, each)));
      await delay(this._random.nextBetween(300, 2_000));
    }
  }

  /**
   * Selects a fault that needs none of the locked subjects; undefined if 100 random attempts found
   * none.
   */
  private _selectFault(
    context: IFaultContext,
    lockedSubjects: readonly string[],
  ): ISelectedFault | undefined {
    const faults = FAULTS.filter(
      ({ kind }) => this._kinds.length === 0 || this._kinds.includes(kind),
    );
    for (let attempt = 0; attempt < 100; attempt++) {
      const fault = this._random.pick(faults);
      const subject = this._random.pick(fault.listSubjects(context.deployment));
      const candidate = { fault, subject };
      if (
        !this._listLockedSubjects(context, candidate).some((name) => lockedSubjects.includes(name))
      ) {
        return candidate;
      }
    }
    return undefined;
  }

  /** Subjects that no other fault may act on while the fault runs. */
  private _listLockedSubjects(
    { deployment }: IFaultContext,
    { fault, subject }: ISelectedFault,
  ): string[] {
    return [subject, ...(fault.listFurtherSubjects?.(deployment) ?? [])];
  }

  private async _inject(context: IFaultContext, { fault, subject }: ISelectedFault): Promise<void> {
    const { kind } = fault;
    this.countsByKind.set(kind, (this.countsByKind.get(kind) ?? 0) + 1);
    this._report(`fault ${kind} ${subject}`);
    this._runningKinds.add(kind);
    try {
      await fault.run(context, subject);
    } finally {
      this._runningKinds.delete(kind);
    }
  }
}
