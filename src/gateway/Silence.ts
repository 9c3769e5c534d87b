/**
 * Distinguishes a silent target from a busy one. A host that fails sends nothing and closes no connection,
 * so that no request to it gets an error. A busy target still sends bytes to some of its clients.
 */

/** A working target with open requests sends bytes for at least one of them within this time. */
const ACTIVITY_TIMEOUT_MS = 1_000;

/** The first byte is overdue after `expectedMs * FIRST_BYTE_FACTOR + FIRST_BYTE_GRACE_MS`. */
const FIRST_BYTE_FACTOR = 3;
const FIRST_BYTE_GRACE_MS = 700;

/** Time without a byte within a response after which it has stalled; engines send an event every 240 ms. */
const STALL_TIMEOUT_MS = 1_000;

/** Times of one request and its target, in milliseconds of the monotonic clock. */
export interface ISilenceView {
  readonly sentAt: number;
  /** Expected time to the first byte. */
  readonly expectedMs: number;
  /** When the last byte of this response arrived; undefined before the first. */
  readonly lastByteAt: number | undefined;
  /** When the target last sent a byte in response to any request of this entry. */
  readonly lastActivityAt: number;
}

/** True if the target counts as failed: neither this request nor any other makes progress. */
export function isSilent(view: ISilenceView, now: number): boolean {
  const { sentAt, expectedMs, lastByteAt, lastActivityAt } = view;
  if (now - Math.max(lastActivityAt, sentAt) < ACTIVITY_TIMEOUT_MS) {
    return false;
  }
  return lastByteAt === undefined
    ? now - sentAt > expectedMs * FIRST_BYTE_FACTOR + FIRST_BYTE_GRACE_MS
    : now - lastByteAt > STALL_TIMEOUT_MS;
}
