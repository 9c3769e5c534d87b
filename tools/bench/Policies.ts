/** Routing policies that the bench compares. */
import { createPolicy, type PolicyName } from '../../src/policy/CreatePolicy.js';
import { RoundRobin } from '../../src/policy/RoundRobin.js';
import type { IRandom, IRoutingPolicy } from '../../src/policy/Types.js';

/** Names of the product's policies; the oracle exists in the bench only. */
export const POLICY_NAMES: readonly PolicyName[] = [
  'round-robin',
  'least-load',
  'prefix-hash',
  'default',
];

/**
 * Creates the policy of one entry as the product does, except that the round-robin policy of each
 * entry begins at a different target.
 */
export function createEntryPolicy(
  name: PolicyName,
  entry: number,
  dataCentre: string,
  random: IRandom,
): IRoutingPolicy {
  return name === 'round-robin' ? new RoundRobin(entry) : createPolicy(name, dataCentre, random);
}
