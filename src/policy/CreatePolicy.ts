/** Creates the routing policy named in the settings. */
import { DefaultPolicy } from './DefaultPolicy.js';
import { LeastLoad } from './LeastLoad.js';
import { PrefixHash } from './PrefixHash.js';
import { RoundRobin } from './RoundRobin.js';
import type { IRandom, IRoutingPolicy } from './Types.js';

/** Entries of the prefix index of each service: about 7 MB, so that five models fit into a node's memory. */
const MAX_INDEX_ENTRIES = 20_000;

export type PolicyName = 'default' | 'round-robin' | 'least-load' | 'prefix-hash';

/**
 * Creates a policy for one service.
 *
 * @example
 * const policy = createPolicy('default', 'dar-1');
 */
export function createPolicy(
  name: PolicyName,
  dataCentre: string,
  random: IRandom = Math.random,
): IRoutingPolicy {
  switch (name) {
    case 'default':
      return new DefaultPolicy({
        dataCentre,
        random,
        index: { maxEntries: MAX_INDEX_ENTRIES },
      });
    case 'round-robin':
      return new RoundRobin();
    case 'least-load':
      return new LeastLoad(random);
    case 'prefix-hash':
      return new PrefixHash(random);
  }
}
