/** Mechanisms of the program that its test bundle can switch off, to prove that the soak notices. */

export interface IBreak {
  /** Value of REDWINGWHARF_BREAK. */
  readonly name: string;
  readonly summary: string;
  /** Kinds of faults under which the mechanism matters; all if empty. */
  readonly faults: readonly string[];
}

export const BREAKS: readonly IBreak[] = [
  {
    name: 'claim-table',
    summary: 'the sidecar forgets which claim attempts it has seen or refused',
    faults: ['slow_links', 'freeze_sidecar', 'cut_link'],
  },
  {
    name: 'claim',
    summary: 'the entry dispatches non-repeatable calls without a claim',
    faults: ['kill_entry', 'slow_links'],
  },
  {
    name: 'rebind-proof',
    summary: 'a claim is bound to another target without proof that nothing ran',
    faults: ['kill_sidecar', 'freeze_sidecar', 'cut_link'],
  },
  {
    name: 'sidecar-incarnation',
    summary: 'a restarted sidecar answers for the claims of its former life',
    faults: ['kill_sidecar'],
  },
  {
    name: 'key-freshness',
    summary: 'keys are accepted however old the copy of the configuration is',
    faults: ['isolate_entry', 'withdraw_key'],
  },
  {
    name: 'open-streams',
    summary: 'open streams go on when their key is withdrawn',
    faults: ['withdraw_key'],
  },
  {
    name: 'plain-refunds',
    summary: 'a refund raises the bucket up to the burst, whatever was refilled since',
    faults: ['change_rate'],
  },
  {
    name: 'grant-lease',
    summary: 'the entry spends granted tokens after the end of their lease',
    faults: ['isolate_entry', 'freeze_entry'],
  },
  {
    name: 'feed-revert',
    summary: 'a copy of the configuration accepts older revisions',
    faults: ['isolate_entry', 'cut_link', 'operator_race'],
  },
  {
    name: 'version-check',
    summary: 'a change is accepted under a version that is already taken',
    faults: ['operator_race'],
  },
  {
    name: 'drain-notice',
    summary: 'a draining sidecar neither announces it nor refuses new work',
    faults: ['drain_target'],
  },
  {
    name: 'graceful-drain',
    summary: 'an entry stops at once on SIGTERM',
    faults: ['graceful_restart'],
  },
  {
    name: 'forward-key',
    summary: "the caller's key is forwarded to the target",
    faults: ['operator_race'],
  },
  {
    name: 'cache-salt',
    summary: 'all client accounts share one cache salt',
    faults: ['operator_race'],
  },
  {
    name: 'stream-end',
    summary: 'a stream that broke off is ended like a complete one',
    faults: ['kill_target', 'kill_sidecar'],
  },
];

export function findBreak(name: string): IBreak {
  const found = BREAKS.find((candidate) => candidate.name === name);
  if (found === undefined) {
    throw new Error(`there is no break "${name}"; --list-breaks lists them`);
  }
  return found;
}
