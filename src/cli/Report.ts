/** Prints the results and failures of commands. */
import type { ControlFailure, ControlFailureKind } from '../control/ControlClient.js';
import type { IFailure } from '../common/Result.js';
import { EXIT_CODE, type ExitCode, type ICommandContext, type ICommandInput } from './Types.js';

const COLUMN_SEPARATOR = '  ';

/** Renders a table with aligned columns, one string per line. */
export function renderTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string[] {
  const all = [header, ...rows];
  const widths = header.map((_title, column) =>
    Math.max(...all.map((row) => row[column]?.length ?? 0)),
  );
  return all.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join(COLUMN_SEPARATOR)
      .trimEnd(),
  );
}

/** Prints `data` as one JSON value with `--json`, otherwise `lines`. */
export function printResult(
  input: ICommandInput,
  context: ICommandContext,
  data: unknown,
  lines: readonly string[],
): void {
  if (input.hasFlag('json')) {
    context.output.print(JSON.stringify(data));
    return;
  }
  for (const line of lines) {
    context.output.print(line);
  }
}

/** Prints a failure to the error output, and with `--json` also as a JSON value to the standard output. */
export function reportFailure(
  input: ICommandInput,
  context: ICommandContext,
  failure: IFailure<string>,
  details: Readonly<Record<string, unknown>> = {},
): void {
  for (const line of failure.message.split('\n')) {
    context.output.warn(line);
  }
  if (input.hasFlag('json')) {
    const { kind, message } = failure;
    context.output.print(JSON.stringify({ error: { kind, message, ...details } }));
  }
}

const CONTROL_EXIT_CODE: Readonly<Record<ControlFailureKind, ExitCode>> = {
  not_run: EXIT_CODE.unknown,
  unreachable: EXIT_CODE.unknown,
  indeterminate: EXIT_CODE.unknown,
  forbidden: EXIT_CODE.refused,
  refused: EXIT_CODE.refused,
};

/** Exit code for a command that the control members did not execute. */
export function getControlExitCode(failure: ControlFailure): ExitCode {
  return CONTROL_EXIT_CODE[failure.kind];
}
