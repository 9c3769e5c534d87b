/** Keyed requests in progress. Their keys are checked while they run. */
import { isBroken } from '../common/TestSwitches.js';
import { isFresh } from '../feed/Freshness.js';
import type { IFeed } from '../feed/Types.js';
import { isKeyValid, type ICaller } from './Authenticate.js';
import type { Directory } from './Directory.js';

/** Why an open request was ended from inside. */
export type EndReason = 'key_withdrawn' | 'deadline_exceeded' | 'client_gone';

/** One request in progress. */
export class OpenRequest {
  private readonly _controller = new AbortController();
  private _release: (() => void) | undefined;
  private _held: Promise<void> | undefined;
  private _endReason: EndReason | undefined;

  constructor(
    public readonly requestId: string,
    public readonly caller: ICaller | undefined,
    public readonly deadlineAt: number,
  ) {}

  /** Aborted when the request ends before its answer is complete. */
  public get signal(): AbortSignal {
    return this._controller.signal;
  }

  public get endReason(): EndReason | undefined {
    return this._endReason;
  }

  public end(reason: EndReason): void {
    this._endReason ??= reason;
    this._controller.abort();
    this.release();
  }

  public get isHeld(): boolean {
    return this._held !== undefined;
  }

  /** Holds the answer back until `release`. */
  public hold(): void {
    this._held ??= new Promise((resolve) => {
      this._release = resolve;
    });
  }

  public release(): void {
    this._release?.();
    this._held = undefined;
    this._release = undefined;
  }

  /** Resolves when the answer may be passed on. */
  public async waitReleased(): Promise<void> {
    while (this._held !== undefined) {
      await this._held;
    }
  }
}

/**
 * Registry of the open requests. `check` runs several times a second: it ends requests whose key was
 * withdrawn or whose deadline has passed, and holds answers back while keys cannot be confirmed.
 */
export class OpenRequests {
  private readonly _requests = new Set<OpenRequest>();

  constructor(
    private readonly _directory: Directory,
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

  /** Checks one request. A process that was frozen checks before it passes on what had arrived. */
  public checkRequest(request: OpenRequest, now: number): void {
    TEST_ONLY: if (isBroken('open-streams')) return;
    if (now >= request.deadlineAt) {
      request.end('deadline_exceeded');
    } else if (request.caller === undefined) {
      return;
    } else if (!isKeyValid(request.caller, this._directory)) {
      request.end('key_withdrawn');
    } else if (isFresh(this._feed, now)) {
      request.release();
    } else {
      request.hold();
    }
  }
}
