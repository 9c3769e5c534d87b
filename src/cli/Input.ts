/** Validates the options of a command line and gives commands typed access to them. */
import { explainBadAddress } from '../settings/CrossChecks.js';
import { Err, Ok, type Result } from '../common/Result.js';
import type { ICommandInput, IOptionSpec, OptionKind } from './Types.js';

/** Option values by name, as the argument parser returns them. */
export type RawOptions = Readonly<Record<string, unknown>>;

const ADDRESS_PATTERN = /^([0-9.]+|\[[0-9a-fA-F:]+\]):[0-9]{1,5}$/;

function splitList(text: string): string[] {
  return text
    .split(',')
    .map((part) => part.trim())
    .filter((part) => part !== '');
}

function explainBadList(kind: OptionKind, text: string): string | undefined {
  const parts = splitList(text);
  if (parts.length === 0) {
    return 'needs at least one value';
  }
  if (kind === 'names') {
    return undefined;
  }
  for (const part of parts) {
    const reason = ADDRESS_PATTERN.test(part)
      ? explainBadAddress(part)
      : `"${part}" is not an IP address and a port`;
    if (reason !== undefined) {
      return `${reason}; write addresses such as 10.0.0.5:7001`;
    }
  }
  return undefined;
}

/** Returns what is wrong with the value of an option, or undefined if it is valid. */
function explainBadValue(kind: OptionKind, value: unknown): string | undefined {
  if (kind === 'flag') {
    return typeof value === 'boolean' ? undefined : 'takes no value';
  }
  if (Array.isArray(value)) {
    return 'is given more than once';
  }
  if (typeof value !== 'string' || value.trim() === '') {
    return 'needs a value';
  }
  switch (kind) {
    case 'text':
      return undefined;
    case 'addresses':
    case 'names':
      return explainBadList(kind, value);
    case 'count':
      return /^\d+$/.test(value) && Number.isSafeInteger(Number(value))
        ? undefined
        : 'needs a whole number';
    case 'number':
      return Number.isFinite(Number(value)) ? undefined : 'needs a number';
  }
}

function explainBadOptions(specs: readonly IOptionSpec[], raw: RawOptions): string | undefined {
  for (const spec of specs) {
    const value = raw[spec.name];
    if (value === undefined) {
      if (spec.isRequired === true) {
        return `--${spec.name} is missing`;
      }
      continue;
    }
    const reason = explainBadValue(spec.kind, value);
    if (reason !== undefined) {
      return `--${spec.name} ${reason}`;
    }
  }
  return undefined;
}

/** Validates parsed options against their specification; the error says which option is wrong and why. */
export function createInput(
  specs: readonly IOptionSpec[],
  positionals: readonly string[],
  raw: RawOptions,
): Result<ICommandInput, string> {
  const reason = explainBadOptions(specs, raw);
  if (reason !== undefined) {
    return Err(reason);
  }
  const getText = (name: string): string | undefined => {
    const value = raw[name];
    return typeof value === 'string' ? value : undefined;
  };
  return Ok({
    positionals,
    getText,
    getList: (name) => splitList(getText(name) ?? ''),
    getNumber: (name) => {
      const text = getText(name);
      return text === undefined ? undefined : Number(text);
    },
    hasFlag: (name) => raw[name] === true,
  });
}
