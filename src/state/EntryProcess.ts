/** Identity of an entry process. */
import { encodeHex } from '../common/Hashes.js';

/** An instance and the random number of one run of its process. */
export interface IEntryProcess {
  readonly instance: string;
  readonly incarnation: Uint8Array;
}

/** Map key of an entry process. */
export function buildEntryId(entry: IEntryProcess): string {
  return `${encodeHex(entry.incarnation)}/${entry.instance}`;
}
