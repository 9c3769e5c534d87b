import { create } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { ItemChangeSchema, type ItemChange } from '../gen/redwingwharf/v1/state_pb.js';
import { Items } from './Items.js';

function buildSet(key: string, value = 'v'): ItemChange {
  return create(ItemChangeSchema, { key, value: Buffer.from(value) });
}

function buildDelete(key: string): ItemChange {
  return create(ItemChangeSchema, { key, delete: true });
}

describe('Items', () => {
  it('lists deltas with tombstones, so that a revoked key does not stay in a copy', () => {
    const items = new Items();
    items.applyChanges([buildSet('key/a'), buildSet('key/b')], 5);
    items.applyChanges([buildDelete('key/a')], 9);
    const since = items.listChangedSince(5);
    expect(since.full).toBe(false);
    expect(since.items.map((item) => [item.key, item.deleted])).toEqual([['key/a', true]]);
    expect(items.listChangedSince(9).items).toEqual([]);
    expect(items.get('key/a')).toBeUndefined();
  });

  it('returns a full copy once a tombstone that the reader needs was dropped', () => {
    const items = new Items();
    items.applyChanges([buildSet('key/a'), buildSet('key/b')], 5);
    items.applyChanges([buildDelete('key/a')], 9);
    items.compact(1);
    expect(items.listChangedSince(8).full).toBe(false);
    items.compact(0);
    expect(items.listChangedSince(8).full).toBe(true);
    expect(items.listChangedSince(8).items.map((item) => item.key)).toEqual(['key/b']);
    expect(items.listChangedSince(9).full).toBe(false);
  });

  it('keeps an item that was created again after its deletion', () => {
    const items = new Items();
    items.applyChanges([buildSet('key/a')], 1);
    items.applyChanges([buildDelete('key/a')], 2);
    items.applyChanges([buildSet('key/a', 'w')], 3);
    items.compact(0);
    expect(items.get('key/a')?.revision).toBe(3n);
    expect(items.compactedRevision).toBe(0);
  });

  it('keeps the revision of an unchanged item, so that publishing it again outdates no dispatch', () => {
    const items = new Items();
    items.applyChanges([buildSet('service/a', 'x')], 4);
    expect(
      items.applyChanges([buildSet('service/a', 'x'), buildSet('service/b', 'y')], 7),
    ).toHaveLength(1);
    expect(items.get('service/a')?.revision).toBe(4n);
  });

  it('treats an empty value as a deletion, and the deletion of a missing item as no change', () => {
    const items = new Items();
    items.applyChanges([buildSet('weights/m')], 1);
    expect(items.applyChanges([buildSet('weights/m', '')], 2)).toHaveLength(1);
    expect(items.applyChanges([buildDelete('weights/m'), buildDelete('weights/n')], 3)).toEqual([]);
    expect(items.list('weights/')).toEqual([]);
  });
});
