/** Counts the checks and violations of each invariant. */

/** Names as in docs/soak.md. */
export const INVARIANTS = [
  'a_once',
  'b_not_run',
  'c_answers',
  'd_withdrawn',
  'e_rate',
  'f_configuration',
  'g_key_leak',
  'h_no_new_work',
  'i_graceful',
  'j_cache',
  'k_restart',
] as const;

export type Invariant = (typeof INVARIANTS)[number];

interface ICount {
  checks: number;
  violations: number;
}

/** Details printed for each invariant. */
const MAX_DETAILS = 5;

export class Invariants<T extends string = Invariant> {
  private readonly _counts = new Map<T, ICount>();

  constructor(
    private readonly _report: (line: string) => void,
    names: readonly T[],
  ) {
    for (const name of names) {
      this._counts.set(name, { checks: 0, violations: 0 });
    }
  }

  public get violations(): number {
    return [...this._counts.values()].reduce((sum, { violations }) => sum + violations, 0);
  }

  public isViolated(name: T): boolean {
    return (this._counts.get(name)?.violations ?? 0) > 0;
  }

  /** Records one check; the detail is only built for a violation. */
  public check(name: T, isKept: boolean, describe: () => string): void {
    const count = this._counts.get(name) ?? { checks: 0, violations: 0 };
    count.checks += 1;
    if (isKept) {
      return;
    }
    count.violations += 1;
    if (count.violations <= MAX_DETAILS) {
      this._report(`VIOLATION ${name}: ${describe()}`);
    }
  }

  /** Invariants that were checked less often than a run needs to prove something. */
  public listUnproved(least: Readonly<Record<T, number>>): readonly T[] {
    return [...this._counts].flatMap(([name, { checks }]) => (checks < least[name] ? [name] : []));
  }

  public toJSON(): Record<string, ICount> {
    return Object.fromEntries(this._counts);
  }
}
