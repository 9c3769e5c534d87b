/** Records the outcome of a claimed call at the leader. */
import type { Answer } from '../gen/redwingwharf/v1/state_pb.js';
import type { IClaimAttempt } from './ClaimTypes.js';
import type { IControl } from './Types.js';

/** Longest wait of a caller for the record of its answer. */
const SETTLE_TIMEOUT_MS = 2_000;

/** Time for which the record is tried after the caller got its answer. */
const BACKGROUND_SETTLE_TIMEOUT_MS = 60_000;

/** Settles claims before their callers are answered. */
export class ClaimSettlement {
  constructor(
    private readonly _control: IControl,
    private readonly _shutdown: AbortSignal,
  ) {}

  /** Records the outcome; goes on in the background when control does not answer in time. */
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
