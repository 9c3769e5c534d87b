/** Helpers for tasks that run until a signal is aborted. */

/**
 * Waits `ms` milliseconds, or until one of the signals is aborted, whichever comes first.
 *
 * @example
 * await sleep(500, signal);
 */
export async function sleep(ms: number, ...signals: readonly AbortSignal[]): Promise<void> {
  if (signals.some((signal) => signal.aborted)) {
    return;
  }
  await new Promise<void>((resolve) => {
    const finish = (): void => {
      clearTimeout(timer);
      for (const signal of signals) {
        signal.removeEventListener('abort', finish);
      }
      resolve();
    };
    const timer = setTimeout(finish, ms);
    for (const signal of signals) {
      signal.addEventListener('abort', finish, { once: true });
    }
  });
}

/** Random time between half of `ms` and one and a half times `ms`, so that herds spread out. */
export function addJitter(ms: number, random: () => number = Math.random): number {
  return ms * (0.5 + random());
}

/** Reads the signal anew; the compiler assumes that a property does not change across an await. */
export function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}

/** A signal that is aborted after `ms` milliseconds; Node accepts whole numbers only. */
export function createTimeoutSignal(ms: number): AbortSignal {
  return AbortSignal.timeout(Math.max(0, Math.ceil(ms)));
}

/**
 * A signal that is aborted with its parent or after `ms` milliseconds, for work that goes on after a call
 * returned. Its listener leaves the parent at the limit at the latest; `runWithLimit` ends it earlier.
 */
export function limitSignal(parent: AbortSignal, ms: number): AbortSignal {
  const controller = new AbortController();
  const abort = (): void => {
    clearTimeout(timer);
    parent.removeEventListener('abort', abort);
    controller.abort();
  };
  const timer = setTimeout(abort, ms).unref();
  parent.addEventListener('abort', abort, { once: true });
  if (parent.aborted) {
    abort();
  }
  return controller.signal;
}

/**
 * Runs a call whose signal is aborted with its parent or after `ms` milliseconds. In Node 20 a signal
 * from `AbortSignal.any` over `AbortSignal.timeout` may never be aborted, because the timeout signal is
 * held weakly and can be collected; a call without limit would block its task for good.
 *
 * @example
 * const reply = await runWithLimit(signal, 600, (limited) => transport.join(address, request, limited));
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

/**
 * Repeats a step at a jittered interval until the signal is aborted. A step that fails is reported
 * and does not end the task.
 */
export async function runPeriodically(
  intervalMs: number,
  signal: AbortSignal,
  step: () => Promise<void>,
  report: (error: unknown) => void,
): Promise<void> {
  while (!isAborted(signal)) {
    try {
      await step();
    } catch (error) {
      if (!isAborted(signal)) {
        report(error);
      }
    }
    await sleep(addJitter(intervalMs), signal);
  }
}
