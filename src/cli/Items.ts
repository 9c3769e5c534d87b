/** Items of the configuration as an operator's change carries them. */
import { digestSha256 } from '../common/Hashes.js';

/** First part of the item keys. */
export const ITEM_PREFIX = {
  service: 'service/',
  clientAccount: 'clientAccount/',
  weights: 'weights/',
  key: 'key/',
} as const;

/** Items that operator files declare; keys are issued one by one and belong to no file. */
export const DECLARED_PREFIXES: readonly string[] = [
  ITEM_PREFIX.service,
  ITEM_PREFIX.clientAccount,
  ITEM_PREFIX.weights,
];

/** New value of an item, or its deletion. */
export interface IItemEdit {
  readonly key: string;
  readonly value: Uint8Array;
  readonly delete: boolean;
}

/** Edits in the one order that every file order leads to. */
export function sortEdits(edits: readonly IItemEdit[]): IItemEdit[] {
  return [...edits].sort((left, right) => (left.key < right.key ? -1 : 1));
}

/**
 * Digest of edits, independent of their order. Each field is preceded by its length, so that no two
 * different lists digest to the same text.
 */
export function digestEdits(edits: readonly IItemEdit[]): Uint8Array {
  const parts = sortEdits(edits).flatMap((edit) => [
    `${Buffer.byteLength(edit.key)} ${edit.key} ${edit.delete ? 'delete' : edit.value.length} `,
    edit.value,
  ]);
  return digestSha256(...parts);
}
