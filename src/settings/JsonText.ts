/** JSON texts with the positions that error messages need. */
import { Err, Ok, type Result } from '../common/Result.js';

/** Line and column, both counted from 1. */
export interface ITextPosition {
  readonly line: number;
  readonly column: number;
}

/** Why a text is not JSON. */
export interface IJsonFault extends ITextPosition {
  readonly message: string;
}

interface ILevel {
  readonly isArray: boolean;
  segment: string;
  index: number;
  needsKey: boolean;
}

const TOKEN_PATTERN = /"(?:[^"\\]|\\.)*"|[{}[\],:]|[^\s{}[\],:"]+/g;
const POSITION_PATTERN = /at position (\d+)/;

function findPosition(text: string, offset: number): ITextPosition {
  const before = text.slice(0, offset);
  const lineStart = before.lastIndexOf('\n') + 1;
  return { line: before.split('\n').length, column: offset - lineStart + 1 };
}

/** Parser's message for a text, or undefined when it is JSON. */
function readFault(text: string): string | undefined {
  try {
    JSON.parse(text);
    return undefined;
  } catch (error) {
    return error instanceof Error ? error.message : String(error);
  }
}

/** True when some continuation of the text may still be JSON. */
function canContinue(text: string): boolean {
  const fault = readFault(text);
  if (fault === undefined || fault.startsWith('Unexpected end')) {
    return true;
  }
  const position = POSITION_PATTERN.exec(fault)?.[1];
  return position !== undefined && Number(position) >= text.length;
}

/**
 * Offset of the first character that makes the text invalid. Not every message of the parser names the
 * position, so the longest prefix that can still continue is found by bisection.
 */
function findFaultOffset(text: string): number {
  let good = 0;
  let bad = text.length + 1;
  while (bad - good > 1) {
    const middle = Math.floor((good + bad) / 2);
    if (canContinue(text.slice(0, middle))) {
      good = middle;
    } else {
      bad = middle;
    }
  }
  return good;
}

/**
 * Parses JSON; a failure carries line and column.
 *
 * @example
 * const parsed = parseJson('{"a": 1,}');
 * // parsed.val.line === 1, parsed.val.column === 9
 */
export function parseJson(text: string): Result<unknown, IJsonFault> {
  try {
    return Ok(JSON.parse(text) as unknown);
  } catch {
    const offset = findFaultOffset(text);
    const message = offset >= text.length ? 'the text ends early' : 'unexpected character';
    return Err({ message, ...findPosition(text, offset) });
  }
}

/** Path of a JSON pointer, decoded. */
function splitPointer(pointer: string): string[] {
  const parts = pointer.split('/').slice(1);
  return parts.map((part) => part.replaceAll('~1', '/').replaceAll('~0', '~'));
}

/** One segment of a JSON pointer, encoded. */
export function encodePointerSegment(segment: string): string {
  return segment.replaceAll('~', '~0').replaceAll('/', '~1');
}

function isAtPath(levels: readonly ILevel[], path: readonly string[]): boolean {
  return (
    levels.length === path.length && levels.every((level, index) => level.segment === path[index])
  );
}

/** Follows one token; true when it starts the value or key at the path. */
function visitToken(token: string, levels: ILevel[], path: readonly string[]): boolean {
  const top = levels.at(-1);
  switch (token) {
    case ':':
      return false;
    case ',':
      if (top !== undefined) {
        top.index += 1;
        top.segment = String(top.index);
        top.needsKey = !top.isArray;
      }
      return false;
    case '}':
    case ']':
      levels.pop();
      return false;
    case '{':
    case '[': {
      const isMatch = isAtPath(levels, path);
      const isArray = token === '[';
      levels.push({ isArray, segment: isArray ? '0' : '', index: 0, needsKey: !isArray });
      return isMatch;
    }
    default:
      if (top?.needsKey === true) {
        top.segment = JSON.parse(token) as string;
        top.needsKey = false;
        return isAtPath(levels, path);
      }
      return isAtPath(levels, path);
  }
}

/** Position of the value at a JSON pointer in a valid JSON text, if it is there. */
export function findPointer(text: string, pointer: string): ITextPosition | undefined {
  const path = splitPointer(pointer);
  const levels: ILevel[] = [];
  try {
    for (const match of text.matchAll(TOKEN_PATTERN)) {
      if (visitToken(match[0], levels, path)) {
        return findPosition(text, match.index);
      }
    }
  } catch {
    // A position is a help for the reader; without it the pointer still names the place.
  }
  return undefined;
}
