import { create } from '@bufbuild/protobuf';
import { afterEach, describe, expect, it } from 'vitest';
import { findFreePorts } from '../../tools/harness/Ports.js';
import { ManualClock } from '../common/Clock.js';
import { SILENT_LOG } from '../common/Log.js';
import { Shutdown } from '../common/Shutdown.js';
import { ResponseTimes } from '../gateway/ResponseTimes.js';
import { AnnounceRequestSchema, TicketSchema } from '../gen/redwingwharf/v1/control_pb.js';
import { DispatchClient } from './DispatchClient.js';
import { OpenRequest } from './OpenRequests.js';

const ANSWER_MS = 1_000;
const SIZE = { route: 'order-desk POST', outputTokens: 0, expectedFirstMs: 0 };

const clients: DispatchClient[] = [];

afterEach(async () => {
  await Promise.all(clients.splice(0).map((client) => client.close()));
});

/** Dispatches to a port that refuses connections, with some time left until the end of the process. */
async function dispatch(remainingMs: number, isRepeatable: boolean): Promise<string> {
  const clock = new ManualClock();
  const shutdown = new Shutdown();
  const responseTimes = new ResponseTimes();
  responseTimes.record(SIZE, ANSWER_MS);
  const client = new DispatchClient('secret', { clock, log: SILENT_LOG, shutdown, responseTimes });
  clients.push(client);
  shutdown.begin(remainingMs, clock.now());
  const [port] = await findFreePorts(1);
  const announcement = create(AnnounceRequestSchema, { address: `127.0.0.1:${port ?? 0}` });
  const open = new OpenRequest('r1', undefined, 20_000);
  const outcome = await client.dispatch({
    ticket: create(TicketSchema, { requestId: 'r1' }),
    target: { announcement, announcedAt: 0 } as never,
    ...{ method: 'POST', path: '/', headers: {}, body: undefined },
    ...{ signal: open.signal, open },
    run: { ...SIZE, isRepeatable, deadlineAt: 20_000 },
  });
  expect(open.endReason).toBe(outcome.kind === 'stopping' ? 'stopping' : undefined);
  return outcome.kind;
}

describe('DispatchClient of a process that stops', () => {
  // A call that may not be repeated has no second chance, so its answer must not be cut.
  it.each([
    { remainingMs: 2_900, repeatable: 'stopping', claimed: 'stopping' },
    { remainingMs: 3_500, repeatable: 'not_run', claimed: 'stopping' },
    { remainingMs: 4_100, repeatable: 'not_run', claimed: 'not_run' },
  ])(
    'refuses claimed calls earlier: $remainingMs ms left',
    async ({ remainingMs, repeatable, claimed }) => {
      expect(await dispatch(remainingMs, true)).toBe(repeatable);
      expect(await dispatch(remainingMs, false)).toBe(claimed);
    },
  );
});
