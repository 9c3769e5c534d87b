/** Commits base versions, and forgets old records of streams; acts on the leader only. */
import { create, toBinary, type MessageInitShape } from '@bufbuild/protobuf';
import type { IClock } from '../common/Clock.js';
import type { ILog } from '../common/Log.js';
import { isAborted, runWithTimeout, sleep } from '../common/Tasks.js';
import { FleetCommandSchema } from '../gen/redwingwharf/v1/fleet_pb.js';
import type { FleetHub } from './FleetHub.js';
import type { FleetNode, IFleetMember } from './FleetNode.js';
import type { FleetState } from './FleetState.js';
import type { FleetView } from './FleetView.js';

/** Interval between two observations of the targets. */
const OBSERVE_INTERVAL_MS = 500;

/**
 * Timeout of one command, after which its outcome counts as unknown and the next step repeats it. A leader without a majority
 * steps down much earlier; with a shorter time a slow disk would get one entry after the other.
 */
const COMMAND_TIMEOUT_MS = 10_000;

type CommandBody = NonNullable<MessageInitShape<typeof FleetCommandSchema>['body']>;

/** A time at which the records of all commands up to a number existed already. */
interface ISequenceMark {
  readonly sequence: number;
  readonly at: number;
}

/** Lets the hub observe the software versions of targets at intervals, and commits what follows from it. */
export class VersionRecorder {
  private _hub: FleetHub | undefined;
  /** Oldest first; a new hub starts without marks, as it cannot know how old the records are. */
  private _marks: ISequenceMark[] = [];
  /** Longest time so far, since streams keep the time limit of the configuration under which they began. */
  private _rebaseDelayMs = 0;

  constructor(
    private readonly _node: Pick<FleetNode, 'getHub' | 'getRebaseDelayMs'>,
    private readonly _view: Pick<FleetView, 'table'>,
    private readonly _getMember: () => IFleetMember | undefined,
    private readonly _clock: IClock,
    private readonly _log: ILog,
  ) {}

  /** Observes and commits while this process is the hub, until the signal is aborted. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      await this.executeStep(this._clock.now(), signal);
      await sleep(OBSERVE_INTERVAL_MS, signal);
    }
  }

  /** One observation and its commands. */
  public async executeStep(now: number, signal: AbortSignal): Promise<void> {
    const hub = this._node.getHub(now);
    const state = this._getMember()?.state;
    if (hub === undefined || state === undefined) {
      return;
    }
    this._rebaseDelayMs = Math.max(this._rebaseDelayMs, this._node.getRebaseDelayMs());
    hub.versions.observe(hub.listTargets(), state, now);
    await this._commitBases(hub, state, now, signal);
    const upTo = this._findExpiredSequence(hub, state.streams.sequence, now);
    if (upTo !== undefined && state.streams.canForget(upTo)) {
      await this._propose({ case: 'forgetStreams', value: { upTo: BigInt(upTo) } }, signal);
    }
  }

  private async _commitBases(
    hub: FleetHub,
    state: FleetState,
    now: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { versions } = hub;
    const services = this._view.table?.configuration.services.map(({ name }) => name) ?? [];
    const changes = versions.decideChanges(new Set(services), this._rebaseDelayMs, now);
    // A command whose outcome is unknown may still be committed, until a later one is.
    const unsettled = [...versions.changing].filter(
      (service) => !changes.some((change) => change.service === service),
    );
    const repeated = unsettled.flatMap((service) => {
      const version = state.versionBases.get(service);
      const unsettled = state.unsettledBases.has(service);
      return version === undefined ? [] : [{ service, version, unsettled }];
    });
    const proposed = [...changes, ...repeated];
    for (const { service, version, unsettled } of proposed) {
      const former = state.versionBases.get(service);
      this._log.info('base version proposed', { service, version, former, unsettled });
      versions.beginChange(service);
    }
    for (const value of proposed) {
      if (await this._propose({ case: 'setVersionBase', value }, signal)) {
        versions.endChange(value.service);
      }
    }
  }

  /** Number of the last command whose records are older than the delay; undefined if none is known to be. */
  private _findExpiredSequence(hub: FleetHub, sequence: number, now: number): number | undefined {
    if (this._hub !== hub) {
      this._hub = hub;
      this._marks = [];
    }
    if (this._marks.at(-1)?.sequence !== sequence) {
      this._marks.push({ sequence, at: now });
    }
    const expired = this._marks.filter(({ at }) => now - at > this._rebaseDelayMs);
    const last = expired.at(-1);
    if (last !== undefined) {
      this._marks = this._marks.slice(expired.length - 1);
    }
    return last?.sequence;
  }

  /** True if the command is committed; otherwise its outcome is unknown. */
  private async _propose(body: CommandBody, signal: AbortSignal): Promise<boolean> {
    const command = toBinary(FleetCommandSchema, create(FleetCommandSchema, { body }));
    const result = await runWithTimeout(signal, COMMAND_TIMEOUT_MS, async (limited) =>
      this._getMember()?.log.propose(command, limited),
    );
    return result?.ok === true;
  }
}
