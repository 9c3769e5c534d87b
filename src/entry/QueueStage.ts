/** Fourth stage: waits for a place at the targets of the service. */
import type { DispatchQueue } from '../admission/DispatchQueue.js';
import type { IDisposable } from '../common/Lifecycle.js';
import { Err, Ok, type Result } from '../common/Result.js';
import { refuse, type IHttpFailure } from './Failures.js';
import { describeNotRun } from './Outcomes.js';
import type { IFlowServices, IRequestContext } from './Types.js';

/** Part of a service's time limit that a request may wait; the rest is left for the response. */
const MAX_WAIT_SHARE = 0.25;

/** Weight of requests without a client account; an account's weight is its rate in tokens/s. */
const OPEN_WEIGHT = 100;

/** Queues admitted requests by the weight of their client account. */
export class QueueStage {
  constructor(
    private readonly _queue: DispatchQueue,
    private readonly _services: IFlowServices,
  ) {}

  /** Returns the place, which has to be given back, or the refusal of a request that did not run. */
  public async enter(
    context: IRequestContext,
    cost: number,
  ): Promise<Result<IDisposable, IHttpFailure>> {
    const account = context.caller?.account;
    const enteredAt = this._services.clock.now();
    const place = await this._queue.enter(
      {
        requestId: context.requestId,
        service: context.service.name,
        clientAccount: account?.id ?? '',
        weight: Math.max(1, account?.tokensPerSecond ?? OPEN_WEIGHT),
        cost,
        priority: account?.priority ?? 0,
        deadlineMs: context.startedAt + context.service.timeoutMs * MAX_WAIT_SHARE,
      },
      context.open.signal,
    );
    if (place.ok) {
      const { clock, metrics } = this._services;
      metrics.observe('queue_ms', clock.now() - enteredAt, { service: context.service.name });
      return Ok(place.val);
    }
    const failure = place.val;
    switch (failure.kind) {
      case 'overloaded': {
        const message = 'The targets of this service are busy; try again after Retry-After.';
        return Err(refuse('overloaded', message, failure.retryAfterMs));
      }
      case 'aborted': {
        const message = 'The request ended before it was dispatched.';
        return Err(describeNotRun(context, refuse('request_timeout', message)));
      }
    }
  }
}
