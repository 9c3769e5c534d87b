import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Readable } from 'node:stream';
import { decodeHeader, RECEIPT_HEADER, STREAM_HEADER, TICKET_HEADER } from '../common/Headers.js';
import { addJitter, sleep } from '../common/Tasks.js';
import { TicketSchema } from '../gen/redwingwharf/v1/control_pb.js';
import { EdgeHarness, formatCompletion, waitFor, type IAnswerText } from './EdgeHarness.js';

const DRAIN_TIMEOUT_MS = 9_000;

/** Far below the time for which the requests of the tests would go on to wait. */
const MAX_REFUSAL_MS = 400;

let harness: EdgeHarness;
/** URLs of the dispatches that reached a sidecar. */
let dispatches: string[];

async function startHarness(options: Parameters<typeof EdgeHarness.start>[0]): Promise<void> {
  harness = await EdgeHarness.start(options);
  dispatches = [];
  harness.interceptDispatch = (request) => {
    dispatches.push(request.url ?? '');
  };
}

afterEach(async () => {
  await harness.dispose();
});

async function drain(timeoutMs: number, entry = 0): Promise<void> {
  const role = harness.entries[entry]?.role;
  await role?.entry.drain(timeoutMs, new AbortController().signal);
}

/** Drains an entry and ends its process, which closes what is open. */
async function stopEntry(timeoutMs: number, entry = 0): Promise<void> {
  await drain(timeoutMs, entry);
  await harness.entries[entry]?.role.dispose();
}

function readCode({ text }: IAnswerText): string {
  return (JSON.parse(text) as { error: { code: string } }).error.code;
}

function readGauge(name: 'queued_requests' | 'open_requests'): number {
  const text = harness.entries[0]?.metrics.render() ?? '';
  return Number(new RegExp(`^redwingwharf_${name} (\\d+)$`, 'm').exec(text)?.[1] ?? 0);
}

async function callStock(delayMs: number): Promise<IAnswerText> {
  return harness.call('/stock/linen', { method: 'POST', body: JSON.stringify({ delayMs }) });
}

async function sendCompletion(tokens: number, isStream = true): Promise<IAnswerText> {
  const body = formatCompletion(tokens, { stream: isStream });
  return harness.call('/v1/completions', { method: 'POST', body });
}

/** A way in which a request waits, and how long it would. */
interface IWait {
  readonly name: string;
  /** Makes the next request wait. */
  readonly prepare: () => void | Promise<void>;
  readonly send: () => Promise<IAnswerText>;
  readonly isWaiting: () => boolean;
  /** With an Idempotency-Key it is not known whether an earlier request ran. */
  readonly ran: 'no' | 'unknown';
}

/** Takes the only slot of each service for as long as a request of the tests would wait. */
async function takeSlots(): Promise<void> {
  void sendCompletion(5_000).catch(() => undefined);
  void callStock(3_000).catch(() => undefined);
  await waitFor('the requests at the targets', () => dispatches.length === 2);
}

let heldCommands: string[];

/** Makes the control member answer no command of the kind, as while it elects a leader. */
function holdCommands(kind: string): void {
  heldCommands = [];
  harness.interceptCommand = async (command) => {
    if (command === kind) {
      heldCommands.push(kind);
      await sleep(3_000);
    }
  };
}

const isQueued = (): boolean => readGauge('queued_requests') === 1;

const WAITS: readonly IWait[] = [
  {
    name: 'a plain call in the queue',
    prepare: takeSlots,
    send: () => callStock(0),
    isWaiting: isQueued,
    ran: 'no',
  },
  {
    name: 'a completion in the queue',
    prepare: takeSlots,
    send: () => sendCompletion(1),
    isWaiting: isQueued,
    ran: 'no',
  },
  {
    name: 'a claimed call in the queue',
    prepare: takeSlots,
    send: () => harness.placeOrder({ order: 'queued' }, undefined),
    isWaiting: isQueued,
    ran: 'no',
  },
  {
    name: 'a call that waits for tokens of its account',
    prepare: async () => {
      holdCommands('syncGrants');
      await waitFor('the exchange of grants', () => heldCommands.length > 0);
    },
    send: async () => {
      await harness.addAccount('hvar', 1e8);
      const { text: key } = await harness.createKey('hvar');
      return harness.call('/stock/linen', { key });
    },
    isWaiting: () => readGauge('open_requests') === 1,
    ran: 'no',
  },
  {
    name: 'a call that waits for its claim',
    prepare: () => {
      holdCommands('claim');
    },
    send: () => harness.placeOrder({ order: 'claiming' }, 'claiming-1'),
    isWaiting: () => heldCommands.length > 0,
    ran: 'unknown',
  },
];

describe('what waits when the stop begins', () => {
  beforeEach(async () => {
    await startHarness({ overrides: { queue: { maxRequestsPerTarget: 1 } } });
    // The account has tokens from here on.
    expect((await callStock(0)).status).toBe(201);
    dispatches = [];
  });

  // A request that waits beyond the stop is sent to a target though its process will not see its end.
  it.each(WAITS)('$name is refused at once as not run', async (wait) => {
    await wait.prepare();
    const sent = dispatches.length;
    const pending = wait.send();
    await waitFor('the request to wait', wait.isWaiting);
    const beganAt = performance.now();
    void drain(DRAIN_TIMEOUT_MS);
    const answer = await pending;
    expect(performance.now() - beganAt).toBeLessThan(MAX_REFUSAL_MS);
    expect([answer.status, readCode(answer)]).toEqual([503, 'draining']);
    expect([answer.headers['x-rww-ran'], answer.headers['retry-after']]).toEqual([wait.ran, '1']);
    await sleep(200);
    expect(dispatches).toHaveLength(sent);
    for (const order of ['queued', 'claiming']) {
      expect(await harness.countEffects(order)).toBe(0);
    }
  });
});

describe('a request that would outlast the process', () => {
  beforeEach(async () => {
    const engine = { tokenIntervalMs: 10 };
    await startHarness({ engines: [engine, engine], plainTargets: 2 });
    // The entry learns how long responses take.
    await Promise.all([
      sendCompletion(100),
      callStock(1_000),
      harness.placeOrder({ delayMs: 1_000 }, undefined),
    ]);
    dispatches = [];
  });

  // Attempts that start too late are cut, and those that may not be repeated are lost.
  it.each([
    { name: 'a plain call', send: () => callStock(1_000) },
    { name: 'a completion', send: () => sendCompletion(1_000) },
    { name: 'a claimed call', send: () => harness.placeOrder({ order: 'late' }, undefined) },
  ])('is not sent to a target: first dispatch of $name', async ({ send }) => {
    const drained = drain(1_000);
    const answer = await send();
    expect([answer.status, answer.headers['x-rww-ran']]).toEqual([503, 'no']);
    expect([readCode(answer), dispatches]).toEqual(['draining', []]);
    await drained;
    expect(await harness.countEffects('late')).toBe(0);
  });

  it.each([
    { name: 'retry of a plain call', send: () => callStock(1_000) },
    { name: 'retry of a completion', send: () => sendCompletion(1_000, false) },
  ])('is not repeated: $name', async ({ send }) => {
    harness.interceptDispatch = (request, response) => {
      dispatches.push(request.url ?? '');
      setTimeout(() => response.destroy(), 300);
    };
    const pending = send();
    await waitFor('the first dispatch', () => dispatches.length === 1);
    void drain(1_000);
    const answer = await pending;
    expect([answer.status, answer.headers['x-rww-ran']]).toEqual([502, 'unknown']);
    expect(dispatches).toHaveLength(1);
  });

  // A second round begins after the head of an answer, on another path than a retry.
  it('is not repeated: second round of a plain call', async () => {
    harness.interceptDispatch = (request, response) => {
      dispatches.push(request.url ?? '');
      response.write = () => {
        setTimeout(() => response.destroy(), 50);
        return true;
      };
    };
    const pending = callStock(300);
    await waitFor('the first dispatch', () => dispatches.length === 1);
    void drain(1_000);
    const answer = await pending;
    expect([answer.status, answer.headers['x-rww-ran']]).toEqual([502, 'unknown']);
    expect(dispatches).toHaveLength(1);
  });

  it('is not resumed: a stream that breaks off', async () => {
    const resumed: unknown[] = [];
    let isCut = false;
    harness.interceptDispatch = (request, response) => {
      if (request.headers[STREAM_HEADER] !== undefined) {
        resumed.push(request.url);
      }
      setTimeout(() => {
        isCut = true;
        response.destroy();
      }, 300);
    };
    const stream = await harness.open('/v1/completions', {
      ...{ method: 'POST', body: formatCompletion(1_000) },
    });
    expect(isCut).toBe(false);
    void drain(1_000);
    const text = await stream.body.text();
    expect(text).toMatch(/event: error\ndata: .*"stream_broken"/);
    expect([isCut, resumed]).toEqual([true, []]);
  });
});

describe('what still runs at the end', () => {
  beforeEach(async () => {
    await startHarness({ engines: [{ tokenIntervalMs: 10 }] });
  });

  // A connection that closes without an answer does not tell the caller whether its request may be repeated.
  it('gets an answer that says what is known of it', async () => {
    const upload = new Readable({ read: () => undefined });
    upload.push('{');
    const running = [
      callStock(20_000),
      sendCompletion(2_000, false),
      harness.placeOrder({ order: 'cut', delayMs: 20_000 }, 'cut-1'),
      harness.call('/stock/linen', { method: 'POST', body: upload }),
    ];
    const stream = await harness.open('/v1/completions', {
      ...{ method: 'POST', body: formatCompletion(2_000) },
    });
    await waitFor('all dispatches', () => dispatches.length === 4);
    const text = stream.body.text();
    const ended = Promise.allSettled(running);
    await stopEntry(700);
    const results = await ended;
    const answers = results.map((result) =>
      result.status === 'rejected'
        ? String(result.reason)
        : [result.value.status, readCode(result.value), result.value.headers['x-rww-ran']],
    );
    upload.destroy();
    expect(answers).toEqual([
      [502, 'target_failed', 'unknown'],
      [502, 'target_failed', 'unknown'],
      [502, 'outcome_unknown', 'unknown'],
      [503, 'draining', 'no'],
    ]);
    expect(await text).toMatch(/event: error\ndata: .*"stream_broken".*\n\n$/);
    expect(await harness.countEffects('cut')).toBe(1);
  });

  // The stop of all entries while there is no leader leaves nobody to ask.
  it('is answered if it is held back because control does not confirm its key', async () => {
    const stream = await harness.open('/v1/completions', {
      ...{ method: 'POST', body: formatCompletion(2_000) },
    });
    const text = stream.body.text();
    harness.isFeedServed = false;
    harness.isControlServed = false;
    await sleep(3_500);
    await stopEntry(700);
    expect(await text).toMatch(/event: error\ndata: .*\n\n$/);
  });
});

describe('all entries that stop at once', () => {
  beforeEach(async () => {
    await startHarness({
      entries: 2,
      engines: [{ tokenIntervalMs: 10 }],
      overrides: { queue: { maxRequestsPerTarget: 8 } },
      serviceTimeoutMs: 6_000,
    });
  });

  // Every request ends with an answer that is true of it, whatever it waits for when the stop begins.
  it.each([
    { name: 'with control', hold: () => undefined },
    {
      name: 'without control',
      hold: () => {
        harness.isControlServed = false;
        harness.isFeedServed = false;
      },
    },
    {
      name: 'while the leader changes',
      hold: () => {
        harness.interceptCommand = async () => sleep(1_500);
      },
    },
  ])('leave no request without an answer: $name', async ({ hold }) => {
    const results: { status: number; isEnded: boolean; order: string; ran: unknown }[] = [];
    const failures: unknown[] = [];
    const sending: Promise<void>[] = [];
    const send = async (index: number): Promise<void> => {
      const entry = index % 2;
      const order = index % 3 === 0 ? `all-${index}` : '';
      const init = { entry, method: 'POST' };
      const answer = await (order !== ''
        ? harness.placeOrder({ order, delayMs: 400 }, undefined, { entry })
        : index % 3 === 1
          ? harness.call('/stock/linen', { ...init, body: '{"delayMs":400}' })
          : harness.call('/v1/completions', { ...init, body: formatCompletion(60) }));
      const isEnded = order !== '' || index % 3 === 1 || /\[DONE\]|error/.test(answer.text);
      const ran = answer.headers['x-rww-ran'];
      results.push({ status: answer.status, isEnded, order, ran });
    };
    for (let index = 0; index < 120; index++) {
      sending.push(
        send(index).catch((error: unknown) => {
          failures.push(error);
        }),
      );
      await sleep(addJitter(4));
      if (index === 60) {
        hold();
      }
    }
    await Promise.all([stopEntry(2_000, 0), stopEntry(2_000, 1)]);
    const sent = dispatches.length;
    await Promise.all(sending);
    expect(failures).toEqual([]);
    expect(results.filter(({ isEnded }) => !isEnded)).toEqual([]);
    for (const { order, ran, status } of results) {
      const effects = order === '' ? 0 : await harness.countEffects(order);
      const max = ran === 'no' ? 0 : 1;
      expect({ order, status, ran, isTrue: effects <= max }).toMatchObject({ isTrue: true });
    }
    await sleep(200);
    expect(dispatches).toHaveLength(sent);
  });
});

describe('a sidecar that stops', () => {
  beforeEach(async () => {
    await startHarness({ engines: [], plainTargets: 2 });
  });

  // A claimed call is accepted before its body is complete, so its ticket was checked before the stop.
  it('starts no claimed call whose body arrives later', async () => {
    const targets: string[] = [];
    harness.interceptDispatch = (request) => {
      const ticket = decodeHeader(TicketSchema, request.headers[TICKET_HEADER]);
      targets.push(ticket?.target ?? '');
      if (targets.length === 1) {
        const iterate = request[Symbol.asyncIterator].bind(request);
        request[Symbol.asyncIterator] = async function* () {
          await sleep(500);
          yield* iterate();
        } as typeof iterate;
      }
    };
    const pending = harness.placeOrder({ order: 'moved' }, undefined);
    await waitFor('the dispatch', () => targets.length === 1);
    const { signal } = new AbortController();
    const first = harness.targets.findIndex(({ id }) => id === targets[0]);
    const drained = harness.sidecars[first]?.drain(2_000, signal);
    const answer = await pending;
    await drained;
    expect(answer.status).toBe(201);
    expect((JSON.parse(answer.text) as { target: string }).target).not.toBe(targets[0]);
    expect(await harness.countEffects('moved')).toBe(1);
  });

  // Without a receipt the entry has to ask a sidecar that is gone.
  it('answers at its end what still runs, with a receipt', async () => {
    const receipts: unknown[] = [];
    harness.interceptDispatch = (request, response) => {
      const writeHead = response.writeHead.bind(response);
      response.writeHead = ((status: number, headers: Record<string, string>) => {
        receipts.push([status, headers[RECEIPT_HEADER] !== undefined]);
        return writeHead(status, headers);
      }) as typeof response.writeHead;
      dispatches.push(request.url ?? '');
    };
    const pending = Promise.all([
      callStock(4_000),
      harness.placeOrder({ order: 'ending', delayMs: 4_000 }, undefined),
    ]);
    await waitFor('the dispatches', () => dispatches.length === 2);
    const { signal } = new AbortController();
    await Promise.all(harness.sidecars.map((sidecar) => sidecar.drain(900, signal)));
    const [plain, claimed] = await pending;
    expect([plain.status, plain.headers['x-rww-ran']]).toEqual([502, 'unknown']);
    expect([claimed.status, readCode(claimed)]).toEqual([502, 'outcome_unknown']);
    expect(receipts.filter((receipt) => String(receipt).startsWith('502'))).toEqual([
      [502, true],
      [502, true],
    ]);
    expect(await harness.countEffects('ending')).toBe(1);
  });
});
