/** Checks whether a record describes a target to which requests can be sent. */
import { isUsableAddress } from '../common/Address.js';
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';

/** Every process keeps each record, passes it on and logs it, so its size is bounded. */
const MAX_MODELS = 256;

/** Requests carry the id of their target in a header. */
const ID = /^[\x21-\x7e]{1,256}$/;

/** No control characters, and no lone surrogates, which are another name once they have been encoded. */
const NAME = /^[^\p{Cc}\p{Cs}]{1,256}$/u;

/**
 * Describes why a record names no usable target; undefined if it does. Every record is checked where it enters the
 * process: from a target, from another process, which may be of an older version, and from disk.
 *
 * @example
 * if (checkTarget(record) !== undefined) { return; }
 */
export function checkTarget(record: TargetRecord): string | undefined {
  const { id, service, dataCentre, address, models } = record;
  if (!ID.test(id)) {
    return 'its id is empty, too long or cannot be sent in a header';
  }
  if (models.length > MAX_MODELS) {
    return `it has more than ${MAX_MODELS} models`;
  }
  if (![service, dataCentre, ...models.map(({ name }) => name)].every((name) => NAME.test(name))) {
    return 'a name is empty, too long or has control characters';
  }
  if (!isUsableAddress(address)) {
    return 'its address is not an IPv4 address with a port from 1 to 65535';
  }
  return undefined;
}
