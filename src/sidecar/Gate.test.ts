import { create, toBinary, type MessageInitShape } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { FeedCopy } from '../feed/FeedCopy.js';
import {
  RefusalReason,
  SyncResponseSchema,
  TicketSchema,
  type Ticket,
} from '../gen/redwingwharf/v1/control_pb.js';
import { ClientAccountSchema, ItemSchema } from '../gen/redwingwharf/v1/state_pb.js';
import { checkTicket, type IGateState } from './Gate.js';

const INCARNATION = new Uint8Array([1, 2, 3]);

const STATE: IGateState = {
  target: 'lace-1',
  sidecarIncarnation: INCARNATION,
  targetIncarnation: 'engine-a',
  weightsVersion: 'w2',
  isHealthy: true,
  isDraining: false,
};

/**
 * Configuration copy at revision 30; its client account changed at revision 20 and may use `services`.
 */
function createFeed(services: string[]): FeedCopy {
  const account = create(ClientAccountSchema, { id: 'pag', services });
  const feed = new FeedCopy();
  feed.applyResponse(
    create(SyncResponseSchema, {
      clusterId: INCARNATION,
      revision: 30n,
      full: true,
      items: [
        create(ItemSchema, {
          key: 'clientAccount/pag',
          revision: 20n,
          value: toBinary(ClientAccountSchema, account),
        }),
      ],
    }),
    0,
  );
  return feed;
}

type ITicketFields = MessageInitShape<typeof TicketSchema>;

function createTicket(fields: ITicketFields = {}): Ticket {
  return create(TicketSchema, {
    target: 'lace-1',
    clientAccount: 'pag',
    service: 'lace',
    sidecarIncarnation: INCARNATION,
    targetIncarnation: 'engine-a',
    weightsVersion: 'w2',
    revision: 20n,
    ...fields,
  });
}

describe('checkTicket', () => {
  const feed = createFeed(['lace']);

  it('accepts a ticket that matches the state', () => {
    expect(checkTicket(createTicket(), STATE, feed)).toBeUndefined();
  });

  it.each([
    ['another target', { target: 'lace-2' }, RefusalReason.OTHER_TARGET],
    [
      'an earlier incarnation of the sidecar',
      { sidecarIncarnation: new Uint8Array([9]) },
      RefusalReason.OTHER_SIDECAR_INCARNATION,
    ],
    [
      'an earlier incarnation of the engine',
      { targetIncarnation: 'engine-0' },
      RefusalReason.OTHER_TARGET_INCARNATION,
    ],
    ['older weights', { weightsVersion: 'w1' }, RefusalReason.OTHER_WEIGHTS],
    ['an outdated configuration', { revision: 19n }, RefusalReason.OLD_REVISION],
    ['a deleted account', { clientAccount: 'gone' }, RefusalReason.CLIENT_ACCOUNT_NOT_ALLOWED],
    [
      'a service that the account may not use',
      { service: 'other' },
      RefusalReason.CLIENT_ACCOUNT_NOT_ALLOWED,
    ],
  ] as const)('refuses a dispatch meant for %s', (_name, fields, reason) => {
    expect(checkTicket(createTicket(fields as ITicketFields), STATE, feed)).toBe(reason);
  });

  it('refuses new requests while the target is draining or down', () => {
    expect(checkTicket(createTicket(), { ...STATE, isDraining: true }, feed)).toBe(
      RefusalReason.DRAINING,
    );
    expect(checkTicket(createTicket(), { ...STATE, isHealthy: false }, feed)).toBe(
      RefusalReason.TARGET_DOWN,
    );
  });

  it('accepts an unknown account from an entry whose configuration is newer than its own copy', () => {
    const ticket = createTicket({ clientAccount: 'new', revision: 31n });
    expect(checkTicket(ticket, STATE, feed)).toBeUndefined();
  });
});
