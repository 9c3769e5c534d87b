/** Invariants of the soak, and the counts of their checks and violations. */

/** Names of the invariants, which docs/soak.md describes. */
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

interface ICheckCounts {
  checks: number;
  violations: number;
}

/** Violations of one invariant that are reported in detail; further ones are only counted. */
const MAX_REPORTED_VIOLATIONS = 5;

/** Counts the checks and violations of each invariant and reports violations. */
export class Invariants<T extends string = Invariant> {
  private readonly _counts = new Map<T, ICheckCounts>();

  constructor(
    private readonly _report: (line: string) => void,
    names: readonly T[],
  ) {
    for (const name of names) {
      this._counts.set(name, { checks: 0, violations: 0 });
    }
  }

  /** Number of violations of all invariants. */
  public get violations(): number {
    return [...this._counts.values()].reduce((sum, { violations }) => sum + violations, 0);
  }

  public isViolated(name: T): boolean {
    return (this._counts.get(name)?.violations ?? 0) > 0;
  }

  /** Counts one check; `describe` is only called for a violation that is reported. */
  public check(name: T, isSatisfied: boolean, describe: () => string): void {
    const count = this._counts.get(name) ?? { checks: 0, violations: 0 };
    count.checks += 1;
    if (isSatisfied) {
      return;
    }
    count.violations += 1;
    if (count.violations <= MAX_REPORTED_VIOLATIONS) {
      this._report(`VIOLATION ${name}: ${describe()}`);
    }
  }

  /** Lists the invariants with fewer checks than the given minimum, below which a run proves nothing. */
  public listInsufficientlyChecked(minChecks: Readonly<Record<T, number>>): readonly T[] {
    return [...this._counts].flatMap(([name, { checks }]) =>
      checks < minChecks[name] ? [name] : [],
    );
  }

  /** Counts by invariant, for the summary of the run. */
  public toJSON(): Record<string, ICheckCounts> {
    return Object.fromEntries(this._counts);
  }
}
