/** Timers, timeouts and periodic steps for tasks that run until a signal is aborted. */

/** Longest time that a timer of Node can wait, in milliseconds; it fires a longer one at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/**
 * Limits a time in milliseconds to what a timer can wait, some 24 days.
 *
 * @example
 * const timer = setTimeout(expire, limitTimerMs(deadlineAt - now));
 */
export function limitTimerMs(ms: number): number {
  return Math.min(MAX_TIMER_MS, ms);
}

/**
 * Waits `ms` milliseconds, or until one of the signals is aborted, whichever comes first. Resolves in
 * both cases.
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
    const timer = setTimeout(finish, limitTimerMs(ms));
    for (const signal of signals) {
      signal.addEventListener('abort', finish, { once: true });
    }
  });
}

/** Returns a random time between 0.5 and 1.5 times `ms`; the jitter prevents a thundering herd. */
export function addJitter(ms: number, random: () => number = Math.random): number {
  return ms * (0.5 + random());
}

/** Reads `signal.aborted`. TypeScript assumes that the property does not change across an await. */
export function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}

/** Creates a signal that is aborted after `ms` milliseconds, rounded up: Node requires an integer. */
export function createTimeoutSignal(ms: number): AbortSignal {
  return AbortSignal.timeout(Math.max(0, Math.ceil(limitTimerMs(ms))));
}

/**
 * Creates a signal that is aborted with its parent or after `ms` milliseconds, for work that continues
 * after a call has returned. Its listener stays at the parent until then; `runWithTimeout` removes its own
 * as soon as the call ends.
 */
export function deriveTimeoutSignal(parent: AbortSignal, ms: number): AbortSignal {
  const controller = new AbortController();
  const abort = (): void => {
    clearTimeout(timer);
    parent.removeEventListener('abort', abort);
    controller.abort();
  };
  const timer = setTimeout(abort, limitTimerMs(ms)).unref();
  parent.addEventListener('abort', abort, { once: true });
  if (parent.aborted) {
    abort();
  }
  return controller.signal;
}

/**
 * Runs a call with a signal that is aborted with its parent or after `ms` milliseconds. The call itself
 * must end when its signal is aborted. `AbortSignal.any` over `AbortSignal.timeout` does not serve here:
 * in Node 20 the timeout signal is held weakly and can be garbage-collected, so that the combined signal
 * is never aborted, and a call without a time limit would block its task forever.
 *
 * @example
 * const reply = await runWithTimeout(signal, 600, (limited) => transport.join(address, request, limited));
 */
export async function runWithTimeout<T>(
  parent: AbortSignal,
  ms: number,
  call: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const controller = new AbortController();
  const abort = (): void => {
    controller.abort();
  };
  const timer = setTimeout(abort, limitTimerMs(ms));
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
 * Runs a call with a signal that is aborted with the first of the given ones. The call itself must end when its signal is
 * aborted.
 *
 * @example
 * const origin = await runUntilAborted([call.signal, shutdown.signal], (signal) => find(id, signal));
 */
export async function runUntilAborted<T>(
  signals: readonly AbortSignal[],
  call: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const controller = new AbortController();
  const abort = (): void => {
    controller.abort();
  };
  for (const signal of signals) {
    signal.addEventListener('abort', abort, { once: true });
  }
  if (signals.some((signal) => signal.aborted)) {
    abort();
  }
  try {
    return await call(controller.signal);
  } finally {
    for (const signal of signals) {
      signal.removeEventListener('abort', abort);
    }
  }
}

/**
 * Waits until both tasks have ended, and returns their results or throws the first failure. Unlike `Promise.all` it leaves
 * no task behind, and closes what the first one opened if only the second one failed.
 *
 * @example
 * const [log, replace] = await settleBoth(openLog(), prepareFile(path, [state]), (opened) => opened.close());
 */
export async function settleBoth<A, B>(
  first: Promise<A>,
  second: Promise<B>,
  closeFirst: (result: A) => Promise<void>,
): Promise<[A, B]> {
  const [firstOutcome, secondOutcome] = await Promise.allSettled([first, second]);
  if (firstOutcome.status === 'fulfilled' && secondOutcome.status === 'rejected') {
    await closeFirst(firstOutcome.value);
  }
  return Promise.all([first, second]);
}

/**
 * Returns the result of a task, or undefined if the signal is aborted first; the task goes on then.
 *
 * @example
 * const result = await waitUntilAborted(commit, call.signal);
 */
export function waitUntilAborted<T>(task: Promise<T>, signal: AbortSignal): Promise<T | undefined> {
  return new Promise((resolve, reject) => {
    const abort = (): void => {
      resolve(undefined);
    };
    const finish = (): void => {
      signal.removeEventListener('abort', abort);
    };
    signal.addEventListener('abort', abort, { once: true });
    task.then(resolve, reject).finally(finish);
    if (signal.aborted) {
      abort();
    }
  });
}

/**
 * Repeats a step at a jittered interval until the signal is aborted. The interval begins when a step
 * ends. A failed step is passed to `report` and does not end the task.
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

/**
 * Runs a task that lasts until the signal is aborted. A failure is passed to `report`, and the task starts again after
 * `delayMs`, so that the process does not go on without it.
 *
 * @example
 * await runRestarting((signal) => node.run(signal), 1_000, stop.signal, logFailure);
 */
export async function runRestarting(
  task: (signal: AbortSignal) => Promise<void>,
  delayMs: number,
  signal: AbortSignal,
  report: (error: unknown) => void,
): Promise<void> {
  while (!isAborted(signal)) {
    try {
      await task(signal);
      return;
    } catch (error) {
      report(error);
    }
    await sleep(delayMs, signal);
  }
}

/**
 * True if a task ends, also with a failure, within a time in milliseconds. The task goes on in any case.
 *
 * @example
 * if (!(await isSettledWithin(save, 200))) { return 'pending'; }
 */
export async function isSettledWithin(task: Promise<unknown>, ms: number): Promise<boolean> {
  const settled = new AbortController();
  let isSettled = false;
  const settle = (): void => {
    isSettled = true;
    settled.abort();
  };
  task.then(settle, settle);
  await sleep(ms, settled.signal);
  return isSettled;
}
