/** The configuration document in the compressed form in which exchanges pass it on. */
import { fromBinary, toBinary } from '@bufbuild/protobuf';
import { gunzipSync, gzipSync } from 'node:zlib';
import {
  FleetDocumentSchema,
  type ExchangeRequest,
  type ExchangeResponse,
  type FleetDocument,
} from '../gen/redwingwharf/v1/fleet_pb.js';

/** Shorter documents are sent as they are. */
const MIN_COMPRESSED_BYTES = 32 * 1024;

/** Longer than any document that an operator may send. */
const MAX_DOCUMENT_BYTES = 16 * 1024 * 1024;

type CompressedDocument = ExchangeResponse['compressedDocument'];

/** Each document is compressed once, however many processes fetch it. */
const compressedDocuments = new WeakMap<FleetDocument, CompressedDocument>();

function encodeDocument(document: FleetDocument): CompressedDocument {
  const existing = compressedDocuments.get(document);
  if (existing !== undefined) {
    return existing;
  }
  const encoded = new Uint8Array(gzipSync(toBinary(FleetDocumentSchema, document)));
  compressedDocuments.set(document, encoded);
  return encoded;
}

/**
 * Adds the document to the answer of a process that has an older one.
 *
 * @example
 * addDocument(response, request, state.document);
 */
export function addDocument(
  response: ExchangeResponse,
  request: ExchangeRequest,
  document: FleetDocument | undefined,
): void {
  if (document === undefined || document.version <= request.documentVersion) {
    return;
  }
  if (request.acceptsCompressedDocument && document.content.length >= MIN_COMPRESSED_BYTES) {
    response.compressedDocument = encodeDocument(document);
  } else {
    response.document = document;
  }
}

/** The document of an answer; undefined if it has none. Throws if a compressed one is damaged. */
export function extractDocument({
  document,
  compressedDocument,
}: Pick<ExchangeResponse, 'document' | 'compressedDocument'>): FleetDocument | undefined {
  return compressedDocument.length === 0
    ? document
    : fromBinary(
        FleetDocumentSchema,
        gunzipSync(compressedDocument, { maxOutputLength: MAX_DOCUMENT_BYTES }),
      );
}
