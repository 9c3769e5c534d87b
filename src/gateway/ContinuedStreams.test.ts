/** Guards against a stream that goes on with bytes that are no events of its run, or ends as complete with them. */
import { describe, expect, it } from 'vitest';
import { answerOk, OK_HEAD, runCall, streamEvents, type TargetScript } from './Fixtures.js';
import { BodyFraming, type ITargetHead } from './Types.js';

const breakAfterTwo: TargetScript = (listener) => {
  listener.onHead(OK_HEAD);
  listener.onData(streamEvents(1, 2));
  listener.onError('reset', true);
};

function answer(head: Partial<ITargetHead>, ...chunks: readonly (string | Buffer)[]): TargetScript {
  return (listener) => {
    listener.onHead({ ...OK_HEAD, ...head });
    for (const chunk of chunks) {
      listener.onData(Buffer.from(chunk));
    }
    listener.onEnd();
  };
}

const JSON_HEADERS = ['Content-Type', 'application/json'];
const ERROR_TEXT = '{"error":"out of memory"}';
const SECOND_HEAD = 'HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nfail';

const UNSOUND = [
  { what: 'a JSON error with a length', script: answer({ headers: JSON_HEADERS }, ERROR_TEXT) },
  {
    what: 'a JSON error in chunks, with blank lines',
    script: answer(
      { headers: JSON_HEADERS, framing: BodyFraming.Chunked },
      `${ERROR_TEXT}\n\n`,
      ERROR_TEXT,
    ),
  },
  { what: 'an error without a media type', script: answer({ headers: [] }, `${ERROR_TEXT}\n\n`) },
  { what: 'an error that ends inside an event', script: answer({ headers: [] }, ERROR_TEXT) },
  { what: 'a second head', script: answer({}, SECOND_HEAD) },
  {
    what: 'a second head after a comment',
    script: answer({}, ': ping\n\n', `${SECOND_HEAD}\n\n`, streamEvents(3, 5)),
    body: `${streamEvents(1, 2).toString()}: ping\n\n`,
  },
  {
    what: 'a second head after sound events',
    script: answer({}, streamEvents(3, 3), SECOND_HEAD, '\n\n'),
    body: streamEvents(1, 3).toString(),
  },
  { what: 'an event without id first', script: answer({}, 'data: x\n\n', streamEvents(3, 5)) },
  { what: 'the events from the start', script: answer({}, streamEvents(1, 5)) },
  { what: 'the last event again', script: answer({}, streamEvents(2, 5)) },
  { what: 'another status', script: answer({ status: 206 }, streamEvents(3, 5)) },
];

describe('the attempt that resumes a stream', () => {
  it.each(UNSOUND)('ends it as broken off: $what', async ({ script, body }) => {
    const { sink } = await runCall([breakAfterTwo, script]);
    expect(sink).toMatchObject({
      body: body ?? streamEvents(1, 2).toString(),
      ending: 'cut',
    });
  });

  it.each(UNSOUND.filter(({ body }) => body === undefined))(
    'leaves the stream to a third target: $what',
    async ({ script }) => {
      const resume = answer({}, streamEvents(3, 5));
      const { sink } = await runCall([breakAfterTwo, script, resume], {
        targets: 3,
        route: { maxAttempts: 3 },
      });
      expect(sink).toMatchObject({ body: streamEvents(1, 5).toString(), ending: 'end' });
    },
  );

  it.each([
    { what: 'the next event', chunks: [streamEvents(3, 5)], body: streamEvents(3, 5) },
    {
      what: 'comments first',
      chunks: [': ping\n\n', streamEvents(3, 5)],
      body: `: ping\n\n${streamEvents(3, 5).toString()}`,
    },
    // Ids are only said to increase.
    { what: 'a later event', chunks: [streamEvents(5, 6)], body: streamEvents(5, 6) },
    // The stream may have broken off between its last event and its end.
    { what: 'nothing, with a length', chunks: [], body: '' },
  ])('goes on with $what', async ({ chunks, body }) => {
    const { sink } = await runCall([breakAfterTwo, answer({}, ...chunks)]);
    const whole = streamEvents(1, 2).toString() + body.toString();
    expect(sink).toMatchObject({ body: whole, ending: 'end' });
  });

  it('relays no byte before the first event is known to continue the stream', async () => {
    const inPieces = answer({}, ...Array.from(`${ERROR_TEXT}\r\n\r\nid: 3\ndata: x\n\n`));
    const { sink } = await runCall([breakAfterTwo, inPieces]);
    expect(sink).toMatchObject({ body: streamEvents(1, 2).toString(), ending: 'cut' });
  });
});

describe('the first attempt', () => {
  it('is cut at a second head in its body', async () => {
    const { sink } = await runCall([answer({}, streamEvents(1, 2), `${SECOND_HEAD}\n\n`)], {
      route: { isResumable: false },
    });
    expect(sink).toMatchObject({ body: streamEvents(1, 2).toString(), ending: 'cut' });
  });

  // Only the first event of a resumption is checked against what the client has.
  it('relays events without an id that follow others, at once and in pieces', async () => {
    const events = ['id: 1\ndata: a\n\n', 'data: b\n\n', 'id: 2\ndata: c\n\n', 'data: d\n\n'];
    for (const chunks of [events, [events.join('')]]) {
      const { sink } = await runCall([answer({}, ...chunks)]);
      expect(sink).toMatchObject({ body: events.join(''), ending: 'end' });
    }
    const { sink } = await runCall([breakAfterTwo, answer({}, streamEvents(3, 3), 'data: b\n\n')]);
    expect(sink).toMatchObject({ ending: 'end' });
  });

  it('relays an error of the target unchanged', async () => {
    const script = answer({ status: 500, headers: JSON_HEADERS }, ERROR_TEXT);
    const { sink } = await runCall([script], { route: { isResumable: false, maxAttempts: 1 } });
    expect(sink).toMatchObject({ status: 500, body: ERROR_TEXT, ending: 'end' });
  });

  it('relays text that names a protocol inside an event', async () => {
    const events = 'id: 1\ndata: HTTP/1.1 500 is an error\n\n';
    const { sink } = await runCall([answer({}, events)]);
    expect(sink).toMatchObject({ body: events, ending: 'end' });
  });
});

describe('an answer without length', () => {
  const close = { framing: BodyFraming.Close, headers: JSON_HEADERS };

  // An engine that stops after its head and closes looked like one that answers with nothing.
  it.each(['safe', 'unsafe', 'streaming'] as const)(
    'is broken off if it has no bytes (%s)',
    async (kind) => {
      const route = { kind, isResumable: false, maxAttempts: 1 };
      const { sink } = await runCall([answer(close)], { route });
      expect(sink).toMatchObject({ status: 502, ending: 'refuse' });
    },
  );

  it('is tried again elsewhere if that is safe', async () => {
    const route = { kind: 'safe', isResumable: false, maxAttempts: 2 } as const;
    const { sink } = await runCall([answer(close), answerOk], { route });
    expect(sink).toMatchObject({ status: 200, ending: 'end' });
  });

  it('is complete with bytes, and without a body where there can be none', async () => {
    const route = { kind: 'safe', isResumable: false } as const;
    const { sink } = await runCall([answer(close, ERROR_TEXT)], { route });
    expect(sink).toMatchObject({ status: 200, body: ERROR_TEXT, ending: 'end' });
    const none = { ...close, status: 204, framing: BodyFraming.None };
    expect((await runCall([answer(none)], { route })).sink).toMatchObject({ status: 204 });
  });
});
