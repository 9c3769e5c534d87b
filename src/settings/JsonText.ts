/** Finds line and column of syntax errors and of values in JSON texts, for error messages. */
import { Err, Ok, type Result } from '../common/Result.js';

/** Line and column, both counted from 1. */
export interface ITextPosition {
  readonly line: number;
  readonly column: number;
}

/** First syntax error of a text that is not JSON. */
export interface IJsonSyntaxError extends ITextPosition {
  readonly message: string;
}

interface INestingLevel {
  readonly isArray: boolean;
  segment: string;
  index: number;
  expectsKey: boolean;
}

const TOKEN_PATTERN = /"(?:[^"\\]|\\.)*"|[{}[\],:]|[^\s{}[\],:"]+/g;
const POSITION_PATTERN = /at position (\d+)/;

function getTextPosition(text: string, offset: number): ITextPosition {
  const before = text.slice(0, offset);
  const lineStart = before.lastIndexOf('\n') + 1;
  return { line: before.split('\n').length, column: offset - lineStart + 1 };
}

/** Returns the message of the JSON parser for a text, or undefined if the text is valid. */
function getParseError(text: string): string | undefined {
  try {
    JSON.parse(text);
    return undefined;
  } catch (error) {
    return error instanceof Error ? error.message : String(error);
  }
}

/** Returns whether the text may be the beginning of a valid JSON text. */
function canContinue(text: string): boolean {
  const message = getParseError(text);
  if (message === undefined || message.startsWith('Unexpected end')) {
    return true;
  }
  const position = POSITION_PATTERN.exec(message)?.[1];
  return position !== undefined && Number(position) >= text.length;
}

/**
 * Offset of the first character that makes the text invalid. Not every message of the parser contains the
 * position, so a binary search finds the longest prefix that a valid text can begin with.
 */
function findErrorOffset(text: string): number {
  let validLength = 0;
  let invalidLength = text.length + 1;
  while (invalidLength - validLength > 1) {
    const middle = Math.floor((validLength + invalidLength) / 2);
    if (canContinue(text.slice(0, middle))) {
      validLength = middle;
    } else {
      invalidLength = middle;
    }
  }
  return validLength;
}

/**
 * Parses JSON; the error contains the line and column of the first invalid character.
 *
 * @example
 * const parsed = parseJson('{"a": 1,}');
 * // parsed.val.line === 1, parsed.val.column === 9
 */
export function parseJson(text: string): Result<unknown, IJsonSyntaxError> {
  try {
    return Ok(JSON.parse(text) as unknown);
  } catch {
    const offset = findErrorOffset(text);
    const message = offset >= text.length ? 'unexpected end of text' : 'unexpected character';
    return Err({ message, ...getTextPosition(text, offset) });
  }
}

/** Splits a JSON pointer into its decoded segments. */
function splitPointer(pointer: string): string[] {
  const parts = pointer.split('/').slice(1);
  return parts.map((part) => part.replaceAll('~1', '/').replaceAll('~0', '~'));
}

/** Encodes one segment of a JSON pointer. */
export function encodePointerSegment(segment: string): string {
  return segment.replaceAll('~', '~0').replaceAll('/', '~1');
}

function isAtPath(levels: readonly INestingLevel[], path: readonly string[]): boolean {
  return (
    levels.length === path.length && levels.every((level, index) => level.segment === path[index])
  );
}

/** Updates the nesting levels for one token; returns whether the key or value at the path starts with it. */
function visitToken(token: string, levels: INestingLevel[], path: readonly string[]): boolean {
  const top = levels.at(-1);
  switch (token) {
    case ':':
      return false;
    case ',':
      if (top !== undefined) {
        top.index += 1;
        top.segment = String(top.index);
        top.expectsKey = !top.isArray;
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
      levels.push({ isArray, segment: isArray ? '0' : '', index: 0, expectsKey: !isArray });
      return isMatch;
    }
    default:
      if (top?.expectsKey === true) {
        top.segment = JSON.parse(token) as string;
        top.expectsKey = false;
        return isAtPath(levels, path);
      }
      return isAtPath(levels, path);
  }
}

/** Position of the key or value at a JSON pointer in a valid JSON text; undefined if it is not found. */
export function findPointerPosition(text: string, pointer: string): ITextPosition | undefined {
  const path = splitPointer(pointer);
  const levels: INestingLevel[] = [];
  try {
    for (const match of text.matchAll(TOKEN_PATTERN)) {
      if (visitToken(match[0], levels, path)) {
        return getTextPosition(text, match.index);
      }
    }
  } catch {
    // The position is optional: without it the pointer still identifies the value.
  }
  return undefined;
}
