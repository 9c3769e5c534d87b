/** Writes what a case sent, got and saw to `record.txt` in its folder, and ends the case with its result. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Collects the lines of one run. */
export class Record {
  lines = [];
  startedAt = performance.now();

  constructor(folder) {
    this.folder = folder;
    this.add(HAS_TROUBLE ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
  }

  add(line) {
    const seconds = ((performance.now() - this.startedAt) / 1_000).toFixed(3).padStart(8);
    this.lines.push(`${seconds} ${line}`);
    if (process.env.QUIET === undefined) {
      console.log(this.lines.at(-1));
    }
  }

  save() {
    writeFileSync(join(this.folder, 'record.txt'), `${this.lines.join('\n')}\n`);
  }
}

/**
 * Runs a case. `run` returns what broke the rule, empty if it held; it throws if the case couldn't run. The exit status
 * is 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
 */
export async function runCase(folder, run, limitMs = 110_000) {
  const record = new Record(folder);
  const cleanups = [];
  let status = 2;
  const limit = setTimeout(() => {
    record.add('could not run: the time of the case is over');
    void finish(2);
  }, limitMs);
  const finish = async (code) => {
    clearTimeout(limit);
    for (const clean of cleanups.reverse()) {
      await clean();
    }
    record.save();
    process.exit(code);
  };
  for (const event of ['SIGINT', 'SIGTERM', 'uncaughtException', 'unhandledRejection']) {
    process.on(event, (reason) => {
      record.add(`could not run: ${event} ${String(reason)}`);
      void finish(2);
    });
  }
  try {
    const breaches = await run(record, (clean) => cleanups.push(clean));
    status = breaches.length > 0 ? 1 : 0;
    for (const breach of breaches) {
      record.add(`BROKEN ${breach}`);
    }
    record.add(status === 1 ? 'the rule was broken' : 'the rule held');
  } catch (error) {
    record.add(`could not run: ${error instanceof Error ? error.message : String(error)}`);
  }
  await finish(status);
}

/** Throws, so that the case counts as one that couldn't run. */
export function requireThat(condition, what) {
  if (!condition) {
    throw new Error(what);
  }
}
