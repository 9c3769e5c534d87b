/**
 * Runs the attempts of a call that overlap: one, and a further one while the targets of all others are silent, or once the
 * first one takes unusually long.
 */
import type { Attempt, AttemptOutcome } from './Attempt.js';
import type { ICall } from './Types.js';

/** Outcome of a race; an attempt that was withdrawn leaves the decision to the others. */
export type RaceOutcome = Exclude<AttemptOutcome, { readonly kind: 'withdrawn' }>;

/** Why a further attempt is made beside those that run. */
export type StandbyReason = 'silent' | 'hedge';

/** How an attempt takes part in the race for the response of its call. */
export interface IRaceMember<T extends ICall> {
  /** True while another attempt may bring the response too. */
  readonly isContested: boolean;
  handleStart(attempt: Attempt<T>): void;
  /** Called before an attempt writes to the client, which ends all other attempts. */
  handleRelay(attempt: Attempt<T>): void;
  /** Called at intervals while the target of an attempt sends nothing. */
  handleSilence(): void;
  /** Called once an attempt has taken unusually long without a first byte. */
  handleOverdue(attempt: Attempt<T>): void;
  /** Called once an attempt has a complete error, which the client gets if no other attempt brings a response. */
  handleDeferred(): void;
  handleEnd(attempt: Attempt<T>): void;
}

/**
 * A target that sends nothing may be sound, so its attempt goes on while another target is tried. Whichever relays
 * something to the client first is kept. No event can come twice, since each write ends all other attempts before.
 *
 * @example
 * const race = new AttemptRace((itself) => startStandby(itself), (error) => log.error(describeError(error)));
 * const outcome = await race.run(() => startFirst(race));
 */
export class AttemptRace<T extends ICall> implements IRaceMember<T> {
  private readonly _attempts = new Set<Attempt<T>>();
  private readonly _finished: Promise<RaceOutcome>;
  private _finish: (outcome: RaceOutcome) => void = () => undefined;
  private _fail: (error: unknown) => void = () => undefined;
  private _open = 0;
  private _error: { readonly cause: unknown } | undefined;
  private _outcome: RaceOutcome = { kind: 'ended', reason: 'no attempt ended by itself' };

  /**
   * @param _startStandby starts an attempt at another target; undefined if none takes the request now
   * @param _onError called with the error of an attempt that could not be started or that threw, while others may go on
   */
  constructor(
    private readonly _startStandby: (
      race: AttemptRace<T>,
      reason: StandbyReason,
    ) => Promise<AttemptOutcome> | undefined,
    private readonly _onError: (error: unknown) => void,
  ) {
    this._finished = new Promise((resolve, reject) => {
      this._finish = resolve;
      this._fail = reject;
    });
  }

  public get isContested(): boolean {
    return this._attempts.size > 1;
  }

  /**
   * Runs the first attempt. Resolves once no attempt is left, with the outcome of the one that answered or, if none did,
   * that ended last. Rejects if an attempt threw and none answered.
   */
  public async run(startFirst: () => Promise<AttemptOutcome>): Promise<RaceOutcome> {
    this._follow(startFirst());
    return this._finished;
  }

  public handleStart(attempt: Attempt<T>): void {
    this._attempts.add(attempt);
  }

  public handleEnd(attempt: Attempt<T>): void {
    this._attempts.delete(attempt);
    this.handleDeferred();
  }

  public handleDeferred(): void {
    const attempts = [...this._attempts];
    if (attempts.every(({ isDeferred }) => isDeferred)) {
      attempts[0]?.release();
    }
  }

  public handleRelay(attempt: Attempt<T>): void {
    for (const other of this._attempts) {
      if (other !== attempt) {
        other.withdraw();
      }
    }
  }

  public handleSilence(): void {
    const isOnlyWaiting =
      this._open === this._attempts.size &&
      [...this._attempts].every(({ isSilent, isDeferred }) => isSilent || isDeferred);
    if (isOnlyWaiting) {
      this._tryStandby('silent');
    }
  }

  public handleOverdue(attempt: Attempt<T>): void {
    const isOnly = this._open === 1 && this._attempts.size === 1 && this._attempts.has(attempt);
    if (isOnly && !attempt.hasFirstByte && attempt.status === undefined) {
      this._tryStandby('hedge');
    }
  }

  private _tryStandby(reason: StandbyReason): void {
    try {
      const standby = this._startStandby(this, reason);
      if (standby !== undefined) {
        this._follow(standby);
      }
    } catch (error) {
      this._onError(error);
    }
  }

  private _follow(running: Promise<AttemptOutcome>): void {
    this._open += 1;
    running
      .then(
        (outcome) => {
          // An attempt that broke earlier ends later than one that answers, as its target is probed first.
          if (outcome.kind !== 'withdrawn' && this._outcome.kind !== 'answered') {
            this._outcome = outcome;
          }
        },
        (error: unknown) => {
          this._error ??= { cause: error };
          this._onError(error);
        },
      )
      .finally(() => {
        this._open -= 1;
        if (this._open === 0) {
          this._end();
        }
      });
  }

  private _end(): void {
    if (this._error === undefined || this._outcome.kind === 'answered') {
      this._finish(this._outcome);
    } else {
      this._fail(this._error.cause);
    }
  }
}
