/** Reads JSON files that people write and validates them against a schema. */
import { readFile, stat } from 'node:fs/promises';
import { describeError } from '../common/Log.js';
import { Err, Ok, type Result } from '../common/Result.js';
import { findPointerPosition, parseJson } from './JsonText.js';
import { checkSchema, type ISchemaProblem } from './SchemaCheck.js';
import type { IProblem } from './Types.js';

/** A larger file is refused as the wrong file; settings and operator files have a few kilobytes. */
const MAX_FILE_BYTES = 1024 * 1024;

export interface IJsonFile<T> {
  readonly file: string;
  readonly text: string;
  readonly value: T;
}

export interface IJsonFileFailure {
  readonly kind: 'unreadable' | 'not_json' | 'invalid';
  readonly problems: readonly IProblem[];
}

/** Adds the file and the position of the faulty value to a problem; without a position if it is not found. */
export function addPosition(file: string, text: string, problem: ISchemaProblem): IProblem {
  const position = findPointerPosition(text, problem.pointer);
  return { file, ...problem, line: position?.line, column: position?.column };
}

async function readText(file: string): Promise<Result<string, IProblem>> {
  try {
    const { size } = await stat(file);
    if (size > MAX_FILE_BYTES) {
      const message = `the file has ${size} bytes, more than ${MAX_FILE_BYTES}`;
      return Err({ file, pointer: '', message, remedy: 'Check that this is the right file.' });
    }
    return Ok(await readFile(file, 'utf8'));
  } catch (error) {
    const message = `the file cannot be read (${describeError(error)})`;
    return Err({ file, pointer: '', message, remedy: 'Check the path and its permissions.' });
  }
}

/**
 * Reads, parses and validates a JSON file and applies the defaults of the schema.
 *
 * @example
 * const loaded = await readJsonFile<Settings>('entry.json', SETTINGS_SCHEMA);
 */
export async function readJsonFile<T>(
  file: string,
  schema: object,
): Promise<Result<IJsonFile<T>, IJsonFileFailure>> {
  const read = await readText(file);
  if (read.err) {
    return Err({ kind: 'unreadable', problems: [read.val] });
  }
  const text = read.val;
  const parsed = parseJson(text);
  if (parsed.err) {
    const { line, column, message } = parsed.val;
    const remedy = 'Correct the JSON text there; comments and trailing commas are not allowed.';
    return Err({
      kind: 'not_json',
      problems: [{ file, pointer: '', line, column, message: `not JSON: ${message}`, remedy }],
    });
  }
  const checked = await checkSchema<T>(schema, parsed.val);
  if (checked.err) {
    const problems = checked.val.map((problem) => addPosition(file, text, problem));
    return Err({ kind: 'invalid', problems });
  }
  return Ok({ file, text, value: checked.val });
}
