/** Asks several processes at once who leads, so that those that have not come up yet delay nobody. */

/** What a process says of the leader. */
export interface ILeaderHint {
  /** True: the process asked leads. */
  readonly leads: boolean;
  /** Who leads as far as that process knows; empty if it does not. */
  readonly leaderAddress: string;
}

/** Asks one process; undefined if it does not answer. */
export type LeaderQuestion = (
  address: string,
  signal: AbortSignal,
) => Promise<ILeaderHint | undefined>;

/**
 * Address of the leader: the first process that says that it leads or, if none does before all have
 * answered or the signal is aborted, the first one that was named. Undefined if none was.
 */
export async function findLeader(
  addresses: readonly string[],
  ask: LeaderQuestion,
  signal: AbortSignal,
): Promise<string | undefined> {
  const found = new AbortController();
  let named: string | undefined;
  let leader: string | undefined;
  const questions = addresses.map(async (address) => {
    const hint = await ask(address, AbortSignal.any([signal, found.signal]));
    if (hint?.leads === true) {
      leader ??= address;
      found.abort();
    } else if (hint !== undefined && hint.leaderAddress !== '') {
      named ??= hint.leaderAddress;
    }
  });
  await Promise.all(questions);
  return leader ?? named;
}
