/** Guards against state of the hub that a process never learns. */
import { create } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { SILENT_LOG } from '../common/Log.js';
import { Ok } from '../common/Result.js';
import { ExchangeResponseSchema, TargetPhase } from '../gen/redwingwharf/v1/fleet_pb.js';
import { buildConfiguration, buildTarget } from './Fixtures.js';
import { FleetView } from './FleetView.js';

type TargetChanges = Parameters<typeof buildTarget>[0];

/** A view to which a target has announced itself, and that then receives its record from the hub. */
function createView(announced: TargetChanges, fromHub: TargetChanges): FleetView {
  const view = new FleetView(() => Ok(buildConfiguration()), SILENT_LOG);
  view.applyAnnouncement(buildTarget(announced));
  const targets = [buildTarget(fromHub)];
  view.applyResponse(create(ExchangeResponseSchema, { targets }), 0);
  return view;
}

describe('FleetView', () => {
  // The hub sends such a record once, so that the process would ignore a limit, or a load of weights, for good.
  it('learns what the hub added to a record that is older than the last announcement to this process', () => {
    const view = createView(
      { sequence: 9n, slots: 3 },
      { sequence: 8n, slots: 2, rateLimit: 2, loading: true },
    );
    expect(view.getTarget('i-1')).toMatchObject({ rateLimit: 2, loading: true, slots: 3 });
  });

  it('tells of a limit that the hub added or dropped', () => {
    const view = createView({}, {});
    const limits: unknown[] = [];
    view.onRateLimitChange(({ rateLimit }) => {
      limits.push(rateLimit);
    });
    for (const changes of [{ rateLimit: 2 }, { rateLimit: 2 }, {}]) {
      view.applyHubTarget(buildTarget(changes));
    }
    expect(limits).toEqual([2, undefined]);
  });

  it('learns nothing from a record of an earlier start', () => {
    const view = createView({ born: 2, sequence: 1n }, { born: 1, sequence: 8n, rateLimit: 2 });
    expect(view.getTarget('i-1')?.rateLimit).toBeUndefined();
  });

  it('keeps a target gone that an older record of the hub calls ready', () => {
    const view = createView({ sequence: 9n, phase: TargetPhase.GONE }, { sequence: 8n });
    expect(view.getTarget('i-1')?.phase).toBe(TargetPhase.GONE);
  });

  // A hub, or the process that saved its targets before an update, may be of a version that accepted such a record.
  it('drops a record that names no usable target, wherever it comes from', () => {
    const odd = { id: 'i-odd', address: '10.1.0.1:99999' };
    const view = createView(odd, odd);
    view.applyTarget(buildTarget(odd));
    view.applyHubTarget(buildTarget(odd));
    expect(view.listRecords()).toEqual([]);
  });

  it('keeps a target when a later record of it names no usable one', () => {
    const view = createView({}, { sequence: 2n, address: '10.1.0.1:0' });
    view.applyHubTarget(buildTarget({ sequence: 0n, address: '10.1.0.1:0', loading: true }));
    expect(view.getTarget('i-1')).toMatchObject({ sequence: 1n, loading: false });
    expect(view.listTargets('lace')).toHaveLength(1);
  });
});
