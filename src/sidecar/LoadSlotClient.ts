/** Asks the control leader for load slots of the weight store. */
import { Err, Ok, type Result } from '../common/Result.js';
import type { ControlClient, ControlFailure } from '../control/ControlClient.js';
import type { LoadSlotResult } from '../gen/redwingwharf/v1/state_pb.js';

/** Covers one failover of the leader (1.5 s) and leaves most of the lease. */
const SLOT_TIMEOUT_MS = 3_000;

/** Acquires and releases the slot of one target. */
export interface ILoadSlots {
  /** Also renews the lease of a slot that is held for the same weights. */
  acquire(version: string, signal: AbortSignal): Promise<Result<LoadSlotResult, ControlFailure>>;
  release(version: string, signal: AbortSignal): Promise<Result<void, ControlFailure>>;
}

export interface ILoadSlotHolder {
  readonly target: string;
  readonly model: string;
  readonly sidecarIncarnation: Uint8Array;
}

/** Load slots over the control client. A repeated request keeps its slot, so it may be resent. */
export class LoadSlotClient implements ILoadSlots {
  constructor(
    private readonly _control: ControlClient,
    private readonly _holder: ILoadSlotHolder,
  ) {}

  public async acquire(
    version: string,
    signal: AbortSignal,
  ): Promise<Result<LoadSlotResult, ControlFailure>> {
    return this._execute(version, false, signal);
  }

  public async release(
    version: string,
    signal: AbortSignal,
  ): Promise<Result<void, ControlFailure>> {
    const released = await this._execute(version, true, signal);
    return released.ok ? Ok(undefined) : Err(released.val);
  }

  private async _execute(
    version: string,
    release: boolean,
    signal: AbortSignal,
  ): Promise<Result<LoadSlotResult, ControlFailure>> {
    const executed = await this._control.execute(
      { case: 'loadSlot', value: { ...this._holder, version, release } },
      signal,
      { isIdempotent: true, timeoutMs: SLOT_TIMEOUT_MS },
    );
    if (executed.err) {
      return Err(executed.val);
    }
    const { body } = executed.val;
    return body.case === 'loadSlot'
      ? Ok(body.value)
      : Err({
          kind: 'refused',
          message: 'Not run: the answer is none to a load slot. Check that all versions match.',
        });
  }
}
