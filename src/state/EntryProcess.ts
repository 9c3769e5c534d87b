/** Identity of an entry process. */
import { encodeHex } from '../common/Hashes.js';

/** Name of an instance and the random incarnation of its process. */
export interface IEntryProcess {
  readonly instance: string;
  readonly incarnation: Uint8Array;
}

/** Builds the map key of an entry process. */
export function buildEntryId(entry: IEntryProcess): string {
  return `${encodeHex(entry.incarnation)}/${entry.instance}`;
}
