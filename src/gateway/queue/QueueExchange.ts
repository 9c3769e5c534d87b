/** Shares with the other entries what waits and is in progress at each, through the exchanges with the hub. */
import { create } from '@bufbuild/protobuf';
import { clampToUint32 } from '../../common/Uint32.js';
import type { IExchangeContext, IExchangePart, IHubPart } from '../../fleet/ExchangePart.js';
import {
  AccountLoadSchema,
  QueueLoadSchema,
  type ExchangeRequest,
  type ExchangeResponse,
  type QueueLoad,
} from '../../gen/redwingwharf/v1/fleet_pb.js';
import type { IOtherEntries, IQueueWork, ServiceQueue } from './ServiceQueue.js';

/** The sums of an answer count for this time; then an entry without a hub uses its own figures only. */
const MAX_AGE_MS = 2_000;

/** Client accounts named for each service and priority, so that a report has some hundred bytes. */
const MAX_ACCOUNTS = 4;

/** Least weight of a client account that holds most at other entries. */
const MIN_WEIGHT = 0.25;

/** Sums that the hub answered with for one service. */
interface IAnswered {
  readonly loads: readonly QueueLoad[];
  readonly tokensByAccount: ReadonlyMap<string, number>;
}

const NOTHING: IAnswered = { loads: [], tokensByAccount: new Map() };

/**
 * The part of one process. A hub of an older build answers with no sums, as if nothing waited elsewhere.
 *
 * @example
 * const exchange = new QueueExchange(() => admission.services);
 * const waiting = exchange.getOthers('lace').sumWaitingTokens(0, now);
 */
export class QueueExchange implements IExchangePart {
  private _answered: ReadonlyMap<string, IAnswered> = new Map();
  private _answeredAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly _getQueues: () => ReadonlyMap<string, ServiceQueue>) {}

  public addReport(request: ExchangeRequest): void {
    request.queue = [...this._getQueues()].flatMap(([service, queue]) =>
      queue.listWork().map((work) => buildLoad(service, work)),
    );
  }

  public applyResponse(response: ExchangeResponse, { sentAt }: IExchangeContext): void {
    const loadsByService = new Map<string, QueueLoad[]>();
    for (const load of response.queue) {
      const loads = loadsByService.get(load.service);
      if (loads === undefined) {
        loadsByService.set(load.service, [load]);
      } else {
        loads.push(load);
      }
    }
    this._answered = new Map(
      [...loadsByService].map(([service, loads]) => [
        service,
        { loads, tokensByAccount: sumByAccount(loads) },
      ]),
    );
    this._answeredAt = sentAt;
  }

  public createHubPart(): IHubPart {
    return new QueueTotals();
  }

  /** What other entries have waiting and in progress for a service, as of the last answer. */
  public getOthers(service: string): IOtherEntries {
    return {
      sumWaitingTokens: (maxPriority, now) =>
        sumTokens(this._find(service, now).loads, maxPriority, 'waitingTokens'),
      sumPendingTokens: (maxPriority, now) =>
        sumTokens(this._find(service, now).loads, maxPriority, 'pendingTokens'),
      getWeight: (account, now) => {
        const { tokensByAccount } = this._find(service, now);
        const held = tokensByAccount.get(account) ?? 0;
        let total = 0;
        for (const tokens of tokensByAccount.values()) {
          total += tokens;
        }
        const mean = total / Math.max(1, tokensByAccount.size);
        return held > 0 ? Math.min(1, Math.max(MIN_WEIGHT, mean / held)) : 1;
      },
    };
  }

  private _find(service: string, now: number): IAnswered {
    return now - this._answeredAt <= MAX_AGE_MS
      ? (this._answered.get(service) ?? NOTHING)
      : NOTHING;
  }
}

interface IReport {
  readonly loads: readonly QueueLoad[];
  readonly receivedAt: number;
}

interface ITotal extends IQueueWork {
  readonly service: string;
}

/** The part of the leader: the latest report of each process, and their sums. */
class QueueTotals implements IHubPart {
  private readonly _reports = new Map<string, IReport>();

  public exchange(request: ExchangeRequest, response: ExchangeResponse, now: number): void {
    const totals = new Map<string, ITotal>();
    for (const [node, { loads, receivedAt }] of this._reports) {
      if (now - receivedAt > MAX_AGE_MS) {
        this._reports.delete(node);
      } else if (node !== request.node) {
        for (const load of loads) {
          addLoad(totals, load);
        }
      }
    }
    if (request.queue.length > 0) {
      this._reports.set(request.node, { loads: request.queue, receivedAt: now });
    } else {
      this._reports.delete(request.node);
    }
    response.queue = [...totals.values()].map((total) => buildLoad(total.service, total));
  }
}

function addLoad(totals: Map<string, ITotal>, load: QueueLoad): void {
  const { service, priority } = load;
  const key = `${priority} ${service}`;
  let total = totals.get(key);
  if (total === undefined) {
    const none = { waiting: 0, waitingTokens: 0, pending: 0, pendingTokens: 0 };
    total = { service, priority, ...none, tokensByAccount: new Map() };
    totals.set(key, total);
  }
  total.waiting += load.waiting;
  total.waitingTokens += load.waitingTokens;
  total.pending += load.pending;
  total.pendingTokens += load.pendingTokens;
  for (const { clientAccount, tokens } of load.accounts) {
    const held = total.tokensByAccount.get(clientAccount) ?? 0;
    total.tokensByAccount.set(clientAccount, held + tokens);
  }
}

function buildLoad(service: string, work: IQueueWork): QueueLoad {
  const accounts = [...work.tokensByAccount]
    .sort(([, left], [, right]) => right - left)
    .slice(0, MAX_ACCOUNTS);
  return create(QueueLoadSchema, {
    service,
    priority: work.priority,
    waiting: clampToUint32(work.waiting),
    waitingTokens: clampToUint32(work.waitingTokens),
    pending: clampToUint32(work.pending),
    pendingTokens: clampToUint32(work.pendingTokens),
    accounts: accounts.map(([clientAccount, tokens]) =>
      create(AccountLoadSchema, { clientAccount, tokens: clampToUint32(tokens) }),
    ),
  });
}

function sumByAccount(loads: readonly QueueLoad[]): ReadonlyMap<string, number> {
  const sums = new Map<string, number>();
  for (const { clientAccount, tokens } of loads.flatMap(({ accounts }) => accounts)) {
    sums.set(clientAccount, (sums.get(clientAccount) ?? 0) + tokens);
  }
  return sums;
}

function sumTokens(
  loads: readonly QueueLoad[],
  maxPriority: number,
  field: 'waitingTokens' | 'pendingTokens',
): number {
  return loads.reduce((sum, load) => sum + (load.priority <= maxPriority ? load[field] : 0), 0);
}
