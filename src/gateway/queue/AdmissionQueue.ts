/** Decides on all requests of this entry that need an engine, and keeps those that wait for capacity. */
import type { IClock } from '../../common/Clock.js';
import type { ILog } from '../../common/Log.js';
import type { Metrics } from '../../common/Metrics.js';
import { decideImmediately, type RefuseReason } from './AdmissionDecision.js';
import {
  ServiceQueue,
  type IOtherEntries,
  type IWaitingRequest,
  type IWaitReport,
  type WaitOutcome,
} from './ServiceQueue.js';

/** Interval at which waiting requests are decided on again, beside whenever a response begins or ends. */
const CHECK_INTERVAL_MS = 50;

/**
 * Least time between two checks of a service. Each one compares all targets for some requests; on a machine with a quarter of
 * a core, a check for each response took most of the processor time, and requests were sent after their clients had left.
 */
const MIN_CHECK_INTERVAL_MS = 25;

/** A request of a service that asks for a target. */
export interface IAdmissionItem extends IWaitingRequest {
  readonly service: string;
  /** Each of them ends the wait. */
  readonly signals: readonly AbortSignal[];
}

/** Counts a request in the load of its service until its response begins or its attempts end. */
export interface IAdmissionTicket {
  settle(): void;
}

export type AdmissionOutcome =
  | { readonly kind: 'serve'; readonly ticket: IAdmissionTicket }
  /** A signal ended the wait. */
  | { readonly kind: 'aborted' }
  | {
      readonly kind: 'refuse';
      readonly reason: RefuseReason;
      readonly retryAfterMs: number;
      /** Expected time to the first byte at the best target. */
      readonly expectedMs: number;
      readonly waitMs: number;
    };

export interface IAdmissionQueueContext {
  /** False: no request waits; one that is not expected on time is refused at once. */
  readonly mayWait: boolean;
  readonly clock: IClock;
  readonly metrics: Metrics;
  readonly log: ILog;
}

/**
 * One queue for each service. The decisions are those of `decideAdmission`; this class keeps time and the requests.
 *
 * @example
 * const outcome = await queue.admit(item, clock.now());
 */
export class AdmissionQueue {
  private readonly _services = new Map<string, ServiceQueue>();
  private readonly _scheduled = new Set<string>();
  /** Time of the last check that began, by service. */
  private readonly _checkedAt = new Map<string, number>();
  private _timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly _context: IAdmissionQueueContext,
    private readonly _getOthers: (service: string) => IOtherEntries | undefined = () => undefined,
  ) {}

  /** The queues by service, for reports to the hub. */
  public get services(): ReadonlyMap<string, ServiceQueue> {
    return this._services;
  }

  /**
   * Admits or refuses a request. Returns no promise if it need not wait, so that its load is counted before the next
   * request is decided on.
   */
  public admit(item: IAdmissionItem, now: number): AdmissionOutcome | Promise<AdmissionOutcome> {
    const queue = this._ensureQueue(item.service);
    const target = item.assess(now);
    if (target === undefined) {
      return this._serve(item, 0, now);
    }
    const { load } = queue;
    load.recordArrival(item.priority, item.objectiveMs, target.tokens, now);
    const decision = this._context.mayWait
      ? queue.decide(item, target, now)
      : decideImmediately(item, target);
    switch (decision.kind) {
      case 'serve':
        return this._serve(item, target.tokens, now);
      case 'refuse': {
        const { reason, retryAfterMs } = decision;
        load.recordRefusal(target.tokens, now + retryAfterMs, now);
        this._count(item, 'refused');
        return { kind: 'refuse', reason, retryAfterMs, expectedMs: target.expectedMs, waitMs: 0 };
      }
      case 'wait':
        if (item.signals.some((signal) => signal.aborted)) {
          return { kind: 'aborted' };
        }
        return new Promise((resolve) => {
          const endWait = (outcome: AdmissionOutcome): void => {
            for (const signal of item.signals) {
              signal.removeEventListener('abort', handleAbort);
            }
            resolve(outcome);
          };
          let remove = (): void => undefined;
          const handleAbort = (): void => {
            remove();
            this._count(item, 'aborted');
            endWait({ kind: 'aborted' });
          };
          for (const signal of item.signals) {
            signal.addEventListener('abort', handleAbort, { once: true });
          }
          const finish = (outcome: WaitOutcome, report: IWaitReport): void => {
            endWait(this._finishWait(item, outcome, report));
          };
          remove = queue.add(item, target, decision, finish, now);
          this._startTimer();
          if (decision.reason === 'others_first') {
            this.release(item.service);
          }
        });
    }
  }

  /** Sends what waits for a service as far as there is room. */
  public release(service: string): void {
    const queue = this._services.get(service);
    if (queue === undefined || queue.size === 0 || this._scheduled.has(service)) {
      return;
    }
    const now = this._context.clock.now();
    if (now - (this._checkedAt.get(service) ?? Number.NEGATIVE_INFINITY) < MIN_CHECK_INTERVAL_MS) {
      // The timer checks again, as a request waits.
      return;
    }
    this._checkedAt.set(service, now);
    this._scheduleNext(service, queue);
  }

  /** Sends one waiting request after another until none is ready. */
  private _scheduleNext(service: string, queue: ServiceQueue): void {
    this._scheduled.add(service);
    // A released request is counted at its target only once its call has gone on.
    setImmediate(() => {
      this._scheduled.delete(service);
      if (queue.next(this._context.clock.now())) {
        this._scheduleNext(service, queue);
      }
    });
  }

  private _startTimer(): void {
    this._timer ??= setInterval(() => {
      let size = 0;
      for (const [service, queue] of this._services) {
        size += queue.size;
        this.release(service);
      }
      if (size === 0) {
        clearInterval(this._timer);
        this._timer = undefined;
      }
    }, CHECK_INTERVAL_MS);
  }

  private _finishWait(
    item: IAdmissionItem,
    outcome: WaitOutcome,
    { reason, waitMs, ahead, aheadOfAccount }: IWaitReport,
  ): AdmissionOutcome {
    const now = this._context.clock.now();
    const { service, priority } = item;
    this._context.metrics.observe('gateway_queue_ms', waitMs, {
      service,
      priority: String(priority),
    });
    this._context.log.info('request waited', {
      request: item.id,
      service,
      priority,
      clientAccount: item.account,
      outcome: outcome.kind,
      reason,
      waitMs: Math.round(waitMs),
      ahead,
      aheadOfAccount,
      leftMs: Math.round(item.deadlineAt - now),
    });
    if (outcome.kind === 'serve') {
      return this._serve(item, outcome.tokens, now, 'waited');
    }
    const { retryAfterMs, reason: cause, expectedMs, tokens } = outcome;
    this._ensureQueue(service).load.recordRefusal(tokens, now + retryAfterMs, now);
    this._count(item, 'refused');
    return { kind: 'refuse', reason: cause, retryAfterMs, expectedMs, waitMs };
  }

  private _serve(
    item: IAdmissionItem,
    tokens: number,
    now: number,
    outcome = 'served',
  ): AdmissionOutcome {
    const { service, priority, account } = item;
    this._count(item, outcome);
    const end = this._ensureQueue(service).load.begin(priority, account, tokens, now);
    const settle = (): void => {
      end();
      this.release(service);
    };
    return { kind: 'serve', ticket: { settle } };
  }

  private _count({ service, priority }: IAdmissionItem, outcome: string): void {
    const labels = { service, priority: String(priority), outcome };
    this._context.metrics.increment('gateway_admissions_total', labels);
  }

  private _ensureQueue(service: string): ServiceQueue {
    let queue = this._services.get(service);
    if (queue === undefined) {
      queue = new ServiceQueue(this._getOthers(service));
      this._services.set(service, queue);
    }
    return queue;
  }
}
