/** Checks over all records and effects after the load has ended. Each one is sound without the program. */
import { existsSync, readFileSync } from 'node:fs';
import type { Deployment } from '../harness/Deployment.js';
import type { Invariants } from './Invariants.js';
import type { ISoakAccount } from './Plan.js';
import { getRan, getRequestId, isSuccess, type IRecord, type Records } from './Records.js';

/** Time in which a withdrawn key stops working. */
const WITHDRAWAL_MS = 4_000;

/** Time for which a shutting-down entry surely accepts new connections. */
const ACCEPTING_MS = 1_500;

interface IEffect {
  readonly effectId: string;
  readonly order: string;
  readonly requestId: string;
}

interface IFinding {
  readonly kind: 'leaked_key' | 'foreign_cache_hit';
  readonly target: string;
  readonly requestId: string;
}

interface IChunk {
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

/** Tokens that an admitted request used, between the earliest and the latest time of its admission. */
interface IAdmission {
  readonly earliestAt: number;
  readonly latestAt: number;
  readonly tokens: number;
}

function readLines(file: string): unknown[] {
  if (!existsSync(file)) {
    return [];
  }
  const lines = readFileSync(file, 'utf8').split('\n');
  return lines.filter((line) => line !== '').map((line) => JSON.parse(line) as unknown);
}

export class FinalChecks {
  public readonly effects: readonly IEffect[];
  private readonly _findings: readonly IFinding[];

  constructor(
    deployment: Deployment,
    private readonly _records: Records,
    private readonly _invariants: Invariants,
  ) {
    this.effects = readLines(deployment.ledgerFile) as IEffect[];
    this._findings = readLines(deployment.violationsFile) as IFinding[];
  }

  public checkAll(accounts: readonly ISoakAccount[]): void {
    this._checkEffects();
    this._checkNotRun();
    this._checkAnswers();
    this._checkWithdrawals();
    this._checkGraceful();
    this._checkFindings();
    for (const account of accounts) {
      this._checkRate(account);
    }
  }

  /** Requests refused for their rate, by client account. */
  public countRefusals(accounts: readonly ISoakAccount[]): Record<string, number> {
    const isRefused = (record: IRecord, id: string): boolean =>
      record.account === id && record.result.status === 429;
    return countByAccount(
      accounts,
      ({ id }) => this._requests.filter((record) => isRefused(record, id)).length,
    );
  }

  /** Those of them that an ideal bucket would have admitted. */
  public countWrongfulRefusals(accounts: readonly ISoakAccount[]): Record<string, number> {
    return countByAccount(accounts, (account) => countWrongful(this._records, account));
  }

  /** Tokens used of those that rate and burst allow over the run, in percent. */
  public measureUse(accounts: readonly ISoakAccount[], seconds: number): Record<string, number> {
    return countByAccount(accounts, ({ id, tokensPerSecond, burstTokens }) => {
      const used = listAdmissions(this._records, id).reduce((sum, { tokens }) => sum + tokens, 0);
      return Math.round((used * 100) / (tokensPerSecond * seconds + burstTokens));
    });
  }

  /** Median and 95th percentile of the time to the answer of orders, their own delays included. */
  public measureOrders(): { readonly p50: number; readonly p95: number } {
    const times = this._requests
      .filter((record) => record.orderKey !== undefined && record.result.status === 201)
      .map(({ result }) => result.endAt - result.sentAt)
      .sort((left, right) => left - right);
    const getShare = (share: number): number =>
      Math.round(times[Math.floor(times.length * share)] ?? 0);
    return { p50: getShare(0.5), p95: getShare(0.95) };
  }

  private get _requests(): readonly IRecord[] {
    return this._records.requests;
  }

  private _checkEffects(): void {
    const byKey = collectBy(this.effects, (effect) => effect.order);
    for (const [key, effects] of byKey) {
      this._invariants.check('a_once', effects.length === 1, () => {
        return `order ${key} has ${effects.length} effects`;
      });
    }
    for (const record of this._requests) {
      if (record.orderKey === undefined || !isSuccess(record) || !isWhole(record)) {
        continue;
      }
      const answer = JSON.parse(record.result.text) as IEffect;
      const isKnown = byKey
        .get(record.orderKey)
        ?.some((effect) => effect.effectId === answer.effectId);
      this._invariants.check('a_once', isKnown === true, () => {
        return `order ${record.orderKey ?? ''} was answered with another effect`;
      });
    }
  }

  /**
   * A request that is said not to have run has no effect under its own request id. When all requests
   * for a key were said not to have run, the key has no effect.
   */
  private _checkNotRun(): void {
    const effectIds = new Set(this.effects.map((effect) => effect.requestId));
    const effectKeys = new Set(this.effects.map((effect) => effect.order));
    const orders = this._requests.filter((record) => record.orderKey !== undefined);
    for (const record of orders.filter((order) => getRan(order) === 'no')) {
      this._invariants.check('b_not_run', !effectIds.has(getRequestId(record)), () => {
        return `request ${getRequestId(record)} of order ${record.orderKey ?? ''} ran`;
      });
    }
    for (const [key, sends] of collectBy(orders, (order) => order.orderKey ?? '')) {
      const isRefused = sends.every(
        (send) => getRan(send) === 'no' || send.result.end === 'not_connected',
      );
      if (isRefused) {
        this._invariants.check('b_not_run', !effectKeys.has(key), () => {
          return `order ${key} has an effect, but each of its requests was refused`;
        });
      }
    }
  }

  private _checkAnswers(): void {
    for (const record of this._requests) {
      if (record.result.status !== 200) {
        continue;
      }
      if (record.kind === 'stream') {
        const fault = findStreamFault(record, this._records.isExcused(record));
        this._invariants.check('c_answers', fault === undefined, () => describe(record, fault));
      } else if (record.kind === 'completion') {
        const fault = findAnswerFault(record, this._records.isExcused(record));
        this._invariants.check('c_answers', fault === undefined, () => describe(record, fault));
      }
    }
  }

  private _checkWithdrawals(): void {
    for (const record of this._requests) {
      const withdrawnAt = record.key?.withdrawnAt;
      if (withdrawnAt === undefined || !isSuccess(record)) {
        continue;
      }
      const { firstByteAt, lastTokenAt } = record.result;
      const lateMs = Math.round(Math.max(firstByteAt, lastTokenAt) - withdrawnAt);
      this._invariants.check('d_withdrawn', lateMs <= WITHDRAWAL_MS, () => {
        return describe(record, `an answer ${lateMs} ms after the withdrawal of its key`);
      });
    }
    for (const { withdrawnAt, keyId } of this._records.keys) {
      const isUsed = (record: IRecord): boolean =>
        record.key?.keyId === keyId && record.result.sentAt > (withdrawnAt ?? Infinity);
      for (const record of this._requests.filter(isUsed)) {
        this._invariants.check(
          'd_withdrawn',
          !isSuccess(record) || record.result.firstByteAt <= (withdrawnAt ?? 0) + WITHDRAWAL_MS,
          () => describe(record, 'its key was withdrawn'),
        );
      }
    }
  }

  private _checkGraceful(): void {
    for (const { entry, at } of this._records.gracefulStops) {
      const concerned = this._requests.filter(
        (record) =>
          record.entry === entry &&
          record.result.sentAt <= at + ACCEPTING_MS &&
          record.result.endAt >= at &&
          record.result.end !== 'timeout' &&
          !this._records.isExcused(record),
      );
      for (const record of concerned) {
        this._invariants.check('i_graceful', record.result.end === 'complete', () => {
          return describe(record, `${record.result.end} while ${entry} shut down`);
        });
      }
    }
  }

  private _checkFindings(): void {
    this._invariants.check('g_key_leak', true, () => '');
    for (const { kind, target, requestId } of this._findings) {
      const name = kind === 'leaked_key' ? 'g_key_leak' : 'j_cache';
      this._invariants.check(name, false, () => `${kind} at ${target} in request ${requestId}`);
    }
    for (const record of this._requests) {
      const cached = readUsage(record)?.prompt_tokens_details?.cached_tokens ?? 0;
      if (cached > 0) {
        this._invariants.check('j_cache', cached <= record.promptTokens, () => {
          return describe(record, `${cached} cached tokens of ${record.promptTokens}`);
        });
      }
    }
  }

  /**
   * For all pairs of instants, the tokens of the requests that were surely admitted between them are at
   * most rate x time + burst. Only complete answers count, with the usage that they report.
   */
  private _checkRate({ id, tokensPerSecond, burstTokens }: ISoakAccount): void {
    const admissions = listAdmissions(this._records, id);
    for (const { earliestAt } of admissions) {
      let tokens = 0;
      let worst = -Infinity;
      for (const other of admissions) {
        if (other.earliestAt >= earliestAt) {
          tokens += other.tokens;
          const seconds = (other.latestAt - earliestAt) / 1_000;
          worst = Math.max(worst, tokens - tokensPerSecond * seconds - burstTokens);
        }
      }
      this._invariants.check('e_rate', worst <= 0, () => {
        return `${id} used ${Math.round(worst)} tokens more than its rate and burst allow`;
      });
    }
  }
}

/** Admissions in the order of their latest possible time. */
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
 * Plays the account's requests on an ideal bucket of its own rate and burst: a request reserves its
 * limit when it is sent and returns the rest when it ends.
 */
function countWrongful(records: Records, account: ISoakAccount): number {
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
  let [level, lastAt, refusals] = [account.burstTokens, 0, 0];
  for (const { at, tokens, isRefusal } of events) {
    const refill = lastAt === 0 ? 0 : ((at - lastAt) / 1_000) * account.tokensPerSecond;
    level = Math.min(account.burstTokens, level + refill);
    lastAt = at;
    if (!isRefusal) {
      level -= tokens;
    } else if (level >= tokens) {
      refusals += 1;
      // The ideal bucket admits it; else one early loss would make every later refusal wrongful.
      level -= tokens;
    }
  }
  return refusals;
}

function countByAccount(
  accounts: readonly ISoakAccount[],
  count: (account: ISoakAccount) => number,
): Record<string, number> {
  const entries = accounts.map((account): [string, number] => [account.id, count(account)]);
  return Object.fromEntries(entries.filter(([, amount]) => amount > 0));
}

function isWhole(record: IRecord): boolean {
  return record.result.end === 'complete';
}

/** Parts of a streamed or whole answer that are complete. */
function parseChunks(record: IRecord): IChunk[] {
  const { text } = record.result;
  if (record.kind === 'completion') {
    return isWhole(record) ? [JSON.parse(text) as IChunk] : [];
  }
  if (record.kind !== 'stream') {
    return [];
  }
  // The last line may be cut off.
  const lines = text.slice(0, text.lastIndexOf('\n') + 1).split('\n');
  return lines
    .filter((line) => line.startsWith('data: {') && !line.startsWith('data: {"error"'))
    .map((line) => JSON.parse(line.slice('data: '.length)) as IChunk);
}

function readUsage(record: IRecord): IChunk['usage'] {
  if (record.result.status !== 200) {
    return undefined;
  }
  return parseChunks(record).findLast((chunk) => chunk.usage !== undefined)?.usage;
}

function expectTokens(count: number): string {
  return Array.from({ length: count }, (_, index) => `t${index} `).join('');
}

/** Describes what is wrong with a stream, or returns undefined. */
function findStreamFault(record: IRecord, isExcused: boolean): string | undefined {
  const { text, end } = record.result;
  const chunks = parseChunks(record);
  const deltas = chunks.map((chunk) => chunk.choices?.[0]?.delta?.content ?? '');
  const tokens = deltas.filter((delta) => delta !== '');
  if (tokens.join('') !== expectTokens(tokens.length)) {
    return 'its tokens are out of order';
  }
  const digest = chunks.findLast((chunk) => chunk.prompt_digest !== undefined)?.prompt_digest;
  if (digest !== undefined && digest !== record.promptDigest) {
    return 'it answers another prompt';
  }
  if (end === 'timeout' || (end === 'broken' && isExcused)) {
    return undefined;
  }
  if (end === 'broken') {
    return 'the connection broke without an error event';
  }
  if (text.includes('event: error\n')) {
    return undefined;
  }
  const isComplete = text.endsWith('data: [DONE]\n\n') && tokens.length === record.outputTokens;
  return isComplete && digest !== undefined
    ? undefined
    : `it ended without an error event after ${tokens.length} of ${record.outputTokens} tokens`;
}

function findAnswerFault(record: IRecord, isExcused: boolean): string | undefined {
  const { end } = record.result;
  if (end === 'timeout' || (end === 'broken' && isExcused)) {
    return undefined;
  }
  if (end === 'broken') {
    return 'the connection broke';
  }
  const [chunk] = parseChunks(record);
  if (chunk?.prompt_digest !== record.promptDigest) {
    return 'it answers another prompt';
  }
  const content = chunk?.choices?.[0]?.message?.content;
  return content === expectTokens(record.outputTokens) ? undefined : 'its content is incomplete';
}

function describe(record: IRecord, fault: string | undefined): string {
  const id = getRequestId(record);
  return `${record.kind} ${id} of ${record.account} at ${record.entry}: ${fault ?? ''}`;
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
