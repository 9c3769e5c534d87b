/** Guards against streams that are attributed to a software version that did not begin them, and against records that differ between members. */
import { create } from '@bufbuild/protobuf';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { StreamRecordsSchema } from '../gen/redwingwharf/v1/fleet_pb.js';
import { StreamRecords } from './StreamRecords.js';

/** Records one stream with a command of its own. */
function add(records: StreamRecords, key: bigint, version: string, attempt = 1): void {
  records.add(
    create(StreamRecordsSchema, {
      versions: [{ service: 'lace', version }],
      streams: [{ key, version: 0, attempt }],
    }),
  );
}

describe('StreamRecords', () => {
  it('finds the version of each stream that a command recorded', () => {
    const records = new StreamRecords();
    records.add(
      create(StreamRecordsSchema, {
        versions: [
          { service: 'lace', version: 'v1' },
          { service: 'orders', version: 'v2' },
        ],
        streams: [
          { key: 1n, version: 1 },
          { key: 2n, version: 0 },
          { key: 3n, version: 7 },
        ],
      }),
    );
    expect(records.find(1n)).toMatchObject({ service: 'orders', version: 'v2' });
    expect(records.find(2n)).toMatchObject({ service: 'lace', version: 'v1' });
    expect(records.find(3n)).toBeUndefined();
  });

  // A record of an abandoned attempt may be delayed and arrive after that of the attempt that brought the stream.
  it.each([
    ['in the order of the attempts', [1, 2, 3]],
    ['in another order', [3, 1, 2]],
    ['with the highest one between', [1, 3, 2]],
  ])('keeps the version of the highest attempt %s', (_name, attempts) => {
    const records = new StreamRecords();
    for (const attempt of attempts) {
      add(records, 1n, `v${attempt}`, attempt);
    }
    expect(records.find(1n)?.version).toBe('v3');
    expect(records.size).toBe(1);
  });

  it('keeps the later one of two records of the same attempt', () => {
    const records = new StreamRecords();
    add(records, 1n, 'v1');
    add(records, 1n, 'v2');
    expect(records.find(1n)?.version).toBe('v2');
    expect(records.hasOtherVersion('lace', 'v2')).toBe(false);
  });

  it('forgets only what is as old as the command that is named, and not what was recorded again', () => {
    const records = new StreamRecords();
    add(records, 1n, 'v1');
    add(records, 2n, 'v1');
    add(records, 3n, 'v1');
    add(records, 1n, 'v1');
    records.forget(2);
    expect([1n, 2n, 3n].map((key) => records.find(key)?.version)).toEqual(['v1', undefined, 'v1']);
    // A command of the future would drop records that are yet to come.
    records.forget(99);
    add(records, 4n, 'v1');
    expect(records.find(4n)?.version).toBe('v1');
    records.forget(4);
    expect(records.find(4n)?.version).toBe('v1');
  });

  it('tells of another version of a service until the last stream of it is forgotten', () => {
    const records = new StreamRecords();
    add(records, 1n, 'v2');
    add(records, 2n, 'v3');
    expect(records.hasOtherVersion('lace', 'v2')).toBe(true);
    expect(records.hasOtherVersion('orders', 'v1')).toBe(false);
    records.forget(1);
    expect(records.hasOtherVersion('lace', 'v3')).toBe(false);
    records.forget(2);
    expect(records.hasOtherVersion('lace', 'v1')).toBe(false);
  });

  // A stream whose record was dropped would be taken for one of the base version.
  it('is incomplete from an overflow until all is forgotten that may have been dropped', () => {
    const records = new StreamRecords(2);
    for (const key of [1n, 2n, 3n, 4n]) {
      add(records, key, 'v1');
    }
    expect(records.size).toBe(2);
    expect(records.find(2n)).toBeUndefined();
    expect(records.isComplete).toBe(false);
    records.forget(1);
    expect(records.isComplete).toBe(false);
    const copy = new StreamRecords(2);
    copy.restore(records.snapshot());
    expect(copy.isComplete).toBe(false);
    expect(records.canForget(2)).toBe(true);
    records.forget(2);
    expect(records.isComplete).toBe(true);
  });

  it('has no records after the snapshot of an older build', () => {
    const records = new StreamRecords();
    add(records, 1n, 'v1');
    records.restore(undefined);
    expect(records.find(1n)).toBeUndefined();
    expect(records.sequence).toBe(0);
  });

  // Members restore snapshots at different times; one of them may lead next.
  it('goes on equally from a snapshot at any time', () => {
    const command = fc.oneof(
      fc.record({
        kind: fc.constant('add' as const),
        streams: fc.array(
          fc.record({
            key: fc.bigInt({ min: 2n ** 63n, max: 2n ** 63n + 9n }),
            version: fc.integer({ min: 0, max: 2 }),
            attempt: fc.integer({ min: 0, max: 3 }),
          }),
          { maxLength: 4 },
        ),
      }),
      fc.record({ kind: fc.constant('forget' as const), upTo: fc.integer({ min: 0, max: 40 }) }),
    );
    const versions = ['v1', 'v2', 'v3'].map((version) => ({ service: 'lace', version }));
    fc.assert(
      fc.property(fc.array(command, { maxLength: 40 }), fc.nat(40), (commands, restoredAt) => {
        const records = new StreamRecords(6);
        let copy = new StreamRecords(6);
        for (const [i, step] of commands.entries()) {
          if (i === restoredAt) {
            copy = new StreamRecords(6);
            copy.restore(records.snapshot());
          }
          for (const state of [records, copy]) {
            if (step.kind === 'add') {
              state.add(create(StreamRecordsSchema, { versions, streams: step.streams }));
            } else {
              state.forget(step.upTo);
            }
          }
          expect(copy.revision).toBe(records.revision);
          expect(copy.isComplete).toBe(records.isComplete);
          const listAll = (state: StreamRecords): unknown[] =>
            Array.from({ length: 10 }, (_, key) => state.find(2n ** 63n + BigInt(key))?.version);
          expect(listAll(copy)).toEqual(listAll(records));
          expect(copy.hasOtherVersion('lace', 'v2')).toBe(records.hasOtherVersion('lace', 'v2'));
        }
      }),
    );
  });
});
