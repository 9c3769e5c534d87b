/** Client for the load slots, which limit how many engines load weights from the weight store at once. */
import { Err, Ok, type Result } from '../common/Result.js';
import type { ControlClient, ControlFailure } from '../control/ControlClient.js';
import type { LoadSlotResult } from '../gen/redwingwharf/v1/state_pb.js';

/** Longer than one failover of the leader (1.5 s), and short enough to leave most of the lease. */
const SLOT_REQUEST_TIMEOUT_MS = 3_000;

/** Acquires and releases the load slot of one target. */
export interface ILoadSlots {
  /** Acquires the slot, or renews its lease when the target holds it for the same weights. */
  acquire(version: string, signal: AbortSignal): Promise<Result<LoadSlotResult, ControlFailure>>;
  release(version: string, signal: AbortSignal): Promise<Result<void, ControlFailure>>;
}

export interface ILoadSlotHolder {
  readonly target: string;
  readonly model: string;
  readonly sidecarIncarnation: Uint8Array;
}

/**
 * Sends load slot commands to the control leader. A repeated request keeps its slot, so it is idempotent.
 */
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
      { isIdempotent: true, timeoutMs: SLOT_REQUEST_TIMEOUT_MS },
    );
    if (executed.err) {
      return Err(executed.val);
    }
    const { body } = executed.val;
    return body.case === 'loadSlot'
      ? Ok(body.value)
      : Err({
          kind: 'refused',
          message:
            'Not run: the leader did not answer with a load slot result. Check that all versions match.',
        });
  }
}
