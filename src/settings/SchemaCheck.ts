/** Validates parsed JSON against a schema and suggests a remedy for each problem. */
import type { ErrorObject, ValidateFunction } from 'ajv';
import { Err, Ok, type Result } from '../common/Result.js';
import { OPERATOR_SCHEMA } from '../gen/operator.js';
import { SETTINGS_SCHEMA } from '../gen/settings.js';
import { encodePointerSegment } from './JsonText.js';

/** Largest number of reported problems; in a longer list the first ones are easily missed. */
const MAX_PROBLEMS = 20;

/** Problem with one value; the caller adds the file and the position. */
export interface ISchemaProblem {
  readonly pointer: string;
  readonly message: string;
  readonly remedy: string;
}

/** Generated validators. A running process needs only one of them, so each is loaded at its first use. */
const VALIDATOR_LOADERS = new Map<object, () => Promise<{ validate: unknown }>>([
  [SETTINGS_SCHEMA, () => import('../gen/settingsValidator.js')],
  [OPERATOR_SCHEMA, () => import('../gen/operatorValidator.js')],
]);

async function loadValidator(schema: object): Promise<ValidateFunction> {
  const load = VALIDATOR_LOADERS.get(schema);
  if (load === undefined) {
    throw new Error('the schema has no generated validator; add it to tools/generate.mjs');
  }
  const { validate } = await load();
  return validate as ValidateFunction;
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
 * Validates a value against a schema and applies the schema's defaults to the value itself.
 *
 * @example
 * const checked = await checkSchema<Settings>(SETTINGS_SCHEMA, JSON.parse(text));
 */
export async function checkSchema<T>(
  schema: object,
  value: unknown,
): Promise<Result<T, readonly ISchemaProblem[]>> {
  const validate = await loadValidator(schema);
  if (validate(value)) {
    return Ok(value as T);
  }
  return Err((validate.errors ?? []).slice(0, MAX_PROBLEMS).map(explainError));
}
