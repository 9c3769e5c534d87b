/**
 * Last check before the target: refuses dispatches whose ticket does not match the current state of the
 * target.
 */
import { fromBinary } from '@bufbuild/protobuf';
import { hasSameBytes } from '../common/Hashes.js';
import { isMechanismDisabled } from '../common/TestSwitches.js';
import type { IFeed } from '../feed/Types.js';
import { RefusalReason, type Ticket } from '../gen/redwingwharf/v1/control_pb.js';
import { ClientAccountSchema } from '../gen/redwingwharf/v1/state_pb.js';

/** The state that a ticket is compared with. */
export interface IGateState {
  readonly target: string;
  readonly sidecarIncarnation: Uint8Array;
  readonly targetIncarnation: string;
  readonly weightsVersion: string;
  readonly isHealthy: boolean;
  readonly isDraining: boolean;
}

/**
 * Returns the reason to refuse the dispatch, or undefined when it may be forwarded to the target. A
 * refusal guarantees that the target did not execute the request.
 *
 * @example
 * const reason = checkTicket(ticket, state, feed);
 */
export function checkTicket(
  ticket: Ticket,
  state: IGateState,
  feed: IFeed,
): RefusalReason | undefined {
  if (ticket.target !== state.target) {
    return RefusalReason.OTHER_TARGET;
  }
  TEST_ONLY: if (isMechanismDisabled('sidecar-incarnation')) return undefined;
  if (!hasSameBytes(ticket.sidecarIncarnation, state.sidecarIncarnation)) {
    return RefusalReason.OTHER_SIDECAR_INCARNATION;
  }
  if (state.isDraining) {
    return RefusalReason.DRAINING;
  }
  if (!state.isHealthy) {
    return RefusalReason.TARGET_DOWN;
  }
  if (ticket.targetIncarnation !== '' && ticket.targetIncarnation !== state.targetIncarnation) {
    return RefusalReason.OTHER_TARGET_INCARNATION;
  }
  if (ticket.weightsVersion !== state.weightsVersion) {
    return RefusalReason.OTHER_WEIGHTS;
  }
  return checkConfiguration(ticket, feed);
}

/** Compares the ticket with the items in this sidecar's own copy of the configuration. */
function checkConfiguration(ticket: Ticket, feed: IFeed): RefusalReason | undefined {
  const service = feed.getItem(`service/${ticket.service}`);
  if (service !== undefined && service.revision > ticket.revision) {
    return RefusalReason.OLD_REVISION;
  }
  if (ticket.clientAccount === '') {
    return undefined;
  }
  const item = feed.getItem(`clientAccount/${ticket.clientAccount}`);
  if (item === undefined) {
    // This copy may lag behind the entry's: only a newer copy proves that the account was deleted.
    return BigInt(feed.revision) > ticket.revision
      ? RefusalReason.CLIENT_ACCOUNT_NOT_ALLOWED
      : undefined;
  }
  if (item.revision > ticket.revision) {
    return RefusalReason.OLD_REVISION;
  }
  const account = fromBinary(ClientAccountSchema, item.value);
  const isAllowed = item.revision < ticket.revision || account.services.includes(ticket.service);
  return isAllowed ? undefined : RefusalReason.CLIENT_ACCOUNT_NOT_ALLOWED;
}
