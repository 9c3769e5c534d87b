/** Asks several processes in parallel for the leader, so that those that are still down delay nobody. */

/** A process's answer about the leader. */
export interface ILeaderHint {
  /** True: the answering process leads. */
  readonly leads: boolean;
  /** Address of the leader as that process knows it; empty if unknown. */
  readonly leaderAddress: string;
}

/** Asks one process; resolves to undefined if it does not answer. */
export type LeaderQuery = (
  address: string,
  signal: AbortSignal,
) => Promise<ILeaderHint | undefined>;

/**
 * Returns the address of the first process that answers as the leader. If none does before all queries have
 * ended or the signal is aborted, returns the first address that an answer reported, else undefined.
 */
export async function findLeader(
  addresses: readonly string[],
  query: LeaderQuery,
  signal: AbortSignal,
): Promise<string | undefined> {
  const leaderFound = new AbortController();
  let reportedLeader: string | undefined;
  let leader: string | undefined;
  const queries = addresses.map(async (address) => {
    const hint = await query(address, AbortSignal.any([signal, leaderFound.signal]));
    if (hint?.leads === true) {
      leader ??= address;
      leaderFound.abort();
    } else if (hint !== undefined && hint.leaderAddress !== '') {
      reportedLeader ??= hint.leaderAddress;
    }
  });
  await Promise.all(queries);
  return leader ?? reportedLeader;
}
