/** Guards against rollouts that change in an order of commands other than their own, or are lost in a snapshot. */
import { create, toBinary } from '@bufbuild/protobuf';
import { expect, it } from 'vitest';
import {
  FleetCommandSchema,
  FleetSnapshotSchema,
  RolloutState,
  type FleetCommand,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { FleetState } from './FleetState.js';

function apply(state: FleetState, ...bodies: Parameters<typeof createCommand>[0][]): void {
  for (const body of bodies) {
    state.apply(toBinary(FleetCommandSchema, createCommand(body)));
  }
}

function createCommand(
  body: NonNullable<Parameters<typeof create<typeof FleetCommandSchema>>[1]>['body'],
): FleetCommand {
  return create(FleetCommandSchema, body === undefined ? {} : { body });
}

const START = {
  case: 'startRollout',
  value: { id: 'r-1', service: 'lace', to: 'v2', durationMs: 12_000 },
} as const;

it('ignores a second order while one runs, and records of another rollout or an earlier time', () => {
  const state = new FleetState();
  apply(
    state,
    START,
    { case: 'startRollout', value: { ...START.value, id: 'r-2', to: 'v3' } },
    { case: 'recordRollout', value: { id: 'r-1', service: 'lace', step: 2, elapsedMs: 900 } },
    { case: 'recordRollout', value: { id: 'r-1', service: 'lace', step: 1, elapsedMs: 800 } },
    { case: 'recordRollout', value: { id: 'r-2', service: 'lace', step: 4, elapsedMs: 1_000 } },
  );
  const expected = { id: 'r-1', to: 'v2', step: 2, elapsedMs: 900, state: RolloutState.RUNNING };
  expect(state.rollouts.get('lace')).toMatchObject(expected);
});

it('bars versions over several rollouts, until one is rolled out again', () => {
  const state = new FleetState();
  const end = { service: 'lace', state: RolloutState.ROLLED_BACK, reason: 'bad' };
  apply(
    state,
    START,
    { case: 'endRollout', value: { ...end, id: 'r-1', barredVersions: ['v2'] } },
    { case: 'startRollout', value: { ...START.value, id: 'r-2', to: 'v3' } },
  );
  expect(state.rollouts.get('lace')?.barredVersions).toEqual(['v2']);
  apply(
    state,
    { case: 'endRollout', value: { ...end, id: 'r-2', barredVersions: ['v3'] } },
    { case: 'startRollout', value: { ...START.value, id: 'r-3' } },
  );
  expect(state.rollouts.get('lace')?.barredVersions).toEqual(['v3']);
});

it('restores rollouts from a snapshot, and none from one of an older build', () => {
  const state = new FleetState();
  apply(state, START);
  const copy = new FleetState();
  copy.restore(state.snapshot());
  expect(copy.rollouts.get('lace')).toEqual(state.rollouts.get('lace'));
  expect(copy.rollouts.revision).toBe(1n);
  expect(copy.snapshot()).toEqual(state.snapshot());
  copy.restore(toBinary(FleetSnapshotSchema, create(FleetSnapshotSchema)));
  expect(copy.rollouts.list()).toEqual([]);
});
