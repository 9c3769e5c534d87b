/** Requests in progress, whose keys and deadlines are checked while they run. */
import { isMechanismDisabled } from '../common/TestSwitches.js';
import { isFresh } from '../feed/Freshness.js';
import type { IFeed } from '../feed/Types.js';
import { isKeyValid, type ICaller } from './Authenticate.js';
import type { ConfigurationIndex } from './ConfigurationIndex.js';

/** Why an open request ended before its answer was complete. */
export type EndReason = 'key_withdrawn' | 'deadline_exceeded' | 'client_gone';

/** One request in progress. It can be ended early, and its answer can be held back. */
export class OpenRequest {
  private readonly _controller = new AbortController();
  private _resolveRelease: (() => void) | undefined;
  private _releasePromise: Promise<void> | undefined;
  private _endReason: EndReason | undefined;

  constructor(
    public readonly requestId: string,
    public readonly caller: ICaller | undefined,
    public readonly deadlineAt: number,
  ) {}

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
 * old to confirm their keys.
 */
export class OpenRequests {
  private readonly _requests = new Set<OpenRequest>();

  constructor(
    private readonly _configuration: ConfigurationIndex,
    private readonly _feed: IFeed,
  ) {}

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
}
