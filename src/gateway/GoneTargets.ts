/** Tells a target that is gone from one that is only silent, by new connections. */
import type { ILoopDelay } from '../common/LoopDelay.js';
import type { IClock } from '../common/Clock.js';
import type { FleetView } from '../fleet/FleetView.js';
import { TargetPhase, type TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';

/** A single connection may fail by a lost packet, or as the queue of a busy target is full. */
const FAILED_CONNECTIONS = 2;

export interface IGoneTargetsContext {
  readonly client: { canConnect(target: TargetRecord): Promise<boolean> };
  readonly view: Pick<FleetView, 'getTarget'>;
  readonly clock: IClock;
  readonly loopDelay: ILoopDelay;
}

/**
 * Checks each target once for all requests that ask at the same time.
 *
 * @example
 * if (await goneTargets.isGone(target)) { attempt.cancel('the target is gone'); }
 */
export class GoneTargets {
  private readonly _checks = new Map<string, Promise<boolean>>();

  constructor(private readonly _context: IGoneTargetsContext) {}

  /** True if the target has announced its end, or accepts no connections. A paused target still accepts them. */
  public async isGone(target: TargetRecord): Promise<boolean> {
    const key = `${target.id}/${target.born}`;
    const running = this._checks.get(key);
    if (running !== undefined) {
      return running;
    }
    const check = this._check(target);
    this._checks.set(key, check);
    try {
      return await check;
    } finally {
      this._checks.delete(key);
    }
  }

  private async _check(target: TargetRecord): Promise<boolean> {
    const { client, view, clock, loopDelay } = this._context;
    const known = view.getTarget(target.id);
    if (known?.born === target.born && known.phase === TargetPhase.GONE) {
      return true;
    }
    for (let i = 0; i < FAILED_CONNECTIONS; i += 1) {
      // A process that did not run may have missed that the connection was accepted.
      if ((await client.canConnect(target)) || loopDelay.getDelayMs(clock.now()) > 0) {
        return false;
      }
    }
    return true;
  }
}
