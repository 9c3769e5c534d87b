/** Progress output of a run. */
const startedAt = performance.now();

/** Prints a line with the time since the start of the process. */
export function report(line: string): void {
  const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
  process.stdout.write(`${seconds.padStart(6)} s ${line}\n`);
}
