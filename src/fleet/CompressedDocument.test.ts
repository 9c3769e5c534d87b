/** Guards against a leader that compresses a large configuration anew for each process that fetches it. */
import { create } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { hasSameBytes } from '../common/Hashes.js';
import { FleetDocumentSchema, type FleetDocument } from '../gen/redwingwharf/v1/fleet_pb.js';
import { CompressedDocumentCache, decodeCompressedDocument } from './CompressedDocument.js';

function buildDocument(version: bigint, length: number): FleetDocument {
  const content = Buffer.from(`{"version":${version},"text":"${'ab'.repeat(length / 2)}"}`);
  return create(FleetDocumentSchema, { version, content: new Uint8Array(content) });
}

describe('CompressedDocumentCache', () => {
  it('compresses a document once', () => {
    const cache = new CompressedDocumentCache();
    const document = buildDocument(7n, 1_000_000);
    const encoded = cache.encode(document);
    expect(encoded?.length).toBeLessThan(100_000);
    expect(cache.encode(document)).toBe(encoded);
    const decoded = decodeCompressedDocument(encoded ?? new Uint8Array());
    expect(hasSameBytes(decoded.content, document.content)).toBe(true);
  });

  it('follows to the next document', () => {
    const cache = new CompressedDocumentCache();
    cache.encode(buildDocument(7n, 100_000));
    const encoded = cache.encode(buildDocument(8n, 100_000)) ?? new Uint8Array();
    expect(decodeCompressedDocument(encoded).version).toBe(8n);
  });

  it('leaves short documents as they are', () => {
    const cache = new CompressedDocumentCache();
    cache.encode(buildDocument(7n, 100_000));
    expect(cache.encode(buildDocument(8n, 1_000))).toBeUndefined();
  });
});
