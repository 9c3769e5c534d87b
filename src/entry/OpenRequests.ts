/** Requests in progress, whose keys and deadlines are checked while they run. */
import type { Shutdown } from '../common/Shutdown.js';
import { isMechanismDisabled } from '../common/TestSwitches.js';
import { isFresh } from '../feed/Freshness.js';
import type { IFeed } from '../feed/Types.js';
import { computeLatestStart } from '../gateway/StopPolicy.js';
import { isKeyValid, type ICaller } from './Authenticate.js';
import type { ConfigurationIndex } from './ConfigurationIndex.js';

/** Why an open request ended before its answer was complete. */
export type EndReason = 'key_withdrawn' | 'deadline_exceeded' | 'client_gone' | 'stopping';

/** One request in progress. It can be ended early, and its answer can be held back. */
export class OpenRequest {
  private readonly _controller = new AbortController();
  private _resolveRelease: (() => void) | undefined;
  private _releasePromise: Promise<void> | undefined;
  private _endReason: EndReason | undefined;
  private _isAtTarget = false;
  private _mayHaveRun = false;
  private _sentAt: number | undefined;

  /** @param waitsSince when the request began to wait for its dispatch, by the entry's clock */
  constructor(
    public readonly requestId: string,
    public readonly caller: ICaller | undefined,
    public readonly deadlineAt: number,
    public readonly waitsSince = 0,
  ) {}

  /** True from a dispatch until it is proven that it did not run; false while the request waits to be dispatched. */
  public get isAtTarget(): boolean {
    return this._isAtTarget;
  }

  /** True if a dispatch was sent and it is not proven that none ran. */
  public get mayHaveRun(): boolean {
    return this._mayHaveRun;
  }

  /** Time of the first dispatch; undefined before it. */
  public get sentAt(): number | undefined {
    return this._sentAt;
  }

  /** Records that a dispatch is about to be sent. */
  public recordSend(now: number): void {
    this._sentAt ??= now;
    this._isAtTarget = true;
    this._mayHaveRun = true;
  }

  /**
   * Records the proof that the last dispatch did not run; `mayHaveRun` tells whether an earlier one may have, and
   * `isAtTarget` whether it still does.
   */
  public recordNotRun(mayHaveRun: boolean, isAtTarget = false): void {
    this._isAtTarget = isAtTarget;
    this._mayHaveRun = mayHaveRun;
  }

  /** Aborted if the request ends before its answer is complete. */
  public get signal(): AbortSignal {
    return this._controller.signal;
  }

  public get endReason(): EndReason | undefined {
    return this._endReason;
  }

  /** Ends the request early. Only the first reason is kept. */
  public end(reason: EndReason): void {
    this._endReason ??= reason;
    this._controller.abort();
    this.release();
  }

  public get isHeld(): boolean {
    return this._releasePromise !== undefined;
  }

  /** Holds the answer back until `release` or `end`. */
  public hold(): void {
    this._releasePromise ??= new Promise((resolve) => {
      this._resolveRelease = resolve;
    });
  }

  public release(): void {
    this._resolveRelease?.();
    this._releasePromise = undefined;
    this._resolveRelease = undefined;
  }

  /** Resolves when the answer is not held back. Check `signal` afterwards: the request may have ended. */
  public async waitReleased(): Promise<void> {
    while (this._releasePromise !== undefined) {
      await this._releasePromise;
    }
  }
}

/**
 * Registry of the open requests. `check` is called several times a second: it ends requests whose key was
 * withdrawn or whose deadline has passed, and holds answers back while the copy of the configuration is too
 * old to confirm their keys. The end of the process is one more deadline of each request: what waits when the stop
 * begins, or begins to wait later and has no connection to a target in time, ends as not run; all others end with the
 * process.
 */
export class OpenRequests {
  private readonly _requests = new Set<OpenRequest>();

  constructor(
    private readonly _configuration: ConfigurationIndex,
    private readonly _feed: IFeed,
    private readonly _shutdown: Shutdown,
  ) {
    _shutdown.onBegin(() => {
      this._end((request) => !request.isAtTarget);
    });
    _shutdown.onEnd(() => {
      this._end(() => true);
    });
  }

  public get size(): number {
    return this._requests.size;
  }

  public add(request: OpenRequest): void {
    this._requests.add(request);
  }

  public remove(request: OpenRequest): void {
    this._requests.delete(request);
  }

  public check(now: number): void {
    for (const request of this._requests) {
      this.checkRequest(request, now);
    }
  }

  /**
   * Checks one request. Also called before data is relayed: when the process was frozen, data that arrived
   * meanwhile may be handled before the next call of `check`.
   */
  public checkRequest(request: OpenRequest, now: number): void {
    TEST_ONLY: if (isMechanismDisabled('open-streams')) return;
    if (now >= request.deadlineAt) {
      request.end('deadline_exceeded');
    } else if (this._isStopDue(request, now)) {
      request.end('stopping');
    } else if (request.caller === undefined) {
      return;
    } else if (!isKeyValid(request.caller, this._configuration)) {
      request.end('key_withdrawn');
    } else if (isFresh(this._feed, now)) {
      request.release();
    } else {
      request.hold();
    }
  }

  private _isStopDue(request: OpenRequest, now: number): boolean {
    TEST_ONLY: if (isMechanismDisabled('stop-gate')) return false;
    const latestStart = computeLatestStart(this._shutdown, 0, request.waitsSince);
    return this._shutdown.hasEnded || (!request.isAtTarget && now > latestStart);
  }

  private _end(isDue: (request: OpenRequest) => boolean): void {
    TEST_ONLY: if (isMechanismDisabled('stop-gate')) return;
    for (const request of [...this._requests].filter(isDue)) {
      request.end('stopping');
    }
  }
}
