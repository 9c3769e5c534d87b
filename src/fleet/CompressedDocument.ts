/** The configuration document in the compressed form in which exchanges pass it on. */
import { fromBinary, toBinary } from '@bufbuild/protobuf';
import { gunzipSync, gzipSync } from 'node:zlib';
import { FleetDocumentSchema, type FleetDocument } from '../gen/redwingwharf/v1/fleet_pb.js';

/** Shorter documents are sent as they are. */
const MIN_COMPRESSED_BYTES = 32 * 1024;

/** Longer than any document that an operator may send. */
const MAX_DOCUMENT_BYTES = 16 * 1024 * 1024;

/**
 * Compresses each document once, however many processes fetch it.
 *
 * @example
 * const encoded = cache.encode(state.document);
 */
export class CompressedDocumentCache {
  private _document: FleetDocument | undefined;
  private _compressed: Uint8Array<ArrayBuffer> | undefined;

  /** Returns undefined for a short document, which is to be sent as it is. */
  public encode(document: FleetDocument): Uint8Array<ArrayBuffer> | undefined {
    if (document !== this._document) {
      this._document = document;
      this._compressed =
        document.content.length < MIN_COMPRESSED_BYTES
          ? undefined
          : new Uint8Array(gzipSync(toBinary(FleetDocumentSchema, document)));
    }
    return this._compressed;
  }
}

/** Restores a document; throws if the bytes are damaged. */
export function decodeCompressedDocument(compressed: Uint8Array): FleetDocument {
  return fromBinary(
    FleetDocumentSchema,
    gunzipSync(compressed, { maxOutputLength: MAX_DOCUMENT_BYTES }),
  );
}
