/** Header names and codecs of the data path between entry and sidecar. */
import { fromBinary, toBinary, type DescMessage, type MessageShape } from '@bufbuild/protobuf';

export const TICKET_HEADER = 'x-rww-ticket';
export const RECEIPT_HEADER = 'x-rww-receipt';

/** Stream id at the engine; sent back to resume the stream. */
export const STREAM_HEADER = 'x-rww-stream';

export const REQUEST_ID_HEADER = 'x-request-id';

/** Encodes a message for a header. */
export function encodeHeader<T extends DescMessage>(schema: T, message: MessageShape<T>): string {
  return Buffer.from(toBinary(schema, message)).toString('base64url');
}

/** Decodes a header; undefined when it is missing or malformed. */
export function decodeHeader<T extends DescMessage>(
  schema: T,
  header: string | string[] | undefined,
): MessageShape<T> | undefined {
  if (typeof header !== 'string') {
    return undefined;
  }
  try {
    return fromBinary(schema, Buffer.from(header, 'base64url'));
  } catch {
    return undefined;
  }
}
