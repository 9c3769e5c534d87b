/** Mechanisms of the program that its test bundle can switch off, to prove that the soak notices. */

import type { Invariant } from './Invariants.js';

export interface IBreak {
  /** Value of REDWINGWHARF_BREAK. */
  readonly name: string;
  readonly summary: string;
  /** Invariants of which at least one must be violated. */
  readonly expected: readonly Invariant[];
  /** Kinds of faults under which the mechanism matters; all if empty. */
  readonly faults: readonly string[];
}

export const BREAKS: readonly IBreak[] = [
  {
    name: 'claim-table',
    expected: ['a_once', 'b_not_run'],
    summary: 'the sidecar forgets which claim attempts it has seen or refused',
    faults: ['slow_links', 'freeze_sidecar', 'cut_link'],
  },
  {
    name: 'claim',
    expected: ['a_once'],
    summary: 'the entry dispatches non-repeatable calls without a claim',
    faults: ['kill_entry', 'slow_links'],
  },
  {
    name: 'rebind-proof',
    expected: ['a_once', 'b_not_run'],
    summary: 'a claim is bound to another target without proof that nothing ran',
    faults: ['kill_sidecar', 'freeze_sidecar', 'cut_link'],
  },
  {
    name: 'sidecar-incarnation',
    expected: ['a_once', 'b_not_run'],
    summary: 'a restarted sidecar answers for the claims of its former life',
    faults: ['kill_sidecar'],
  },
  {
    name: 'key-freshness',
    expected: ['d_withdrawn', 'f_configuration'],
    summary: 'keys are accepted however old the copy of the configuration is',
    faults: ['isolate_entry', 'withdraw_key', 'operator_race'],
  },
  {
    name: 'open-streams',
    expected: ['d_withdrawn'],
    summary: 'open streams go on when their key is withdrawn',
    faults: ['withdraw_key'],
  },
  {
    name: 'plain-refunds',
    expected: ['e_rate'],
    summary: 'a refund raises the bucket up to the burst, whatever was refilled since',
    faults: ['change_rate'],
  },
  {
    name: 'grant-lease',
    expected: ['e_rate'],
    summary: 'the entry spends granted tokens after the end of their lease',
    faults: ['isolate_entry', 'freeze_entry'],
  },
  {
    name: 'feed-revert',
    expected: ['f_configuration'],
    summary: 'a copy of the configuration accepts older revisions',
    faults: ['isolate_entry', 'cut_link', 'operator_race'],
  },
  {
    name: 'version-check',
    expected: ['f_configuration'],
    summary: 'a change is accepted under a version that is already taken',
    faults: ['operator_race'],
  },
  {
    name: 'drain-notice',
    expected: ['h_no_new_work'],
    summary: 'a draining sidecar neither announces it nor refuses new work',
    faults: ['drain_target'],
  },
  {
    name: 'graceful-drain',
    expected: ['i_graceful'],
    summary: 'an entry stops at once on SIGTERM',
    faults: ['graceful_restart'],
  },
  {
    name: 'forward-key',
    expected: ['g_key_leak'],
    summary: "the caller's key is forwarded to the target",
    faults: ['operator_race'],
  },
  {
    name: 'cache-salt',
    expected: ['j_cache'],
    summary: 'all client accounts share one cache salt',
    faults: ['operator_race'],
  },
  {
    name: 'stream-end',
    expected: ['c_answers'],
    summary: 'a stream that broke off is ended like a complete one',
    faults: ['kill_target'],
  },
];

export function findBreak(name: string): IBreak {
  const found = BREAKS.find((candidate) => candidate.name === name);
  if (found === undefined) {
    throw new Error(`there is no break "${name}"; --list-breaks lists them`);
  }
  return found;
}
