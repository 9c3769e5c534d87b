/** Guards against targets that count as ready though they are gone, and the reverse. */
import { create, fromBinary, toBinary, type MessageInitShape } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { SILENT_LOG } from '../common/Log.js';
import {
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  TargetPhase,
  type ExchangeRequest,
  type TargetRecord,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { buildTarget, NO_SPENDING } from './Fixtures.js';
import { FleetHub } from './FleetHub.js';

const QUOTA = { windowMs: 8_000, excessRatio: 0, toleranceTokens: 0 };
const ANNOUNCE_INTERVAL_MS = 1_200;

function createHub(): FleetHub {
  return new FleetHub(
    'e1',
    {
      announceIntervalMs: ANNOUNCE_INTERVAL_MS,
      quota: QUOTA,
      processStartedAt: 0,
      log: SILENT_LOG,
    },
    0,
    NO_SPENDING,
  );
}

function buildReport(changes: MessageInitShape<typeof ExchangeRequestSchema>): ExchangeRequest {
  return create(ExchangeRequestSchema, { node: 'n1', takesRequests: true, ...changes });
}

function getTarget(hub: FleetHub, id = 'i-1'): TargetRecord | undefined {
  return hub.listTargets().find((target) => target.id === id);
}

/** Records ceilings until none has to be raised any more. */
function recordCeilings(hub: FleetHub, now: number): void {
  for (let records = hub.takeRecords(now); records.length > 0; records = hub.takeRecords(now)) {
    hub.raiseCeilings(records);
  }
}

describe('FleetHub', () => {
  it('ignores an announcement that arrives after a later one', () => {
    const hub = createHub();
    hub.announce(buildTarget({ sequence: 5n, phase: TargetPhase.DRAINING }), 0);
    expect(hub.announce(buildTarget({ sequence: 4n }), 10)).toBe(false);
    expect(getTarget(hub)?.phase).toBe(TargetPhase.DRAINING);
  });

  // An older process still accepts such an announcement; passed on, it would be chosen for requests by all entries.
  it.each(['10.1.0.1:99999', '10.1.0.1:0', '300.1.0.1:8000'])(
    'ignores an announcement from another process with the address %s',
    (address) => {
      const hub = createHub();
      hub.announce(buildTarget(), 0);
      const announced = [
        buildTarget({ sequence: 2n, address }),
        buildTarget({ id: 'i-odd', born: 2_000, address }),
      ];
      hub.applyReport(buildReport({ announced }), 10);
      expect(hub.listTargets()).toMatchObject([{ id: 'i-1', sequence: 1n }]);
    },
  );

  it('keeps a target gone until it restarts under the same id', () => {
    const hub = createHub();
    hub.announce(buildTarget({ phase: TargetPhase.GONE, sequence: 5n }), 0);
    hub.announce(buildTarget({ sequence: 9n }), 10);
    expect(getTarget(hub)?.phase).toBe(TargetPhase.GONE);
    hub.announce(buildTarget({ sequence: 1n, born: 2_000 }), 20);
    expect(getTarget(hub)?.phase).toBe(TargetPhase.READY);
  });

  it('assigns an address to the target that started last at it', () => {
    const hub = createHub();
    hub.announce(buildTarget({ id: 'i-new', born: 2_000 }), 0);
    // Sent before the crash of the old target and delayed in transit.
    hub.announce(buildTarget({ id: 'i-old', born: 1_000, sequence: 99n }), 10);
    expect(getTarget(hub, 'i-old')?.phase).toBe(TargetPhase.GONE);
    expect(getTarget(hub, 'i-new')?.phase).toBe(TargetPhase.READY);
  });

  it('marks a target as silent, and as not silent once it announces itself again', () => {
    const hub = createHub();
    hub.announce(buildTarget(), 0);
    hub.applyReport(buildReport({}), 4 * ANNOUNCE_INTERVAL_MS);
    expect(getTarget(hub)?.silent).toBe(true);
    hub.announce(buildTarget({ sequence: 2n }), 4 * ANNOUNCE_INTERVAL_MS + 10);
    expect(getTarget(hub)?.silent).toBe(false);
  });

  it('keeps the load state across announcements, but not across a restart of the target', () => {
    const hub = createHub();
    hub.announce(buildTarget(), 0);
    hub.setLoadState('i-1', 'loading');
    hub.announce(buildTarget({ sequence: 2n }), 10);
    expect(getTarget(hub)?.loading).toBe(true);
    hub.announce(buildTarget({ sequence: 1n, born: 2_000 }), 20);
    expect(getTarget(hub)?.loading).toBe(false);
  });

  // A process of an older build forwards announcements without it.
  it('keeps the software version of a target until its restart', () => {
    const hub = createHub();
    hub.announce(buildTarget({ softwareVersion: 'v1' }), 0);
    hub.announce(buildTarget({ sequence: 2n }), 10);
    expect(getTarget(hub)?.softwareVersion).toBe('v1');
    hub.announce(buildTarget({ sequence: 1n, born: 2_000 }), 20);
    expect(getTarget(hub)?.softwareVersion).toBe('');
  });

  it('propagates the software version of a target that a process of an older build announced first', () => {
    const hub = createHub();
    hub.announce(buildTarget(), 0);
    const { revision } = hub.listTargetsSince('e1', 0);
    hub.announce(buildTarget({ sequence: 2n, softwareVersion: 'v1' }), 10);
    expect(hub.listTargetsSince('e1', revision).targets).toMatchObject([{ softwareVersion: 'v1' }]);
  });

  it('returns the targets changed since a revision, and all to a process of another epoch', () => {
    const hub = createHub();
    hub.announce(buildTarget({ id: 'i-1' }), 0);
    const { revision } = hub.listTargetsSince('', 0);
    hub.announce(buildTarget({ id: 'i-2', address: '10.1.0.2:8000' }), 10);
    expect(hub.listTargetsSince('e1', revision).targets.map(({ id }) => id)).toEqual(['i-2']);
    expect(hub.listTargetsSince('e0', revision).targets.map(({ id }) => id)).toEqual([
      'i-1',
      'i-2',
    ]);
  });

  it('sums the work of all processes except the requesting one', () => {
    const hub = createHub();
    const work = [{ id: 'i-1', open: 2, pendingTokens: 100, longStreams: 1 }];
    hub.applyReport(buildReport({ node: 'n1', work }), 0);
    hub.applyReport(buildReport({ node: 'n2', work }), 0);
    hub.applyReport(buildReport({ node: 'n3', work }), 0);
    expect(hub.sumWorkOfOthers('n1')).toMatchObject([{ id: 'i-1', open: 4, pendingTokens: 200 }]);
    expect(hub.countLongStreams('i-1')).toBe(3);
  });

  // An answer that cannot be encoded reaches no process.
  it('reports work, waits for tokens and waits for permits that fit a message, however large they are', () => {
    const hub = createHub();
    const work = [{ id: 'i-1', open: 2, pendingTokens: 2 ** 32 - 1, longStreams: 1 }];
    for (const node of ['n1', 'n2', 'n3']) {
      hub.applyReport(buildReport({ node, work }), 0);
    }
    hub.announce(buildTarget({ rateLimit: 0 }), 0);
    hub.setLimits(new Map([['pag', 1]]), 0);
    const quotas = [{ clientAccount: 'pag', held: 0, wanted: 1e300, spent: 0, total: 0 }];
    const run = { node: 'n1', incarnation: 'a', reportSequence: 1n };
    const response = create(ExchangeResponseSchema, {
      work: hub.sumWorkOfOthers('n1'),
      grants: hub.grantLeases({ ...run, quotas }, 0),
      permits: hub.grantPermits('n1', [{ target: 'i-1', requests: 2 ** 32 - 1 }], 0),
    });
    expect(fromBinary(ExchangeResponseSchema, toBinary(ExchangeResponseSchema, response))).toEqual(
      response,
    );
    expect(response.work[0]?.pendingTokens).toBe(2 ** 32 - 1);
  });

  it('no longer counts the work of a process that has stopped reporting', () => {
    const hub = createHub();
    const work = [{ id: 'i-1', open: 2, pendingTokens: 100, longStreams: 1 }];
    hub.applyReport(buildReport({ node: 'n1', work }), 0);
    hub.applyReport(buildReport({ node: 'n2', work }), 0);
    hub.applyReport(buildReport({ node: 'n2', work }), 1_500);
    hub.applyReport(buildReport({ node: 'n2', work }), 3_000);
    expect(hub.countLongStreams('i-1')).toBe(1);
    expect(hub.sumWorkOfOthers('n2')).toEqual([]);
    hub.applyReport(buildReport({ node: 'n2', work: [] }), 3_100);
    expect(hub.countLongStreams('i-1')).toBe(0);
  });

  it('counts what an entry spent before its restart for one more window', () => {
    const hub = createHub();
    hub.setLimits(new Map([['pag', 1_000]]), 0);
    const requestAs = (incarnation: string, now: number): number => {
      const quotas = [{ clientAccount: 'pag', held: 0, wanted: 1_000, spent: 0, total: 0 }];
      const report = (reportSequence: bigint): number =>
        hub.grantLeases({ node: 'entry', incarnation, reportSequence, quotas }, now)[0]?.lease ?? 0;
      report(1n);
      recordCeilings(hub, now);
      return report(2n);
    };
    const granted = ['a', 'b', 'c', 'd'].map((incarnation, i) =>
      requestAs(incarnation, 100_000 + i * 1_000),
    );
    expect(granted[0]).toBeGreaterThan(0);
    expect(granted.reduce((sum, tokens) => sum + tokens, 0)).toBeLessThanOrEqual(1_000);
  });

  it('ignores a report of quotas that arrives after a later one', () => {
    const hub = createHub();
    hub.setLimits(new Map([['pag', 1_000]]), 0);
    const report = (sequence: bigint, held: number): number | undefined => {
      const quotas = [{ clientAccount: 'pag', held, wanted: 500, spent: 0, total: 0 }];
      const fields = { node: 'entry', incarnation: 'a', reportSequence: sequence, quotas };
      return hub.grantLeases(fields, 100)[0]?.lease;
    };
    report(1n, 0);
    recordCeilings(hub, 100);
    expect(report(3n, 0)).toBeGreaterThan(0);
    // It states a lease of before the answer to the later one, and would free what that one granted.
    expect(report(2n, 0)).toBeUndefined();
  });

  it('holds back the tokens of a client account that may be leased by a former hub', () => {
    const startedAt = 20_000;
    const hub = new FleetHub(
      'e2',
      {
        announceIntervalMs: ANNOUNCE_INTERVAL_MS,
        quota: QUOTA,
        processStartedAt: 0,
        log: SILENT_LOG,
      },
      startedAt,
      { isConfigured: true, records: [], getCeiling: () => 1_000 },
    );
    hub.setLimits(new Map([['pag', 1_000]]), startedAt);
    hub.setLimits(
      new Map([
        ['pag', 1_000],
        ['lepoglava', 1_000],
      ]),
      startedAt,
    );
    const quotas = ['pag', 'lepoglava'].map((clientAccount) => ({
      ...{ clientAccount, held: 0, wanted: 500, spent: 0, total: 0 },
    }));
    const report = { node: 'entry', incarnation: 'a', quotas };
    hub.grantLeases({ ...report, reportSequence: 1n }, startedAt + 1_000);
    recordCeilings(hub, startedAt + 1_000);
    const grants = hub.grantLeases({ ...report, reportSequence: 2n }, startedAt + 1_000);
    const leases = grants.map(({ lease }) => lease);
    // An account that was added since cannot have leases of the former hub.
    expect(leases[0]).toBe(0);
    expect(leases[1]).toBeGreaterThan(0);
  });
});
