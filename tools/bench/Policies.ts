/** Policies that the bench can run. */
import { DefaultPolicy } from '../../src/policy/DefaultPolicy.js';
import { LeastLoad } from '../../src/policy/LeastLoad.js';
import { PrefixHash } from '../../src/policy/PrefixHash.js';
import { RoundRobin } from '../../src/policy/RoundRobin.js';
import type { IRandom, IRoutingPolicy } from '../../src/policy/Types.js';

/** Names of the policies, without the oracle. */
export const POLICY_NAMES = ['round-robin', 'least-load', 'prefix-hash', 'default'] as const;

export type PolicyName = (typeof POLICY_NAMES)[number];

/** Creates the policy of one entry. */
export function createPolicy(
  name: PolicyName,
  entry: number,
  dataCentre: string,
  random: IRandom,
): IRoutingPolicy {
  switch (name) {
    case 'round-robin':
      return new RoundRobin(entry);
    case 'least-load':
      return new LeastLoad(random);
    case 'prefix-hash':
      return new PrefixHash(random);
    case 'default':
      return new DefaultPolicy({ dataCentre, random });
  }
}
