/** Guards against a target that gets requests again after a stop of all processes, although it was told that it gets none. */
import { describe, expect, it } from 'vitest';
import { create, toBinary } from '@bufbuild/protobuf';
import { SILENT_LOG } from '../common/Log.js';
import {
  FleetCommandSchema,
  TargetPhase,
  type TargetRecord,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { DepartureRecorder, Departures } from './Departures.js';
import { buildTarget } from './Fixtures.js';
import { FleetHub } from './FleetHub.js';
import { FleetState } from './FleetState.js';

const HUB_OPTIONS = {
  announceIntervalMs: 1_200,
  quota: { windowMs: 8_000, excessRatio: 0, toleranceTokens: 0 },
  processStartedAt: 0,
  log: SILENT_LOG,
};

const NO_SPENDING = { isConfigured: false, records: [], getCeiling: () => 0 };

const READY = { born: 5, sequence: 3n, phase: TargetPhase.READY };

function createState(...records: readonly TargetRecord[]): FleetState {
  const state = new FleetState();
  for (const value of records) {
    const command = create(FleetCommandSchema, { body: { case: 'recordDeparture', value } });
    state.apply(toBinary(FleetCommandSchema, command));
  }
  return state;
}

/** The phase at a hub that starts after a stop of all and gets what a process had saved. */
function restorePhase(state: FleetState, saved: TargetRecord): TargetPhase | undefined {
  const hub = new FleetHub('e1', HUB_OPTIONS, 0, NO_SPENDING, (record) =>
    state.departures.resolve(record),
  );
  hub.announce(saved, 0);
  return hub.listTargets()[0]?.phase;
}

describe('a departure that was committed', () => {
  it.each([TargetPhase.DRAINING, TargetPhase.GONE])(
    'holds for an older record that a process had saved (phase %i)',
    (phase) => {
      const state = createState(buildTarget({ ...READY, sequence: 4n, phase }));
      const restored = new FleetState();
      restored.restore(state.snapshot());
      expect(restorePhase(state, buildTarget(READY))).toBe(phase);
      expect(restorePhase(restored, buildTarget(READY))).toBe(phase);
    },
  );

  it('does not hold for a later start of the target, nor for one that is ready again', () => {
    const draining = buildTarget({ ...READY, sequence: 4n, phase: TargetPhase.DRAINING });
    const gone = buildTarget({ ...READY, sequence: 4n, phase: TargetPhase.GONE });
    const later = buildTarget({ ...READY, born: 6, sequence: 1n });
    const readyAgain = buildTarget({ ...READY, sequence: 5n });
    expect(restorePhase(createState(draining), later)).toBe(TargetPhase.READY);
    expect(restorePhase(createState(gone), later)).toBe(TargetPhase.READY);
    expect(restorePhase(createState(draining), readyAgain)).toBe(TargetPhase.READY);
    expect(restorePhase(createState(gone), readyAgain)).toBe(TargetPhase.GONE);
  });

  it('is not replaced by an older one that arrives late', () => {
    const gone = buildTarget({ ...READY, sequence: 4n, phase: TargetPhase.GONE });
    const draining = buildTarget({ ...READY, sequence: 4n, phase: TargetPhase.DRAINING });
    expect(restorePhase(createState(gone, draining), buildTarget(READY))).toBe(TargetPhase.GONE);
  });

  it('is kept with a bounded number of others, the newest', () => {
    const departures = new Departures(3);
    for (const id of ['a', 'b', 'a', 'c', 'd']) {
      const sequence = BigInt(departures.list().length + 1);
      departures.add(buildTarget({ id, sequence, phase: TargetPhase.DRAINING }));
    }
    expect(departures.list().map(({ id }) => id)).toEqual(['a', 'c', 'd']);
  });
});

describe('DepartureRecorder', () => {
  const signal = new AbortController().signal;
  const draining = (sequence: bigint): TargetRecord =>
    buildTarget({ ...READY, sequence, phase: TargetPhase.DRAINING });

  it('commits one departure once, however often it is announced', async () => {
    let commits = 0;
    const recorder = new DepartureRecorder(() => {
      commits += 1;
      return Promise.resolve(commits > 1);
    });
    const results = [];
    for (const sequence of [4n, 5n, 6n]) {
      results.push(await recorder.record(draining(sequence), signal));
    }
    expect(results).toEqual([false, true, true]);
    expect(commits).toBe(2);
  });

  it('commits a second departure of a target that was ready between', async () => {
    const committed: bigint[] = [];
    const recorder = new DepartureRecorder(({ sequence }) => {
      committed.push(sequence);
      return Promise.resolve(true);
    });
    await recorder.record(draining(4n), signal);
    recorder.forget('i-1');
    await recorder.record(draining(6n), signal);
    await recorder.record(buildTarget({ ...READY, phase: TargetPhase.GONE }), signal);
    expect(committed).toEqual([4n, 6n, 3n]);
  });
});
