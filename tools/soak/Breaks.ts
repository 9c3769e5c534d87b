/** Mechanisms of the program that its test bundle can switch off, to prove that the soak notices. */

export interface IBreak {
  /** Value of REDWINGWHARF_BREAK. */
  readonly name: string;
  readonly summary: string;
  /** Kinds of faults under which the mechanism matters; all if empty. */
  readonly faults: readonly string[];
}

export const BREAKS: readonly IBreak[] = [];

export function findBreak(name: string): IBreak {
  const found = BREAKS.find((candidate) => candidate.name === name);
  if (found === undefined) {
    throw new Error(`there is no break "${name}"; --list-breaks lists them`);
  }
  return found;
}
