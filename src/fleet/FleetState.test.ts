/**
 * Guards against a configuration that reverts to an older version, or differs between members under one
 * version.
 */
import { create, toBinary } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import {
  FleetCommandSchema,
  FleetSnapshotSchema,
  ForgetStreamsSchema,
  ServiceVersionSchema,
  StreamRecordsSchema,
  type FleetCommand,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { FleetState } from './FleetState.js';

function putDocument(version: number, text: string): FleetCommand {
  return create(FleetCommandSchema, {
    body: {
      case: 'putDocument',
      value: { version: BigInt(version), content: new TextEncoder().encode(text) },
    },
  });
}

function nameWeights(model: string, version: number): FleetCommand {
  return create(FleetCommandSchema, {
    body: { case: 'nameWeights', value: { model, version: BigInt(version) } },
  });
}

function recordSpending(clientAccount: string, ceiling: number): FleetCommand {
  return create(FleetCommandSchema, {
    body: { case: 'recordSpending', value: { accounts: [{ clientAccount, ceiling }] } },
  });
}

function apply(state: FleetState, ...commands: readonly FleetCommand[]): void {
  for (const command of commands) {
    state.apply(toBinary(FleetCommandSchema, command));
  }
}

function readText(state: FleetState): string {
  return new TextDecoder().decode(state.document?.content);
}

describe('FleetState', () => {
  it('keeps the highest version in any order of arrival', () => {
    const state = new FleetState();
    apply(state, putDocument(9, 'nine'), putDocument(4, 'four'), putDocument(12, 'twelve'));
    expect(readText(state)).toBe('twelve');
    apply(state, putDocument(9, 'nine'));
    expect(readText(state)).toBe('twelve');
  });

  it('keeps the content that was first committed under a version', () => {
    const state = new FleetState();
    apply(state, putDocument(9, 'first'), putDocument(9, 'second'));
    expect(readText(state)).toBe('first');
  });

  it('keeps the newest weights of each model', () => {
    const state = new FleetState();
    apply(state, nameWeights('m', 3), nameWeights('n', 2), nameWeights('m', 2));
    expect(state.weights.map(({ model, version }) => `${model}@${version}`)).toEqual([
      'm@3',
      'n@2',
    ]);
  });

  it('restores the same state from a snapshot', () => {
    const state = new FleetState();
    apply(state, putDocument(9, 'nine'), nameWeights('m', 3));
    const copy = new FleetState();
    copy.restore(state.snapshot());
    expect(readText(copy)).toBe('nine');
    expect(copy.snapshot()).toEqual(state.snapshot());
  });

  // After a kill of all processes the disks of the members are all that tells which version began a stream.
  it('restores base versions and records of streams from a snapshot', () => {
    const state = new FleetState();
    const commands: FleetCommand['body'][] = [
      {
        case: 'setVersionBase',
        value: create(ServiceVersionSchema, { service: 'lace', version: 'v1' }),
      },
      {
        case: 'recordStreams',
        value: create(StreamRecordsSchema, {
          versions: [{ service: 'lace', version: 'v2' }],
          streams: [{ key: 5n, attempt: 1 }],
        }),
      },
      { case: 'recordStreams', value: create(StreamRecordsSchema) },
      { case: 'forgetStreams', value: create(ForgetStreamsSchema, { upTo: 0n }) },
    ];
    apply(state, ...commands.map((body) => create(FleetCommandSchema, { body })));
    const copy = new FleetState();
    copy.restore(state.snapshot());
    expect([...copy.versionBases]).toEqual([['lace', 'v1']]);
    expect(copy.streams.find(5n)).toMatchObject({ service: 'lace', version: 'v2' });
    expect(copy.streams.sequence).toBe(2);
    expect(copy.snapshot()).toEqual(state.snapshot());
    const forget = create(ForgetStreamsSchema, { upTo: 1n });
    apply(copy, create(FleetCommandSchema, { body: { case: 'forgetStreams', value: forget } }));
    expect(copy.streams.find(5n)).toBeUndefined();
  });

  it('has no records after the snapshot of an older build', () => {
    const state = new FleetState();
    state.restore(toBinary(FleetSnapshotSchema, create(FleetSnapshotSchema)));
    expect([...state.versionBases]).toEqual([]);
    expect(state.streams.size).toBe(0);
  });

  // The ceiling was a function, and with it every lease of the client account was no number.
  it.each(['constructor', 'toString', '__proto__'])(
    'has no ceiling of a client account %s before one is recorded',
    (clientAccount) => {
      const state = new FleetState();
      expect(state.getCeiling(clientAccount)).toBe(0);
      apply(state, recordSpending(clientAccount, 500));
      expect(state.getCeiling(clientAccount)).toBe(500);
      const copy = new FleetState();
      expect(copy.getCeiling(clientAccount)).toBe(0);
      copy.restore(state.snapshot());
      expect(copy.spending).toEqual(state.spending);
      expect(copy.snapshot()).toEqual(state.snapshot());
      expect(copy.getCeiling(clientAccount)).toBe(500);
    },
  );

  it('ignores bytes that are not a command', () => {
    const state = new FleetState();
    state.apply(new Uint8Array([255, 255, 255]));
    expect(state.document).toBeUndefined();
  });
});
