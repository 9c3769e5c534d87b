/** Checks whether a record describes a target to which requests can be sent. */
import { isUsableAddress } from '../common/Address.js';
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';

/** Every process keeps each record, passes it on and logs it, so its size is bounded. */
const MAX_MODELS = 256;

/** Requests carry the id of their target in a header. */
const ID = /^[\x21-\x7e]{1,256}$/;

/** No control characters, and no lone surrogates, which are another name once they have been encoded. */
const NAME = /^[^\p{Cc}\p{Cs}]{1,256}$/u;

/** Longest software version. */
const MAX_VERSION_LENGTH = 200;

/** The characters of names; empty for a target that names no software version. */
const VERSION = /^[^\p{Cc}\p{Cs}]*$/u;

/** A later time is no start time. It would outlast each true one of the target, or of another at its address. */
const MAX_START_TIME = Date.UTC(2100, 0);

/**
 * Describes why a record names no usable target; undefined if it does. Every record is checked where it enters the
 * process: from a target, from another process, which may be of an older version, and from disk.
 *
 * @example
 * if (checkTarget(record) !== undefined) { return; }
 */
export function checkTarget(record: TargetRecord): string | undefined {
  const { id, service, dataCentre, address, models, born, softwareVersion } = record;
  if (!ID.test(id)) {
    return 'its id is empty, too long or cannot be sent in a header';
  }
  if (models.length > MAX_MODELS) {
    return `it has more than ${MAX_MODELS} models`;
  }
  if (![service, dataCentre, ...models.map(({ name }) => name)].every((name) => NAME.test(name))) {
    return 'a name is empty, too long or has control characters';
  }
  if (softwareVersion.length > MAX_VERSION_LENGTH || !VERSION.test(softwareVersion)) {
    return 'its software version is too long or has control characters';
  }
  if (!isStartTime(born)) {
    return `it started at ${born}, which is no time in whole milliseconds`;
  }
  if (!isUsableAddress(address)) {
    return 'its address is not an IPv4 address with a port from 1 to 65535';
  }
  return undefined;
}

/** True for a start time of a target in whole Unix milliseconds, and for 0, as targets without one have. */
export function isStartTime(value: number): boolean {
  return Number.isInteger(value) && value >= 0 && value <= MAX_START_TIME;
}
