/** Guards against new requests to targets that are silent, draining or failed. */
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { AnnounceRequestSchema } from '../gen/redwingwharf/v1/control_pb.js';
import { Roster, TARGET_EXPIRY_MS } from './Roster.js';

function announce(
  roster: Roster,
  now: number,
  fields: MessageInitShape<typeof AnnounceRequestSchema> = {},
): void {
  const announcement = create(AnnounceRequestSchema, {
    target: 'desk-1',
    service: 'order-desk',
    healthy: true,
    sidecarIncarnation: new Uint8Array([1]),
    sequence: 1n,
    ...fields,
  });
  roster.announce(announcement, now);
}

describe('Roster', () => {
  it('does not list a silent target after the expiry', () => {
    const roster = new Roster();
    announce(roster, 0);
    expect(roster.listTargets('order-desk', TARGET_EXPIRY_MS)).toHaveLength(1);
    expect(roster.listTargets('order-desk', TARGET_EXPIRY_MS + 1)).toHaveLength(0);
  });

  it('stops listing a draining or failed target at once', () => {
    const roster = new Roster();
    announce(roster, 0);
    announce(roster, 1, { sequence: 2n, draining: true });
    expect(roster.listTargets('order-desk', 2)).toHaveLength(0);
    announce(roster, 3, { sequence: 3n, healthy: false });
    expect(roster.listTargets('order-desk', 4)).toHaveLength(0);
  });

  it('ignores an announcement that arrives late, so that a draining target is not listed again', () => {
    const roster = new Roster();
    announce(roster, 0, { sequence: 5n, draining: true });
    announce(roster, 1, { sequence: 4n });
    expect(roster.listTargets('order-desk', 2)).toHaveLength(0);
  });

  it('accepts an announcement of a new sidecar incarnation with a lower sequence', () => {
    const roster = new Roster();
    announce(roster, 0, { sequence: 50n, draining: true });
    announce(roster, 1, { sidecarIncarnation: new Uint8Array([2]) });
    expect(roster.listTargets('order-desk', 2)).toHaveLength(1);
  });
});
