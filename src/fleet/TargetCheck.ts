/** Checks whether a record describes a target to which requests can be sent. */
import { isUsableAddress } from '../common/Address.js';
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';

/**
 * Describes why a record names no usable target; undefined if it does. Every record is checked where it enters the
 * process: from a target, from another process, which may be of an older version, and from disk.
 *
 * @example
 * if (checkTarget(record) !== undefined) { return; }
 */
export function checkTarget(record: TargetRecord): string | undefined {
  if (!isUsableAddress(record.address)) {
    return 'its address is not an IPv4 address with a port from 1 to 65535';
  }
  return undefined;
}
