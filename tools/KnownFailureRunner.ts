/** Runs the tests. Those that KNOWN-RED.txt lists as `vitest FILE > SUITE > TEST` may fail: each is printed and passed over. */
import { existsSync, readFileSync } from 'node:fs';
import type { Task } from '@vitest/runner';
import { VitestTestRunner } from 'vitest/runners';

const KNOWN_FAILURES_FILE = 'KNOWN-RED.txt';
const ENTRY = /^vitest (.+)$/;

function readKnownFailures(): ReadonlySet<string> {
  if (!existsSync(KNOWN_FAILURES_FILE)) {
    return new Set();
  }
  const lines = readFileSync(KNOWN_FAILURES_FILE, 'utf8').split('\n');
  return new Set(lines.flatMap((line) => ENTRY.exec(line)?.[1]?.trim() ?? []));
}

function formatFullName(task: Task): string {
  const parent = task.suite ?? task.file;
  return task === task.file ? task.name : `${formatFullName(parent)} > ${task.name}`;
}

export default class KnownFailureRunner extends VitestTestRunner {
  private readonly _knownFailures = readKnownFailures();

  public override onAfterRunTask(test: Task): void {
    super.onAfterRunTask(test);
    const name = formatFullName(test);
    if (!this._knownFailures.has(name) || test.result === undefined) {
      return;
    }
    if (test.result.state === 'fail') {
      console.warn(`passed over, see KNOWN-RED.txt: ${name}: ${describeErrors(test)}`);
      test.result.state = 'pass';
      delete test.result.errors;
    } else {
      console.warn(`listed in KNOWN-RED.txt, but did not fail: ${name}`);
    }
  }
}

function describeErrors({ result }: Task): string {
  return (result?.errors ?? []).map(({ message }) => message).join('; ');
}
