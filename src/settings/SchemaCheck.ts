/** Checks of parsed JSON against a schema, with a remedy for each fault. */
import type { ErrorObject, ValidateFunction } from 'ajv';
import { Err, Ok, type Result } from '../common/Result.js';
import { encodePointerSegment } from './JsonText.js';

/** More problems than this hide the first ones from the reader. */
const MAX_PROBLEMS = 20;

/** Fault of one value; file and line are added by the caller. */
export interface ISchemaProblem {
  readonly pointer: string;
  readonly message: string;
  readonly remedy: string;
}

const validators = new Map<object, ValidateFunction>();

/** Compiled validator of a schema. The library is loaded at first use because it takes memory. */
async function acquireValidator(schema: object): Promise<ValidateFunction> {
  const known = validators.get(schema);
  if (known !== undefined) {
    return known;
  }
  const { Ajv } = await import('ajv');
  const ajv = new Ajv({ allErrors: true, useDefaults: true, verbose: true });
  const validate = ajv.compile(schema);
  validators.set(schema, validate);
  return validate;
}

function listKnownProperties(error: ErrorObject): string {
  const properties = (error.parentSchema?.properties ?? {}) as Record<string, unknown>;
  return Object.keys(properties).join(', ');
}

function describeExpected(error: ErrorObject): string {
  const description: unknown = error.parentSchema?.description;
  return typeof description === 'string' ? `Expected: ${description}` : 'Correct the value.';
}

function explainError(error: ErrorObject): ISchemaProblem {
  const params = error.params as Record<string, unknown>;
  const pointer = error.instancePath;
  const message = error.message ?? 'is not valid';
  switch (error.keyword) {
    case 'required': {
      const name = String(params.missingProperty);
      return { pointer, message: `"${name}" is missing`, remedy: `Add "${name}".` };
    }
    case 'additionalProperties': {
      const name = String(params.additionalProperty);
      return {
        pointer: `${pointer}/${encodePointerSegment(name)}`,
        message: 'unknown property',
        remedy: `Remove it or correct its spelling; known here: ${listKnownProperties(error)}.`,
      };
    }
    case 'enum': {
      const values = JSON.stringify(params.allowedValues);
      return { pointer, message: 'is not an allowed value', remedy: `Use one of ${values}.` };
    }
    case 'type':
      return { pointer, message, remedy: `Write a value of type ${String(params.type)}.` };
    default:
      return { pointer, message, remedy: describeExpected(error) };
  }
}

/**
 * Checks a value against a schema and applies the schema's defaults to it.
 *
 * @example
 * const checked = await checkSchema<Settings>(SETTINGS_SCHEMA, JSON.parse(text));
 */
export async function checkSchema<T>(
  schema: object,
  value: unknown,
): Promise<Result<T, readonly ISchemaProblem[]>> {
  const validate = await acquireValidator(schema);
  if (validate(value)) {
    return Ok(value as T);
  }
  return Err((validate.errors ?? []).slice(0, MAX_PROBLEMS).map(explainError));
}
