/** Names and encoding of the headers that entries and sidecars exchange with each dispatch. */
import { fromBinary, toBinary, type DescMessage, type MessageShape } from '@bufbuild/protobuf';

/** Request header with the encoded `Ticket` of a dispatch. */
export const TICKET_HEADER = 'x-rww-ticket';

/** Response header with the encoded `Receipt` of a dispatch. */
export const RECEIPT_HEADER = 'x-rww-receipt';

/** Id of a stream at its engine. The entry sends it back to resume the stream. */
export const STREAM_HEADER = 'x-rww-stream';

export const REQUEST_ID_HEADER = 'x-request-id';

/** Encodes a message as a header value: binary Protobuf in base64url. */
export function encodeHeader<T extends DescMessage>(schema: T, message: MessageShape<T>): string {
  return Buffer.from(toBinary(schema, message)).toString('base64url');
}

/** Decodes a header value. Returns undefined when it is missing or malformed. */
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
