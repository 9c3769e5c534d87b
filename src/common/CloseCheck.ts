/** Decides whether an answer that only the close of its connection ends is complete, once the server has closed it. */

/** Time without a reset after which an answer counts as complete. */
const QUIET_MS = 20;

/**
 * The same where the server may not have read the request yet, although all of it has been passed to the kernel: it may still reset
 * the connection because of the rest.
 */
const UPLOAD_QUIET_MS = 500;

/** A longer body may lie unread in the buffers of the connection when the server answers. */
const MAX_READ_AHEAD_BYTES = 64 * 1024;

/** Time without progress after which a server has stopped reading the request. */
const STALL_MS = 1_000;

/** What is known of the request that an answer belongs to. */
export interface ISentRequest {
  /** Length of the body in bytes; Infinity if it is not known. */
  readonly bodyBytes: number;
  /** True once all of the body has been passed to the connection. */
  readonly isBodyWritten: () => boolean;
}

/**
 * `wait`: it is not known yet. `complete`: the request was sent to its end, and no reset followed. `stalled`: the server takes no
 * more of the request, so whether it ended the answer or gave it up cannot be known.
 */
export type CloseVerdict = 'wait' | 'complete' | 'stalled';

/**
 * Observes one connection from the end of the answer's bytes on. A server that answers before it has read the request may end
 * its side and read on (RFC 9112, 9.6), or reset the connection.
 *
 * @example
 * const check = new CloseCheck({ bodyBytes: 0, isBodyWritten: () => true }, now);
 * const verdict = check.decide(socket.writableLength, now);
 */
export class CloseCheck {
  private _changedAt: number;
  private _pendingBytes = Number.NaN;

  constructor(
    private readonly _request: ISentRequest,
    startedAt: number,
  ) {
    this._changedAt = startedAt;
  }

  /** @param pendingBytes bytes of the request that the kernel has not taken yet */
  public decide(pendingBytes: number, now: number): CloseVerdict {
    const isSent = pendingBytes === 0 && this._request.isBodyWritten();
    const progress = isSent ? -1 : pendingBytes;
    if (progress !== this._pendingBytes) {
      this._pendingBytes = progress;
      this._changedAt = now;
    }
    const elapsedMs = now - this._changedAt;
    if (!isSent) {
      return elapsedMs < STALL_MS ? 'wait' : 'stalled';
    }
    const quietMs = this._request.bodyBytes > MAX_READ_AHEAD_BYTES ? UPLOAD_QUIET_MS : QUIET_MS;
    return elapsedMs < quietMs ? 'wait' : 'complete';
  }
}
