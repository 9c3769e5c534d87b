/**
 * Checks of all requests and effects after the load has ended. They rely only on what clients, operators and
 * targets observed, not on the state of the program.
 */
import { existsSync, readFileSync } from 'node:fs';
import type { Deployment } from '../harness/Deployment.js';
import type { Invariants } from './Invariants.js';
import type { ISoakAccount } from './Plan.js';
import {
  getRanHeader,
  getRequestId,
  isSuccess,
  type IRequestRecord,
  type Records,
} from './Records.js';

/** Time after which a withdrawn key must no longer work. */
const WITHDRAWAL_DEADLINE_MS = 4_000;

/** Shortest time for which an entry accepts new connections after SIGTERM. */
const MIN_ACCEPT_AFTER_SIGTERM_MS = 1_500;

/** Execution of an order, as a plain target recorded it. */
interface IEffect {
  readonly effectId: string;
  readonly order: string;
  readonly requestId: string;
}

/** A violation that a target detected. */
interface ITargetViolation {
  readonly kind: 'leaked_key' | 'foreign_cache_hit';
  readonly target: string;
  readonly requestId: string;
}

/** An event of a streamed completion, or the body of one that was not streamed. */
interface ICompletionChunk {
  readonly prompt_digest?: string;
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string };
    readonly message?: { readonly content?: string };
  }[];
  readonly usage?: {
    readonly completion_tokens: number;
    readonly prompt_tokens_details?: { readonly cached_tokens: number };
  };
}

/**
 * Tokens that an admitted request used, and the interval in which it was admitted
 * (`performance.now()`).
 */
interface IAdmission {
  readonly earliestAt: number;
  readonly latestAt: number;
  readonly tokens: number;
}

/** Reads a file of JSON lines; empty if there is no such file. */
function readLines(file: string): unknown[] {
  if (!existsSync(file)) {
    return [];
  }
  const lines = readFileSync(file, 'utf8').split('\n');
  return lines.filter((line) => line !== '').map((line) => JSON.parse(line) as unknown);
}

/** Checks the records of a finished run and computes the figures of its summary. */
export class FinalChecks {
  public readonly effects: readonly IEffect[];
  private readonly _targetViolations: readonly ITargetViolation[];

  constructor(
    deployment: Deployment,
    private readonly _records: Records,
    private readonly _invariants: Invariants,
  ) {
    this.effects = readLines(deployment.ledgerFile) as IEffect[];
    this._targetViolations = readLines(deployment.violationsFile) as ITargetViolation[];
  }

  public checkAll(accounts: readonly ISoakAccount[]): void {
    this._checkEffects();
    this._checkNotRun();
    this._checkAnswers();
    this._checkWithdrawals();
    this._checkGracefulStops();
    this._checkTargetViolations();
    for (const account of accounts) {
      this._checkRate(account);
    }
  }

  /** Number of requests refused with status 429, by client account. */
  public countRateRefusals(accounts: readonly ISoakAccount[]): Record<string, number> {
    const isRefused = (record: IRequestRecord, id: string): boolean =>
      record.account === id && record.result.status === 429;
    return countByAccount(
      accounts,
      ({ id }) => this._requests.filter((record) => isRefused(record, id)).length,
    );
  }

  /** Number of requests refused with status 429 that an ideal token bucket would have admitted, by client account. */
  public countWrongfulRefusals(accounts: readonly ISoakAccount[]): Record<string, number> {
    return countByAccount(accounts, (account) => countWrongfulRefusals(this._records, account));
  }

  /** Used tokens in percent of those that rate and burst allow over the run, by client account. */
  public measureUsePercent(
    accounts: readonly ISoakAccount[],
    seconds: number,
  ): Record<string, number> {
    return countByAccount(accounts, ({ id, tokensPerSecond, burstTokens }) => {
      const used = listAdmissions(this._records, id).reduce((sum, { tokens }) => sum + tokens, 0);
      return Math.round((used * 100) / (tokensPerSecond * seconds + burstTokens));
    });
  }

  /**
   * Median and 95th percentile of the response time of orders in milliseconds, including the delay that the
   * order itself asks for.
   */
  public measureOrderMs(): { readonly p50: number; readonly p95: number } {
    const durationsMs = this._requests
      .filter((record) => record.orderKey !== undefined && record.result.status === 201)
      .map(({ result }) => result.endAt - result.sentAt)
      .sort((left, right) => left - right);
    const getPercentile = (fraction: number): number =>
      Math.round(durationsMs[Math.floor(durationsMs.length * fraction)] ?? 0);
    return { p50: getPercentile(0.5), p95: getPercentile(0.95) };
  }

  private get _requests(): readonly IRequestRecord[] {
    return this._records.requests;
  }

  /**
   * Each order has at most one effect, and each complete answer carries an effect that the order has.
   */
  private _checkEffects(): void {
    const byKey = collectBy(this.effects, (effect) => effect.order);
    for (const [key, effects] of byKey) {
      this._invariants.check('a_once', effects.length === 1, () => {
        return `order ${key} has ${effects.length} effects`;
      });
    }
    for (const record of this._requests) {
      if (record.orderKey === undefined || !isSuccess(record) || !hasCompleteAnswer(record)) {
        continue;
      }
      const answer = JSON.parse(record.result.text) as IEffect;
      const isRecorded = byKey
        .get(record.orderKey)
        ?.some((effect) => effect.effectId === answer.effectId);
      this._invariants.check('a_once', isRecorded === true, () => {
        return `order ${record.orderKey ?? ''} was answered with an effect that it does not have`;
      });
    }
  }

  /**
   * A request that the program reported as not run has no effect under its request id. If all requests
   * with an idempotency key were reported as not run or could not connect, the key has no effect.
   */
  private _checkNotRun(): void {
    const effectIds = new Set(this.effects.map((effect) => effect.requestId));
    const effectKeys = new Set(this.effects.map((effect) => effect.order));
    const orders = this._requests.filter((record) => record.orderKey !== undefined);
    for (const record of orders.filter((order) => getRanHeader(order) === 'no')) {
      this._invariants.check('b_not_run', !effectIds.has(getRequestId(record)), () => {
        return `request ${getRequestId(record)} of order ${record.orderKey ?? ''} was reported as not run, but has an effect`;
      });
    }
    for (const [key, attempts] of collectBy(orders, (order) => order.orderKey ?? '')) {
      const isRefused = attempts.every(
        (attempt) => getRanHeader(attempt) === 'no' || attempt.result.end === 'not_connected',
      );
      if (isRefused) {
        this._invariants.check('b_not_run', !effectKeys.has(key), () => {
          return `order ${key} has an effect, but each of its requests was reported as not run or could not connect`;
        });
      }
    }
  }

  /**
   * Completions are in order, complete and for the right prompt, or end with an error that the client
   * sees.
   */
  private _checkAnswers(): void {
    for (const record of this._requests) {
      if (record.result.status !== 200) {
        continue;
      }
      if (record.kind === 'stream') {
        const defect = findStreamDefect(record, this._records.isDuringKill(record));
        this._invariants.check('c_answers', defect === undefined, () =>
          describeRequest(record, defect),
        );
      } else if (record.kind === 'completion') {
        const defect = findCompletionDefect(record, this._records.isDuringKill(record));
        this._invariants.check('c_answers', defect === undefined, () =>
          describeRequest(record, defect),
        );
      }
    }
  }

  /** A withdrawn key gets no answer, and no token of an open stream, after the deadline. */
  private _checkWithdrawals(): void {
    for (const record of this._requests) {
      const withdrawnAt = record.key?.withdrawnAt;
      if (withdrawnAt === undefined || !isSuccess(record)) {
        continue;
      }
      const { firstByteAt, lastTokenAt } = record.result;
      const sinceWithdrawalMs = Math.round(Math.max(firstByteAt, lastTokenAt) - withdrawnAt);
      this._invariants.check('d_withdrawn', sinceWithdrawalMs <= WITHDRAWAL_DEADLINE_MS, () => {
        return describeRequest(
          record,
          `it was answered ${sinceWithdrawalMs} ms after its key was withdrawn`,
        );
      });
    }
    for (const { withdrawnAt, keyId } of this._records.keys) {
      const isSentAfterWithdrawal = (record: IRequestRecord): boolean =>
        record.key?.keyId === keyId && record.result.sentAt > (withdrawnAt ?? Infinity);
      for (const record of this._requests.filter(isSentAfterWithdrawal)) {
        this._invariants.check(
          'd_withdrawn',
          !isSuccess(record) ||
            record.result.firstByteAt <= (withdrawnAt ?? 0) + WITHDRAWAL_DEADLINE_MS,
          () =>
            describeRequest(
              record,
              'it was answered although its key was withdrawn before it was sent',
            ),
        );
      }
    }
  }

  /** Requests that an entry has accepted before or shortly after SIGTERM are completed. */
  private _checkGracefulStops(): void {
    for (const { entry, at } of this._records.gracefulStops) {
      const affected = this._requests.filter(
        (record) =>
          record.entry === entry &&
          record.result.sentAt <= at + MIN_ACCEPT_AFTER_SIGTERM_MS &&
          record.result.endAt >= at &&
          record.result.end !== 'timeout' &&
          !this._records.isDuringKill(record),
      );
      for (const record of affected) {
        this._invariants.check('i_graceful', record.result.end === 'complete', () => {
          return describeRequest(
            record,
            `it ended as "${record.result.end}" while ${entry} shut down`,
          );
        });
      }
    }
  }

  /** No target saw a client's key, and no cached prompt of another client account was used. */
  private _checkTargetViolations(): void {
    this._invariants.check('g_key_leak', true, () => '');
    for (const { kind, target, requestId } of this._targetViolations) {
      const name = kind === 'leaked_key' ? 'g_key_leak' : 'j_cache';
      this._invariants.check(name, false, () => `${kind} at ${target} in request ${requestId}`);
    }
    for (const record of this._requests) {
      const cached = readUsage(record)?.prompt_tokens_details?.cached_tokens ?? 0;
      if (cached > 0) {
        this._invariants.check('j_cache', cached <= record.promptTokens, () => {
          return describeRequest(
            record,
            `it has ${cached} cached tokens, but only ${record.promptTokens} prompt tokens`,
          );
        });
      }
    }
  }

  /**
   * Between any two points in time, the requests that must have been admitted between them use at most
   * rate x time + burst tokens. Only answers that report their usage count.
   */
  private _checkRate({ id, tokensPerSecond, burstTokens }: ISoakAccount): void {
    const admissions = listAdmissions(this._records, id);
    for (const { earliestAt } of admissions) {
      let tokens = 0;
      let maxExcessTokens = -Infinity;
      for (const other of admissions) {
        if (other.earliestAt >= earliestAt) {
          tokens += other.tokens;
          const seconds = (other.latestAt - earliestAt) / 1_000;
          maxExcessTokens = Math.max(
            maxExcessTokens,
            tokens - tokensPerSecond * seconds - burstTokens,
          );
        }
      }
      this._invariants.check('e_rate', maxExcessTokens <= 0, () => {
        return `client account ${id} used ${Math.round(maxExcessTokens)} tokens more than its rate and burst allow`;
      });
    }
  }
}

/** Lists the admissions of a client account, sorted by their latest possible time. */
function listAdmissions(records: Records, account: string): IAdmission[] {
  const admissions: IAdmission[] = [];
  for (const record of records.requests) {
    const usage = readUsage(record);
    if (record.account === account && usage !== undefined) {
      admissions.push({
        earliestAt: record.result.sentAt,
        latestAt: record.result.firstByteAt,
        tokens: record.promptTokens + usage.completion_tokens,
      });
    }
  }
  return admissions.sort((left, right) => left.latestAt - right.latestAt);
}

/**
 * Simulates the requests of a client account on an ideal token bucket with its rate and burst: a request
 * reserves its limit when it is sent and refunds the unused tokens when it ends. Returns how many refused
 * requests the bucket would have admitted.
 */
function countWrongfulRefusals(records: Records, account: ISoakAccount): number {
  const events: { at: number; tokens: number; isRefusal: boolean }[] = [];
  for (const record of records.requests.filter(({ account: id }) => id === account.id)) {
    const { sentAt, endAt, status } = record.result;
    const limit = record.promptTokens + record.outputLimit;
    if (status === 429) {
      events.push({ at: sentAt, tokens: limit, isRefusal: true });
    } else if (isSuccess(record)) {
      const used = record.promptTokens + (readUsage(record)?.completion_tokens ?? 0);
      events.push({ at: sentAt, tokens: limit, isRefusal: false });
      events.push({ at: endAt, tokens: used - limit, isRefusal: false });
    }
  }
  events.sort((left, right) => left.at - right.at);
  let [levelTokens, lastAt, wrongfulRefusals] = [account.burstTokens, 0, 0];
  for (const { at, tokens, isRefusal } of events) {
    const refillTokens = lastAt === 0 ? 0 : ((at - lastAt) / 1_000) * account.tokensPerSecond;
    levelTokens = Math.min(account.burstTokens, levelTokens + refillTokens);
    lastAt = at;
    if (!isRefusal) {
      levelTokens -= tokens;
    } else if (levelTokens >= tokens) {
      wrongfulRefusals += 1;
      // The ideal bucket spends these tokens too: otherwise its level would stay too high after one wrongful
      // refusal, and every later refusal would count as wrongful.
      levelTokens -= tokens;
    }
  }
  return wrongfulRefusals;
}

/** Counts by client account; accounts with the count 0 are left out. */
function countByAccount(
  accounts: readonly ISoakAccount[],
  count: (account: ISoakAccount) => number,
): Record<string, number> {
  const entries = accounts.map((account): [string, number] => [account.id, count(account)]);
  return Object.fromEntries(entries.filter(([, amount]) => amount > 0));
}

function hasCompleteAnswer(record: IRequestRecord): boolean {
  return record.result.end === 'complete';
}

/** Parses the complete events of a streamed answer, or the body of one that was not streamed. */
function parseChunks(record: IRequestRecord): ICompletionChunk[] {
  const { text } = record.result;
  if (record.kind === 'completion') {
    return hasCompleteAnswer(record) ? [JSON.parse(text) as ICompletionChunk] : [];
  }
  if (record.kind !== 'stream') {
    return [];
  }
  // The last line of a broken stream may be incomplete.
  const lines = text.slice(0, text.lastIndexOf('\n') + 1).split('\n');
  return lines
    .filter((line) => line.startsWith('data: {') && !line.startsWith('data: {"error"'))
    .map((line) => JSON.parse(line.slice('data: '.length)) as ICompletionChunk);
}

function readUsage(record: IRequestRecord): ICompletionChunk['usage'] {
  if (record.result.status !== 200) {
    return undefined;
  }
  return parseChunks(record).findLast((chunk) => chunk.usage !== undefined)?.usage;
}

/** Content of an answer with `count` tokens, as the fake engine generates it. */
function buildExpectedContent(count: number): string {
  return Array.from({ length: count }, (_, index) => `t${index} `).join('');
}

/** Describes what is wrong with a streamed answer; undefined if nothing is. */
function findStreamDefect(record: IRequestRecord, isDuringKill: boolean): string | undefined {
  const { text, end } = record.result;
  const chunks = parseChunks(record);
  const deltas = chunks.map((chunk) => chunk.choices?.[0]?.delta?.content ?? '');
  const tokens = deltas.filter((delta) => delta !== '');
  if (tokens.join('') !== buildExpectedContent(tokens.length)) {
    return 'its tokens are out of order';
  }
  const digest = chunks.findLast((chunk) => chunk.prompt_digest !== undefined)?.prompt_digest;
  if (digest !== undefined && digest !== record.promptDigest) {
    return 'it answers another prompt';
  }
  if (end === 'timeout' || (end === 'broken' && isDuringKill)) {
    return undefined;
  }
  if (end === 'broken') {
    return 'its connection broke without an error event';
  }
  if (text.includes('event: error\n')) {
    return undefined;
  }
  const isComplete = text.endsWith('data: [DONE]\n\n') && tokens.length === record.outputTokens;
  return isComplete && digest !== undefined
    ? undefined
    : `it ended without an error event after ${tokens.length} of ${record.outputTokens} tokens`;
}

/** Describes what is wrong with an answer that was not streamed; undefined if nothing is. */
function findCompletionDefect(record: IRequestRecord, isDuringKill: boolean): string | undefined {
  const { end } = record.result;
  if (end === 'timeout' || (end === 'broken' && isDuringKill)) {
    return undefined;
  }
  if (end === 'broken') {
    return 'its connection broke';
  }
  const [chunk] = parseChunks(record);
  if (chunk?.prompt_digest !== record.promptDigest) {
    return 'it answers another prompt';
  }
  const content = chunk?.choices?.[0]?.message?.content;
  return content === buildExpectedContent(record.outputTokens)
    ? undefined
    : 'its content is incomplete';
}

function describeRequest(record: IRequestRecord, defect: string | undefined): string {
  const id = getRequestId(record);
  return `${record.kind} ${id} of ${record.account} at ${record.entry}: ${defect ?? ''}`;
}

function collectBy<T>(values: readonly T[], getKey: (value: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const value of values) {
    const group = groups.get(getKey(value)) ?? [];
    group.push(value);
    groups.set(getKey(value), group);
  }
  return groups;
}
