/** Reads JSON answers of limited size. */
import { ByteBuffer } from './ByteBuffer.js';

/**
 * Reads and parses a whole body. Rejects and closes the connection if it exceeds `maxBytes`: a faulty server may send
 * bytes without end. Rejects also if the body is no JSON.
 *
 * @example
 * const reply = await readJson(response.body, 65_536);
 */
export async function readJson(body: AsyncIterable<Buffer>, maxBytes: number): Promise<unknown> {
  const bytes = new ByteBuffer();
  for await (const chunk of body) {
    if (bytes.size + chunk.length > maxBytes) {
      throw new Error(`the answer exceeds ${maxBytes} bytes`);
    }
    bytes.append(chunk);
  }
  return JSON.parse(bytes.take().toString());
}
