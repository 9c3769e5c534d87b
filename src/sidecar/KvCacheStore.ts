/** Client for the KV-cache store, an HTTP server that stores blobs with PUT and returns them with GET. */
import type { Readable } from 'node:stream';
import type { Dispatcher } from 'undici';
import { ByteBuffer } from '../common/ByteBuffer.js';
import { deriveTimeoutSignal } from '../common/Tasks.js';

/** Time limit for the transfer of one blob, whatever its size. */
const TRANSFER_TIMEOUT_MS = 10_000;

/** Limit of the size of one list of hot chunks. */
const MAX_LIST_BYTES = 64 * 1024;

/** Content of a blob; can be read only once. */
export type BlobContent = Readable | AsyncIterable<Uint8Array>;

/** Uploads a blob. Throws when the server does not accept it. */
export async function putBlob(
  http: Dispatcher,
  address: string,
  path: string,
  content: BlobContent | string,
  signal: AbortSignal,
): Promise<void> {
  const response = await http.request({
    origin: `http://${address}`,
    path,
    method: 'PUT',
    body: content as Readable | string,
    signal: deriveTimeoutSignal(signal, TRANSFER_TIMEOUT_MS),
  });
  await response.body.dump();
  if (response.statusCode >= 300) {
    throw new Error(`${address} answered ${response.statusCode} to PUT ${path}`);
  }
}

/**
 * Opens a blob for reading. Returns undefined when the server does not have it, throws on other errors.
 */
export async function openBlob(
  http: Dispatcher,
  address: string,
  path: string,
  signal: AbortSignal,
): Promise<Readable | undefined> {
  const response = await http.request({
    origin: `http://${address}`,
    path,
    method: 'GET',
    signal: deriveTimeoutSignal(signal, TRANSFER_TIMEOUT_MS),
  });
  if (response.statusCode === 200) {
    return response.body;
  }
  await response.body.dump();
  if (response.statusCode === 404) {
    return undefined;
  }
  throw new Error(`${address} answered ${response.statusCode} to GET ${path}`);
}

/**
 * Chunks and lists of hot chunks of one model. The path contains the weights version, so versions never
 * mix.
 */
export class KvCacheStore {
  constructor(
    private readonly _address: string,
    private readonly _model: string,
    private readonly _http: Dispatcher,
  ) {}

  public async openChunk(
    version: string,
    hash: string,
    signal: AbortSignal,
  ): Promise<Readable | undefined> {
    return openBlob(this._http, this._address, this._formatPath(version, 'chunks', hash), signal);
  }

  public async putChunk(
    version: string,
    hash: string,
    content: BlobContent,
    signal: AbortSignal,
  ): Promise<void> {
    const path = this._formatPath(version, 'chunks', hash);
    await putBlob(this._http, this._address, path, content, signal);
  }

  /** Returns the hashes of the hot chunks that a target has listed; empty when it has stored no list. */
  public async readList(version: string, target: string, signal: AbortSignal): Promise<string[]> {
    const path = this._formatPath(version, 'lists', target);
    const body = await openBlob(this._http, this._address, path, signal);
    return body === undefined ? [] : parseList(await readText(body));
  }

  public async putList(
    version: string,
    target: string,
    hashes: readonly string[],
    signal: AbortSignal,
  ): Promise<void> {
    const path = this._formatPath(version, 'lists', target);
    await putBlob(this._http, this._address, path, JSON.stringify(hashes), signal);
  }

  private _formatPath(version: string, kind: 'chunks' | 'lists', name: string): string {
    const parts = [this._model, version, kind, name];
    return `/${parts.map((part) => encodeURIComponent(part)).join('/')}`;
  }
}

async function readText(body: Readable): Promise<string> {
  const bytes = new ByteBuffer();
  for await (const part of body as AsyncIterable<Buffer>) {
    bytes.append(part);
    if (bytes.size > MAX_LIST_BYTES) {
      throw new Error(`a list of hot chunks is larger than ${MAX_LIST_BYTES} bytes`);
    }
  }
  return bytes.take().toString('utf8');
}

function parseList(text: string): string[] {
  const list: unknown = JSON.parse(text);
  return Array.isArray(list) ? list.filter((hash): hash is string => typeof hash === 'string') : [];
}
