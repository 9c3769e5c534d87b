/**
 * Guards against targets that leave, to which other entries send requests although one entry has acknowledged the
 * announcement.
 */
import { afterEach, describe, expect, it } from 'vitest';
import { MonotonicClock } from '../common/Clock.js';
import { SILENT_LOG } from '../common/Log.js';
import { Ok } from '../common/Result.js';
import { InMemoryLog } from '../consensus/InMemoryLog.js';
import { waitUntil } from '../consensus/TestCluster.js';
import { TargetPhase, type ExchangeRequest } from '../gen/redwingwharf/v1/fleet_pb.js';
import { buildConfiguration, buildTarget } from './Fixtures.js';
import { FleetNode } from './FleetNode.js';
import { FleetState } from './FleetState.js';
import { FleetView } from './FleetView.js';
import { QuotaWallet } from './QuotaWallet.js';

const CLOCK = new MonotonicClock();
const QUOTA = { windowMs: 8_000, excessRatio: 0, toleranceTokens: 0 };
const CONFIRM_TIMEOUT_MS = 800;

type RpcSource = ConstructorParameters<typeof FleetNode>[6];

/** A leader, and an entry to which a target announces itself while an exchange is on its way. */
class Fleet {
  public readonly stop = new AbortController();
  public readonly leader: FleetNode;
  public readonly entry: FleetNode;
  private _onExchange: (request: ExchangeRequest) => void = () => undefined;

  constructor() {
    this.leader = this._createNode('leader');
    const state = new FleetState();
    this.leader.setMember({ log: new InMemoryLog(state, CLOCK, 'leader'), state });
    this.entry = this._createNode('entry');
    void this.entry.run(this.stop.signal);
  }

  /** Phase of the target at the hub. */
  public get phase(): TargetPhase | undefined {
    return this.leader.getHub(CLOCK.now())?.listTargets()[0]?.phase;
  }

  /** Announces a target to the entry, and then a change of it while the entry waits for the answer of the hub. */
  public async announceDuringExchange(announce: (node: FleetNode) => void): Promise<boolean> {
    let confirmed: Promise<boolean> | undefined;
    this._onExchange = ({ announced }) => {
      if (announced.length > 0 && confirmed === undefined) {
        announce(this.entry);
        confirmed = this.entry.awaitExchange(CONFIRM_TIMEOUT_MS, this.stop.signal);
      }
    };
    this.entry.announce(buildTarget({ sequence: 8n }), CLOCK.now());
    await waitUntil('the hub has the target', () => confirmed !== undefined);
    return (await confirmed) ?? false;
  }

  private _createNode(address: string): FleetNode {
    const rpc = {
      get: () => ({
        exchange: (request: ExchangeRequest) => {
          this._onExchange(request);
          return Promise.resolve(this.leader.handleExchange(request, CLOCK.now()));
        },
      }),
    } as unknown as RpcSource;
    return new FleetNode(
      {
        address,
        takesRequests: true,
        hub: { announceIntervalMs: 1_200, quota: QUOTA, processStartedAt: 0, log: SILENT_LOG },
      },
      new FleetView(() => Ok(buildConfiguration()), SILENT_LOG),
      new QuotaWallet(QUOTA.windowMs),
      { listWork: () => [], takeReadings: () => [], applyReadings: () => undefined },
      {
        suspects: [],
        listUnreported: () => ({ crashes: [], clearedParts: [] }),
        removeReported: () => undefined,
        repeatReports: () => undefined,
        setHubReachable: () => undefined,
        applySuspects: () => undefined,
      },
      {
        listReports: () => ({ observations: [], demands: [] }),
        removeReported: () => undefined,
        repeatReports: () => undefined,
        applyGrants: () => undefined,
        setHubReachable: () => undefined,
      },
      rpc,
      CLOCK,
      SILENT_LOG,
      ['leader'],
    );
  }
}

let fleet = new Fleet();

afterEach(() => {
  fleet.stop.abort();
  fleet = new Fleet();
});

describe('an acknowledged announcement', () => {
  // The answer to an exchange with the last heartbeat was taken as one for the removal, which has the same sequence.
  it('reaches the hub if the target is removed while its last heartbeat is on the way', async () => {
    const isConfirmed = await fleet.announceDuringExchange((entry) => {
      entry.announce(buildTarget({ sequence: 8n, phase: TargetPhase.GONE }), CLOCK.now());
    });
    expect(isConfirmed).toBe(true);
    expect(fleet.phase).toBe(TargetPhase.GONE);
  });

  // The delayed heartbeat took the place of the later announcement, which so was never sent to the hub.
  it.each([TargetPhase.DRAINING, TargetPhase.GONE])(
    'reaches the hub if a delayed heartbeat arrives after it (phase %i)',
    async (phase) => {
      const isConfirmed = await fleet.announceDuringExchange((entry) => {
        entry.announce(buildTarget({ sequence: 10n, phase }), CLOCK.now());
        entry.announce(buildTarget({ sequence: 9n }), CLOCK.now());
      });
      expect(isConfirmed).toBe(true);
      expect(fleet.phase).toBe(phase);
    },
  );
});
