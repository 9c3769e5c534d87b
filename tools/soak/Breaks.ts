/**
 * Mechanisms that a test switch of the program's test bundle can disable. A run with one of them disabled must
 * find a violation, which proves that the checks of the soak detect the loss of the mechanism.
 */

import type { Invariant } from './Invariants.js';

/** A mechanism that can be disabled. */
export interface IBreak {
  /** Value of the environment variable REDWINGWHARF_BREAK. */
  readonly name: string;
  /** What the program does wrong without the mechanism; printed by `--list-breaks`. */
  readonly summary: string;
  /** At least one of these invariants must be violated. */
  readonly expectedViolations: readonly Invariant[];
  /** Kinds of faults against which the mechanism protects, injected by default; all kinds if empty. */
  readonly faultKinds: readonly string[];
}

export const BREAKS: readonly IBreak[] = [
  {
    name: 'claim-table',
    expectedViolations: ['a_once', 'b_not_run'],
    summary: 'the sidecar treats claim attempts that it has accepted or refused before as new',
    faultKinds: ['slow_links', 'freeze_sidecar', 'cut_link'],
  },
  {
    name: 'claim',
    expectedViolations: ['a_once'],
    summary: 'the entry dispatches non-repeatable calls without a claim',
    faultKinds: ['kill_entry', 'slow_links'],
  },
  {
    name: 'rebind-proof',
    expectedViolations: ['a_once', 'b_not_run'],
    summary: 'a claim is bound to another target without proof that nothing ran',
    faultKinds: ['kill_sidecar', 'freeze_sidecar', 'cut_link'],
  },
  {
    name: 'sidecar-incarnation',
    expectedViolations: ['a_once', 'b_not_run'],
    summary: 'a restarted sidecar answers for the claims of its previous incarnation',
    faultKinds: ['kill_sidecar'],
  },
  {
    name: 'key-freshness',
    expectedViolations: ['d_withdrawn', 'f_configuration'],
    summary: 'keys are accepted regardless of the age of the configuration copy',
    faultKinds: ['isolate_entry', 'withdraw_key', 'operator_race'],
  },
  {
    name: 'open-streams',
    expectedViolations: ['d_withdrawn'],
    summary: 'open streams continue after their key is withdrawn',
    faultKinds: ['withdraw_key'],
  },
  {
    name: 'plain-refunds',
    expectedViolations: ['e_rate'],
    summary:
      'a refund fills the bucket up to the burst, regardless of the refill since the reservation',
    faultKinds: ['change_rate'],
  },
  {
    name: 'grant-lease',
    expectedViolations: ['e_rate'],
    summary: 'the entry spends granted tokens after the end of their lease',
    faultKinds: ['isolate_entry', 'freeze_entry'],
  },
  {
    name: 'feed-revert',
    expectedViolations: ['f_configuration'],
    summary: 'a configuration copy accepts older revisions than its own',
    faultKinds: ['isolate_entry', 'cut_link', 'operator_race'],
  },
  {
    name: 'version-check',
    expectedViolations: ['f_configuration'],
    summary: 'a change is accepted under a version that is already taken',
    faultKinds: ['operator_race'],
  },
  {
    name: 'drain-notice',
    expectedViolations: ['h_no_new_work'],
    summary: 'a draining sidecar neither announces that it drains nor refuses new requests',
    faultKinds: ['drain_target'],
  },
  {
    name: 'graceful-drain',
    expectedViolations: ['i_graceful'],
    summary: 'an entry exits immediately on SIGTERM, without a graceful shutdown',
    faultKinds: ['graceful_restart'],
  },
  {
    name: 'forward-key',
    expectedViolations: ['g_key_leak'],
    summary: "the caller's key is forwarded to the target",
    faultKinds: ['operator_race'],
  },
  {
    name: 'cache-salt',
    expectedViolations: ['j_cache'],
    summary: 'all client accounts share one cache salt',
    faultKinds: ['operator_race'],
  },
  {
    name: 'stream-end',
    expectedViolations: ['c_answers'],
    summary: 'a broken stream is ended like a complete one',
    faultKinds: ['kill_target'],
  },
];

/** Throws if there is no break of that name. */
export function findBreak(name: string): IBreak {
  const match = BREAKS.find((candidate) => candidate.name === name);
  if (match === undefined) {
    throw new Error(`unknown break "${name}"; --list-breaks prints the allowed names`);
  }
  return match;
}
