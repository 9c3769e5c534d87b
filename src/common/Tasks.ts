/** Helpers for tasks that run until a signal is aborted. */

/**
 * Waits `ms` milliseconds, or until the signal is aborted, whichever comes first.
 *
 * @example
 * await sleep(500, signal);
 */
export async function sleep(ms: number, signal: AbortSignal): Promise<void> {
  if (signal.aborted) {
    return;
  }
  await new Promise<void>((resolve) => {
    const finish = (): void => {
      clearTimeout(timer);
      signal.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, ms);
    signal.addEventListener('abort', finish, { once: true });
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

/** A signal that is aborted with its parent or after `ms` milliseconds. */
export function limitSignal(parent: AbortSignal, ms: number): AbortSignal {
  const timeout = createTimeoutSignal(ms);
  // Node 20 refers to the parts of a combined signal weakly; a listener keeps the timer's signal alive.
  timeout.addEventListener('abort', () => undefined, { once: true });
  return AbortSignal.any([parent, timeout]);
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
