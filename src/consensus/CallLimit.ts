/** Time limits of calls. */

/**
 * Runs a call whose signal is aborted with its parent or after `ms` milliseconds. In Node 20 a signal
 * from `AbortSignal.any` over `AbortSignal.timeout` may never be aborted, because the timeout signal is
 * held weakly and can be collected; a call without limit would block the task of a member for good.
 *
 * @example
 * const response = await runWithLimit(signal, 600, (limited) => transport.join(address, request, limited));
 */
export async function runWithLimit<T>(
  parent: AbortSignal,
  ms: number,
  call: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const controller = new AbortController();
  const abort = (): void => {
    controller.abort();
  };
  const timer = setTimeout(abort, ms);
  parent.addEventListener('abort', abort, { once: true });
  if (parent.aborted) {
    abort();
  }
  try {
    return await call(controller.signal);
  } finally {
    clearTimeout(timer);
    parent.removeEventListener('abort', abort);
  }
}
