/** Functions that the flows share: they describe failures, and log and count the outcomes of requests. */
import { createFailure, createRefusal, type IHttpFailure } from './Failures.js';
import type { OpenRequest } from './OpenRequests.js';
import type { IFlowServices, IRequestContext } from './Types.js';

/** Another instance serves the request; by this time the load balancer does not choose this one any more. */
const STOP_RETRY_AFTER_MS = 1_000;

/** Failure of a request that the end of this process ends. */
export function describeStop(open: OpenRequest): IHttpFailure {
  return open.mayHaveRun
    ? createFailure(
        'target_failed',
        'The instance stopped before the answer was complete; try again.',
        'unknown',
      )
    : createRefusal(
        'draining',
        'The instance stops and did not dispatch the request; send it again.',
        STOP_RETRY_AFTER_MS,
      );
}

/** Names the requests whose responses are expected to take as long as those of this one. */
export function describeRunRoute({ service, request }: IRequestContext): string {
  return `${service.name} ${request.method ?? 'GET'}`;
}

/**
 * Failure of a request that was ended early because its key was withdrawn, its deadline passed or the process stops.
 * Undefined if it was not ended, or if the caller disconnected and nobody is left to answer.
 */
export function describeEndReason(context: IRequestContext): IHttpFailure | undefined {
  switch (context.open.endReason) {
    case 'key_withdrawn':
      return createFailure('key_withdrawn', 'The key was withdrawn; ask for a new one.', 'unknown');
    case 'deadline_exceeded':
      return createFailure(
        'deadline_exceeded',
        'The time limit of the service has passed.',
        'unknown',
      );
    case 'stopping':
      return describeStop(context.open);
    case 'client_gone':
    case undefined:
      return undefined;
  }
}

/**
 * Failure of a request that ended before it was dispatched: the reason of its early end if there is one,
 * otherwise the given failure.
 */
export function describeNotRun(context: IRequestContext, failure: IHttpFailure): IHttpFailure {
  const end = describeEndReason(context);
  if (end === undefined || context.open.mayHaveRun) {
    return end ?? failure;
  }
  return { ...end, ran: 'no' };
}

/** Logs and counts a refused request. */
export function recordRefusal(
  services: IFlowServices,
  context: IRequestContext,
  failure: IHttpFailure,
): void {
  services.metrics.increment('refusals_total', { code: failure.code });
  services.decisions.record(context.requestId, 'refused', {
    clientAccount: context.caller?.account.id,
    service: context.service.name,
    code: failure.code,
    ran: failure.ran,
    endReason: context.open.endReason,
  });
}

/** Logs an answered plain call and records its metrics. */
export function recordPlainEnd(
  services: IFlowServices,
  context: IRequestContext,
  fields: Readonly<Record<string, unknown>>,
): void {
  const durationMs = services.clock.now() - context.startedAt;
  services.metrics.observe('request_ms', durationMs, { service: context.service.name });
  services.metrics.increment('requests_total', {
    service: context.service.name,
    result: 'complete',
  });
  services.decisions.record(context.requestId, 'finished', {
    ...fields,
    durationMs: Math.round(durationMs),
  });
}
