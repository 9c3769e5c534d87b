/**
 * Measures the configuration feed: memory of a copy, time of a poll and a change, message sizes.
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { FeedCopy } from '../../src/feed/FeedCopy.js';
import {
  SyncRequestSchema,
  SyncResponseSchema,
  type SyncResponse,
} from '../../src/gen/redwingwharf/v1/control_pb.js';
import { ItemSchema, type Item } from '../../src/gen/redwingwharf/v1/state_pb.js';
import { measureKilobytes, measureUs, type ISlope } from './Measure.js';

const ITEM_COUNTS = [1_000, 10_000, 40_000] as const;

/** About the encoded size of a client account with its services, or of a key. */
const VALUE_BYTES = 120;
const POLLS_PER_STEP = 2_000;
const CHANGES_PER_STEP = 500;

function createItem(index: number, revision: number): Item {
  return create(ItemSchema, {
    key: `clientAccount/account-${index}`,
    revision: BigInt(revision),
    value: new Uint8Array(VALUE_BYTES).fill(index % 256),
  });
}

function createFullResponse(count: number): SyncResponse {
  return create(SyncResponseSchema, {
    clusterId: new Uint8Array(16),
    revision: BigInt(count),
    version: 1n,
    ageMs: 10,
    full: true,
    items: Array.from({ length: count }, (_, index) => createItem(index, index + 1)),
  });
}

function createFilledCopy(count: number): FeedCopy {
  const encoded = toBinary(SyncResponseSchema, createFullResponse(count));
  const copy = new FeedCopy();
  copy.applyResponse(fromBinary(SyncResponseSchema, encoded), 0);
  return copy;
}

/** Measures serving a poll that finds no changes, with decoding and encoding, in microseconds. */
function measurePoll(count: number): number {
  const copy = createFilledCopy(count);
  const request = toBinary(
    SyncRequestSchema,
    create(SyncRequestSchema, { haveRevision: BigInt(count), instance: 'entry-1' }),
  );
  return measureUs(POLLS_PER_STEP, () => {
    for (let now = 0; now < POLLS_PER_STEP; now++) {
      toBinary(SyncResponseSchema, copy.sync(fromBinary(SyncRequestSchema, request), now));
    }
  });
}

/**
 * Measures decoding and applying a change of one item, in microseconds. Each copy does this for
 * each change of the configuration.
 */
function measureChange(count: number): number {
  const copy = createFilledCopy(count);
  let revision = count;
  return measureUs(CHANGES_PER_STEP, () => {
    for (let change = 0; change < CHANGES_PER_STEP; change++) {
      revision += 1;
      const response = create(SyncResponseSchema, {
        clusterId: new Uint8Array(16),
        revision: BigInt(revision),
        version: BigInt(change),
        ageMs: 10,
        items: [createItem(change, revision)],
      });
      const encoded = toBinary(SyncResponseSchema, response);
      copy.applyResponse(fromBinary(SyncResponseSchema, encoded), change);
    }
  });
}

/** Measures serving a full copy, which each restarted process requests, in microseconds. */
function measureFullCopy(count: number): number {
  const copy = createFilledCopy(count);
  const request = create(SyncRequestSchema, { instance: 'entry-1' });
  return measureUs(1, () => {
    toBinary(SyncResponseSchema, copy.sync(request, 0));
  });
}

/** Measures decoding and applying a full copy, in microseconds. */
function measureFullApply(count: number): number {
  const encoded = toBinary(SyncResponseSchema, createFullResponse(count));
  return measureUs(1, () => {
    new FeedCopy().applyResponse(fromBinary(SyncResponseSchema, encoded), 0);
  });
}

/** Measures the configuration feed by number of items. */
export function measureFeed(): ISlope[] {
  return [
    {
      name: 'feed copy memory',
      unit: 'KB',
      per: 'item',
      points: ITEM_COUNTS.map((size) => ({
        size,
        value: measureKilobytes(() => createFilledCopy(size)),
      })),
    },
    {
      name: 'feed full copy on the wire',
      unit: 'KB',
      per: 'item',
      points: ITEM_COUNTS.map((size) => ({
        size,
        value: toBinary(SyncResponseSchema, createFullResponse(size)).length / 1_024,
      })),
    },
    {
      name: 'feed full copy (serve)',
      unit: 'us',
      per: 'item',
      points: ITEM_COUNTS.map((size) => ({ size, value: measureFullCopy(size) })),
    },
    {
      name: 'feed full copy (apply)',
      unit: 'us',
      per: 'item',
      points: ITEM_COUNTS.map((size) => ({ size, value: measureFullApply(size) })),
    },
    {
      name: 'feed poll without news (codec and lookup)',
      unit: 'us',
      per: 'item',
      points: ITEM_COUNTS.map((size) => ({ size, value: measurePoll(size) })),
    },
    {
      name: 'feed change of one item',
      unit: 'us',
      per: 'item',
      points: ITEM_COUNTS.map((size) => ({ size, value: measureChange(size) })),
    },
  ];
}
