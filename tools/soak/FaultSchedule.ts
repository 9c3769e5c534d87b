/** Draws faults from the seed and runs them, singly and two at a time. */
import { setTimeout as delay } from 'node:timers/promises';
import { FAULTS, type IFault, type IFaultContext } from './Faults.js';
import type { Random } from './Random.js';

/** Share of rounds with two faults at a time. */
const PAIR_SHARE = 0.5;

/** Faults that stop entries or the links between them, and with them control. */
const CONTROL_KINDS = [
  'kill_entry',
  'lose_disk',
  'freeze_entry',
  'cut_link',
  'isolate_entry',
  'restart_all',
  'graceful_restart',
];

interface IPicked {
  readonly fault: IFault;
  readonly subject: string;
}

export class FaultSchedule {
  public readonly counts = new Map<string, number>();
  private readonly _running = new Set<string>();

  constructor(
    private readonly _random: Random,
    private readonly _report: (line: string) => void,
    /** Kinds to draw from; all if empty. */
    private readonly _kinds: readonly string[],
  ) {}

  /** True while at most one fault runs that disturbs control. */
  public isAlone(): boolean {
    return [...this._running].filter((kind) => CONTROL_KINDS.includes(kind)).length <= 1;
  }

  /** Injects faults until the signal is aborted. */
  public async run(context: IFaultContext, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const first = this._pick(context, []);
      const isPair = first !== undefined && this._random.next() < PAIR_SHARE;
      const second = isPair ? this._pick(context, this._listClaims(context, first)) : undefined;
      const picked = [first, second].filter((each) => each !== undefined);
      await Promise.all(picked.map((each) => this._inject(context, each)));
      await delay(this._random.nextBetween(300, 2_000));
    }
  }

  private _pick(context: IFaultContext, taken: readonly string[]): IPicked | undefined {
    const faults = FAULTS.filter(
      ({ kind }) => this._kinds.length === 0 || this._kinds.includes(kind),
    );
    for (let attempt = 0; attempt < 100; attempt++) {
      const fault = this._random.pick(faults);
      const subject = this._random.pick(fault.subjects(context.deployment));
      const picked = { fault, subject };
      if (!this._listClaims(context, picked).some((name) => taken.includes(name))) {
        return picked;
      }
    }
    return undefined;
  }

  private _listClaims({ deployment }: IFaultContext, { fault, subject }: IPicked): string[] {
    return [subject, ...(fault.claims?.(deployment) ?? [])];
  }

  private async _inject(context: IFaultContext, { fault, subject }: IPicked): Promise<void> {
    const { kind } = fault;
    this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1);
    this._report(`fault ${kind} ${subject}`);
    this._running.add(kind);
    try {
      await fault.run(context, subject);
    } finally {
      this._running.delete(kind);
    }
  }
}
