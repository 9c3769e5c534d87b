/** Fourth stage of the request pipeline: waits for a dispatch slot of the service. */
import type { DispatchQueue } from '../admission/DispatchQueue.js';
import type { IDisposable } from '../common/Lifecycle.js';
import { Err, Ok, type Result } from '../common/Result.js';
import { createRefusal, type IHttpFailure } from './Failures.js';
import { describeNotRun } from './RequestOutcomes.js';
import type { IFlowServices, IRequestContext } from './Types.js';

/** Fraction of the service's time limit for waiting in the queue; the rest is left for the response. */
const MAX_QUEUE_WAIT_FRACTION = 0.25;

/** Queue weight of requests on open routes; a client account's weight is its rate in tokens/s. */
const OPEN_ROUTE_WEIGHT = 100;

/** Queues admitted requests in the fair queue, weighted by the rate of their client accounts. */
export class QueueStage {
  constructor(
    private readonly _queue: DispatchQueue,
    private readonly _services: IFlowServices,
  ) {}

  /**
   * Waits for a dispatch slot, which has to be disposed of. Returns a refusal if the queue is overloaded or
   * the request ends first. `cost` is in tokens.
   */
  public async acquire(
    context: IRequestContext,
    cost: number,
  ): Promise<Result<IDisposable, IHttpFailure>> {
    const account = context.caller?.account;
    const waitStartedAt = this._services.clock.now();
    const slot = await this._queue.acquire(
      {
        requestId: context.requestId,
        service: context.service.name,
        clientAccount: account?.id ?? '',
        weight: Math.max(1, account?.tokensPerSecond ?? OPEN_ROUTE_WEIGHT),
        cost,
        priority: account?.priority ?? 0,
        deadlineMs: context.startedAt + context.service.timeoutMs * MAX_QUEUE_WAIT_FRACTION,
      },
      context.open.signal,
    );
    if (slot.ok) {
      const { clock, metrics } = this._services;
      metrics.observe('queue_ms', clock.now() - waitStartedAt, { service: context.service.name });
      return Ok(slot.val);
    }
    const failure = slot.val;
    switch (failure.kind) {
      case 'overloaded': {
        const message = 'The targets of this service are busy; try again after Retry-After.';
        return Err(createRefusal('overloaded', message, failure.retryAfterMs));
      }
      case 'aborted': {
        const message = 'The request ended before it was dispatched.';
        return Err(describeNotRun(context, createRefusal('request_timeout', message)));
      }
    }
  }
}
