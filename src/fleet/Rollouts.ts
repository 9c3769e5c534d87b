/** The last rollout of a software version of each service, in the replicated state. */
import { create } from '@bufbuild/protobuf';
import {
  RolloutSchema,
  RolloutState,
  type EndRollout,
  type FleetSnapshot,
  type Rollout,
  type RolloutProgress,
  type StartRollout,
} from '../gen/redwingwharf/v1/fleet_pb.js';

/** Versions that a service keeps barred; a service that has more of them drops the oldest. */
const MAX_BARRED_VERSIONS = 64;

/**
 * Holds the running rollout of each service, or else the last one that ended: it says which versions get no requests.
 * Commands that do not fit the state change nothing, so that repetitions and late arrivals are harmless.
 *
 * @example
 * rollouts.start(create(StartRolloutSchema, { id: 'r-1', service: 'lace', to: 'v2', durationMs: 12_000 }));
 * rollouts.get('lace')?.state; // RolloutState.RUNNING
 */
export class Rollouts {
  private readonly _rollouts = new Map<string, Rollout>();
  private _revision = 0n;

  /** Number of commands that changed a rollout. */
  public get revision(): bigint {
    return this._revision;
  }

  public get(service: string): Rollout | undefined {
    return this._rollouts.get(service);
  }

  public list(): readonly Rollout[] {
    return [...this._rollouts.values()];
  }

  public listRunning(): readonly Rollout[] {
    return this.list().filter(({ state }) => state === RolloutState.RUNNING);
  }

  /** True if the command started a rollout. */
  public start({ id, service, to, durationMs, isInForce }: StartRollout): boolean {
    const previous = this._rollouts.get(service);
    if (previous?.state === RolloutState.RUNNING || previous?.id === id) {
      return false;
    }
    const barredVersions = (previous?.barredVersions ?? []).filter((version) => version !== to);
    const state = isInForce ? RolloutState.COMPLETED : RolloutState.RUNNING;
    const reason = isInForce ? 'all targets have the version already' : '';
    this._store({ id, service, to, durationMs, state, reason, barredVersions });
    return true;
  }

  /** True if the command changed the running rollout. */
  public record({ id, service, step, elapsedMs, requests, exposed }: RolloutProgress): boolean {
    const current = this._findRunning(id, service);
    if (current === undefined || elapsedMs < current.elapsedMs) {
      return false;
    }
    this._store({ ...current, step, elapsedMs, requests, exposed });
    return true;
  }

  /** True if the command ended the running rollout. */
  public end({ id, service, state, reason, elapsedMs, barredVersions }: EndRollout): boolean {
    const current = this._findRunning(id, service);
    if (current === undefined) {
      return false;
    }
    const barred = new Set([...current.barredVersions, ...barredVersions]);
    this._store({
      ...current,
      state,
      reason,
      elapsedMs: Math.max(elapsedMs, current.elapsedMs),
      barredVersions: [...barred].slice(-MAX_BARRED_VERSIONS),
    });
    return true;
  }

  public restore({
    rollouts,
    rolloutRevision,
  }: Pick<FleetSnapshot, 'rollouts' | 'rolloutRevision'>): void {
    this._rollouts.clear();
    for (const rollout of rollouts) {
      this._rollouts.set(rollout.service, rollout);
    }
    this._revision = rolloutRevision;
  }

  private _findRunning(id: string, service: string): Rollout | undefined {
    const current = this._rollouts.get(service);
    return current?.id === id && current.state === RolloutState.RUNNING ? current : undefined;
  }

  private _store(rollout: Parameters<typeof create<typeof RolloutSchema>>[1]): void {
    const stored = create(RolloutSchema, rollout);
    this._rollouts.set(stored.service, stored);
    this._revision += 1n;
  }
}
