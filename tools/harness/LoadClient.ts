/** Client that sends requests and measures their answers, for measurements on loopback. */
import { Agent, request } from 'undici';

/** Result of a streamed completion; times are counted from sending the request. */
export interface IStreamResult {
  readonly status: number;
  readonly firstByteMs: number;
  readonly totalMs: number;
  /** Number of server-sent events. */
  readonly eventCount: number;
}

/** Ends a server-sent event. */
const EVENT_TERMINATOR = Buffer.from('\n\n');

/** Client with a pool of connections and no timeouts for headers and bodies. */
export class LoadClient {
  private readonly _agent = new Agent({ headersTimeout: 0, bodyTimeout: 0 });

  /**
   * Streams one completion and discards its content; `onEvents` gets the number of events of each
   * chunk.
   */
  public async stream(
    baseUrl: string,
    key: string | undefined,
    body: Readonly<Record<string, unknown>>,
    onEvents: (count: number) => void = () => undefined,
  ): Promise<IStreamResult> {
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
    let eventCount = 0;
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      firstByteMs ||= performance.now() - startedAt;
      const count = countEvents(chunk);
      eventCount += count;
      onEvents(count);
    }
    return {
      status: response.statusCode,
      firstByteMs,
      totalMs: performance.now() - startedAt,
      eventCount,
    };
  }

  public async close(): Promise<void> {
    await this._agent.close();
  }
}

function countEvents(chunk: Buffer): number {
  let count = 0;
  for (
    let index = chunk.indexOf(EVENT_TERMINATOR);
    index >= 0;
    index = chunk.indexOf(EVENT_TERMINATOR, index + 2)
  ) {
    count += 1;
  }
  return count;
}

/** Runs the jobs 0 to `total` - 1, at most `concurrency` of them at the same time. */
export async function runConcurrently(
  total: number,
  concurrency: number,
  job: (index: number) => Promise<void>,
): Promise<void> {
  let nextIndex = 0;
  const runWorker = async (): Promise<void> => {
    while (nextIndex < total) {
      const index = nextIndex;
      nextIndex += 1;
      await job(index);
    }
  };
  await Promise.all(Array.from({ length: concurrency }, runWorker));
}
