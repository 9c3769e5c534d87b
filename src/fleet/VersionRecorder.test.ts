/** Guards against a new base that is committed after streams of the former one have begun without records. */
import { describe, expect, it } from 'vitest';
import { SILENT_LOG } from '../common/Log.js';
import { Err, type Result } from '../common/Result.js';
import { InMemoryLog } from '../consensus/InMemoryLog.js';
import type { ConsensusFailure, ICommitted } from '../consensus/Types.js';
import { buildConfiguration, buildTarget, NO_SPENDING } from './Fixtures.js';
import { FleetHub } from './FleetHub.js';
import { FleetState } from './FleetState.js';
import { RouteTable } from './RouteTable.js';
import { VersionRecorder } from './VersionRecorder.js';

const DELAY_MS = 30_000;
const NEVER = new AbortController().signal;

/** A log whose commands stay without outcome while it is interrupted, and may be committed later. */
class InterruptedLog extends InMemoryLog {
  public isInterrupted = false;
  private readonly _delayed: Uint8Array[] = [];

  public override propose(command: Uint8Array): Promise<Result<ICommitted, ConsensusFailure>> {
    if (this.isInterrupted) {
      this._delayed.push(command);
      return Promise.resolve(Err({ kind: 'indeterminate', message: 'no majority' }));
    }
    return super.propose(command);
  }

  /** Commits the first of the delayed commands. */
  public async commitDelayed(count: number): Promise<void> {
    for (const command of this._delayed.splice(0, count)) {
      await super.propose(command);
    }
  }
}

/** A hub of one service that knows one target. */
class Leader {
  public readonly state = new FleetState();
  public readonly log: InterruptedLog;
  public now = 0;
  private readonly _hub: FleetHub;
  private readonly _recorder: VersionRecorder;
  private _sequence = 0n;

  constructor() {
    const clock = { now: (): number => this.now };
    this.log = new InterruptedLog(this.state, clock, 'leader');
    this._hub = new FleetHub(
      'leader/1',
      {
        announceIntervalMs: 1_200,
        quota: { windowMs: 8_000, excessRatio: 0, toleranceTokens: 0 },
        processStartedAt: 0,
        log: SILENT_LOG,
      },
      0,
      NO_SPENDING,
    );
    this._recorder = new VersionRecorder(
      { getHub: () => this._hub, getRebaseDelayMs: () => DELAY_MS },
      { table: new RouteTable(buildConfiguration()) },
      () => ({ log: this.log, state: this.state }),
      clock,
      SILENT_LOG,
    );
  }

  public get base(): string | undefined {
    return this.state.versionBases.get('lace');
  }

  /** The base that the hub tells all processes. */
  public get reported(): string | undefined {
    return this._hub.versions.reports.find(({ service }) => service === 'lace')?.base;
  }

  /** Lets the target serve with a version for a time. */
  public async run(softwareVersion: string, ms: number): Promise<void> {
    for (const end = this.now + ms; this.now < end; this.now += 500) {
      this._sequence += 1n;
      const sequence = this._sequence;
      const born = 1_000 + Number(sequence);
      this._hub.announce(buildTarget({ softwareVersion, sequence, born }), this.now);
      await this._recorder.executeStep(this.now, NEVER);
    }
  }
}

describe('VersionRecorder', () => {
  it('commits the first base and its change after the delay', async () => {
    const leader = new Leader();
    await leader.run('v1', 3_000);
    expect(leader.base).toBe('v1');
    await leader.run('v2', DELAY_MS);
    expect(leader.base).toBe('v1');
    await leader.run('v2', 1_500);
    expect(leader.base).toBe('v2');
    expect(leader.reported).toBe('v2');
  });

  // A command without outcome may be committed after the target of the former base has come back.
  it('names no base while a change without known outcome may still be committed', async () => {
    const leader = new Leader();
    await leader.run('v1', 3_000);
    await leader.run('v2', DELAY_MS - 1_000);
    leader.log.isInterrupted = true;
    await leader.run('v2', 3_000);
    await leader.run('v1', 3_000);
    expect(leader.base).toBe('v1');
    expect(leader.reported).toBe('');
    await leader.log.commitDelayed(1);
    expect(leader.base).toBe('v2');
  });

  it('keeps the base that has come back once a later command settles the change', async () => {
    const leader = new Leader();
    await leader.run('v1', 3_000);
    await leader.run('v2', DELAY_MS - 1_000);
    leader.log.isInterrupted = true;
    await leader.run('v2', 3_000);
    leader.log.isInterrupted = false;
    await leader.run('v1', 1_500);
    expect(leader.base).toBe('v1');
    expect(leader.reported).toBe('v1');
  });
});
