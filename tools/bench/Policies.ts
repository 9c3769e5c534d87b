/** Policies that the bench can run. */
import { createPolicy, type PolicyName } from '../../src/policy/CreatePolicy.js';
import { RoundRobin } from '../../src/policy/RoundRobin.js';
import type { IRandom, IRoutingPolicy } from '../../src/policy/Types.js';

/** Names of the policies, without the oracle. */
export const POLICY_NAMES: readonly PolicyName[] = [
  'round-robin',
  'least-load',
  'prefix-hash',
  'default',
];

/** Creates the policy of one entry as the product does; rotations begin at different targets. */
export function createEntryPolicy(
  name: PolicyName,
  entry: number,
  dataCentre: string,
  random: IRandom,
): IRoutingPolicy {
  return name === 'round-robin' ? new RoundRobin(entry) : createPolicy(name, dataCentre, random);
}
