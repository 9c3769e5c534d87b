/** Sends requests and measures their answers, for measurements on loopback. */
import { Agent, request } from 'undici';

/** What one streamed completion took. */
export interface IStreamTimes {
  readonly status: number;
  readonly firstByteMs: number;
  readonly totalMs: number;
  readonly events: number;
}

const EVENT_END = Buffer.from('\n\n');

/** Client with a pool of connections. */
export class LoadClient {
  private readonly _agent = new Agent({ headersTimeout: 0, bodyTimeout: 0 });

  /** Streams one completion and drops its content. */
  public async stream(
    baseUrl: string,
    key: string | undefined,
    body: Readonly<Record<string, unknown>>,
    onEvents: (count: number) => void = () => undefined,
  ): Promise<IStreamTimes> {
    const startedAt = performance.now();
    const response = await request(`${baseUrl}/v1/chat/completions`, {
      method: 'POST',
      dispatcher: this._agent,
      headers: {
        'content-type': 'application/json',
        ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
      },
      body: JSON.stringify({ ...body, stream: true }),
    });
    let firstByteMs = 0;
    let events = 0;
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      firstByteMs ||= performance.now() - startedAt;
      const count = countEvents(chunk);
      events += count;
      onEvents(count);
    }
    return {
      status: response.statusCode,
      firstByteMs,
      totalMs: performance.now() - startedAt,
      events,
    };
  }

  public async close(): Promise<void> {
    await this._agent.close();
  }
}

function countEvents(chunk: Buffer): number {
  let count = 0;
  for (let at = chunk.indexOf(EVENT_END); at >= 0; at = chunk.indexOf(EVENT_END, at + 2)) {
    count += 1;
  }
  return count;
}

/** Runs `total` jobs with a limited number at once. */
export async function runConcurrently(
  total: number,
  concurrency: number,
  job: (index: number) => Promise<void>,
): Promise<void> {
  let next = 0;
  const work = async (): Promise<void> => {
    while (next < total) {
      const index = next;
      next += 1;
      await job(index);
    }
  };
  await Promise.all(Array.from({ length: concurrency }, work));
}
