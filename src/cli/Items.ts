/** Edits of configuration items, as sent in an operator's change. */
import { digestSha256 } from '../common/Hashes.js';

/** Prefixes of item keys, one for each kind of item. */
export const ITEM_PREFIX = {
  service: 'service/',
  clientAccount: 'clientAccount/',
  weights: 'weights/',
  key: 'key/',
} as const;

/** Prefixes of the items that operator files declare. Caller keys are issued one by one and are in no file. */
export const DECLARED_PREFIXES: readonly string[] = [
  ITEM_PREFIX.service,
  ITEM_PREFIX.clientAccount,
  ITEM_PREFIX.weights,
];

/** New value of an item, or its deletion; the value of a deletion is empty. */
export interface IItemEdit {
  readonly key: string;
  readonly value: Uint8Array;
  readonly delete: boolean;
}

/** Sorts edits by key, so that their order does not depend on the order of the files. */
export function sortEdits(edits: readonly IItemEdit[]): IItemEdit[] {
  return [...edits].sort((left, right) => (left.key < right.key ? -1 : 1));
}

/**
 * SHA-256 digest of edits, independent of their order. Each field is preceded by its length, so that two
 * different lists are never hashed as the same bytes.
 */
export function digestEdits(edits: readonly IItemEdit[]): Uint8Array {
  const parts = sortEdits(edits).flatMap((edit) => [
    `${Buffer.byteLength(edit.key)} ${edit.key} ${edit.delete ? 'delete' : edit.value.length} `,
    edit.value,
  ]);
  return digestSha256(...parts);
}
