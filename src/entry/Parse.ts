/** First stage of the request pipeline: reads and validates the body. */
import type { IncomingMessage } from 'node:http';
import { ByteBuffer } from '../common/ByteBuffer.js';
import type { IDisposable } from '../common/Lifecycle.js';
import { Err, Ok, type Result } from '../common/Result.js';
import type { Shutdown } from '../common/Shutdown.js';
import { estimateTokens } from '../policy/PrefixChain.js';
import { createRefusal, type IHttpFailure } from './Failures.js';

/** Maximum size of a request's body. */
export const MAX_BODY_BYTES = 8 * 1024 * 1024;

const MAX_OUTPUT_TOKENS = 1_000_000;

/** Another instance serves the request. */
const STOP_RETRY_AFTER_MS = 1_000;

/** A validated completion request. */
export interface IModelRequest {
  readonly model: string;
  readonly isStream: boolean;
  /** Output limit in tokens; undefined if the caller set none. */
  readonly maxTokens: number | undefined;
  /** Text whose prefixes are matched with cached prompt chunks. */
  readonly prompt: string;
  readonly promptTokens: number;
  /** The parsed body; the entry adds fields to it before it is forwarded. */
  readonly body: Readonly<Record<string, unknown>>;
}

/**
 * Reads the body. Refuses one that is larger than `MAX_BODY_BYTES`, or not complete within `timeoutMs` or at the end
 * of the process; the connection then stays open for the error response.
 */
export async function readBody(
  request: IncomingMessage,
  timeoutMs: number,
  shutdown: Shutdown,
): Promise<Result<Buffer, IHttpFailure>> {
  const declared = Number(request.headers['content-length'] ?? 0);
  if (declared > MAX_BODY_BYTES) {
    return Err(describeTooLarge());
  }
  const collected = collectBody(request).catch(() => Err(describeTooSlow()));
  let timer: NodeJS.Timeout | undefined;
  let subscription: IDisposable | undefined;
  const expired = new Promise<Result<Buffer, IHttpFailure>>((resolve) => {
    timer = setTimeout(() => {
      resolve(Err(describeTooSlow()));
    }, timeoutMs);
    subscription = shutdown.onEnd(() => {
      resolve(Err(describeStopped()));
    });
  });
  const body = await Promise.race([collected, expired]);
  clearTimeout(timer);
  subscription?.dispose();
  return body;
}

function describeTooSlow(): IHttpFailure {
  return createRefusal(
    'request_timeout',
    'The body did not arrive completely in time; send it again.',
  );
}

function describeStopped(): IHttpFailure {
  const message = 'The instance stops before the body has arrived; send the request again.';
  return createRefusal('draining', message, STOP_RETRY_AFTER_MS);
}

async function collectBody(request: IncomingMessage): Promise<Result<Buffer, IHttpFailure>> {
  const body = new ByteBuffer();
  // Leaving the loop must not destroy the connection, which has to carry the error response.
  for await (const chunk of request.iterator({ destroyOnReturn: false })) {
    const bytes = chunk as Buffer;
    if (body.size + bytes.length > MAX_BODY_BYTES) {
      return Err(describeTooLarge());
    }
    body.append(bytes);
  }
  return Ok(body.take());
}

function describeTooLarge(): IHttpFailure {
  return createRefusal('body_too_large', `Send at most ${MAX_BODY_BYTES} bytes in one request.`);
}

/**
 * Parses the body of a completion request.
 *
 * @example
 * const parsed = parseModelRequest(Buffer.from('{"model":"lace-1","prompt":"Hi"}'));
 */
export function parseModelRequest(body: Buffer): Result<IModelRequest, IHttpFailure> {
  const fields = parseJsonObject(body);
  if (fields === undefined) {
    return Err(createRefusal('bad_json', 'Send a JSON object as the body.'));
  }
  const { model, stream, max_tokens, max_completion_tokens } = fields;
  if (typeof model !== 'string' || model === '') {
    return Err(
      createRefusal(
        'bad_request',
        'Set "model" to the name of a model; GET /v1/models lists them.',
      ),
    );
  }
  if (stream !== undefined && typeof stream !== 'boolean') {
    return Err(createRefusal('bad_request', 'Set "stream" to true or false.'));
  }
  const maxTokens = max_completion_tokens ?? max_tokens;
  if (maxTokens !== undefined && !isTokenCount(maxTokens)) {
    return Err(
      createRefusal(
        'bad_request',
        `Set "max_tokens" to a whole number from 1 to ${MAX_OUTPUT_TOKENS}.`,
      ),
    );
  }
  const prompt = joinPrompt(fields);
  if (prompt === undefined) {
    return Err(
      createRefusal(
        'bad_request',
        'Send "messages" (objects with role and text content) or a "prompt" text.',
      ),
    );
  }
  return Ok({
    model,
    isStream: stream === true,
    maxTokens,
    prompt,
    promptTokens: Math.max(1, estimateTokens(Buffer.byteLength(prompt))),
    body: fields,
  });
}

function parseJsonObject(body: Buffer): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(body.toString('utf8'));
    const isObject = typeof value === 'object' && value !== null && !Array.isArray(value);
    return isObject ? (value as Record<string, unknown>) : undefined;
  } catch {
    return undefined;
  }
}

function isTokenCount(value: unknown): value is number {
  return (
    Number.isInteger(value) && (value as number) >= 1 && (value as number) <= MAX_OUTPUT_TOKENS
  );
}

/** Joins the prompt or the messages to one text, in the form in which engines hash it. */
function joinPrompt(fields: Record<string, unknown>): string | undefined {
  if (typeof fields.prompt === 'string') {
    return fields.prompt;
  }
  if (!Array.isArray(fields.messages) || fields.messages.length === 0) {
    return undefined;
  }
  const texts = fields.messages.map(formatMessage);
  return texts.includes(undefined) ? undefined : texts.join('');
}

function formatMessage(message: unknown): string | undefined {
  if (typeof message !== 'object' || message === null) {
    return undefined;
  }
  const { role, content } = message as { role?: unknown; content?: unknown };
  const text = Array.isArray(content) ? content.map(formatContentPart).join('') : content;
  return typeof role === 'string' && typeof text === 'string' ? `${role}:${text}\n` : undefined;
}

function formatContentPart(part: unknown): string {
  const text = (part as { text?: unknown } | null)?.text;
  return typeof text === 'string' ? text : '';
}
