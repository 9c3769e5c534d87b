/** Guards against a leader that compresses a large configuration anew for each process that fetches it. */
import { create } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { hasSameBytes } from '../common/Hashes.js';
import {
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  FleetDocumentSchema,
  type ExchangeResponse,
  type FleetDocument,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { addDocument, extractDocument } from './CompressedDocument.js';

function buildDocument(version: bigint, length: number): FleetDocument {
  const content = Buffer.from(`{"version":${version},"text":"${'ab'.repeat(length / 2)}"}`);
  return create(FleetDocumentSchema, { version, content: new Uint8Array(content) });
}

/** The answer to a process that has version 6. */
function answer(document: FleetDocument | undefined, acceptsCompressed = true): ExchangeResponse {
  const response = create(ExchangeResponseSchema);
  const request = { documentVersion: 6n, acceptsCompressedDocument: acceptsCompressed };
  addDocument(response, create(ExchangeRequestSchema, request), document);
  return response;
}

describe('a document in exchanges', () => {
  it('is compressed once', () => {
    const document = buildDocument(7n, 1_000_000);
    const first = answer(document);
    expect(first.compressedDocument.length).toBeLessThan(100_000);
    expect(answer(document).compressedDocument).toBe(first.compressedDocument);
    const decoded = extractDocument(first);
    expect(decoded?.version).toBe(7n);
    expect(hasSameBytes(decoded?.content ?? new Uint8Array(), document.content)).toBe(true);
  });

  it('is followed by the next one', () => {
    answer(buildDocument(7n, 100_000));
    expect(extractDocument(answer(buildDocument(8n, 100_000)))?.version).toBe(8n);
  });

  it.each([
    ['short', 1_000, true],
    ['for a process of an older build', 100_000, false],
  ])('is sent as it is: %s', (_why, length, acceptsCompressed) => {
    const document = buildDocument(7n, length);
    const response = answer(document, acceptsCompressed);
    expect(response.document).toBe(document);
    expect(response.compressedDocument).toHaveLength(0);
    expect(extractDocument(response)).toBe(document);
  });

  it('is not sent to a process that has it', () => {
    expect(extractDocument(answer(buildDocument(6n, 100_000)))).toBeUndefined();
    expect(extractDocument(answer(undefined))).toBeUndefined();
  });
});
