/** Measures the target roster of an entry and the cache index of a sidecar. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import {
  AnnounceRequestSchema,
  TargetKind,
  type AnnounceRequest,
} from '../../src/gen/redwingwharf/v1/control_pb.js';
import { Roster } from '../../src/roster/Roster.js';
import { CacheIndex } from '../../src/sidecar/CacheIndex.js';
import { measureKilobytes, measureUs, type ISlope } from './Measure.js';

const TARGET_COUNTS = [100, 1_000, 5_600] as const;
const CHUNK_COUNTS = [10_000, 40_000, 160_000] as const;
const EVENTS_PER_STEP = 100_000;

function createAnnouncement(index: number, sequence: number): AnnounceRequest {
  return create(AnnounceRequestSchema, {
    target: `engine-${index}`,
    service: `service-${index % 5}`,
    kind: TargetKind.ENGINE,
    dataCentre: `dc-${index % 13}`,
    address: `10.0.${index >> 8}.${index & 255}:9001`,
    sidecarIncarnation: new Uint8Array(16).fill(index & 255),
    targetIncarnation: '0f4f6d4e-51f6-4f4e-9d7e-5a1d2a3b4c5d',
    model: `model-${index % 5}`,
    weightsVersion: '2026-12-01',
    healthy: true,
    load: { queued: 3, running: 17, queuedPromptTokens: 9_000, freeBlocks: 120, totalBlocks: 400 },
    sequence: BigInt(sequence),
  });
}

function createRoster(count: number): Roster {
  const roster = new Roster();
  for (let index = 0; index < count; index++) {
    const encoded = toBinary(AnnounceRequestSchema, createAnnouncement(index, 1));
    roster.announce(fromBinary(AnnounceRequestSchema, encoded), 0);
  }
  return roster;
}

/** Measures an announcement of a known target, with encoding and decoding, in microseconds. */
function measureAnnouncement(count: number): number {
  const roster = createRoster(count);
  let sequence = 1;
  return measureUs(count, () => {
    sequence += 1;
    for (let index = 0; index < count; index++) {
      const encoded = toBinary(AnnounceRequestSchema, createAnnouncement(index, sequence));
      roster.announce(fromBinary(AnnounceRequestSchema, encoded), 0);
    }
  });
}

function createCacheIndex(chunks: number): CacheIndex {
  const index = new CacheIndex();
  index.apply(
    Array.from({ length: chunks }, (_, seq) => ({
      seq: seq + 1,
      type: 'stored' as const,
      hash: seq.toString(16).padStart(32, '0'),
    })),
  );
  return index;
}

/**
 * Measures applying a cache event of an engine to an index of that many chunks, in microseconds.
 */
function measureCacheEvents(chunks: number): number {
  const index = createCacheIndex(chunks);
  let seq = chunks;
  return measureUs(EVENTS_PER_STEP, () => {
    const events = Array.from({ length: EVENTS_PER_STEP }, (_, offset) => {
      seq += 1;
      const isStored = offset % 2 === 0;
      return {
        seq,
        type: isStored ? ('stored' as const) : ('removed' as const),
        hash: ((seq >> 1) % chunks).toString(16).padStart(32, '0'),
      };
    });
    index.apply(events);
  });
}

/** Measures the roster by number of targets and the cache index by number of chunks. */
export function measureRoster(): ISlope[] {
  const announcementBytes = toBinary(
    AnnounceRequestSchema,
    createAnnouncement(4_711, 1_000),
  ).length;
  return [
    {
      name: 'roster memory at an entry',
      unit: 'KB',
      per: 'target',
      points: TARGET_COUNTS.map((count) => ({
        size: count,
        value: measureKilobytes(() => createRoster(count)),
      })),
    },
    {
      name: 'announcement (codec and roster)',
      unit: 'us',
      per: 'target',
      points: TARGET_COUNTS.map((count) => ({ size: count, value: measureAnnouncement(count) })),
    },
    {
      name: 'announcement message',
      unit: 'bytes',
      per: 'announcement',
      points: [{ size: 1, value: announcementBytes }],
    },
    {
      name: 'cache index memory at a sidecar',
      unit: 'KB',
      per: 'chunk',
      points: CHUNK_COUNTS.map((count) => ({
        size: count,
        value: measureKilobytes(() => createCacheIndex(count)),
      })),
    },
    {
      name: 'cache event at a sidecar',
      unit: 'us',
      per: 'chunk',
      points: CHUNK_COUNTS.map((count) => ({ size: count, value: measureCacheEvents(count) })),
    },
  ];
}
