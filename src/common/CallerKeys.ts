/**
 * API keys of callers, in the form `rww_<keyId>_<secret>`. Only a salted HMAC of the secret is stored,
 * never the secret.
 */
import { randomBytes } from 'node:crypto';
import { create } from '@bufbuild/protobuf';
import { CallerKeySchema, type CallerKey } from '../gen/redwingwharf/v1/state_pb.js';
import { compareSecret, signHmac } from './Hashes.js';

/** 48 random bits, written as 12 hexadecimal characters. */
const KEY_ID_BYTES = 6;

/** Written as 43 characters of base64url. */
const SECRET_BYTES = 32;

const SALT_BYTES = 16;

const KEY_PATTERN = /^rww_([0-9a-f]{12})_([A-Za-z0-9_-]{43})$/;
const KEY_ID_PATTERN = /^[0-9a-f]{12}$/;

/** Verified in place of an unknown key's record, so that the time doesn't reveal which key ids exist. */
const DUMMY_SALT = new Uint8Array(SALT_BYTES);
const DUMMY_HMAC = new Uint8Array(SECRET_BYTES);

/** Key id and secret of a key that a caller sent. */
export interface IParsedCallerKey {
  readonly keyId: string;
  readonly secret: string;
}

/** A new key: `text` is shown to its owner once, `record` is stored. */
export interface ICreatedCallerKey {
  readonly text: string;
  readonly record: CallerKey;
}

/** True when the text has the form of a key id; the key need not exist. */
export function isKeyId(text: string): boolean {
  return KEY_ID_PATTERN.test(text);
}

/**
 * Splits the text of a key. Returns undefined when the text is malformed.
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
 * Generates a key for a client account. Storing the record is left to the caller.
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
 * True when the secret belongs to the record and the key is not withdrawn. Takes the same time whatever
 * the secret is and whether or not the record exists.
 *
 * @example
 * const isValid = verifyCallerKey(record, key.secret);
 */
export function verifyCallerKey(record: CallerKey | undefined, secret: string): boolean {
  const salt = record?.salt ?? DUMMY_SALT;
  const expected = record?.secretHmac ?? DUMMY_HMAC;
  const isEqual = compareSecret(signHmac(salt, secret), expected);
  return isEqual && record?.withdrawn === false;
}
