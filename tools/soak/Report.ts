/** Lines of a run with the time since its start. */
const startedAt = performance.now();

export function report(line: string): void {
  const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
  process.stdout.write(`${seconds.padStart(6)} s ${line}\n`);
}
