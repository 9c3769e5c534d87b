/** Guards against copies of the configuration that revert, miss deletions or appear newer than they are. */
import { create } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import {
  SyncRequestSchema,
  SyncResponseSchema,
  type SyncResponse,
} from '../gen/redwingwharf/v1/control_pb.js';
import { ItemSchema, type Item } from '../gen/redwingwharf/v1/state_pb.js';
import { ManualClock } from '../common/Clock.js';
import { SuspensionDetector } from '../common/Suspension.js';
import { FeedCopy } from './FeedCopy.js';

const CLUSTER_ID = new Uint8Array([1]);

function createItem(key: string, revision: number, deleted = false): Item {
  const value = deleted ? new Uint8Array() : new Uint8Array([revision]);
  return create(ItemSchema, { key, revision: BigInt(revision), value, deleted });
}

function createResponse(
  revision: number,
  items: Item[],
  fields: { full?: boolean; ageMs?: number; clusterId?: Uint8Array } = {},
): SyncResponse {
  const response = create(SyncResponseSchema, {
    clusterId: fields.clusterId ?? CLUSTER_ID,
    revision: BigInt(revision),
    version: BigInt(revision),
    items,
    full: fields.full ?? false,
  });
  if (fields.ageMs !== undefined) {
    response.ageMs = fields.ageMs;
  }
  return response;
}

describe('FeedCopy', () => {
  it('ignores a late response of an older revision, so that a withdrawn key is not restored', () => {
    const copy = new FeedCopy();
    copy.applyResponse(createResponse(5, [createItem('key/a', 5)], { full: true }), 0);
    copy.applyResponse(createResponse(9, [createItem('key/a', 9, true)]), 10);
    const late = createResponse(5, [createItem('key/a', 5)], { full: true, ageMs: 0 });
    expect(copy.applyResponse(late, 20)).toBe('behind');
    expect(copy.getItem('key/a')).toBeUndefined();
    expect(copy.getConfirmedAt()).toBeUndefined();
  });

  // A key that was withdrawn meanwhile worked on at a process that had been suspended, until its next sync.
  it('is not confirmed after a suspension before it has synced again', () => {
    const clock = new ManualClock(1_000);
    let stepMs = 0;
    const suspensions = new SuspensionDetector(() => clock.now() + stepMs);
    const copy = new FeedCopy(clock, suspensions);
    copy.applyResponse(createResponse(5, [], { full: true, ageMs: 0 }), 1_000);
    expect(copy.getConfirmedAt()).toBe(1_000);
    clock.advance(100);
    stepMs = 4_000;
    expect(copy.getConfirmedAt()).toBeUndefined();
    const request = create(SyncRequestSchema, {});
    expect(copy.sync(request, clock.now()).ageMs).toBeUndefined();
    clock.advance(10);
    copy.applyResponse(createResponse(5, [], { ageMs: 0 }), clock.now());
    expect(copy.getConfirmedAt()).toBe(1_110);
  });

  it('refuses items of another deployment', () => {
    const copy = new FeedCopy();
    copy.applyResponse(createResponse(5, [createItem('key/a', 5)], { full: true }), 0);
    const foreign = createResponse(99, [], { full: true, clusterId: new Uint8Array([2]) });
    expect(copy.applyResponse(foreign, 10)).toBe('other_cluster');
    expect(copy.getItem('key/a')).toBeDefined();
  });

  it('counts the age from when the request was sent, so that a delayed answer counts as old', () => {
    const copy = new FeedCopy();
    copy.applyResponse(createResponse(1, [], { full: true, ageMs: 40 }), 1_000);
    expect(copy.getConfirmedAt()).toBe(960);
    copy.applyResponse(createResponse(1, [], { ageMs: 500 }), 1_100);
    expect(copy.getConfirmedAt()).toBe(960);
  });

  it('propagates a deletion to a follower that has the deleted item', () => {
    const upstream = new FeedCopy();
    const follower = new FeedCopy();
    const items = [createItem('key/a', 3), createItem('key/b', 4)];
    upstream.applyResponse(createResponse(4, items, { full: true, ageMs: 0 }), 0);
    follower.applyResponse(upstream.sync(create(SyncRequestSchema), 0), 0);
    upstream.applyResponse(createResponse(7, [createItem('key/a', 7, true)], { ageMs: 0 }), 100);
    const request = create(SyncRequestSchema, { haveRevision: BigInt(follower.revision) });
    const delta = upstream.sync(request, 130);
    expect(delta.full).toBe(false);
    expect(delta.ageMs).toBe(30);
    follower.applyResponse(delta, 120);
    expect(follower.getItem('key/a')).toBeUndefined();
    expect(follower.getItem('key/b')).toBeDefined();
  });

  it('propagates a change to a follower whose revision grew without changes', () => {
    const upstream = new FeedCopy();
    upstream.applyResponse(createResponse(4, [createItem('key/a', 4)], { full: true }), 0);
    upstream.applyResponse(createResponse(50, []), 10);
    const request = create(SyncRequestSchema, { haveRevision: 50n });
    expect(upstream.sync(request, 20).items).toHaveLength(0);
    upstream.applyResponse(createResponse(60, [createItem('key/a', 58, true)]), 30);
    expect(upstream.sync(request, 40).items.map((item) => item.deleted)).toEqual([true]);
  });

  it('serves only items with the requested prefixes, so that a sidecar gets no keys', () => {
    const upstream = new FeedCopy();
    const items = [createItem('key/a', 3), createItem('clientAccount/b', 4)];
    upstream.applyResponse(createResponse(4, items, { full: true }), 0);
    const request = create(SyncRequestSchema, { prefixes: ['clientAccount/'] });
    expect(upstream.sync(request, 10).items.map((item) => item.key)).toEqual(['clientAccount/b']);
  });

  it('reports items that are missing in a full response as deleted', () => {
    const copy = new FeedCopy();
    copy.applyResponse(createResponse(4, [createItem('key/a', 4)], { full: true }), 0);
    const deleted: string[] = [];
    copy.onChange((items) => {
      deleted.push(...items.filter((item) => item.deleted).map((item) => item.key));
    });
    copy.applyResponse(createResponse(8, [createItem('key/b', 8)], { full: true }), 10);
    expect(deleted).toEqual(['key/a']);
    expect(copy.listItems('key/').map((item) => item.key)).toEqual(['key/b']);
  });
});
