/** Guards against requests to a target that wants none, and against a rush to one that takes requests again. */
import { create, toBinary } from '@bufbuild/protobuf';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { buildTarget } from '../fleet/Fixtures.js';
import { TargetWorkSchema } from '../gen/redwingwharf/v1/fleet_pb.js';
import { getPauseMs, recordPause, TargetStates, type ITargetState } from './TargetStates.js';

function createState(): ITargetState {
  return new TargetStates().ensure(buildTarget({}), 0);
}

describe('a pause that a target asked for', () => {
  it('holds to the end of the longest wish, whatever follows it', () => {
    const wish = fc.record({ afterMs: fc.nat(5_000), pauseMs: fc.nat(20_000) });
    fc.assert(
      fc.property(fc.array(wish, { minLength: 1 }), fc.nat(60_000), (wishes, at) => {
        const state = createState();
        let now = 0;
        let pausedUntil = 0;
        for (const { afterMs, pauseMs } of wishes) {
          now += afterMs;
          recordPause(state, pauseMs, now);
          pausedUntil = Math.max(pausedUntil, now + pauseMs);
        }
        expect(getPauseMs(state, now + at) > 0).toBe(now + at < pausedUntil);
      }),
      { seed: 1 },
    );
  });

  it('ends at some time, however long the target wants it', () => {
    const state = createState();
    recordPause(state, 1e15, 0);
    expect(getPauseMs(state, 300_000)).toBe(0);
  });

  it('is followed by one more request in progress at a time', () => {
    const state = createState();
    recordPause(state, 1_000, 0);
    state.open = 1;
    expect(getPauseMs(state, 1_010)).toBe(40);
    expect(getPauseMs(state, 1_050)).toBe(0);
    state.open = 30;
    expect(getPauseMs(state, 1_060)).toBeGreaterThan(0);
    expect(getPauseMs(state, 3_000)).toBe(0);
  });

  it('does not concern the next start of the target', () => {
    const states = new TargetStates();
    recordPause(states.ensure(buildTarget({ born: 1 }), 0), 1_000, 0);
    expect(getPauseMs(states.ensure(buildTarget({ born: 2 }), 10), 10)).toBe(0);
  });
});

describe('the open requests that are reported', () => {
  // With a number that does not fit its field, no exchange of the process could be encoded.
  it('fit a message, also where the sum of their tokens does not', () => {
    for (const pendingTokens of [2 ** 40, -500, Number.NaN, 0.5]) {
      const states = new TargetStates();
      Object.assign(states.ensure(buildTarget(), 0), { open: 1, pendingTokens });
      const [work] = states.listOpen();
      expect(() => toBinary(TargetWorkSchema, create(TargetWorkSchema, work))).not.toThrow();
    }
  });
});
