/** Decodes items from a copy of the configuration. */
import { fromBinary, type DescMessage, type MessageShape } from '@bufbuild/protobuf';
import type { IItemsCopy } from './ControlAccess.js';

export interface IDecodedItem<T> {
  readonly key: string;
  readonly value: T;
}

/** Decodes the item with this key; undefined if the copy has none. */
export function decodeItem<T extends DescMessage>(
  copy: IItemsCopy,
  key: string,
  schema: T,
): MessageShape<T> | undefined {
  const value = copy.items.get(key);
  return value && fromBinary(schema, value);
}

/** Decodes all items whose key begins with the prefix, sorted by key. */
export function decodeItems<T extends DescMessage>(
  copy: IItemsCopy,
  prefix: string,
  schema: T,
): IDecodedItem<MessageShape<T>>[] {
  const keys = [...copy.items.keys()].filter((key) => key.startsWith(prefix)).sort();
  return keys.map((key) => ({
    key,
    value: fromBinary(schema, copy.items.get(key) ?? new Uint8Array()),
  }));
}
