/** Reads JSON answers of limited size. */

/**
 * Reads and parses a whole body. Rejects and closes the connection if it exceeds `maxBytes`: a faulty server may send
 * bytes without end. Rejects also if the body is no JSON.
 *
 * @example
 * const reply = await readJson(response.body, 65_536);
 */
export async function readJson(body: AsyncIterable<Buffer>, maxBytes: number): Promise<unknown> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of body) {
    size += chunk.length;
    if (size > maxBytes) {
      throw new Error(`the answer exceeds ${maxBytes} bytes`);
    }
    chunks.push(chunk);
  }
  return JSON.parse(Buffer.concat(chunks).toString());
}
