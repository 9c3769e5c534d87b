/** Callers' keys: `rww_<keyId>_<secret>`. Only a salted HMAC of the secret is ever stored. */
import { randomBytes } from 'node:crypto';
import { create } from '@bufbuild/protobuf';
import { CallerKeySchema, type CallerKey } from '../gen/redwingwharf/v1/state_pb.js';
import { compareSecret, signHmac } from './Hashes.js';

/** 48 random bits name a key; 12 hexadecimal characters. */
const KEY_ID_BYTES = 6;

/** 43 characters of base64url. */
const SECRET_BYTES = 32;

const SALT_BYTES = 16;

const KEY_PATTERN = /^rww_([0-9a-f]{12})_([A-Za-z0-9_-]{43})$/;
const KEY_ID_PATTERN = /^[0-9a-f]{12}$/;

/** Compared against when a key id is unknown, so that the answer takes as long as for a known one. */
const ABSENT_SALT = new Uint8Array(SALT_BYTES);
const ABSENT_HMAC = new Uint8Array(SECRET_BYTES);

/** Parts of a key as a caller sends it. */
export interface IParsedCallerKey {
  readonly keyId: string;
  readonly secret: string;
}

/** A new key: the text is shown once to the caller, the record is stored. */
export interface ICreatedCallerKey {
  readonly text: string;
  readonly record: CallerKey;
}

/** True for the form of a key id. */
export function isKeyId(text: string): boolean {
  return KEY_ID_PATTERN.test(text);
}

/**
 * Splits the text of a key; undefined when it has another form.
 *
 * @example
 * const key = parseCallerKey(header.slice('Bearer '.length));
 */
export function parseCallerKey(text: string): IParsedCallerKey | undefined {
  const match = KEY_PATTERN.exec(text);
  const keyId = match?.[1];
  const secret = match?.[2];
  return keyId === undefined || secret === undefined ? undefined : { keyId, secret };
}

/**
 * Generates a key for a client account.
 *
 * @example
 * const { text, record } = createCallerKey('bindery');
 */
export function createCallerKey(clientAccount: string): ICreatedCallerKey {
  const keyId = randomBytes(KEY_ID_BYTES).toString('hex');
  const secret = randomBytes(SECRET_BYTES).toString('base64url');
  const salt = new Uint8Array(randomBytes(SALT_BYTES));
  const secretHmac = signHmac(salt, secret);
  const record = create(CallerKeySchema, { keyId, clientAccount, salt, secretHmac });
  return { text: `rww_${keyId}_${secret}`, record };
}

/**
 * True when the secret belongs to the record and the key is not withdrawn. The time does not depend on
 * the secret, nor on whether the record exists.
 *
 * @example
 * const isValid = verifyCallerKey(record, key.secret);
 */
export function verifyCallerKey(record: CallerKey | undefined, secret: string): boolean {
  const salt = record?.salt ?? ABSENT_SALT;
  const expected = record?.secretHmac ?? ABSENT_HMAC;
  const isEqual = compareSecret(signHmac(salt, secret), expected);
  return isEqual && record?.withdrawn === false;
}
