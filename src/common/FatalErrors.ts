/** Bounds the damage of an exception that nothing caught: it stops the process in order, with the requests that it has. */

/** Later exceptions are probably of the same cause. */
const MAX_LOGGED = 20;

/**
 * Calls back for each uncaught exception or rejection, up to `MAX_LOGGED`, in place of the end of the process. `onFirst` is
 * to stop the process; if that takes longer than `stopTimeoutMs`, the process exits with code 1.
 *
 * @example
 * watchFatalErrors(process, 8_000, (error) => log.error('uncaught exception', { error }), () => stop.abort());
 */
export function watchFatalErrors(
  source: NodeJS.Process,
  stopTimeoutMs: number,
  onError: (error: unknown) => void,
  onFirst: () => void,
): void {
  let count = 0;
  source.on('uncaughtException', (error) => {
    count += 1;
    if (count <= MAX_LOGGED) {
      onError(error);
    }
    if (count === 1) {
      setTimeout(() => source.exit(1), stopTimeoutMs);
      onFirst();
    }
  });
}
