/** Guards against processes that go by an outdated statement about the versions of a service. */
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { ExchangeResponseSchema, type ExchangeResponse } from '../gen/redwingwharf/v1/fleet_pb.js';
import { KnownVersions } from './KnownVersions.js';

function buildAnswer(changes: MessageInitShape<typeof ExchangeResponseSchema>): ExchangeResponse {
  return create(ExchangeResponseSchema, {
    epoch: 'hub-1',
    tracksVersions: true,
    versions: [{ service: 'lace', base: 'v1', isUniform: true }],
    versionRevision: 3n,
    ...changes,
  });
}

describe('KnownVersions', () => {
  it('counts the age of a statement from the confirmation of the leader', () => {
    const versions = new KnownVersions();
    versions.apply(buildAnswer({ confirmationAgeMs: 300 }), 10_000);
    expect(versions.get('lace', 10_199)?.isUniform).toBe(true);
    expect(versions.get('lace', 10_200)?.isUniform).toBe(false);
    expect(versions.get('lace', 23_699)?.isCurrent).toBe(true);
    expect(versions.get('lace', 23_700)).toEqual({
      base: 'v1',
      isUniform: false,
      isCurrent: false,
    });
  });

  it('keeps a statement while the hub repeats its revision without the services', () => {
    const versions = new KnownVersions();
    versions.apply(buildAnswer({}), 10_000);
    expect(versions.getRevision('hub-1')).toBe(3n);
    versions.apply(buildAnswer({ versions: [] }), 20_000);
    expect(versions.get('lace', 20_100)).toEqual({ base: 'v1', isUniform: true, isCurrent: true });
  });

  // The same number is another revision at another hub.
  it('asks a new hub for all services and replaces what it knew', () => {
    const versions = new KnownVersions();
    versions.apply(buildAnswer({}), 10_000);
    expect(versions.getRevision('hub-2')).toBe(0n);
    const other = [{ service: 'lace', base: 'v2', isUniform: false }];
    versions.apply(buildAnswer({ epoch: 'hub-2', versions: other }), 11_000);
    expect(versions.get('lace', 11_000)).toEqual({ base: 'v2', isUniform: false, isCurrent: true });
  });

  it('does not take the answer of an older hub for a confirmation', () => {
    const versions = new KnownVersions();
    versions.apply(buildAnswer({}), 10_000);
    versions.apply(create(ExchangeResponseSchema, { epoch: 'old-hub' }), 30_000);
    expect(versions.isTracked).toBe(false);
    expect(versions.get('lace', 30_000)).toEqual({
      base: 'v1',
      isUniform: false,
      isCurrent: false,
    });
  });
});
