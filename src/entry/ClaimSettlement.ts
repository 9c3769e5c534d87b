/** Records the outcome of a claimed call at the control leader. */
import type { Answer } from '../gen/redwingwharf/v1/state_pb.js';
import type { IClaimAttempt } from './ClaimTypes.js';
import type { IControl } from './Types.js';

/** Time for which a caller waits until its answer is recorded. */
const SETTLE_TIMEOUT_MS = 2_000;

/** Time for which recording is retried after the caller got its answer. */
const BACKGROUND_SETTLE_TIMEOUT_MS = 60_000;

/** Settles claims, in the usual case before their callers are answered. */
export class ClaimSettlement {
  constructor(
    private readonly _control: IControl,
    private readonly _shutdown: AbortSignal,
  ) {}

  /**
   * Records the outcome; undefined stands for an unknown one. Returns after `SETTLE_TIMEOUT_MS` at the
   * latest and continues in the background if the control leader has not recorded it by then.
   */
  public async settle(attempt: IClaimAttempt, answer: Answer | undefined): Promise<void> {
    const settle = async (timeoutMs: number): Promise<boolean> => {
      const result = await this._control.execute(
        {
          case: 'settleClaim',
          value: {
            claimId: attempt.claimId,
            attempt: attempt.attempt,
            ...(answer === undefined ? { unknown: true } : { answer }),
          },
        },
        this._shutdown,
        { isIdempotent: true, timeoutMs },
      );
      return result.ok;
    };
    if (!(await settle(SETTLE_TIMEOUT_MS))) {
      void settle(BACKGROUND_SETTLE_TIMEOUT_MS);
    }
  }
}
